package upstream

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"redwingloft/pkg/api"
)

const (
	// The stall timeout is stallFactor times the p99 of the measured waits, limited to
	// the range from minStallTimeout to maxStallTimeout.
	stallFactor     = 4
	minStallTimeout = 150 * time.Millisecond
	maxStallTimeout = 2 * time.Second
	// minWaitSamples is the number of measured waits required for a p99; before that,
	// maxStallTimeout applies.
	minWaitSamples = 32
	// waitWindowSamples is the number of measured waits per window; the last two windows are kept.
	waitWindowSamples = 1024
	// waitBatchSamples is the number of measured waits between two computations of p99.
	waitBatchSamples = 32
	// maxWait is the largest wait that is recorded; longer ones are recorded as maxWait.
	maxWait = time.Minute
)

// waitMeters measures how long the attempts of one group wait for data.
type waitMeters struct {
	// firstByte measures the wait for the first byte, betweenReads the wait for more data.
	firstByte    waitMeter
	betweenReads waitMeter
}

func (w *waitMeters) observe(isFirst bool, wait time.Duration) {
	if isFirst {
		w.firstByte.observe(wait)
		return
	}
	w.betweenReads.observe(wait)
}

// stallTimeout returns the time without progress after which an attempt is stalled.
func (w *waitMeters) stallTimeout(streaming bool) time.Duration {
	if streaming {
		return w.betweenReads.stallTimeout()
	}
	return w.firstByte.stallTimeout()
}

// waitMeter measures the p99 of waits over the last one to two windows. The zero
// value is ready for use.
type waitMeter struct {
	// timeout is 0 until enough waits were measured.
	timeout atomic.Int64

	mu       sync.Mutex
	current  *hdrhistogram.Histogram
	previous *hdrhistogram.Histogram
}

func (m *waitMeter) stallTimeout() time.Duration {
	if stallTimeout := m.timeout.Load(); stallTimeout != 0 {
		return time.Duration(stallTimeout)
	}
	return maxStallTimeout
}

func (m *waitMeter) observe(wait time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.current == nil {
		m.current, m.previous = newWaitHistogram(), newWaitHistogram()
	}
	// The value is clamped to the range of the histogram, so RecordValue can't fail.
	_ = m.current.RecordValue(max(1, min(wait, maxWait).Microseconds()))
	count := m.current.TotalCount()
	if count%waitBatchSamples != 0 || count+m.previous.TotalCount() < minWaitSamples {
		return
	}
	p99 := max(m.current.ValueAtQuantile(99), m.previous.ValueAtQuantile(99))
	stallTimeout := stallFactor * time.Duration(p99) * time.Microsecond
	m.timeout.Store(int64(min(max(stallTimeout, minStallTimeout), maxStallTimeout)))
	if count >= waitWindowSamples {
		m.current, m.previous = m.previous, m.current
		m.current.Reset()
	}
}

func newWaitHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxWait.Microseconds(), 1)
}

func (s *Sender) groupWaits(group api.GroupName) *waitMeters {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waitMeters == nil {
		s.waitMeters = map[api.GroupName]*waitMeters{}
	}
	if s.waitMeters[group] == nil {
		s.waitMeters[group] = &waitMeters{}
	}
	return s.waitMeters[group]
}

// checkStalls probes the upstreams of stalled attempts in the background, so that a
// slow probe delays no other instance. The returned group is done when all probes are.
func (s *Sender) checkStalls(ctx context.Context) *sync.WaitGroup {
	probes := &sync.WaitGroup{}
	for _, r := range s.stalledAttempts() {
		if !r.instance.pool.probing.CompareAndSwap(false, true) {
			continue
		}
		probes.Go(func() {
			defer r.instance.pool.probing.Store(false)
			s.checkStall(ctx, r)
		})
	}
	return probes
}

// stalledAttempts returns one stalled attempt of each instance that has any.
func (s *Sender) stalledAttempts() []*inFlight {
	s.mu.Lock()
	defer s.mu.Unlock()
	var stalled []*inFlight
	seen := map[*Instance]bool{}
	for r := range s.inFlight {
		if seen[r.instance] || !r.isStalled() {
			continue
		}
		seen[r.instance] = true
		stalled = append(stalled, r)
	}
	return stalled
}

// isStalled reports whether the attempt has been waiting for longer than the stall
// timeout and was not probed within that time.
func (r *inFlight) isStalled() bool {
	waitingSince := r.waitingSince.Load()
	return waitingSince != 0 && time.Duration(r.elapsed()-max(waitingSince, r.probedAt.Load())) > r.stallTimeout()
}

// stallTimeout returns the stall timeout of the attempt. A connection that was opened
// for the attempt is known to work, so a late first byte most likely means that the
// request is queued; canceling it early would add load to an overloaded upstream.
func (r *inFlight) stallTimeout() time.Duration {
	streaming := r.firstByteAt.Load() != 0
	if !streaming && r.newConnection.Load() {
		return maxStallTimeout
	}
	return r.waitMeters.stallTimeout(streaming)
}

// checkStall probes the upstream of a stalled attempt over a new connection and
// cancels the attempts whose connections are silent.
func (s *Sender) checkStall(ctx context.Context, r *inFlight) {
	waitingSince, stallTimeout := r.waitingSince.Load(), r.stallTimeout()
	result := s.probe(ctx, r.instance)
	if ctx.Err() != nil || waitingSince == 0 || r.waitingSince.Load() != waitingSince {
		return
	}
	r.probedAt.Store(r.elapsed())
	streaming := r.firstByteAt.Load() != 0
	if result.responded {
		// Record the wait so far: if the waits of canceled attempts were left out, the
		// timeout would not adapt to an upstream that becomes slower.
		r.waitMeters.observe(!streaming, time.Duration(r.elapsed()-waitingSince))
	} else {
		r.instance.recordSilence()
	}
	openedBefore, readAfter := r.start.Add(time.Duration(waitingSince)), s.now().Add(-stallTimeout)
	switch {
	case !r.generation.hasActiveConnection(openedBefore, readAfter):
		r.instance.pool.retire(r.generation, errSilent)
	case result.responded && streaming:
		// Other connections work, so only the connection of this attempt is silent.
		r.cancel(errSilent)
	}
	// Otherwise the request is queued at an upstream whose other connections work, or at
	// one that is draining; a hedge covers it.
}

func (i *Instance) recordSilence() {
	if i.table != nil {
		i.table.recordFailure(i, ReasonSilent)
	}
}
