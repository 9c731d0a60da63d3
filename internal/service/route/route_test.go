package route

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"redwingloft/internal/data/document"
	"redwingloft/internal/service/upstream"
	"redwingloft/pkg/api"
)

// newTable returns a table with one group "llm" of n instances in two data centres.
func newTable(n int) *upstream.Table {
	group := &document.Group{Name: "llm"}
	for i := range n {
		group.Upstreams = append(group.Upstreams, document.Upstream{
			ID: api.UpstreamID(fmt.Sprintf("llm-%d", i)), Address: api.Address(fmt.Sprintf("127.0.0.1:%d", i+1)),
			DataCentre: api.DataCentre([]string{"a", "b"}[i%2]), Slots: 8,
		})
	}
	table := &upstream.Table{Host: "self"}
	table.Apply(&document.Snapshot{Groups: map[api.GroupName]*document.Group{"llm": group}})
	return table
}

// markDraining marks an instance as draining, as reported by another host.
func markDraining(table *upstream.Table, instance *upstream.Instance) {
	table.Merge([]upstream.Event{{Upstream: instance.ID, Address: instance.Address, State: upstream.StateDraining, Host: "other"}})
}

// scripted returns a random source that cycles through the given numbers.
func scripted(numbers ...int) func(int) int {
	next := 0
	return func(n int) int {
		number := numbers[next%len(numbers)]
		next++
		return number % n
	}
}

// TestPickNeverTakesTriedOrLeaving guards against a choice of an upstream that is draining
// or that the stage has already tried, for any mix of both.
func TestPickNeverTakesTriedOrLeaving(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "instances")
		table := newTable(n)
		all, old := table.All("llm"), table.AvailableInstances("llm")
		var avoid []*upstream.Instance
		left := n
		for _, instance := range all {
			switch rapid.IntRange(0, 2).Draw(t, "condition") {
			case 1:
				markDraining(table, instance)
				left--
			case 2:
				avoid = append(avoid, instance)
				left--
			}
		}
		chain := HashPrompt("llm", "m", string(make([]byte, 1024)))
		router := &Router{Prefixes: NewPrefixTable(64)}
		router.Prefixes.RecordRoute(all[rapid.IntRange(0, n-1).Draw(t, "owner")], chain)
		// Requests in flight may still use the list from before the change.
		for _, list := range [][]*upstream.Instance{old, table.AvailableInstances("llm")} {
			picked := router.Pick(list, Query{Avoid: avoid, Prefix: chain, Weights: document.Weights{Cost: 1}})
			assert.Equal(t, picked != nil, left > 0)
			if picked != nil {
				assert.Assert(t, picked.Available() && !avoided(picked, avoid))
			}
		}
	})
}

// TestPickIsDeterministic guards against a choice that depends on anything other than its
// inputs, which would make replays diverge.
func TestPickIsDeterministic(t *testing.T) {
	instances := newTable(10).AvailableInstances("llm")
	now := time.Unix(1_700_000_000, 0)
	for i, instance := range instances {
		instance.RecordLoad(float64(i)/10, now)
	}
	run := func() []api.UpstreamID {
		source := rand.New(rand.NewPCG(1, 2))
		router := &Router{Random: source.IntN, Clock: func() time.Time { return now.Add(time.Second) }}
		var ids []api.UpstreamID
		for range 100 {
			ids = append(ids, router.Pick(instances, Query{DataCentre: "a"}).ID)
		}
		return ids
	}
	assert.DeepEqual(t, run(), run())
}

// TestPickOrder guards against a term of the score that has the wrong sign or is missing.
func TestPickOrder(t *testing.T) {
	both := document.Weights{Attainment: 0.5, Cost: 0.5}
	chain := HashPrompt("llm", "m", string(make([]byte, 16<<10)))
	for _, c := range []struct {
		name    string
		prepare func(table *upstream.Table, list []*upstream.Instance, prefixes *PrefixTable)
		query   Query
		want    int
	}{
		{"less loaded", func(_ *upstream.Table, list []*upstream.Instance, _ *PrefixTable) { list[0].Begin() }, Query{}, 1},
		{"reported load", func(_ *upstream.Table, list []*upstream.Instance, _ *PrefixTable) {
			list[0].RecordLoad(0.5, time.Now())
		}, Query{}, 1},
		{"same data centre", func(*upstream.Table, []*upstream.Instance, *PrefixTable) {}, Query{DataCentre: "b"}, 1},
		{
			"prefix owner that was not drawn",
			func(_ *upstream.Table, list []*upstream.Instance, p *PrefixTable) { p.RecordRoute(list[3], chain) },
			Query{Prefix: chain, Weights: both},
			3,
		},
		{"overloaded prefix owner", func(_ *upstream.Table, list []*upstream.Instance, p *PrefixTable) {
			p.RecordRoute(list[3], chain)
			for range 32 {
				list[3].Begin()
			}
		}, Query{Prefix: chain, Weights: both}, 0},
		{"prefix owner without cache hits", func(_ *upstream.Table, list []*upstream.Instance, p *PrefixTable) {
			p.RecordRoute(list[3], chain)
			list[3].Begin()
			for range 50 {
				p.RecordResponse(list[3], chain, chain.Tokens, 4096, 0)
			}
		}, Query{Prefix: chain, Weights: both}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			table := newTable(4)
			list := table.AvailableInstances("llm")
			router := &Router{Random: scripted(0, 1), Prefixes: NewPrefixTable(1024)}
			c.prepare(table, list, router.Prefixes)
			assert.Equal(t, router.Pick(list, c.query), list[c.want])
		})
	}
}

// TestOldReportsLoseWeight guards against an old load report that keeps deciding the choice,
// so that all requests go to the upstreams with a low reported load.
func TestOldReportsLoseWeight(t *testing.T) {
	list := newTable(2).AvailableInstances("llm")
	start := time.Now()
	list[0].RecordLoad(1, start)
	list[1].Begin()
	router := &Router{Random: scripted(0, 1), Clock: func() time.Time { return start }}
	assert.Equal(t, router.Pick(list, Query{}), list[1])
	router.Clock = func() time.Time { return start.Add(time.Minute) }
	assert.Equal(t, router.Pick(list, Query{}), list[0])
}

// BenchmarkPick measures a choice among 1,500 instances, a tenth of which is draining, for a
// prompt of 64 blocks with a known owner.
func BenchmarkPick(b *testing.B) {
	table := newTable(1500)
	old := table.AvailableInstances("llm")
	for i, instance := range table.All("llm") {
		instance.RecordLoad(float64(i%10)/10, time.Now())
		if i%10 == 0 {
			markDraining(table, instance)
		}
	}
	chain := HashPrompt("llm", "m", string(make([]byte, 64*blockBytes)))
	router := &Router{Prefixes: NewPrefixTable(0)}
	router.Prefixes.RecordRoute(table.AvailableInstances("llm")[7], chain)
	query := Query{Prefix: chain, Weights: document.Weights{Attainment: 0.6, Cost: 0.4}, DataCentre: "a", Avoid: old[:2]}
	b.ReportAllocs()
	for b.Loop() {
		if router.Pick(table.AvailableInstances("llm"), query) == nil {
			b.Fatal("no instance")
		}
	}
}

// TestPickAllocatesNothing guards against heap allocations per choice.
func TestPickAllocatesNothing(t *testing.T) {
	list := newTable(1500).AvailableInstances("llm")
	chain := HashPrompt("llm", "m", string(make([]byte, 64*blockBytes)))
	router := &Router{Prefixes: NewPrefixTable(0)}
	router.Prefixes.RecordRoute(list[7], chain)
	query := Query{Prefix: chain, Weights: document.Weights{Attainment: 1, Cost: 1}, DataCentre: "a", Avoid: list[:2]}
	assert.Equal(t, testing.AllocsPerRun(1000, func() { router.Pick(list, query) }), 0.0)
}
