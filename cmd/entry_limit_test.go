package cmd

import (
	"bufio"
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingloft/internal/data/store"
	wire "redwingloft/platform"
	"redwingloft/standin/platform"
)

const (
	// namedLimit is the limit that limited upstreams name, in requests a second.
	namedLimit = 2
	// limitWindow is the time over which requests are counted, and maxInWindow how many may come
	// in it: one and a half times the limit, and five more.
	limitWindow = 4 * time.Second
	maxInWindow = 1.5*namedLimit*4 + 5
	// limitLoadTime is the time for which requests are sent, loadInterval that between two of them.
	limitLoadTime = contactTime + 6*time.Second
	loadInterval  = 25 * time.Millisecond
)

// arrivals records when requests reach an upstream.
type arrivals struct {
	mu sync.Mutex
	at []time.Time
}

func (a *arrivals) add() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.at = append(a.at, time.Now())
}

// most returns the most requests in a window after a time.
func (a *arrivals) most(after time.Time, window time.Duration) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	most := 0
	for i, first := range a.at {
		count := 0
		for _, at := range a.at[i:] {
			if at.Sub(first) < window {
				count++
			}
		}
		if first.After(after) {
			most = max(most, count)
		}
	}
	return most
}

// TestNamedLimitIsKeptByAllHostsTogether guards against an upstream that gets more requests than
// the limit that it names, from one host or from several together.
func TestNamedLimitIsKeptByAllHostsTogether(t *testing.T) {
	s := startSite(t)
	addresses := []string{s.settings.Caller.Listen}
	stopped := make(chan error, 2)
	for i := range 2 {
		_, other := s.startHost(t, fmt.Sprint("host-", i+2), stopped)
		addresses = append(addresses, other.Caller.Listen)
	}
	var limited [2]arrivals
	for i := range limited {
		s.startUpstreamAs(t, fmt.Sprint("plain-", i), "plain", func(w *bufio.Writer, run platform.Request) bool {
			limited[i].add()
			fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: 1.2.3\r\nServer-Limit: %d.0\r\nContent-Length: 2\r\n\r\nok", wire.HeaderRequestID,
				run.Header.Get(wire.HeaderRequestID), wire.HeaderDigest, namedLimit)
			return true
		})
	}
	start := time.Now()
	var requests sync.WaitGroup
	for i := 0; time.Since(start) < limitLoadTime; i++ {
		requests.Go(func() { callHost(t, addresses[i%len(addresses)], "/book/1", fmt.Sprint("r", i), nil) })
		time.Sleep(loadInterval)
	}
	requests.Wait()
	for i := range limited {
		most := limited[i].most(start.Add(contactTime), limitWindow)
		assert.Assert(t, most <= maxInWindow, "upstream %d got %d requests in %s", i, most, limitWindow)
		assert.Assert(t, most > 0, "upstream %d got no requests", i)
	}
	s.stop(t)
	<-stopped
	<-stopped
}

// TestLimitOfUpstreamThatRegistersAgainIsKept guards against a limit that is forgotten while its upstream is not registered.
func TestLimitOfUpstreamThatRegistersAgainIsKept(t *testing.T) {
	s := startSite(t)
	u := s.replace(t, s.plain, "plain", "200 OK", "Server-Limit: 1")
	upstream := s.host.directory.View().Ready("plain")[0]
	s.call(t, "/book/1", "a", nil)
	time.Sleep(sweepInterval * 3 / 2)
	_, err := s.store.Inner.Txn(context.Background(), store.Txn{Deletes: []string{wire.PrefixUpstream + string(u.Entry.ID)}})
	assert.NilError(t, err)
	s.eventually(t, "the removal", func() bool { return !s.host.directory.View().Has(upstream.Incarnation()) })
	time.Sleep(sweepInterval * 3 / 2)
	assert.Equal(t, s.host.throttle.Limit(upstream), 1.0)
	s.stop(t)
}
