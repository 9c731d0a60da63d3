package stage

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingloft/internal/data/fleet"
	"redwingloft/pkg/api"
)

// chain is a job of two stages.
func (b *bench) chain(id string, first, second int) Job {
	return b.job(id, 0, 5*time.Second, 9*time.Second,
		Spec{Service: "first", Items: first, ResultBytes: 100}, Spec{Service: "second", After: []int{0}, Items: second, ResultBytes: 100})
}

func (b *bench) made(u *fleet.Upstream, left time.Duration, items ...MadeItem) Made {
	return Made{Upstream: u.ID, Started: u.Started, LeftMs: left.Milliseconds(), Items: items}
}

// TestAdoptedResultsAreUsed guards against work that is done again, and room that is not
// counted, when a host takes over a job.
func TestAdoptedResultsAreUsed(t *testing.T) {
	b := newBench(batching("first", 8), batching("second", 8))
	first, second := b.add("first", "a"), b.add("second", "a")
	job := b.chain("r", 2, 2)
	job.Made = []Made{b.made(first, 3*time.Second, MadeItem{0, 0, "f/0"}, MadeItem{0, 1, "f/1"}), b.made(second, 3*time.Second, MadeItem{1, 1, "s/1"})}
	b.offer(job)
	assert.Equal(t, b.worker(first).heldBytes, int64(200))
	calls := b.dispatchNow(nil)
	assert.Equal(t, len(calls), 1)
	assert.Equal(t, len(calls[0].Items), 1)
	assert.DeepEqual(t, calls[0].Items[0].Inputs, []fleet.ResultRef{"f/0", "f/1"})
	b.step(nil)
	o := b.outcomes["r"]
	assert.Equal(t, len(o.Results()), 2)
	assert.Equal(t, o.Results()[1], fleet.ResultRef("s/1"))
}

// TestAdoptedJobThatIsDone guards against a job that waits for ever because another host
// has had all its results made, and against stages made again that nobody needs.
func TestAdoptedJobThatIsDone(t *testing.T) {
	b := newBench(batching("first", 8), batching("second", 8))
	b.add("first", "a")
	second := b.add("second", "a")
	job := b.chain("r", 2, 1)
	job.Made = []Made{b.made(second, 3*time.Second, MadeItem{1, 0, "s/0"})}
	b.offer(job)
	assert.Equal(t, len(b.dispatchNow(nil)), 0)
	assert.DeepEqual(t, b.outcomes["r"].Results(), []fleet.ResultRef{"s/0"})
}

// TestAdoptedResultsThatAreLost guards against inputs at upstreams that ended or that
// live too shortly: they are made again.
func TestAdoptedResultsThatAreLost(t *testing.T) {
	b := newBench(batching("first", 8), batching("second", 8))
	first := b.add("first", "a")
	b.add("second", "a")
	job := b.chain("r", 3, 1)
	gone := &fleet.Upstream{ID: first.ID, Started: first.Started + 1}
	job.Made = []Made{
		b.made(gone, 3*time.Second, MadeItem{0, 0, "gone"}), b.made(first, 0, MadeItem{0, 1, "ended"}), b.made(first, 3*time.Second, MadeItem{0, 2, "f/2"}),
		b.made(first, 3*time.Second, MadeItem{9, 0, "no stage"}, MadeItem{0, 9, "no item"}),
	}
	b.offer(job)
	calls := b.dispatchNow(nil)
	assert.Equal(t, len(calls), 1)
	assert.Equal(t, len(calls[0].Items), 2)
	for b.step(nil) {
		continue
	}
	assert.Equal(t, len(b.outcomes["r"].Results()), 1)
}

// TestProgressIsTold guards against a host of a request that doesn't learn of results.
func TestProgressIsTold(t *testing.T) {
	b := newBench(batching("first", 8), batching("second", 8))
	first := b.add("first", "a")
	b.add("second", "a")
	var told []Made
	b.offer(b.chain("r", 2, 1))
	b.jobs["r"].progress = func(made []Made) { told = append(told, made...) }
	b.dispatchNow(nil)
	b.step(nil)
	assert.Equal(t, len(told), 1)
	assert.Equal(t, told[0].Upstream, first.ID)
	assert.Equal(t, told[0].LeftMs, int64(4000))
	assert.Equal(t, len(told[0].Items), 2)
}

// TestHandBack guards against results that a host releases although another one goes on
// with them, and against jobs that are handed back while a call makes more.
func TestHandBack(t *testing.T) {
	b := newBench(batching("first", 8), batching("second", 8))
	first := b.add("first", "a")
	b.offer(b.chain("waits", 1, 1))
	pinned := b.chain("pinned", 1, 1)
	pinned.Pinned = true
	b.offer(pinned)
	b.dispatchNow(nil)
	assert.Equal(t, b.handBack((*jobState).movable, b.now), 0, "items are in a call")
	b.step(nil)
	assert.Equal(t, b.handBack((*jobState).movable, b.now), 1)
	assert.ErrorIs(t, b.errors["waits"], ErrHandedBack)
	assert.Equal(t, len(b.outcomes["waits"].Results()), 1)
	assert.Equal(t, len(b.worker(first).freeing), 0)
	assert.Equal(t, b.handBack((*jobState).waits, b.now), 1)
	assert.ErrorIs(t, b.errors["pinned"], ErrHandedBack)
	assert.Equal(t, len(b.worker(first).freeing), 0)
}

// TestForeignResultIsFreed guards against room that stays taken because the host that
// had a result made is gone.
func TestForeignResultIsFreed(t *testing.T) {
	b := newBench(batching("first", 8))
	first := b.add("first", "a")
	b.worker(first).releaseForeign("f/9")
	frees := b.frees(true)
	assert.Equal(t, len(frees), 1)
	assert.DeepEqual(t, frees[0].Results, []fleet.ResultRef{"f/9"})
}

// TestInputsAreKeptAtSharedUpstreams guards against inputs that are released again and
// again while a call waits behind one of another host.
func TestInputsAreKeptAtSharedUpstreams(t *testing.T) {
	b := newBench(batching("first", 8), batching("second", 8))
	b.add("first", "a")
	b.add("second", "a")
	b.offer(b.chain("r", 1, 1))
	b.dispatchNow(nil)
	b.step(nil)
	var call *Call
	for c := range b.running {
		call = c
	}
	b.now = b.now.Add(fetchTime)
	b.releaseFetched(b.now)
	delete(b.running, call)
	b.complete(call, []fleet.ItemResult{{Failure: fleet.FailureInputGone}}, FailureNone, b.now)
	b.dispatchNow(nil)
	b.step(nil)
	b.now = b.now.Add(fetchTime)
	b.releaseFetched(b.now)
	for _, w := range b.workers {
		if w.upstream.Service == "first" {
			assert.Equal(t, len(w.freeing), 0, "the input was released before the end of the call")
		}
	}
}

// TestOldestHostGathers guards against a host that returns and takes over gathering,
// though it knows nothing of the results at the upstreams.
func TestOldestHostGathers(t *testing.T) {
	hosts := []fleet.Host{{ID: "a", Started: 30}, {ID: "b", Started: 10}, {ID: "c", Started: 20}, {ID: "d", Started: 5, Draining: true}}
	var order []api.HostID
	for _, host := range Ranked(hosts, GroupAll) {
		order = append(order, host.ID)
	}
	assert.DeepEqual(t, order, []api.HostID{"b", "c", "a", "d"})
}
