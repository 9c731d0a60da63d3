package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingloft/pkg/api"
	"redwingloft/pkg/client"
	"redwingloft/standin/engine"
	"redwingloft/standin/fleet"
	"redwingloft/standin/injection"
	"redwingloft/standin/site"
)

// waitCounter waits until the sum of the named counters of a host is at least minimum.
func waitCounter(t *testing.T, host *site.Host, minimum int64, names ...string) {
	t.Helper()
	assert.NilError(t, host.WaitCounter(minimum, waitTimeout, names...))
}

// counter returns the value of a counter of a host.
func counter(t *testing.T, host *site.Host, name string) int64 {
	t.Helper()
	value, err := host.Counter(name)
	assert.NilError(t, err)
	return value
}

// engineRequests returns the number of requests that an engine received.
func engineRequests(t *testing.T, address string) int64 {
	t.Helper()
	stats, err := engine.ReadStats(address)
	assert.NilError(t, err)
	return stats.Requests
}

// checkVisitPlan runs one pipeline on a host and checks its response.
func checkVisitPlan(t *testing.T, host *site.Host, number int) {
	t.Helper()
	input := fmt.Sprintf("plan visit %d", number)
	status, body := send(t, host, api.PathPipelines+"visit-plan/run", "port-of-spain", "", api.RunRequest{Input: input})
	assert.Equal(t, status, http.StatusOK, string(body))
	var response api.RunAnswer
	assert.NilError(t, json.Unmarshal(body, &response))
	assert.Equal(t, response.Text, engine.Text(input, 32))
}

// TestStalledConnectionsMidStream guards against streams that hang or have a gap when the
// open connections to every engine stall while new ones work.
func TestStalledConnectionsMidStream(t *testing.T) {
	s := startSite(t, "greenhand", site.Options{Hosts: 1, StandinFlags: []string{"--step-time", "30ms"}})
	caller := newClient(s, "port-of-spain")
	defer caller.Close()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	const streams = 4
	// Every stream has forwarded a token before the connections stall.
	var started, ended sync.WaitGroup
	started.Add(streams)
	responses, errs := make([]*client.Answer, streams), make([]error, streams)
	for i := range streams {
		ended.Go(func() {
			var first sync.Once
			request := api.RunRequest{Input: fmt.Sprintf("plan visit %d", i)}
			responses[i], errs[i] = caller.Stream(ctx, "visit-plan", request, func(api.TokenEvent) error {
				first.Do(started.Done)
				return nil
			})
		})
	}
	started.Wait()
	for _, address := range s.EngineAddresses() {
		assert.NilError(t, fleet.Inject(s.ControlAddress, address, injection.Fault{Mode: injection.ModeStall}))
	}
	ended.Wait()
	for i := range streams {
		assert.NilError(t, errs[i])
		assert.Equal(t, responses[i].Text, engine.Text(fmt.Sprintf("plan visit %d", i), 32))
	}
	assert.Assert(t, counter(t, s.Hosts[0], "attempt_failed_silent") >= 1)
	assert.Equal(t, counter(t, s.Hosts[0], "upstream_suspect_silent"), int64(0))
}

// TestHostListLeavingStopsNewRequests guards against new requests to an engine that the
// host list shows as leaving.
func TestHostListLeavingStopsNewRequests(t *testing.T) {
	s := startSite(t, "greenhand", site.Options{StandinFlags: []string{"--host-list-lag", "0s"}})
	leaving := s.EngineAddresses()[0]
	assert.NilError(t, fleet.MarkDraining(s.ControlAddress, leaving))
	for _, host := range s.Hosts {
		// The first host that reads the list notifies the others, which then count it as reported by a peer.
		waitCounter(t, host, 1, "upstream_leaving_host_list", "upstream_leaving_peer")
	}
	before := engineRequests(t, leaving)
	for i := range 60 {
		checkVisitPlan(t, s.Hosts[i%len(s.Hosts)], i)
	}
	assert.Equal(t, engineRequests(t, leaving), before)
}

// TestDrainNoticeStopsNewRequests guards against new requests to an engine after its drain
// notice, against requests that fail because of the notice, against hosts that do not
// share it with each other, and against an engine that is not used again after it
// restarts.
func TestDrainNoticeStopsNewRequests(t *testing.T) {
	s := startSite(t, "greenhand", site.Options{Hosts: 2})
	host, draining := s.Hosts[0], s.EngineAddresses()[0]
	assert.NilError(t, fleet.Inject(s.ControlAddress, draining, injection.Fault{Mode: injection.ModeDraining}))
	number := 0
	for end := time.Now().Add(waitTimeout); counter(t, host, "upstream_leaving_notice") == 0; number++ {
		assert.Assert(t, time.Now().Before(end), "the engine received no request")
		checkVisitPlan(t, host, number)
	}
	waitCounter(t, s.Hosts[1], 1, "upstream_leaving_peer")
	for range 60 {
		number++
		checkVisitPlan(t, s.Hosts[number%2], number)
	}
	assert.Equal(t, counter(t, s.Hosts[1], "attempt_failed_draining"), int64(0))
	// The one request that received the notice continued on another engine.
	assert.Equal(t, counter(t, host, "attempt_failed_draining"), int64(1))
	// A drain notice on a health check, followed by a response without one, counts as a restart.
	waitCounter(t, host, 1, "probe_draining")
	assert.NilError(t, fleet.Clear(s.ControlAddress, draining))
	waitCounter(t, host, 1, "upstream_healthy_probe", "upstream_healthy_peer")
	before := engineRequests(t, draining)
	for end := time.Now().Add(waitTimeout); engineRequests(t, draining) == before; number++ {
		assert.Assert(t, time.Now().Before(end), "the engine received no request")
		checkVisitPlan(t, host, number)
	}
}
