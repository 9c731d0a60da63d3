package admission

import (
	"math"
	"time"
)

const (
	// minSlots is the lowest limit in slots.
	minSlots = 1
	// latencyTolerance is the ratio of short to long average latency that is not yet treated
	// as overload.
	latencyTolerance = 1.5
	// shortWindow and longWindow are the windows of the two moving averages, in samples.
	shortWindow = 20
	longWindow  = 600
	// smoothing is the weight of a new limit against the previous one.
	smoothing = 0.2
	// longDecay lets the long average follow a drop in latency.
	longDecay = 0.95
)

// limiter is an adaptive limit on the slots that this host may occupy. It falls with the
// ratio of the long to the short average latency, and rises again up to its bound.
type limiter struct {
	// bound is the host's share of the group's slots.
	bound float64
	// current is at most bound; 0 before the first sample.
	current                   float64
	shortAverage, longAverage float64
}

// setBound sets the bound, which is at least one slot.
func (l *limiter) setBound(bound float64) { l.bound = max(bound, minSlots) }

func (l *limiter) value() float64 {
	if l.current == 0 {
		return l.bound
	}
	return min(l.current, l.bound)
}

// observe records the latency of a request that ended while the given number of slots was
// occupied. Fast failures are ignored: in an outage they would lower the long average, and the
// limit would drop once requests are answered again.
func (l *limiter) observe(latency time.Duration, occupied float64, answered bool) {
	seconds := latency.Seconds()
	if !answered && seconds < l.longAverage {
		return
	}
	if l.longAverage == 0 {
		l.shortAverage, l.longAverage = seconds, seconds
	}
	l.shortAverage += (seconds - l.shortAverage) / shortWindow
	l.longAverage += (seconds - l.longAverage) / longWindow
	if l.longAverage > 2*l.shortAverage {
		l.longAverage *= longDecay
	}
	previous := l.value()
	if occupied < previous/2 || l.shortAverage == 0 {
		return
	}
	gradient := min(max(latencyTolerance*l.longAverage/l.shortAverage, 0.5), 1)
	next := previous*gradient + math.Sqrt(previous)
	l.current = min(max(previous+(next-previous)*smoothing, minSlots), l.bound)
}
