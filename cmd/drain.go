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

// errStopped is returned when a signal stopped the host.
var errStopped = errors.New("stopped by a signal")

const (
	// drainPollInterval is the interval between checks for requests in progress.
	drainPollInterval = 20 * time.Millisecond
	// deregisterTimeout bounds the last write to the key-value service. If it fails, the
	// other hosts remove this one later.
	deregisterTimeout = 3 * time.Second
	// giveUpTime is the part of the shutdown time in which requests that have not ended are given up and
	// their responses written.
	giveUpTime = 300 * time.Millisecond
)

// signalActor returns an actor that drains the host on the first signal and stops it at once on the second.
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

// drain removes the host from the address lists, serves callers that still have its address,
// then refuses new requests, waits for those in progress, and deregisters the host.
func (h *host) drain(ctx context.Context) {
	h.log.Info().Dur("serving_for_ms", h.settings.Host.DrainPeriod).Msg("drain_started")
	h.members.Drain(ctx)
	// Other hosts may have listed the address until the drain was announced to them.
	if !sleep(ctx, h.settings.Host.DrainPeriod+h.members.AnnounceTime()) {
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

// awaitRequests waits until the requests in progress are done and their responses written,
// for the shutdown time of the settings at most. Those that have not ended by then are given up.
func (h *host) awaitRequests(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, h.settings.Host.ShutdownTimeout)
	defer cancel()
	running, stop := context.WithTimeout(ctx, h.settings.Host.ShutdownTimeout-giveUpTime)
	defer stop()
	if err := h.requests.Drain(running); err != nil {
		h.log.Warn().Int("in_progress", h.requests.InProgress()).Msg("requests_given_up")
		h.requests.GiveUp()
	}
	for h.inProgress.Load() > 0 && sleep(ctx, drainPollInterval) {
		continue
	}
}

// sleep waits for d and reports false if ctx is done first.
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
// with its response, so that no caller sends a request on a connection about to close.
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
