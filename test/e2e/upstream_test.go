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

// waitCounter waits until a counter of a host has at least the given value.
func waitCounter(t *testing.T, host *site.Host, least int64, names ...string) {
	t.Helper()
	assert.NilError(t, host.WaitCounter(least, bound, names...))
}

// counter returns a counter of a host.
func counter(t *testing.T, host *site.Host, name string) int64 {
	t.Helper()
	value, err := host.Counter(name)
	assert.NilError(t, err)
	return value
}

// requests returns the number of requests that an engine received.
func requests(t *testing.T, address string) int64 {
	t.Helper()
	stats, err := engine.ReadStats(address)
	assert.NilError(t, err)
	return stats.Requests
}

// answerPlan runs one pipeline on a host and checks its answer.
func answerPlan(t *testing.T, host *site.Host, number int) {
	t.Helper()
	input := fmt.Sprintf("plan visit %d", number)
	status, body := send(t, host, api.PathPipelines+"visit-plan/run", "port-of-spain", "", api.RunRequest{Input: input})
	assert.Equal(t, status, http.StatusOK, string(body))
	var answer api.RunAnswer
	assert.NilError(t, json.Unmarshal(body, &answer))
	assert.Equal(t, answer.Text, engine.Text(input, 32))
}

// TestSilentConnectionsMidStream guards against streams that hang or have a gap
// when the open connections to every engine go silent while new ones work.
func TestSilentConnectionsMidStream(t *testing.T) {
	s := startSite(t, "greenhand", site.Options{Hosts: 1, StandinFlags: []string{"--step-time", "30ms"}})
	caller := callerOf(s, "port-of-spain")
	defer caller.Close()
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	defer cancel()
	const streams = 4
	// Every stream has passed on a token when the connections go silent.
	var started, ended sync.WaitGroup
	started.Add(streams)
	answers, failures := make([]*client.Answer, streams), make([]error, streams)
	for i := range streams {
		ended.Go(func() {
			var first sync.Once
			request := api.RunRequest{Input: fmt.Sprintf("plan visit %d", i)}
			answers[i], failures[i] = caller.Stream(ctx, "visit-plan", request, func(api.TokenEvent) error {
				first.Do(started.Done)
				return nil
			})
		})
	}
	started.Wait()
	for _, address := range s.Engines() {
		assert.NilError(t, fleet.Inject(s.Control, address, injection.Fault{Mode: injection.ModeSilence}))
	}
	ended.Wait()
	for i := range streams {
		assert.NilError(t, failures[i])
		assert.Equal(t, answers[i].Text, engine.Text(fmt.Sprintf("plan visit %d", i), 32))
	}
	assert.Assert(t, counter(t, s.Hosts[0], "attempt_failed_silent") >= 1)
	assert.Equal(t, counter(t, s.Hosts[0], "upstream_suspect_silent"), int64(0))
}

// TestListedLeavingGetsNoWork guards against new work for an engine that the host
// list shows as leaving.
func TestListedLeavingGetsNoWork(t *testing.T) {
	s := startSite(t, "greenhand", site.Options{StandinFlags: []string{"--host-list-lag", "0s"}})
	leaving := s.Engines()[0]
	assert.NilError(t, fleet.MarkLeaving(s.Control, leaving))
	for _, host := range s.Hosts {
		// The first host that reads the list tells the others, which then learn of it from their peer.
		waitCounter(t, host, 1, "upstream_leaving_host_list", "upstream_leaving_peer")
	}
	before := requests(t, leaving)
	for i := range 60 {
		answerPlan(t, s.Hosts[i%len(s.Hosts)], i)
	}
	assert.Equal(t, requests(t, leaving), before)
}

// TestDrainNoticeEndsWork guards against new work for an engine after its drain
// notice, against requests that fail because of it, against hosts that do not
// tell each other of it, and against an engine that is not used again after its
// new start.
func TestDrainNoticeEndsWork(t *testing.T) {
	s := startSite(t, "greenhand", site.Options{Hosts: 2})
	host, draining := s.Hosts[0], s.Engines()[0]
	assert.NilError(t, fleet.Inject(s.Control, draining, injection.Fault{Mode: injection.ModeDraining}))
	number := 0
	for end := time.Now().Add(bound); counter(t, host, "upstream_leaving_notice") == 0; number++ {
		assert.Assert(t, time.Now().Before(end), "the engine gets no request")
		answerPlan(t, host, number)
	}
	waitCounter(t, s.Hosts[1], 1, "upstream_leaving_peer")
	for range 60 {
		number++
		answerPlan(t, s.Hosts[number%2], number)
	}
	assert.Equal(t, counter(t, s.Hosts[1], "attempt_failed_draining"), int64(0))
	// The one request that met the notice went on elsewhere.
	assert.Equal(t, counter(t, host, "attempt_failed_draining"), int64(1))
	// The notice on a health check, and then a clean answer, is a new start.
	waitCounter(t, host, 1, "probe_draining")
	assert.NilError(t, fleet.Clear(s.Control, draining))
	waitCounter(t, host, 1, "upstream_healthy_probe", "upstream_healthy_peer")
	before := requests(t, draining)
	for end := time.Now().Add(bound); requests(t, draining) == before; number++ {
		assert.Assert(t, time.Now().Before(end), "the engine gets no request")
		answerPlan(t, host, number)
	}
}
