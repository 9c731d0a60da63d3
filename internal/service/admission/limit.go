package admission

import (
	"math"
	"time"
)

const (
	// minLimit is the lowest limit in slots.
	minLimit = 1
	// tolerance is the rise of latency that is not yet taken for overload.
	tolerance = 1.5
	// shortSamples and longSamples are the spans of the two moving averages.
	shortSamples = 20
	longSamples  = 600
	// smoothing is the weight of a new limit against the old.
	smoothing = 0.2
	// recovery lets the long average follow a fall of latency.
	recovery = 0.95
)

// limit is the number of slots that this host may occupy. It falls with the ratio
// of the long to the short average of latency and rises again up to its bound.
type limit struct {
	// bound is the host's share of the group's slots.
	bound float64
	// current is at most bound; 0 before the first sample.
	current     float64
	short, long float64
}

// setBound sets the bound, at least one slot.
func (l *limit) setBound(bound float64) { l.bound = max(bound, minLimit) }

func (l *limit) value() float64 {
	if l.current == 0 {
		return l.bound
	}
	return min(l.current, l.bound)
}

// sample takes the latency of a request that ended while running slots were
// occupied. A request that failed fast says nothing about load: an outage would
// pull the long average down, and the limit would fall once answers come again.
func (l *limit) sample(latency time.Duration, running float64, answered bool) {
	seconds := latency.Seconds()
	if !answered && seconds < l.long {
		return
	}
	if l.long == 0 {
		l.short, l.long = seconds, seconds
	}
	l.short += (seconds - l.short) / shortSamples
	l.long += (seconds - l.long) / longSamples
	if l.long > 2*l.short {
		l.long *= recovery
	}
	old := l.value()
	if running < old/2 || l.short == 0 {
		return
	}
	gradient := min(max(tolerance*l.long/l.short, 0.5), 1)
	next := old*gradient + math.Sqrt(old)
	l.current = min(max(old+(next-old)*smoothing, minLimit), l.bound)
}
