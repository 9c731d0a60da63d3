package forward

import (
	"sync"
	"time"

	"redwingloft/internal/data/fleet"
)

const (
	// streamTimeWeight and streamDeviationWeight are the weights of a new stream in the moving averages
	// of the time that streams take and of its deviation.
	streamTimeWeight      = 0.125
	streamDeviationWeight = 0.25
	// maxStreamTimes bounds the routes that are remembered.
	maxStreamTimes = 4096
)

// streamTimes holds the time that complete streams take, by route, from the request to an engine to the
// last event. The zero value is ready to use.
type streamTimes struct {
	mu      sync.Mutex
	byRoute map[fleet.RouteName]streamTime
}

type streamTime struct{ mean, deviation time.Duration }

// observe records the time that a complete stream took.
func (s *streamTimes) observe(route fleet.RouteName, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known, found := s.byRoute[route]
	if !found {
		if s.byRoute == nil || len(s.byRoute) >= maxStreamTimes {
			s.byRoute = map[fleet.RouteName]streamTime{}
		}
		s.byRoute[route] = streamTime{took, took / 2}
		return
	}
	known.deviation += time.Duration(streamDeviationWeight * float64((took-known.mean).Abs()-known.deviation))
	known.mean += time.Duration(streamTimeWeight * float64(took-known.mean))
	s.byRoute[route] = known
}

// expected returns the time that most streams of a route take, which is the objective of the route until
// one is known.
func (s *streamTimes) expected(route *fleet.Route) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	known, found := s.byRoute[route.Name]
	if !found {
		return route.Objective
	}
	return known.mean + known.deviation
}
