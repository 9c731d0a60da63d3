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

func (r *loadHistory) add(at time.Time, running int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.samples = append(r.samples, sample{at, running})
}

// runningAt returns the number of running requests at a time, 0 before the first sample.
// Successive times must not decrease, because older samples are dropped.
func (r *loadHistory) runningAt(when time.Time) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	latest := -1
	for i := range r.samples {
		if r.samples[i].at.After(when) {
			break
		}
		latest = i
	}
	if latest < 0 {
		return 0
	}
	r.samples = r.samples[latest:]
	return r.samples[0].running
}
