package pipeline

import (
	"math/bits"
	"sync/atomic"
	"time"
)

const (
	// subBits divides each power of two into eight buckets, for an error of at most 1/8.
	subBits = 3
	// maxExponent is the highest power of two in microseconds, 134 s.
	maxExponent = 27
	numBuckets  = (maxExponent - subBits + 2) << subBits
	// recordsPerUpdate is the number of records between updates of the quantiles.
	recordsPerUpdate = 16
	// halfLife is the interval after which the counts are halved.
	halfLife = 10 * time.Second
	// minRecords is the number of records below which no quantiles are computed.
	minRecords = 16
)

// histogram counts durations in buckets of logarithmic width. HdrHistogram-go is
// not safe for concurrent use, and all requests of a stage would share its lock;
// here Record is two atomic additions, and reading a precomputed quantile is one
// load. The zero value is empty.
type histogram struct {
	counts [numBuckets]atomic.Int64
	total  atomic.Int64
	// p50 and p95 are in nanoseconds, 0 before minRecords.
	p50, p95 atomic.Int64
	// lastDecay is the time of the last halving in nanoseconds since the epoch, 0 before the first record.
	lastDecay atomic.Int64
}

// Record adds a duration measured at now.
func (h *histogram) Record(d time.Duration, now time.Time) {
	h.counts[bucketIndex(d)].Add(1)
	total := h.total.Add(1)
	if total < minRecords || total%recordsPerUpdate != 0 {
		return
	}
	h.decay(now.UnixNano())
	h.p50.Store(int64(h.quantile(0.50)))
	h.p95.Store(int64(h.quantile(0.95)))
}

// P50 returns the median, or 0 before minRecords.
func (h *histogram) P50() time.Duration { return time.Duration(h.p50.Load()) }

// P95 returns the 95th percentile, or 0 before minRecords.
func (h *histogram) P95() time.Duration { return time.Duration(h.p95.Load()) }

// decay halves all counts once per halfLife. Concurrent additions are not lost.
func (h *histogram) decay(now int64) {
	last := h.lastDecay.Load()
	if last == 0 {
		h.lastDecay.CompareAndSwap(0, now)
		return
	}
	if now-last < int64(halfLife) || !h.lastDecay.CompareAndSwap(last, now) {
		return
	}
	for i := range h.counts {
		// Rounding up removes the last old record of a bucket.
		h.counts[i].Add(-(h.counts[i].Load() + 1) / 2)
	}
}

func (h *histogram) quantile(q float64) time.Duration {
	var counts [numBuckets]int64
	sum := int64(0)
	for i := range h.counts {
		counts[i] = h.counts[i].Load()
		sum += counts[i]
	}
	rank := int64(q * float64(sum))
	for i, count := range counts {
		rank -= count
		if rank < 0 {
			return bucketMidpoint(i)
		}
	}
	return 0
}

func bucketIndex(d time.Duration) int {
	us := uint64(max(d/time.Microsecond, 0))
	if us < 1<<subBits {
		return int(us)
	}
	exponent := bits.Len64(us) - 1
	if exponent > maxExponent {
		return numBuckets - 1
	}
	return (exponent-subBits+1)<<subBits + int(us>>(exponent-subBits))&(1<<subBits-1)
}

// bucketMidpoint returns the midpoint of a bucket's range.
func bucketMidpoint(bucket int) time.Duration {
	if bucket < 1<<subBits {
		return time.Duration(bucket)*time.Microsecond + time.Microsecond/2
	}
	shift := bucket>>subBits - 1
	low := (1<<subBits + bucket&(1<<subBits-1)) << shift
	return time.Duration(low)*time.Microsecond + time.Duration(1<<shift)*time.Microsecond/2
}
