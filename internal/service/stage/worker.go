package stage

import (
	"strconv"
	"time"

	"redwingloft/internal/data/fleet"
)

const (
	// speedWeight is the weight of one more call in the speed of an upstream.
	speedWeight = 0.35
	// slowSpeed is the speed from which an upstream counts as slow: its items are only
	// worth their wait where the others have a longer backlog.
	slowSpeed = 2.0
	// probeAfter is when a slow upstream gets a call again, to see whether it recovered.
	probeAfter = 2 * time.Second
	// firstCooldown and lastCooldown bound how long an upstream that failed is left alone.
	firstCooldown = 300 * time.Millisecond
	lastCooldown  = 3 * time.Second
	// fullCooldown is how long an upstream that was full is left alone: a call of another
	// host runs there.
	fullCooldown = 80 * time.Millisecond
	// lifeMargin is taken off the life of a result for the way to its consumer.
	lifeMargin = 500 * time.Millisecond
	// marginStep widens the margin of the room after a result that found none, marginDecay
	// narrows it with each call whose results all found room.
	marginStep  = 0.05
	marginDecay = 0.9
	maxMargin   = 0.25
	// crowdedShare is the part of the room from which results are freed without delay.
	crowdedShare = 0.4
)

// worker is an upstream that runs stages, with what the scheduler knows of it.
type worker struct {
	upstream *fleet.Upstream
	limits   *fleet.Batching
	// calls are the running calls.
	calls map[*Call]struct{}
	// speed is the mean of the real durations of calls over the expected ones; 1 at first.
	speed float64
	// lastCall is when the last call began.
	lastCall time.Time
	// until is the end of the cooldown after a failure.
	until    time.Time
	failures int
	// held maps the results at the upstream to their size and end.
	held map[fleet.ResultRef]heldResult
	// heldBytes is the sum over held, reserved that of the running calls.
	heldBytes int64
	reserved  int64
	// freeing holds results that nobody needs. They take room until the upstream was told.
	freeing []fleet.ResultRef
	// lost counts the calls whose answer was lost.
	lost int
	// telling is true while a call that frees results is under way.
	telling bool
	// margin is the share of the room that is kept free, since sizes of results are approximate.
	margin float64
	gone   bool
	// residence is the mean time that a byte of a result takes room; 0 until one was freed.
	residence time.Duration
}

type heldResult struct {
	bytes int64
	// since is when the result began to take room.
	since time.Time
	until time.Time
	// released results wait in freeing or for the answer of the call that frees them.
	released bool
}

func newWorker(upstream *fleet.Upstream, limits *fleet.Batching) *worker {
	return &worker{
		upstream: upstream, limits: limits, calls: map[*Call]struct{}{}, speed: 1, held: map[fleet.ResultRef]heldResult{},
	}
}

// expected returns the duration of a call of count items.
func (w *worker) expected(count int) time.Duration {
	return time.Duration(w.speed * float64(w.limits.CallTime+time.Duration(count)*w.limits.ItemTime))
}

// idle reports whether the upstream can take a call now.
func (w *worker) idle(now time.Time) bool {
	return !w.gone && len(w.calls) < w.limits.Concurrent && !now.Before(w.until)
}

// usable reports whether the upstream counts towards the capacity.
func (w *worker) usable(now time.Time) bool { return !w.gone && !now.Before(w.until) }

// rate returns the items per second at full calls.
func (w *worker) rate() float64 {
	return float64(w.limits.Concurrent*w.limits.MaxItems) / w.expected(w.limits.MaxItems).Seconds()
}

// room returns the bytes that are free for results.
func (w *worker) room(now time.Time) int64 {
	for result, held := range w.held {
		if !now.Before(held.until) {
			w.forget(result)
		}
	}
	return int64((1-w.margin)*float64(w.limits.ResultBytes)) - w.heldBytes - w.reserved
}

// roomless notes a call in which count of total items found no room.
func (w *worker) roomless(count, total int, now time.Time) {
	if count == 0 {
		w.margin *= marginDecay
		return
	}
	w.margin = min(w.margin+marginStep, maxMargin)
	if count == total {
		w.until = now.Add(fullCooldown)
	}
}

func (w *worker) hold(result fleet.ResultRef, bytes int64, since, now time.Time) {
	w.held[result] = heldResult{bytes: bytes, since: since, until: now.Add(w.limits.ResultLife)}
	w.heldBytes += bytes
}

// adopt notes a result that another gathering host has had made.
func (w *worker) adopt(result fleet.ResultRef, bytes int64, until time.Time) {
	if _, found := w.held[result]; !found {
		w.held[result] = heldResult{bytes: bytes, until: until}
		w.heldBytes += bytes
	}
}

// holdUnknown notes the room of a call whose answer was lost: the upstream goes on with
// it, and its results lie there until they end, as nobody knows their names.
func (w *worker) holdUnknown(bytes int64, now time.Time) {
	w.lost++
	w.hold(fleet.ResultRef("lost/"+strconv.Itoa(w.lost)), bytes, now, now)
}

// forget removes a result from the account.
func (w *worker) forget(result fleet.ResultRef) {
	if held, found := w.held[result]; found {
		delete(w.held, result)
		w.heldBytes -= held.bytes
	}
}

// freed removes a result that the upstream was told of, and notes how long it took room:
// the mean turns over with the room.
func (w *worker) freed(result fleet.ResultRef, now time.Time) {
	held, found := w.held[result]
	if found && !held.since.IsZero() && w.limits.ResultBytes > 0 {
		weight := min(float64(held.bytes)/float64(w.limits.ResultBytes), 1)
		w.residence += time.Duration(weight * float64(now.Sub(held.since)-w.residence))
	}
	w.forget(result)
}

// release notes that nobody needs a result.
func (w *worker) release(result fleet.ResultRef) {
	held, found := w.held[result]
	if !found || held.released {
		return
	}
	held.released = true
	w.held[result] = held
	w.freeing = append(w.freeing, result)
}

// releaseForeign notes that nobody needs a result that another gathering host may have
// had made.
func (w *worker) releaseForeign(result fleet.ResultRef) {
	if _, found := w.held[result]; found {
		w.release(result)
		return
	}
	w.freeing = append(w.freeing, result)
}

// crowded reports whether results take so much room that the upstream is told at once
// of those that nobody needs.
func (w *worker) crowded() bool {
	return float64(w.heldBytes+w.reserved) > crowdedShare*float64(w.limits.ResultBytes)
}

// lives reports whether a result is kept long enough to be used. A nil worker has none.
func (w *worker) lives(result fleet.ResultRef, now time.Time) bool {
	if w == nil {
		return false
	}
	held, found := w.held[result]
	return found && !held.released && now.Add(lifeMargin).Before(held.until)
}

// measured notes the duration of a call.
func (w *worker) measured(call *Call, took time.Duration) {
	nominal := w.limits.CallTime + time.Duration(len(call.items))*w.limits.ItemTime
	if nominal <= 0 {
		return
	}
	w.speed += speedWeight * (float64(took)/float64(nominal) - w.speed)
	w.failures = 0
}

// failed notes a call without an answer.
func (w *worker) failed(now time.Time) {
	w.until = now.Add(min(firstCooldown<<min(w.failures, 8), lastCooldown))
	w.failures++
}
