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

// Queue starts requests as slots become free. Its lock is held for the change of
// its tables only. Later stages of a request that has started never come back to
// the queue, so they do not wait behind new requests. The zero value works.
type Queue struct {
	// Snapshot returns the configuration in force, which sets the slots and the queue length.
	Snapshot func() *document.Snapshot
	// Hosts returns the number of live hosts that share the upstreams; nil means 1.
	// It is called with the lock held and must not block.
	Hosts func() int
	// Clock returns the current time; nil means time.Now.
	Clock func() time.Time

	mu       sync.Mutex
	snapshot *document.Snapshot
	pools    map[api.GroupName]*pool
	queued   int
}

// Enter waits until the ticket may start and returns the function that ends it,
// to be called with whether the request was answered, or refuses it. An error of
// Enter is certain: the ticket was not started.
func (q *Queue) Enter(ctx context.Context, t *Ticket) (release func(answered bool), err error) {
	if err := ctx.Err(); err != nil {
		t.decide(StateRefused)
		return nil, ended(err)
	}
	t.deadline, _ = ctx.Deadline()
	t.decided = make(chan struct{})
	if err := q.arrive(t); err != nil {
		t.decide(StateRefused)
		return nil, err
	}
	select {
	case <-t.decided:
	case <-ctx.Done():
		if q.withdraw(t) {
			return nil, ended(ctx.Err())
		}
		<-t.decided // the queue was faster
	}
	if t.refusal != nil {
		return nil, t.refusal
	}
	return q.releaser(t), nil
}

// ended is the error of a ticket whose context ended before its start.
func ended(err error) error {
	if errors.Is(err, context.DeadlineExceeded) {
		return fault.WithRun(fault.New(api.KindDeadlineExceeded, "the deadline passed in the queue"), api.RunNo)
	}
	return fault.WithRun(fault.New(api.KindCallerGone, "the caller left in the queue"), api.RunNo)
}

func (q *Queue) now() time.Time {
	if q.Clock != nil {
		return q.Clock()
	}
	return time.Now()
}

// arrive starts, queues or refuses a new ticket.
func (q *Queue) arrive(t *Ticket) error {
	snapshot := q.Snapshot()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.configure(snapshot)
	p := q.poolOf(t.Group)
	t.pool = p
	now := q.now()
	wait := time.Duration(p.wait(t) * float64(time.Second))
	if t.hopeless(now.Add(wait)) {
		return unreachable(wait + t.Time)
	}
	if len(p.backlog) == 0 && p.fits(t.share()) {
		t.decide(StateStarted)
		p.serveNow(t)
		q.begin(t)
		return nil
	}
	p.enqueue(t)
	q.queued++
	if q.queued > q.snapshot.Limits.QueueLength {
		q.shed(wait)
	}
	return nil
}

func unreachable(predicted time.Duration) error {
	err := fault.New(api.KindDeadlineUnreachable, "the answer is expected after %d ms, past the deadline", predicted.Milliseconds())
	return fault.WithRetryAfter(err, predicted)
}

// configure takes over the slots of a newer configuration.
func (q *Queue) configure(snapshot *document.Snapshot) {
	if q.snapshot != nil && q.snapshot.Revision >= snapshot.Revision {
		return
	}
	q.snapshot = snapshot
	for name, p := range q.pools {
		if _, declared := snapshot.Slots[name]; !declared && p.count == 0 && p.queued == 0 {
			delete(q.pools, name)
		}
	}
}

// poolOf returns the pool of a group with its bound for the live hosts of this moment.
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
	p.limit.setBound(float64(q.snapshot.Slots[name]) / float64(hosts))
	return p
}

// shed refuses one ticket of the workspace with the most waiting work.
func (q *Queue) shed(wait time.Duration) {
	var most *flow
	for _, p := range q.pools {
		if f := p.heaviest(); f != nil && (most == nil || f.work/f.weight > most.work/most.weight) {
			most = f
		}
	}
	if most == nil {
		return
	}
	t := most.tail()
	err := fault.New(api.KindOverloaded, "the queue is full and workspace %q waits for the most work", t.Workspace)
	q.drop(t, fault.WithRetryAfter(err, max(wait, time.Millisecond)))
}

// drop takes a ticket out of the queue and refuses it, unless its caller has withdrawn it.
func (q *Queue) drop(t *Ticket, err error) {
	t.pool.remove(t)
	q.queued--
	if t.decide(StateRefused) {
		t.refusal = err
		close(t.decided)
	}
}

// withdraw refuses a ticket for its caller and reports whether it was in time.
func (q *Queue) withdraw(t *Ticket) bool {
	if !t.decide(StateRefused) {
		return false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if t.place != nil {
		t.pool.remove(t)
		q.queued--
		q.dispatch(t.pool)
	}
	return true
}

// begin occupies the slot of a started ticket.
func (q *Queue) begin(t *Ticket) {
	t.pool.running += t.share()
	t.pool.count++
	close(t.decided)
}

// dispatch starts waiting tickets while slots are free. Tickets that can't be
// answered in time any more are refused, so that no work is wasted after a burst.
func (q *Queue) dispatch(p *pool) {
	now := q.now()
	for {
		t := p.next()
		if t == nil {
			return
		}
		if t.hopeless(now) {
			q.drop(t, unreachable(t.Time))
			continue
		}
		if !p.fits(t.share()) {
			return
		}
		if !t.decide(StateStarted) {
			// Its caller has withdrawn it and waits for the lock.
			p.remove(t)
			q.queued--
			continue
		}
		p.serve(t)
		q.queued--
		q.begin(t)
	}
}

// releaser returns the function that ends a started ticket; it works once.
func (q *Queue) releaser(t *Ticket) func(answered bool) {
	start := q.now()
	var once sync.Once
	return func(answered bool) {
		once.Do(func() {
			q.mu.Lock()
			defer q.mu.Unlock()
			p := t.pool
			p.limit.sample(q.now().Sub(start), p.running, answered)
			p.running -= t.share()
			p.count--
			if p.count == 0 {
				p.running = 0 // drops the rounding error
			}
			q.dispatch(p)
		})
	}
}

// Refuse refuses every waiting ticket with the error that refusal makes.
func (q *Queue) Refuse(refusal func() error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, p := range q.pools {
		for t := p.next(); t != nil; t = p.next() {
			q.drop(t, refusal())
		}
	}
}

// Load is the state of the queue at one moment.
type Load struct {
	// Queued counts the waiting requests, Running those that have started.
	Queued  int `json:"queued"`
	Running int `json:"running"`
}

// Load returns the present load.
func (q *Queue) Load() Load {
	q.mu.Lock()
	defer q.mu.Unlock()
	load := Load{Queued: q.queued}
	for _, p := range q.pools {
		load.Running += p.count
	}
	return load
}
