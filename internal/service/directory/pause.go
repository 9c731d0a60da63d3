package directory

import (
	"sync/atomic"
	"time"
)

const (
	// pauseThreshold is the time without a tick after which the process is assumed to have been
	// suspended. Ticks are expirePeriod apart.
	pauseThreshold = time.Second
	// confirmWait is how long after a pause the view is not used without a newer one. A call to the
	// store or to another host returns at once if there are changes; a host that gets no answer
	// serves with the last known view, like one that has lost the store.
	confirmWait = time.Second
)

// pauseGuard detects that the process was suspended, in which case the view lacks all changes since.
// Times are in Unix nanoseconds, 0 if not set.
type pauseGuard struct {
	lastTick  atomic.Int64
	resumedAt atomic.Int64
}

// tick is called periodically. It returns the length of a pause before this call, or 0.
func (g *pauseGuard) tick(now time.Time) time.Duration {
	paused := time.Duration(now.UnixNano() - g.lastTick.Load())
	if g.lastTick.Load() == 0 || paused <= pauseThreshold {
		paused = 0
	} else {
		g.resumedAt.Store(now.UnixNano())
	}
	g.lastTick.Store(now.UnixNano())
	return paused
}

// confirm records that a call that began at start has supplied the current state.
func (g *pauseGuard) confirm(start time.Time) {
	if resumed := g.resumedAt.Load(); resumed != 0 && start.UnixNano() >= resumed {
		g.resumedAt.CompareAndSwap(resumed, 0)
	}
}

// isUnconfirmed reports whether the process was suspended and has got no newer state since.
func (g *pauseGuard) isUnconfirmed(now time.Time) bool {
	last := g.lastTick.Load()
	if last != 0 && now.UnixNano()-last > int64(pauseThreshold) {
		return true
	}
	resumed := g.resumedAt.Load()
	return resumed != 0 && now.UnixNano()-resumed < int64(confirmWait)
}

// detectPause logs that the process was suspended.
func (s *Service) detectPause() {
	if !s.ConfirmAfterPause {
		return
	}
	if paused := s.pause.tick(s.now()); paused > 0 {
		s.Metrics.Counter("directory.pauses").Inc(1)
		s.Log.Warn().Int64("paused_ms", paused.Milliseconds()).Int64("version", int64(s.View().Version)).Msg("host_paused")
	}
}
