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

// fakeClock is a manually advanced clock.
type fakeClock struct{ time time.Time }

func (c *fakeClock) now() time.Time          { return c.time }
func (c *fakeClock) advance(d time.Duration) { c.time = c.time.Add(d) }

func newFakeClock() *fakeClock { return &fakeClock{time.Unix(1_700_000_000, 0)} }

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
func newTable(host api.HostID, c *fakeClock, n int) *Table {
	table := &Table{Host: host, Clock: c.now, Metrics: metric.New()}
	table.Apply(snapshotOf(addresses(n)...))
	return table
}

var (
	healthyProbe = probeResult{responded: true, healthy: true}
	failedProbe  = probeResult{}
)

// TestEjectionTimeDoubles guards against a flapping upstream whose ejection time does not
// grow, and against an ejection time that is never reset.
func TestEjectionTimeDoubles(t *testing.T) {
	c := newFakeClock()
	table := newTable("self", c, 4)
	instance := table.All("llm")[0]
	for _, seconds := range []int{1, 2, 4, 8, 16, 30, 30} {
		table.recordFailure(instance, ReasonDial)
		table.recordFailure(instance, ReasonDial) // a second request that failed at the same time
		assert.Assert(t, !instance.Available())
		c.advance(time.Duration(seconds)*time.Second - time.Millisecond)
		assert.Equal(t, len(table.sweep()), 0)
		c.advance(time.Millisecond)
		assert.DeepEqual(t, instanceIDs(table.sweep()), []api.UpstreamID{"llm-0"})
		table.recordProbe(instance, healthyProbe)
		assert.Assert(t, instance.Available())
	}
	c.advance(ejectionResetAfter + time.Second)
	table.recordFailure(instance, ReasonDial)
	assert.Equal(t, instance.health.ejectedUntil, c.time.Add(initialEjectionTime))
	assert.Equal(t, table.Metrics.Counters()["upstream.ejected.dial_failed"], int64(8))
	assert.Equal(t, table.Metrics.Counters()["upstream.healthy.probe"], int64(7))
}

func instanceIDs(instances []*Instance) []api.UpstreamID {
	var list []api.UpstreamID
	for _, instance := range instances {
		list = append(list, instance.ID)
	}
	return list
}

// TestFailureThresholds guards against an upstream that is ejected for a single failed
// request, and against one that stays in use although every request fails.
func TestFailureThresholds(t *testing.T) {
	c := newFakeClock()
	table := newTable("self", c, 4)
	instance := table.All("llm")[0]
	table.recordFailure(instance, ReasonBroken)
	table.recordFailure(instance, ReasonStatus)
	assert.Equal(t, table.State(instance), StateHealthy)
	table.recordSuccess(instance, c.time)
	for range suspectThreshold {
		table.recordFailure(instance, ReasonBroken)
	}
	assert.Equal(t, table.State(instance), StateSuspect)
	assert.Assert(t, instance.Available() && instance.Degraded())
	table.recordSuccess(instance, c.time)
	assert.Equal(t, table.State(instance), StateHealthy)
	for range ejectThreshold {
		table.recordFailure(instance, ReasonBroken)
	}
	assert.Equal(t, table.State(instance), StateEjected)
	// A success of a request from before the ejection does not end it.
	table.recordSuccess(instance, c.time.Add(-time.Second))
	assert.Equal(t, table.State(instance), StateEjected)
	table.recordSuccess(instance, c.time.Add(time.Second))
	assert.Equal(t, table.State(instance), StateHealthy)
	table.recordFailure(instance, ReasonSilent)
	assert.Equal(t, table.State(instance), StateSuspect)
	table.recordFailure(instance, ReasonSilent)
	assert.Equal(t, table.State(instance), StateEjected)
}

// TestEjectionExpiresWithoutProbes guards against an upstream that stays ejected forever
// on a host that is not one of its probers.
func TestEjectionExpiresWithoutProbes(t *testing.T) {
	c := newFakeClock()
	table := newTable("self", c, 4)
	table.IsProber = func(api.UpstreamID) bool { return false }
	instance := table.All("llm")[0]
	table.recordFailure(instance, ReasonDial)
	c.advance(initialEjectionTime)
	assert.Equal(t, len(table.sweep()), 0)
	assert.Equal(t, table.State(instance), StateSuspect)
	c.advance(suspectTimeout)
	assert.Equal(t, len(table.sweep()), 0)
	assert.Equal(t, table.State(instance), StateHealthy)
}

// TestEjectionKeepsHalfOfGroup guards against ejections that remove more than half of a
// group, and against draining upstreams that stay in use because of that limit.
func TestEjectionKeepsHalfOfGroup(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newFakeClock()
		n := rapid.IntRange(1, 12).Draw(t, "instances")
		table := newTable("self", c, n)
		for range rapid.IntRange(0, 40).Draw(t, "steps") {
			instance := table.All("llm")[rapid.IntRange(0, n-1).Draw(t, "instance")]
			rapid.SampledFrom([]func(){
				func() { table.recordFailure(instance, ReasonDial) },
				func() { table.recordFailure(instance, ReasonSilent) },
				func() { table.recordProbe(instance, failedProbe) },
				func() { table.recordProbe(instance, healthyProbe) },
				func() { table.markDraining(instance, CauseDrainNotice, c.time) },
			}).Draw(t, "step")()
			c.advance(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			checkAvailability(t, table)
		}
	})
}

func checkAvailability(t *rapid.T, table *Table) {
	count := map[State]int{}
	for _, instance := range table.All("llm") {
		state := table.State(instance)
		count[state]++
		assert.Assert(t, state == StateEjected || instance.Available() == (state != StateDraining))
	}
	usable := count[StateHealthy] + count[StateSuspect]
	notLeaving := usable + count[StateEjected]
	assert.Equal(t, len(table.AvailableInstances("llm")), max(usable, notLeaving-notLeaving/2))
}

// TestDrainingEndsAfterRestart guards against a draining upstream that gets new work before
// its shutdown, and against one that is never used again after its restart.
func TestDrainingEndsAfterRestart(t *testing.T) {
	c := newFakeClock()
	table := newTable("self", c, 4)
	instance := table.All("llm")[0]
	table.markDraining(instance, CauseDrainNotice, c.time)
	// The health check may pass while the upstream drains.
	table.recordProbe(instance, healthyProbe)
	table.recordSuccess(instance, c.time.Add(time.Second))
	table.recordFailure(instance, ReasonDial)
	assert.Equal(t, table.State(instance), StateDraining)
	// A configuration change that keeps the address does not end the draining state.
	changed := snapshotOf(addresses(4)...)
	changed.Groups["llm"].Upstreams[0].Slots = 4
	table.Apply(changed)
	assert.Assert(t, !instance.Available())
	instance = table.All("llm")[0]
	assert.Equal(t, table.State(instance), StateDraining)
	assert.Equal(t, len(table.sweep()), 1)
	assert.Equal(t, len(table.sweep()), 1)
	table.recordProbe(instance, failedProbe)
	assert.Equal(t, table.State(instance), StateDraining)
	assert.Equal(t, len(table.sweep()), 0)
	c.advance(shutdownProbePeriod)
	assert.Equal(t, len(table.sweep()), 1)
	table.recordProbe(instance, healthyProbe)
	assert.Equal(t, table.State(instance), StateHealthy)
	// A late response of the earlier process has a drain notice.
	table.markDraining(instance, CauseDrainNotice, c.time.Add(-500*time.Millisecond))
	assert.Equal(t, table.State(instance), StateHealthy)
	assert.Equal(t, len(table.AvailableInstances("llm")), 4)
}

// TestNewAddressIsNewProcess guards against a draining state that is kept when the address
// changes, which means that the upstream is a new process.
func TestNewAddressIsNewProcess(t *testing.T) {
	c := newFakeClock()
	table := newTable("self", c, 2)
	table.markDraining(table.All("llm")[0], CauseDrainNotice, c.time)
	table.Apply(snapshotOf("127.0.0.1:9", "127.0.0.1:2"))
	assert.Equal(t, len(table.AvailableInstances("llm")), 2)
}
