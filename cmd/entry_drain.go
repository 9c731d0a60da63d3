package cmd

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"redwingloft/internal/data/settings"
)

const (
	// minDrainDuration is how long a draining host serves before it may end: callers that asked
	// for addresses just before the drain come within it.
	minDrainDuration = 1500 * time.Millisecond
	// drainAcceptDuration is how long a draining host takes new requests. Later ones might not end
	// within the grace of the platform.
	drainAcceptDuration = 3 * time.Second
	// exitMargin is kept of the grace for the end of the process.
	exitMargin = 600 * time.Millisecond
	// drainRetryAfter is when callers that a leaving host refused may come to another one.
	drainRetryAfter = 10 * time.Millisecond
	// settingsPollInterval spaces the looks at the settings file, which may change without a signal.
	settingsPollInterval = 2 * time.Second
)

// signalActor returns an actor that drains the host on the first signal to stop, and
// checks the settings anew on SIGHUP.
func (e *entryHost) signalActor(ctx context.Context) (func() error, func(error)) {
	ctx, cancel := context.WithCancel(ctx)
	received := make(chan os.Signal, 2)
	signal.Notify(received, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	execute := func() error {
		defer signal.Stop(received)
		modified := e.settingsModTime()
		stop := e.timer.Every(settingsPollInterval, func(time.Time) {
			if now := e.settingsModTime(); !now.Equal(modified) {
				modified = now
				e.reloadSettings("file")
			}
		})
		defer stop()
		for {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case got := <-received:
				if got == syscall.SIGHUP {
					e.reloadSettings("signal")
					continue
				}
				e.drain(ctx)
				return errStopped
			}
		}
	}
	return execute, func(error) { cancel() }
}

// settingsModTime returns the time of the last change of the settings file; zero where it can't be read.
func (e *entryHost) settingsModTime() time.Time {
	info, err := os.Stat(e.settingsPath)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reloadSettings takes what may change while the host runs from the settings file: the seeds.
// Addresses stay as they are until the next start.
func (e *entryHost) reloadSettings(cause string) {
	s, err := settings.Load(e.settingsPath)
	if err != nil {
		e.log.Error().Str("cause", cause).Err(err).Msg("reload_failed")
		return
	}
	e.directory.SetSeeds(s.Peer.Seeds)
	e.log.Info().Str("cause", cause).Int("seeds", len(s.Peer.Seeds)).Msg("reloaded")
}

// drain leaves the address list, serves callers that still hold the address, refuses
// new requests, and waits for those in progress as long as the platform allows.
func (e *entryHost) drain(ctx context.Context) {
	began := time.Now()
	e.draining.Store(true)
	e.log.Info().Int64("in_progress", e.callerHandler.InProgress.Load()).Int64("grace_ms", e.settings.Host.Shutdown.Milliseconds()).Msg("drain_started")
	go e.deregister(ctx)
	last := e.settings.Host.Shutdown - exitMargin
	for time.Since(began) < last {
		age := time.Since(began)
		if age >= drainAcceptDuration {
			e.refusing.Store(true)
		}
		if age >= minDrainDuration && e.inProgress() == 0 {
			break
		}
		if !sleep(ctx, drainPollInterval) {
			return
		}
	}
	e.log.Info().Int64("in_progress", e.callerHandler.InProgress.Load()).Int64("after_ms", time.Since(began).Milliseconds()).Msg("drain_ended")
}

// inProgress returns the requests of callers and the jobs of other hosts.
func (e *entryHost) inProgress() int64 {
	return e.callerHandler.InProgress.Load() + e.peerHandler.InProgress.Load()
}

// deregister removes the host's entry, so that other hosts list it no more.
func (e *entryHost) deregister(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, deregisterTimeout)
	defer cancel()
	if err := e.directory.Deregister(ctx); err != nil {
		e.log.Warn().Err(err).Msg("leave_failed")
	}
}
