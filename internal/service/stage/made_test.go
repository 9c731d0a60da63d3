package stage

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingloft/internal/data/fleet"
	"redwingloft/pkg/api"
)

// twoStageJob returns a job of two dependent stages.
func (b *batchHarness) twoStageJob(id string, first, second int) Job {
	return b.job(id, 0, 5*time.Second, 9*time.Second,
		Spec{Service: "first", Items: first, ResultBytes: 100}, Spec{Service: "second", After: []int{0}, Items: second, ResultBytes: 100})
}

func (b *batchHarness) stored(u *fleet.Upstream, left time.Duration, items ...StoredResult) StoredResults {
	return StoredResults{Upstream: u.ID, Started: u.Started, RemainingMs: left.Milliseconds(), Items: items}
}

// TestAdoptedResultsAreUsed guards against recomputed results and uncounted capacity when a host
// takes over a job.
func TestAdoptedResultsAreUsed(t *testing.T) {
	b := newBatchHarness(batchedService("first", 8), batchedService("second", 8))
	first, second := b.add("first", "a"), b.add("second", "a")
	job := b.twoStageJob("r", 2, 2)
	job.Stored = []StoredResults{b.stored(first, 3*time.Second, StoredResult{0, 0, "f/0"}, StoredResult{0, 1, "f/1"}), b.stored(second, 3*time.Second, StoredResult{1, 1, "s/1"})}
	b.submitJob(job)
	assert.Equal(t, b.worker(first).heldBytes, int64(200))
	calls := b.dispatchNow(nil)
	assert.Equal(t, len(calls), 1)
	assert.Equal(t, len(calls[0].Items), 1)
	assert.DeepEqual(t, calls[0].Items[0].Inputs, []fleet.ResultRef{"f/0", "f/1"})
	b.completeNext(nil)
	o := b.outcomes["r"]
	assert.Equal(t, len(o.Results()), 2)
	assert.Equal(t, o.Results()[1], fleet.ResultRef("s/1"))
}

// TestAdoptCompletedJob guards against a job that never ends because all its results were adopted,
// and against recomputed stages that are no longer needed.
func TestAdoptCompletedJob(t *testing.T) {
	b := newBatchHarness(batchedService("first", 8), batchedService("second", 8))
	b.add("first", "a")
	second := b.add("second", "a")
	job := b.twoStageJob("r", 2, 1)
	job.Stored = []StoredResults{b.stored(second, 3*time.Second, StoredResult{1, 0, "s/0"})}
	b.submitJob(job)
	assert.Equal(t, len(b.dispatchNow(nil)), 0)
	assert.DeepEqual(t, b.outcomes["r"].Results(), []fleet.ResultRef{"s/0"})
}

// TestAdoptLostResults guards against the use of adopted inputs whose upstream has restarted or
// that expire too soon: they are recomputed.
func TestAdoptLostResults(t *testing.T) {
	b := newBatchHarness(batchedService("first", 8), batchedService("second", 8))
	first := b.add("first", "a")
	b.add("second", "a")
	job := b.twoStageJob("r", 3, 1)
	gone := &fleet.Upstream{ID: first.ID, Started: first.Started + 1}
	job.Stored = []StoredResults{
		b.stored(gone, 3*time.Second, StoredResult{0, 0, "gone"}), b.stored(first, 0, StoredResult{0, 1, "ended"}), b.stored(first, 3*time.Second, StoredResult{0, 2, "f/2"}),
		b.stored(first, 3*time.Second, StoredResult{9, 0, "no stage"}, StoredResult{0, 9, "no item"}),
	}
	b.submitJob(job)
	calls := b.dispatchNow(nil)
	assert.Equal(t, len(calls), 1)
	assert.Equal(t, len(calls[0].Items), 2)
	for b.completeNext(nil) {
		continue
	}
	assert.Equal(t, len(b.outcomes["r"].Results()), 1)
}

// TestProgressIsReported guards against results that are not reported to the submitting host.
func TestProgressIsReported(t *testing.T) {
	b := newBatchHarness(batchedService("first", 8), batchedService("second", 8))
	first := b.add("first", "a")
	b.add("second", "a")
	var reported []StoredResults
	b.submitJob(b.twoStageJob("r", 2, 1))
	b.jobs["r"].progress = func(made []StoredResults) { reported = append(reported, made...) }
	b.dispatchNow(nil)
	b.completeNext(nil)
	assert.Equal(t, len(reported), 1)
	assert.Equal(t, reported[0].Upstream, first.ID)
	assert.Equal(t, reported[0].RemainingMs, int64(4000))
	assert.Equal(t, len(reported[0].Items), 2)
}

// TestHandBack guards against results that are released although another host continues with them,
// and against jobs that are handed back while a call produces more.
func TestHandBack(t *testing.T) {
	b := newBatchHarness(batchedService("first", 8), batchedService("second", 8))
	first := b.add("first", "a")
	b.submitJob(b.twoStageJob("waits", 1, 1))
	pinned := b.twoStageJob("pinned", 1, 1)
	pinned.Pinned = true
	b.submitJob(pinned)
	b.dispatchNow(nil)
	assert.Equal(t, b.handBack((*jobState).movable, b.now), 0, "items are in a call")
	b.completeNext(nil)
	assert.Equal(t, b.handBack((*jobState).movable, b.now), 1)
	assert.ErrorIs(t, b.errors["waits"], ErrHandedBack)
	assert.Equal(t, len(b.outcomes["waits"].Results()), 1)
	assert.Equal(t, len(b.worker(first).pendingFree), 0)
	assert.Equal(t, b.handBack((*jobState).idle, b.now), 1)
	assert.ErrorIs(t, b.errors["pinned"], ErrHandedBack)
	assert.Equal(t, len(b.worker(first).pendingFree), 0)
}

// TestForeignResultIsFreed guards against capacity that stays occupied by a result because the host
// that scheduled its job is gone.
func TestForeignResultIsFreed(t *testing.T) {
	b := newBatchHarness(batchedService("first", 8))
	first := b.add("first", "a")
	b.worker(first).releaseForeign("f/9")
	freeCalls := b.freeCalls(true, b.now)
	assert.Equal(t, len(freeCalls), 1)
	assert.DeepEqual(t, freeCalls[0].Results, []fleet.ResultRef{"f/9"})
}

// TestInputsKeptAtContendedUpstream guards against inputs that are released repeatedly while a call
// is queued behind one of another host.
func TestInputsKeptAtContendedUpstream(t *testing.T) {
	b := newBatchHarness(batchedService("first", 8), batchedService("second", 8))
	b.add("first", "a")
	b.add("second", "a")
	b.submitJob(b.twoStageJob("r", 1, 1))
	b.dispatchNow(nil)
	b.completeNext(nil)
	var call *Call
	for c := range b.running {
		call = c
	}
	b.now = b.now.Add(fetchTime)
	b.releaseFetched(b.now)
	delete(b.running, call)
	b.complete(call, []fleet.ItemResult{{Failure: fleet.FailureInputGone}}, FailureNone, b.now)
	b.dispatchNow(nil)
	b.completeNext(nil)
	b.now = b.now.Add(fetchTime)
	b.releaseFetched(b.now)
	for _, w := range b.workers {
		if w.upstream.Service == "first" {
			assert.Equal(t, len(w.pendingFree), 0, "the input was released before the call ended")
		}
	}
}

// TestOldestHostRanksFirst guards against a host that returns and takes over the scheduling, though
// it doesn't know the results at the upstreams.
func TestOldestHostRanksFirst(t *testing.T) {
	hosts := []fleet.Host{{ID: "a", Started: 30}, {ID: "b", Started: 10}, {ID: "c", Started: 20}, {ID: "d", Started: 5, Draining: true}}
	var order []api.HostID
	for _, host := range RankHosts(hosts, GroupAll) {
		order = append(order, host.ID)
	}
	assert.DeepEqual(t, order, []api.HostID{"b", "c", "a", "d"})
}
