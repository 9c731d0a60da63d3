package cmd

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingloft/internal/helper/clock"
	"redwingloft/internal/service/drain"
	wire "redwingloft/platform"
	"redwingloft/standin/platform"
)

// waitingSite is a site whose requests wait, each route in another way, for longer than its host drains.
type waitingSite struct {
	*site
	// hold is closed at the end of the test. Upstreams that are stuck wait for it.
	hold chan struct{}
	// fetched is set once an engine has reported that the inputs of a request are gone.
	fetched atomic.Bool
	// runners are the upstreams that run requests.
	runners []*platform.Upstream
}

// reached returns the ids of the requests that upstreams got and did not refuse.
func (w *waitingSite) reached() []string {
	var ids []string
	for _, u := range w.runners {
		ids = append(ids, u.RequestIDs()...)
	}
	return ids
}

// waitingRoutes lists the paths of the site, by what their requests wait for.
var waitingRoutes = map[string]string{
	"a call of a stage":                 "/stage/1",
	"the results of stages run again":   "/again/1",
	"the first event of an engine":      "/engine/1",
	"the response to a lookup":          "/look/1",
	"the response to an order":          "/order/1",
	"a late engine after its stages":    "/late/1",
	"an engine that resumes the stream": "/resume/1",
}

func startWaitingSite(t *testing.T) *waitingSite {
	t.Helper()
	w := &waitingSite{site: startSiteWith(t, map[string]string{"bounds.graceS": "4"}), hold: make(chan struct{})}
	t.Cleanup(func() { close(w.hold) })
	stuck := func(*bufio.Writer, platform.Request) bool {
		<-w.hold
		return false
	}
	w.startUpstreamAs(t, "stuck", "stuck", stuck)
	silent := w.startUpstreamAs(t, "silent", "silent", stuck)
	w.startUpstreamAs(t, "forgetful", "forgetful", func(out *bufio.Writer, run platform.Request) bool {
		if w.fetched.Load() {
			return stuck(out, run)
		}
		return w.runStage(out, run, w.stage)
	})
	w.startUpstreamAs(t, "picky", "picky", func(out *bufio.Writer, run platform.Request) bool {
		w.fetched.Store(true)
		fmt.Fprintf(out, "HTTP/1.1 409 Conflict\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", wire.HeaderRequestID, run.Header.Get(wire.HeaderRequestID), wire.HeaderNotRun)
		return true
	})
	broken := w.startUpstreamAs(t, "broken", "broken", func(out *bufio.Writer, run platform.Request) bool {
		platform.WriteEvents(out, run.Header.Get(wire.HeaderRequestID), 1, 2, false, time.Millisecond)
		_ = out.Flush()
		<-w.hold
		return false
	})
	w.runners = []*platform.Upstream{w.engine, silent, broken}
	route := func(name, kind, service, stages string) string {
		return fmt.Sprintf(`{"name":%q,"host":"h","pathPrefix":"/%[1]s/","kind":%q,"timeoutMs":20000,"sloMs":5000,"maxAttempts":2,"service":%q,"resumable":%t%s}`,
			name, kind, service, name == "resume" || name == "engine", stages)
	}
	stage := func(service string) string {
		return fmt.Sprintf(`,"stages":[{"service":%q,"after":[],"bytes":1000}]`, service)
	}
	segments := `"segments":{"slots":1,"queue":2,"batch":1,"callMs":20,"itemMs":1,"headroomMb":1,"handleS":30}`
	w.write(t, wire.KeyDocument, `{"version":2,"routes":[`+strings.Join([]string{
		route("stage", "streaming", "engine", stage("stuck")), route("again", "streaming", "picky", stage("forgetful")),
		route("engine", "streaming", "silent", ""), route("look", "idempotent", "silent", ""), route("order", "non_idempotent", "silent", ""),
		route("late", "streaming", "silent", stage("stage")), route("resume", "streaming", "broken", stage("forgetful")),
	}, ",")+`],"services":[{"name":"engine"},{"name":"silent"},{"name":"picky"},{"name":"broken"},{"name":"stuck",`+segments+`},{"name":"forgetful",`+segments+`},{"name":"stage",`+segments+`}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1000000,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"w","apiKeys":["k"]}]}`)
	w.eventually(t, "the new version", func() bool {
		view := w.host.directory.View()
		return view.Snapshot != nil && view.Snapshot.Revision == 2
	})
	return w
}

// ending is the end of a request at its caller.
type ending struct {
	id, path string
	status   int
	// events counts the events of a stream that was cut.
	events int
	// err is not nil if the connection ended without a whole response.
	err   error
	after time.Duration
}

// send sends a request and reports its end.
func (w *waitingSite) send(address, path, id string, ended chan<- ending) {
	started := time.Now()
	e := ending{id: id, path: path}
	defer func() {
		e.after = time.Since(started)
		ended <- e
	}()
	request, err := http.NewRequest(http.MethodPost, "http://"+address+path, strings.NewReader("x"))
	if err != nil {
		e.err = err
		return
	}
	request.Host, request.GetBody = "h", nil
	for name, value := range map[string]string{
		wire.HeaderRequestID: id, wire.HeaderDeadline: "20000", "Authorization": "Bearer k", wire.HeaderItems: "1", wire.HeaderItemKey: "k",
	} {
		request.Header.Set(name, value)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		e.err = err
		return
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	e.status, e.events, e.err = response.StatusCode, strings.Count(string(body), "data:"), err
}

// check checks that a request whose host has drained has a whole response, and that it is true. Only a stream
// that has begun may be cut.
func (e *ending) check(t *testing.T, reached []string) {
	t.Helper()
	if e.path == waitingRoutes["an engine that resumes the stream"] {
		assert.Check(t, e.err == nil || e.events > 0, "%s ended without an event: %v", e.id, e.err)
		return
	}
	if !assert.Check(t, e.err, "%s (%s) got no whole response after %s", e.id, e.path, e.after) {
		return
	}
	switch e.status {
	case http.StatusOK, http.StatusBadGateway, http.StatusGatewayTimeout:
	case http.StatusServiceUnavailable:
		assert.Check(t, !slices.Contains(reached, e.id), "%s (%s) was refused as not run, but an upstream got it", e.id, e.path)
	default:
		t.Errorf("%s (%s) got %d", e.id, e.path, e.status)
	}
}

// TestDrainEndsAllWaits guards against requests that a draining host has accepted and that get neither a
// response nor a refusal because they wait for longer than the host drains: for a stage, for results that are
// made again, for the first event or the response of an upstream.
func TestDrainEndsAllWaits(t *testing.T) {
	w := startWaitingSite(t)
	ended := make(chan ending, 4*len(waitingRoutes))
	sent := 0
	sendAll := func(when string) {
		for what, path := range waitingRoutes {
			sent++
			go w.send(w.settings.Caller.Listen, path, when+" "+what, ended)
		}
	}
	sendAll("before the signal")
	w.eventually(t, "the requests", func() bool { return w.host.callerHandler.InProgress.Load() >= int64(sent) })
	// The first of them are at their upstreams.
	time.Sleep(100 * time.Millisecond)
	w.signal(t)
	w.eventually(t, "the drain", w.host.draining.Load)
	sendAll("after the signal")
	w.awaitStop(t)
	// The streams that have begun are cut with the process, which a test does not end.
	w.host.callerServer.Close()
	for range sent {
		e := <-ended
		e.check(t, w.reached())
	}
}

// TestDrainEndsWaitsAtOtherHost guards against requests that a draining host loses because another host
// schedules their stages and knows nothing of the drain.
func TestDrainEndsWaitsAtOtherHost(t *testing.T) {
	w := startWaitingSite(t)
	stopped := make(chan error, 1)
	second, settings := w.startHost(t, "host-2", stopped)
	w.eventually(t, "both hosts", func() bool { return len(second.directory.View().Hosts) == 2 })
	const requests = 3
	ended := make(chan ending, requests)
	for i := range requests {
		go w.send(settings.Caller.Listen, waitingRoutes["a call of a stage"], fmt.Sprint("r", i), ended)
	}
	w.eventually(t, "the jobs", func() bool { return w.host.peerHandler.InProgress.Load() == requests })
	second.drain(context.Background())
	second.callerServer.Close()
	for range requests {
		e := <-ended
		assert.Check(t, e.err, "%s got no response", e.id)
		assert.Check(t, e.status == http.StatusServiceUnavailable, "%s got %d", e.id, e.status)
	}
	w.eventually(t, "the end of the jobs", func() bool { return w.host.peerHandler.InProgress.Load() == 0 })
	w.stop(t)
	<-stopped
}

// TestDrainingHostRefusesByArrival guards against a request that is accepted later than a draining host
// accepts any, because the host looks at the time in intervals, and that is cut at the end.
func TestDrainingHostRefusesByArrival(t *testing.T) {
	s := startSite(t)
	now := clock.Now()
	s.host.drainSchedule.Begin(drain.Times{AcceptUntil: now, End: now.Add(time.Minute)})
	for _, path := range []string{"/plan/1", "/book/1"} {
		status, _, header := s.call(t, path, path, map[string]string{wire.HeaderItems: "1,1", wire.HeaderItemKey: "k"})
		assert.Equal(t, status, http.StatusServiceUnavailable)
		assert.Assert(t, header.Get("Retry-After") != "")
	}
	assert.Equal(t, len(s.engine.Requests())+len(s.plain.Requests()), 0)
}
