package pipeline

import (
	"math/bits"
	"sync/atomic"
	"time"
)

const (
	// subBits gives eight buckets to each power of two, an error of at most 1/8.
	subBits = 3
	// maxExponent is the highest power of two of microseconds, 134 s.
	maxExponent = 27
	buckets     = (maxExponent - subBits + 2) << subBits
	// recordsPerUpdate is the number of records between two computations of the quantiles.
	recordsPerUpdate = 16
	// halfLife is the time after which old records count half.
	halfLife = 10 * time.Second
	// enoughRecords is the number of records from which quantiles are used.
	enoughRecords = 16
)

// histogram counts durations in buckets of logarithmic width. HdrHistogram-go is
// not safe for concurrent use and its lock would be shared by all requests of a
// stage; here Record is two atomic additions, and the quantiles are precomputed
// so that reading them is one load. The zero value is empty.
type histogram struct {
	counts [buckets]atomic.Int64
	total  atomic.Int64
	// p50 and p95 are nanoseconds, 0 before enoughRecords.
	p50, p95 atomic.Int64
	// decayed is the time of the last halving in nanoseconds since the epoch, 0 before the first record.
	decayed atomic.Int64
}

// Record adds a duration that was measured at now.
func (h *histogram) Record(d time.Duration, now time.Time) {
	h.counts[bucketOf(d)].Add(1)
	total := h.total.Add(1)
	if total < enoughRecords || total%recordsPerUpdate != 0 {
		return
	}
	h.decay(now.UnixNano())
	h.p50.Store(int64(h.quantile(0.50)))
	h.p95.Store(int64(h.quantile(0.95)))
}

// P50 returns the median, or 0 where too little was measured.
func (h *histogram) P50() time.Duration { return time.Duration(h.p50.Load()) }

// P95 returns the 95th percentile, or 0 where too little was measured.
func (h *histogram) P95() time.Duration { return time.Duration(h.p95.Load()) }

// decay halves all counts once a half-life. Additions that race with it are kept.
func (h *histogram) decay(now int64) {
	last := h.decayed.Load()
	if last == 0 {
		h.decayed.CompareAndSwap(0, now)
		return
	}
	if now-last < int64(halfLife) || !h.decayed.CompareAndSwap(last, now) {
		return
	}
	for i := range h.counts {
		// Rounding up lets a single old record disappear.
		h.counts[i].Add(-(h.counts[i].Load() + 1) / 2)
	}
}

func (h *histogram) quantile(q float64) time.Duration {
	var copied [buckets]int64
	sum := int64(0)
	for i := range h.counts {
		copied[i] = h.counts[i].Load()
		sum += copied[i]
	}
	rank := int64(q * float64(sum))
	for i, count := range copied {
		rank -= count
		if rank < 0 {
			return middleOf(i)
		}
	}
	return 0
}

func bucketOf(d time.Duration) int {
	us := uint64(max(d/time.Microsecond, 0))
	if us < 1<<subBits {
		return int(us)
	}
	exponent := bits.Len64(us) - 1
	if exponent > maxExponent {
		return buckets - 1
	}
	return (exponent-subBits+1)<<subBits + int(us>>(exponent-subBits))&(1<<subBits-1)
}

// middleOf returns the middle of a bucket's range.
func middleOf(bucket int) time.Duration {
	if bucket < 1<<subBits {
		return time.Duration(bucket)*time.Microsecond + time.Microsecond/2
	}
	shift := bucket>>subBits - 1
	low := (1<<subBits + bucket&(1<<subBits-1)) << shift
	return time.Duration(low)*time.Microsecond + time.Duration(1<<shift)*time.Microsecond/2
}
