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
	// stallFactor times the measured p99 gap is the stall time, within the bounds.
	stallFactor = 4
	minStall    = 150 * time.Millisecond
	maxStall    = 2 * time.Second
	// minGaps is the number of gaps from which p99 is known; before that, maxStall applies.
	minGaps = 32
	// gapWindow is the number of gaps after which the older half of the measurement is dropped.
	gapWindow = 1024
	// gapBatch is the number of gaps between two computations of p99.
	gapBatch = 32
	// maxGap bounds a measured gap.
	maxGap = time.Minute
)

// gaps measures the waits of one group for data.
type gaps struct {
	// first is from the request to the first byte, between is between two reads.
	first   gapMeter
	between gapMeter
}

func (g *gaps) observe(isFirst bool, gap time.Duration) {
	if isFirst {
		g.first.observe(gap)
		return
	}
	g.between.observe(gap)
}

// stall returns the time without progress after which an attempt is examined.
func (g *gaps) stall(streaming bool) time.Duration {
	if streaming {
		return g.between.stall()
	}
	return g.first.stall()
}

// gapMeter measures p99 over the last one to two windows. The zero value works.
type gapMeter struct {
	// stallTime is 0 until enough gaps were measured.
	stallTime atomic.Int64

	mu       sync.Mutex
	current  *hdrhistogram.Histogram
	previous *hdrhistogram.Histogram
}

func (m *gapMeter) stall() time.Duration {
	if stall := m.stallTime.Load(); stall != 0 {
		return time.Duration(stall)
	}
	return maxStall
}

func (m *gapMeter) observe(gap time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.current == nil {
		m.current, m.previous = newGapHistogram(), newGapHistogram()
	}
	// The value lies within the range of the histogram, so that no error occurs.
	_ = m.current.RecordValue(max(1, min(gap, maxGap).Microseconds()))
	count := m.current.TotalCount()
	if count%gapBatch != 0 || count+m.previous.TotalCount() < minGaps {
		return
	}
	p99 := max(m.current.ValueAtQuantile(99), m.previous.ValueAtQuantile(99))
	stall := stallFactor * time.Duration(p99) * time.Microsecond
	m.stallTime.Store(int64(min(max(stall, minStall), maxStall)))
	if count >= gapWindow {
		m.current, m.previous = m.previous, m.current
		m.current.Reset()
	}
}

func newGapHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxGap.Microseconds(), 1)
}

func (s *Sender) groupGaps(group api.GroupName) *gaps {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.gaps == nil {
		s.gaps = map[api.GroupName]*gaps{}
	}
	if s.gaps[group] == nil {
		s.gaps[group] = &gaps{}
	}
	return s.gaps[group]
}

// examineStalls probes the upstreams of attempts that make no progress. The
// returned group ends with the probes; a slow probe delays no other instance.
func (s *Sender) examineStalls(ctx context.Context) *sync.WaitGroup {
	wait := &sync.WaitGroup{}
	for _, r := range s.stalled() {
		if !r.instance.pool.probing.CompareAndSwap(false, true) {
			continue
		}
		wait.Go(func() {
			defer r.instance.pool.probing.Store(false)
			s.examine(ctx, r)
		})
	}
	return wait
}

// stalled returns one stalled attempt of each instance.
func (s *Sender) stalled() []*running {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []*running
	seen := map[*Instance]bool{}
	for r := range s.running {
		if seen[r.instance] || !r.isStalled() {
			continue
		}
		seen[r.instance] = true
		found = append(found, r)
	}
	return found
}

// isStalled reports whether the attempt waits longer than the stall time and
// was not examined within it.
func (r *running) isStalled() bool {
	waiting := r.waiting.Load()
	return waiting != 0 && time.Duration(r.elapsed()-max(waiting, r.examined.Load())) > r.stall()
}

// stall returns the stall time of the attempt. A connection that was made for
// the attempt has just shown that it works, so a late first byte on it more
// likely means a queue; ending such attempts early would add load to an overload.
func (r *running) stall() time.Duration {
	streaming := r.first.Load() != 0
	if !streaming && r.fresh.Load() {
		return maxStall
	}
	return r.gaps.stall(streaming)
}

// examine probes the upstream of a stalled attempt on a new connection and ends
// what is silent.
func (s *Sender) examine(ctx context.Context, r *running) {
	waiting, stall := r.waiting.Load(), r.stall()
	result := s.probe(ctx, r.instance)
	if ctx.Err() != nil || waiting == 0 || r.waiting.Load() != waiting {
		return
	}
	r.examined.Store(r.elapsed())
	streaming := r.first.Load() != 0
	if result.answered {
		// The wait counts as a gap: without the ended waits, the measure could
		// not follow an upstream that becomes slow.
		r.gaps.observe(!streaming, time.Duration(r.elapsed()-waiting))
	} else {
		r.instance.silent()
	}
	opened, recent := r.start.Add(time.Duration(waiting)), s.now().Add(-stall)
	switch {
	case !r.generation.lively(opened, recent):
		r.instance.pool.retire(r.generation, errSilent)
	case result.answered && streaming:
		// The other connections work, so only this one is silent.
		r.cancel(errSilent)
	}
	// Otherwise the attempt waits in the queue of an upstream whose other open
	// connections work, or of one that drains; a hedge covers it.
}

func (i *Instance) silent() {
	if i.table != nil {
		i.table.failed(i, ReasonSilent)
	}
}
