package member

import (
	"context"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestAgreement interleaves partitions, outages, pauses, crashes, joins, drains, slow
// messages, commits and requests. It guards against two hosts that serve a workspace by
// different versions: once any host has started a request under a version, no host may
// start one under an older version.
func TestAgreement(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := emptyCluster()
		c.commit(true)
		for range rapid.IntRange(5, 7).Draw(t, "hosts") {
			c.addHost()
		}
		for range 40 {
			c.step(100 * time.Millisecond)
		}
		c.delayHook = func() {
			if rapid.IntRange(0, 15).Draw(t, "slow") == 0 {
				c.clock.advance(time.Duration(rapid.IntRange(1, 900).Draw(t, "delay")) * time.Millisecond)
			}
		}
		host := func(t *rapid.T) *node { return rapid.SampledFrom(c.hosts).Draw(t, "host") }
		// Requests run before and after each other action, because a fault shows only if two
		// hosts start requests at the right moments.
		requests := func() {
			for _, n := range c.hosts {
				if !n.dead && !n.paused {
					_ = c.startRequest(n)
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				if len(c.violations) > 0 {
					t.Fatalf("%v", c.violations)
				}
			},
			"request": func(t *rapid.T) {
				if n := host(t); !n.dead && !n.paused {
					_ = c.startRequest(n)
				}
			},
			"drive one": func(t *rapid.T) { host(t).runPeriodicTasks() },
			"step": func(t *rapid.T) {
				c.step(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
				requests()
			},
			"long step": func(t *rapid.T) {
				for range rapid.IntRange(1, 30).Draw(t, "steps") {
					c.step(500 * time.Millisecond)
					requests()
				}
			},
			"partition": func(t *rapid.T) { host(t).partition = rapid.IntRange(0, 1).Draw(t, "side") },
			"heal": func(*rapid.T) {
				for _, n := range c.hosts {
					n.partition, n.storeUnreachable = 0, false
				}
			},
			"cut off the store": func(t *rapid.T) { host(t).storeUnreachable = rapid.Bool().Draw(t, "cut") },
			"store":             func(t *rapid.T) { c.storeDown = rapid.Bool().Draw(t, "down") },
			"pause":             func(t *rapid.T) { host(t).paused = true },
			"resume": func(*rapid.T) {
				for _, n := range c.hosts {
					n.paused = false
				}
				requests()
			},
			"commit": func(t *rapid.T) {
				if !c.storeDown && len(c.snapshots) < 40 {
					c.commit(rapid.IntRange(0, 3).Draw(t, "move") > 0)
				}
			},
			"kill": func(t *rapid.T) {
				if c.runningHosts() > 4 {
					host(t).dead = true
				}
			},
			"join": func(*rapid.T) {
				if len(c.hosts) < 10 {
					c.addHost()
				}
			},
			"drain": func(t *rapid.T) {
				n := host(t)
				if c.runningHosts() < 5 || n.dead || n.paused {
					return
				}
				n.draining.Store(true)
				n.runPeriodicTasks()
				n.refuseRequests()
				n.runPeriodicTasks()
				_ = n.Deregister(context.Background())
				n.dead = true
			},
		})
	})
}

// runningHosts returns the number of hosts whose process has not ended.
func (c *cluster) runningHosts() int {
	count := 0
	for _, n := range c.hosts {
		if !n.dead {
			count++
		}
	}
	return count
}
