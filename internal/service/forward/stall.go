package forward

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"redwingloft/internal/data/fleet"
	"redwingloft/internal/helper/clock"
)

// stallRecheckInterval is how long after a stalled attempt could not be replaced this is tried again.
const stallRecheckInterval = 500 * time.Millisecond

// errStalled is the cancel cause of an attempt that was replaced because its upstream sent nothing
// in time.
var errStalled = errors.New("the upstream sent nothing in time")

// The reasons for which a stalled attempt is not replaced.
var (
	errNoAlternative   = errors.New("no other upstream accepts the request")
	errBudgetExhausted = errors.New("retry budget exhausted")
	errNoTime          = errors.New("too little time is left for another attempt")
)

// replacement is an attempt that may follow a stalled one.
type replacement struct {
	upstream *fleet.Upstream
	// prepared holds new results of the stages; nil if those of the stalled attempt remain valid.
	prepared *StageResults
	// chargedAt is when the attempt was charged to the retry budget.
	chargedAt time.Time
}

// stallTimer cancels an attempt that makes no progress in time, but only once a replacement is
// certain: a silent upstream may be sound, and without a replacement the request would be lost.
// The methods of a nil stallTimer do nothing.
type stallTimer struct {
	// secure returns a replacement, or the reason why there is none. lastProgress is zero if the
	// response has made none.
	secure func(ctx context.Context, lastProgress time.Time) (*replacement, error)
	// discard gives up a replacement that is not needed.
	discard func(*replacement)
	// onStalled is called at the first timeout, and onDecision when the attempt is replaced or when
	// it can't be for the first time. err is the reason if it can't.
	onStalled  func()
	onDecision func(err error)
	// cancel ends the attempt.
	cancel context.CancelCauseFunc

	mu    sync.Mutex
	timer *time.Timer
	// lastProgress is the time of the last progress of the response, also by earlier attempts.
	lastProgress time.Time
	// stopSecuring ends secure; nil while it does not run.
	stopSecuring context.CancelFunc
	// paused is set from pause until reset.
	paused bool
	// securing counts the running calls of expired that use the state of the request.
	securing sync.WaitGroup
	// secured is set together with the cancellation of the attempt.
	secured *replacement
	stopped bool
	// reported and continued are set after the first call of onStalled and of onDecision with an error.
	reported, continued bool
}

// start starts the timer with the timeout for the first progress.
func (t *stallTimer) start(timeout time.Duration) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(timeout, t.expired)
}

// pause stops the timer until reset, while progress is passed on to a caller that may be slow.
func (t *stallTimer) pause() {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.paused = true
	t.timer.Stop()
	if t.stopSecuring != nil {
		t.stopSecuring()
	}
}

// reset records progress and restarts the timer with the timeout for the next.
func (t *stallTimer) reset(timeout time.Duration) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastProgress, t.paused = clock.Now(), false
	if t.stopSecuring != nil {
		t.stopSecuring()
	}
	t.timer.Reset(timeout)
}

// stop ends the timer and returns the replacement, if there is one. It waits until secure has
// returned, since the next attempt changes the state of the request that secure reads.
func (t *stallTimer) stop() *replacement {
	if t == nil {
		return nil
	}
	t.mu.Lock()
	t.stopped = true
	t.timer.Stop()
	if t.stopSecuring != nil {
		t.stopSecuring()
	}
	t.mu.Unlock()
	t.securing.Wait()
	return t.secured
}

// expired replaces the attempt, or tries again later.
func (t *stallTimer) expired() {
	t.mu.Lock()
	if t.stopSecuring != nil {
		// The last call has not returned yet.
		t.timer.Reset(stallRecheckInterval)
	}
	if t.stopped || t.paused || t.secured != nil || t.stopSecuring != nil {
		t.mu.Unlock()
		return
	}
	t.securing.Add(1)
	defer t.securing.Done()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	t.stopSecuring = stop
	first, lastProgress := !t.reported, t.lastProgress
	t.reported = true
	t.mu.Unlock()
	if first {
		t.onStalled()
	}
	secured, err := t.secure(ctx, lastProgress)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopSecuring = nil
	switch {
	case ctx.Err() != nil:
		// The attempt has ended or made progress in the meantime.
		if secured != nil {
			t.discard(secured)
		}
	case err != nil:
		t.timer.Reset(stallRecheckInterval)
		if !t.continued {
			t.continued = true
			t.onDecision(err)
		}
	default:
		t.secured = secured
		t.onDecision(nil)
		t.cancel(errStalled)
	}
}

// newStallTimer returns a timer for an attempt, or nil if no other attempt may follow it. lastProgress
// is that of earlier attempts; zero if there was none.
func (c *call) newStallTimer(upstream *fleet.Upstream, lastProgress time.Time, cancel context.CancelCauseFunc, secure func(context.Context, time.Time) (*replacement, error)) *stallTimer {
	if !c.mayRepeat() {
		return nil
	}
	startTime := clock.Now()
	return &stallTimer{
		secure: secure, cancel: cancel, discard: c.discard, lastProgress: lastProgress,
		onStalled:  func() { c.Health.Stalled(upstream, clock.Now()) },
		onDecision: func(err error) { c.logStalled(upstream, clock.Now().Sub(startTime), err) },
	}
}

// mayRepeat reports whether another attempt may follow the current one.
func (c *call) mayRepeat() bool {
	return c.route.Repeatable() && c.history.MayHaveRun+1 < c.route.MaxAttempts
}

// logStalled counts and logs the decision on a stalled attempt. err is the reason for which it
// continues; nil if it is replaced.
func (c *call) logStalled(upstream *fleet.Upstream, after time.Duration, err error) {
	decision := "replaced"
	if err != nil {
		decision = "continued"
	}
	c.Metrics.Counter("stalled." + decision).Inc(1)
	entry := c.Log.Info().Str("request", string(c.request.ID)).Str("upstream", string(upstream.ID)).
		Int64("after_ms", after.Milliseconds()).Int64("left_ms", c.left().Milliseconds()).Str("decision", decision)
	if err != nil {
		entry = entry.Err(err)
	}
	entry.Msg("attempt_stalled")
}

// secureUpstream returns a replacement at the upstream that choose selects among those that were not
// tried.
func (c *call) secureUpstream(current *fleet.Upstream, choose func([]Candidate) *fleet.Upstream) (*replacement, error) {
	r, err := c.beginReplacement(current)
	if err != nil {
		return nil, err
	}
	return c.completeReplacement(r, current, choose)
}

// beginReplacement returns a replacement without an upstream, charged to the retry budget, if there is
// an upstream for it.
func (c *call) beginReplacement(current *fleet.Upstream) (*replacement, error) {
	if err := c.checkPrompt(); err != nil {
		return nil, err
	}
	if len(c.alternatives(current)) == 0 {
		return nil, errNoAlternative
	}
	r := &replacement{chargedAt: clock.Now()}
	if !c.takeAttempt(r.chargedAt) {
		return nil, errBudgetExhausted
	}
	return r, nil
}

// completeReplacement sets the upstream of a replacement, or gives the replacement up if there is none
// or too little time.
func (c *call) completeReplacement(r *replacement, current *fleet.Upstream, choose func([]Candidate) *fleet.Upstream) (*replacement, error) {
	// NextAction would not use the replacement.
	if c.attemptTime() < minAttemptTime {
		c.discard(r)
		return nil, errNoTime
	}
	for {
		r.upstream = choose(c.alternatives(current))
		if r.upstream == nil {
			c.discard(r)
			return nil, errNoAlternative
		}
		if c.Pool.Throttle.Take(r.upstream, clock.Now()) {
			return r, nil
		}
	}
}

// alternatives returns the candidates that were not tried and are reachable.
func (c *call) alternatives(current *fleet.Upstream) []Candidate {
	candidates := c.candidates()
	list := candidates[:0]
	now := clock.Now()
	for _, candidate := range candidates {
		if candidate.Upstream.ID != current.ID && !c.exclude[candidate.Upstream.ID] && !now.Before(candidate.Health.CooldownUntil) {
			list = append(list, candidate)
		}
	}
	return list
}

// discard gives up a replacement that is not needed.
func (c *call) discard(r *replacement) {
	c.Budget.Refund(c.service, 1, r.chargedAt, clock.Now())
	if r.prepared != nil {
		r.prepared.Release()
	}
}

// dropReplacement gives up the replacement of the last attempt, if there is one.
func (c *call) dropReplacement() {
	if c.replacement != nil {
		c.discard(c.replacement)
		c.replacement = nil
	}
}

// nextUpstream returns the upstream of the next attempt and charges the attempt to the retry budget.
func (c *call) nextUpstream(choose func([]Candidate) *fleet.Upstream) (*fleet.Upstream, error) {
	if next := c.replacement; next != nil {
		c.replacement = nil
		if slices.ContainsFunc(c.View().Ready(c.service), func(u *fleet.Upstream) bool { return u.Incarnation() == next.upstream.Incarnation() }) {
			return next.upstream, nil
		}
		// The upstream has left since it was chosen. The attempt is charged already.
		return c.selectUpstream(choose)
	}
	if err := c.checkPrompt(); err != nil {
		return nil, c.afterAttempts(err)
	}
	upstream, err := c.selectUpstream(choose)
	if err != nil {
		return nil, err
	}
	if !c.takeAttempt(clock.Now()) {
		return nil, c.finalError(finalAction(c.history), errBudgetExhausted)
	}
	return upstream, nil
}
