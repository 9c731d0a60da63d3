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

// fakeUpstream is a fake upstream that counts runs by key.
type fakeUpstream struct {
	mu        sync.Mutex
	runs      map[string]int
	behaviors map[string][]string
	size      int
}

func (u *fakeUpstream) send(_ context.Context, order Order, fencing store.Version) (Outcome, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	behavior := "answer"
	if left := u.behaviors[order.Key]; len(left) > 0 {
		behavior, u.behaviors[order.Key] = left[0], left[1:]
	}
	if behavior == "refuse" {
		return Outcome{}, fault.New(api.KindNoUpstream, "the dial failed")
	}
	if fencing <= 0 {
		panic("an order was sent without a fencing number")
	}
	u.runs[order.Key]++
	if behavior == "cut" {
		return Outcome{}, fault.New(api.KindOrderOutcomeUnknown, "no answer")
	}
	return Outcome{Status: 200, Body: append([]byte(order.Key), make([]byte, u.size)...)}, nil
}

func newFakeUpstream() *fakeUpstream {
	return &fakeUpstream{runs: map[string]int{}, behaviors: map[string][]string{}}
}

// newCoordinator returns a coordinator whose store is a fault-injecting view of kv.
func newCoordinator(kv store.Store, host string, u *fakeUpstream) (*Coordinator, *keyvalue.Faulty) {
	view := keyvalue.NewFaulty(kv)
	coord := &Coordinator{Store: view, Host: api.HostID(host), Send: u.send, Metrics: metric.New()}
	return coord, view
}

func newOrder() Order {
	return Order{Workspace: "w", Service: "s", Call: "c", Key: uuid.Must(uuid.NewV7()).String(), Body: []byte("body")}
}

func call(t *testing.T, coord *Coordinator, order Order) (Outcome, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return coord.Call(ctx, order)
}

func assertFault(t *testing.T, err error, kind api.Kind, run api.RunState) {
	t.Helper()
	assert.Equal(t, fault.KindOf(err), kind, "%v", err)
	assert.Equal(t, fault.RunStateOf(err), run)
}

func newKeyAt(at time.Time) string {
	id := uuid.Must(uuid.NewV7())
	ms := uint64(at.UnixMilli())
	for i := range 6 {
		id[i] = byte(ms >> (40 - 8*i))
	}
	return id.String()
}

// TestKeyChecks guards against a key that outlives its record, and against reporting "not run"
// for an order that may have run.
func TestKeyChecks(t *testing.T) {
	u := newFakeUpstream()
	coord, _ := newCoordinator(memory.New(), "a", u)
	now := time.Now()
	for _, test := range []struct {
		key  string
		kind api.Kind
		run  api.RunState
	}{
		{"", api.KindOrderKeyRequired, api.RunNo},
		{uuid.NewString(), api.KindOrderKeyRequired, api.RunNo},
		{newKeyAt(now.Add(-24*time.Hour + keyExpiryMargin - time.Second)), api.KindOrderKeyExpired, api.RunUnknown},
		{newKeyAt(now.Add(maxKeyLead + time.Minute)), api.KindOrderKeyExpired, api.RunUnknown},
	} {
		order := newOrder()
		order.Key = test.key
		_, err := call(t, coord, order)
		assertFault(t, err, test.kind, test.run)
	}
	order := newOrder()
	order.Key = newKeyAt(now.Add(-24*time.Hour + keyExpiryMargin + time.Minute))
	_, err := call(t, coord, order)
	assert.NilError(t, err)
	assert.Equal(t, len(u.runs), 1)
}

// TestRepeats guards against a second run of a repeated key, and against a wrong answer to it.
func TestRepeats(t *testing.T) {
	kv, u := memory.New(), newFakeUpstream()
	first, _ := newCoordinator(kv, "a", u)
	second, _ := newCoordinator(kv, "b", u)
	order := newOrder()
	_, err := call(t, first, order)
	assert.NilError(t, err)
	outcome, err := call(t, second, order)
	assert.NilError(t, err)
	assert.Assert(t, outcome.Replayed && string(outcome.Body) == order.Key)
	other := order
	other.Body = []byte("another body")
	_, err = call(t, second, other)
	assertFault(t, err, api.KindOrderKeyReused, api.RunNo)

	cut := newOrder()
	u.behaviors[cut.Key] = []string{"cut"}
	_, err = call(t, first, cut)
	assertFault(t, err, api.KindOrderOutcomeUnknown, api.RunUnknown)
	_, err = call(t, second, cut)
	assertFault(t, err, api.KindOrderInProgress, api.RunUnknown)
	second.LongestDeadline = func() time.Duration { return 0 }
	_, err = call(t, second, cut)
	assertFault(t, err, api.KindOrderOutcomeUnknown, api.RunUnknown)

	u.size = maxStoredBody
	large := newOrder()
	_, err = call(t, first, large)
	assert.NilError(t, err)
	_, err = call(t, second, large)
	assertFault(t, err, api.KindOrderOutcomeUnknown, api.RunYes)

	refused := newOrder()
	u.behaviors[refused.Key] = []string{"refuse"}
	_, err = call(t, first, refused)
	assertFault(t, err, api.KindNoUpstream, api.RunNo)
	_, err = call(t, second, refused)
	assert.NilError(t, err)
	for key, runs := range u.runs {
		assert.Equal(t, runs, 1, key)
	}
}

// TestLateClaimIsReleased guards against a claim that blocks its key because it was applied
// after its caller received "not run".
func TestLateClaimIsReleased(t *testing.T) {
	kv, u := memory.New(), newFakeUpstream()
	coord, view := newCoordinator(kv, "a", u)
	other, _ := newCoordinator(kv, "b", u)
	view.SetFaults(keyvalue.FaultApplyLate, keyvalue.FaultUnavailable)
	order := newOrder()
	_, err := call(t, coord, order)
	assertFault(t, err, api.KindOrderStoreUnavailable, api.RunNo)
	assert.Equal(t, coord.Pending(), 1)
	_, err = call(t, other, order)
	assertFault(t, err, api.KindOrderInProgress, api.RunUnknown)
	coord.Settle(context.Background())
	_, err = call(t, other, order)
	assert.NilError(t, err)
	assert.Equal(t, u.runs[order.Key], 1)

	// The host that wrote the late claim may replace it at once.
	view.SetFaults(keyvalue.FaultApplyLate, keyvalue.FaultUnavailable)
	again := newOrder()
	_, err = call(t, coord, again)
	assertFault(t, err, api.KindOrderStoreUnavailable, api.RunNo)
	_, err = call(t, coord, again)
	assert.NilError(t, err)
	clock := time.Now()
	coord.Clock = func() time.Time { return clock }
	for range 20 {
		coord.Settle(context.Background())
		clock = clock.Add(maxSettleInterval)
	}
	assert.Equal(t, coord.Pending(), 0)
	outcome, err := call(t, other, again)
	assert.NilError(t, err)
	assert.Assert(t, outcome.Replayed)
}

// TestStoreOutage guards against an order that is sent without a claim, and against an outcome
// that is lost because the store was unavailable when the order ended.
func TestStoreOutage(t *testing.T) {
	kv, u := memory.New(), newFakeUpstream()
	coord, view := newCoordinator(kv, "a", u)
	view.SetDown(true)
	_, err := call(t, coord, newOrder())
	assertFault(t, err, api.KindOrderStoreUnavailable, api.RunNo)
	assert.Equal(t, len(u.runs), 0)
	view.SetDown(false)
	send := coord.Send
	coord.Send = func(ctx context.Context, order Order, fencing store.Version) (Outcome, error) {
		view.SetDown(true)
		return send(ctx, order, fencing)
	}
	order := newOrder()
	_, err = call(t, coord, order)
	assert.NilError(t, err)
	coord.Settle(context.Background())
	assert.Equal(t, coord.Pending(), 1)
	view.SetDown(false)
	coord.Drain(context.Background())
	assert.Equal(t, coord.Pending(), 0)
	other, _ := newCoordinator(kv, "b", u)
	outcome, err := call(t, other, order)
	assert.NilError(t, err)
	assert.Assert(t, outcome.Replayed)
}

// TestTakeover guards against the takeover of an order that its holder may have sent, and
// against a resumed holder that sends after the takeover.
func TestTakeover(t *testing.T) {
	kv, u := memory.New(), newFakeUpstream()
	holder, _ := newCoordinator(kv, "holder", u)
	coord, _ := newCoordinator(kv, "b", u)
	coord.HolderAlive = func(host api.HostID) bool { return host != "holder" }
	for _, test := range []struct {
		held, fenced bool // in the configuration of the holder, and of the other host
		state        State
		runs         int
	}{{false, false, StateClaimed, 0}, {false, true, StateClaimed, 0}, {true, true, StateSending, 0}, {true, true, StateClaimed, 1}} {
		order := newOrder()
		order.Fenced = test.held
		holder.init()
		held := holder.newHeldClaim(order)
		order.Fenced = test.fenced
		record := held.claimed
		record.State = test.state
		result := holder.write(context.Background(), held.shard, held.write(0, &record))
		held.version = result.version
		_, err := call(t, coord, order)
		assert.Equal(t, u.runs[order.Key], test.runs)
		if test.runs == 0 {
			assertFault(t, err, api.KindOrderInProgress, api.RunUnknown)
			continue
		}
		assert.NilError(t, err)
		assertFault(t, holder.markSending(context.Background(), &held), api.KindOrderInProgress, api.RunUnknown)
	}
}

// pausedContext is the context of a process that was paused past its deadline: the deadline
// has passed by the clock, but its timer has not fired yet.
type pausedContext struct{ context.Context }

func (pausedContext) Deadline() (time.Time, bool) { return time.Now().Add(-time.Second), true }

// TestDeadline guards against an order that is sent after its deadline, also by a host that
// was paused while it held the claim, and against a claim that is not released.
func TestDeadline(t *testing.T) {
	u, order := newFakeUpstream(), newOrder()
	coord, _ := newCoordinator(memory.New(), "a", u)
	ctx, cancel := context.WithTimeout(context.Background(), time.Microsecond)
	defer cancel()
	_, err := coord.Call(ctx, newOrder())
	assertFault(t, err, api.KindDeadlineExceeded, api.RunNo)
	_, err = coord.run(pausedContext{context.Background()}, coord.newHeldClaim(order), order)
	assertFault(t, err, api.KindDeadlineExceeded, api.RunNo)
	assert.Equal(t, len(u.runs), 0)
	_, err = call(t, coord, order)
	assert.NilError(t, err)
}

// TestGroupCommit guards against one transaction or one lease for each order, and against two
// claims of one key in one transaction.
func TestGroupCommit(t *testing.T) {
	kv, u := memory.New(), newFakeUpstream()
	coord, view := newCoordinator(kv, "a", u)
	coord.Interval = 5 * time.Millisecond
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
			if _, err := call(t, coord, order); err != nil {
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
	id, shard := recordID(newOrder())
	claims := []Claim{{ID: id, Token: "1", Record: &Record{Token: "1"}}, {ID: id, Token: "2", Record: &Record{Token: "2"}}}
	results, err := coord.Claim(context.Background(), shard, claims)
	assert.NilError(t, err)
	assert.Equal(t, results[0].State, ClaimApplied)
	assert.Equal(t, results[1].State, ClaimConflict)
	for _, refused := range []Claim{{ID: "../config/manifest", Token: "1", Record: &Record{Token: "1"}}, {ID: id, Token: "1"}} {
		_, err = coord.Claim(context.Background(), shard, []Claim{refused})
		assert.ErrorIs(t, err, errInvalidClaims)
	}
}

// TestLostLease guards against orders that fail for an hour after the store lost a lease.
func TestLostLease(t *testing.T) {
	kv, u := memory.New(), newFakeUpstream()
	coord, _ := newCoordinator(kv, "a", u)
	_, err := call(t, coord, newOrder())
	assert.NilError(t, err)
	assert.NilError(t, kv.Revoke(context.Background(), coord.lease.id))
	_, err = call(t, coord, newOrder())
	assert.NilError(t, err)
}

// TestModel injects random faults of the store, of the messages between hosts and of the
// upstream. It guards against two runs of a key, against "not run" for a key that ran, and
// against a key that stays blocked although it never ran.
func TestModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		kv, u := memory.New(), newFakeUpstream()
		var clock atomic.Int64
		now := func() time.Time { return time.Now().Add(time.Duration(clock.Load())) }
		behaviors := rapid.SliceOfN(rapid.SampledFrom([]keyvalue.Fault{
			keyvalue.FaultNone, keyvalue.FaultNone, keyvalue.FaultUnavailable, keyvalue.FaultDropReply, keyvalue.FaultApplyLate, keyvalue.FaultDelay,
		}), 0, 8)
		coordinators, views := make([]*Coordinator, 3), make([]*keyvalue.Faulty, 3)
		dead := api.HostID(fmt.Sprint(rapid.IntRange(0, 3).Draw(rt, "suspected")))
		for i := range coordinators {
			coordinators[i], views[i] = newCoordinator(kv, fmt.Sprint(i), u)
			views[i].SetFaults(behaviors.Draw(rt, "fates")...)
			coordinators[i].Clock = now
			coordinators[i].HolderAlive = func(host api.HostID) bool { return host != dead }
			coordinators[i].Forward = forwardTo(coordinators, i, rapid.SliceOfN(rapid.IntRange(0, 3), 0, 8).Draw(rt, "messages"))
		}
		callers := make([]*modelCaller, rapid.IntRange(1, 4).Draw(rt, "keys"))
		for i := range callers {
			c := &modelCaller{order: newOrder(), coordinators: coordinators}
			c.order.Fenced = rapid.Bool().Draw(rt, "fenced")
			u.behaviors[c.order.Key] = rapid.SliceOfN(rapid.SampledFrom([]string{"answer", "refuse", "cut"}), 0, 4).Draw(rt, "upstream")
			c.targets = rapid.SliceOfN(rapid.IntRange(0, 2), 1, 5).Draw(rt, "targets")
			c.concurrent = rapid.Bool().Draw(rt, "concurrent")
			c.deadline = time.Duration(rapid.SampledFrom([]int{1, 10, 2000}).Draw(rt, "deadline")) * time.Millisecond
			callers[i] = c
		}
		runAll(callers)
		// An idle coordinator may still receive claims from another one, so all are checked
		// again.
		for range 3 * len(coordinators) {
			for _, coord := range coordinators {
				waitIdle(coord)
			}
		}
		for _, view := range views {
			view.Recover()
		}
		for range 12 {
			for _, coord := range coordinators {
				coord.Settle(context.Background())
			}
			clock.Add(int64(maxSettleInterval))
		}
		for _, c := range callers {
			u.mu.Lock()
			runs, left := u.runs[c.order.Key], u.behaviors[c.order.Key]
			u.behaviors[c.order.Key] = nil
			u.mu.Unlock()
			if problem := c.check(runs); problem != "" {
				rt.Fatalf("%s: runs %d, results %v, behaviors left %v", problem, runs, c.results, left)
			}
			outcome, err := coordinators[0].Call(context.Background(), c.order)
			if runs == 0 && err != nil {
				rt.Fatalf("a key that never ran is blocked: %v; results %v", err, c.results)
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

// waitIdle waits until a coordinator has no message and no transaction in flight: the test
// clock is ahead of them, and lateClaimWindow is measured by that clock.
func waitIdle(coord *Coordinator) {
	coord.init()
	for shard := range numShards {
		f, c, w := coord.forwarders[shard], coord.claimCommitters[shard], coord.updateCommitters[shard]
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

// forwardTo returns a Forward to the next coordinator that fails as listed in faults: 1 before
// the send, 2 after the answer, 3 as on an aggregator.
func forwardTo(coordinators []*Coordinator, own int, faults []int) func(context.Context, int, []Claim) ([]ClaimResult, error) {
	var count atomic.Int64
	return func(ctx context.Context, shard int, claims []Claim) ([]ClaimResult, error) {
		fault := 0
		if n := int(count.Add(1)) - 1; n < len(faults) {
			fault = faults[n]
		}
		if fault == 1 || fault == 3 {
			return nil, map[int]error{1: context.DeadlineExceeded, 3: ErrNotForwarded}[fault]
		}
		results, err := coordinators[(own+1)%len(coordinators)].Claim(ctx, shard, claims)
		if fault == 2 {
			return nil, context.DeadlineExceeded
		}
		return results, err
	}
}

// modelCaller calls a list of coordinators in turn with one key.
type modelCaller struct {
	order        Order
	coordinators []*Coordinator
	targets      []int
	deadline     time.Duration
	// concurrent sends each call to two coordinators at once.
	concurrent bool
	mu         sync.Mutex
	results    []string
}

func runAll(callers []*modelCaller) {
	var wait sync.WaitGroup
	for _, c := range callers {
		wait.Go(c.run)
	}
	wait.Wait()
}

func (c *modelCaller) run() {
	for _, at := range c.targets {
		var wait sync.WaitGroup
		for n := range 2 {
			if n == 1 && !c.concurrent {
				break
			}
			wait.Go(func() {
				ctx, cancel := context.WithTimeout(context.Background(), c.deadline)
				defer cancel()
				_, err := c.coordinators[(at+n)%len(c.coordinators)].Call(ctx, c.order)
				answer := "answered"
				if err != nil {
					answer = string(fault.RunStateOf(err))
				}
				c.mu.Lock()
				defer c.mu.Unlock()
				c.results = append(c.results, answer)
			})
		}
		wait.Wait()
	}
}

// check compares the results of the calls with the number of runs. "Not run" concerns a single
// call, so it holds for the key only if every call returned it.
func (c *modelCaller) check(runs int) string {
	counts := map[string]int{}
	for _, answer := range c.results {
		counts[answer]++
	}
	switch {
	case runs > 1:
		return "a key ran more than once"
	case runs == 1 && counts[string(api.RunNo)] == len(c.results):
		return "a key ran although every call returned not run"
	case runs == 0 && (counts["answered"] > 0 || counts[string(api.RunYes)] > 0):
		return "a key was answered but did not run"
	}
	return ""
}
