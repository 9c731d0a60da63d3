package throttle

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingloft/internal/data/fleet"
	"redwingloft/internal/helper/logging"
	"redwingloft/internal/helper/metric"
	"redwingloft/pkg/api"
)

const (
	stepTime = 10 * time.Millisecond
	// exchangeSteps is the number of steps between the exchanges of a host.
	exchangeSteps = 50
	// contactTime is the time after the first response that names a limit from which it must be
	// kept, in each limitWindow.
	contactTime = 3 * time.Second
	limitWindow = 4 * time.Second
)

// allowed is the number of requests that may come in a limitWindow.
func allowed(rate float64) int { return int(1.5*rate*limitWindow.Seconds() + 5) }

// simulation plays hosts that send as many requests to one upstream as they may.
type simulation struct {
	random     *rand.Rand
	now        time.Time
	hosts      []fleet.Host
	tables     map[api.HostID]*Table
	collectors []*Collector
	// down is the number of collecting hosts, from the first, that fail.
	down     int
	upstream *fleet.Upstream
	// rate is the limit that the upstream names; nil for none.
	rate *float64
	// demand is the number of requests a second that each host has for the upstream.
	demand  float64
	sent    []time.Time
	namedAt time.Time
}

func newSimulation(seed uint64, hosts int, rate float64) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, 2)), now: time.Unix(1_700_000_000, 0), tables: map[api.HostID]*Table{},
		collectors: []*Collector{{}, {}}, upstream: &fleet.Upstream{ID: api.UpstreamID(fmt.Sprint("u", seed))}, rate: &rate, demand: 4,
	}
	for i := range hosts {
		s.join(api.HostID(fmt.Sprint("host-", i)))
	}
	return s
}

func (s *simulation) join(id api.HostID) {
	s.hosts = append(append([]fleet.Host(nil), s.hosts...), fleet.Host{ID: id})
	s.tables[id] = &Table{Self: id, Hosts: func() []fleet.Host { return s.hosts }, Log: logging.Discard(), Metrics: metric.New()}
}

func (s *simulation) leave(id api.HostID) {
	var rest []fleet.Host
	for _, host := range s.hosts {
		if host.ID != id {
			rest = append(rest, host)
		}
	}
	s.hosts = rest
	delete(s.tables, id)
}

func (s *simulation) run(d time.Duration) {
	for step := 0; step < int(d/stepTime); step++ {
		s.now = s.now.Add(stepTime)
		for i, host := range s.hosts {
			table := s.tables[host.ID]
			if s.random.Float64() < s.demand*stepTime.Seconds() {
				s.send(table)
			}
			if (step+i)%exchangeSteps == 0 {
				report := table.Report(s.now)
				update := s.collectors[s.down].Exchange(report, s.now)
				table.Apply(report, &update, s.now)
			}
		}
	}
}

func (s *simulation) send(table *Table) {
	if _, exhausted := table.State(s.upstream, s.now); exhausted {
		return
	}
	if !table.Take(s.upstream, s.now) {
		return
	}
	s.sent = append(s.sent, s.now)
	if s.rate != nil && s.namedAt.IsZero() {
		s.namedAt = s.now
	}
	table.Observe(s.upstream, s.rate, s.now)
}

// most returns the most requests in a window that begins contactTime after the limit was named or
// later.
func (s *simulation) most() int {
	most, first := 0, 0
	for i, at := range s.sent {
		for s.sent[first].Before(s.namedAt.Add(contactTime)) || at.Sub(s.sent[first]) >= limitWindow {
			if first == i {
				break
			}
			first++
		}
		if !s.sent[first].Before(s.namedAt.Add(contactTime)) {
			most = max(most, i-first+1)
		}
	}
	return most
}

// TestLimitIsKeptByHostsTogether guards against hosts that each keep a limit but together send
// more, in small and large fleets, and against a limit that is hardly used.
func TestLimitIsKeptByHostsTogether(t *testing.T) {
	for _, hosts := range []int{1, 6, 80, 350} {
		for _, rate := range []float64{0.2, 1, 1.8, 7, 40} {
			s := newSimulation(uint64(hosts), hosts, rate)
			s.run(20 * time.Second)
			before := len(s.sent)
			s.run(20 * time.Second)
			what := fmt.Sprintf("%d hosts, limit %g", hosts, rate)
			assert.Assert(t, s.most() <= allowed(rate), "%s: %d requests in a window, allowed %d", what, s.most(), allowed(rate))
			used := float64(len(s.sent)-before) / 20 / min(rate, s.demand*float64(hosts))
			assert.Assert(t, used > 0.6, "%s: %.2f of it is used", what, used)
		}
	}
}

// TestLimitIsKeptWhileHostsChange guards against more requests than a limit allows while hosts
// leave and others join, and after the collecting host has failed.
func TestLimitIsKeptWhileHostsChange(t *testing.T) {
	for seed := range uint64(10) {
		const rate = 1.2
		s := newSimulation(seed, 7, rate)
		for i := range 10 {
			s.run(2 * time.Second)
			s.leave(s.hosts[s.random.IntN(len(s.hosts))].ID)
			if i == 4 {
				s.down = 1
			}
			s.run(time.Second)
			s.join(api.HostID(fmt.Sprint("new-", i)))
		}
		assert.Assert(t, s.most() <= allowed(rate), "seed %d: %d requests in a window, allowed %d", seed, s.most(), allowed(rate))
	}
}

// TestEndOfLimitIsKnownToAllHosts guards against hosts that keep a limit, and send nothing, after
// the upstream no longer names it.
func TestEndOfLimitIsKnownToAllHosts(t *testing.T) {
	s := newSimulation(1, 80, 1)
	s.run(10 * time.Second)
	s.rate = nil
	s.run(5 * time.Second)
	for id, table := range s.tables {
		limited, _ := table.State(s.upstream, s.now)
		assert.Assert(t, !limited, "%s still keeps the limit", id)
	}
}

// TestRestartedUpstreamHasNoLimit guards against a limit that outlives the incarnation that named
// it, and against state of upstreams that are gone.
func TestRestartedUpstreamHasNoLimit(t *testing.T) {
	s := newSimulation(1, 6, 1)
	s.run(5 * time.Second)
	restarted := &fleet.Upstream{ID: s.upstream.ID, Started: 2}
	for _, table := range s.tables {
		assert.Assert(t, table.Take(restarted, s.now))
		table.Sweep(func(incarnation fleet.Incarnation) bool { return incarnation == restarted.Incarnation() })
		assert.Equal(t, len(table.limits), 0)
	}
}

// TestRefusedCallersReturnAtDifferentTimes guards against a Retry-After that is true for one of
// many refused callers.
func TestRefusedCallersReturnAtDifferentTimes(t *testing.T) {
	table := &Table{Log: logging.Discard(), Metrics: metric.New()}
	now := time.Unix(1_700_000_000, 0)
	upstream, rate := &fleet.Upstream{ID: "u"}, 2.0
	table.Observe(upstream, &rate, now)
	assert.Assert(t, table.Take(upstream, now))
	for i := 1; i <= 4; i++ {
		delay := table.RetryDelay([]*fleet.Upstream{upstream}, now)
		assert.Equal(t, delay.Round(time.Millisecond), time.Duration(i)*500*time.Millisecond)
	}
	assert.Equal(t, table.RetryDelay([]*fleet.Upstream{upstream, {ID: "other"}}, now), time.Duration(0))
}

// TestUpstreamThatAcceptsNothingIsAskedAgain guards against a limit of zero that never ends.
func TestUpstreamThatAcceptsNothingIsAskedAgain(t *testing.T) {
	s := newSimulation(1, 6, 0)
	s.run(40 * time.Second)
	assert.Assert(t, s.most() <= allowed(0))
	assert.Assert(t, s.most() > 0)
}

// TestPauseEndsInTime guards against a pause that a later response shortens, or one without an end.
func TestPauseEndsInTime(t *testing.T) {
	table := &Table{Log: logging.Discard(), Metrics: metric.New()}
	now, upstream := time.Unix(1_700_000_000, 0), &fleet.Upstream{ID: "u"}
	table.Pause(upstream, 4*time.Second, now)
	table.Pause(upstream, time.Second, now)
	table.Observe(upstream, nil, now)
	table.Sweep(func(fleet.Incarnation) bool { return false })
	assert.Equal(t, table.WaitAlone(upstream, now), 4*time.Second)
	assert.Assert(t, !table.Take(upstream, now) && !table.TakeAlone(upstream, now))
	assert.Equal(t, table.RetryDelay([]*fleet.Upstream{upstream}, now), 4*time.Second)
	assert.Equal(t, table.RetryDelay([]*fleet.Upstream{upstream}, now), 4*time.Second+pauseReturnInterval)
	assert.Assert(t, table.Take(upstream, now.Add(4*time.Second)))
	table.Pause(upstream, 1<<62, now)
	assert.Equal(t, table.Paused(upstream, now), maxPause)
}
