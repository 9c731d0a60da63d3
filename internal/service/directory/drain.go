package directory

import (
	"time"

	"redwingloft/internal/data/fleet"
)

// MarkDraining records that an incarnation of an upstream announced its shutdown to this host,
// whatever the store states. It returns after the view no longer offers the upstream.
func (s *Service) MarkDraining(upstream *fleet.Upstream) {
	if known := s.View().upstreams[upstream.ID]; known != nil && known.Started == upstream.Started && known.State == fleet.StateDraining {
		return
	}
	s.mu.Lock()
	if !s.state.markDraining(upstream.Incarnation(), s.now()) {
		s.mu.Unlock()
		return
	}
	s.Metrics.Counter("directory.leaving_announced").Inc(1)
	s.Log.Info().Str("upstream", string(upstream.ID)).Str("service", string(upstream.Service)).Int64("started", upstream.Started).
		Int64("version", int64(s.state.Version())).Msg("upstream_leaving")
	s.publish()
}

// markDraining adds an incarnation to those that were seen draining, and reports whether it is a
// new one.
func (s *State) markDraining(incarnation fleet.Incarnation, now time.Time) bool {
	if _, known := s.drainedIncarnations[incarnation]; known {
		return false
	}
	if s.records == nil {
		s.records, s.drainedIncarnations = map[string]*record{}, map[fleet.Incarnation]time.Time{}
	}
	s.drainedIncarnations[incarnation] = now
	for _, rec := range s.records {
		if rec.upstream != nil && rec.upstream.Incarnation() == incarnation {
			// Views share the upstream.
			draining := *rec.upstream
			draining.State = fleet.StateDraining
			rec.upstream = &draining
		}
	}
	return true
}
