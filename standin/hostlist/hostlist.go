// Package hostlist is a stand-in of the platform's lagging list of hosts, in the
// Prometheus HTTP service discovery format.
package hostlist

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// Target is one entry of the list.
type Target struct {
	Targets []string          `json:"targets"`
	Labels  map[string]string `json:"labels"`
}

// Server serves the list as it was Lag ago. The zero value serves an empty list.
type Server struct {
	// Lag is the time after which a change shows.
	Lag time.Duration

	mu      sync.Mutex
	current []Target
	shown   []Target
	changed time.Time
}

// Set replaces the list.
func (s *Server) Set(targets []Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settle()
	s.current, s.changed = targets, time.Now()
}

// Label sets a label of one target, such as state = leaving.
func (s *Server) Label(address, name, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settle()
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
	s.current, s.changed = next, time.Now()
}

// settle shows the current list once its lag has passed. The caller holds mu.
func (s *Server) settle() {
	if time.Since(s.changed) >= s.Lag {
		s.shown = s.current
	}
}

// Routes returns the mux of the server.
func (s *Server) Routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /targets", func(w http.ResponseWriter, _ *http.Request) {
		s.mu.Lock()
		s.settle()
		shown := s.shown
		s.mu.Unlock()
		if shown == nil {
			shown = []Target{}
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(shown)
	})
	return mux
}
