package admission

import (
	"container/heap"
	"container/list"

	"redwingloft/pkg/api"
)

// priorities is the number of priorities.
const priorities = 3

// flow is the waiting work of one workspace in one pool.
//
// Flows share a pool by start-time fair queueing: the flow with the lowest start
// tag is served, and its next start tag is higher by the work served over its
// weight. Priorities order the tickets within a flow and not between flows, so
// that a workspace does not gain by marking all its requests as urgent.
type flow struct {
	workspace api.WorkspaceName
	weight    float64
	// start is the start tag of the flow's next ticket, valid while it is in the heap.
	start float64
	// finish is the finish tag of the flow's last served ticket.
	finish float64
	// waiting holds the tickets by priority, the oldest first.
	waiting [priorities]list.List
	count   int
	// work is the sum of the waiting tickets' work.
	work float64
	// index is the place in the heap plus one; 0 means that nothing waits.
	index int
}

func (f *flow) push(t *Ticket) {
	t.flow = f
	t.place = f.waiting[t.Priority.Rank()].PushBack(t)
	f.count++
	f.work += t.work()
}

func (f *flow) remove(t *Ticket) {
	f.waiting[t.Priority.Rank()].Remove(t.place)
	t.place = nil
	f.count--
	f.work -= t.work()
	if f.count == 0 {
		f.work = 0 // drops the rounding error
	}
}

// head returns the ticket to serve next: the oldest of the highest priority.
func (f *flow) head() *Ticket {
	for i := range f.waiting {
		if first := f.waiting[i].Front(); first != nil {
			return first.Value.(*Ticket)
		}
	}
	return nil
}

// tail returns the ticket to shed first: the newest of the lowest priority.
func (f *flow) tail() *Ticket {
	for i := priorities - 1; i >= 0; i-- {
		if last := f.waiting[i].Back(); last != nil {
			return last.Value.(*Ticket)
		}
	}
	return nil
}

// backlog is a heap of the flows with waiting tickets, the lowest start tag first.
type backlog []*flow

func (b backlog) Len() int           { return len(b) }
func (b backlog) Less(i, j int) bool { return b[i].start < b[j].start }

func (b backlog) Swap(i, j int) {
	b[i], b[j] = b[j], b[i]
	b[i].index, b[j].index = i+1, j+1
}

// Push is called by container/heap.
func (b *backlog) Push(x any) {
	f := x.(*flow)
	*b = append(*b, f)
	f.index = len(*b)
}

// Pop is called by container/heap.
func (b *backlog) Pop() any {
	old := *b
	f := old[len(old)-1]
	old[len(old)-1] = nil
	*b = old[:len(old)-1]
	f.index = 0
	return f
}

// minSweep is the number of flows from which idle ones are dropped.
const minSweep = 256

// pool is the running and the waiting requests of one group.
type pool struct {
	limit limit
	// running is the occupied slots, count the running requests.
	running float64
	count   int
	flows   map[api.WorkspaceName]*flow
	backlog backlog
	queued  int
	// virtual is the start tag of the ticket served last.
	virtual float64
	// sweepAt is the number of flows at which idle ones are dropped next.
	sweepAt int
}

// fits reports whether a request with the given share of a slot may start. One
// request may always run.
func (p *pool) fits(share float64) bool {
	return p.count == 0 || p.running+share <= p.limit.value()
}

// flowOf returns the flow of a ticket's workspace.
func (p *pool) flowOf(t *Ticket) *flow {
	f := p.flows[t.Workspace]
	if f == nil {
		p.sweep()
		f = &flow{workspace: t.Workspace}
		p.flows[t.Workspace] = f
	}
	f.weight = t.weight()
	return f
}

// sweep drops flows that wait for nothing and have no lead: they would start at
// the virtual time, as a new flow does.
func (p *pool) sweep() {
	if len(p.flows) < max(p.sweepAt, minSweep) {
		return
	}
	for name, f := range p.flows {
		if f.index == 0 && f.finish <= p.virtual {
			delete(p.flows, name)
		}
	}
	p.sweepAt = 2 * len(p.flows)
}

// enqueue adds a ticket to the waiting ones.
func (p *pool) enqueue(t *Ticket) {
	f := p.flowOf(t)
	f.push(t)
	p.queued++
	if f.index == 0 {
		f.start = max(p.virtual, f.finish)
		heap.Push(&p.backlog, f)
	}
}

// remove takes a waiting ticket out without serving it.
func (p *pool) remove(t *Ticket) {
	f := t.flow
	f.remove(t)
	p.queued--
	if f.count == 0 {
		heap.Remove(&p.backlog, f.index-1)
	}
}

// next returns the ticket to serve next, or nil.
func (p *pool) next() *Ticket {
	if len(p.backlog) == 0 {
		return nil
	}
	return p.backlog[0].head()
}

// serve accounts for the start of a ticket that waits.
func (p *pool) serve(t *Ticket) {
	f := t.flow
	f.remove(t)
	p.queued--
	p.advance(f, f.start, t.work())
	if f.count == 0 {
		heap.Remove(&p.backlog, f.index-1)
		return
	}
	f.start = f.finish
	heap.Fix(&p.backlog, f.index-1)
}

// serveNow accounts for the start of a ticket that did not wait.
func (p *pool) serveNow(t *Ticket) {
	f := p.flowOf(t)
	p.advance(f, max(p.virtual, f.finish), t.work())
}

func (p *pool) advance(f *flow, start, work float64) {
	p.virtual = max(p.virtual, start)
	f.finish = start + work/f.weight
}

// wait returns the seconds that a new ticket would wait: the work that is served
// before it by the start tags, over the limit.
func (p *pool) wait(t *Ticket) float64 {
	if len(p.backlog) == 0 && p.fits(t.share()) {
		return 0
	}
	tag, ahead := p.virtual, 0.0
	if own := p.flows[t.Workspace]; own != nil {
		tag = max(tag, own.finish)
		if own.index > 0 {
			tag = own.start + own.work/own.weight
			ahead = own.work
		}
	}
	for _, f := range p.backlog {
		if f.workspace != t.Workspace {
			ahead += min(f.work, max(tag-f.start, 0)*f.weight)
		}
	}
	return ahead / p.limit.value()
}

// heaviest returns the flow with the most waiting work for its weight.
func (p *pool) heaviest() *flow {
	var most *flow
	for _, f := range p.backlog {
		if most == nil || f.work/f.weight > most.work/most.weight {
			most = f
		}
	}
	return most
}
