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

// State is the health of an upstream as this host sees it.
type State string

// The states. StateStarted is only the state of an event: the upstream was
// started again, which ends earlier leaving marks.
const (
	StateHealthy State = "healthy"
	StateSuspect State = "suspect"
	StateEjected State = "ejected"
	StateLeaving State = "leaving"
	StateStarted State = "started"
)

// Cause tells why a state changed; counters are named after it.
type Cause string

// The causes.
const (
	CauseDial     Cause = "dial_failed"
	CauseSilent   Cause = "silent"
	CauseFailures Cause = "failures"
	CauseProbe    Cause = "probe"
	CauseHints    Cause = "hints"
	CauseSuccess  Cause = "success"
	CauseExpired  Cause = "expired"
	CauseNotice   Cause = "notice"
	CauseHostList Cause = "host_list"
	CausePeer     Cause = "peer"
)

const (
	// firstEjection is doubled with each ejection up to maxEjection.
	firstEjection = time.Second
	maxEjection   = 30 * time.Second
	// forgiveAfter is the time after an ejection after which the ejection time starts again
	// at firstEjection; it is longer than maxEjection, so that flapping upstreams
	// keep long ejections.
	forgiveAfter = 2 * maxEjection
	// suspectLife is the time after which a suspicion without further failures ends.
	suspectLife = 5 * time.Second
	// suspectFailures and ejectFailures are numbers of consecutive failures.
	// Single failures are left to the retry, because they may belong to the request.
	suspectFailures = 3
	ejectFailures   = 5
)

// health is guarded by the lock of the table. The zero value is healthy.
type health struct {
	// state is empty for a new instance, which means healthy.
	state State
	since time.Time
	// until is the end of the ejection time.
	until    time.Time
	failures int
	// ejections counts the ejections that followed each other within forgiveAfter.
	ejections int
	// cause is that of the last change.
	cause Cause
	// notice is the newest leaving or started mark.
	notice mark
	// hints holds the newest ejected or healthy mark of each host.
	hints map[api.HostID]mark
	// gone is true where a leaving upstream refused connections or repeated its
	// notice, so that a clean answer means a new start.
	gone bool
	// probed is the time of the last probe.
	probed time.Time
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

// Table holds the instances of all groups and their health. Readers load one
// immutable view. The zero value is empty and works.
type Table struct {
	// Host is the origin of this host's events.
	Host api.HostID
	// Clock returns the current time; nil means time.Now.
	Clock func() time.Time
	// Metrics counts state changes by cause and failed attempts by reason; nil counts nothing.
	Metrics *metric.Set
	// Log gets one line for each state change; nil logs nothing.
	Log *log.Logger
	// Prober reports whether this host is one of the probers of an upstream; nil
	// means yes. It is called without the lock of the table.
	Prober func(api.UpstreamID) bool

	view atomic.Pointer[view]

	mu sync.Mutex
	// sequence numbers the marks in the order in which this host learned of them.
	sequence uint64
	// pending holds events of upstreams that are not configured yet.
	pending []pendingEvent
	// changes are logged after the lock is released.
	changes []change
}

type change struct {
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
	return t.Prober == nil || t.Prober(instance.ID)
}

func (t *Table) lock() { t.mu.Lock() }

// unlock releases the lock and then logs the changes that were made under it.
func (t *Table) unlock() {
	changes := t.changes
	t.changes = nil
	t.mu.Unlock()
	for _, made := range changes {
		t.Metrics.Counter("upstream." + string(made.state) + "." + string(made.cause)).Inc(1)
		if t.Log != nil {
			t.Log.Info().Str("upstream", string(made.instance.ID)).Str("state", string(made.state)).
				Str("cause", string(made.cause)).Msg("upstream_state")
		}
	}
}

// State returns the health of an instance.
func (t *Table) State(instance *Instance) State {
	t.lock()
	defer t.unlock()
	return instance.health.current()
}

// set changes the state of an instance. The caller holds the lock.
func (t *Table) set(instance *Instance, state State, cause Cause, now time.Time) {
	h := &instance.health
	h.state, h.since, h.cause = state, now, cause
	instance.troubled.Store(state != StateHealthy)
	if state == StateHealthy {
		h.failures = 0
	}
	t.changes = append(t.changes, change{instance, state, cause})
	t.refresh(instance.Group)
}

// succeeded records a whole answer of an attempt that began at start.
func (t *Table) succeeded(instance *Instance, start time.Time) {
	if !instance.troubled.Load() {
		return
	}
	t.lock()
	defer t.unlock()
	h := &instance.health
	switch h.current() {
	case StateHealthy:
		h.failures = 0
		instance.troubled.Store(false)
	case StateSuspect:
		t.set(instance, StateHealthy, CauseSuccess, t.now())
	case StateEjected:
		// An upstream that drains refuses connections while it finishes old
		// requests, so only a request that began later is evidence against a
		// failure that this host saw itself.
		if h.cause == CauseHints || start.After(h.since) {
			t.recover(instance, CauseSuccess, t.now())
		}
	}
}

// failed records a failed attempt.
func (t *Table) failed(instance *Instance, reason Reason) {
	t.lock()
	defer t.unlock()
	h := &instance.health
	if h.current() == StateLeaving {
		return
	}
	now := t.now()
	h.failures++
	instance.troubled.Store(true)
	switch {
	case reason == ReasonDial:
		t.ejectOnce(instance, CauseDial, now)
	case h.failures >= ejectFailures:
		t.ejectOnce(instance, CauseFailures, now)
	case reason == ReasonSilent && h.current() == StateSuspect:
		t.ejectOnce(instance, CauseSilent, now)
	case reason == ReasonSilent && h.current() == StateHealthy:
		t.set(instance, StateSuspect, CauseSilent, now)
	case h.failures >= suspectFailures && h.current() == StateHealthy:
		t.set(instance, StateSuspect, CauseFailures, now)
	}
}

// ejectOnce ejects an instance unless its ejection time still runs: several
// requests that fail together double the time only once. The caller holds the lock.
func (t *Table) ejectOnce(instance *Instance, cause Cause, now time.Time) {
	if instance.health.current() == StateEjected && now.Before(instance.health.until) {
		return
	}
	t.eject(instance, cause, now)
}

// eject ejects an instance for the next longer time. The caller holds the lock.
func (t *Table) eject(instance *Instance, cause Cause, now time.Time) {
	h := &instance.health
	if now.Sub(h.until) > forgiveAfter {
		h.ejections = 0
	}
	h.ejections++
	h.until = now.Add(ejectionTime(h.ejections))
	t.set(instance, StateEjected, cause, now)
	if cause != CauseHints {
		t.hint(instance, StateEjected, now)
	}
}

// ejectionTime returns the time of the n-th ejection in a row.
func ejectionTime(n int) time.Duration {
	duration := firstEjection
	for ; n > 1 && duration < maxEjection; n-- {
		duration *= 2
	}
	return min(duration, maxEjection)
}

// recover returns an instance to work. The caller holds the lock.
func (t *Table) recover(instance *Instance, cause Cause, now time.Time) {
	t.set(instance, StateHealthy, cause, now)
	t.hint(instance, StateHealthy, now)
}

// leave marks an instance as leaving on evidence that was current at seen.
func (t *Table) leave(instance *Instance, cause Cause, seen time.Time) {
	t.lock()
	defer t.unlock()
	h := &instance.health
	if h.current() == StateLeaving {
		return
	}
	if h.notice.state == StateStarted && seen.Before(h.notice.at) {
		return
	}
	t.setLeaving(instance, cause, mark{state: StateLeaving, host: t.Host, at: t.now()})
}

func (t *Table) setLeaving(instance *Instance, cause Cause, notice mark) {
	instance.health.gone = false
	instance.health.notice = t.number(notice)
	t.set(instance, StateLeaving, cause, t.now())
	instance.pool.closeIdle()
}

// started ends the leaving mark of an instance that was started again.
func (t *Table) started(instance *Instance, cause Cause) {
	t.lock()
	defer t.unlock()
	if instance.health.current() != StateLeaving {
		return
	}
	t.setStarted(instance, cause, mark{state: StateStarted, host: t.Host, at: t.now()})
}

// setStarted also forgets the failures of the earlier process.
func (t *Table) setStarted(instance *Instance, cause Cause, notice mark) {
	instance.health.ejections, instance.health.gone = 0, false
	instance.health.notice = t.number(notice)
	t.set(instance, StateHealthy, cause, t.now())
}

// sweep ends suspicions and ejections whose time has passed and returns the
// instances that this host should probe now.
func (t *Table) sweep() []*Instance {
	var own, others, due []*Instance
	for _, instance := range t.load().byID {
		switch {
		case !instance.troubled.Load():
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
			instance.health.probed = now
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
		return !now.Before(h.until)
	case StateLeaving:
		return !h.gone || now.Sub(h.probed) >= goneProbePeriod
	}
	return false
}

// expire moves an instance that other hosts probe towards healthy. The caller holds the lock.
func (t *Table) expire(instance *Instance, now time.Time) {
	h := &instance.health
	switch {
	case h.current() == StateSuspect && now.Sub(h.since) >= suspectLife:
		t.set(instance, StateHealthy, CauseExpired, now)
	case h.current() == StateEjected && !now.Before(h.until) && h.ejectedBy(t.Host, now) < hintsToEject:
		t.set(instance, StateSuspect, CauseExpired, now)
	}
}

// chooseUsable sets the standing of all instances of a group and returns those
// that may get work. Leaving instances never may. At most half of the others is
// taken out by ejection; the least suspect stay in use beyond that.
func chooseUsable(all []*Instance) []*Instance {
	var ejected []*Instance
	staying := 0
	for _, instance := range all {
		state := instance.health.current()
		if state != StateLeaving {
			staying++
		}
		if state == StateEjected {
			ejected = append(ejected, instance)
		}
		instance.standing.Store(int32(standingOf(state)))
	}
	sort.SliceStable(ejected, func(i, j int) bool { return ejected[i].health.lessSuspect(&ejected[j].health) })
	for _, instance := range ejected[:max(0, len(ejected)-staying/2)] {
		instance.standing.Store(int32(standingDoubtful))
	}
	usable := make([]*Instance, 0, len(all))
	for _, instance := range all {
		if instance.Available() {
			usable = append(usable, instance)
		}
	}
	return usable
}

func standingOf(state State) standing {
	switch state {
	case StateEjected, StateLeaving:
		return standingOut
	case StateSuspect:
		return standingDoubtful
	}
	return standingUsable
}

func (h *health) lessSuspect(other *health) bool {
	if h.ejections != other.ejections {
		return h.ejections < other.ejections
	}
	return h.until.Before(other.until)
}
