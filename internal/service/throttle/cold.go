package throttle

import (
	"math"
	"slices"
	"time"

	"redwingloft/internal/data/fleet"
	"redwingloft/internal/helper/hashing"
	"redwingloft/pkg/api"
)

const (
	// arrivalSpread is the difference between the times that two requests take from the decision to
	// send them until their arrival: a dial of up to 250 ms, the network, and hosts that are short of
	// processor time.
	arrivalSpread = 500 * time.Millisecond
	// coldInterval is the time between two requests in one slot, so that no second in which requests
	// arrive contains both.
	coldInterval = time.Second + arrivalSpread
	// hostLists is the number of different lists of hosts that may be in use at once, for instance in
	// the two halves of a fleet that do not see each other. Each has an equal part of the slots.
	hostLists = 2
	// settleTime is how long a host must at least have had a slot by all lists that it has known before
	// it uses it: within this time, all hosts that reach the store know the same list.
	settleTime = 3 * time.Second
	// maxRecentLists bounds the lists that are remembered.
	maxRecentLists = 64
	// restartKnownTime is how long after a refused connection an entry must have been learned to be of
	// the process that accepts connections since: a change of the store takes less than this.
	restartKnownTime = 2 * time.Second
	// maxSuspicion is how long after a refused connection an upstream counts as cold without such an entry.
	maxSuspicion = 10 * time.Second
	// maxSlots bounds the slots of an upstream.
	maxSlots = 4096
)

// settleTime returns how long a host must have had a slot before it uses it.
func (t *Table) settleTime() time.Duration { return max(t.ListAge, settleTime) }

// hostList is a list of hosts that this host has used.
type hostList struct {
	// nodes are the hashes of the hosts, self is the index of this host or -1.
	nodes []uint64
	self  int
	// replacedAt is the time at which a newer list was known; zero for the newest one.
	replacedAt time.Time
}

// slots returns the number of slots that a host has of count at an upstream.
func (l *hostList) slots(count int, id api.UpstreamID) int {
	if l.self < 0 {
		return 0
	}
	slots := count / len(l.nodes)
	if rest := count % len(l.nodes); rest > 0 && hashing.Rank(hashing.Of(string(id)), l.nodes, l.self) < rest {
		slots++
	}
	return slots
}

// coldUse is what this host has sent to an upstream while it was cold.
type coldUse struct {
	// until is the end of the cold time that responses have stated.
	until time.Time
	// refusedAt is when it last refused a connection.
	refusedAt time.Time
	// sent holds the times of the requests of the last coldInterval.
	sent []time.Time
	// promisedUntil is the time up to which refused callers were told to return.
	promisedUntil time.Time
	// slots is the number of this host's slots of count, by the lists of the given version.
	slots, count, listsVersion int
	// ignored is set once an invalid cold time was logged.
	ignored bool
}

// coldLimit is the limit of a cold upstream at the time of a call.
type coldLimit struct {
	*coldUse
	// end is the end of the cold time.
	end time.Time
	// all is the number of slots of all hosts with the same list.
	all int
}

// ObserveCold records the cold time that a response of an upstream states; 0 means none. A shorter
// time than the known one is not used, since the response may be an old one.
func (t *Table) ObserveCold(upstream *fleet.Upstream, left time.Duration, ignored error, now time.Time) {
	if t == nil || left == 0 && ignored == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	use := t.coldUse(upstream)
	if ignored != nil {
		t.Metrics.Counter("throttle.cold_ignored").Inc(1)
		if !use.ignored {
			t.Log.Warn().Str("upstream", string(upstream.ID)).Err(ignored).Msg("cold_time_ignored")
		}
		use.ignored = true
		return
	}
	if until := now.Add(left); until.After(use.until) {
		use.until = until
	}
}

// ObserveRefused records that an upstream refused a connection. Its process has ended, and the next one
// is cold, which its entry may show only after it accepts connections.
func (t *Table) ObserveRefused(upstream *fleet.Upstream, now time.Time) {
	if t == nil || t.ColdBound == nil {
		return
	}
	if _, limited := t.ColdBound(upstream.Service); !limited {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.coldUse(upstream).refusedAt = now
}

// coldUse returns the state of an upstream, which is created on first use. The caller holds mu.
func (t *Table) coldUse(upstream *fleet.Upstream) *coldUse {
	use := t.cold[upstream.Incarnation()]
	if use == nil {
		if t.cold == nil {
			t.cold = map[fleet.Incarnation]*coldUse{}
		}
		use = &coldUse{}
		t.cold[upstream.Incarnation()] = use
	}
	return use
}

// coldLimit returns the limit of an upstream, or nil if it is warm or tolerates any rate. The caller
// holds mu.
func (t *Table) coldLimit(upstream *fleet.Upstream, now time.Time) *coldLimit {
	known := t.cold[upstream.Incarnation()]
	end := upstream.ColdUntil
	if known != nil && known.until.After(end) {
		end = known.until
	}
	if known != nil && !known.refusedAt.IsZero() && upstream.LearnedAt.Before(known.refusedAt.Add(restartKnownTime)) && known.refusedAt.Add(maxSuspicion).After(end) {
		end = known.refusedAt.Add(maxSuspicion)
	}
	if !now.Before(end) || t.ColdBound == nil {
		return nil
	}
	bound, limited := t.ColdBound(upstream.Service)
	if !limited {
		return nil
	}
	return &coldLimit{t.coldUse(upstream), end, min(bound/hostLists, maxSlots)}
}

// coldSlots returns the number of requests that this host may send in each coldInterval. The caller
// holds mu.
func (t *Table) coldSlots(upstream *fleet.Upstream, l *coldLimit, now time.Time) int {
	t.updateLists(now)
	if l.listsVersion == t.listsVersion && l.count == l.all {
		return l.slots
	}
	l.listsVersion, l.count = t.listsVersion, l.all
	l.slots = l.all
	if t.Hosts == nil {
		return l.slots
	}
	if now.Before(t.listsSince.Add(t.settleTime())) {
		// Others may still use a list from before this host has known one.
		l.slots = 0
	}
	// The newest list is the most likely one to have no slot for this host.
	for i := len(t.lists) - 1; i >= 0 && l.slots > 0; i-- {
		l.slots = min(l.slots, t.lists[i].slots(l.all, upstream.ID))
	}
	return l.slots
}

// coldSlotsAlone is like coldSlots for an upstream that gets requests from this host only, as all
// hosts with the same list agree. The caller holds mu.
func (t *Table) coldSlotsAlone(l *coldLimit, now time.Time) int {
	t.updateLists(now)
	if t.Hosts == nil {
		return l.all
	}
	isIn := func(list hostList) bool { return list.self >= 0 }
	if now.Before(t.listsSince.Add(t.settleTime())) || slices.ContainsFunc(t.lists, func(list hostList) bool { return !isIn(list) }) {
		return 0
	}
	return l.all
}

// UpdateHosts records the present list of hosts. It is called after each change.
func (t *Table) UpdateHosts(now time.Time) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.updateLists(now)
}

// updateLists updates the lists of hosts that are or were in use. The caller holds mu.
func (t *Table) updateLists(now time.Time) {
	t.updateHosts()
	if t.listsSince.IsZero() {
		t.listsSince = now
	}
	settled := !now.Before(t.listsSince.Add(t.settleTime()))
	if settled != t.listsSettled {
		t.listsSettled = settled
		t.listsVersion++
	}
	if last := len(t.lists) - 1; last < 0 || t.lists[last].self != t.self || !slices.Equal(t.lists[last].nodes, t.nodes) {
		if last >= 0 {
			t.lists[last].replacedAt = now
		}
		t.lists = append(t.lists, hostList{nodes: t.nodes, self: t.self})
		t.listsVersion++
	}
	if len(t.lists) > maxRecentLists {
		// Those between the oldest and the newest hardly differ from their neighbours.
		t.lists = slices.Delete(t.lists, 1, 2)
	}
	expired := 0
	for expired < len(t.lists)-1 && !now.Before(t.lists[expired].replacedAt.Add(t.settleTime())) {
		expired++
	}
	if expired > 0 {
		t.lists = slices.Delete(t.lists, 0, expired)
		t.listsVersion++
	}
}

// wait returns the time until a request may be sent in one of a number of slots, or until the
// upstream is warm.
func (l *coldLimit) wait(slots int, now time.Time) time.Duration {
	l.sent = slices.DeleteFunc(l.sent, func(at time.Time) bool { return now.Sub(at) >= coldInterval })
	switch {
	case len(l.sent) < slots:
		return 0
	case slots == 0 && l.all > 0:
		// The host may have a slot once the list of hosts has settled.
		return min(settleTime, l.end.Sub(now))
	case slots == 0:
		return l.end.Sub(now)
	}
	return min(l.sent[len(l.sent)-slots].Add(coldInterval).Sub(now), l.end.Sub(now))
}

// take uses a slot.
func (l *coldLimit) take(now time.Time) { l.sent = append(l.sent, now) }

// rate returns the requests a second of a number of slots.
func (l *coldLimit) rate(slots int) float64 { return float64(slots) / coldInterval.Seconds() }

// free returns the number of requests that may be sent in a number of slots from now until a time.
func (l *coldLimit) free(slots int, now, until time.Time) int {
	l.wait(slots, now)
	free := 0
	for i := range slots {
		from := now
		if used := len(l.sent) - slots + i; used >= 0 {
			from = l.sent[used].Add(coldInterval)
		}
		if !from.After(until) {
			free += 1 + int(until.Sub(from)/coldInterval)
		}
	}
	return free
}

// Room returns the number of requests that this host may send to upstreams until a time. It is
// math.MaxInt if one of them is not cold, or is warm by then.
func (t *Table) Room(upstreams []*fleet.Upstream, now, until time.Time) int {
	if t == nil {
		return math.MaxInt
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	room := 0
	for _, upstream := range upstreams {
		cold := t.coldLimit(upstream, now)
		if cold == nil || !until.Before(cold.end) {
			return math.MaxInt
		}
		room += cold.free(t.coldSlots(upstream, cold, now), now, until)
	}
	return room
}

// RateAlone returns the requests a second that an upstream accepts if it gets requests from this host
// only, or +Inf if it has no limit.
func (t *Table) RateAlone(upstream *fleet.Upstream, now time.Time) float64 {
	if t == nil {
		return math.Inf(1)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	rate := math.Inf(1)
	if known := t.limited(upstream); known != nil {
		rate = known.rate
	}
	if cold := t.coldLimit(upstream, now); cold != nil {
		rate = min(rate, cold.rate(t.coldSlotsAlone(cold, now)))
	}
	return rate
}
