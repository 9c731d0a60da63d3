package upstream

import (
	"sort"
	"time"

	"redwingloft/pkg/api"
)

const (
	// ejectionQuorum is the number of other hosts that must eject an upstream before
	// this host ejects it too.
	ejectionQuorum = 2
	// hintTTL is the lifetime of a hint. It is longer than maxEjectionTime because a
	// prober repeats its hint after each ejection time.
	hintTTL = maxEjectionTime + 10*time.Second
	// duplicateWindow is the time within which two observations of the same state
	// count as one that arrived over two paths. An observation appears later by the
	// transit time of each hop.
	duplicateWindow = 500 * time.Millisecond
	// maxEventAge limits the age of a received event, to keep the time arithmetic
	// from overflowing.
	maxEventAge = 24 * time.Hour
	// maxEventsPerExchange limits the events of one exchange to about 4 KB.
	maxEventsPerExchange = 32
	// maxPendingEvents limits the stored events of upstreams that are not configured yet.
	maxPendingEvents = 1024
)

// Event is a state change of an upstream that hosts exchange.
type Event struct {
	Upstream api.UpstreamID `json:"upstream"`
	// Address is the address of the upstream process; events with another address are ignored.
	Address api.Address `json:"address"`
	// State is ejected, healthy, leaving or started.
	State State `json:"state"`
	// Host is the host that observed the change; forwarding hosts keep it.
	Host api.HostID `json:"host"`
	// AgeMs is the time between the change and the sending of the event.
	AgeMs int64 `json:"age_ms"`
}

// observation is a state of an upstream that a host observed at a given time.
type observation struct {
	state State
	host  api.HostID
	at    time.Time
	// sequence is the position in the order in which this host learned of observations.
	sequence uint64
}

// supersedes reports whether o is newer than known.
func (o observation) supersedes(known observation) bool {
	if known.state == "" {
		return true
	}
	if known.state == o.state {
		return o.at.After(known.at.Add(duplicateWindow))
	}
	return o.at.After(known.at)
}

type pendingEvent struct {
	event    Event
	received time.Time
}

// assignSequence assigns the next sequence number to an observation. The caller
// must hold the lock.
func (t *Table) assignSequence(o observation) observation {
	t.sequence++
	o.sequence = t.sequence
	return o
}

// recordHint records this host's own ejection or recovery of an instance for the
// other hosts. An ejection is omitted if a quorum of other hosts already reports
// it: when a data centre fails, every host would otherwise send a hint for every
// upstream in it. The caller must hold the lock.
func (t *Table) recordHint(instance *Instance, state State, now time.Time) {
	h := &instance.health
	known := h.hints[t.Host]
	if state == StateHealthy && known.state != StateEjected {
		return
	}
	if state == StateEjected && known.state != StateEjected && h.countEjectingHosts(t.Host, now) >= ejectionQuorum {
		return
	}
	h.setHint(t.assignSequence(observation{state: state, host: t.Host, at: now}))
}

func (h *health) setHint(o observation) {
	if h.hints == nil {
		h.hints = map[api.HostID]observation{}
	}
	h.hints[o.host] = o
}

// countEjectingHosts returns the number of other hosts that currently eject the
// instance, and deletes expired hints.
func (h *health) countEjectingHosts(self api.HostID, now time.Time) int {
	count := 0
	for host, hint := range h.hints {
		if now.Sub(hint.at) > hintTTL {
			delete(h.hints, host)
			continue
		}
		if host != self && hint.state == StateEjected {
			count++
		}
	}
	return count
}

// Events returns the events after since, in the order in which this host learned
// of them, and the value of since for the next call. Pass 0 for all current
// events. A value above the newest sequence number comes from an earlier process
// of this host and is treated as 0.
func (t *Table) Events(since uint64) ([]Event, uint64) {
	t.lock()
	defer t.unlock()
	if since > t.sequence {
		since = 0
	}
	now := t.now()
	type numbered struct {
		sequence uint64
		event    Event
	}
	var newer []numbered
	add := func(instance *Instance, o observation) {
		if o.state == "" || o.sequence <= since {
			return
		}
		newer = append(newer, numbered{o.sequence, Event{
			Upstream: instance.ID, Address: instance.Address, State: o.state, Host: o.host,
			AgeMs: now.Sub(o.at).Milliseconds(),
		}})
	}
	for _, instance := range t.currentView().byID {
		add(instance, instance.health.lifecycle)
		instance.health.countEjectingHosts(t.Host, now)
		for _, hint := range instance.health.hints {
			add(instance, hint)
		}
	}
	sort.Slice(newer, func(i, j int) bool { return newer[i].sequence < newer[j].sequence })
	next := t.sequence
	if len(newer) > maxEventsPerExchange {
		newer = newer[:maxEventsPerExchange]
		next = newer[maxEventsPerExchange-1].sequence
	}
	events := make([]Event, 0, len(newer))
	for _, item := range newer {
		events = append(events, item.event)
	}
	return events, next
}

// Merge applies events from another host. This host's own events are ignored when
// they come back, except after a restart with the same ID.
func (t *Table) Merge(events []Event) {
	t.lock()
	defer t.unlock()
	now := t.now()
	for _, event := range events {
		if !t.mergeEvent(event, now) {
			t.pending = append(t.pending, pendingEvent{event, now})
		}
	}
	t.pending = t.pending[max(0, len(t.pending)-maxPendingEvents):]
}

// mergePending applies events that were received before the configuration of
// their upstreams. The caller must hold the lock.
func (t *Table) mergePending() {
	var remaining []pendingEvent
	now := t.now()
	for _, waiting := range t.pending {
		event := waiting.event
		event.AgeMs = min(event.AgeMs, maxEventAge.Milliseconds())
		event.AgeMs += now.Sub(waiting.received).Milliseconds()
		if !t.mergeEvent(event, now) {
			remaining = append(remaining, waiting)
		}
	}
	t.pending = remaining
}

// mergeEvent applies an event. It returns false if no upstream is configured with
// this ID and address.
func (t *Table) mergeEvent(event Event, now time.Time) bool {
	instance := t.currentView().byID[event.Upstream]
	if instance == nil || instance.Address != event.Address {
		return false
	}
	age := time.Duration(min(max(0, event.AgeMs), maxEventAge.Milliseconds())) * time.Millisecond
	o := observation{state: event.State, host: event.Host, at: now.Add(-age)}
	switch event.State {
	case StateDraining, StateStarted:
		t.mergeLifecycle(instance, o)
	case StateEjected, StateHealthy:
		t.mergeHint(instance, o, now)
	}
	return true
}

func (t *Table) mergeLifecycle(instance *Instance, o observation) {
	h := &instance.health
	if !o.supersedes(h.lifecycle) {
		return
	}
	leaving := h.current() == StateDraining
	switch {
	case o.state == StateDraining && !leaving:
		t.setDraining(instance, CausePeer, o)
	case o.state == StateStarted && leaving:
		t.setStarted(instance, CausePeer, o)
	default:
		h.lifecycle = t.assignSequence(o)
	}
}

func (t *Table) mergeHint(instance *Instance, o observation, now time.Time) {
	h := &instance.health
	known := h.hints[o.host]
	if o.host == t.Host || now.Sub(o.at) > hintTTL || !o.supersedes(known) {
		return
	}
	if o.state == StateHealthy && known.state != StateEjected {
		return
	}
	if o.state == StateEjected && known.state != StateEjected && h.countEjectingHosts(t.Host, now) >= ejectionQuorum {
		return
	}
	h.setHint(t.assignSequence(o))
	t.applyHints(instance, now)
}

// applyHints ejects an instance if a quorum of other hosts ejects it, and ends
// that ejection when the quorum is lost. The caller must hold the lock.
func (t *Table) applyHints(instance *Instance, now time.Time) {
	h := &instance.health
	quorum := h.countEjectingHosts(t.Host, now) >= ejectionQuorum
	switch state := h.current(); {
	case quorum && (state == StateHealthy || state == StateSuspect):
		t.eject(instance, CauseHints, now)
	case !quorum && state == StateEjected && h.cause == CauseHints:
		t.setState(instance, StateHealthy, CauseHints, now)
	}
}
