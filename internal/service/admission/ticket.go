// Package admission decides which requests may start: early refusal, a bounded fair queue with
// a limit that adapts to latency, and workspace quotas across all hosts.
package admission

import (
	"container/list"
	"sync/atomic"
	"time"

	"redwingloft/pkg/api"
)

// State is the state of a ticket.
type State int32

// The states of a ticket. A ticket changes from StateWaiting once, by a compare-and-swap: the
// goroutine that wins it decides whether the request is run.
const (
	StateWaiting State = iota
	StateStarted
	StateRefused
)

// Ticket is the admission state of one request. A ticket enters a queue once.
type Ticket struct {
	ID        api.RequestID
	Workspace api.WorkspaceName
	// Pipeline is empty for a call of an HTTP service, Service for a run of a pipeline.
	Pipeline api.PipelineName
	Service  api.ServiceName
	Priority api.Priority
	// Revision is the configuration revision under which the request would start.
	Revision api.Revision
	// Resumed is true if the request continues a stream, on the version on which it started.
	Resumed bool
	// Weight is the workspace's weight when requests compete for slots; 0 means 1.
	Weight float64
	// Group is the group whose slots limit the request.
	Group api.GroupName
	// Time is the expected duration of the request once it runs; 0 means unknown.
	Time time.Duration
	// Share is the fraction of Time in which the request occupies a slot of Group; 0 means 1.
	Share float64

	state atomic.Int32
	// deadline is the deadline of the caller; zero means none.
	deadline time.Time
	// refusal is the error of a ticket that the queue refused, set before decided is closed.
	refusal error
	// decided is closed once the queue has started or refused the ticket.
	decided chan struct{}
	// element is the ticket's element in the list of its flow; nil while it is not queued.
	element *list.Element
	flow    *flow
	pool    *pool
}

// State returns the state of the ticket.
func (t *Ticket) State() State { return State(t.state.Load()) }

// decide changes the state from StateWaiting and reports whether this call did so.
func (t *Ticket) decide(state State) bool {
	return t.state.CompareAndSwap(int32(StateWaiting), int32(state))
}

// minWork is the work of a ticket whose duration is unknown, in slot seconds.
const minWork = 0.001

// work returns the expected use of the group in slot seconds.
func (t *Ticket) work() float64 { return max(t.Time.Seconds()*t.share(), minWork) }

func (t *Ticket) share() float64 {
	if t.Share <= 0 {
		return 1
	}
	return min(t.Share, 1)
}

func (t *Ticket) weight() float64 {
	if t.Weight <= 0 {
		return 1
	}
	return t.Weight
}

// missesDeadline reports whether the ticket can't be answered in time if it starts at now.
func (t *Ticket) missesDeadline(now time.Time) bool {
	return !t.deadline.IsZero() && now.Add(t.Time).After(t.deadline)
}
