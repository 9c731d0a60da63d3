// Package admin serves health, readiness, metrics and, at entry hosts on the platform, explanations.
package admin

import (
	"fmt"
	"net/http"

	"redwingloft/internal/helper/metric"
)

// Handler serves the admin interface.
type Handler struct {
	Metrics *metric.Set
	// Ready returns nil if the host can accept requests, or the reason why it can't.
	Ready func() error
	// Explain is nil if the host can't explain its decisions.
	Explain ExplainFunc
}

// Routes returns the HTTP handler of the admin interface.
func (h *Handler) Routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintln(w, "ok")
	})
	mux.HandleFunc("GET /readyz", h.ready)
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		// The client may have disconnected; a write error is ignored.
		_ = h.Metrics.Write(w)
	})
	if h.Explain != nil {
		mux.HandleFunc("GET "+PathExplain, h.explain)
	}
	return mux
}

func (h *Handler) ready(w http.ResponseWriter, _ *http.Request) {
	if err := h.Ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "ready")
}
