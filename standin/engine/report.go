package engine

import (
	"sync"
	"time"
)

// loadHistory holds past numbers of running requests, for delayed load reports.
type loadHistory struct {
	mu      sync.Mutex
	samples []sample
}

type sample struct {
	at      time.Time
	running int64
}

func (h *loadHistory) add(at time.Time, running int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.samples = append(h.samples, sample{at, running})
}

// runningAt returns the number of running requests at a time, 0 before the first sample.
// Successive times must not decrease, because older samples are dropped.
func (h *loadHistory) runningAt(when time.Time) int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	latest := -1
	for i := range h.samples {
		if h.samples[i].at.After(when) {
			break
		}
		latest = i
	}
	if latest < 0 {
		return 0
	}
	h.samples = h.samples[latest:]
	return h.samples[0].running
}
