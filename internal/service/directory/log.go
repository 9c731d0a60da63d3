package directory

import (
	"time"

	"redwingloft/internal/data/fleet"
	"redwingloft/pkg/api"
)

// maxUpstreamLines is the number of changed upstreams up to which each gets a log line.
const maxUpstreamLines = 32

// logChanges logs the differences between two views.
func (s *Service) logChanges(old, view *View) {
	if old == nil {
		old = &View{}
	}
	if view.Snapshot != old.Snapshot && view.Snapshot != nil {
		s.Log.Info().Int64("revision", int64(view.Snapshot.Revision)).Int64("version", int64(view.Version)).Msg("document_in_force")
		s.Metrics.Counter("directory.documents").Inc(1)
	}
	s.logUpstreams(old, view)
	s.logEvacuations(old, view)
	for id, part := range view.Quarantined {
		if _, known := old.Quarantined[id]; !known {
			s.Log.Info().Str("part", id).Int("crashes", part.Crashes).Str("until", part.Until.UTC().Format(time.RFC3339)).Int64("version", int64(view.Version)).Msg("quarantine_in_force")
		}
	}
	if len(old.Hosts) != len(view.Hosts) {
		s.Log.Info().Int("hosts", len(view.Hosts)).Int("before", len(old.Hosts)).Int64("version", int64(view.Version)).Msg("hosts_changed")
	}
}

// logUpstreams logs each changed upstream, or only their number if there are many: the first
// view of a large fleet would take longer to log than to read.
func (s *Service) logUpstreams(old, view *View) {
	var changed []*fleet.Upstream
	var gone []api.UpstreamID
	for id, upstream := range view.upstreams {
		before := old.upstreams[id]
		if before == nil || before.State != upstream.State || before.Started != upstream.Started {
			changed = append(changed, upstream)
		}
	}
	for id := range old.upstreams {
		if view.upstreams[id] == nil {
			gone = append(gone, id)
		}
	}
	if len(changed)+len(gone) > maxUpstreamLines {
		s.Log.Info().Int("changed", len(changed)).Int("gone", len(gone)).Int("upstreams", len(view.upstreams)).Int64("version", int64(view.Version)).Msg("upstreams_changed")
		return
	}
	for _, upstream := range changed {
		s.Log.Info().Str("upstream", string(upstream.ID)).Str("service", string(upstream.Service)).Str("state", string(upstream.State)).
			Int64("started", upstream.Started).Int64("cold_ms", upstream.WarmUp.Milliseconds()).Int64("version", int64(view.Version)).Msg("upstream_changed")
	}
	for _, id := range gone {
		s.Log.Info().Str("upstream", string(id)).Int64("version", int64(view.Version)).Msg("upstream_gone")
	}
}
