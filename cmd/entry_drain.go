package cmd

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"redwingloft/internal/data/settings"
	"redwingloft/internal/helper/clock"
	"redwingloft/internal/service/drain"
)

const (
	// minDrainDuration is how long a draining host serves at least: callers that fetched the
	// address list just before the drain connect within this time.
	minDrainDuration = 1500 * time.Millisecond
	// maxDrainAcceptDuration is how long a draining host accepts new requests at most: callers that
	// fetched the address list before the drain have moved to other hosts by then.
	maxDrainAcceptDuration = 2500 * time.Millisecond
	// exitMargin is the part of the grace period reserved for the exit of the process.
	exitMargin = 600 * time.Millisecond
	// responseMargin is the last part of the drain, but not more than a quarter of it, in which responses
	// that have not begun are given up, so that their callers get an error in place of a closed connection.
	responseMargin = 400 * time.Millisecond
	// lastResponsesTimeout bounds the wait for the connections that were accepted before the
	// caller listener closes. Their requests are refused at once.
	lastResponsesTimeout = 500 * time.Millisecond
	// settingsPollInterval is the interval between checks of the settings file, which may change without a signal.
	settingsPollInterval = 2 * time.Second
)

// signalActor returns an actor that drains the host on the first signal to stop, and
// reloads the settings on SIGHUP.
func (e *entryHost) signalActor(ctx context.Context) (func() error, func(error)) {
	ctx, cancel := context.WithCancel(ctx)
	// Signals that find their channel full are dropped, so those to reload must not fill the one
	// for those to stop.
	stopped, reload := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(stopped, os.Interrupt, syscall.SIGTERM)
	signal.Notify(reload, syscall.SIGHUP)
	execute := func() error {
		defer signal.Stop(stopped)
		defer signal.Stop(reload)
		modified := e.settingsModTime()
		stop := e.timer.Every(settingsPollInterval, func(time.Time) {
			if current := e.settingsModTime(); !current.Equal(modified) {
				modified = current
				e.reloadSettings("file")
			}
		})
		defer stop()
		for {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-reload:
				e.reloadSettings("signal")
			case <-stopped:
				e.drain(ctx)
				return errStopped
			}
		}
	}
	return execute, func(error) { cancel() }
}

// settingsModTime returns the modification time of the settings file, or zero if it can't be read.
func (e *entryHost) settingsModTime() time.Time {
	info, err := os.Stat(e.settingsPath)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reloadSettings applies the settings that may change at run time, which are the seeds.
// Changed addresses apply from the next start.
func (e *entryHost) reloadSettings(cause string) {
	s, err := settings.Load(e.settingsPath)
	if err != nil {
		e.log.Error().Str("cause", cause).Err(err).Msg("reload_failed")
		return
	}
	e.directory.SetSeeds(s.Peer.Seeds)
	e.log.Info().Str("cause", cause).Int("seeds", len(s.Peer.Seeds)).Msg("reloaded")
}

// drain removes the host from the address list, serves callers that still have its address,
// then refuses new requests, and waits for those in progress within the grace period.
func (e *entryHost) drain(ctx context.Context) {
	started := time.Now()
	maxDuration := e.settings.Host.ShutdownTimeout - exitMargin
	acceptDuration := min(maxDrainAcceptDuration, maxDuration/2)
	now := clock.Now()
	e.drainSchedule.Begin(drain.Times{AcceptUntil: now.Add(acceptDuration), End: now.Add(maxDuration - min(responseMargin, maxDuration/4))})
	e.draining.Store(true)
	e.log.Info().Int64("in_progress", e.callerHandler.InProgress.Load()).Int64("grace_ms", e.settings.Host.ShutdownTimeout.Milliseconds()).Msg("drain_started")
	go e.deregister(ctx)
	e.stages.ShortenDeadlines()
	for time.Since(started) < maxDuration {
		elapsed := time.Since(started)
		idle := elapsed >= minDrainDuration && e.inProgress() == 0
		if idle && e.refusing.Load() {
			break
		}
		// Requests that arrive from here on are refused at once, so that none of them is in
		// progress when the listeners close.
		if idle || elapsed >= acceptDuration {
			e.refusing.Store(true)
		}
		if !sleep(ctx, drainPollInterval) {
			return
		}
	}
	e.stopAccepting(ctx, maxDuration-time.Since(started))
	e.log.Info().Int64("in_progress", e.callerHandler.InProgress.Load()).Int64("after_ms", time.Since(started).Milliseconds()).Msg("drain_ended")
}

// stopAccepting closes the caller listener and waits for the responses to the requests that
// were accepted before, but at most for left.
func (e *entryHost) stopAccepting(ctx context.Context, left time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, max(min(left, lastResponsesTimeout), 0))
	defer cancel()
	// Shutdown also closes idle connections on which a request is being read.
	e.callerGuard.CloseIdle(ctx)
	if err := e.callerServer.Shutdown(ctx); err != nil {
		e.log.Warn().Err(err).Int64("in_progress", e.callerHandler.InProgress.Load()).Msg("connections_cut")
	}
}

// inProgress returns the number of caller requests and peer jobs in progress.
func (e *entryHost) inProgress() int64 {
	return e.callerHandler.InProgress.Load() + e.peerHandler.InProgress.Load()
}

// deregister deletes the host's entry, so that other hosts stop listing it.
func (e *entryHost) deregister(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, deregisterTimeout)
	defer cancel()
	if err := e.directory.Deregister(ctx); err != nil {
		e.log.Warn().Err(err).Msg("leave_failed")
	}
}
