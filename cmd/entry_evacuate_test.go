package cmd

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingloft/internal/data/store"
	"redwingloft/pkg/api"
	wire "redwingloft/platform"
	"redwingloft/standin/platform"
)

// evacuateTime is the time after an evacuation is acknowledged from which its upstreams get nothing.
const evacuateTime = 2 * time.Second

// evacuable is a data centre of a site with an upstream of each service.
type evacuable struct {
	requests arrivals
}

// start starts the upstreams of the data centre.
func (e *evacuable) start(t *testing.T, s *site, centre string) {
	t.Helper()
	var upstreams [3]*platform.Upstream
	for i, service := range []string{"plain", "stage", "engine"} {
		upstreams[i] = &platform.Upstream{Handle: func(w *bufio.Writer, run platform.Request) bool {
			if run.Path != wire.PathStageFree {
				e.requests.add()
			}
			switch service {
			case "plain":
				platform.WriteResponse(w, run.Header.Get(wire.HeaderRequestID), 200, "booked")
			case "stage":
				return s.runStage(w, run, upstreams[i])
			case "engine":
				platform.WriteEvents(w, run.Header.Get(wire.HeaderRequestID), 1, 5, true, time.Millisecond)
			}
			return true
		}}
		assert.NilError(t, upstreams[i].Start())
		t.Cleanup(upstreams[i].Close)
		upstreams[i].Entry.ID = api.UpstreamID(service + "-" + centre)
		s.writeUpstreamIn(t, upstreams[i], service, "ready", centre, 0)
	}
}

// TestEvacuatedDataCentreGetsNothing guards against requests, streams and stage calls for the
// upstreams of a data centre that the operator has evacuated, from hosts that run, start, or have lost
// the store, and against a data centre that gets none after its return.
func TestEvacuatedDataCentreGetsNothing(t *testing.T) {
	s := startSiteWith(t, map[string]string{"bounds.evacuateMs": fmt.Sprint(evacuateTime.Milliseconds())})
	var b evacuable
	b.start(t, s, "b")
	stopped := make(chan error, 2)
	_, second := s.startHost(t, "host-2", stopped)
	addresses := []string{s.settings.Caller.Listen, second.Caller.Listen}
	ctx, cancel := context.WithCancel(context.Background())
	var load sync.WaitGroup
	defer load.Wait()
	defer cancel()
	send := func(address string) {
		for i := 0; ctx.Err() == nil; i++ {
			callHost(t, address, "/book/1", fmt.Sprint(address, "-book-", i), nil)
			callHost(t, address, "/plan/1", fmt.Sprint(address, "-plan-", i), map[string]string{wire.HeaderItems: "2,3", wire.HeaderItemKey: "k"})
		}
	}
	for _, address := range addresses {
		load.Go(func() { send(address) })
	}
	s.eventually(t, "requests before the evacuation", func() bool { return b.requests.since(time.Time{}) > 10 })

	s.write(t, wire.PrefixEvacuation+"b", "{}")
	s.write(t, wire.PrefixEvacuation+"nowhere", "{}")
	acknowledged := time.Now()
	_, third := s.startHost(t, "host-3", stopped)
	load.Go(func() { send(third.Caller.Listen) })
	time.Sleep(time.Until(acknowledged.Add(evacuateTime)))
	s.store.Down.Store(true)
	time.Sleep(evacuateTime)
	assert.Equal(t, b.requests.since(acknowledged.Add(evacuateTime)), 0)
	assert.Equal(t, s.host.metrics.Counter("directory.evacuations_unknown").Count(), int64(1))
	assert.Assert(t, s.log.contains("evacuation_began"))

	s.store.Down.Store(false)
	s.write(t, wire.PrefixEvacuation+"a", "{}")
	s.eventually(t, "the evacuation of both", func() bool {
		status, _, header := s.call(t, "/plan/1", "both", map[string]string{wire.HeaderItems: "2,3", wire.HeaderItemKey: "k"})
		return status == http.StatusServiceUnavailable && header.Get("Retry-After") != ""
	})
	s.remove(t, wire.PrefixEvacuation+"a")
	s.remove(t, wire.PrefixEvacuation+"b")
	after := time.Now()
	s.eventually(t, "requests after the return", func() bool { return b.requests.since(after) > 10 })
	assert.Assert(t, s.log.contains("evacuation_ended"))
	cancel()
	load.Wait()
	s.stop(t)
	<-stopped
	<-stopped
}

// since returns the number of requests that arrived after a time.
func (a *arrivals) since(after time.Time) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	count := 0
	for _, at := range a.at {
		if at.After(after) {
			count++
		}
	}
	return count
}

// remove deletes a key of the store.
func (s *site) remove(t *testing.T, key string) {
	t.Helper()
	_, err := s.store.Inner.Txn(context.Background(), store.Txn{Deletes: []string{key}})
	assert.NilError(t, err)
}
