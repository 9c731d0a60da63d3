package directory

import (
	"time"

	"redwingloft/internal/data/store"
	"redwingloft/pkg/api"
)

// setCold sets the end of the cold time of an upstream whose entry was written, counted from now. An
// entry of an older copy of the store, or one whose cold time is invalid, does not make it earlier.
func (s *State) setCold(decoded *record, now time.Time) {
	upstream := decoded.upstream
	if upstream == nil {
		return
	}
	upstream.LearnedAt = now
	if upstream.WarmUp > 0 {
		upstream.ColdUntil = now.Add(upstream.WarmUp)
	}
	known := s.records[decoded.entry.Key]
	if known == nil || known.upstream == nil || known.upstream.Started != upstream.Started || !s.restoring && !decoded.coldIgnored {
		return
	}
	if known.upstream.ColdUntil.After(upstream.ColdUntil) {
		upstream.ColdUntil = known.upstream.ColdUntil
	}
}

// returnTTL is how long other hosts are told that an evacuation has ended. Upstreams write their entries
// more often.
const returnTTL = 10 * time.Second

// Return is the end of an evacuation.
type Return struct {
	DataCentre api.DataCentre `json:"data_centre"`
	// Version is the revision at which the key was known to be deleted.
	Version store.Version `json:"version"`
	// AgeMs is the time since then, in milliseconds.
	AgeMs int64 `json:"age_ms"`
}

// knownReturn is a Return with its time by the clock of this host.
type knownReturn struct {
	Return
	at time.Time
}

// recordReturn makes the upstreams of a data centre that is no longer evacuated cold until their entries
// are written again, and reports whether the return was not known.
func (s *State) recordReturn(r Return, at time.Time) bool {
	if known, found := s.returns[r.DataCentre]; found && known.Version >= r.Version {
		return false
	}
	if s.returns == nil {
		s.returns = map[api.DataCentre]knownReturn{}
	}
	s.returns[r.DataCentre] = knownReturn{r, at}
	if s.snapshot == nil {
		return false
	}
	for _, rec := range s.records {
		if rec.upstream == nil || rec.upstream.DataCentre != r.DataCentre || rec.entry.Version > r.Version {
			continue
		}
		service := s.snapshot.Services[rec.upstream.Service]
		if service == nil || service.ColdTime == 0 || !at.Add(service.ColdTime).After(rec.upstream.ColdUntil) {
			continue
		}
		// Views share the upstream.
		cold := *rec.upstream
		cold.ColdUntil = at.Add(service.ColdTime)
		rec.upstream = &cold
	}
	return true
}

// recentReturns returns the ends of evacuations to tell other hosts of.
func (s *State) recentReturns(now time.Time) []Return {
	var list []Return
	for centre, known := range s.returns {
		if now.Sub(known.at) >= returnTTL {
			delete(s.returns, centre)
			continue
		}
		known.AgeMs = now.Sub(known.at).Milliseconds()
		list = append(list, known.Return)
	}
	return list
}

// recordReturns records the ends of evacuations that another host knows, and reports whether there are
// new ones. A host that has just started has not seen them.
func (s *State) recordReturns(list []Return, now time.Time) bool {
	changed := false
	for _, r := range list {
		if s.records[s.Decoder.EvacuationPrefix+string(r.DataCentre)] == nil {
			at := now.Add(-time.Duration(r.AgeMs) * time.Millisecond)
			changed = s.recordReturn(r, at) || changed
		}
	}
	return changed
}

// countCold returns the number of cold upstreams.
func (s *Service) countCold() int64 {
	now, count := s.now(), int64(0)
	for _, upstream := range s.View().upstreams {
		if now.Before(upstream.ColdUntil) {
			count++
		}
	}
	return count
}
