package cmd

import (
	"context"
	"errors"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// errStopped is the end of a host that was told to stop.
var errStopped = errors.New("stopped by a signal")

const (
	// drainPollInterval is the time between two looks at the requests in progress.
	drainPollInterval = 20 * time.Millisecond
	// deregisterTimeout bounds the last write to the key-value service; a host that can't
	// make it is removed by the others later.
	deregisterTimeout = 3 * time.Second
)

// signalActor returns an actor that drains the host on the first signal and ends it at once on the second.
func (h *host) signalActor(ctx context.Context) (func() error, func(error)) {
	ctx, cancel := context.WithCancel(ctx)
	received := make(chan os.Signal, 2)
	signal.Notify(received, os.Interrupt, syscall.SIGTERM)
	execute := func() error {
		defer signal.Stop(received)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-received:
		}
		drained := make(chan struct{})
		go func() {
			defer close(drained)
			h.drain(ctx)
		}()
		select {
		case <-drained:
		case <-received:
			h.log.Warn().Int64("in_progress", h.inProgress.Load()).Msg("drain_cut_short")
		case <-ctx.Done():
		}
		return errStopped
	}
	return execute, func(error) { cancel() }
}

// drain leaves the address lists, serves callers that still hold the address,
// refuses new requests, waits for those in progress, and leaves the member document.
func (h *host) drain(ctx context.Context) {
	h.log.Info().Dur("serving_for_ms", h.settings.Host.Drain).Msg("drain_started")
	h.members.Drain(ctx)
	// Other hosts may have given out the address until they heard of the drain.
	if !sleep(ctx, h.settings.Host.Drain+h.members.AnnounceTime()) {
		return
	}
	h.members.StopRequests(ctx)
	h.awaitRequests(ctx)
	h.log.Info().Int64("in_progress", h.inProgress.Load()).Msg("drain_ended")
	if h.members.Standalone {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, deregisterTimeout)
	defer cancel()
	if err := h.members.Deregister(ctx); err != nil {
		h.log.Warn().Err(err).Msg("leave_failed")
	}
}

// awaitRequests waits for the requests in progress, and for their answers to be written, as
// long as the settings allow.
func (h *host) awaitRequests(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, h.settings.Host.Shutdown)
	defer cancel()
	if err := h.requests.Drain(ctx); err != nil {
		h.log.Warn().Int("in_progress", h.requests.InProgress()).Msg("requests_cut_off")
		return
	}
	for h.inProgress.Load() > 0 && sleep(ctx, drainPollInterval) {
		continue
	}
}

// sleep reports false where ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// trackRequests counts the requests in progress. A draining host closes each connection
// with its answer, so that no caller sends a request on a connection that is about to end.
func (h *host) trackRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.inProgress.Add(1)
		defer h.inProgress.Add(-1)
		if h.members.Draining() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}
