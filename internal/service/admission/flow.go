package admission

import (
	"container/heap"
	"container/list"

	"redwingloft/pkg/api"
)

// numPriorities is the number of request priorities.
const numPriorities = 3

// flow holds the queued tickets of one workspace in one pool.
//
// Flows share a pool by start-time fair queueing: the flow with the lowest start tag is served
// first, and its next start tag increases by the served work divided by its weight. Priorities
// order the tickets within a flow and not between flows, so that a workspace gains nothing by
// marking all its requests as urgent.
type flow struct {
	workspace api.WorkspaceName
	weight    float64
	// start is the start tag of the flow's next ticket, valid while the flow is in the heap.
	start float64
	// finish is the finish tag of the flow's last served ticket.
	finish float64
	// queues holds the tickets by priority, oldest first.
	queues [numPriorities]list.List
	count  int
	// work is the total work of the queued tickets.
	work float64
	// heapIndex is the index in the heap plus one; 0 means that nothing is queued.
	heapIndex int
}

func (f *flow) push(t *Ticket) {
	t.flow = f
	t.element = f.queues[t.Priority.Rank()].PushBack(t)
	f.count++
	f.work += t.work()
}

func (f *flow) remove(t *Ticket) {
	f.queues[t.Priority.Rank()].Remove(t.element)
	t.element = nil
	f.count--
	f.work -= t.work()
	if f.count == 0 {
		f.work = 0 // clears accumulated rounding errors
	}
}

// head returns the ticket to serve next: the oldest of the highest priority.
func (f *flow) head() *Ticket {
	for i := range f.queues {
		if first := f.queues[i].Front(); first != nil {
			return first.Value.(*Ticket)
		}
	}
	return nil
}

// tail returns the ticket to shed first: the newest of the lowest priority.
func (f *flow) tail() *Ticket {
	for i := numPriorities - 1; i >= 0; i-- {
		if last := f.queues[i].Back(); last != nil {
			return last.Value.(*Ticket)
		}
	}
	return nil
}

// backlog is a heap of the flows with queued tickets, ordered by start tag.
type backlog []*flow

func (b backlog) Len() int           { return len(b) }
func (b backlog) Less(i, j int) bool { return b[i].start < b[j].start }

func (b backlog) Swap(i, j int) {
	b[i], b[j] = b[j], b[i]
	b[i].heapIndex, b[j].heapIndex = i+1, j+1
}

// Push implements heap.Interface.
func (b *backlog) Push(x any) {
	f := x.(*flow)
	*b = append(*b, f)
	f.heapIndex = len(*b)
}

// Pop implements heap.Interface.
func (b *backlog) Pop() any {
	old := *b
	f := old[len(old)-1]
	old[len(old)-1] = nil
	*b = old[:len(old)-1]
	f.heapIndex = 0
	return f
}

// minSweepFlows is the number of flows below which idle ones are kept.
const minSweepFlows = 256

// pool holds the running and queued requests of one group.
type pool struct {
	limiter limiter
	// occupied is the sum of occupied slots, running the number of running requests.
	occupied float64
	running  int
	flows    map[api.WorkspaceName]*flow
	backlog  backlog
	queued   int
	// virtualTime is the start tag of the ticket served last.
	virtualTime float64
	// nextSweep is the number of flows at which idle ones are removed next.
	nextSweep int
}

// fits reports whether a request with the given share of a slot may start. A single request
// may always run.
func (p *pool) fits(share float64) bool {
	return p.running == 0 || p.occupied+share <= p.limiter.value()
}

// flowOf returns the flow of a ticket's workspace, creating it if needed.
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

// sweep removes idle flows whose finish tag is not ahead of the virtual time: a new flow would
// get the same start tag.
func (p *pool) sweep() {
	if len(p.flows) < max(p.nextSweep, minSweepFlows) {
		return
	}
	for name, f := range p.flows {
		if f.heapIndex == 0 && f.finish <= p.virtualTime {
			delete(p.flows, name)
		}
	}
	p.nextSweep = 2 * len(p.flows)
}

// enqueue adds a ticket to the queue of its workspace.
func (p *pool) enqueue(t *Ticket) {
	f := p.flowOf(t)
	f.push(t)
	p.queued++
	if f.heapIndex == 0 {
		f.start = max(p.virtualTime, f.finish)
		heap.Push(&p.backlog, f)
	}
}

// remove removes a queued ticket without serving it.
func (p *pool) remove(t *Ticket) {
	f := t.flow
	f.remove(t)
	p.queued--
	if f.count == 0 {
		heap.Remove(&p.backlog, f.heapIndex-1)
	}
}

// next returns the ticket to serve next, or nil.
func (p *pool) next() *Ticket {
	if len(p.backlog) == 0 {
		return nil
	}
	return p.backlog[0].head()
}

// dequeue removes a queued ticket that starts and charges its flow for the work.
func (p *pool) dequeue(t *Ticket) {
	f := t.flow
	f.remove(t)
	p.queued--
	p.charge(f, f.start, t.work())
	if f.count == 0 {
		heap.Remove(&p.backlog, f.heapIndex-1)
		return
	}
	f.start = f.finish
	heap.Fix(&p.backlog, f.heapIndex-1)
}

// chargeUnqueued charges the flow of a ticket that starts without being queued.
func (p *pool) chargeUnqueued(t *Ticket) {
	f := p.flowOf(t)
	p.charge(f, max(p.virtualTime, f.finish), t.work())
}

func (p *pool) charge(f *flow, start, work float64) {
	p.virtualTime = max(p.virtualTime, start)
	f.finish = start + work/f.weight
}

// expectedWait returns the expected wait of a new ticket in seconds: the work that is served
// before it according to the start tags, divided by the limit.
func (p *pool) expectedWait(t *Ticket) float64 {
	if len(p.backlog) == 0 && p.fits(t.share()) {
		return 0
	}
	tag, ahead := p.virtualTime, 0.0
	if own := p.flows[t.Workspace]; own != nil {
		tag = max(tag, own.finish)
		if own.heapIndex > 0 {
			tag = own.start + own.work/own.weight
			ahead = own.work
		}
	}
	for _, f := range p.backlog {
		if f.workspace != t.Workspace {
			ahead += min(f.work, max(tag-f.start, 0)*f.weight)
		}
	}
	return ahead / p.limiter.value()
}

// mostBacklogged returns the flow with the most queued work relative to its weight.
func (p *pool) mostBacklogged() *flow {
	var largest *flow
	for _, f := range p.backlog {
		if largest == nil || f.work/f.weight > largest.work/largest.weight {
			largest = f
		}
	}
	return largest
}
