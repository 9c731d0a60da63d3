// Package admin serves health, readiness and metrics.
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
	return mux
}

func (h *Handler) ready(w http.ResponseWriter, _ *http.Request) {
	if err := h.Ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "ready")
}
