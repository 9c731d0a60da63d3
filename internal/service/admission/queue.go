package admission

import (
	"context"
	"errors"
	"sync"
	"time"

	"redwingloft/internal/data/document"
	"redwingloft/internal/helper/fault"
	"redwingloft/pkg/api"
)

// Queue starts requests as slots become free. Its lock is held only while its tables are
// updated. Later stages of a started request do not pass through the queue again, so they do
// not wait behind new requests. Snapshot must be set.
type Queue struct {
	// Snapshot returns the active configuration, which sets the slots and the queue length.
	Snapshot func() *document.Snapshot
	// Hosts returns the number of live hosts that share the upstreams; nil means 1. It is
	// called with the lock held and must not block.
	Hosts func() int
	// Clock returns the current time; nil means time.Now.
	Clock func() time.Time

	mu       sync.Mutex
	snapshot *document.Snapshot
	pools    map[api.GroupName]*pool
	queued   int
}

// Enter waits until the ticket may start and returns a function that frees its slot, to be
// called with whether the request was answered. If Enter returns an error, the ticket was not
// started.
func (q *Queue) Enter(ctx context.Context, t *Ticket) (release func(answered bool), err error) {
	if err := ctx.Err(); err != nil {
		t.decide(StateRefused)
		return nil, contextError(err)
	}
	t.deadline, _ = ctx.Deadline()
	t.decided = make(chan struct{})
	if err := q.admit(t); err != nil {
		t.decide(StateRefused)
		return nil, err
	}
	select {
	case <-t.decided:
	case <-ctx.Done():
		if q.cancel(t) {
			return nil, contextError(ctx.Err())
		}
		<-t.decided // the queue decided first
	}
	if t.refusal != nil {
		return nil, t.refusal
	}
	return q.releaseFunc(t), nil
}

// contextError returns the error for a ticket whose context ended before it was started.
func contextError(err error) error {
	if errors.Is(err, context.DeadlineExceeded) {
		return fault.WithRunState(fault.New(api.KindDeadlineExceeded, "the deadline passed while the request was queued"), api.RunNo)
	}
	return fault.WithRunState(fault.New(api.KindCallerGone, "the caller canceled the request while it was queued"), api.RunNo)
}

func (q *Queue) now() time.Time {
	if q.Clock != nil {
		return q.Clock()
	}
	return time.Now()
}

// admit starts, queues or refuses a new ticket.
func (q *Queue) admit(t *Ticket) error {
	snapshot := q.Snapshot()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.applySnapshot(snapshot)
	p := q.poolOf(t.Group)
	t.pool = p
	now := q.now()
	expectedWait := time.Duration(p.expectedWait(t) * float64(time.Second))
	if t.missesDeadline(now.Add(expectedWait)) {
		return deadlineUnreachable(expectedWait + t.Time)
	}
	if len(p.backlog) == 0 && p.fits(t.share()) {
		t.decide(StateStarted)
		p.chargeUnqueued(t)
		q.start(t)
		return nil
	}
	p.enqueue(t)
	q.queued++
	if q.queued > q.snapshot.Limits.QueueLength {
		q.shed(expectedWait)
	}
	return nil
}

func deadlineUnreachable(predicted time.Duration) error {
	err := fault.New(api.KindDeadlineUnreachable, "the request is expected to take %d ms, which is past its deadline", predicted.Milliseconds())
	return fault.WithRetryAfter(err, predicted)
}

// applySnapshot switches to the slots of a newer configuration.
func (q *Queue) applySnapshot(snapshot *document.Snapshot) {
	if q.snapshot != nil && q.snapshot.Revision >= snapshot.Revision {
		return
	}
	q.snapshot = snapshot
	for name, p := range q.pools {
		if _, declared := snapshot.GroupSlots[name]; !declared && p.running == 0 && p.queued == 0 {
			delete(q.pools, name)
		}
	}
}

// poolOf returns the pool of a group, with its bound updated for the current number of live
// hosts.
func (q *Queue) poolOf(name api.GroupName) *pool {
	p := q.pools[name]
	if p == nil {
		if q.pools == nil {
			q.pools = map[api.GroupName]*pool{}
		}
		p = &pool{flows: map[api.WorkspaceName]*flow{}}
		q.pools[name] = p
	}
	hosts := 1
	if q.Hosts != nil {
		hosts = max(q.Hosts(), 1)
	}
	p.limiter.setBound(float64(q.snapshot.GroupSlots[name]) / float64(hosts))
	return p
}

// shed refuses one ticket of the workspace with the most queued work.
func (q *Queue) shed(wait time.Duration) {
	var largest *flow
	for _, p := range q.pools {
		if f := p.mostBacklogged(); f != nil && (largest == nil || f.work/f.weight > largest.work/largest.weight) {
			largest = f
		}
	}
	if largest == nil {
		return
	}
	t := largest.tail()
	err := fault.New(api.KindOverloaded, "the queue is full and workspace %q has the most queued work", t.Workspace)
	q.reject(t, fault.WithRetryAfter(err, max(wait, time.Millisecond)))
}

// reject removes a ticket from the queue and refuses it, unless its caller has canceled it.
func (q *Queue) reject(t *Ticket, err error) {
	t.pool.remove(t)
	q.queued--
	if t.decide(StateRefused) {
		t.refusal = err
		close(t.decided)
	}
}

// cancel refuses a ticket on behalf of its caller and reports whether it was still undecided.
func (q *Queue) cancel(t *Ticket) bool {
	if !t.decide(StateRefused) {
		return false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if t.element != nil {
		t.pool.remove(t)
		q.queued--
		q.dispatch(t.pool)
	}
	return true
}

// start occupies the slot of a started ticket.
func (q *Queue) start(t *Ticket) {
	t.pool.occupied += t.share()
	t.pool.running++
	close(t.decided)
}

// dispatch starts queued tickets while slots are free. Tickets that can no longer be answered
// in time are refused, so that no work is wasted after a burst.
func (q *Queue) dispatch(p *pool) {
	now := q.now()
	for {
		t := p.next()
		if t == nil {
			return
		}
		if t.missesDeadline(now) {
			q.reject(t, deadlineUnreachable(t.Time))
			continue
		}
		if !p.fits(t.share()) {
			return
		}
		if !t.decide(StateStarted) {
			// The caller has canceled the ticket and is waiting for the lock.
			p.remove(t)
			q.queued--
			continue
		}
		p.dequeue(t)
		q.queued--
		q.start(t)
	}
}

// releaseFunc returns the function that ends a started ticket. Only its first call has an
// effect.
func (q *Queue) releaseFunc(t *Ticket) func(answered bool) {
	start := q.now()
	var once sync.Once
	return func(answered bool) {
		once.Do(func() {
			q.mu.Lock()
			defer q.mu.Unlock()
			p := t.pool
			p.limiter.observe(q.now().Sub(start), p.occupied, answered)
			p.occupied -= t.share()
			p.running--
			if p.running == 0 {
				p.occupied = 0 // clears accumulated rounding errors
			}
			q.dispatch(p)
		})
	}
}

// RefuseQueued refuses every queued ticket with the error that refusal returns.
func (q *Queue) RefuseQueued(refusal func() error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, p := range q.pools {
		for t := p.next(); t != nil; t = p.next() {
			q.reject(t, refusal())
		}
	}
}

// Load is the number of queued and running requests at one moment.
type Load struct {
	// Queued counts the waiting requests, Running those that have started.
	Queued  int `json:"queued"`
	Running int `json:"running"`
}

// Load returns the current load.
func (q *Queue) Load() Load {
	q.mu.Lock()
	defer q.mu.Unlock()
	load := Load{Queued: q.queued}
	for _, p := range q.pools {
		load.Running += p.running
	}
	return load
}
