package upstream

import (
	"context"
	"time"

	"redwingloft/internal/helper/timer"
)

const (
	// stallPeriod is the time between two looks for stalled attempts. It is well
	// below minStall, so that it adds little to the detection.
	stallPeriod = 25 * time.Millisecond
	// sweepPeriod is the time between two looks for probes that are due.
	sweepPeriod = 250 * time.Millisecond
)

// Monitor runs what the table and the sender do by time.
type Monitor struct {
	Table  *Table
	Sender *Sender
	// Poller reads the host list; nil reads none.
	Poller *Poller
	// PollPeriod is the time between two reads of the host list.
	PollPeriod time.Duration
	// PollFailed is told of each failed read of the host list; nil ignores it.
	PollFailed func(error)
}

// Start subscribes to the timer. The probes end with ctx.
func (m *Monitor) Start(ctx context.Context, timer *timer.Service) {
	timer.Every(stallPeriod, func(time.Time) { _ = m.Sender.examineStalls(ctx) })
	timer.Every(sweepPeriod, func(time.Time) { m.Sender.probeDue(ctx, m.Table) })
	if m.Poller != nil {
		go m.poll(ctx)
		timer.Every(m.PollPeriod, func(time.Time) { m.poll(ctx) })
	}
}

func (m *Monitor) poll(ctx context.Context) {
	if err := m.Poller.Poll(ctx); err != nil && m.PollFailed != nil {
		m.PollFailed(err)
	}
}
