// Package hostlist simulates the platform's host list, which lags behind changes, in the
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

// Server serves the host list with a delay of Lag. The zero value serves an empty list.
type Server struct {
	// Lag is the time until a change is published.
	Lag time.Duration

	mu      sync.Mutex
	current []Target
	shown   []Target
	changed time.Time
}

// Set replaces the host list; the change is published after Lag.
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

// settle publishes the current list once Lag has passed since the last change. The caller must hold mu.
func (s *Server) settle() {
	if time.Since(s.changed) >= s.Lag {
		s.shown = s.current
	}
}

// Routes returns the HTTP handler that serves the list at GET /targets.
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
