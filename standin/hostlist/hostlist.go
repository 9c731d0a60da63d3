// Package hostlist is a stand-in of the platform's delayed list of hosts, in the
// Prometheus HTTP service discovery format.
package hostlist

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// Target is one target group of the host list.
type Target struct {
	Targets []string          `json:"targets"`
	Labels  map[string]string `json:"labels"`
}

// Server serves the list with a delay of Lag after the last change. The zero value
// serves an empty list.
type Server struct {
	// Lag is the delay before a change is published.
	Lag time.Duration

	mu        sync.Mutex
	current   []Target
	published []Target
	changedAt time.Time
}

// Set replaces the host list; the change is published after Lag.
func (s *Server) Set(targets []Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyLag()
	s.current, s.changedAt = targets, time.Now()
}

// SetLabel sets a label of one target, such as state=leaving.
func (s *Server) SetLabel(address, name, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyLag()
	next := make([]Target, len(s.current))
	for i, target := range s.current {
		labels := map[string]string{}
		for key, old := range target.Labels {
			labels[key] = old
		}
		if target.Targets[0] == address {
			labels[name] = value
		}
		next[i] = Target{Targets: target.Targets, Labels: labels}
	}
	s.current, s.changedAt = next, time.Now()
}

// applyLag publishes the current list once Lag has passed since its last change.
// The caller must hold mu.
func (s *Server) applyLag() {
	if time.Since(s.changedAt) >= s.Lag {
		s.published = s.current
	}
}

// Routes returns the HTTP handler of the server.
func (s *Server) Routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /targets", func(w http.ResponseWriter, _ *http.Request) {
		s.mu.Lock()
		s.applyLag()
		published := s.published
		s.mu.Unlock()
		if published == nil {
			published = []Target{}
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(published)
	})
	return mux
}
