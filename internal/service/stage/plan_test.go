package stage

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"redwingloft/internal/data/fleet"
	"redwingloft/internal/helper/fault"
	"redwingloft/internal/helper/logging"
	"redwingloft/internal/helper/metric"
	"redwingloft/internal/service/throttle"
	"redwingloft/pkg/api"
)

// batchHarness runs a plan in virtual time without a network: calls end when the clock reaches
// their end.
type batchHarness struct {
	*plan
	now       time.Time
	running   map[*Call]time.Time
	services  map[api.ServiceName]*fleet.Service
	upstreams []*fleet.Upstream
	results   int
	outcomes  map[api.RequestID]Outcome
	errors    map[api.RequestID]error
	endedAt   map[api.RequestID]time.Time
	items     int
	calls     int
}

func newBatchHarness(services ...*fleet.Service) *batchHarness {
	b := &batchHarness{
		now: time.Unix(1000, 0), running: map[*Call]time.Time{}, services: map[api.ServiceName]*fleet.Service{},
		outcomes: map[api.RequestID]Outcome{}, errors: map[api.RequestID]error{}, endedAt: map[api.RequestID]time.Time{},
	}
	b.plan = newPlan(func(api.ServiceName) bool { return true })
	for _, s := range services {
		b.services[s.Name] = s
	}
	return b
}

func batchedService(name api.ServiceName, items int) *fleet.Service {
	return &fleet.Service{Name: name, Batching: &fleet.Batching{
		MaxConcurrent: 1, MaxItems: items, CallTime: 200 * time.Millisecond, ItemTime: 20 * time.Millisecond,
		ResultCapacity: 20 << 20, ResultTTL: 4 * time.Second,
	}}
}

func (b *batchHarness) add(service api.ServiceName, centre api.DataCentre) *fleet.Upstream {
	u := &fleet.Upstream{ID: api.UpstreamID(fmt.Sprint("u", len(b.upstreams))), Service: service, DataCentre: centre, State: fleet.StateReady}
	b.upstreams = append(b.upstreams, u)
	b.setUpstreams(b.upstreams, b.services)
	return u
}

func (b *batchHarness) worker(u *fleet.Upstream) *worker { return b.workers[u.Incarnation()] }

func (b *batchHarness) job(id string, rank int, target, deadline time.Duration, stages ...Spec) Job {
	return Job{Request: api.RequestID(id), Key: "key-" + id, Rank: rank, Target: b.now.Add(target), Deadline: b.now.Add(deadline), Stages: stages}
}

func (b *batchHarness) submitJob(job Job) {
	b.submit(job, b.now, func(o Outcome, err error) {
		b.outcomes[job.Request], b.errors[job.Request], b.endedAt[job.Request] = o, err, b.now
	})
}

// dispatchNow starts the calls that the plan returns; slow multiplies their duration by upstream.
func (b *batchHarness) dispatchNow(slow map[api.UpstreamID]float64) []*Call {
	calls := b.dispatch(b.now)
	for _, call := range calls {
		factor := 1.0
		if f := slow[call.Upstream().ID]; f > 0 {
			factor = f
		}
		limits := call.Worker.limits
		took := time.Duration(factor * float64(limits.CallTime+time.Duration(len(call.Items))*limits.ItemTime))
		b.running[call] = b.now.Add(took)
		b.items += len(call.Items)
		b.calls++
	}
	return calls
}

func (b *batchHarness) newResults(call *Call) []fleet.ItemResult {
	results := make([]fleet.ItemResult, len(call.Items))
	for i := range results {
		b.results++
		results[i].Result = fleet.ResultRef(fmt.Sprintf("%s/%d", call.Upstream().ID, b.results))
	}
	return results
}

// completeNext completes the next call and dispatches again. It reports whether there was a call.
func (b *batchHarness) completeNext(slow map[api.UpstreamID]float64) bool {
	var next *Call
	for call, end := range b.running {
		if next == nil || end.Before(b.running[next]) {
			next = call
		}
	}
	if next == nil {
		return false
	}
	b.now = b.running[next]
	delete(b.running, next)
	b.complete(next, b.newResults(next), FailureNone, b.now)
	for _, f := range b.freeCalls(true, b.now) {
		b.completeFree(f, true, b.now)
	}
	b.dispatchNow(slow)
	return true
}

// TestItemsOfManyRequestsShareCalls runs a load that calls of one item could not carry: items
// queued for a busy upstream must share calls.
func TestItemsOfManyRequestsShareCalls(t *testing.T) {
	b := newBatchHarness(batchedService("s", 8))
	b.add("s", "a")
	for i := range 40 {
		b.submitJob(b.job(fmt.Sprint("r", i), 0, 5*time.Second, 10*time.Second, Spec{Service: "s", Items: 1, ResultBytes: 1000}))
		b.dispatchNow(nil)
		b.now = b.now.Add(20 * time.Millisecond)
		for call, end := range b.running {
			if !b.now.Before(end) {
				delete(b.running, call)
				b.complete(call, b.newResults(call), FailureNone, b.now)
			}
		}
	}
	for b.completeNext(nil) {
		continue
	}
	assert.Equal(t, len(b.outcomes), 40)
	assert.Assert(t, b.calls <= 9, "%d calls for 40 items", b.calls)
}

// TestSingleItemIsDispatchedAtOnce guards against an item that is delayed to fill a batch while an
// upstream is idle.
func TestSingleItemIsDispatchedAtOnce(t *testing.T) {
	b := newBatchHarness(batchedService("s", 8))
	b.add("s", "a")
	b.submitJob(b.job("r", 0, time.Second, time.Second, Spec{Service: "s", Items: 1}))
	assert.Equal(t, len(b.dispatchNow(nil)), 1)
}

// TestStagesRunInOrder guards against an item that receives inputs of another request or stage,
// only some of its inputs, or none.
func TestStagesRunInOrder(t *testing.T) {
	b := newBatchHarness(batchedService("first", 8), batchedService("second", 8))
	b.add("first", "a")
	b.add("second", "a")
	for _, id := range []string{"x", "y"} {
		b.submitJob(b.job(id, 0, 5*time.Second, 5*time.Second, Spec{Service: "first", Items: 2, ResultBytes: 10}, Spec{Service: "second", After: []int{0}, Items: 3, ResultBytes: 10}))
	}
	inputs := map[api.RequestID]map[fleet.ResultRef]bool{}
	b.dispatchNow(nil)
	for {
		for call := range b.running {
			for _, sent := range call.Items {
				if sent.Stage == 0 {
					assert.Equal(t, sent.Key, "key-"+string(sent.Request))
					assert.Equal(t, len(sent.Inputs), 0)
					continue
				}
				assert.Equal(t, sent.Key, "")
				assert.Equal(t, len(sent.Inputs), 2)
				if inputs[sent.Request] == nil {
					inputs[sent.Request] = map[fleet.ResultRef]bool{}
				}
				for _, input := range sent.Inputs {
					inputs[sent.Request][input] = true
				}
			}
		}
		if !b.completeNext(nil) {
			break
		}
	}
	for _, id := range []api.RequestID{"x", "y"} {
		assert.Equal(t, len(b.outcomes[id].Results()), 3)
		assert.Equal(t, len(inputs[id]), 2)
	}
	for input := range inputs["x"] {
		assert.Assert(t, !inputs["y"][input])
	}
}

// TestUrgentItemsRunFirst guards against late items that make others late too, and against a lower
// priority that runs before a higher one.
func TestUrgentItemsRunFirst(t *testing.T) {
	b := newBatchHarness(batchedService("s", 1))
	b.add("s", "a")
	b.submitJob(b.job("running", 0, 3*time.Second, 9*time.Second, Spec{Service: "s", Items: 1}))
	b.dispatchNow(nil)
	b.submitJob(b.job("late low", 2, 10*time.Millisecond, 9*time.Second, Spec{Service: "s", Items: 1}))
	b.submitJob(b.job("late", 0, 10*time.Millisecond, 9*time.Second, Spec{Service: "s", Items: 1}))
	b.submitJob(b.job("low", 2, 3*time.Second, 9*time.Second, Spec{Service: "s", Items: 1}))
	b.submitJob(b.job("high", 0, 3*time.Second, 9*time.Second, Spec{Service: "s", Items: 1}))
	for b.completeNext(nil) {
		continue
	}
	assert.Assert(t, b.endedAt["high"].Before(b.endedAt["late"]))
	assert.Assert(t, b.endedAt["late"].Before(b.endedAt["low"]))
	assert.Assert(t, b.endedAt["low"].Before(b.endedAt["late low"]))
}

// TestPartialStageIsFinishedFirst guards against late jobs with partially done stages: their
// results occupy capacity, expire unused and are recomputed.
func TestPartialStageIsFinishedFirst(t *testing.T) {
	b := newBatchHarness(batchedService("s", 2))
	b.add("s", "a")
	b.submitJob(b.job("begun", 0, 300*time.Millisecond, 9*time.Second, Spec{Service: "s", Items: 3, ResultBytes: 100}))
	b.dispatchNow(nil)
	for i := range 6 {
		b.submitJob(b.job(fmt.Sprint("new", i), 0, 5*time.Second, 9*time.Second, Spec{Service: "s", Items: 2, ResultBytes: 100}))
	}
	b.completeNext(nil)
	b.completeNext(nil)
	assert.Equal(t, len(b.outcomes["begun"].Results()), 3)
}

// TestBytesCountedUntilFreed guards against calls whose results find no room because released
// results are counted as freed before the upstream has freed them.
func TestBytesCountedUntilFreed(t *testing.T) {
	service := batchedService("s", 8)
	service.Batching.ResultCapacity = 300
	b := newBatchHarness(service)
	u := b.add("s", "a")
	b.submitJob(b.job("r", 0, 5*time.Second, 9*time.Second, Spec{Service: "s", Items: 3, ResultBytes: 100}))
	calls := b.dispatchNow(nil)
	assert.Equal(t, len(calls), 1)
	b.complete(calls[0], b.newResults(calls[0]), FailureNone, b.now)
	b.submitJob(b.job("next", 0, 5*time.Second, 9*time.Second, Spec{Service: "s", Items: 1, ResultBytes: 100}))
	assert.Equal(t, len(b.dispatchNow(nil)), 0)
	for _, result := range b.outcomes["r"].Results() {
		b.worker(u).release(result)
	}
	freeCalls := b.freeCalls(false, b.now)
	assert.Equal(t, len(freeCalls), 1)
	assert.Equal(t, len(b.dispatchNow(nil)), 0, "the results are not freed yet")
	b.completeFree(freeCalls[0], true, b.now)
	assert.Equal(t, len(b.dispatchNow(nil)), 1)
}

// TestNoRoomWidensMargin guards against an upstream that is called repeatedly without delay
// although its results are larger than stated.
func TestNoRoomWidensMargin(t *testing.T) {
	service := batchedService("s", 8)
	service.Batching.ResultCapacity = 1000
	b := newBatchHarness(service)
	u := b.add("s", "a")
	b.submitJob(b.job("r", 0, 5*time.Second, 9*time.Second, Spec{Service: "s", Items: 2, ResultBytes: 100}))
	calls := b.dispatchNow(nil)
	full := []fleet.ItemResult{{Failure: fleet.FailureNoRoom}, {Failure: fleet.FailureNoRoom}}
	b.now = b.now.Add(5 * time.Millisecond)
	b.complete(calls[0], full, FailureNone, b.now)
	assert.Equal(t, len(b.dispatchNow(nil)), 0)
	assert.Equal(t, b.worker(u).slowdown, 1.0, "the short call changed the slowdown")
	assert.Equal(t, b.worker(u).freeBytes(b.now), int64(950))
	b.now = b.now.Add(fullCooldown)
	assert.Equal(t, len(b.dispatchNow(nil)), 1)
}

// TestLostCallIsRetriedElsewhere guards against a job that fails with the upstream that ran its
// items.
func TestLostCallIsRetriedElsewhere(t *testing.T) {
	b := newBatchHarness(batchedService("s", 8))
	b.add("s", "a")
	b.submitJob(b.job("r", 0, 5*time.Second, 9*time.Second, Spec{Service: "s", Items: 2}))
	calls := b.dispatchNow(nil)
	b.running = map[*Call]time.Time{}
	b.add("s", "b")
	b.complete(calls[0], nil, FailureLost, b.now)
	again := b.dispatchNow(nil)
	assert.Equal(t, len(again), 1)
	assert.Assert(t, again[0].Upstream().ID != calls[0].Upstream().ID)
	for b.completeNext(nil) {
		continue
	}
	assert.Equal(t, len(b.outcomes["r"].Results()), 2)
}

// TestStragglerIsHedged guards against a request that waits for one slow upstream, and against a
// result that is returned twice.
func TestStragglerIsHedged(t *testing.T) {
	b := newBatchHarness(batchedService("s", 8))
	slow := b.add("s", "a")
	b.submitJob(b.job("r", 0, 5*time.Second, 9*time.Second, Spec{Service: "s", Items: 2}))
	calls := b.dispatchNow(map[api.UpstreamID]float64{slow.ID: 10})
	b.add("s", "b")
	b.now = b.now.Add(calls[0].StragglerAfter())
	assert.Equal(t, b.hedge(calls[0], b.now), 2)
	assert.Equal(t, b.hedge(calls[0], b.now), 0)
	b.dispatchNow(nil)
	b.completeNext(nil)
	assert.Equal(t, len(b.outcomes["r"].Results()), 2)
	for b.completeNext(nil) {
		continue
	}
	assert.Equal(t, b.errors["r"], nil)
}

// TestLostInputIsRecomputed guards against a job that fails because an input was lost with the
// upstream that held it.
func TestLostInputIsRecomputed(t *testing.T) {
	b := newBatchHarness(batchedService("first", 8), batchedService("second", 8))
	b.add("first", "a")
	b.add("second", "a")
	b.submitJob(b.job("r", 0, 5*time.Second, 9*time.Second, Spec{Service: "first", Items: 1, ResultBytes: 10}, Spec{Service: "second", After: []int{0}, Items: 1, ResultBytes: 10}))
	b.dispatchNow(nil)
	b.completeNext(nil)
	for call := range b.running {
		delete(b.running, call)
		b.complete(call, []fleet.ItemResult{{Failure: fleet.FailureInputGone}}, FailureNone, b.now)
	}
	b.dispatchNow(nil)
	for b.completeNext(nil) {
		continue
	}
	assert.Equal(t, len(b.outcomes["r"].Results()), 1)
	assert.Equal(t, b.errors["r"], nil)
}

// TestLostCallWithInvalidatedInput guards against a crash: an item was queued again while one of
// its inputs was being recomputed.
func TestLostCallWithInvalidatedInput(t *testing.T) {
	b := newBatchHarness(batchedService("first", 8), batchedService("second", 1))
	b.add("first", "a")
	b.add("second", "a")
	b.add("second", "b")
	b.submitJob(b.job("r", 0, 5*time.Second, 9*time.Second, Spec{Service: "first", Items: 1, ResultBytes: 1 << 20}, Spec{Service: "second", After: []int{0}, Items: 2, ResultBytes: 10}))
	b.dispatchNow(nil)
	b.completeNext(nil)
	b.now = b.now.Add(localityWait)
	b.dispatchNow(nil)
	assert.Equal(t, len(b.running), 2)
	gone := true
	for call := range b.running {
		if gone {
			b.complete(call, []fleet.ItemResult{{Failure: fleet.FailureInputGone}}, FailureNone, b.now)
		} else {
			b.complete(call, nil, FailureLost, b.now)
		}
		gone = false
	}
	b.running = map[*Call]time.Time{}
	b.dispatchNow(nil)
	for range 20 {
		if !b.completeNext(nil) {
			b.now = b.now.Add(time.Second)
			b.dispatchNow(nil)
		}
	}
	assert.Equal(t, len(b.outcomes["r"].Results()), 2)
	assert.Equal(t, b.errors["r"], nil)
}

// TestExpiringInputIsRecomputedFirst guards against a call that is wasted on an input which expires
// before it is fetched.
func TestExpiringInputIsRecomputedFirst(t *testing.T) {
	b := newBatchHarness(batchedService("first", 8), batchedService("second", 8))
	b.add("first", "a")
	b.submitJob(b.job("r", 0, 5*time.Second, 20*time.Second, Spec{Service: "first", Items: 1, ResultBytes: 10}, Spec{Service: "second", After: []int{0}, Items: 1, ResultBytes: 10}))
	b.dispatchNow(nil)
	b.completeNext(nil)
	b.now = b.now.Add(5 * time.Second)
	b.add("second", "a")
	b.dispatchNow(nil)
	for call := range b.running {
		assert.Equal(t, call.Upstream().Service, api.ServiceName("first"))
	}
	if len(b.running) == 0 {
		b.dispatchNow(nil)
	}
	for b.completeNext(nil) {
		continue
	}
	assert.Equal(t, len(b.outcomes["r"].Results()), 1)
}

// TestLargeResultRunsInPreferredDataCentre guards against large results that are transferred
// between data centres while an upstream in the preferred one is idle.
func TestLargeResultRunsInPreferredDataCentre(t *testing.T) {
	b := newBatchHarness(batchedService("s", 8))
	b.add("s", "a")
	home := b.add("s", "b")
	job := b.job("r", 0, 5*time.Second, 9*time.Second, Spec{Service: "s", Items: 1, ResultBytes: 1 << 20})
	job.Home = "b"
	b.submitJob(job)
	calls := b.dispatchNow(nil)
	assert.Equal(t, len(calls), 1)
	assert.Equal(t, calls[0].Upstream().ID, home.ID)
}

// TestForecastRefusesOverload runs twice the load that the upstreams can carry: every accepted job
// must be done before its deadline, and the upstreams must stay busy.
func TestForecastRefusesOverload(t *testing.T) {
	b := newBatchHarness(batchedService("s", 8))
	for range 4 {
		b.add("s", "a")
	}
	accepted, refused := 0, 0
	deadlines := map[api.RequestID]time.Time{}
	for i := range 400 {
		// 100 jobs per second of 2 items each; the upstreams process 89 items per second.
		b.now = b.now.Add(10 * time.Millisecond)
		for call, end := range b.running {
			if !b.now.Before(end) {
				delete(b.running, call)
				b.complete(call, b.newResults(call), FailureNone, b.now)
				for _, f := range b.freeCalls(true, b.now) {
					b.completeFree(f, true, b.now)
				}
			}
		}
		job := b.job(fmt.Sprint("r", i), 0, 2*time.Second, 6*time.Second, Spec{Service: "s", Items: 2, ResultBytes: 1000})
		f := b.forecast(&job, b.now)
		if !f.accepts(&job, b.now) {
			refused++
			continue
		}
		accepted++
		deadlines[job.Request] = job.Deadline
		b.submitJob(job)
		b.dispatchNow(nil)
	}
	for b.completeNext(nil) {
		continue
	}
	inTime := 0
	for id, deadline := range deadlines {
		if b.errors[id] == nil && b.endedAt[id].Before(deadline) {
			inTime++
		}
	}
	assert.Equal(t, inTime, accepted, "of %d accepted, %d refused", accepted, refused)
	assert.Assert(t, refused > 50, "refused %d", refused)
	assert.Assert(t, accepted > 150, "accepted %d", accepted)
}

// TestEveryJobEndsOnce runs random jobs, failures and stragglers: every job must end exactly once,
// with all its results or an error.
func TestEveryJobEndsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newBatchHarness(batchedService("first", 4), batchedService("second", 6))
		for i := range 4 {
			b.add([]api.ServiceName{"first", "second"}[i%2], api.DataCentre(fmt.Sprint("dc", i%2)))
		}
		ended := map[api.RequestID]int{}
		wanted := map[api.RequestID]int{}
		count := rapid.IntRange(1, 12).Draw(t, "jobs")
		for i := range count {
			first, second := rapid.IntRange(0, 3).Draw(t, "first"), rapid.IntRange(1, 4).Draw(t, "second")
			job := b.job(fmt.Sprint("r", i), i%3, time.Second, 30*time.Second, Spec{Service: "first", Items: first, ResultBytes: 1 << 20}, Spec{Service: "second", After: []int{0}, Items: second, ResultBytes: 1000})
			wanted[job.Request] = second
			b.submit(job, b.now, func(o Outcome, err error) {
				ended[job.Request]++
				if err == nil && len(o.Results()) != wanted[job.Request] {
					t.Fatalf("%d results, not %d", len(o.Results()), wanted[job.Request])
				}
			})
		}
		for range 2000 {
			b.dispatchNow(nil)
			var next *Call
			for call, end := range b.running {
				if next == nil || end.Before(b.running[next]) {
					next = call
				}
			}
			if next == nil {
				if len(b.jobs) == 0 {
					break
				}
				b.now = b.now.Add(100 * time.Millisecond)
				continue
			}
			b.now = b.running[next]
			switch rapid.IntRange(0, 9).Draw(t, "end") {
			case 0:
				delete(b.running, next)
				b.complete(next, nil, FailureLost, b.now)
			case 1:
				delete(b.running, next)
				b.complete(next, nil, FailureUnreachable, b.now)
			case 2:
				delete(b.running, next)
				results := b.newResults(next)
				results[0] = fleet.ItemResult{Failure: fleet.FailureInputGone}
				b.complete(next, results, FailureNone, b.now)
			case 3:
				b.hedge(next, b.now)
				b.running[next] = b.now.Add(time.Second)
			default:
				delete(b.running, next)
				b.complete(next, b.newResults(next), FailureNone, b.now)
			}
			for _, f := range b.freeCalls(true, b.now) {
				b.completeFree(f, true, b.now)
			}
		}
		for id := range wanted {
			if ended[id] != 1 {
				t.Fatalf("job %s ended %d times", id, ended[id])
			}
		}
	})
}

// TestFetchedInputsAreReleased guards against a stage that stalls because the inputs that running
// calls have already fetched still occupy the capacity of the stage before.
func TestFetchedInputsAreReleased(t *testing.T) {
	b := newBatchHarness(batchedService("first", 8), batchedService("second", 8))
	first := b.add("first", "a")
	b.add("second", "a")
	b.submitJob(b.job("r", 0, 5*time.Second, 9*time.Second, Spec{Service: "first", Items: 4, ResultBytes: 100}, Spec{Service: "second", After: []int{0}, Items: 1, ResultBytes: 10}))
	b.dispatchNow(nil)
	b.completeNext(nil)
	assert.Equal(t, len(b.running), 1)
	b.releaseFetched(b.now.Add(fetchTime / 2))
	assert.Equal(t, len(b.worker(first).pendingFree), 0)
	b.now = b.now.Add(fetchTime)
	b.releaseFetched(b.now)
	assert.Equal(t, len(b.worker(first).pendingFree), 4)
	for _, f := range b.freeCalls(true, b.now) {
		b.completeFree(f, true, b.now)
	}
	// The call is lost afterwards, so its inputs are recomputed.
	for call := range b.running {
		delete(b.running, call)
		b.complete(call, nil, FailureLost, b.now)
	}
	for range 20 {
		b.dispatchNow(nil)
		if !b.completeNext(nil) {
			b.now = b.now.Add(time.Second)
		}
	}
	assert.Equal(t, len(b.outcomes["r"].Results()), 1)
	assert.Equal(t, b.errors["r"], nil)
}

// TestLargeResultIsDeferred guards against a large result that occupies capacity while its engine
// waits for a longer chain of stages.
func TestLargeResultIsDeferred(t *testing.T) {
	service := batchedService("s", 8)
	service.Batching.ResultCapacity = 4 << 20
	b := newBatchHarness(service, batchedService("t", 8))
	maker := b.worker(b.add("s", "a"))
	maker.hold("other", 2<<20, b.now, b.now)
	b.add("t", "a")
	b.submitJob(b.job("r", 0, 5*time.Second, 9*time.Second, Spec{Service: "s", Items: 1, ResultBytes: 1 << 20},
		Spec{Service: "s", Items: 1, ResultBytes: 10}, Spec{Service: "t", After: []int{1}, Items: 1, ResultBytes: 10}, Spec{Service: "t", After: []int{2}, Items: 1, ResultBytes: 10}))
	calls := b.dispatchNow(nil)
	assert.Equal(t, len(calls), 1)
	assert.Equal(t, len(calls[0].Items), 1)
	assert.Equal(t, calls[0].Items[0].Stage, 1)
	for b.completeNext(nil) {
		continue
	}
	assert.Equal(t, len(b.outcomes["r"].Results()), 2)
}

// TestLostCallReservesBytes guards against calls whose results find no room because the results of
// a call with a lost response are unknown.
func TestLostCallReservesBytes(t *testing.T) {
	service := batchedService("s", 8)
	service.Batching.ResultCapacity = 300
	b := newBatchHarness(service)
	u := b.add("s", "a")
	b.submitJob(b.job("r", 0, 5*time.Second, 9*time.Second, Spec{Service: "s", Items: 2, ResultBytes: 100}))
	calls := b.dispatchNow(nil)
	b.complete(calls[0], nil, FailureLost, b.now)
	assert.Equal(t, b.worker(u).freeBytes(b.now), int64(100))
	assert.Equal(t, b.worker(u).freeBytes(b.now.Add(service.Batching.ResultTTL)), int64(300))
}

// TestForecastCountsResultBytes guards against jobs that are started although the results of
// earlier ones occupy all the capacity: their stages would stop midway and hold results that can't
// be used.
func TestForecastCountsResultBytes(t *testing.T) {
	service := batchedService("s", 40)
	service.Batching.ResultCapacity = 1000
	b := newBatchHarness(service)
	u := b.add("s", "a")
	spec := Spec{Service: "s", Items: 5, ResultBytes: 100}
	for i := range 10 {
		b.submitJob(b.job(fmt.Sprint("r", i), 0, 3*time.Second, 6*time.Second, spec))
	}
	job := b.job("next", 0, 3*time.Second, 6*time.Second, spec)
	f := b.forecast(&job, b.now)
	assert.Assert(t, f.meetsTarget(&job, b.now), "50 items are two calls: %s", f.onTime)
	b.worker(u).hold("old", 1000, b.now, b.now)
	b.worker(u).completeFree("old", b.now.Add(800*time.Millisecond))
	// Storing 5000 bytes takes five times the residence time of 0.8 s.
	f = b.forecast(&job, b.now)
	assert.Assert(t, !f.meetsTarget(&job, b.now), "the forecast is %s", f.onTime)
	assert.Equal(t, f.onTime, 4*time.Second+b.callTime("s"))
}

// TestRateLimitOfStageUpstream guards against calls to an upstream of a stage beyond the limit
// that it names, those that free results included, and against a queue that is not served.
func TestRateLimitOfStageUpstream(t *testing.T) {
	const rate, window = 1.5, 4 * time.Second
	b := newBatchHarness(batchedService("s", 8))
	b.throttle = &throttle.Table{Log: logging.Discard(), Metrics: metric.New()}
	u, named := b.add("s", "a"), rate
	b.throttle.Observe(u, &named, b.now)
	var sent []time.Time
	for step := range 2000 {
		b.now = b.now.Add(10 * time.Millisecond)
		if step%10 == 0 {
			b.submit(b.job(fmt.Sprint("j", step), 1, 3*time.Second, 6*time.Second, Spec{Service: "s", Items: 1, ResultBytes: 1000}), b.now, func(Outcome, error) {})
		}
		for _, call := range b.dispatch(b.now) {
			sent = append(sent, b.now)
			b.running[call] = b.now.Add(call.Expected)
		}
		for call, end := range b.running {
			if !b.now.Before(end) {
				delete(b.running, call)
				results := make([]fleet.ItemResult, len(call.Items))
				for i := range results {
					results[i].Result = fleet.ResultRef(fmt.Sprint("r", step, "/", i))
				}
				b.complete(call, results, FailureNone, b.now)
			}
		}
		for _, f := range b.freeCalls(step%25 == 0, b.now) {
			sent = append(sent, b.now)
			b.completeFree(f, true, b.now)
		}
	}
	for i, first := range sent {
		count := 0
		for _, at := range sent[i:] {
			if at.Sub(first) < window {
				count++
			}
		}
		assert.Assert(t, float64(count) <= 1.5*rate*window.Seconds()+5, "%d calls in %s", count, window)
	}
	assert.Assert(t, float64(len(sent)) > 0.8*rate*20, "only %d calls", len(sent))
	perSecond, _ := b.rate("s", b.now)
	assert.Assert(t, perSecond <= rate*8, "the forecast expects %.1f items a second", perSecond)
}

// TestColdStageUpstream guards against more calls to a cold upstream of a stage than it may get, those that
// free results included, against a forecast that expects more, and against a queue that is not served.
func TestColdStageUpstream(t *testing.T) {
	const bound = 4
	b := newBatchHarness(batchedService("s", 8))
	b.throttle = &throttle.Table{Log: logging.Discard(), Metrics: metric.New(), ColdBound: func(api.ServiceName) (int, bool) { return bound, true }}
	u := b.add("s", "a")
	u.ColdUntil = b.now.Add(10 * time.Second)
	perSecond, _ := b.rate("s", b.now)
	assert.Assert(t, perSecond <= bound*8, "the forecast expects %.1f items a second", perSecond)
	var sent []time.Time
	for step := range 1500 {
		b.now = b.now.Add(10 * time.Millisecond)
		if step%10 == 0 {
			b.submit(b.job(fmt.Sprint("j", step), 1, 3*time.Second, 6*time.Second, Spec{Service: "s", Items: 1, ResultBytes: 1000}), b.now, func(Outcome, error) {})
		}
		for _, call := range b.dispatch(b.now) {
			sent = append(sent, b.now)
			results := make([]fleet.ItemResult, len(call.Items))
			for i := range results {
				results[i].Result = fleet.ResultRef(fmt.Sprint("r", step, "/", i))
			}
			b.complete(call, results, FailureNone, b.now)
		}
		for _, f := range b.freeCalls(step%25 == 0, b.now) {
			sent = append(sent, b.now)
			b.completeFree(f, true, b.now)
		}
	}
	cold := 0
	for i, first := range sent {
		if !first.Before(u.ColdUntil) {
			break
		}
		cold++
		count := 0
		for _, at := range sent[i:] {
			if at.Sub(first) < time.Second && at.Before(u.ColdUntil) {
				count++
			}
		}
		assert.Assert(t, count <= bound/2, "%d calls in a second from one scheduling host", count)
	}
	assert.Assert(t, cold > 5 && len(sent)-cold > 40, "%d calls while it was cold, %d later", cold, len(sent)-cold)
	u.ColdUntil = b.now.Add(10 * time.Second)
	b.throttle.ColdBound = func(api.ServiceName) (int, bool) { return 0, true }
	job := b.job("refused", 0, time.Second, time.Second, Spec{Service: "s", Items: 1})
	assert.Assert(t, !b.forecast(&job, b.now).accepts(&job, b.now), "no call is possible in time")
}

// TestItemsWaitForPausedUpstream guards against a call within a pause, one that is forgotten, and a job that waits in vain.
func TestItemsWaitForPausedUpstream(t *testing.T) {
	b := newBatchHarness(batchedService("s", 8))
	b.throttle = &throttle.Table{Log: logging.Discard(), Metrics: metric.New()}
	b.throttle.Pause(b.add("s", "a"), time.Second, b.now)
	spec := Spec{Service: "s", Items: 1, ResultBytes: 1000}
	job, failed := b.job("long", 0, 3*time.Second, 6*time.Second, spec), error(nil)
	f := b.forecast(&job, b.now)
	assert.Assert(t, f.accepts(&job, b.now) && f.onTime > time.Second)
	b.submit(job, b.now, func(Outcome, error) {})
	b.submit(b.job("short", 0, time.Second, time.Second, spec), b.now, func(_ Outcome, err error) { failed = err })
	assert.Equal(t, len(b.dispatch(b.now)), 0)
	assert.Assert(t, fault.RetryDelay(failed) >= time.Second)
	assert.Equal(t, len(b.dispatch(b.now.Add(time.Second))), 1)
}

// TestRetryDelayOutlastsLongPauses guards against callers that are told to return while all upstreams
// of a stage still pause.
func TestRetryDelayOutlastsLongPauses(t *testing.T) {
	b := newBatchHarness(batchedService("s", 8))
	b.throttle = &throttle.Table{Log: logging.Discard(), Metrics: metric.New()}
	b.throttle.Pause(b.add("s", "a"), 2*maxRetryAfter, b.now)
	job, failed := b.job("r", 0, time.Second, time.Second, Spec{Service: "s", Items: 1}), error(nil)
	scheduler := &Scheduler{plan: b.plan, Log: logging.Discard(), Metrics: metric.New()}
	assert.Equal(t, fault.RetryDelay(scheduler.admit(&job, b.now)), 2*maxRetryAfter)
	b.submit(job, b.now, func(_ Outcome, err error) { failed = err })
	b.dispatch(b.now)
	assert.Equal(t, fault.RetryDelay(failed), 2*maxRetryAfter)
}
