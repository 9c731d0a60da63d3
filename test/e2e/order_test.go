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
	numOrders    = 10_000
	orderCallers = 128
	orderHosts   = 4
	orderSeed    = 20_261
	// maxCallsPerOrder bounds the calls of one order.
	maxCallsPerOrder = 12
	// orderTestTimeout keeps the test from hanging.
	orderTestTimeout = 5 * time.Minute
)

// orderLog records what a caller observed for one order.
type orderLog struct {
	key       string
	group     string
	calls     int
	succeeded bool
	// outcomeUnknown is set when a call ends without showing whether the order ran.
	outcomeUnknown bool
}

// orderRun places orders while faults are injected and cleared.
type orderRun struct {
	t      *testing.T
	site   *site.Site
	random *rand.Rand
	client *http.Client
	// targets are the hosts to which callers send.
	targets  atomic.Pointer[[]*site.Host]
	finished atomic.Int64
	logs     []*orderLog
	// killed counts the hosts that were killed.
	killed int
}

// TestOrdersUnderMixedFaults guards against an order that runs twice, and against a "not
// run" response for an order that ran, while hosts die and freeze, the key-value service
// is down or loses replies, and connections break. Each caller retries its key on other
// hosts until the order succeeds.
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
	r.updateTargets()
	ctx, cancel := context.WithTimeout(t.Context(), orderTestTimeout)
	defer cancel()
	var wait sync.WaitGroup
	for caller := range orderCallers {
		callerLogs := make([]*orderLog, 0, numOrders/orderCallers+1)
		for i := caller; i < numOrders; i += orderCallers {
			callerLogs = append(callerLogs, &orderLog{})
		}
		r.logs = append(r.logs, callerLogs...)
		random := rand.New(rand.NewPCG(orderSeed, uint64(caller)+2))
		wait.Go(func() {
			for i, l := range callerLogs {
				r.place(ctx, random, l, i%2 == 0)
			}
		})
	}
	r.injectFaults(ctx)
	wait.Wait()
	assert.NilError(t, ctx.Err())
	r.check()
}

// place sends one order until it succeeds or reaches maxCallsPerOrder.
func (r *orderRun) place(ctx context.Context, random *rand.Rand, l *orderLog, booking bool) {
	defer r.finished.Add(1)
	l.key, l.group = newIdempotencyKey(r.t), "sms-notify"
	path := "sms-notify/send"
	if booking {
		l.group, path = "bookings", "bookings/book"
	}
	firstHost := random.IntN(orderHosts)
	for l.calls < maxCallsPerOrder && !l.succeeded && ctx.Err() == nil {
		targets := *r.targets.Load()
		host := targets[(firstHost+l.calls)%len(targets)]
		l.calls++
		r.call(ctx, host, path, l)
		if !l.succeeded {
			time.Sleep(time.Duration(50+random.IntN(100)) * time.Millisecond)
		}
	}
}

// call sends the order once and records what the caller observes.
func (r *orderRun) call(ctx context.Context, host *site.Host, path string, l *orderLog) {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+host.CallerAddress+api.PathServices+path, bytes.NewReader([]byte(`{"visit":1}`)))
	assert.Check(r.t, err)
	// The caller does the retries; a retry by net/http would not be counted as a call.
	request.GetBody = nil
	request.Header.Set(api.HeaderWorkspace, "port-of-spain")
	request.Header.Set("Authorization", "Bearer "+token("port-of-spain"))
	request.Header.Set(api.HeaderIdempotencyKey, l.key)
	request.Header.Set(api.HeaderDeadline, strconv.Itoa(1500))
	response, err := r.client.Do(request)
	if err != nil {
		l.outcomeUnknown = true
		return
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode == http.StatusOK {
		var result api.ServiceAnswer
		assert.Check(r.t, json.Unmarshal(body, &result))
		assert.Check(r.t, result.Status == http.StatusOK, "upstream responded with %s", body)
		l.succeeded = true
		return
	}
	var failure api.Error
	if err != nil || json.Unmarshal(body, &failure) != nil || failure.Run != api.RunNo {
		l.outcomeUnknown = true
	}
}

// updateTargets makes callers send to the hosts that are running now.
func (r *orderRun) updateTargets() {
	hosts := slices.Clone(r.site.Hosts)
	r.targets.Store(&hosts)
}

// injectFaults injects one or two faults at a time, in a sequence that depends on the
// seed. The number of finished orders, not the time, triggers each fault.
func (r *orderRun) injectFaults(ctx context.Context) {
	faults := []func(){
		r.killHost, r.freezeHost, r.storeDown, r.storeReplyLost, r.storeFrozen,
		r.storeSlow, r.upstreamTruncated, r.upstreamReplyLost, r.upstreamStalled, r.storeUnavailable,
	}
	const steps = 20
	plan := append(r.random.Perm(len(faults)), r.random.Perm(len(faults))...)
	for step, index := range plan[:steps] {
		for r.finished.Load() < int64((step+1)*numOrders/(steps+2)) {
			if ctx.Err() != nil {
				return
			}
			time.Sleep(5 * time.Millisecond)
		}
		if second := r.random.IntN(len(faults)); second != index && r.random.IntN(2) == 0 {
			var wait sync.WaitGroup
			// The second of two concurrent faults affects neither the hosts nor the site.
			wait.Go([]func(){r.storeReplyLost, r.storeSlow}[second%2])
			faults[index]()
			wait.Wait()
			continue
		}
		faults[index]()
	}
	r.clear()
}

// injectStoreFault injects a fault into the key-value service.
func (r *orderRun) injectStoreFault(fault injection.Fault) {
	assert.Check(r.t, fleet.Inject(r.site.KeyValueControlAddress, r.site.KeyValueAddress, fault))
}

func (r *orderRun) clear() {
	assert.Check(r.t, fleet.Clear(r.site.KeyValueControlAddress, r.site.KeyValueAddress))
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
	r.updateTargets()
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

// storeDown makes the key-value service refuse new connections and stalls the open ones.
func (r *orderRun) storeDown() {
	r.injectStoreFault(injection.Fault{Mode: injection.ModeRefuse})
	r.injectStoreFault(injection.Fault{Mode: injection.ModeStall})
	time.Sleep(time.Second)
	r.clear()
}

func (r *orderRun) storeReplyLost() {
	r.injectStoreFault(injection.Fault{Mode: injection.ModeDropReply, Path: "/v3/kv/txn", Count: 60})
}

func (r *orderRun) storeUnavailable() {
	r.injectStoreFault(injection.Fault{Mode: injection.ModeUnavailable, Path: "/v3/kv/txn", Count: 100})
}

func (r *orderRun) storeSlow() {
	r.injectStoreFault(injection.Fault{Mode: injection.ModeDelay, DelayMs: 60, Count: 60})
}

// injectUpstreamFault injects a fault into one upstream of each of the two services.
func (r *orderRun) injectUpstreamFault(fault injection.Fault) {
	for _, group := range r.site.Options.Document.Groups {
		if group.Name == "bookings" || group.Name == "sms-notify" {
			address := group.Upstreams[r.random.IntN(len(group.Upstreams))].Address
			assert.Check(r.t, fleet.Inject(r.site.ControlAddress, string(address), fault))
		}
	}
}

func (r *orderRun) upstreamTruncated() {
	r.injectUpstreamFault(injection.Fault{Mode: injection.ModeTruncate, Bytes: 5, Count: 40})
}

func (r *orderRun) upstreamReplyLost() {
	r.injectUpstreamFault(injection.Fault{Mode: injection.ModeDropReply, Count: 40})
}

func (r *orderRun) upstreamStalled() {
	r.injectUpstreamFault(injection.Fault{Mode: injection.ModeStall})
	r.injectUpstreamFault(injection.Fault{Mode: injection.ModeRefuse, Count: 40})
}

// check compares what the callers observed with the orders that ran.
func (r *orderRun) check() {
	ran := map[string]int{}
	for _, group := range []string{"bookings", "sms-notify"} {
		for _, run := range fetchRuns(r.t, r.site, group) {
			ran[run.Key]++
		}
	}
	succeeded, outcomeUnknown, calls := 0, 0, 0
	for _, l := range r.logs {
		calls += l.calls
		switch {
		case ran[l.key] > 1:
			r.t.Errorf("order %s ran %d times", l.key, ran[l.key])
		case l.succeeded && ran[l.key] != 1:
			r.t.Errorf("order %s succeeded for its caller but did not run", l.key)
		case !l.succeeded && !l.outcomeUnknown && ran[l.key] != 0:
			r.t.Errorf("order %s ran, but all of its %d calls reported that it did not", l.key, l.calls)
		}
		if l.succeeded {
			succeeded++
		} else if l.outcomeUnknown {
			outcomeUnknown++
		}
	}
	r.t.Logf("%d orders in %d calls: %d succeeded, %d unknown, %d not run; %d keys ran", len(r.logs), calls, succeeded, outcomeUnknown, len(r.logs)-succeeded-outcomeUnknown, len(ran))
	assert.Equal(r.t, len(r.logs), numOrders)
	// If there were no retries, the faults did not affect any order.
	assert.Assert(r.t, calls > numOrders && succeeded > numOrders*9/10)
}
