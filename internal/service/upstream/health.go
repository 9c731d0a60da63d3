package upstream

import (
	"maps"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"redwingloft/internal/helper/metric"
	"redwingloft/pkg/api"
)

// State is the health of an upstream as seen by this host.
type State string

// The health states. StateDraining is the state of a draining upstream. StateStarted is
// used in events only: it reports a restart, which ends an earlier draining state.
const (
	StateHealthy  State = "healthy"
	StateSuspect  State = "suspect"
	StateEjected  State = "ejected"
	StateDraining State = "leaving"
	StateStarted  State = "started"
)

// Cause is the reason for a state change; state change counters include it in their name.
type Cause string

// The causes of state changes.
const (
	CauseDial        Cause = "dial_failed"
	CauseSilent      Cause = "silent"
	CauseFailures    Cause = "failures"
	CauseProbe       Cause = "probe"
	CauseHints       Cause = "hints"
	CauseSuccess     Cause = "success"
	CauseExpired     Cause = "expired"
	CauseDrainNotice Cause = "notice"
	CauseHostList    Cause = "host_list"
	CausePeer        Cause = "peer"
)

const (
	// initialEjectionTime is doubled with each ejection, up to maxEjectionTime.
	initialEjectionTime = time.Second
	maxEjectionTime     = 30 * time.Second
	// ejectionResetAfter is the time after the end of an ejection at which the
	// ejection time is reset to initialEjectionTime. It is longer than
	// maxEjectionTime, so that flapping upstreams keep long ejection times.
	ejectionResetAfter = 2 * maxEjectionTime
	// suspectTimeout is the time after which a suspect upstream without further
	// failures is healthy again.
	suspectTimeout = 5 * time.Second
	// suspectThreshold and ejectThreshold are numbers of consecutive failures. A
	// single failure does not change the state, because the request may have caused
	// it; the retry handles it.
	suspectThreshold = 3
	ejectThreshold   = 5
)

// health is the health of an instance, guarded by the lock of the table. The zero
// value is healthy.
type health struct {
	// state is empty for a new instance, which means healthy.
	state State
	since time.Time
	// ejectedUntil is the end of the current or last ejection.
	ejectedUntil time.Time
	failures     int
	// ejections counts consecutive ejections, each within ejectionResetAfter of the last.
	ejections int
	// cause is the cause of the last state change.
	cause Cause
	// lifecycle is the newest leaving or started observation.
	lifecycle observation
	// hints holds the newest ejected or healthy observation of each host.
	hints map[api.HostID]observation
	// shutdownConfirmed is true if a draining upstream failed a probe or repeated its
	// drain notice; a healthy probe after that means that it was restarted.
	shutdownConfirmed bool
	// lastProbe is the time of the last probe.
	lastProbe time.Time
}

func (h *health) clone() health {
	copied := *h
	copied.hints = maps.Clone(h.hints)
	return copied
}

func (h *health) current() State {
	if h.state == "" {
		return StateHealthy
	}
	return h.state
}

// Table holds the instances of all groups and their health. Readers load an
// immutable view. The zero value is an empty table, ready for use.
type Table struct {
	// Host is the ID of this host, the origin of its events.
	Host api.HostID
	// Clock returns the current time; nil means time.Now.
	Clock func() time.Time
	// Metrics counts state changes by cause and failed attempts by reason; nil disables it.
	Metrics *metric.Set
	// Log receives one line per state change; nil disables logging.
	Log *log.Logger
	// IsProber reports whether this host is one of the probers of an upstream; nil
	// means that it always is. It is called without holding the lock of the table.
	IsProber func(api.UpstreamID) bool

	view atomic.Pointer[view]

	mu sync.Mutex
	// sequence is the last assigned sequence number of an observation.
	sequence uint64
	// pending holds events of upstreams that are not configured yet.
	pending []pendingEvent
	// changes are logged after the lock is released.
	changes []stateChange
}

type stateChange struct {
	instance *Instance
	state    State
	cause    Cause
}

func (t *Table) now() time.Time {
	if t.Clock != nil {
		return t.Clock()
	}
	return time.Now()
}

func (t *Table) isProber(instance *Instance) bool {
	return t.IsProber == nil || t.IsProber(instance.ID)
}

func (t *Table) lock() { t.mu.Lock() }

// unlock releases the lock, then counts and logs the state changes made under it.
func (t *Table) unlock() {
	changes := t.changes
	t.changes = nil
	t.mu.Unlock()
	for _, change := range changes {
		t.Metrics.Counter("upstream." + string(change.state) + "." + string(change.cause)).Inc(1)
		if t.Log != nil {
			t.Log.Info().Str("upstream", string(change.instance.ID)).Str("state", string(change.state)).
				Str("cause", string(change.cause)).Msg("upstream_state")
		}
	}
}

// State returns the health of an instance.
func (t *Table) State(instance *Instance) State {
	t.lock()
	defer t.unlock()
	return instance.health.current()
}

// setState changes the state of an instance. The caller must hold the lock.
func (t *Table) setState(instance *Instance, state State, cause Cause, now time.Time) {
	h := &instance.health
	h.state, h.since, h.cause = state, now, cause
	instance.nonDefaultHealth.Store(state != StateHealthy)
	if state == StateHealthy {
		h.failures = 0
	}
	t.changes = append(t.changes, stateChange{instance, state, cause})
	t.refreshGroup(instance.Group)
}

// recordSuccess records a complete response to an attempt that began at start.
func (t *Table) recordSuccess(instance *Instance, start time.Time) {
	if !instance.nonDefaultHealth.Load() {
		return
	}
	t.lock()
	defer t.unlock()
	h := &instance.health
	switch h.current() {
	case StateHealthy:
		h.failures = 0
		instance.nonDefaultHealth.Store(false)
	case StateSuspect:
		t.setState(instance, StateHealthy, CauseSuccess, t.now())
	case StateEjected:
		// A draining upstream refuses connections while it finishes earlier requests,
		// so only a request that began after an ejection by this host can end it.
		if h.cause == CauseHints || start.After(h.since) {
			t.recover(instance, CauseSuccess, t.now())
		}
	}
}

// recordFailure records a failed attempt.
func (t *Table) recordFailure(instance *Instance, reason Reason) {
	t.lock()
	defer t.unlock()
	h := &instance.health
	if h.current() == StateDraining {
		return
	}
	now := t.now()
	h.failures++
	instance.nonDefaultHealth.Store(true)
	switch {
	case reason == ReasonDial:
		t.ejectOnce(instance, CauseDial, now)
	case h.failures >= ejectThreshold:
		t.ejectOnce(instance, CauseFailures, now)
	case reason == ReasonSilent && h.current() == StateSuspect:
		t.ejectOnce(instance, CauseSilent, now)
	case reason == ReasonSilent && h.current() == StateHealthy:
		t.setState(instance, StateSuspect, CauseSilent, now)
	case h.failures >= suspectThreshold && h.current() == StateHealthy:
		t.setState(instance, StateSuspect, CauseFailures, now)
	}
}

// ejectOnce ejects an instance unless its current ejection has not ended yet:
// requests that fail together double the ejection time only once. The caller must
// hold the lock.
func (t *Table) ejectOnce(instance *Instance, cause Cause, now time.Time) {
	if instance.health.current() == StateEjected && now.Before(instance.health.ejectedUntil) {
		return
	}
	t.eject(instance, cause, now)
}

// eject ejects an instance for the next longer ejection time. The caller must hold the lock.
func (t *Table) eject(instance *Instance, cause Cause, now time.Time) {
	h := &instance.health
	if now.Sub(h.ejectedUntil) > ejectionResetAfter {
		h.ejections = 0
	}
	h.ejections++
	h.ejectedUntil = now.Add(ejectionTime(h.ejections))
	t.setState(instance, StateEjected, cause, now)
	if cause != CauseHints {
		t.recordHint(instance, StateEjected, now)
	}
}

// ejectionTime returns the duration of the n-th consecutive ejection.
func ejectionTime(n int) time.Duration {
	duration := initialEjectionTime
	for ; n > 1 && duration < maxEjectionTime; n-- {
		duration *= 2
	}
	return min(duration, maxEjectionTime)
}

// recover sets an instance to healthy and records a hint for the other hosts. The
// caller must hold the lock.
func (t *Table) recover(instance *Instance, cause Cause, now time.Time) {
	t.setState(instance, StateHealthy, cause, now)
	t.recordHint(instance, StateHealthy, now)
}

// markDraining marks an instance as draining, based on information from observedAt.
// Information from before the last restart of the upstream is ignored.
func (t *Table) markDraining(instance *Instance, cause Cause, observedAt time.Time) {
	t.lock()
	defer t.unlock()
	h := &instance.health
	if h.current() == StateDraining {
		return
	}
	if h.lifecycle.state == StateStarted && observedAt.Before(h.lifecycle.at) {
		return
	}
	t.setDraining(instance, cause, observation{state: StateDraining, host: t.Host, at: t.now()})
}

func (t *Table) setDraining(instance *Instance, cause Cause, lifecycle observation) {
	instance.health.shutdownConfirmed = false
	instance.health.lifecycle = t.assignSequence(lifecycle)
	t.setState(instance, StateDraining, cause, t.now())
	instance.pool.closeIdle()
}

// markStarted ends the draining state of an instance that was restarted.
func (t *Table) markStarted(instance *Instance, cause Cause) {
	t.lock()
	defer t.unlock()
	if instance.health.current() != StateDraining {
		return
	}
	t.setStarted(instance, cause, observation{state: StateStarted, host: t.Host, at: t.now()})
}

// setStarted sets an instance to healthy and resets its ejections, which belong to
// the earlier process.
func (t *Table) setStarted(instance *Instance, cause Cause, lifecycle observation) {
	instance.health.ejections, instance.health.shutdownConfirmed = 0, false
	instance.health.lifecycle = t.assignSequence(lifecycle)
	t.setState(instance, StateHealthy, cause, t.now())
}

// sweep expires the suspect and ejected states of instances that other hosts probe,
// and returns the instances that this host should probe now.
func (t *Table) sweep() []*Instance {
	var own, others, due []*Instance
	for _, instance := range t.currentView().byID {
		switch {
		case !instance.nonDefaultHealth.Load():
		case t.isProber(instance):
			own = append(own, instance)
		default:
			others = append(others, instance)
		}
	}
	t.lock()
	defer t.unlock()
	now := t.now()
	for _, instance := range own {
		if instance.health.probeDue(now) {
			instance.health.lastProbe = now
			due = append(due, instance)
		}
	}
	for _, instance := range others {
		t.expire(instance, now)
	}
	return due
}

func (h *health) probeDue(now time.Time) bool {
	switch h.current() {
	case StateSuspect:
		return true
	case StateEjected:
		return !now.Before(h.ejectedUntil)
	case StateDraining:
		return !h.shutdownConfirmed || now.Sub(h.lastProbe) >= shutdownProbePeriod
	}
	return false
}

// expire moves an instance that other hosts probe one step closer to healthy when
// its state has timed out. The caller must hold the lock.
func (t *Table) expire(instance *Instance, now time.Time) {
	h := &instance.health
	switch {
	case h.current() == StateSuspect && now.Sub(h.since) >= suspectTimeout:
		t.setState(instance, StateHealthy, CauseExpired, now)
	case h.current() == StateEjected && !now.Before(h.ejectedUntil) && h.countEjectingHosts(t.Host, now) < ejectionQuorum:
		t.setState(instance, StateSuspect, CauseExpired, now)
	}
}

// selectAvailable sets the availability of all instances of a group and returns
// those that may get new work. Draining instances never do. Ejections remove at most
// half of the others; beyond that, the instances with the fewest ejections stay in use.
func selectAvailable(all []*Instance) []*Instance {
	var ejected []*Instance
	notLeaving := 0
	for _, instance := range all {
		state := instance.health.current()
		if state != StateDraining {
			notLeaving++
		}
		if state == StateEjected {
			ejected = append(ejected, instance)
		}
		instance.availability.Store(int32(availabilityOf(state)))
	}
	sort.SliceStable(ejected, func(i, j int) bool { return ejected[i].health.lessEjected(&ejected[j].health) })
	for _, instance := range ejected[:max(0, len(ejected)-notLeaving/2)] {
		instance.availability.Store(int32(availabilityDegraded))
	}
	available := make([]*Instance, 0, len(all))
	for _, instance := range all {
		if instance.Available() {
			available = append(available, instance)
		}
	}
	return available
}

func availabilityOf(state State) availability {
	switch state {
	case StateEjected, StateDraining:
		return availabilityNone
	case StateSuspect:
		return availabilityDegraded
	}
	return availabilityNormal
}

// lessEjected reports whether h has fewer consecutive ejections than other or, if
// they are equal, an earlier end of its ejection.
func (h *health) lessEjected(other *health) bool {
	if h.ejections != other.ejections {
		return h.ejections < other.ejections
	}
	return h.ejectedUntil.Before(other.ejectedUntil)
}
