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
	// minServe is how long a draining host serves before it may end: callers that asked
	// for addresses just before the drain come within it.
	minServe = 1500 * time.Millisecond
	// acceptFor is how long a draining host takes new requests. Later ones might not end
	// within the grace of the platform.
	acceptFor = 3 * time.Second
	// exitMargin is kept of the grace for the end of the process.
	exitMargin = 600 * time.Millisecond
	// handoverWait is when callers that a leaving host refused may come to another one.
	handoverWait = 10 * time.Millisecond
	// reloadPeriod spaces the looks at the settings file, which may change without a signal.
	reloadPeriod = 2 * time.Second
)

// signals returns an actor that drains the host on the first signal to stop, and
// checks the settings anew on SIGHUP.
func (e *entryHost) signals(ctx context.Context) (func() error, func(error)) {
	ctx, cancel := context.WithCancel(ctx)
	received := make(chan os.Signal, 2)
	signal.Notify(received, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	execute := func() error {
		defer signal.Stop(received)
		modified := e.modified()
		stop := e.timer.Every(reloadPeriod, func(time.Time) {
			if now := e.modified(); !now.Equal(modified) {
				modified = now
				e.reload("file")
			}
		})
		defer stop()
		for {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case got := <-received:
				if got == syscall.SIGHUP {
					e.reload("signal")
					continue
				}
				e.drain(ctx)
				return errStopped
			}
		}
	}
	return execute, func(error) { cancel() }
}

// modified returns the time of the last change of the settings file; zero where it can't be read.
func (e *entryHost) modified() time.Time {
	info, err := os.Stat(e.path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload takes what may change while the host runs from the settings file: the seeds.
// Addresses stay as they are until the next start.
func (e *entryHost) reload(cause string) {
	s, err := settings.Load(e.path)
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
	e.log.Info().Int64("in_progress", e.callers.InProgress.Load()).Int64("grace_ms", e.settings.Host.Shutdown.Milliseconds()).Msg("drain_started")
	go e.leave(ctx)
	last := e.settings.Host.Shutdown - exitMargin
	for time.Since(began) < last {
		age := time.Since(began)
		if age >= acceptFor {
			e.refusing.Store(true)
		}
		if age >= minServe && e.inProgress() == 0 {
			break
		}
		if !sleep(ctx, drainPoll) {
			return
		}
	}
	e.log.Info().Int64("in_progress", e.callers.InProgress.Load()).Int64("after_ms", time.Since(began).Milliseconds()).Msg("drain_ended")
}

// inProgress returns the requests of callers and the jobs of other hosts.
func (e *entryHost) inProgress() int64 {
	return e.callers.InProgress.Load() + e.jobs.InProgress.Load()
}

// leave removes the host's entry, so that other hosts list it no more.
func (e *entryHost) leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if err := e.directory.Deregister(ctx); err != nil {
		e.log.Warn().Err(err).Msg("leave_failed")
	}
}
