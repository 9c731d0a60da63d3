package stage

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"redwingloft/internal/data/fleet"
	"redwingloft/pkg/api"
)

// bench plays a plan without a network: calls end when the clock reaches their end.
type bench struct {
	*plan
	now      time.Time
	running  map[*Call]time.Time
	services map[api.ServiceName]*fleet.Service
	list     []*fleet.Upstream
	results  int
	outcomes map[api.RequestID]Outcome
	errors   map[api.RequestID]error
	ended    map[api.RequestID]time.Time
	items    int
	calls    int
}

func newBench(services ...*fleet.Service) *bench {
	b := &bench{
		now: time.Unix(1000, 0), running: map[*Call]time.Time{}, services: map[api.ServiceName]*fleet.Service{},
		outcomes: map[api.RequestID]Outcome{}, errors: map[api.RequestID]error{}, ended: map[api.RequestID]time.Time{},
	}
	b.plan = newPlan(func(api.ServiceName) bool { return true })
	for _, s := range services {
		b.services[s.Name] = s
	}
	return b
}

func batching(name api.ServiceName, items int) *fleet.Service {
	return &fleet.Service{Name: name, Batching: &fleet.Batching{
		Concurrent: 1, MaxItems: items, CallTime: 200 * time.Millisecond, ItemTime: 20 * time.Millisecond,
		ResultBytes: 20 << 20, ResultLife: 4 * time.Second,
	}}
}

func (b *bench) add(service api.ServiceName, centre api.DataCentre) *fleet.Upstream {
	u := &fleet.Upstream{ID: api.UpstreamID(fmt.Sprint("u", len(b.list))), Service: service, DataCentre: centre, State: fleet.StateReady}
	b.list = append(b.list, u)
	b.setUpstreams(b.list, b.services)
	return u
}

func (b *bench) worker(u *fleet.Upstream) *worker { return b.workers[u.Incarnation()] }

func (b *bench) job(id string, rank int, aim, deadline time.Duration, stages ...Spec) Job {
	return Job{Request: api.RequestID(id), Key: "key-" + id, Rank: rank, Aim: b.now.Add(aim), Deadline: b.now.Add(deadline), Stages: stages}
}

func (b *bench) offer(job Job) {
	b.submit(job, b.now, func(o Outcome, err error) {
		b.outcomes[job.Request], b.errors[job.Request], b.ended[job.Request] = o, err, b.now
	})
}

// dispatchNow starts the calls that the plan wants; slow multiplies their duration by upstream.
func (b *bench) dispatchNow(slow map[api.UpstreamID]float64) []*Call {
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

func (b *bench) answer(call *Call) []fleet.ItemResult {
	results := make([]fleet.ItemResult, len(call.Items))
	for i := range results {
		b.results++
		results[i].Result = fleet.ResultRef(fmt.Sprintf("%s/%d", call.Upstream().ID, b.results))
	}
	return results
}

// step ends the next call.
func (b *bench) step(slow map[api.UpstreamID]float64) bool {
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
	b.complete(next, b.answer(next), FailureNone, b.now)
	for _, f := range b.frees(true) {
		b.freed(f, true, b.now)
	}
	b.dispatchNow(slow)
	return true
}

// TestItemsOfManyRequestsShareCalls plays a load that calls of one item could not
// carry: items that wait for a busy upstream go out together.
func TestItemsOfManyRequestsShareCalls(t *testing.T) {
	b := newBench(batching("s", 8))
	b.add("s", "a")
	for i := range 40 {
		b.offer(b.job(fmt.Sprint("r", i), 0, 5*time.Second, 10*time.Second, Spec{Service: "s", Items: 1, ResultBytes: 1000}))
		b.dispatchNow(nil)
		b.now = b.now.Add(20 * time.Millisecond)
		for call, end := range b.running {
			if !b.now.Before(end) {
				delete(b.running, call)
				b.complete(call, b.answer(call), FailureNone, b.now)
			}
		}
	}
	for b.step(nil) {
		continue
	}
	assert.Equal(t, len(b.outcomes), 40)
	assert.Assert(t, b.calls <= 9, "%d calls for 40 items", b.calls)
}

// TestLoneItemGoesAtOnce guards against an item that waits for company while an upstream is idle.
func TestLoneItemGoesAtOnce(t *testing.T) {
	b := newBench(batching("s", 8))
	b.add("s", "a")
	b.offer(b.job("r", 0, time.Second, time.Second, Spec{Service: "s", Items: 1}))
	assert.Equal(t, len(b.dispatchNow(nil)), 1)
}

// TestStagesRunInOrder guards against an item that is given inputs of another request,
// of another stage, only some of them, or none.
func TestStagesRunInOrder(t *testing.T) {
	b := newBench(batching("first", 8), batching("second", 8))
	b.add("first", "a")
	b.add("second", "a")
	for _, id := range []string{"x", "y"} {
		b.offer(b.job(id, 0, 5*time.Second, 5*time.Second, Spec{Service: "first", Items: 2, ResultBytes: 10}, Spec{Service: "second", After: []int{0}, Items: 3, ResultBytes: 10}))
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
		if !b.step(nil) {
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

// TestUrgentItemsGoFirst guards against late items that make others late too, and
// against a less urgent kind that goes before a more urgent one.
func TestUrgentItemsGoFirst(t *testing.T) {
	b := newBench(batching("s", 1))
	b.add("s", "a")
	b.offer(b.job("running", 0, 3*time.Second, 9*time.Second, Spec{Service: "s", Items: 1}))
	b.dispatchNow(nil)
	b.offer(b.job("late", 0, 10*time.Millisecond, 9*time.Second, Spec{Service: "s", Items: 1}))
	b.offer(b.job("low", 2, 3*time.Second, 9*time.Second, Spec{Service: "s", Items: 1}))
	b.offer(b.job("high", 0, 3*time.Second, 9*time.Second, Spec{Service: "s", Items: 1}))
	for b.step(nil) {
		continue
	}
	assert.Assert(t, b.ended["high"].Before(b.ended["low"]))
	assert.Assert(t, b.ended["low"].Before(b.ended["late"]))
}

// TestBegunStageIsFinished guards against late jobs whose stages are made in part: their
// results hold room, end unused and are made again.
func TestBegunStageIsFinished(t *testing.T) {
	b := newBench(batching("s", 2))
	b.add("s", "a")
	b.offer(b.job("begun", 0, 300*time.Millisecond, 9*time.Second, Spec{Service: "s", Items: 3, ResultBytes: 100}))
	b.dispatchNow(nil)
	for i := range 6 {
		b.offer(b.job(fmt.Sprint("new", i), 0, 5*time.Second, 9*time.Second, Spec{Service: "s", Items: 2, ResultBytes: 100}))
	}
	b.step(nil)
	b.step(nil)
	assert.Equal(t, len(b.outcomes["begun"].Results()), 3)
}

// TestRoomIsCountedUntilFreed guards against calls whose results find no room, because
// results count as freed before their upstream was told.
func TestRoomIsCountedUntilFreed(t *testing.T) {
	service := batching("s", 8)
	service.Batching.ResultBytes = 300
	b := newBench(service)
	u := b.add("s", "a")
	b.offer(b.job("r", 0, 5*time.Second, 9*time.Second, Spec{Service: "s", Items: 3, ResultBytes: 100}))
	calls := b.dispatchNow(nil)
	assert.Equal(t, len(calls), 1)
	b.complete(calls[0], b.answer(calls[0]), FailureNone, b.now)
	b.offer(b.job("next", 0, 5*time.Second, 9*time.Second, Spec{Service: "s", Items: 1, ResultBytes: 100}))
	assert.Equal(t, len(b.dispatchNow(nil)), 0)
	for _, result := range b.outcomes["r"].Results() {
		b.worker(u).release(result)
	}
	frees := b.frees(false)
	assert.Equal(t, len(frees), 1)
	assert.Equal(t, len(b.dispatchNow(nil)), 0, "the upstream does not know yet")
	b.freed(frees[0], true, b.now)
	assert.Equal(t, len(b.dispatchNow(nil)), 1)
}

// TestNoRoomLeavesMargin guards against an upstream that is called again and again at
// once although its results are larger than stated.
func TestNoRoomLeavesMargin(t *testing.T) {
	service := batching("s", 8)
	service.Batching.ResultBytes = 1000
	b := newBench(service)
	u := b.add("s", "a")
	b.offer(b.job("r", 0, 5*time.Second, 9*time.Second, Spec{Service: "s", Items: 2, ResultBytes: 100}))
	calls := b.dispatchNow(nil)
	full := []fleet.ItemResult{{Failure: fleet.FailureNoRoom}, {Failure: fleet.FailureNoRoom}}
	b.now = b.now.Add(5 * time.Millisecond)
	b.complete(calls[0], full, FailureNone, b.now)
	assert.Equal(t, len(b.dispatchNow(nil)), 0)
	assert.Equal(t, b.worker(u).speed, 1.0, "the short call counted as fast")
	assert.Equal(t, b.worker(u).room(b.now), int64(950))
	b.now = b.now.Add(fullCooldown)
	assert.Equal(t, len(b.dispatchNow(nil)), 1)
}

// TestLostCallIsRepeatedElsewhere guards against a job that ends with the upstream that ran its items.
func TestLostCallIsRepeatedElsewhere(t *testing.T) {
	b := newBench(batching("s", 8))
	b.add("s", "a")
	b.offer(b.job("r", 0, 5*time.Second, 9*time.Second, Spec{Service: "s", Items: 2}))
	calls := b.dispatchNow(nil)
	b.running = map[*Call]time.Time{}
	b.add("s", "b")
	b.complete(calls[0], nil, FailureLost, b.now)
	again := b.dispatchNow(nil)
	assert.Equal(t, len(again), 1)
	assert.Assert(t, again[0].Upstream().ID != calls[0].Upstream().ID)
	for b.step(nil) {
		continue
	}
	assert.Equal(t, len(b.outcomes["r"].Results()), 2)
}

// TestStragglerIsHedged guards against a request that waits for one slow upstream, and
// against a result that is handed out twice.
func TestStragglerIsHedged(t *testing.T) {
	b := newBench(batching("s", 8))
	slow := b.add("s", "a")
	b.offer(b.job("r", 0, 5*time.Second, 9*time.Second, Spec{Service: "s", Items: 2}))
	calls := b.dispatchNow(map[api.UpstreamID]float64{slow.ID: 10})
	b.add("s", "b")
	b.now = b.now.Add(calls[0].Straggles())
	assert.Equal(t, b.hedge(calls[0], b.now), 2)
	assert.Equal(t, b.hedge(calls[0], b.now), 0)
	b.dispatchNow(nil)
	b.step(nil)
	assert.Equal(t, len(b.outcomes["r"].Results()), 2)
	for b.step(nil) {
		continue
	}
	assert.Equal(t, b.errors["r"], nil)
}

// TestGoneInputIsMadeAgain guards against a job that fails because a result ended with its maker.
func TestGoneInputIsMadeAgain(t *testing.T) {
	b := newBench(batching("first", 8), batching("second", 8))
	b.add("first", "a")
	b.add("second", "a")
	b.offer(b.job("r", 0, 5*time.Second, 9*time.Second, Spec{Service: "first", Items: 1, ResultBytes: 10}, Spec{Service: "second", After: []int{0}, Items: 1, ResultBytes: 10}))
	b.dispatchNow(nil)
	b.step(nil)
	for call := range b.running {
		delete(b.running, call)
		b.complete(call, []fleet.ItemResult{{Failure: fleet.FailureInputGone}}, FailureNone, b.now)
	}
	b.dispatchNow(nil)
	for b.step(nil) {
		continue
	}
	assert.Equal(t, len(b.outcomes["r"].Results()), 1)
	assert.Equal(t, b.errors["r"], nil)
}

// TestLostCallWithInputTakenBack guards against an item that is queued again while one
// of its inputs is being made anew: the process ended there.
func TestLostCallWithInputTakenBack(t *testing.T) {
	b := newBench(batching("first", 8), batching("second", 1))
	b.add("first", "a")
	b.add("second", "a")
	b.add("second", "b")
	b.offer(b.job("r", 0, 5*time.Second, 9*time.Second, Spec{Service: "first", Items: 1, ResultBytes: 1 << 20}, Spec{Service: "second", After: []int{0}, Items: 2, ResultBytes: 10}))
	b.dispatchNow(nil)
	b.step(nil)
	b.now = b.now.Add(homeWait)
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
		if !b.step(nil) {
			b.now = b.now.Add(time.Second)
			b.dispatchNow(nil)
		}
	}
	assert.Equal(t, len(b.outcomes["r"].Results()), 2)
	assert.Equal(t, b.errors["r"], nil)
}

// TestOldInputIsMadeAgainFirst guards against a call that is wasted on an input which ends before it is fetched.
func TestOldInputIsMadeAgainFirst(t *testing.T) {
	b := newBench(batching("first", 8), batching("second", 8))
	b.add("first", "a")
	b.offer(b.job("r", 0, 5*time.Second, 20*time.Second, Spec{Service: "first", Items: 1, ResultBytes: 10}, Spec{Service: "second", After: []int{0}, Items: 1, ResultBytes: 10}))
	b.dispatchNow(nil)
	b.step(nil)
	b.now = b.now.Add(5 * time.Second)
	b.add("second", "a")
	b.dispatchNow(nil)
	for call := range b.running {
		assert.Equal(t, call.Upstream().Service, api.ServiceName("first"))
	}
	if len(b.running) == 0 {
		b.dispatchNow(nil)
	}
	for b.step(nil) {
		continue
	}
	assert.Equal(t, len(b.outcomes["r"].Results()), 1)
}

// TestLargeResultIsMadeAtHome guards against large results that cross data centres while an upstream at home is free.
func TestLargeResultIsMadeAtHome(t *testing.T) {
	b := newBench(batching("s", 8))
	b.add("s", "a")
	home := b.add("s", "b")
	job := b.job("r", 0, 5*time.Second, 9*time.Second, Spec{Service: "s", Items: 1, ResultBytes: 1 << 20})
	job.Home = "b"
	b.offer(job)
	calls := b.dispatchNow(nil)
	assert.Equal(t, len(calls), 1)
	assert.Equal(t, calls[0].Upstream().ID, home.ID)
}

// TestForecastRefusesOverload plays twice the load that the upstreams carry: what is
// accepted is done before its deadline, and the upstreams stay busy.
func TestForecastRefusesOverload(t *testing.T) {
	b := newBench(batching("s", 8))
	for range 4 {
		b.add("s", "a")
	}
	accepted, refused := 0, 0
	deadlines := map[api.RequestID]time.Time{}
	for i := range 400 {
		// 100 jobs a second of 2 items; the upstreams make 89 items a second.
		b.now = b.now.Add(10 * time.Millisecond)
		for call, end := range b.running {
			if !b.now.Before(end) {
				delete(b.running, call)
				b.complete(call, b.answer(call), FailureNone, b.now)
				for _, f := range b.frees(true) {
					b.freed(f, true, b.now)
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
		b.offer(job)
		b.dispatchNow(nil)
	}
	for b.step(nil) {
		continue
	}
	inTime := 0
	for id, deadline := range deadlines {
		if b.errors[id] == nil && b.ended[id].Before(deadline) {
			inTime++
		}
	}
	assert.Equal(t, inTime, accepted, "of %d accepted, %d refused", accepted, refused)
	assert.Assert(t, refused > 50, "refused %d", refused)
	assert.Assert(t, accepted > 150, "accepted %d", accepted)
}

// TestPlanLosesNoJob plays random jobs, failures and stragglers: every job ends once,
// with all its results or an error.
func TestPlanLosesNoJob(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newBench(batching("first", 4), batching("second", 6))
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
				results := b.answer(next)
				results[0] = fleet.ItemResult{Failure: fleet.FailureInputGone}
				b.complete(next, results, FailureNone, b.now)
			case 3:
				b.hedge(next, b.now)
				b.running[next] = b.now.Add(time.Second)
			default:
				delete(b.running, next)
				b.complete(next, b.answer(next), FailureNone, b.now)
			}
			for _, f := range b.frees(true) {
				b.freed(f, true, b.now)
			}
		}
		for id := range wanted {
			if ended[id] != 1 {
				t.Fatalf("job %s ended %d times", id, ended[id])
			}
		}
	})
}

// TestFetchedInputsGiveRoom guards against a stage that stands still because the inputs
// of calls which have fetched them keep the room of the stage before.
func TestFetchedInputsGiveRoom(t *testing.T) {
	b := newBench(batching("first", 8), batching("second", 8))
	first := b.add("first", "a")
	b.add("second", "a")
	b.offer(b.job("r", 0, 5*time.Second, 9*time.Second, Spec{Service: "first", Items: 4, ResultBytes: 100}, Spec{Service: "second", After: []int{0}, Items: 1, ResultBytes: 10}))
	b.dispatchNow(nil)
	b.step(nil)
	assert.Equal(t, len(b.running), 1)
	b.releaseFetched(b.now.Add(fetchTime / 2))
	assert.Equal(t, len(b.worker(first).freeing), 0)
	b.now = b.now.Add(fetchTime)
	b.releaseFetched(b.now)
	assert.Equal(t, len(b.worker(first).freeing), 4)
	for _, f := range b.frees(true) {
		b.freed(f, true, b.now)
	}
	// The call is lost after all: its inputs are made again.
	for call := range b.running {
		delete(b.running, call)
		b.complete(call, nil, FailureLost, b.now)
	}
	for range 20 {
		b.dispatchNow(nil)
		if !b.step(nil) {
			b.now = b.now.Add(time.Second)
		}
	}
	assert.Equal(t, len(b.outcomes["r"].Results()), 1)
	assert.Equal(t, b.errors["r"], nil)
}

// TestLargeResultIsNotEarly guards against a large result that takes room while its
// engine waits for a longer chain of stages.
func TestLargeResultIsNotEarly(t *testing.T) {
	crowded := batching("s", 8)
	crowded.Batching.ResultBytes = 4 << 20
	b := newBench(crowded, batching("t", 8))
	maker := b.worker(b.add("s", "a"))
	maker.hold("other", 2<<20, b.now, b.now)
	b.add("t", "a")
	b.offer(b.job("r", 0, 5*time.Second, 9*time.Second, Spec{Service: "s", Items: 1, ResultBytes: 1 << 20},
		Spec{Service: "s", Items: 1, ResultBytes: 10}, Spec{Service: "t", After: []int{1}, Items: 1, ResultBytes: 10}, Spec{Service: "t", After: []int{2}, Items: 1, ResultBytes: 10}))
	calls := b.dispatchNow(nil)
	assert.Equal(t, len(calls), 1)
	assert.Equal(t, len(calls[0].Items), 1)
	assert.Equal(t, calls[0].Items[0].Stage, 1)
	for b.step(nil) {
		continue
	}
	assert.Equal(t, len(b.outcomes["r"].Results()), 2)
}

// TestLostCallKeepsRoom guards against calls whose results find no room, since the
// results of a call with a lost answer are not known.
func TestLostCallKeepsRoom(t *testing.T) {
	service := batching("s", 8)
	service.Batching.ResultBytes = 300
	b := newBench(service)
	u := b.add("s", "a")
	b.offer(b.job("r", 0, 5*time.Second, 9*time.Second, Spec{Service: "s", Items: 2, ResultBytes: 100}))
	calls := b.dispatchNow(nil)
	b.complete(calls[0], nil, FailureLost, b.now)
	assert.Equal(t, b.worker(u).room(b.now), int64(100))
	assert.Equal(t, b.worker(u).room(b.now.Add(service.Batching.ResultLife)), int64(300))
}

// TestForecastCountsRoom guards against jobs that are begun although the results of
// those before them take all the room: their stages stop midway and hold it for nobody.
func TestForecastCountsRoom(t *testing.T) {
	service := batching("s", 40)
	service.Batching.ResultBytes = 1000
	b := newBench(service)
	u := b.add("s", "a")
	spec := Spec{Service: "s", Items: 5, ResultBytes: 100}
	for i := range 10 {
		b.offer(b.job(fmt.Sprint("r", i), 0, 3*time.Second, 6*time.Second, spec))
	}
	job := b.job("next", 0, 3*time.Second, 6*time.Second, spec)
	f := b.forecast(&job, b.now)
	assert.Assert(t, f.makesAim(&job, b.now), "50 items are two calls: %s", f.onTime)
	b.worker(u).hold("old", 1000, b.now, b.now)
	b.worker(u).freed("old", b.now.Add(800*time.Millisecond))
	// 5000 bytes turn over in five times 0.8 s.
	f = b.forecast(&job, b.now)
	assert.Assert(t, !f.makesAim(&job, b.now), "the forecast is %s", f.onTime)
	assert.Equal(t, f.onTime, 4*time.Second+b.callTime("s"))
}
