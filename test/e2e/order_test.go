package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingloft/pkg/api"
	"redwingloft/standin/fleet"
	"redwingloft/standin/injection"
	"redwingloft/standin/site"
)

const (
	orders       = 10_000
	orderCallers = 128
	orderHosts   = 4
	orderSeed    = 20_261
	// maxCalls bounds the calls of one order.
	maxCalls = 12
	// orderBound bounds the test against hanging.
	orderBound = 5 * time.Minute
)

// ledger is what a caller was told of one order.
type ledger struct {
	key      string
	group    string
	calls    int
	answered bool
	// unknown tells that a call ended without a word on whether it ran.
	unknown bool
}

// orderRun places orders while faults come and go.
type orderRun struct {
	t      *testing.T
	site   *site.Site
	random *rand.Rand
	client *http.Client
	// targets are the hosts that callers use.
	targets atomic.Pointer[[]*site.Host]
	done    atomic.Int64
	ledgers []*ledger
	// killed counts the hosts that were killed.
	killed int
}

// TestOrdersUnderMixedFaults guards against an order that runs twice, and against
// "not run" for an order that ran, while hosts die and freeze, the key-value
// service is out or loses replies, and connections break. Each caller repeats its
// key on other hosts until it has an answer.
func TestOrdersUnderMixedFaults(t *testing.T) {
	doc := loadDocument(t, "greenhand")
	for i := range doc.Workspaces {
		doc.Workspaces[i].RequestsPerSecond = 0
	}
	r := &orderRun{
		t: t, random: rand.New(rand.NewPCG(orderSeed, 1)),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: orderCallers}},
		site:   startSite(t, "greenhand", site.Options{Document: doc, Hosts: orderHosts}),
	}
	r.aim()
	ctx, cancel := context.WithTimeout(t.Context(), orderBound)
	defer cancel()
	var wait sync.WaitGroup
	for caller := range orderCallers {
		mine := make([]*ledger, 0, orders/orderCallers+1)
		for i := caller; i < orders; i += orderCallers {
			mine = append(mine, &ledger{})
		}
		r.ledgers = append(r.ledgers, mine...)
		random := rand.New(rand.NewPCG(orderSeed, uint64(caller)+2))
		wait.Go(func() {
			for i, l := range mine {
				r.place(ctx, random, l, i%2 == 0)
			}
		})
	}
	r.injectFaults(ctx)
	wait.Wait()
	assert.NilError(t, ctx.Err())
	r.check()
}

// place calls one order until it is answered.
func (r *orderRun) place(ctx context.Context, random *rand.Rand, l *ledger, booking bool) {
	defer r.done.Add(1)
	l.key, l.group = newKey(r.t), "sms-notify"
	path := "sms-notify/send"
	if booking {
		l.group, path = "bookings", "bookings/book"
	}
	first := random.IntN(orderHosts)
	for l.calls < maxCalls && !l.answered && ctx.Err() == nil {
		targets := *r.targets.Load()
		host := targets[(first+l.calls)%len(targets)]
		l.calls++
		r.call(ctx, host, path, l)
		if !l.answered {
			time.Sleep(time.Duration(50+random.IntN(100)) * time.Millisecond)
		}
	}
}

// call sends the order once and notes what the caller learns.
func (r *orderRun) call(ctx context.Context, host *site.Host, path string, l *ledger) {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+host.Caller+api.PathServices+path, bytes.NewReader([]byte(`{"visit":1}`)))
	assert.Check(r.t, err)
	// The caller repeats by itself; net/http must not, as it would hide a call.
	request.GetBody = nil
	request.Header.Set(api.HeaderWorkspace, "port-of-spain")
	request.Header.Set("Authorization", "Bearer "+token("port-of-spain"))
	request.Header.Set(api.HeaderIdempotencyKey, l.key)
	request.Header.Set(api.HeaderDeadline, strconv.Itoa(1500))
	response, err := r.client.Do(request)
	if err != nil {
		l.unknown = true
		return
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode == http.StatusOK {
		var answer api.ServiceAnswer
		assert.Check(r.t, json.Unmarshal(body, &answer))
		assert.Check(r.t, answer.Status == http.StatusOK, "the upstream answered %s", body)
		l.answered = true
		return
	}
	var failure api.Error
	if err != nil || json.Unmarshal(body, &failure) != nil || failure.Run != api.RunNo {
		l.unknown = true
	}
}

// aim makes the hosts that run now the targets of the callers.
func (r *orderRun) aim() {
	hosts := slices.Clone(r.site.Hosts)
	r.targets.Store(&hosts)
}

// injectFaults injects one or two faults at a time, by the number of finished
// orders and not by the time, in an order that the seed decides.
func (r *orderRun) injectFaults(ctx context.Context) {
	faults := []func(){
		r.killHost, r.freezeHost, r.storeDown, r.storeReplyLost, r.storeFrozen,
		r.storeSlow, r.upstreamCut, r.upstreamReplyLost, r.upstreamSilent, r.storeUnavailable,
	}
	const steps = 20
	plan := append(r.random.Perm(len(faults)), r.random.Perm(len(faults))...)
	for step, index := range plan[:steps] {
		for r.done.Load() < int64((step+1)*orders/(steps+2)) {
			if ctx.Err() != nil {
				return
			}
			time.Sleep(5 * time.Millisecond)
		}
		if second := r.random.IntN(len(faults)); second != index && r.random.IntN(2) == 0 {
			var wait sync.WaitGroup
			// The second of two faults at a time touches neither the hosts nor the site.
			wait.Go([]func(){r.storeReplyLost, r.storeSlow}[second%2])
			faults[index]()
			wait.Wait()
			continue
		}
		faults[index]()
	}
	r.clear()
}

// inject sets a fault at the key-value service.
func (r *orderRun) inject(fault injection.Fault) {
	assert.Check(r.t, fleet.Inject(r.site.KeyValueControl, r.site.KeyValueAddress, fault))
}

func (r *orderRun) clear() {
	assert.Check(r.t, fleet.Clear(r.site.KeyValueControl, r.site.KeyValueAddress))
}

func (r *orderRun) killHost() {
	victim := r.site.Hosts[r.random.IntN(len(r.site.Hosts))]
	assert.Check(r.t, victim.Kill())
	r.killed++
	r.site.Hosts = slices.DeleteFunc(slices.Clone(r.site.Hosts), func(h *site.Host) bool { return h == victim })
	added, err := r.site.AddHost(fmt.Sprintf("added-%d", r.killed))
	if assert.Check(r.t, err) {
		assert.Check(r.t, added.WaitReady(time.Minute))
	}
	r.aim()
}

func (r *orderRun) freezeHost() {
	r.freeze(r.site.Hosts[r.random.IntN(len(r.site.Hosts))].Process, 1500*time.Millisecond)
}

func (r *orderRun) storeFrozen() { r.freeze(r.site.KeyValue, 1200*time.Millisecond) }

func (r *orderRun) freeze(process *site.Process, pause time.Duration) {
	assert.Check(r.t, process.Signal(syscall.SIGSTOP))
	time.Sleep(pause)
	assert.Check(r.t, process.Signal(syscall.SIGCONT))
}

// storeDown refuses new connections to the key-value service and silences the open ones.
func (r *orderRun) storeDown() {
	r.inject(injection.Fault{Mode: injection.ModeRefuse})
	r.inject(injection.Fault{Mode: injection.ModeSilence})
	time.Sleep(time.Second)
	r.clear()
}

func (r *orderRun) storeReplyLost() {
	r.inject(injection.Fault{Mode: injection.ModeDropReply, Path: "/v3/kv/txn", Count: 60})
}

func (r *orderRun) storeUnavailable() {
	r.inject(injection.Fault{Mode: injection.ModeUnavailable, Path: "/v3/kv/txn", Count: 100})
}

func (r *orderRun) storeSlow() {
	r.inject(injection.Fault{Mode: injection.ModeDelay, DelayMs: 60, Count: 60})
}

// upstreamFault sets a fault at one upstream of each of the two services.
func (r *orderRun) upstreamFault(fault injection.Fault) {
	for _, group := range r.site.Options.Document.Groups {
		if group.Name == "bookings" || group.Name == "sms-notify" {
			address := group.Upstreams[r.random.IntN(len(group.Upstreams))].Address
			assert.Check(r.t, fleet.Inject(r.site.Control, string(address), fault))
		}
	}
}

func (r *orderRun) upstreamCut() {
	r.upstreamFault(injection.Fault{Mode: injection.ModeCut, Bytes: 5, Count: 40})
}

func (r *orderRun) upstreamReplyLost() {
	r.upstreamFault(injection.Fault{Mode: injection.ModeDropReply, Count: 40})
}

func (r *orderRun) upstreamSilent() {
	r.upstreamFault(injection.Fault{Mode: injection.ModeSilence})
	r.upstreamFault(injection.Fault{Mode: injection.ModeRefuse, Count: 40})
}

// check compares what the callers were told with what ran.
func (r *orderRun) check() {
	ran := map[string]int{}
	for _, group := range []string{"bookings", "sms-notify"} {
		for _, run := range runs(r.t, r.site, group) {
			ran[run.Key]++
		}
	}
	answered, unknown, calls := 0, 0, 0
	for _, l := range r.ledgers {
		calls += l.calls
		switch {
		case ran[l.key] > 1:
			r.t.Errorf("order %s ran %d times", l.key, ran[l.key])
		case l.answered && ran[l.key] != 1:
			r.t.Errorf("order %s was answered and did not run", l.key)
		case !l.answered && !l.unknown && ran[l.key] != 0:
			r.t.Errorf("order %s ran, and each of its %d calls was told that it did not", l.key, l.calls)
		}
		if l.answered {
			answered++
		} else if l.unknown {
			unknown++
		}
	}
	r.t.Logf("%d orders in %d calls: %d answered, %d unknown, %d not run; %d keys ran", len(r.ledgers), calls, answered, unknown, len(r.ledgers)-answered-unknown, len(ran))
	assert.Equal(r.t, len(r.ledgers), orders)
	// Without repeated calls the faults would not have met the orders.
	assert.Assert(r.t, calls > orders && answered > orders*9/10)
}
