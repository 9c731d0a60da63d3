package throttle

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingloft/internal/data/fleet"
	"redwingloft/internal/helper/logging"
	"redwingloft/internal/helper/metric"
	"redwingloft/pkg/api"
)

const (
	// coldStep is the time between two steps of a coldFleet.
	coldStep = 25 * time.Millisecond
	// listDelay is the longest time until a host knows a change of the list, and leaseTime that after
	// which a host that is gone leaves the list.
	listDelay = settleTime - 100*time.Millisecond
	leaseTime = 3 * time.Second
	// registerTime is the longest time from the start of a host until it is in the list.
	registerTime = 300 * time.Millisecond
)

// coldHost is a host of a coldFleet.
type coldHost struct {
	id    api.HostID
	table *Table
	// part is the part of the fleet that the host sees. list is the list that it knows, and syncAt the
	// time at which it learns the present one.
	part   int
	list   []fleet.Host
	syncAt time.Time
	// registered is the time at which the host registered.
	registered int64
	// suspendedUntil is the end of a suspension.
	suspendedUntil time.Time
}

// coldFleet plays hosts that send a cold upstream as many requests as they may, and know each change
// of the list of hosts at different times.
type coldFleet struct {
	random   *rand.Rand
	now      time.Time
	bound    int
	upstream *fleet.Upstream
	hosts    map[api.HostID]*coldHost
	// order holds the hosts in a fixed order.
	order []*coldHost
	// listed holds, for each part of the fleet, the hosts in its list; later are pending changes.
	listed  [2]map[api.HostID]*coldHost
	later   map[time.Time][]func()
	arrived []time.Time
	// alone is set if only the oldest host sends requests.
	alone bool
}

func newColdFleet(seed uint64, hosts, bound int) *coldFleet {
	f := &coldFleet{
		random: rand.New(rand.NewPCG(seed, 3)), now: time.Unix(1_700_000_000, 0), bound: bound, hosts: map[api.HostID]*coldHost{},
		listed: [2]map[api.HostID]*coldHost{{}, {}}, later: map[time.Time][]func(){},
	}
	f.upstream = &fleet.Upstream{ID: api.UpstreamID(fmt.Sprint("u", seed)), ColdUntil: f.now.Add(time.Hour)}
	for i := range hosts {
		f.start(api.HostID(fmt.Sprint("host-", i)))
	}
	return f
}

func (f *coldFleet) upTo(d time.Duration) time.Duration {
	return time.Duration(f.random.Int64N(int64(d))).Truncate(coldStep)
}

func (f *coldFleet) in(d time.Duration, change func()) {
	at := f.now.Add(max(d.Truncate(coldStep), coldStep))
	f.later[at] = append(f.later[at], change)
}

// list returns the present list of a part of the fleet.
func (f *coldFleet) list(part int) []fleet.Host {
	var list []fleet.Host
	for id, h := range f.listed[part] {
		list = append(list, fleet.Host{ID: id, Started: h.registered})
	}
	slices.SortFunc(list, func(a, b fleet.Host) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return list
}

// start starts a host, which reads the list before it registers.
func (f *coldFleet) start(id api.HostID) {
	h := &coldHost{id: id}
	h.table = &Table{
		Self: id, Hosts: func() []fleet.Host { return h.list }, Log: logging.Discard(), Metrics: metric.New(),
		ColdBound: func(api.ServiceName) (int, bool) { return f.bound, true },
	}
	f.hosts[id] = h
	f.order = append(f.order, h)
	f.sync(h)
	f.register(h)
}

func (f *coldFleet) register(h *coldHost) {
	f.in(f.upTo(registerTime), func() {
		if f.hosts[h.id] == h {
			h.registered = f.now.UnixNano()
			f.listed[h.part][h.id] = h
			f.sync(h)
		}
	})
}

func (f *coldFleet) sync(h *coldHost) {
	h.list = f.list(h.part)
	h.syncAt = f.now.Add(f.upTo(listDelay))
	h.table.UpdateHosts(f.now)
}

// expire removes a host from the list of a part once its lease has ended.
func (f *coldFleet) expire(h *coldHost, part int) {
	f.in(leaseTime, func() {
		if f.listed[part][h.id] == h {
			delete(f.listed[part], h.id)
		}
	})
}

func (f *coldFleet) kill(id api.HostID) {
	f.expire(f.hosts[id], f.hosts[id].part)
	f.order = slices.DeleteFunc(f.order, func(h *coldHost) bool { return h.id == id })
	delete(f.hosts, id)
}

// suspend stops a host, which goes on with what it knows and registers again.
func (f *coldFleet) suspend(id api.HostID, d time.Duration) {
	h := f.hosts[id]
	h.suspendedUntil = f.now.Add(d)
	if d > leaseTime {
		f.expire(h, h.part)
		f.in(d, func() { f.register(h) })
	}
}

// split lets half of the hosts see only each other.
func (f *coldFleet) split() {
	for i, id := range f.ids() {
		if i%2 == 0 {
			continue
		}
		f.hosts[id].part = 1
		f.listed[1] = map[api.HostID]*coldHost{}
	}
	maps.Copy(f.listed[1], f.listed[0])
	for _, id := range f.ids() {
		f.expire(f.hosts[id], 1-f.hosts[id].part)
	}
}

func (f *coldFleet) ids() []api.HostID {
	var ids []api.HostID
	for id := range f.hosts {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (f *coldFleet) run(d time.Duration) {
	for range int(d / coldStep) {
		f.now = f.now.Add(coldStep)
		for _, change := range f.later[f.now] {
			change()
		}
		delete(f.later, f.now)
		for _, h := range f.order {
			if f.now.Before(h.suspendedUntil) {
				continue
			}
			take := h.table.Take
			if f.alone {
				take = h.table.TakeAlone
			}
			for (!f.alone || h.isOldest()) && take(f.upstream, f.now) {
				f.arrived = append(f.arrived, f.now.Add(f.upTo(arrivalSpread)))
			}
			// A host that was suspended sends before it learns of changes.
			if !f.now.Before(h.syncAt) {
				f.sync(h)
			}
		}
	}
}

// isOldest reports whether no host in the list of a host registered before it.
func (h *coldHost) isOldest() bool {
	return !slices.ContainsFunc(h.list, func(other fleet.Host) bool {
		return other.ID != h.id && (h.registered == 0 || cmp.Or(cmp.Compare(other.Started, h.registered), cmp.Compare(other.ID, h.id)) < 0)
	})
}

// most returns the most requests that arrived in one second.
func (f *coldFleet) most() int {
	slices.SortFunc(f.arrived, time.Time.Compare)
	most, first := 0, 0
	for i, at := range f.arrived {
		for at.Sub(f.arrived[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// coldEvents are what may happen to a fleet.
var coldEvents = map[string]func(*coldFleet){
	"nothing": func(*coldFleet) {},
	"joins": func(f *coldFleet) {
		for i := range 40 {
			f.in(f.upTo(10*time.Second), func() { f.start(api.HostID(fmt.Sprint("new-", i))) })
		}
	},
	"half are killed": func(f *coldFleet) {
		for i, id := range f.ids() {
			if i%2 == 1 {
				f.kill(id)
			}
		}
	},
	"half are killed and start again": func(f *coldFleet) {
		for i, id := range f.ids() {
			if i%2 == 1 {
				f.kill(id)
				f.in(f.upTo(4*time.Second), func() { f.start(id) })
			}
		}
	},
	"all start again at once": func(f *coldFleet) {
		for _, id := range f.ids() {
			f.kill(id)
			f.in(leaseTime+f.upTo(registerTime), func() { f.start(id) })
		}
	},
	"all start again": func(f *coldFleet) {
		for _, id := range f.ids() {
			f.kill(id)
			f.in(f.upTo(8*time.Second), func() { f.start(id) })
		}
	},
	"a third is suspended": func(f *coldFleet) {
		for i, id := range f.ids() {
			if i%3 == 1 {
				f.suspend(id, time.Second+f.upTo(8*time.Second))
			}
		}
	},
	"split": (*coldFleet).split,
	"split, then a host is killed": func(f *coldFleet) {
		f.split()
		if ids := f.ids(); len(ids) > 1 {
			f.in(5*time.Second, func() { f.kill(ids[0]) })
		}
	},
}

// TestColdLimitIsKeptByHostsTogether guards against hosts that together send a cold upstream more
// requests in a second than it may get, in fleets of all sizes and whatever happens to their lists.
func TestColdLimitIsKeptByHostsTogether(t *testing.T) {
	for name, happen := range coldEvents {
		for hosts, bounds := range map[int][]int{1: {24}, 2: {0, 1, 5, 24}, 7: {24, 155}, 70: {5, 24}, 350: {24}} {
			if hosts == 350 && name != "split" && name != "half are killed and start again" {
				continue // for the time that it takes
			}
			for _, bound := range bounds {
				f := newColdFleet(uint64(hosts), hosts, bound)
				testColdFleet(t, f, happen, fmt.Sprintf("%s, %d hosts, bound %d", name, hosts, bound))
			}
		}
	}
}

// TestColdLimitIsKeptBySchedulingHosts guards against the same for upstreams that get requests from the
// oldest host only: several hosts take themselves for it while their lists differ.
func TestColdLimitIsKeptBySchedulingHosts(t *testing.T) {
	for name, happen := range coldEvents {
		for _, hosts := range []int{1, 7, 70} {
			f := newColdFleet(uint64(hosts), hosts, 24)
			f.alone = true
			testColdFleet(t, f, happen, fmt.Sprintf("%s, %d hosts", name, hosts))
		}
	}
}

func testColdFleet(t *testing.T, f *coldFleet, happen func(*coldFleet), what string) {
	t.Helper()
	f.run(7 * time.Second)
	happen(f)
	f.run(13 * time.Second)
	assert.Assert(t, f.most() <= f.bound, "%s: %d requests in a second", what, f.most())
	before := len(f.arrived)
	f.run(3 * time.Second)
	assert.Assert(t, f.bound < hostLists || len(f.arrived) > before, "%s: the limit is not used", what)
}

// newColdTable returns the table of a host without others, and an upstream that is cold for 10 s.
func newColdTable(bound int) (*Table, *fleet.Upstream, time.Time) {
	now := time.Unix(1_700_000_000, 0)
	table := &Table{Log: logging.Discard(), Metrics: metric.New(), ColdBound: func(service api.ServiceName) (int, bool) {
		return bound, service == "cold"
	}}
	return table, &fleet.Upstream{ID: "u", Service: "cold", ColdUntil: now.Add(10 * time.Second)}, now
}

// taken returns the number of requests that may be sent at once, up to 100.
func taken(table *Table, upstream *fleet.Upstream, now time.Time) int {
	count := 0
	for count < 100 && table.Take(upstream, now) {
		count++
	}
	return count
}

// TestColdLimitBeginsAndEnds guards against a limit that outlasts the cold time, that a service without
// one gets, or that an invalid cold time sets, and against one that a response does not set.
func TestColdLimitBeginsAndEnds(t *testing.T) {
	table, upstream, now := newColdTable(8)
	assert.Equal(t, taken(table, upstream, now), 4)
	_, exhausted := table.State(upstream, now)
	assert.Assert(t, exhausted && table.WaitAlone(upstream, now) == coldInterval)
	assert.Equal(t, taken(table, upstream, now.Add(coldInterval)), 4)
	assert.Equal(t, taken(table, upstream, now.Add(10*time.Second)), 100)
	assert.Equal(t, table.RateAlone(upstream, now.Add(10*time.Second)), math.Inf(1))
	warm := *upstream
	warm.ColdUntil = time.Time{}
	assert.Equal(t, taken(table, &warm, now.Add(coldInterval)), 100, "its entry was written again")
	other := &fleet.Upstream{ID: "o", Service: "other", ColdUntil: upstream.ColdUntil}
	assert.Equal(t, taken(table, other, now), 100)
	assert.Equal(t, taken(&Table{}, upstream, now), 100, "there is no bound")

	responding := &fleet.Upstream{ID: "r", Service: "cold"}
	for range 3 {
		table.ObserveCold(responding, 0, errors.New("invalid"), now)
	}
	assert.Equal(t, table.Metrics.Counter("throttle.cold_ignored").Count(), int64(3))
	assert.Equal(t, taken(table, responding, now), 100)
	table.ObserveCold(responding, 3*time.Second, nil, now)
	table.ObserveCold(responding, time.Second, nil, now)
	assert.Equal(t, taken(table, responding, now.Add(2*time.Second)), 4)
	assert.Equal(t, taken(table, &fleet.Upstream{ID: "r", Service: "cold", Started: 2}, now), 100, "a later incarnation")
	table.Sweep(func(fleet.Incarnation) bool { return false })
	assert.Equal(t, len(table.cold), 0)
}

// TestUpstreamThatRefusedAConnectionIsCold guards against full traffic for an upstream that has started
// again under the same id, from hosts that know only its former entry, and against a limit for one that
// wrote its entry since.
func TestUpstreamThatRefusedAConnectionIsCold(t *testing.T) {
	table, upstream, now := newColdTable(8)
	upstream.ColdUntil, upstream.LearnedAt = time.Time{}, now
	assert.Equal(t, taken(table, upstream, now), 100)
	table.ObserveRefused(upstream, now)
	assert.Equal(t, taken(table, upstream, now), 4)
	early, written := *upstream, *upstream
	early.LearnedAt, written.LearnedAt = now.Add(restartKnownTime/2), now.Add(restartKnownTime)
	assert.Equal(t, taken(table, &early, now.Add(restartKnownTime)), 4, "the entry may be from before")
	assert.Equal(t, taken(table, &written, now.Add(restartKnownTime)), 100)
	assert.Equal(t, taken(table, upstream, now.Add(maxSuspicion)), 100)
	other := &fleet.Upstream{ID: "o", Service: "other"}
	table.ObserveRefused(other, now)
	assert.Equal(t, taken(table, other, now), 100)
}

// TestColdUpstreamKeepsItsOtherLimits guards against a cold upstream that gets more than the limit that
// it names or during its pause, and against a slot that is lost to a request that another limit refused.
func TestColdUpstreamKeepsItsOtherLimits(t *testing.T) {
	table, upstream, now := newColdTable(8)
	rate := 2.0
	table.Observe(upstream, &rate, now)
	assert.Equal(t, taken(table, upstream, now), 1)
	assert.Equal(t, taken(table, upstream, now.Add(coldInterval-time.Millisecond)), 1)
	assert.Equal(t, table.RateAlone(upstream, now), rate)
	named := 40.0
	table.Observe(upstream, &named, now.Add(coldInterval))
	assert.Equal(t, taken(table, upstream, now.Add(2*coldInterval-2*time.Millisecond)), 3, "one of four slots is in use")
	table.Pause(upstream, 4*time.Second, now.Add(2*coldInterval))
	assert.Equal(t, taken(table, upstream, now.Add(3*coldInterval)), 0)
	assert.Equal(t, taken(table, upstream, now.Add(5*coldInterval)), 4)
}

// TestRefusedCallersOfColdUpstreamsReturnInTime guards against a Retry-After at which no request can be
// sent, and against one that is later than the end of the cold time.
func TestRefusedCallersOfColdUpstreamsReturnInTime(t *testing.T) {
	table, upstream, now := newColdTable(4)
	upstreams := []*fleet.Upstream{upstream}
	assert.Equal(t, table.Room(upstreams, now, now.Add(time.Second)), 2)
	assert.Equal(t, taken(table, upstream, now), 2)
	assert.Equal(t, table.Room(upstreams, now, now.Add(time.Second)), 0)
	assert.Equal(t, table.Room(upstreams, now, now.Add(coldInterval)), 2)
	assert.Equal(t, table.Room(upstreams, now, now.Add(10*time.Second)), math.MaxInt)
	for i := range 2 {
		assert.Equal(t, table.RetryDelay(upstreams, now), coldInterval+time.Duration(i)*coldInterval/2)
	}
	for range 20 {
		assert.Assert(t, table.RetryDelay(upstreams, now) <= 10*time.Second+pauseReturnSpread+pauseReturnInterval)
	}
	assert.Equal(t, table.RetryDelay(append(upstreams, &fleet.Upstream{ID: "warm"}), now), time.Duration(0))
	table.Hosts = func() []fleet.Host { return []fleet.Host{{ID: "other"}} }
	assert.Equal(t, table.RetryDelay(upstreams, now), seconds(1/(2/coldInterval.Seconds())))
	assert.Equal(t, table.RetryDelay(upstreams, now.Add(9900*time.Millisecond)), 100*time.Millisecond)
	assert.Assert(t, table.Paused(upstream, now) > 0, "a scheduling host without a slot")
}
