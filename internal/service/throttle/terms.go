package throttle

import (
	"slices"
	"time"

	"redwingloft/internal/data/fleet"
	"redwingloft/internal/helper/logging"
	"redwingloft/internal/helper/metric"
)

// Terms are the limits of an upstream on the requests of this host at a moment. A time of 0 means that
// the limit allows a request.
type Terms struct {
	// Paused is the time until the upstream, which asked for a pause, wants a request.
	Paused time.Duration
	// ColdLeft is the time for which the upstream stays cold; 0 if it is warm or tolerates any rate.
	// ColdSlots is the number of requests that this host may send it in each ColdInterval, and ColdWait
	// the time until the next one.
	ColdLeft, ColdInterval time.Duration
	ColdSlots              int
	ColdWait               time.Duration
	// Limited is true if the upstream names a rate limit. Rate is the limit, Share this host's part of
	// it, both in requests a second, and Wait the time until the next request unless Share is 0.
	Limited     bool
	Rate, Share float64
	Wait        time.Duration
}

// Exhausted reports whether this host may send no request now.
func (t *Terms) Exhausted() bool {
	return t.Paused > 0 || t.ColdWait > 0 || t.Limited && (t.Share == 0 || t.Wait > 0)
}

// Terms returns the limits of an upstream on the requests of this host.
func (t *Table) Terms(upstream *fleet.Upstream, now time.Time) Terms {
	if t == nil {
		return Terms{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	terms := Terms{Paused: t.paused(upstream, now)}
	if cold := t.coldLimit(upstream, now); cold != nil {
		terms.ColdLeft, terms.ColdInterval, terms.ColdSlots = cold.end.Sub(now), coldInterval, t.coldSlots(upstream, cold, now)
		terms.ColdWait = cold.wait(terms.ColdSlots, now)
	}
	known := t.limited(upstream)
	if known == nil {
		return terms
	}
	terms.Limited, terms.Rate, terms.Share = true, known.rate, t.share(upstream.ID, known)
	if terms.Share > 0 {
		terms.Wait = known.wait(terms.Share, now)
	}
	return terms
}

// Copy returns a copy whose use does not change t, logs nothing and counts nothing. It shares the list
// of hosts and the bounds.
func (t *Table) Copy() *Table {
	if t == nil {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	copied := &Table{
		Self: t.Self, Hosts: t.Hosts, ListAge: t.ListAge, ColdBound: t.ColdBound, Log: logging.Discard(), Metrics: metric.New(),
		limits: make(map[fleet.Incarnation]*limit, len(t.limits)), cold: make(map[fleet.Incarnation]*coldUse, len(t.cold)),
		pauses: make(map[fleet.Incarnation]*pause, len(t.pauses)),
		lists:  slices.Clone(t.lists), listsSince: t.listsSince, listsSettled: t.listsSettled, listsVersion: t.listsVersion,
		hosts: t.hosts, hostsVersion: t.hostsVersion, nodes: t.nodes, self: t.self, epoch: t.epoch, version: t.version,
	}
	for incarnation, known := range t.limits {
		own := *known
		copied.limits[incarnation] = &own
	}
	for incarnation, known := range t.cold {
		own := *known
		own.sent = slices.Clone(known.sent)
		copied.cold[incarnation] = &own
	}
	for incarnation, known := range t.pauses {
		own := *known
		copied.pauses[incarnation] = &own
	}
	return copied
}
