package upstream

import (
	"encoding/json"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingloft/pkg/api"
)

// allEvents returns all events of a table.
func allEvents(table *Table) []Event {
	list, _ := table.Events(0)
	return list
}

func eventHosts(events []Event) []api.HostID {
	var list []api.HostID
	for _, event := range events {
		list = append(list, event.Host)
	}
	return list
}

// eventFrom returns an event of the given host about the first upstream.
func eventFrom(host api.HostID, state State) []Event {
	return []Event{{Upstream: "llm-0", Address: "127.0.0.1:1", State: state, Host: host}}
}

// TestHintsOfTwoHostsEject guards against a single host that ejects an upstream for
// all others, and against received hints being forwarded as a host's own.
func TestHintsOfTwoHostsEject(t *testing.T) {
	c := newFakeClock()
	a, b, self := newTable("a", c, 4), newTable("b", c, 4), newTable("self", c, 4)
	a.recordFailure(a.All("llm")[0], ReasonDial)
	self.Merge(allEvents(a))
	c.advance(100 * time.Millisecond)
	self.Merge(allEvents(a))
	assert.Equal(t, len(self.AvailableInstances("llm")), 4)
	b.recordFailure(b.All("llm")[0], ReasonDial)
	self.Merge(allEvents(b))
	assert.Equal(t, len(self.AvailableInstances("llm")), 3)
	assert.DeepEqual(t, eventHosts(allEvents(self)), []api.HostID{"a", "b"})
	// The first prober that finds the upstream healthy ends the quorum.
	c.advance(initialEjectionTime)
	a.recordProbe(a.All("llm")[0], healthyProbe)
	self.Merge(allEvents(a))
	assert.Equal(t, len(self.AvailableInstances("llm")), 4)
}

// TestOldHintsExpire guards against hints of removed hosts that stay in effect.
func TestOldHintsExpire(t *testing.T) {
	c := newFakeClock()
	table := newTable("self", c, 4)
	table.IsProber = func(api.UpstreamID) bool { return false }
	table.Merge(eventFrom("a", StateEjected))
	table.Merge(eventFrom("b", StateEjected))
	c.advance(hintTTL - time.Second)
	table.sweep()
	assert.Equal(t, table.State(table.All("llm")[0]), StateEjected)
	c.advance(2 * time.Second)
	table.sweep()
	assert.Equal(t, table.State(table.All("llm")[0]), StateSuspect)
}

// TestDrainingPropagates guards against events that are not forwarded, that circulate
// forever, or that a joining host does not receive.
func TestDrainingPropagates(t *testing.T) {
	c := newFakeClock()
	tables := []*Table{newTable("a", c, 4), newTable("b", c, 4), newTable("c", c, 4)}
	tables[0].markDraining(tables[0].All("llm")[1], CauseDrainNotice, c.time)
	c.advance(300 * time.Millisecond)
	sent, since := tables[0].Events(0)
	encoded, err := json.Marshal(sent[0])
	assert.NilError(t, err)
	assert.Equal(t, string(encoded), `{"upstream":"llm-1","address":"127.0.0.1:2","state":"leaving","host":"a","age_ms":300}`)
	tables[1].Merge(sent)
	forwarded := allEvents(tables[1])
	// The same event arrives over two paths with different transit times.
	c.advance(40 * time.Millisecond)
	tables[2].Merge(forwarded)
	tables[2].Merge(sent)
	assert.Equal(t, tables[2].State(tables[2].All("llm")[1]), StateDraining)
	tables[0].Merge(allEvents(tables[2]))
	sent, _ = tables[0].Events(since)
	assert.Equal(t, len(sent), 0)
	for _, host := range []api.HostID{"d", "a"} { // a new host, and host a after a restart
		joining := &Table{Host: host, Clock: c.now}
		joining.Merge(allEvents(tables[2]))
		joining.Apply(snapshotOf(addresses(4)...))
		assert.Equal(t, len(joining.AvailableInstances("llm")), 3)
	}
}

// TestStartedEndsLeaving guards against a stale draining event that overrides a newer
// restart, in either order of arrival, and against a recovery from an ejection that
// ends a draining state.
func TestStartedEndsLeaving(t *testing.T) {
	c := newFakeClock()
	a, b := newTable("a", c, 4), newTable("b", c, 4)
	a.markDraining(a.All("llm")[0], CauseDrainNotice, c.time)
	leaving := allEvents(a)
	c.advance(3 * time.Second)
	a.markStarted(a.All("llm")[0], CauseHostList)
	leaving[0].AgeMs = 3000
	b.Merge(leaving)
	b.Merge(eventFrom("c", StateHealthy))
	assert.Equal(t, b.State(b.All("llm")[0]), StateDraining)
	b.Merge(allEvents(a))
	assert.Equal(t, b.State(b.All("llm")[0]), StateHealthy)
	b.Merge(leaving)
	leaving[0].AgeMs = math.MaxInt64 // an invalid age must not overflow to a time in the future
	b.Merge(leaving)
	assert.Equal(t, b.State(b.All("llm")[0]), StateHealthy)
	other := eventFrom("c", StateDraining)
	other[0].Address = "127.0.0.1:99"
	b.Merge(other)
	assert.Equal(t, b.State(b.All("llm")[0]), StateHealthy)
}

// TestEventsArePaged guards against an exchange that grows with the number of failed
// upstreams, and against events that are lost between pages.
func TestEventsArePaged(t *testing.T) {
	c := newFakeClock()
	n := 3*maxEventsPerExchange + 1
	table := newTable("self", c, n)
	for _, instance := range table.All("llm") {
		table.markDraining(instance, CauseDrainNotice, c.time)
	}
	seen := map[api.UpstreamID]bool{}
	since := uint64(0)
	for range 4 {
		var page []Event
		page, since = table.Events(since)
		assert.Assert(t, len(page) <= maxEventsPerExchange)
		for _, event := range page {
			seen[event.Upstream] = true
		}
	}
	assert.Equal(t, len(seen), n)
	page, _ := table.Events(since)
	assert.Equal(t, len(page), 0)
	// A restarted host numbers its events from the start again.
	page, _ = table.Events(since + 1000)
	assert.Equal(t, len(page), maxEventsPerExchange)
}

// TestHintsAreBounded guards against hints from every host about every upstream when a
// data centre fails.
func TestHintsAreBounded(t *testing.T) {
	c := newFakeClock()
	table := newTable("self", c, 4)
	for _, host := range []api.HostID{"a", "b", "c", "d", "e"} {
		table.Merge(eventFrom(host, StateEjected))
	}
	table.recordFailure(table.All("llm")[0], ReasonDial)
	assert.Equal(t, len(allEvents(table)), ejectionQuorum)
}
