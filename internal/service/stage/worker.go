package stage

import (
	"strconv"
	"time"

	"redwingloft/internal/data/fleet"
)

const (
	// slowdownWeight is the weight of a new call in the moving average of an upstream's slowdown.
	slowdownWeight = 0.35
	// slowThreshold is the slowdown from which an upstream counts as slow. It is only used while
	// the others have a longer backlog.
	slowThreshold = 2.0
	// probeInterval is the time without calls after which a slow upstream gets one, to check
	// whether it has recovered.
	probeInterval = 2 * time.Second
	// minCooldown and maxCooldown bound how long an upstream is not called after a failure.
	minCooldown = 300 * time.Millisecond
	maxCooldown = 3 * time.Second
	// fullCooldown is how long an upstream is not called after it was full, since it runs a call of
	// another host.
	fullCooldown = 80 * time.Millisecond
	// expiryMargin is subtracted from the lifetime of a result for the transfer to its consumer.
	expiryMargin = 500 * time.Millisecond
	// marginStep widens the capacity margin after a result that found no room, marginDecay narrows
	// it with each call whose results all found room.
	marginStep  = 0.05
	marginDecay = 0.9
	maxMargin   = 0.25
	// highWaterShare is the share of the capacity in use from which results are freed without
	// delay.
	highWaterShare = 0.4
)

// worker is an upstream that runs stages, with the scheduler's state for it.
type worker struct {
	upstream *fleet.Upstream
	limits   *fleet.Batching
	// calls are the running calls.
	calls map[*Call]struct{}
	// slowdown is the moving average of the actual over the nominal duration of calls; initially 1.
	slowdown float64
	// lastCall is when the last call started.
	lastCall time.Time
	// cooldownUntil is the end of the cooldown after a failed or refused call.
	cooldownUntil time.Time
	failures      int
	// held maps the results at the upstream to their size and expiry.
	held map[fleet.ResultRef]heldResult
	// heldBytes is the sum over held, reservedBytes that of the running calls.
	heldBytes     int64
	reservedBytes int64
	// pendingFree holds results that are no longer needed. They occupy capacity until the upstream
	// has freed them.
	pendingFree []fleet.ResultRef
	// lostCalls counts the calls whose response was lost.
	lostCalls int
	// freeInFlight is true while a call that frees results is running.
	freeInFlight bool
	// margin is the share of the capacity that is kept free, since sizes of results are
	// approximate.
	margin  float64
	removed bool
	// residence is the mean time that a byte of a result occupies capacity; 0 until one was freed.
	residence time.Duration
}

type heldResult struct {
	bytes int64
	// heldSince is when the result began to occupy capacity.
	heldSince time.Time
	expires   time.Time
	// released results are in pendingFree or in a running call that frees them.
	released bool
}

func newWorker(upstream *fleet.Upstream, limits *fleet.Batching) *worker {
	return &worker{
		upstream: upstream, limits: limits, calls: map[*Call]struct{}{}, slowdown: 1, held: map[fleet.ResultRef]heldResult{},
	}
}

// expected returns the expected duration of a call of count items.
func (w *worker) expected(count int) time.Duration {
	return time.Duration(w.slowdown * float64(w.limits.CallTime+time.Duration(count)*w.limits.ItemTime))
}

// idle reports whether the upstream can take a call now.
func (w *worker) idle(now time.Time) bool {
	return !w.removed && len(w.calls) < w.limits.MaxConcurrent && !now.Before(w.cooldownUntil)
}

// usable reports whether the upstream takes calls apart from those that run. The short cooldown of a
// full upstream does not count: it still serves, so that forecasts must not take it for lost.
func (w *worker) usable(now time.Time) bool {
	return !w.removed && (w.failures == 0 || !now.Before(w.cooldownUntil))
}

// rate returns the items per second with full calls.
func (w *worker) rate() float64 {
	return float64(w.limits.MaxConcurrent*w.limits.MaxItems) / w.expected(w.limits.MaxItems).Seconds()
}

// freeBytes returns the bytes that are free for results. It drops expired results.
func (w *worker) freeBytes(now time.Time) int64 {
	for result, held := range w.held {
		if !now.Before(held.expires) {
			w.forget(result)
		}
	}
	return int64((1-w.margin)*float64(w.limits.ResultCapacity)) - w.heldBytes - w.reservedBytes
}

// rejected updates the margin after a call in which count of total items found no room.
func (w *worker) rejected(count, total int, now time.Time) {
	if count == 0 {
		w.margin *= marginDecay
		return
	}
	w.margin = min(w.margin+marginStep, maxMargin)
	if count == total {
		w.cooldownUntil = now.Add(fullCooldown)
	}
}

func (w *worker) hold(result fleet.ResultRef, bytes int64, heldSince, now time.Time) {
	w.held[result] = heldResult{bytes: bytes, heldSince: heldSince, expires: now.Add(w.limits.ResultTTL)}
	w.heldBytes += bytes
}

// adopt records a result that was produced for another scheduling host.
func (w *worker) adopt(result fleet.ResultRef, bytes int64, expires time.Time) {
	if _, found := w.held[result]; !found {
		w.held[result] = heldResult{bytes: bytes, expires: expires}
		w.heldBytes += bytes
	}
}

// holdUnknown counts the bytes of a call whose response was lost: the upstream still runs it, and
// its results stay there until they expire, since their references are unknown.
func (w *worker) holdUnknown(bytes int64, now time.Time) {
	w.lostCalls++
	w.hold(fleet.ResultRef("lost/"+strconv.Itoa(w.lostCalls)), bytes, now, now)
}

// forget removes a result from held.
func (w *worker) forget(result fleet.ResultRef) {
	if held, found := w.held[result]; found {
		delete(w.held, result)
		w.heldBytes -= held.bytes
	}
}

// completeFree removes a result that the upstream has freed and updates the residence time. A
// result is weighted by its share of the capacity.
func (w *worker) completeFree(result fleet.ResultRef, now time.Time) {
	held, found := w.held[result]
	if found && !held.heldSince.IsZero() && w.limits.ResultCapacity > 0 {
		weight := min(float64(held.bytes)/float64(w.limits.ResultCapacity), 1)
		w.residence += time.Duration(weight * float64(now.Sub(held.heldSince)-w.residence))
	}
	w.forget(result)
}

// release marks a result as no longer needed.
func (w *worker) release(result fleet.ResultRef) {
	held, found := w.held[result]
	if !found || held.released {
		return
	}
	held.released = true
	w.held[result] = held
	w.pendingFree = append(w.pendingFree, result)
}

// releaseForeign releases a result that may be missing in held because another scheduling host ran
// its job.
func (w *worker) releaseForeign(result fleet.ResultRef) {
	if _, found := w.held[result]; found {
		w.release(result)
		return
	}
	w.pendingFree = append(w.pendingFree, result)
}

// aboveHighWater reports whether results occupy so much capacity that those no longer needed are
// freed at once.
func (w *worker) aboveHighWater() bool {
	return float64(w.heldBytes+w.reservedBytes) > highWaterShare*float64(w.limits.ResultCapacity)
}

// retains reports whether a result is kept long enough to be used. A nil worker retains none.
func (w *worker) retains(result fleet.ResultRef, now time.Time) bool {
	if w == nil {
		return false
	}
	held, found := w.held[result]
	return found && !held.released && now.Add(expiryMargin).Before(held.expires)
}

// observe updates the slowdown with the duration of a successful call.
func (w *worker) observe(call *Call, took time.Duration) {
	nominal := w.limits.CallTime + time.Duration(len(call.items))*w.limits.ItemTime
	if nominal <= 0 {
		return
	}
	w.slowdown += slowdownWeight * (float64(took)/float64(nominal) - w.slowdown)
	w.failures = 0
}

// noteFailure starts a cooldown after a call without a response. It doubles with each consecutive
// failure.
func (w *worker) noteFailure(now time.Time) {
	w.cooldownUntil = now.Add(min(minCooldown<<min(w.failures, 8), maxCooldown))
	w.failures++
}
