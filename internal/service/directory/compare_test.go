//go:build !race

package directory

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"redwingloft/internal/data/fleet"
	"redwingloft/internal/plugin/memory"
	"redwingloft/pkg/api"
)

// comparison is what one fleet cost in a played minute.
type comparison struct {
	// start is the number of store calls of a host until the fleet has settled, without
	// renewals of leases; perSecond that of all hosts afterwards.
	start, perSecond float64
	// requests is the number of requests between hosts, for each host and second.
	requests float64
	// known is the longest time from a change of the document until the last host had it.
	known time.Duration
	// age is the highest age of a host's state at the store.
	age time.Duration
}

// playMinute plays a minute with a change of an upstream each second and of the document each
// ten seconds. With alone set, every host reads the store itself.
func playMinute(t *testing.T, hosts, centres int, alone bool) comparison {
	var c comparison
	synctest.Test(t, func(t *testing.T) {
		f := &feedFleet{kv: memory.New(), nodes: map[api.Address]*feedNode{}, hosts: fleetOf(hosts, centres), maxAge: 4 * time.Second}
		f.write(t, documentEntry(1, 0))
		for _, host := range f.hosts {
			node := f.newNode(host)
			if alone {
				node.FetchUpdate = nil
			}
			f.nodes[host.PeerAddress] = node
		}
		for _, node := range f.nodes {
			f.start(node)
		}
		time.Sleep(settleTime)
		c.start = float64(f.calls()) / float64(hosts)
		calls, requests := f.calls(), f.requests()
		const seconds = 60
		for second := range seconds {
			f.write(t, upstreamEntry(fmt.Sprint(second%20), fleet.StateReady, int64(second), 0))
			if second%10 == 5 {
				nodes := make([]*feedNode, 0, len(f.nodes))
				for _, node := range f.nodes {
					nodes = append(nodes, node)
				}
				c.known = max(c.known, f.knownEverywhere(t, second, nodes))
			}
			for _, node := range f.nodes {
				age, _ := node.Age()
				c.age = max(c.age, age)
			}
			time.Sleep(time.Second)
		}
		c.perSecond = float64(f.calls()-calls) / seconds
		c.requests = float64(f.requests()-requests) / seconds / float64(hosts)
		f.stop()
	})
	return c
}

// requests returns the number of requests between hosts so far.
func (f *feedFleet) requests() int64 {
	total := int64(0)
	for _, node := range f.nodes {
		total += node.Metrics.Counter("directory.feed_requests").Count()
	}
	return total
}

// allSizes adds the fleets that take long to play.
var allSizes = flag.Bool("all-sizes", false, "play the large fleets too")

// TestCompareWithoutFeed compares the feed with hosts that all read the store, at the sizes of
// known sites and of the target. It guards against a fleet that costs the store more with the
// feed than without, and prints the table of docs/design.md 12.1.
func TestCompareWithoutFeed(t *testing.T) {
	var table strings.Builder
	for _, size := range []struct{ hosts, centres int }{{7, 4}, {23, 6}, {67, 4}, {195, 6}, {350, 9}} {
		if size.hosts > 50 && !*allSizes {
			continue
		}
		with, without := playMinute(t, size.hosts, size.centres, false), playMinute(t, size.hosts, size.centres, true)
		for _, row := range []struct {
			name string
			comparison
		}{{"feed", with}, {"all read", without}} {
			fmt.Fprintf(&table, "| %d | %s | %.1f | %.1f | %.2f | %d | %d |\n", size.hosts, row.name, row.start, row.perSecond, row.requests, row.known.Milliseconds(), row.age.Milliseconds())
		}
		// A read, the lease, the registration, and a watch call in each joinDebounce of the
		// time in which hosts join.
		const maxStart = 3 + float64(joinTime/joinDebounce+1)
		assert.Assert(t, with.start <= maxStart, "%d hosts: %g calls", size.hosts, with.start)
		// Up to smallFleet hosts both ways are the same but for the order in which the hosts of
		// one instant run: a call for each change and host.
		if size.hosts <= smallFleet {
			assert.Assert(t, with.perSecond <= 1.1*float64(size.hosts), "%d hosts: %g calls a second", size.hosts, with.perSecond)
		} else {
			assert.Assert(t, with.start <= without.start, "%d hosts: %g and %g", size.hosts, with.start, without.start)
			assert.Assert(t, with.perSecond <= without.perSecond, "%d hosts: %g and %g", size.hosts, with.perSecond, without.perSecond)
		}
		assert.Assert(t, with.known <= time.Second && with.age <= 4*time.Second, "%d hosts", size.hosts)
	}
	t.Log("\n| hosts | way | calls a host at the start | calls a second | requests a host and second | last host knows, ms | highest age, ms |\n" + table.String())
}
