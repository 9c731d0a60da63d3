package directory

import (
	"errors"

	"redwingloft/pkg/api"
)

// errNoDataCentre is reported for an evacuation whose key names no data centre.
var errNoDataCentre = errors.New("the key names no data centre")

// addEvacuations adds the evacuated data centres to a view.
func (s *State) addEvacuations(v *View) {
	for _, rec := range s.records {
		if rec.evacuated == "" {
			continue
		}
		if v.Evacuated == nil {
			v.Evacuated = map[api.DataCentre]bool{}
		}
		v.Evacuated[rec.evacuated] = true
	}
}

// logEvacuations logs and counts the evacuations that begin or end with a view.
func (s *Service) logEvacuations(old, view *View) {
	for centre := range view.Evacuated {
		if !old.Evacuated[centre] {
			s.Metrics.Counter("directory.evacuations").Inc(1)
			s.logEvacuation("evacuation_began", centre, view)
		}
	}
	for centre := range old.Evacuated {
		if !view.Evacuated[centre] {
			s.logEvacuation("evacuation_ended", centre, view)
		}
	}
}

func (s *Service) logEvacuation(event string, centre api.DataCentre, view *View) {
	upstreams, inProgress := 0, 0
	for _, upstream := range view.upstreams {
		if upstream.DataCentre != centre {
			continue
		}
		upstreams++
		if s.InProgress != nil {
			inProgress += s.InProgress(upstream)
		}
	}
	if upstreams == 0 && !hasHosts(view, centre) {
		s.Metrics.Counter("directory.evacuations_unknown").Inc(1)
		s.Log.Warn().Str("data_centre", string(centre)).Int64("version", int64(view.Version)).Msg("evacuation_of_unknown_data_centre")
	}
	s.Log.Info().Str("data_centre", string(centre)).Int("upstreams", upstreams).Int("in_progress", inProgress).
		Int64("version", int64(view.Version)).Msg(event)
}

// hasHosts reports whether hosts of a data centre are registered.
func hasHosts(view *View, centre api.DataCentre) bool {
	for i := range view.Hosts {
		if view.Hosts[i].DataCentre == centre {
			return true
		}
	}
	return false
}
