package upstream

import (
	"context"
	"time"

	"redwingloft/internal/helper/timer"
)

const (
	// stallCheckPeriod is the interval of checks for stalled attempts. It is well below
	// minStallTimeout, so that it adds little to the detection time.
	stallCheckPeriod = 25 * time.Millisecond
	// sweepPeriod is the interval of checks for probes that are due.
	sweepPeriod = 250 * time.Millisecond
)

// Monitor runs the periodic tasks of a table and a sender.
type Monitor struct {
	Table  *Table
	Sender *Sender
	// Poller reads the host list; nil disables it.
	Poller *Poller
	// PollPeriod is the interval of reads of the host list.
	PollPeriod time.Duration
	// OnPollError is called with the error of each failed read of the host list; nil
	// ignores errors.
	OnPollError func(error)
}

// Start schedules the periodic tasks. Probes are canceled when ctx is done.
func (m *Monitor) Start(ctx context.Context, timer *timer.Service) {
	timer.Every(stallCheckPeriod, func(time.Time) { _ = m.Sender.checkStalls(ctx) })
	timer.Every(sweepPeriod, func(time.Time) { m.Sender.probeDueInstances(ctx, m.Table) })
	if m.Poller != nil {
		go m.poll(ctx)
		timer.Every(m.PollPeriod, func(time.Time) { m.poll(ctx) })
	}
}

func (m *Monitor) poll(ctx context.Context) {
	if err := m.Poller.Poll(ctx); err != nil && m.OnPollError != nil {
		m.OnPollError(err)
	}
}
