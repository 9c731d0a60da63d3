package order

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"redwingloft/internal/data/store"
	"redwingloft/internal/helper/fault"
	"redwingloft/internal/helper/metric"
	"redwingloft/internal/plugin/memory"
	"redwingloft/pkg/api"
	"redwingloft/standin/keyvalue"
)

// upstream is a fake back end that counts runs by key.
type upstream struct {
	mu    sync.Mutex
	runs  map[string]int
	fates map[string][]string
	size  int
}

func (u *upstream) send(_ context.Context, order Order, fencing store.Version) (Outcome, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	fate := "answer"
	if left := u.fates[order.Key]; len(left) > 0 {
		fate, u.fates[order.Key] = left[0], left[1:]
	}
	if fate == "refuse" {
		return Outcome{}, fault.New(api.KindNoUpstream, "the dial failed")
	}
	if fencing <= 0 {
		panic("an order was sent without a fencing number")
	}
	u.runs[order.Key]++
	if fate == "cut" {
		return Outcome{}, fault.New(api.KindOrderOutcomeUnknown, "no answer")
	}
	return Outcome{Status: 200, Body: append([]byte(order.Key), make([]byte, u.size)...)}, nil
}

func newUpstream() *upstream { return &upstream{runs: map[string]int{}, fates: map[string][]string{}} }

// newDesk returns a desk over a faulty view of kv.
func newDesk(kv store.Store, host string, u *upstream) (*Desk, *keyvalue.Faulty) {
	view := keyvalue.NewFaulty(kv)
	desk := &Desk{Store: view, Host: api.HostID(host), Send: u.send, Metrics: metric.New()}
	return desk, view
}

func newOrder() Order {
	return Order{Workspace: "w", Service: "s", Call: "c", Key: uuid.Must(uuid.NewV7()).String(), Body: []byte("body")}
}

func call(t *testing.T, d *Desk, order Order) (Outcome, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return d.Call(ctx, order)
}

func wants(t *testing.T, err error, kind api.Kind, run api.RunState) {
	t.Helper()
	assert.Equal(t, fault.KindOf(err), kind, "%v", err)
	assert.Equal(t, fault.RunOf(err), run)
}

func keyAt(at time.Time) string {
	id := uuid.Must(uuid.NewV7())
	ms := uint64(at.UnixMilli())
	for i := range 6 {
		id[i] = byte(ms >> (40 - 8*i))
	}
	return id.String()
}

// TestKeyChecks guards against a key that outlives its record, and a wrong "not run" for one that may have run.
func TestKeyChecks(t *testing.T) {
	u := newUpstream()
	d, _ := newDesk(memory.New(), "a", u)
	now := time.Now()
	for _, c := range []struct {
		key  string
		kind api.Kind
		run  api.RunState
	}{
		{"", api.KindOrderKeyRequired, api.RunNo},
		{uuid.NewString(), api.KindOrderKeyRequired, api.RunNo},
		{keyAt(now.Add(-24*time.Hour + ageMargin - time.Second)), api.KindOrderKeyExpired, api.RunUnknown},
		{keyAt(now.Add(maxAhead + time.Minute)), api.KindOrderKeyExpired, api.RunUnknown},
	} {
		order := newOrder()
		order.Key = c.key
		_, err := call(t, d, order)
		wants(t, err, c.kind, c.run)
	}
	order := newOrder()
	order.Key = keyAt(now.Add(-24*time.Hour + ageMargin + time.Minute))
	_, err := call(t, d, order)
	assert.NilError(t, err)
	assert.Equal(t, len(u.runs), 1)
}

// TestRepeats guards against a second run, and against a wrong answer, of a repeated key.
func TestRepeats(t *testing.T) {
	kv, u := memory.New(), newUpstream()
	first, _ := newDesk(kv, "a", u)
	second, _ := newDesk(kv, "b", u)
	order := newOrder()
	_, err := call(t, first, order)
	assert.NilError(t, err)
	outcome, err := call(t, second, order)
	assert.NilError(t, err)
	assert.Assert(t, outcome.Replayed && string(outcome.Body) == order.Key)
	other := order
	other.Body = []byte("another body")
	_, err = call(t, second, other)
	wants(t, err, api.KindOrderKeyReused, api.RunNo)

	cut := newOrder()
	u.fates[cut.Key] = []string{"cut"}
	_, err = call(t, first, cut)
	wants(t, err, api.KindOrderOutcomeUnknown, api.RunUnknown)
	_, err = call(t, second, cut)
	wants(t, err, api.KindOrderInProgress, api.RunUnknown)
	second.LongestDeadline = func() time.Duration { return 0 }
	_, err = call(t, second, cut)
	wants(t, err, api.KindOrderOutcomeUnknown, api.RunUnknown)

	u.size = maxBody
	large := newOrder()
	_, err = call(t, first, large)
	assert.NilError(t, err)
	_, err = call(t, second, large)
	wants(t, err, api.KindOrderOutcomeUnknown, api.RunYes)

	refused := newOrder()
	u.fates[refused.Key] = []string{"refuse"}
	_, err = call(t, first, refused)
	wants(t, err, api.KindNoUpstream, api.RunNo)
	_, err = call(t, second, refused)
	assert.NilError(t, err)
	for key, runs := range u.runs {
		assert.Equal(t, runs, 1, key)
	}
}

// TestLateClaimIsReleased guards against a claim that blocks its key because it
// was applied after its caller was told "not run".
func TestLateClaimIsReleased(t *testing.T) {
	kv, u := memory.New(), newUpstream()
	d, view := newDesk(kv, "a", u)
	other, _ := newDesk(kv, "b", u)
	view.SetFates(keyvalue.FateLate, keyvalue.FateRefuse)
	order := newOrder()
	_, err := call(t, d, order)
	wants(t, err, api.KindOrderStoreUnavailable, api.RunNo)
	assert.Equal(t, d.Pending(), 1)
	_, err = call(t, other, order)
	wants(t, err, api.KindOrderInProgress, api.RunUnknown)
	d.Settle(context.Background())
	_, err = call(t, other, order)
	assert.NilError(t, err)
	assert.Equal(t, u.runs[order.Key], 1)

	// The host that left the claim may replace it without a wait.
	view.SetFates(keyvalue.FateLate, keyvalue.FateRefuse)
	again := newOrder()
	_, err = call(t, d, again)
	wants(t, err, api.KindOrderStoreUnavailable, api.RunNo)
	_, err = call(t, d, again)
	assert.NilError(t, err)
	clock := time.Now()
	d.Clock = func() time.Time { return clock }
	for range 20 {
		d.Settle(context.Background())
		clock = clock.Add(maxLook)
	}
	assert.Equal(t, d.Pending(), 0)
	outcome, err := call(t, other, again)
	assert.NilError(t, err)
	assert.Assert(t, outcome.Replayed)
}

// TestStoreOutage guards against an order that is sent without a claim, and an
// outcome that is lost because the store was out when the order ended.
func TestStoreOutage(t *testing.T) {
	kv, u := memory.New(), newUpstream()
	d, view := newDesk(kv, "a", u)
	view.SetDown(true)
	_, err := call(t, d, newOrder())
	wants(t, err, api.KindOrderStoreUnavailable, api.RunNo)
	assert.Equal(t, len(u.runs), 0)
	view.SetDown(false)
	send := d.Send
	d.Send = func(ctx context.Context, order Order, fencing store.Version) (Outcome, error) {
		view.SetDown(true)
		return send(ctx, order, fencing)
	}
	order := newOrder()
	_, err = call(t, d, order)
	assert.NilError(t, err)
	d.Settle(context.Background())
	assert.Equal(t, d.Pending(), 1)
	view.SetDown(false)
	d.Drain(context.Background())
	assert.Equal(t, d.Pending(), 0)
	other, _ := newDesk(kv, "b", u)
	outcome, err := call(t, other, order)
	assert.NilError(t, err)
	assert.Assert(t, outcome.Replayed)
}

// TestTakeover guards against the takeover of an order that its holder may have
// sent, and against a resumed holder that sends after the takeover.
func TestTakeover(t *testing.T) {
	kv, u := memory.New(), newUpstream()
	holder, _ := newDesk(kv, "holder", u)
	d, _ := newDesk(kv, "b", u)
	d.HolderAlive = func(host api.HostID) bool { return host != "holder" }
	for _, c := range []struct {
		held, fenced bool // by the configuration of the holder, and of the other host
		state        State
		runs         int
	}{{false, false, StateClaimed, 0}, {false, true, StateClaimed, 0}, {true, true, StateSending, 0}, {true, true, StateClaimed, 1}} {
		order := newOrder()
		order.Fenced = c.held
		holder.init()
		held := holder.newHolding(order)
		order.Fenced = c.fenced
		record := held.own
		record.State = c.state
		result := holder.write(context.Background(), held.shard, held.write(0, &record))
		held.version = result.version
		_, err := call(t, d, order)
		assert.Equal(t, u.runs[order.Key], c.runs)
		if c.runs == 0 {
			wants(t, err, api.KindOrderInProgress, api.RunUnknown)
			continue
		}
		assert.NilError(t, err)
		wants(t, holder.markSending(context.Background(), &held), api.KindOrderInProgress, api.RunUnknown)
	}
}

// pausedContext is the context of a process that was paused past its deadline: the
// clock has passed it and its timer has not fired yet.
type pausedContext struct{ context.Context }

func (pausedContext) Deadline() (time.Time, bool) { return time.Now().Add(-time.Second), true }

// TestDeadline guards against an order that is sent after its deadline, also by a
// host that was paused with the claim in hand, and against its claim staying.
func TestDeadline(t *testing.T) {
	u, order := newUpstream(), newOrder()
	d, _ := newDesk(memory.New(), "a", u)
	ctx, cancel := context.WithTimeout(context.Background(), time.Microsecond)
	defer cancel()
	_, err := d.Call(ctx, newOrder())
	wants(t, err, api.KindDeadlineExceeded, api.RunNo)
	_, err = d.run(pausedContext{context.Background()}, d.newHolding(order), order)
	wants(t, err, api.KindDeadlineExceeded, api.RunNo)
	assert.Equal(t, len(u.runs), 0)
	_, err = call(t, d, order)
	assert.NilError(t, err)
}

// TestGroupCommit guards against one transaction or one lease for each order,
// and against two claims of one key in one transaction.
func TestGroupCommit(t *testing.T) {
	kv, u := memory.New(), newUpstream()
	d, view := newDesk(kv, "a", u)
	d.Interval = 5 * time.Millisecond
	const orders = 400
	same := newOrder()
	var wait sync.WaitGroup
	var failed atomic.Int64
	for i := range orders {
		wait.Go(func() {
			order := newOrder()
			if i%4 == 0 {
				order = same
			}
			if _, err := call(t, d, order); err != nil {
				failed.Add(1)
			}
		})
	}
	wait.Wait()
	assert.Equal(t, failed.Load(), int64(0))
	assert.Equal(t, u.runs[same.Key], 1)
	txns, grants := view.Counts()
	assert.Equal(t, grants, 1)
	assert.Assert(t, txns < orders, "%d transactions", txns)

	// Two hosts claim one key through one aggregator.
	id, shard := identify(newOrder())
	claims := []Claim{{ID: id, Token: "1", Record: &Record{Token: "1"}}, {ID: id, Token: "2", Record: &Record{Token: "2"}}}
	results, err := d.Claim(context.Background(), shard, claims)
	assert.NilError(t, err)
	assert.Equal(t, results[0].State, ClaimHeld)
	assert.Equal(t, results[1].State, ClaimTaken)
	for _, refused := range []Claim{{ID: "../config/manifest", Token: "1", Record: &Record{Token: "1"}}, {ID: id, Token: "1"}} {
		_, err = d.Claim(context.Background(), shard, []Claim{refused})
		assert.ErrorIs(t, err, errClaims)
	}
}

// TestLostLease guards against orders that fail for an hour after the service lost a lease.
func TestLostLease(t *testing.T) {
	kv, u := memory.New(), newUpstream()
	d, _ := newDesk(kv, "a", u)
	_, err := call(t, d, newOrder())
	assert.NilError(t, err)
	assert.NilError(t, kv.Revoke(context.Background(), d.lease.id))
	_, err = call(t, d, newOrder())
	assert.NilError(t, err)
}

// TestModel guards, over drawn faults of the store, of the messages between
// hosts and of the upstream, against two runs of a key, against "not run" for a
// key that ran, and against a key that stays blocked though it never ran.
func TestModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		kv, u := memory.New(), newUpstream()
		var clock atomic.Int64
		now := func() time.Time { return time.Now().Add(time.Duration(clock.Load())) }
		fates := rapid.SliceOfN(rapid.SampledFrom([]keyvalue.Fate{
			keyvalue.FateOK, keyvalue.FateOK, keyvalue.FateRefuse, keyvalue.FateDrop, keyvalue.FateLate, keyvalue.FateDelay,
		}), 0, 8)
		desks, views := make([]*Desk, 3), make([]*keyvalue.Faulty, 3)
		gone := api.HostID(fmt.Sprint(rapid.IntRange(0, 3).Draw(rt, "suspected")))
		for i := range desks {
			desks[i], views[i] = newDesk(kv, fmt.Sprint(i), u)
			views[i].SetFates(fates.Draw(rt, "fates")...)
			desks[i].Clock = now
			desks[i].HolderAlive = func(host api.HostID) bool { return host != gone }
			desks[i].Forward = forwardTo(desks, i, rapid.SliceOfN(rapid.IntRange(0, 3), 0, 8).Draw(rt, "messages"))
		}
		callers := make([]*modelCaller, rapid.IntRange(1, 4).Draw(rt, "keys"))
		for i := range callers {
			c := &modelCaller{order: newOrder(), desks: desks}
			c.order.Fenced = rapid.Bool().Draw(rt, "fenced")
			u.fates[c.order.Key] = rapid.SliceOfN(rapid.SampledFrom([]string{"answer", "refuse", "cut"}), 0, 4).Draw(rt, "upstream")
			c.route = rapid.SliceOfN(rapid.IntRange(0, 2), 1, 5).Draw(rt, "route")
			c.twins = rapid.Bool().Draw(rt, "twins")
			c.deadline = time.Duration(rapid.SampledFrom([]int{1, 10, 2000}).Draw(rt, "deadline")) * time.Millisecond
			callers[i] = c
		}
		runAll(callers)
		// An idle desk may still get claims from another one, so all are looked at again.
		for range 3 * len(desks) {
			for _, d := range desks {
				waitIdle(d)
			}
		}
		for _, view := range views {
			view.Recover()
		}
		for range 12 {
			for _, d := range desks {
				d.Settle(context.Background())
			}
			clock.Add(int64(maxLook))
		}
		for _, c := range callers {
			u.mu.Lock()
			runs, left := u.runs[c.order.Key], u.fates[c.order.Key]
			u.fates[c.order.Key] = nil
			u.mu.Unlock()
			if problem := c.judge(runs); problem != "" {
				rt.Fatalf("%s: runs %d, answers %v, fates left %v", problem, runs, c.answers, left)
			}
			outcome, err := desks[0].Call(context.Background(), c.order)
			if runs == 0 && err != nil {
				rt.Fatalf("a key that never ran is blocked: %v; answers %v", err, c.answers)
			}
			if err == nil && string(outcome.Body) != c.order.Key {
				rt.Fatalf("wrong outcome %q", outcome.Body)
			}
			if u.runs[c.order.Key] > 1 {
				rt.Fatalf("a key ran %d times", u.runs[c.order.Key])
			}
		}
	})
}

// waitIdle waits until no message and no transaction of a desk is under way: the
// model's clock runs ahead of them, and the horizon of Settle goes by the clock.
func waitIdle(d *Desk) {
	d.init()
	for shard := range shards {
		f, c, w := d.forwarders[shard], d.claimers[shard], d.writers[shard]
		for isRunning(&f.mu, &f.running) || isRunning(&c.mu, &c.running) || isRunning(&w.mu, &w.running) {
			time.Sleep(time.Millisecond)
		}
	}
}

func isRunning(mu *sync.Mutex, running *bool) bool {
	mu.Lock()
	defer mu.Unlock()
	return *running
}

// forwardTo returns a Forward to the next desk whose messages fail by a list: 1
// before the send, 2 after the answer, 3 at an aggregator.
func forwardTo(desks []*Desk, own int, faults []int) func(context.Context, int, []Claim) ([]ClaimResult, error) {
	var count atomic.Int64
	return func(ctx context.Context, shard int, claims []Claim) ([]ClaimResult, error) {
		fault := 0
		if n := int(count.Add(1)) - 1; n < len(faults) {
			fault = faults[n]
		}
		if fault == 1 || fault == 3 {
			return nil, map[int]error{1: context.DeadlineExceeded, 3: ErrNotForwarded}[fault]
		}
		results, err := desks[(own+1)%len(desks)].Claim(ctx, shard, claims)
		if fault == 2 {
			return nil, context.DeadlineExceeded
		}
		return results, err
	}
}

// modelCaller repeats one key along a route of desks until it is answered.
type modelCaller struct {
	order    Order
	desks    []*Desk
	route    []int
	deadline time.Duration
	// twins sends each call to two desks at once.
	twins   bool
	mu      sync.Mutex
	answers []string
}

func runAll(callers []*modelCaller) {
	var wait sync.WaitGroup
	for _, c := range callers {
		wait.Go(c.run)
	}
	wait.Wait()
}

func (c *modelCaller) run() {
	for _, at := range c.route {
		var wait sync.WaitGroup
		for twin := range 2 {
			if twin == 1 && !c.twins {
				break
			}
			wait.Go(func() {
				ctx, cancel := context.WithTimeout(context.Background(), c.deadline)
				defer cancel()
				_, err := c.desks[(at+twin)%len(c.desks)].Call(ctx, c.order)
				answer := "answered"
				if err != nil {
					answer = string(fault.RunOf(err))
				}
				c.mu.Lock()
				defer c.mu.Unlock()
				c.answers = append(c.answers, answer)
			})
		}
		wait.Wait()
	}
}

// judge compares what the caller was told with the number of runs. "Not run" is
// about one call, so it is the last word for a key where all its calls got it.
func (c *modelCaller) judge(runs int) string {
	told := map[string]int{}
	for _, answer := range c.answers {
		told[answer]++
	}
	switch {
	case runs > 1:
		return "a key ran more than once"
	case runs == 1 && told[string(api.RunNo)] == len(c.answers):
		return "a key ran of which every call was told that it did not"
	case runs == 0 && (told["answered"] > 0 || told[string(api.RunYes)] > 0):
		return "a key was answered and did not run"
	}
	return ""
}
