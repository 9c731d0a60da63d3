package upstream

import (
	"sort"
	"time"

	"redwingloft/pkg/api"
)

const (
	// hintsToEject is the number of other hosts whose ejections this host follows.
	hintsToEject = 2
	// hintLife bounds the age of a hint. It is longer than maxEjection, because a
	// prober repeats its hint after each ejection time.
	hintLife = maxEjection + 10*time.Second
	// sameMark is the difference in time below which two marks of the same state
	// are the same news on two ways. Each hop makes news younger by its transit time.
	sameMark = 500 * time.Millisecond
	// maxAge bounds the age of an event, which else could overflow a time.
	maxAge = 24 * time.Hour
	// maxEvents bounds the events of one exchange, about 4 KB.
	maxEvents = 32
	// maxPending bounds the events of upstreams that are not configured yet.
	maxPending = 1024
)

// Event is news of an upstream that hosts exchange.
type Event struct {
	Upstream api.UpstreamID `json:"upstream"`
	// Address is that of the process; news of another address is ignored.
	Address api.Address `json:"address"`
	// State is ejected, healthy, leaving or started.
	State State `json:"state"`
	// Host is the host that saw the change; a host that passes news on keeps it.
	Host api.HostID `json:"host"`
	// AgeMs is the time since the change at the moment of sending.
	AgeMs int64 `json:"age_ms"`
}

// mark is a state that a host saw at a time.
type mark struct {
	state State
	host  api.HostID
	at    time.Time
	// sequence is the position in this host's order of news.
	sequence uint64
}

// replaces reports whether m is news where known is known.
func (m mark) replaces(known mark) bool {
	if known.state == "" {
		return true
	}
	if known.state == m.state {
		return m.at.After(known.at.Add(sameMark))
	}
	return m.at.After(known.at)
}

type pendingEvent struct {
	event    Event
	received time.Time
}

// number gives a mark the next sequence number. The caller holds the lock.
func (t *Table) number(m mark) mark {
	t.sequence++
	m.sequence = t.sequence
	return m
}

// hint notes this host's own view of an instance for the other hosts. Where
// enough others say the same it stays out of the exchange, which would else
// carry a mark of every host for every upstream of a failed data centre. The
// caller holds the lock.
func (t *Table) hint(instance *Instance, state State, now time.Time) {
	h := &instance.health
	known := h.hints[t.Host]
	if state == StateHealthy && known.state != StateEjected {
		return
	}
	if state == StateEjected && known.state != StateEjected && h.ejectedBy(t.Host, now) >= hintsToEject {
		return
	}
	h.setHint(t.number(mark{state: state, host: t.Host, at: now}))
}

func (h *health) setHint(m mark) {
	if h.hints == nil {
		h.hints = map[api.HostID]mark{}
	}
	h.hints[m.host] = m
}

// ejectedBy counts the other hosts that eject the instance now, and forgets old hints.
func (h *health) ejectedBy(self api.HostID, now time.Time) int {
	count := 0
	for host, hint := range h.hints {
		if now.Sub(hint.at) > hintLife {
			delete(h.hints, host)
			continue
		}
		if host != self && hint.state == StateEjected {
			count++
		}
	}
	return count
}

// Events returns news in the order in which this host learned of it, and the
// value of since for the next call. 0 asks for everything that still holds. A
// value above the newest stems from an earlier process of this host and counts as 0.
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
	var found []numbered
	add := func(instance *Instance, m mark) {
		if m.state == "" || m.sequence <= since {
			return
		}
		found = append(found, numbered{m.sequence, Event{
			Upstream: instance.ID, Address: instance.Address, State: m.state, Host: m.host,
			AgeMs: now.Sub(m.at).Milliseconds(),
		}})
	}
	for _, instance := range t.load().byID {
		add(instance, instance.health.notice)
		instance.health.ejectedBy(t.Host, now)
		for _, hint := range instance.health.hints {
			add(instance, hint)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].sequence < found[j].sequence })
	next := t.sequence
	if len(found) > maxEvents {
		found = found[:maxEvents]
		next = found[maxEvents-1].sequence
	}
	events := make([]Event, 0, len(found))
	for _, one := range found {
		events = append(events, one.event)
	}
	return events, next
}

// Merge takes over news from another host. Marks of this host that come back are
// news only after a restart under the same id.
func (t *Table) Merge(events []Event) {
	t.lock()
	defer t.unlock()
	now := t.now()
	for _, event := range events {
		if !t.mergeOne(event, now) {
			t.pending = append(t.pending, pendingEvent{event, now})
		}
	}
	t.pending = t.pending[max(0, len(t.pending)-maxPending):]
}

// mergePending takes over news that came before the configuration with its
// upstreams. The caller holds the lock.
func (t *Table) mergePending() {
	var left []pendingEvent
	now := t.now()
	for _, waiting := range t.pending {
		event := waiting.event
		event.AgeMs = min(event.AgeMs, maxAge.Milliseconds())
		event.AgeMs += now.Sub(waiting.received).Milliseconds()
		if !t.mergeOne(event, now) {
			left = append(left, waiting)
		}
	}
	t.pending = left
}

// mergeOne reports false where the upstream is not configured with this address.
func (t *Table) mergeOne(event Event, now time.Time) bool {
	instance := t.load().byID[event.Upstream]
	if instance == nil || instance.Address != event.Address {
		return false
	}
	age := time.Duration(min(max(0, event.AgeMs), maxAge.Milliseconds())) * time.Millisecond
	m := mark{state: event.State, host: event.Host, at: now.Add(-age)}
	switch event.State {
	case StateLeaving, StateStarted:
		t.mergeNotice(instance, m)
	case StateEjected, StateHealthy:
		t.mergeHint(instance, m, now)
	}
	return true
}

func (t *Table) mergeNotice(instance *Instance, m mark) {
	h := &instance.health
	if !m.replaces(h.notice) {
		return
	}
	leaving := h.current() == StateLeaving
	switch {
	case m.state == StateLeaving && !leaving:
		t.setLeaving(instance, CausePeer, m)
	case m.state == StateStarted && leaving:
		t.setStarted(instance, CausePeer, m)
	default:
		h.notice = t.number(m)
	}
}

func (t *Table) mergeHint(instance *Instance, m mark, now time.Time) {
	h := &instance.health
	known := h.hints[m.host]
	if m.host == t.Host || now.Sub(m.at) > hintLife || !m.replaces(known) {
		return
	}
	if m.state == StateHealthy && known.state != StateEjected {
		return
	}
	if m.state == StateEjected && known.state != StateEjected && h.ejectedBy(t.Host, now) >= hintsToEject {
		return
	}
	h.setHint(t.number(m))
	t.followHints(instance, now)
}

// followHints ejects an instance that enough other hosts eject and returns it
// to work when they no longer do. The caller holds the lock.
func (t *Table) followHints(instance *Instance, now time.Time) {
	h := &instance.health
	enough := h.ejectedBy(t.Host, now) >= hintsToEject
	switch state := h.current(); {
	case enough && (state == StateHealthy || state == StateSuspect):
		t.eject(instance, CauseHints, now)
	case !enough && state == StateEjected && h.cause == CauseHints:
		t.set(instance, StateHealthy, CauseHints, now)
	}
}
