package directory

import (
	"time"

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

// chill makes the upstreams of a data centre cold that is no longer evacuated, until their entries
// are written again.
func (s *State) chill(centre api.DataCentre, now time.Time) {
	if s.snapshot == nil {
		return
	}
	for _, rec := range s.records {
		if rec.upstream == nil || rec.upstream.DataCentre != centre {
			continue
		}
		service := s.snapshot.Services[rec.upstream.Service]
		if service == nil || !now.Add(service.ColdTime).After(rec.upstream.ColdUntil) || service.ColdTime == 0 {
			continue
		}
		// Views share the upstream.
		cold := *rec.upstream
		cold.ColdUntil = now.Add(service.ColdTime)
		rec.upstream = &cold
	}
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
