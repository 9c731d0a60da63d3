// Package throttle keeps the requests of all hosts to an upstream below the rate limit that the
// upstream names in its responses. A few hosts share the limit of an upstream, and the others
// send it nothing: with a share for each host of a large fleet, one request from each would
// already be too many. It also keeps the limits of cold upstreams, and the pauses that upstreams ask
// this host for.
package throttle

import (
	"math"
	"sync"
	"time"

	"github.com/phuslu/log"

	"redwingloft/internal/data/fleet"
	"redwingloft/internal/helper/hashing"
	"redwingloft/internal/helper/metric"
	"redwingloft/pkg/api"
)

const (
	// extraSharers is the number of hosts that share a limit beyond one for each request a
	// second. Each may send one request at once.
	extraSharers = 2
	// minRate is the rate at which an upstream that accepts nothing is asked whether this has
	// changed, in requests a second.
	minRate = 0.1
	// burstTime is the time whose share may be sent at once.
	burstTime = 500 * time.Millisecond
	// overcommit is the sum of the shares of a limit. Not every host has a request whenever it may
	// send one, so that shares of exactly the limit would leave a part of it unused.
	overcommit = 1.2
)

// limit is the rate limit of an upstream as last known.
type limit struct {
	// rate is in requests a second; 0 means that the upstream no longer names a limit.
	rate float64
	// observedAt is the time of the response that showed it, here or at another host.
	observedAt time.Time
	// unreported is set while the collecting host does not know the rate from this host.
	unreported bool

	// tokens are the requests that this host may send at filledAt.
	tokens   float64
	filledAt time.Time
	// promisedUntil is the time up to which refused callers were told to return.
	promisedUntil time.Time
	// sharers and shares are the number of hosts that share the limit, and whether this host is
	// one of them, for the hosts of the given version and rate.
	sharers       int
	shares        bool
	sharedRate    float64
	sharedVersion int
}

// Table holds the rate limits of upstreams and the requests that this host may send. Set the
// exported fields before use. The methods of a nil Table know no limits.
type Table struct {
	Self api.HostID
	// Hosts returns the registered hosts. The slice is not modified after it was returned.
	Hosts func() []fleet.Host
	// ListAge is the time within which all hosts that reach the store know a change of the list of
	// hosts; 0 means not stated.
	ListAge time.Duration
	// ColdBound returns the number of requests that a cold upstream of a service may get in any one
	// second from all hosts together, and false if there is no such limit; nil means that there is none.
	ColdBound func(service api.ServiceName) (bound int, limited bool)
	Log       *log.Logger
	Metrics   *metric.Set

	mu     sync.Mutex
	limits map[fleet.Incarnation]*limit
	cold   map[fleet.Incarnation]*coldUse
	// lists holds the lists of hosts that are or were in use, the newest last. listsSince is the time of
	// the first one, and listsSettled is set once this is long ago. listsVersion rises with each change.
	lists        []hostList
	listsSince   time.Time
	listsSettled bool
	listsVersion int
	pauses       map[fleet.Incarnation]*pause
	// hosts are those for which nodes and self were computed, in the given version.
	hosts        []fleet.Host
	hostsVersion int
	nodes        []uint64
	// self is the index of this host, or -1.
	self int
	// epoch and version are those of the last update.
	epoch   int64
	version uint64
}

// Observe records the rate limit that a response of an upstream names; nil if it names none.
func (t *Table) Observe(upstream *fleet.Upstream, named *float64, now time.Time) {
	if t == nil {
		return
	}
	rate := 0.0
	if named != nil {
		rate = max(*named, minRate)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.limits[upstream.Incarnation()]
	if known == nil && named == nil {
		return
	}
	if t.set(upstream.Incarnation(), rate, now) {
		t.limits[upstream.Incarnation()].unreported = true
	}
}

// set records a rate and reports whether it has changed. The caller holds mu.
func (t *Table) set(incarnation fleet.Incarnation, rate float64, observedAt time.Time) bool {
	known := t.limits[incarnation]
	if known == nil {
		if t.limits == nil {
			t.limits = map[fleet.Incarnation]*limit{}
		}
		known = &limit{tokens: 1, filledAt: observedAt}
		t.limits[incarnation] = known
	}
	known.observedAt = observedAt
	if known.rate == rate {
		return false
	}
	t.Metrics.Counter("throttle.limit_changes").Inc(1)
	t.Log.Info().Str("upstream", string(incarnation.ID)).Float64("limit", rate).Float64("before", known.rate).Msg("upstream_limit_changed")
	known.rate = rate
	return true
}

// Limit returns the rate limit of an upstream in requests a second, or +Inf if it names none.
func (t *Table) Limit(upstream *fleet.Upstream) float64 {
	if t == nil {
		return math.Inf(1)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if known := t.limited(upstream); known != nil {
		return known.rate
	}
	return math.Inf(1)
}

// limited returns the limit of an upstream, or nil if it names none. The caller holds mu.
func (t *Table) limited(upstream *fleet.Upstream) *limit {
	if known := t.limits[upstream.Incarnation()]; known != nil && known.rate > 0 {
		return known
	}
	return nil
}

// State reports whether an upstream names a limit, and whether this host may send it no request
// now because of it, of a pause, or because the upstream is cold.
func (t *Table) State(upstream *fleet.Upstream, now time.Time) (limited, exhausted bool) {
	terms := t.Terms(upstream, now)
	return terms.Limited, terms.Exhausted()
}

// Take reports whether this host may send the upstream a request now, and counts it.
func (t *Table) Take(upstream *fleet.Upstream, now time.Time) bool {
	if t == nil {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.paused(upstream, now) > 0 {
		return false
	}
	cold := t.coldLimit(upstream, now)
	if cold != nil && cold.wait(t.coldSlots(upstream, cold, now), now) > 0 {
		return false
	}
	if known := t.limited(upstream); known != nil && !known.take(t.share(upstream.ID, known), now) {
		return false
	}
	if cold != nil {
		cold.take(now)
	}
	return true
}

// WaitAlone returns the time until this host may send a request to an upstream that gets requests
// from no other one.
func (t *Table) WaitAlone(upstream *fleet.Upstream, now time.Time) time.Duration {
	if t == nil {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	wait := t.paused(upstream, now)
	if known := t.limited(upstream); known != nil {
		wait = max(wait, known.wait(known.rate, now))
	}
	if cold := t.coldLimit(upstream, now); cold != nil {
		wait = max(wait, cold.wait(t.coldSlotsAlone(cold, now), now))
	}
	return wait
}

// TakeAlone is like Take for an upstream that gets requests from this host only.
func (t *Table) TakeAlone(upstream *fleet.Upstream, now time.Time) bool {
	if t == nil {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.paused(upstream, now) > 0 {
		return false
	}
	cold := t.coldLimit(upstream, now)
	if cold != nil && cold.wait(t.coldSlotsAlone(cold, now), now) > 0 {
		return false
	}
	if known := t.limited(upstream); known != nil && !known.take(known.rate, now) {
		return false
	}
	if cold != nil {
		cold.take(now)
	}
	return true
}

func seconds(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }

// fill adds the tokens of the time since the last call.
func (l *limit) fill(rate float64, now time.Time) {
	if now.After(l.filledAt) {
		l.tokens += rate * now.Sub(l.filledAt).Seconds()
		l.filledAt = now
	}
	l.tokens = min(l.tokens, max(1, rate*burstTime.Seconds()))
}

func (l *limit) wait(rate float64, now time.Time) time.Duration {
	l.fill(rate, now)
	if l.tokens >= 1 {
		return 0
	}
	return seconds((1 - l.tokens) / rate)
}

// take takes a token at the given rate, of which there are none if it is 0.
func (l *limit) take(rate float64, now time.Time) bool {
	l.fill(rate, now)
	if rate == 0 || l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}

// share returns the rate at which this host may send requests to an upstream, 0 if it is not one
// of the hosts that share its limit. All hosts with the same list agree. The caller holds mu.
func (t *Table) share(id api.UpstreamID, l *limit) float64 {
	t.updateHosts()
	if l.sharedVersion != t.hostsVersion || l.sharedRate != l.rate {
		l.sharedVersion, l.sharedRate = t.hostsVersion, l.rate
		l.sharers = min(int(math.Ceil(l.rate))+extraSharers, max(len(t.nodes), 1))
		l.shares = t.self >= 0 && hashing.Rank(hashing.Of(string(id)), t.nodes, t.self) < l.sharers
	}
	if !l.shares && len(t.nodes) > 0 {
		return 0
	}
	if l.sharers <= 1 {
		return l.rate
	}
	return overcommit * l.rate / float64(l.sharers)
}

// updateHosts computes the nodes if the list of hosts has changed. The caller holds mu.
func (t *Table) updateHosts() {
	var hosts []fleet.Host
	if t.Hosts != nil {
		hosts = t.Hosts()
	}
	unchanged := len(hosts) == len(t.hosts) && (len(hosts) == 0 || &hosts[0] == &t.hosts[0])
	if t.hostsVersion > 0 && unchanged {
		return
	}
	t.hosts, t.nodes, t.self = hosts, nil, -1
	t.hostsVersion++
	for _, host := range hosts {
		if host.Draining {
			continue
		}
		if host.ID == t.Self {
			t.self = len(t.nodes)
		}
		t.nodes = append(t.nodes, hashing.Of(string(host.ID)))
	}
}

// Sweep drops the limits of upstreams that are not in keep.
func (t *Table) Sweep(keep func(fleet.Incarnation) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for incarnation := range t.limits {
		if !keep(incarnation) {
			delete(t.limits, incarnation)
		}
	}
	for incarnation := range t.cold {
		if !keep(incarnation) {
			delete(t.cold, incarnation)
		}
	}
}
