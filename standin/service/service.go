// Package service simulates a non-streaming service. It records its runs with
// their idempotency keys, so that a test can detect an order that ran twice.
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

// Run is one execution of a call.
type Run struct {
	Key     string `json:"key"`
	Path    string `json:"path"`
	Fencing int64  `json:"fencing"`
}

// History records the runs of all instances of one service. The zero value is empty.
type History struct {
	mu   sync.Mutex
	runs []Run
	// fences holds the highest fencing number received for each key.
	fences map[string]int64
}

// Runs returns all runs so far.
func (h *History) Runs() []Run {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]Run(nil), h.runs...)
}

// admit records a run. If checked is set, it rejects a fencing number below the highest received for the key.
func (h *History) admit(run Run, checked bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.fences == nil {
		h.fences = map[string]int64{}
	}
	if checked && run.Fencing < h.fences[run.Key] {
		return false
	}
	h.fences[run.Key] = max(h.fences[run.Key], run.Fencing)
	h.runs = append(h.runs, run)
	return true
}

// Server is one instance of the service; it accepts calls on any path.
type Server struct {
	// History is shared by the instances of one service.
	History *History
	// Time is the duration of each call.
	Time time.Duration
	// CheckFencing rejects orders with an outdated fencing number.
	CheckFencing bool
	// ReportLoad adds a load report to each response.
	ReportLoad bool
}

// Routes returns the HTTP handler of the service.
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
	if !s.History.admit(run, s.CheckFencing) {
		http.Error(w, "the fencing number is old", http.StatusPreconditionFailed)
		return
	}
	time.Sleep(s.Time)
	if s.ReportLoad {
		w.Header().Set("endpoint-load-metrics", `JSON {"application_utilization":0.1}`)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"path": r.URL.Path, "key": run.Key, "received": len(body)})
}
