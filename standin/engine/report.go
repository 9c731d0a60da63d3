package engine

import (
	"sync"
	"time"
)

// reports holds the past numbers of running requests, for load reports that lag.
type reports struct {
	mu      sync.Mutex
	samples []sample
}

type sample struct {
	at      time.Time
	running int64
}

func (r *reports) add(at time.Time, running int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.samples = append(r.samples, sample{at, running})
}

// at returns the number at a time, 0 before the first sample. Times must not
// go back, because earlier samples are dropped.
func (r *reports) at(when time.Time) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	newest := -1
	for i := range r.samples {
		if r.samples[i].at.After(when) {
			break
		}
		newest = i
	}
	if newest < 0 {
		return 0
	}
	r.samples = r.samples[newest:]
	return r.samples[0].running
}
