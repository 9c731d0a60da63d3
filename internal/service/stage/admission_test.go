package stage

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingloft/pkg/api"
)

// TestSmallResultDoesNotWaitForRoomOfLargeOnes guards against the refusal of jobs with small results
// while large ones wait for room: a call skips items whose results find none.
func TestSmallResultDoesNotWaitForRoomOfLargeOnes(t *testing.T) {
	b := newBatchHarness(batchedService("s", 40))
	w := b.worker(b.add("s", "a"))
	w.hold("old", w.limits.ResultCapacity, b.now, b.now)
	w.completeFree("old", b.now.Add(800*time.Millisecond))
	for i := range 10 {
		b.submitJob(b.job(fmt.Sprint("large", i), 0, 3*time.Second, 6*time.Second, Spec{Service: "s", Items: 4, ResultBytes: 5 << 20}))
	}
	small := b.job("small", 1, 2*time.Second, 15*time.Second, Spec{Service: "s", Items: 1, ResultBytes: 8000})
	f := b.forecast(&small, b.now)
	assert.Assert(t, f.meetsTarget(&small, b.now), "the forecast is %s", f.onTime)
	large := b.job("large", 1, 2*time.Second, 15*time.Second, Spec{Service: "s", Items: 1, ResultBytes: 5 << 20})
	f = b.forecast(&large, b.now)
	assert.Assert(t, !f.meetsTarget(&large, b.now), "the forecast is %s", f.onTime)
}

// TestLateJobIsNotRefusedForLessUrgentWork guards against a burst of a less urgent kind that takes all
// capacity from late jobs of a more urgent one.
func TestLateJobIsNotRefusedForLessUrgentWork(t *testing.T) {
	b := newBatchHarness(batchedService("s", 8))
	b.add("s", "a")
	for i := range 40 {
		job := b.job(fmt.Sprint("low", i), 2, 12*time.Second, 15*time.Second, Spec{Service: "s", Items: 4})
		b.admit(&job, b.now)
		b.submitJob(job)
	}
	urgent := b.job("urgent", 1, 300*time.Millisecond, 15*time.Second, Spec{Service: "s", Items: 4})
	f := b.forecast(&urgent, b.now)
	assert.Assert(t, !f.meetsTarget(&urgent, b.now))
	assert.Assert(t, f.accepts(&urgent, b.now), "the forecast is %s", f.late)
	low := b.job("low", 3, 300*time.Millisecond, 15*time.Second, Spec{Service: "s", Items: 4})
	f = b.forecast(&low, b.now)
	assert.Assert(t, !f.accepts(&low, b.now), "the forecast is %s", f.late)
}

// TestLateJobDoesNotDelayOnTimeJobs guards against jobs that are admitted as late and run before
// on-time ones of their rank until their target has passed.
func TestLateJobDoesNotDelayOnTimeJobs(t *testing.T) {
	b := newBatchHarness(batchedService("s", 1))
	b.add("s", "a")
	spec := Spec{Service: "s", Items: 1, ResultBytes: 1000}
	b.submitJob(b.job("running", 0, time.Second, 9*time.Second, spec))
	b.dispatchNow(nil)
	for i := range 5 {
		b.submitJob(b.job(fmt.Sprint("queued", i), 0, 2*time.Second, 9*time.Second, spec))
	}
	late := b.job("late", 0, time.Second, 9*time.Second, spec)
	assert.Assert(t, b.admit(&late, b.now).accepted)
	assert.Assert(t, late.Late)
	b.submitJob(late)
	for b.completeNext(nil) {
		continue
	}
	for i := range 5 {
		assert.Assert(t, b.endedAt[b.job(fmt.Sprint("queued", i), 0, 0, 0).Request].Before(b.endedAt["late"]))
	}
}

// TestFullUpstreamCountsAsCapacity guards against forecasts that take an upstream for lost because it
// was full: its cooldown is shorter than a call.
func TestFullUpstreamCountsAsCapacity(t *testing.T) {
	b := newBatchHarness(batchedService("s", 8))
	b.add("s", "a")
	b.add("s", "a")
	before, _ := b.rate("s", b.now)
	b.submitJob(b.job("r", 0, time.Second, 9*time.Second, Spec{Service: "s", Items: 1}))
	calls := b.dispatchNow(nil)
	b.complete(calls[0], nil, FailureFull, b.now)
	after, _ := b.rate("s", b.now)
	assert.Equal(t, after, before)
	assert.Assert(t, !b.idle(calls[0].Worker, b.now))
}

// TestUnreachableUpstreamKeepsItsResults guards against calls whose results find no room because an
// upstream that could not be reached once is taken for empty, and against results that are made again.
func TestUnreachableUpstreamKeepsItsResults(t *testing.T) {
	b := newBatchHarness(batchedService("s", 8), batchedService("t", 8))
	w := b.worker(b.add("s", "a"))
	b.add("t", "a")
	stages := []Spec{{Service: "s", Items: 1, ResultBytes: 1000}, {Service: "t", After: []int{0}, Items: 1, ResultBytes: 10}}
	b.submitJob(b.job("r", 0, 5*time.Second, 9*time.Second, stages...))
	b.dispatchNow(nil)
	b.completeNext(nil)
	for _, c := range []struct {
		failure Failure
		free    int64
	}{{FailureUnreachable, w.limits.ResultCapacity - 1000}, {FailureGone, w.limits.ResultCapacity}} {
		b.now = b.now.Add(maxCooldown)
		b.submitJob(b.job(string(c.failure), 0, 5*time.Second, 9*time.Second, stages...))
		calls := b.dispatch(b.now)
		assert.Equal(t, len(calls), 1)
		b.complete(calls[0], nil, c.failure, b.now)
		assert.Equal(t, w.freeBytes(b.now), c.free, "%s", c.failure)
	}
}

// TestBegunStageIsFinishedFirst guards against results that wait for the other items of their stage
// while calls carry items of new jobs with an earlier target.
func TestBegunStageIsFinishedFirst(t *testing.T) {
	b := newBatchHarness(batchedService("s", 2))
	b.add("s", "a")
	b.submitJob(b.job("begun", 0, 8*time.Second, 9*time.Second, Spec{Service: "s", Items: 3, ResultBytes: 100}))
	b.dispatchNow(nil)
	b.add("s", "a")
	b.submitJob(b.job("new", 0, 2*time.Second, 9*time.Second, Spec{Service: "s", Items: 2, ResultBytes: 100}))
	calls := b.dispatchNow(nil)
	assert.Equal(t, string(calls[0].Items[0].Request), "begun")
}

// TestRefusedCallersReturnInOrder guards against refused callers that all return at once, and against
// callers that gain from retrying early.
func TestRefusedCallersReturnInOrder(t *testing.T) {
	b := newBatchHarness(batchedService("s", 8))
	b.add("s", "a")
	spec := Spec{Service: "s", Items: 4}
	for i := range 20 {
		b.submitJob(b.job(fmt.Sprint("queued", i), 0, 9*time.Second, 9*time.Second, spec))
	}
	var last time.Duration
	returning := 0
	for i := range 100 {
		job := b.job(fmt.Sprint("refused", i), 0, 1200*time.Millisecond, 6*time.Second, spec)
		d := b.admit(&job, b.now)
		assert.Assert(t, !d.accepted)
		assert.Assert(t, d.retryAfter >= minRetryAfter && d.retryAfter <= maxRetryAfter)
		if d.retryAfter <= 2*time.Second {
			assert.Assert(t, d.retryAfter > last, "caller %d: %s after %s", i, d.retryAfter, last)
			returning++
		}
		last = d.retryAfter
	}
	assert.Assert(t, returning > 0 && returning < 10, "%d callers return within the time that they wait", returning)
	// A caller that retries early is told a time after that of all others that were refused before.
	b.now = b.now.Add(100 * time.Millisecond)
	early := b.job("refused0", 0, 1200*time.Millisecond, 6*time.Second, spec)
	d := b.admit(&early, b.now)
	assert.Assert(t, !d.accepted && d.retryAfter >= last-100*time.Millisecond)
}

// floodRun runs a service that is used to nine tenths by five workspaces, one of which sends many times
// its usual from 10 to 18 s. It returns the jobs of the flooding and of another workspace that arrived
// and that were accepted in this time.
func floodRun(factor float64) (flood, other, floodAccepted, otherAccepted int) {
	b := newBatchHarness(batchedService("s", 8))
	for range 4 {
		b.add("s", "a")
	}
	random := rand.New(rand.NewPCG(1, 1))
	for step := range 1800 {
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
		for w := range 5 {
			// The upstreams process 89 items, or 44 jobs, a second.
			rate := 8.0
			if w == 0 && step >= 1000 {
				rate *= factor
			}
			for range poisson(rate*0.01, random) {
				job := b.job(fmt.Sprint("r", step, w, random.Uint64()), 0, 1500*time.Millisecond, 6*time.Second, Spec{Service: "s", Items: 2, ResultBytes: 1000})
				job.Workspace = api.WorkspaceName(fmt.Sprint("w", w))
				d := b.admit(&job, b.now)
				if d.accepted {
					b.submitJob(job)
				}
				switch {
				case step < 1000:
				case w == 0 && d.accepted:
					floodAccepted++
				case d.accepted:
					otherAccepted++
				}
				if step >= 1000 && w == 0 {
					flood++
				} else if step >= 1000 {
					other++
				}
			}
		}
		b.dispatchNow(nil)
	}
	return flood, other, floodAccepted, otherAccepted
}

// poisson returns a random count with a mean.
func poisson(mean float64, random *rand.Rand) int {
	count := 0
	for at := random.ExpFloat64(); at < mean; at += random.ExpFloat64() {
		count++
	}
	return count
}

// TestFloodingWorkspaceGetsItsShare guards against a workspace that takes the capacity of the others by
// sending many times its usual, and against one that is served less than a quarter as often as all.
func TestFloodingWorkspaceGetsItsShare(t *testing.T) {
	for _, factor := range []float64{1, 3, 10, 25} {
		flood, other, floodAccepted, otherAccepted := floodRun(factor)
		t.Logf("factor %.0f: %d of %d of the flooding workspace, %d of %d of the others", factor, floodAccepted, flood, otherAccepted, other)
		all := float64(floodAccepted+otherAccepted) / float64(flood+other)
		rate := float64(otherAccepted) / float64(other)
		assert.Assert(t, rate >= all)
		assert.Assert(t, float64(floodAccepted)/float64(flood) >= all/4)
		// The share of the flooding workspace is what it usually sends, a fifth, or what others leave.
		assert.Assert(t, rate > 0.75, "factor %.0f: %.2f of the others are accepted", factor, rate)
	}
}

// TestForecastLeavesRoomToMoreUrgentWork guards against jobs that are begun although more urgent ones
// will take the room for the results of their later stages: what their first stages made is not used.
func TestForecastLeavesRoomToMoreUrgentWork(t *testing.T) {
	b := newBatchHarness(batchedService("s", 40))
	w := b.worker(b.add("s", "a"))
	w.hold("old", w.limits.ResultCapacity, b.now, b.now)
	w.completeFree("old", b.now.Add(800*time.Millisecond))
	spec := Spec{Service: "s", Items: 4, ResultBytes: 1 << 20}
	for i := range 4 {
		b.submitJob(b.job(fmt.Sprint("low", i), 2, 4*time.Second, 6*time.Second, spec))
	}
	job := b.job("next", 2, 4*time.Second, 6*time.Second, spec)
	before := b.forecast(&job, b.now)
	for i := range 10 {
		urgent := b.job(fmt.Sprint("urgent", i), 0, 4*time.Second, 6*time.Second, spec)
		assert.Assert(t, b.admit(&urgent, b.now).accepted)
	}
	after := b.forecast(&job, b.now)
	assert.Assert(t, after.onTime > before.onTime, "%s after %s", after.onTime, before.onTime)
	urgent := b.job("urgent", 0, 4*time.Second, 6*time.Second, spec)
	assert.Equal(t, b.forecast(&urgent, b.now).onTime, b.callTime("s"))
}

// TestBegunJobOfOtherHostIsFinished guards against the refusal of jobs that move to another scheduling
// host in a burst: what they have got so far would be thrown away.
func TestBegunJobOfOtherHostIsFinished(t *testing.T) {
	b := newBatchHarness(batchedService("s", 8), batchedService("t", 8))
	u := b.add("s", "a")
	b.add("t", "a")
	stages := []Spec{{Service: "s", Items: 2, ResultBytes: 1000}, {Service: "t", After: []int{0}, Items: 4}}
	for i := range 20 {
		job := b.job(fmt.Sprint("queued", i), 0, 6*time.Second, 6*time.Second, stages...)
		b.admit(&job, b.now)
		b.submitJob(job)
	}
	job := b.job("moved", 0, time.Second, 6*time.Second, stages...)
	assert.Assert(t, !b.admit(&job, b.now).accepted)
	job.Stored = []StoredResults{{Upstream: u.ID, RemainingMs: 3000, Items: []StoredResult{{0, 0, "x"}, {0, 1, "y"}}}}
	assert.Assert(t, b.admit(&job, b.now).accepted)
	job.Deadline = b.now.Add(time.Second)
	assert.Assert(t, !b.admit(&job, b.now).accepted)
}
