// Package service is a stand-in of an HTTP service. It records each execution with
// its idempotency key, so that a test can detect a duplicate execution.
package service

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Run records one execution of a call.
type Run struct {
	Key     string `json:"key"`
	Path    string `json:"path"`
	Fencing int64  `json:"fencing"`
}

// History holds the executed calls of all instances of one service. The zero value is empty.
type History struct {
	mu   sync.Mutex
	runs []Run
	// highestFencing holds the highest fencing number received for each key.
	highestFencing map[string]int64
}

// Runs returns all recorded executions.
func (h *History) Runs() []Run {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]Run(nil), h.runs...)
}

// record appends a run. With checkFencing, it returns false for a fencing number below the highest of the key.
func (h *History) record(run Run, checkFencing bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.highestFencing == nil {
		h.highestFencing = map[string]int64{}
	}
	if checkFencing && run.Fencing < h.highestFencing[run.Key] {
		return false
	}
	h.highestFencing[run.Key] = max(h.highestFencing[run.Key], run.Fencing)
	h.runs = append(h.runs, run)
	return true
}

// Server records every call and responds to any path.
type Server struct {
	// History is shared by the instances of one service.
	History *History
	// Time is the duration of each call.
	Time time.Duration
	// CheckFencing rejects calls with an outdated fencing number.
	CheckFencing bool
	// ReportLoad adds the load to each response.
	ReportLoad bool
}

// Routes returns the HTTP handler of the server.
func (s *Server) Routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ok") })
	mux.HandleFunc("GET /runs", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(s.History.Runs())
	})
	mux.HandleFunc("/", s.call)
	return mux
}

func (s *Server) call(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	fencing, _ := strconv.ParseInt(r.Header.Get("X-Fencing-Number"), 10, 64)
	run := Run{Key: r.Header.Get("Idempotency-Key"), Path: r.URL.Path, Fencing: fencing}
	if !s.History.record(run, s.CheckFencing) {
		http.Error(w, "outdated fencing number", http.StatusPreconditionFailed)
		return
	}
	time.Sleep(s.Time)
	if s.ReportLoad {
		w.Header().Set("endpoint-load-metrics", `JSON {"application_utilization":0.1}`)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"path": r.URL.Path, "key": run.Key, "received": len(body)})
}
