package logging

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// limiterRate (lines per second) and limiterBurst bound the lines of a Limiter: an overloaded host
// refuses hundreds of requests per second. The metrics count all of them.
const (
	limiterRate  = 10
	limiterBurst = 50
)

// Limiter limits the rate of log lines of a kind that callers cause, such as those for refused
// requests. The zero value is ready to use.
type Limiter struct {
	mu      sync.Mutex
	limiter *rate.Limiter
	// dropped is the number of lines dropped since the last written one.
	dropped int64
}

// Allow reports whether a line may be written, and returns the number of lines dropped before it.
func (l *Limiter) Allow(now time.Time) (dropped int64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limiter == nil {
		l.limiter = rate.NewLimiter(limiterRate, limiterBurst)
	}
	if !l.limiter.AllowN(now, 1) {
		l.dropped++
		return 0, false
	}
	dropped, l.dropped = l.dropped, 0
	return dropped, true
}
