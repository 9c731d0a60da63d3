package upstream

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"redwingloft/internal/data/document"
	"redwingloft/internal/helper/metric"
	"redwingloft/pkg/api"
)

// clock is a clock that tests advance by hand.
type clock struct{ time time.Time }

func (c *clock) now() time.Time          { return c.time }
func (c *clock) advance(d time.Duration) { c.time = c.time.Add(d) }

func newClock() *clock { return &clock{time.Unix(1_700_000_000, 0)} }

// snapshotOf returns a configuration with one group "llm".
func snapshotOf(addresses ...string) *document.Snapshot {
	group := &document.Group{Name: "llm"}
	for i, address := range addresses {
		group.Upstreams = append(group.Upstreams, document.Upstream{
			ID: api.UpstreamID(fmt.Sprintf("llm-%d", i)), Address: api.Address(address), DataCentre: "a", Slots: 8,
		})
	}
	return &document.Snapshot{Groups: map[api.GroupName]*document.Group{"llm": group}}
}

func addresses(n int) []string {
	var list []string
	for i := range n {
		list = append(list, fmt.Sprintf("127.0.0.1:%d", i+1))
	}
	return list
}

// newTable returns the table of a host with n instances.
func newTable(host api.HostID, c *clock, n int) *Table {
	table := &Table{Host: host, Clock: c.now, Metrics: metric.New()}
	table.Apply(snapshotOf(addresses(n)...))
	return table
}

var (
	probeGood = probeResult{answered: true, healthy: true}
	probeBad  = probeResult{}
)

// TestEjectionTimeDoubles guards against a flapping upstream that gets work again
// as soon as the first time, and against one that is never forgiven.
func TestEjectionTimeDoubles(t *testing.T) {
	c := newClock()
	table := newTable("self", c, 4)
	instance := table.All("llm")[0]
	for _, seconds := range []int{1, 2, 4, 8, 16, 30, 30} {
		table.failed(instance, ReasonDial)
		table.failed(instance, ReasonDial) // a second request that failed with it
		assert.Assert(t, !instance.Available())
		c.advance(time.Duration(seconds)*time.Second - time.Millisecond)
		assert.Equal(t, len(table.sweep()), 0)
		c.advance(time.Millisecond)
		assert.DeepEqual(t, ids(table.sweep()), []api.UpstreamID{"llm-0"})
		table.probed(instance, probeGood)
		assert.Assert(t, instance.Available())
	}
	c.advance(forgiveAfter + time.Second)
	table.failed(instance, ReasonDial)
	assert.Equal(t, instance.health.until, c.time.Add(firstEjection))
	assert.Equal(t, table.Metrics.Counters()["upstream.ejected.dial_failed"], int64(8))
	assert.Equal(t, table.Metrics.Counters()["upstream.healthy.probe"], int64(7))
}

func ids(instances []*Instance) []api.UpstreamID {
	var list []api.UpstreamID
	for _, instance := range instances {
		list = append(list, instance.ID)
	}
	return list
}

// TestSuspicionSteps guards against an upstream that is removed for a single
// failed request, and against one that stays in use although every request fails.
func TestSuspicionSteps(t *testing.T) {
	c := newClock()
	table := newTable("self", c, 4)
	instance := table.All("llm")[0]
	table.failed(instance, ReasonBroken)
	table.failed(instance, ReasonStatus)
	assert.Equal(t, table.State(instance), StateHealthy)
	table.succeeded(instance, c.time)
	for range suspectFailures {
		table.failed(instance, ReasonBroken)
	}
	assert.Equal(t, table.State(instance), StateSuspect)
	assert.Assert(t, instance.Available() && instance.Doubtful())
	table.succeeded(instance, c.time)
	assert.Equal(t, table.State(instance), StateHealthy)
	for range ejectFailures {
		table.failed(instance, ReasonBroken)
	}
	assert.Equal(t, table.State(instance), StateEjected)
	// A whole answer to a request from before the ejection shows nothing.
	table.succeeded(instance, c.time.Add(-time.Second))
	assert.Equal(t, table.State(instance), StateEjected)
	table.succeeded(instance, c.time.Add(time.Second))
	assert.Equal(t, table.State(instance), StateHealthy)
	table.failed(instance, ReasonSilent)
	assert.Equal(t, table.State(instance), StateSuspect)
	table.failed(instance, ReasonSilent)
	assert.Equal(t, table.State(instance), StateEjected)
}

// TestOtherHostsProbe guards against a host that never uses an upstream again
// because it is not one of its probers.
func TestOtherHostsProbe(t *testing.T) {
	c := newClock()
	table := newTable("self", c, 4)
	table.Prober = func(api.UpstreamID) bool { return false }
	instance := table.All("llm")[0]
	table.failed(instance, ReasonDial)
	c.advance(firstEjection)
	assert.Equal(t, len(table.sweep()), 0)
	assert.Equal(t, table.State(instance), StateSuspect)
	c.advance(suspectLife)
	assert.Equal(t, len(table.sweep()), 0)
	assert.Equal(t, table.State(instance), StateHealthy)
}

// TestHalfOfTheGroupStays guards against suspicion that removes more than half of
// a group, and against leaving upstreams that stay in use because of that rule.
func TestHalfOfTheGroupStays(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newClock()
		n := rapid.IntRange(1, 12).Draw(t, "instances")
		table := newTable("self", c, n)
		for range rapid.IntRange(0, 40).Draw(t, "steps") {
			instance := table.All("llm")[rapid.IntRange(0, n-1).Draw(t, "instance")]
			rapid.SampledFrom([]func(){
				func() { table.failed(instance, ReasonDial) },
				func() { table.failed(instance, ReasonSilent) },
				func() { table.probed(instance, probeBad) },
				func() { table.probed(instance, probeGood) },
				func() { table.leave(instance, CauseNotice, c.time) },
			}).Draw(t, "step")()
			c.advance(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			checkGroup(t, table)
		}
	})
}

func checkGroup(t *rapid.T, table *Table) {
	count := map[State]int{}
	for _, instance := range table.All("llm") {
		state := table.State(instance)
		count[state]++
		assert.Assert(t, state == StateEjected || instance.Available() == (state != StateLeaving))
	}
	working := count[StateHealthy] + count[StateSuspect]
	staying := working + count[StateEjected]
	assert.Equal(t, len(table.Group("llm")), max(working, staying-staying/2))
}

// TestLeavingEndsWithNewStart guards against a leaving upstream that gets work
// while it still runs, and against one that is never used again after its restart.
func TestLeavingEndsWithNewStart(t *testing.T) {
	c := newClock()
	table := newTable("self", c, 4)
	instance := table.All("llm")[0]
	table.leave(instance, CauseNotice, c.time)
	// A drain notice is not always shown by the health check.
	table.probed(instance, probeGood)
	table.succeeded(instance, c.time.Add(time.Second))
	table.failed(instance, ReasonDial)
	assert.Equal(t, table.State(instance), StateLeaving)
	// A change of the configuration that keeps the address ends no mark.
	changed := snapshotOf(addresses(4)...)
	changed.Groups["llm"].Upstreams[0].Slots = 4
	table.Apply(changed)
	assert.Assert(t, !instance.Available())
	instance = table.All("llm")[0]
	assert.Equal(t, table.State(instance), StateLeaving)
	assert.Equal(t, len(table.sweep()), 1)
	assert.Equal(t, len(table.sweep()), 1)
	table.probed(instance, probeBad)
	assert.Equal(t, table.State(instance), StateLeaving)
	assert.Equal(t, len(table.sweep()), 0)
	c.advance(goneProbePeriod)
	assert.Equal(t, len(table.sweep()), 1)
	table.probed(instance, probeGood)
	assert.Equal(t, table.State(instance), StateHealthy)
	// A late answer of the earlier process carries its notice.
	table.leave(instance, CauseNotice, c.time.Add(-500*time.Millisecond))
	assert.Equal(t, table.State(instance), StateHealthy)
	assert.Equal(t, len(table.Group("llm")), 4)
}

// TestNewAddressIsNewProcess guards against a mark that outlives the process it is about.
func TestNewAddressIsNewProcess(t *testing.T) {
	c := newClock()
	table := newTable("self", c, 2)
	table.leave(table.All("llm")[0], CauseNotice, c.time)
	table.Apply(snapshotOf("127.0.0.1:9", "127.0.0.1:2"))
	assert.Equal(t, len(table.Group("llm")), 2)
}
