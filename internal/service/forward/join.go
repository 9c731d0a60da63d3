package forward

import (
	"errors"

	"redwingloft/internal/helper/clock"
)

// errEventGap is returned if a resumed stream skips events.
var errEventGap = errors.New("the events of the resumed stream don't follow the last one")

// forwardEvent forwards an event, unless it was already forwarded. Ids may increase by different steps
// within an attempt; whether events are missing is checked only between the events of two attempts.
func (s *streamCall) forwardEvent(x *exchange, e *event) error {
	id, ok := e.numericID()
	last, known := (&event{id: s.lastEventID}).numericID()
	if ok && known && id <= last {
		s.repeatedID, s.repeats = id, true
		return nil
	}
	if s.continues && !s.joined && !(ok && s.follows(id, last, known)) {
		return errEventGap
	}
	if ok && known && s.forwarded > 0 {
		s.maxIDStep = max(s.maxIDStep, id-last)
	}
	s.joined = true
	if !s.started {
		s.startResponse(x)
	}
	if err := s.write(e.raw); err != nil {
		return err
	}
	s.forwarded++
	s.lastEventAt = clock.Now()
	s.unplaced.Store(!ok)
	if e.id != "" {
		s.lastEventID = e.id
	}
	return nil
}

// follows reports whether no event is missing between the last forwarded one and the first new one of
// another attempt. Events that the attempt has repeated end with the last forwarded one. If it has
// repeated none, its first id exceeds the last one by no more than the ids of the stream have before.
func (s *streamCall) follows(id, last int64, known bool) bool {
	switch {
	case !known:
		return true
	case s.repeats:
		return s.repeatedID == last
	default:
		return s.maxIDStep == 0 || id-last <= s.maxIDStep
	}
}
