package upstream

import (
	"encoding/json"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingloft/pkg/api"
)

// events returns all news of a table.
func events(table *Table) []Event {
	list, _ := table.Events(0)
	return list
}

func hosts(events []Event) []api.HostID {
	var list []api.HostID
	for _, event := range events {
		list = append(list, event.Host)
	}
	return list
}

// news returns an event about the first upstream.
func news(host api.HostID, state State) []Event {
	return []Event{{Upstream: "llm-0", Address: "127.0.0.1:1", State: state, Host: host}}
}

// TestHintsOfTwoHostsEject guards against one host that takes an upstream away
// from all others, and against hints that are passed on as if seen by oneself.
func TestHintsOfTwoHostsEject(t *testing.T) {
	c := newClock()
	a, b, self := newTable("a", c, 4), newTable("b", c, 4), newTable("self", c, 4)
	a.failed(a.All("llm")[0], ReasonDial)
	self.Merge(events(a))
	c.advance(100 * time.Millisecond)
	self.Merge(events(a))
	assert.Equal(t, len(self.Group("llm")), 4)
	b.failed(b.All("llm")[0], ReasonDial)
	self.Merge(events(b))
	assert.Equal(t, len(self.Group("llm")), 3)
	assert.DeepEqual(t, hosts(events(self)), []api.HostID{"a", "b"})
	// The first prober that finds the upstream healthy ends the majority.
	c.advance(firstEjection)
	a.probed(a.All("llm")[0], probeGood)
	self.Merge(events(a))
	assert.Equal(t, len(self.Group("llm")), 4)
}

// TestOldHintsEnd guards against hints of hosts that are gone.
func TestOldHintsEnd(t *testing.T) {
	c := newClock()
	table := newTable("self", c, 4)
	table.Prober = func(api.UpstreamID) bool { return false }
	table.Merge(news("a", StateEjected))
	table.Merge(news("b", StateEjected))
	c.advance(hintLife - time.Second)
	table.sweep()
	assert.Equal(t, table.State(table.All("llm")[0]), StateEjected)
	c.advance(2 * time.Second)
	table.sweep()
	assert.Equal(t, table.State(table.All("llm")[0]), StateSuspect)
}

// TestLeavingSpreadsOverHosts guards against news that stops at the first hop,
// that goes around for ever, or that a joining host misses.
func TestLeavingSpreadsOverHosts(t *testing.T) {
	c := newClock()
	tables := []*Table{newTable("a", c, 4), newTable("b", c, 4), newTable("c", c, 4)}
	tables[0].leave(tables[0].All("llm")[1], CauseNotice, c.time)
	c.advance(300 * time.Millisecond)
	sent, since := tables[0].Events(0)
	encoded, err := json.Marshal(sent[0])
	assert.NilError(t, err)
	assert.Equal(t, string(encoded), `{"upstream":"llm-1","address":"127.0.0.1:2","state":"leaving","host":"a","age_ms":300}`)
	tables[1].Merge(sent)
	onward := events(tables[1])
	// Two ways with different transit times carry the same news.
	c.advance(40 * time.Millisecond)
	tables[2].Merge(onward)
	tables[2].Merge(sent)
	assert.Equal(t, tables[2].State(tables[2].All("llm")[1]), StateLeaving)
	tables[0].Merge(events(tables[2]))
	sent, _ = tables[0].Events(since)
	assert.Equal(t, len(sent), 0)
	for _, host := range []api.HostID{"d", "a"} { // a new host, and the first one after a restart
		joining := &Table{Host: host, Clock: c.now}
		joining.Merge(events(tables[2]))
		joining.Apply(snapshotOf(addresses(4)...))
		assert.Equal(t, len(joining.Group("llm")), 3)
	}
}

// TestStartedEndsLeaving guards against a stale leaving mark that wins over the
// new start, in either order of arrival, and against a recovery from an
// ejection that ends a leaving mark.
func TestStartedEndsLeaving(t *testing.T) {
	c := newClock()
	a, b := newTable("a", c, 4), newTable("b", c, 4)
	a.leave(a.All("llm")[0], CauseNotice, c.time)
	left := events(a)
	c.advance(3 * time.Second)
	a.started(a.All("llm")[0], CauseHostList)
	left[0].AgeMs = 3000
	b.Merge(left)
	b.Merge(news("c", StateHealthy))
	assert.Equal(t, b.State(b.All("llm")[0]), StateLeaving)
	b.Merge(events(a))
	assert.Equal(t, b.State(b.All("llm")[0]), StateHealthy)
	b.Merge(left)
	left[0].AgeMs = math.MaxInt64 // a wrong age must not become a time in the future
	b.Merge(left)
	assert.Equal(t, b.State(b.All("llm")[0]), StateHealthy)
	other := news("c", StateLeaving)
	other[0].Address = "127.0.0.1:99"
	b.Merge(other)
	assert.Equal(t, b.State(b.All("llm")[0]), StateHealthy)
}

// TestEventsComeInPages guards against an exchange that grows with the number of
// failed upstreams, and against pages that lose news.
func TestEventsComeInPages(t *testing.T) {
	c := newClock()
	n := 3*maxEvents + 1
	table := newTable("self", c, n)
	for _, instance := range table.All("llm") {
		table.leave(instance, CauseNotice, c.time)
	}
	seen := map[api.UpstreamID]bool{}
	since := uint64(0)
	for range 4 {
		var page []Event
		page, since = table.Events(since)
		assert.Assert(t, len(page) <= maxEvents)
		for _, event := range page {
			seen[event.Upstream] = true
		}
	}
	assert.Equal(t, len(seen), n)
	page, _ := table.Events(since)
	assert.Equal(t, len(page), 0)
	// A restarted host counts from the start again.
	page, _ = table.Events(since + 1000)
	assert.Equal(t, len(page), maxEvents)
}

// TestHintsAreBounded guards against news of every host about every upstream
// when a data centre fails.
func TestHintsAreBounded(t *testing.T) {
	c := newClock()
	table := newTable("self", c, 4)
	for _, host := range []api.HostID{"a", "b", "c", "d", "e"} {
		table.Merge(news(host, StateEjected))
	}
	table.failed(table.All("llm")[0], ReasonDial)
	assert.Equal(t, len(events(table)), hintsToEject)
}
