package admission

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"redwingloft/internal/data/document"
	"redwingloft/internal/helper/fault"
	"redwingloft/pkg/api"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// workspaceNames returns the names of the workspaces of the target size.
func workspaceNames() []api.WorkspaceName {
	names := make([]api.WorkspaceName, 5100)
	for i := range names {
		names[i] = api.WorkspaceName(fmt.Sprintf("workspace-%d", i))
	}
	return names
}

// newQueue returns a queue for one group "engines" with the given slots.
func newQueue(slots, length int) *Queue {
	snapshot := &document.Snapshot{
		Revision: 1, GroupSlots: map[api.GroupName]int{"engines": slots}, Limits: document.Limits{QueueLength: length},
	}
	return &Queue{Snapshot: func() *document.Snapshot { return snapshot }}
}

// pendingEntry is a call of Enter that runs in its own goroutine.
type pendingEntry struct {
	*Ticket
	cancel  context.CancelFunc
	release func(answered bool)
	err     error
	done    chan struct{}
}

// startEnter calls Enter in a goroutine and returns once the ticket is queued or decided.
func startEnter(ctx context.Context, q *Queue, t *Ticket) *pendingEntry {
	entry := &pendingEntry{Ticket: t, done: make(chan struct{})}
	ctx, entry.cancel = context.WithCancel(ctx)
	before := q.Load().Queued
	go func() {
		defer close(entry.done)
		entry.release, entry.err = q.Enter(ctx, t)
	}()
	for {
		select {
		case <-entry.done:
			return entry
		default:
		}
		if q.Load().Queued > before {
			return entry
		}
		time.Sleep(10 * time.Microsecond)
	}
}

func (e *pendingEntry) finished() bool {
	select {
	case <-e.done:
		return true
	default:
		return false
	}
}

// TestQueueIsFair guards against a workspace with queued tickets that gets less than its
// weighted share of the slots, whatever the other workspaces send and at which priority.
func TestQueueIsFair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := &pool{flows: map[api.WorkspaceName]*flow{}}
		p.limiter.setBound(1)
		weights := map[api.WorkspaceName]float64{}
		longest := 0.0
		for i := range rapid.IntRange(2, 5).Draw(t, "workspaces") {
			name := api.WorkspaceName(fmt.Sprint(i))
			weights[name] = float64(rapid.IntRange(1, 4).Draw(t, "weight"))
			priority := rapid.SampledFrom([]api.Priority{api.PriorityHigh, api.PriorityNormal, api.PriorityLow}).Draw(t, "priority")
			for range 200 {
				work := time.Duration(rapid.IntRange(10, 100).Draw(t, "work")) * time.Millisecond
				longest = max(longest, work.Seconds())
				p.enqueue(&Ticket{Workspace: name, Weight: weights[name], Time: work, Priority: priority})
			}
		}
		served := map[api.WorkspaceName]float64{}
		for range 200 { // all flows still have queued tickets
			next := p.next()
			p.dequeue(next)
			served[next.Workspace] += next.work()
			for first, a := range weights {
				for second, b := range weights {
					lead := served[first]/a - served[second]/b
					assert.Assert(t, lead <= longest/a+longest/b+1e-9, "%s leads %s by %g", first, second, lead)
				}
			}
			if p.flows[next.Workspace].count == 0 {
				return
			}
		}
	})
}

// TestTicketsAreDecidedOnce guards against a ticket that is started after its caller received
// "not run", and against slots and queue places leaked by races between cancellations,
// deadlines, drains and starts.
func TestTicketsAreDecidedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const slots = 3
		q := newQueue(slots, rapid.IntRange(1, 20).Draw(t, "length"))
		var occupied atomic.Int64
		var exceeded atomic.Bool
		var wait sync.WaitGroup
		for i := range rapid.IntRange(1, 60).Draw(t, "requests") {
			deadline := time.Duration(rapid.IntRange(0, 3000).Draw(t, "deadline")) * time.Microsecond
			hold := time.Duration(rapid.IntRange(0, 300).Draw(t, "hold")) * time.Microsecond
			cancel := rapid.Bool().Draw(t, "cancel")
			wait.Add(1)
			go func() {
				defer wait.Done()
				ctx, stop := context.WithTimeout(context.Background(), deadline)
				defer stop()
				if cancel {
					go stop()
				}
				ticket := &Ticket{Workspace: api.WorkspaceName(fmt.Sprint(i % 4)), Group: "engines"}
				release, err := q.Enter(ctx, ticket)
				if err != nil {
					assert.Check(t, ticket.State() == StateRefused)
					assert.Check(t, fault.RunStateOf(err) == api.RunNo, "%v", err)
					return
				}
				assert.Check(t, ticket.State() == StateStarted)
				if occupied.Add(1) > slots {
					exceeded.Store(true)
				}
				time.Sleep(hold)
				occupied.Add(-1)
				release(true)
				release(true)
			}()
		}
		if rapid.Bool().Draw(t, "drain") {
			q.RefuseQueued(func() error { return fault.New(api.KindDraining, "draining") })
		}
		wait.Wait()
		assert.Assert(t, !exceeded.Load(), "more than %d ran at once", slots)
		assert.Equal(t, q.Load(), Load{})
		for _, p := range q.pools {
			assert.Equal(t, p.occupied, 0.0)
		}
	})
}

// TestEarlyRefusal guards against queueing a request that can't be answered in time, and
// against refusing one that can.
func TestEarlyRefusal(t *testing.T) {
	q := newQueue(1, 100)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	first := startEnter(ctx, q, &Ticket{Workspace: "a", Group: "engines", Time: 20 * time.Second})
	second := startEnter(ctx, q, &Ticket{Workspace: "a", Group: "engines", Time: 30 * time.Second})
	late := startEnter(ctx, q, &Ticket{Workspace: "a", Group: "engines", Time: 40 * time.Second})
	assert.Equal(t, fault.KindOf(late.err), api.KindDeadlineUnreachable)
	// Another workspace does not wait behind the backlog of the first.
	other := startEnter(ctx, q, &Ticket{Workspace: "b", Group: "engines", Time: 25 * time.Second})
	assert.Equal(t, q.Load(), Load{Queued: 2, Running: 1})
	first.release(true)
	<-other.done
	assert.NilError(t, other.err)
	assert.Equal(t, second.State(), StateWaiting)
	other.release(true)
	<-second.done
	second.release(true)
}

// TestExpiredTicketsAreNotRun guards against work on requests that can no longer be answered
// in time after a burst.
func TestExpiredTicketsAreNotRun(t *testing.T) {
	now := time.Now()
	var mu sync.Mutex
	q := newQueue(1, 100)
	q.Clock = func() time.Time { mu.Lock(); defer mu.Unlock(); return now }
	ctx, cancel := context.WithDeadline(t.Context(), now.Add(time.Minute))
	defer cancel()
	first := startEnter(ctx, q, &Ticket{Workspace: "a", Group: "engines"})
	var waiting []*pendingEntry
	for range 10 {
		waiting = append(waiting, startEnter(ctx, q, &Ticket{Workspace: "a", Group: "engines", Time: time.Second}))
	}
	mu.Lock()
	now = now.Add(59500 * time.Millisecond)
	mu.Unlock()
	first.release(true)
	for _, e := range waiting {
		<-e.done
		assert.Equal(t, fault.KindOf(e.err), api.KindDeadlineUnreachable)
		assert.Equal(t, e.State(), StateRefused)
	}
}

// TestFullQueueShedsMostBackloggedWorkspace guards against a full queue that refuses a small
// workspace because of the backlog of a large one.
func TestFullQueueShedsMostBackloggedWorkspace(t *testing.T) {
	q := newQueue(1, 5)
	first := startEnter(t.Context(), q, &Ticket{Workspace: "large", Group: "engines"})
	var large []*pendingEntry
	for i := range 5 {
		priority := api.PriorityNormal
		if i == 2 {
			priority = api.PriorityLow
		}
		large = append(large, startEnter(t.Context(), q, &Ticket{Workspace: "large", Group: "engines", Priority: priority}))
	}
	small := &pendingEntry{Ticket: &Ticket{Workspace: "small", Group: "engines"}, done: make(chan struct{})}
	go func() {
		defer close(small.done)
		small.release, small.err = q.Enter(t.Context(), small.Ticket)
	}()
	<-large[2].done
	assert.Equal(t, fault.KindOf(large[2].err), api.KindOverloaded)
	first.release(true)
	<-small.done // before the backlog of the large workspace, which has already been served
	assert.NilError(t, small.err)
	small.release(true)
	for i, e := range large {
		if i != 2 {
			<-e.done
			assert.NilError(t, e.err)
			e.release(true)
		}
	}
}

// TestPriorityWithinWorkspace guards against a high-priority request that waits behind
// low-priority requests of its own workspace.
func TestPriorityWithinWorkspace(t *testing.T) {
	q := newQueue(1, 10)
	first := startEnter(t.Context(), q, &Ticket{Workspace: "a", Group: "engines"})
	low := startEnter(t.Context(), q, &Ticket{Workspace: "a", Group: "engines", Priority: api.PriorityLow})
	high := startEnter(t.Context(), q, &Ticket{Workspace: "a", Group: "engines", Priority: api.PriorityHigh})
	first.release(true)
	<-high.done
	assert.Assert(t, !low.finished())
	high.release(true)
	<-low.done
	low.release(true)
}

// TestLimitFollowsHostsAndLatency guards against hosts that together exceed the slots, and
// against a limit that stays high while latency rises.
func TestLimitFollowsHostsAndLatency(t *testing.T) {
	q := newQueue(80, 100)
	q.Hosts = func() int { return 4 }
	release, err := q.Enter(t.Context(), &Ticket{Workspace: "a", Group: "engines"})
	assert.NilError(t, err)
	defer release(true)
	l := &q.pools["engines"].limiter
	assert.Equal(t, l.value(), 20.0)
	for range 1000 {
		l.observe(100*time.Millisecond, 20, true)
	}
	assert.Equal(t, l.value(), 20.0)
	for range 60 {
		l.observe(time.Second, 20, true)
	}
	low := l.value()
	assert.Assert(t, low < 12, "the limit is %g", low)
	for range 1000 {
		l.observe(100*time.Millisecond, 20, true)
	}
	assert.Equal(t, l.value(), 20.0)
}

// TestLimitSurvivesFastFailures guards against a limit that falls after an outage because the
// failures were faster than the answers that follow.
func TestLimitSurvivesFastFailures(t *testing.T) {
	var l limiter
	l.setBound(20)
	for range 100 {
		l.observe(100*time.Millisecond, 20, true)
	}
	for range 1000 {
		l.observe(time.Millisecond, 20, false)
	}
	for range 100 {
		l.observe(100*time.Millisecond, 20, true)
		assert.Equal(t, l.value(), 20.0)
	}
	for range 60 {
		l.observe(time.Second, 20, false)
	}
	assert.Assert(t, l.value() < 12, "the limit is %g after time-outs", l.value())
}

// TestFlowMemoryIsBounded guards against keeping the state of workspaces that sent a single
// request.
func TestFlowMemoryIsBounded(t *testing.T) {
	q := newQueue(4, 10)
	for _, name := range workspaceNames() {
		release, err := q.Enter(t.Context(), &Ticket{Workspace: name, Group: "engines"})
		assert.NilError(t, err)
		release(true)
	}
	for range 10_000 { // advances the virtual time past the finish tags of all others
		release, err := q.Enter(t.Context(), &Ticket{Workspace: "busy", Group: "engines"})
		assert.NilError(t, err)
		release(true)
	}
	for i := range 10_000 {
		release, err := q.Enter(t.Context(), &Ticket{Workspace: api.WorkspaceName(fmt.Sprintf("other-%d", i)), Group: "engines"})
		assert.NilError(t, err)
		release(true)
	}
	assert.Assert(t, len(q.pools["engines"].flows) <= 2*5100, "%d flows", len(q.pools["engines"].flows))
}

// BenchmarkEnter measures an admission without a wait, with the workspaces of the target size.
func BenchmarkEnter(b *testing.B) {
	q, names := newQueue(1000, 1000), workspaceNames()
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		release, err := q.Enter(context.Background(), &Ticket{Workspace: names[i%len(names)], Group: "engines"})
		if err != nil {
			b.Fatal(err)
		}
		release(true)
		i++
	}
}

// BenchmarkRefuse measures an early refusal while 1000 workspaces have queued tickets.
func BenchmarkRefuse(b *testing.B) {
	q, names := newQueue(1, 2000), workspaceNames()
	running, err := q.Enter(context.Background(), &Ticket{Workspace: "running", Group: "engines"})
	assert.NilError(b, err)
	ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
	var waiting sync.WaitGroup
	for i := range 1000 {
		waiting.Add(1)
		go func() {
			defer waiting.Done()
			_, err := q.Enter(ctx, &Ticket{Workspace: names[i], Group: "engines", Time: time.Second})
			assert.Check(b, fault.KindOf(err) == api.KindCallerGone, "%v", err)
		}()
	}
	for q.Load().Queued < 1000 {
		time.Sleep(time.Millisecond)
	}
	late, stop := context.WithTimeout(context.Background(), 30*time.Minute)
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		if _, err := q.Enter(late, &Ticket{Workspace: names[i%1000], Group: "engines", Time: time.Hour}); err == nil {
			b.Fatal("the ticket was admitted")
		}
		i++
	}
	stop()
	cancel()
	waiting.Wait()
	running(true)
}
