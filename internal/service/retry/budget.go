// Package retry limits the extra attempts of a host to a share of its first attempts.
package retry

import (
	"sync"
	"sync/atomic"
	"time"

	"redwingloft/internal/helper/metric"
)

const (
	// creditPerAttempt is the fixed-point credit of one attempt.
	creditPerAttempt = 1000
	// reserveCredit is available on top of the share, so that a host with little traffic
	// can retry after the loss of one upstream.
	reserveCredit = 10 * creditPerAttempt
	// maxCredit bounds the accumulated credit, so that a long time without failures does
	// not allow a retry storm.
	maxCredit = 50 * creditPerAttempt
	// maxDebt bounds how far Charge can overdraw the credit.
	maxDebt = 50 * creditPerAttempt
	// freeAttemptInterval is the interval at which an extra attempt is granted without credit.
	freeAttemptInterval = 5 * time.Second
)

// Reason is the cause of an extra attempt.
type Reason string

// The reasons for extra attempts. Those for failed attempts equal the reasons of the
// upstream package.
const (
	ReasonHedge    Reason = "hedge"
	ReasonResume   Reason = "resume"
	ReasonDial     Reason = "dial_failed"
	ReasonNoAnswer Reason = "no_answer"
	ReasonStatus   Reason = "status"
	ReasonDraining Reason = "draining"
	ReasonSilent   Reason = "silent"
	ReasonBroken   Reason = "broken"
)

var reasons = [...]Reason{
	ReasonHedge, ReasonResume, ReasonDial, ReasonNoAnswer, ReasonStatus, ReasonDraining, ReasonSilent, ReasonBroken,
}

// Budget grants retries and hedges as a share of first attempts. Each first attempt
// adds its share to the credit and each extra attempt costs the credit of one attempt,
// so that over time the extra attempts stay below the share plus a small minimum.
// All methods are safe for concurrent use and take no lock. The zero value is ready to
// use; a nil budget grants everything.
type Budget struct {
	// Metrics counts extra attempts as "retry.<reason>" and refused ones as
	// "retry.refused.<reason>"; nil counts nothing.
	Metrics *metric.Set
	// Clock returns the current time; nil means time.Now.
	Clock func() time.Time

	// credit is in thousandths of an attempt, without the reserve.
	credit atomic.Int64
	// lastFree is the time of the last grant without credit, relative to started.
	lastFree atomic.Int64
	once     sync.Once
	started  time.Time
	counters map[Reason]counters
}

type counters struct{ granted, refused interface{ Inc(int64) } }

// RecordFirst adds the credit for one first attempt; share is between 0 and 1.
func (b *Budget) RecordFirst(share float64) {
	if b == nil {
		return
	}
	b.initialize()
	b.add(int64(share * creditPerAttempt))
}

// Allow reports whether an extra attempt may be made and, if so, charges it to the credit.
func (b *Budget) Allow(reason Reason) bool {
	if b == nil {
		return true
	}
	b.initialize()
	if b.takeCredit() || b.takeFree() {
		b.countersFor(reason).granted.Inc(1)
		return true
	}
	b.countersFor(reason).refused.Inc(1)
	return false
}

// Charge charges an extra attempt that can't be refused, such as resuming a stream that
// was already delivered in part. Later retries and hedges are reduced in return.
func (b *Budget) Charge(reason Reason) {
	if b == nil {
		return
	}
	b.initialize()
	b.add(-creditPerAttempt)
	b.countersFor(reason).granted.Inc(1)
}

func (b *Budget) add(amount int64) {
	for {
		old := b.credit.Load()
		next := max(min(old+amount, maxCredit), -reserveCredit-maxDebt)
		if next == old || b.credit.CompareAndSwap(old, next) {
			return
		}
	}
}

func (b *Budget) takeCredit() bool {
	for {
		old := b.credit.Load()
		if old-creditPerAttempt < -reserveCredit {
			return false
		}
		if b.credit.CompareAndSwap(old, old-creditPerAttempt) {
			return true
		}
	}
}

// takeFree grants one attempt per freeAttemptInterval without credit.
func (b *Budget) takeFree() bool {
	now := int64(b.now().Sub(b.started))
	last := b.lastFree.Load()
	return now-last >= int64(freeAttemptInterval) && b.lastFree.CompareAndSwap(last, now)
}

func (b *Budget) now() time.Time {
	if b.Clock != nil {
		return b.Clock()
	}
	return time.Now()
}

// initialize looks up the counters once, because the metrics registry takes a lock.
func (b *Budget) initialize() {
	b.once.Do(func() {
		b.started = b.now()
		b.counters = make(map[Reason]counters, len(reasons))
		for _, reason := range reasons {
			b.counters[reason] = b.lookUp(reason)
		}
	})
}

func (b *Budget) lookUp(reason Reason) counters {
	return counters{
		granted: b.Metrics.Counter("retry." + string(reason)),
		refused: b.Metrics.Counter("retry.refused." + string(reason)),
	}
}

func (b *Budget) countersFor(reason Reason) counters {
	if known, found := b.counters[reason]; found {
		return known
	}
	return b.lookUp(reason)
}
