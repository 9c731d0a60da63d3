// Package admission decides which requests start: early refusal, a fair bounded
// queue with a limit that follows latency, and workspace quotas over all hosts.
package admission

import (
	"container/list"
	"sync/atomic"
	"time"

	"redwingloft/pkg/api"
)

// State is the state of a ticket.
type State int32

// The states of a ticket. A ticket leaves StateWaiting once, by a compare-and-swap:
// whoever wins it decides whether the request is run.
const (
	StateWaiting State = iota
	StateStarted
	StateRefused
)

// Ticket is one request on its way to its start. A ticket enters a queue once.
type Ticket struct {
	ID        api.RequestID
	Workspace api.WorkspaceName
	// Pipeline is empty for a call of a plain service, Service for a run of a pipeline.
	Pipeline api.PipelineName
	Service  api.ServiceName
	Priority api.Priority
	// Revision is the configuration under which the request would start.
	Revision api.Revision
	// Resumed is true where the request continues a stream, on the version on which it started.
	Resumed bool
	// Weight is the workspace's share of a contended queue; 0 means 1.
	Weight float64
	// Group is the group whose slots bound the request.
	Group api.GroupName
	// Time is the predicted time of the request once it runs; 0 means unknown.
	Time time.Duration
	// Share is the share of Time in which the request occupies a slot of Group; 0 means 1.
	Share float64

	state atomic.Int32
	// deadline is the end of the caller's patience; zero means none.
	deadline time.Time
	// refusal is the error of a ticket that the queue refused, set before decided is closed.
	refusal error
	// decided is closed once the queue has started or refused the ticket.
	decided chan struct{}
	// place is the ticket's place in the list of its flow; nil while it does not wait.
	place *list.Element
	flow  *flow
	pool  *pool
}

// State returns the state of the ticket.
func (t *Ticket) State() State { return State(t.state.Load()) }

// decide moves the ticket out of StateWaiting and reports whether the caller won.
func (t *Ticket) decide(state State) bool {
	return t.state.CompareAndSwap(int32(StateWaiting), int32(state))
}

// minWork is the work of a ticket whose time is not known, in slot seconds.
const minWork = 0.001

// work returns the predicted use of the group in slot seconds.
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

// hopeless reports whether the ticket can't be answered in time if it starts at now.
func (t *Ticket) hopeless(now time.Time) bool {
	return !t.deadline.IsZero() && now.Add(t.Time).After(t.deadline)
}
