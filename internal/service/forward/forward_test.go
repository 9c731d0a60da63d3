package forward

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingloft/internal/data/fleet"
	"redwingloft/internal/data/store"
	"redwingloft/internal/helper/clock"
	"redwingloft/internal/helper/dial"
	"redwingloft/internal/helper/fault"
	"redwingloft/internal/helper/logging"
	"redwingloft/internal/helper/metric"
	"redwingloft/internal/service/directory"
	"redwingloft/pkg/api"
	wire "redwingloft/platform"
	"redwingloft/standin/platform"
)

// fixture is a service with fake upstreams.
type fixture struct {
	*Service
	upstreams []*platform.Upstream
	prepared  int
}

// newFixture starts an upstream for each handler and a service with the given route.
func newFixture(t *testing.T, route fleet.Route, handlers ...func(*bufio.Writer, platform.Request) bool) *fixture {
	t.Helper()
	f := &fixture{}
	state := directory.State{Decoder: directory.Decoder{
		DocumentKey:    "document",
		Document:       func([]byte) (*fleet.Document, error) { return documentWith(route), nil },
		UpstreamPrefix: "upstream/",
		Upstream: func(key string, _ []byte) (*fleet.Upstream, error) {
			for _, u := range f.upstreams {
				if key == "upstream/"+string(u.Entry.ID) {
					entry := u.Entry
					return &entry, nil
				}
			}
			return nil, fmt.Errorf("unknown")
		},
		HostPrefix: "host/",
	}}
	entries := []store.Entry{{Key: "document", Version: 1}}
	for i, handle := range handlers {
		u := &platform.Upstream{Handle: handle, Entry: fleet.Upstream{
			ID: api.UpstreamID(fmt.Sprintf("u%d", i)), Service: "svc", Slots: 4, State: fleet.StateReady,
		}}
		assert.NilError(t, u.Start())
		t.Cleanup(u.Close)
		f.upstreams = append(f.upstreams, u)
		entries = append(entries, store.Entry{Key: "upstream/" + string(u.Entry.ID), Version: store.Version(i + 2)})
	}
	state.Replace(entries, 10, time.Now(), time.Time{})
	view := state.View()
	f.Service = &Service{
		View: func() *directory.View { return view }, Pool: &Pool{Dial: dial.New(time.Second)}, Health: &HealthTable{},
		Codec:  Codec{WriteRequestHeader: wire.WriteRequestHeader, DecodeReply: wire.DecodeReply, CopyResponseHeader: wire.CopyResponseHeader, WriteInternalRequest: wire.WriteInternalRequest},
		Budget: &Budget{Ratio: 1, Slack: 100, Window: 10 * time.Second}, Log: logging.Discard(), Metrics: metric.New(),
		RunStages: func(context.Context, *StageWork) (*StageResults, error) {
			f.prepared++
			return &StageResults{Inputs: []fleet.ResultRef{"1.2.3.4:5/r"}, Release: func() {}}, nil
		},
	}
	f.Pool.Metrics = f.Metrics
	return f
}

func documentWith(route fleet.Route) *fleet.Document {
	route.Host, route.PathPrefix, route.Name = "h", "/p/", "r"
	route.Services = []fleet.WeightedService{{Service: "svc", Weight: 1}}
	if route.MaxAttempts == 0 {
		route.MaxAttempts = 1
	}
	return &fleet.Document{
		Revision: 1, Routes: []fleet.Route{route}, Services: []fleet.Service{{Name: "svc"}},
		Workspaces: []fleet.Workspace{{Name: "w", Keys: []string{"secret"}}},
	}
}

// callerTimeout is the caller timeout of requests in tests that are not about timeouts; no busy
// machine takes so long.
const callerTimeout = 30 * time.Second

// newRequest returns a request that has just arrived.
func newRequest() *fleet.Request {
	return &fleet.Request{
		ID: "id-1", Method: http.MethodPost, Target: "/p/x?q=1", Path: "/p/x", Host: "h", Header: http.Header{"X-Own": {"1"}},
		Body: fleet.Body{[]byte("bo"), []byte("dy")}, Credential: "secret", Received: clock.Now(), CallerTimeout: callerTimeout,
	}
}

// serve passes one request, modified by change, to the service.
func (f *fixture) serve(t *testing.T, change func(*fleet.Request)) (*httptest.ResponseRecorder, error) {
	t.Helper()
	request := newRequest()
	if change != nil {
		change(request)
	}
	recorder := httptest.NewRecorder()
	err := f.Serve(context.Background(), request, recorder)
	return recorder, err
}

func (f *fixture) totalRuns() int {
	total := 0
	for _, u := range f.upstreams {
		total += len(u.Requests())
	}
	return total
}

func respondOK(w *bufio.Writer, run platform.Request) bool {
	platform.WriteResponse(w, run.Header.Get(wire.HeaderRequestID), 200, "whole")
	return true
}

func truncate(w *bufio.Writer, run platform.Request) bool {
	fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: 1\r\nContent-Length: 100\r\n\r\ncut", wire.HeaderRequestID,
		run.Header.Get(wire.HeaderRequestID), wire.HeaderDigest)
	return false
}

// TestRequestReachesUpstreamUnchanged guards against a path, body or header field that is
// changed on the way to the upstream, and against a credential that reaches it.
func TestRequestReachesUpstreamUnchanged(t *testing.T) {
	f := newFixture(t, fleet.Route{Kind: fleet.KindNonIdempotent}, respondOK)
	recorder, err := f.serve(t, nil)
	assert.NilError(t, err)
	assert.Equal(t, recorder.Code, 200)
	assert.Equal(t, recorder.Body.String(), "whole")
	run := f.upstreams[0].Requests()[0]
	assert.Equal(t, run.Path, "/p/x?q=1")
	assert.Equal(t, string(run.Body), "body")
	assert.Equal(t, run.Header.Get("X-Own"), "1")
	assert.Equal(t, run.Header.Get(wire.HeaderWorkspace), "w")
	assert.Equal(t, run.Header.Get(wire.HeaderExpectedUpstream), "u0")
	assert.Equal(t, run.Header.Get("Authorization"), "")
}

// TestNonIdempotentRunsOnce guards against a booking that is retried after a truncated
// response, and against an error that reports it as not run.
func TestNonIdempotentRunsOnce(t *testing.T) {
	f := newFixture(t, fleet.Route{Kind: fleet.KindNonIdempotent, MaxAttempts: 3}, truncate, truncate)
	_, err := f.serve(t, nil)
	assert.Equal(t, fault.KindOf(err), api.KindStageFailed)
	assert.Assert(t, fault.RunStateOf(err) != api.RunNo)
	assert.Equal(t, f.totalRuns(), 1)
}

// TestNotRunIsRetried guards against a request that is refused although another upstream
// has a free slot: the first upstream reports that it did not run the request.
func TestNotRunIsRetried(t *testing.T) {
	var calls atomic.Int64
	refuseOnce := func(w *bufio.Writer, run platform.Request) bool {
		if calls.Add(1) == 1 {
			platform.WriteNotRun(w, run.Header.Get(wire.HeaderRequestID))
			return true
		}
		return respondOK(w, run)
	}
	f := newFixture(t, fleet.Route{Kind: fleet.KindNonIdempotent}, refuseOnce, refuseOnce)
	recorder, err := f.serve(t, nil)
	assert.NilError(t, err)
	assert.Equal(t, recorder.Code, 200)
	assert.Equal(t, f.totalRuns(), 2)
}

// TestAllRefuse guards against an error without a retry time if all upstreams refused the
// request and it was not run.
func TestAllRefuse(t *testing.T) {
	refuse := func(w *bufio.Writer, run platform.Request) bool {
		platform.WriteNotRun(w, run.Header.Get(wire.HeaderRequestID))
		return true
	}
	f := newFixture(t, fleet.Route{Kind: fleet.KindNonIdempotent}, refuse, refuse)
	_, err := f.serve(t, nil)
	assert.Equal(t, api.Kinds[fault.KindOf(err)].Status, http.StatusServiceUnavailable)
	assert.Equal(t, fault.RunStateOf(err), api.RunNo)
	assert.Assert(t, fault.RetryDelay(err) > 0)
}

// TestInvalidResponsesAreNotForwarded guards against a truncated, mismatched, unsealed,
// encoded or malformed response that reaches the caller as a success.
func TestInvalidResponsesAreNotForwarded(t *testing.T) {
	invalid := map[string]func(*bufio.Writer, platform.Request) bool{
		"truncated": truncate,
		"garbage": func(w *bufio.Writer, _ platform.Request) bool {
			fmt.Fprint(w, "\x00\x01nonsense\r\n\r\n")
			return false
		},
		"unsealed": func(w *bufio.Writer, run platform.Request) bool {
			fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 1\r\n\r\nx", wire.HeaderRequestID, run.Header.Get(wire.HeaderRequestID))
			return true
		},
		"encoded": func(w *bufio.Writer, run platform.Request) bool {
			fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: 1\r\nContent-Encoding: gzip\r\nContent-Length: 1\r\n\r\nx", wire.HeaderRequestID,
				run.Header.Get(wire.HeaderRequestID), wire.HeaderDigest)
			return true
		},
		"status that implies not run": func(w *bufio.Writer, run platform.Request) bool {
			platform.WriteResponse(w, run.Header.Get(wire.HeaderRequestID), 503, "ran")
			return true
		},
		"mismatched then closed": func(w *bufio.Writer, _ platform.Request) bool {
			platform.WriteResponse(w, "another", 200, "not yours")
			return false
		},
	}
	for name, handle := range invalid {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, fleet.Route{Kind: fleet.KindNonIdempotent}, handle)
			recorder, err := f.serve(t, nil)
			assert.Equal(t, api.Kinds[fault.KindOf(err)].Status, http.StatusBadGateway, "%v", err)
			assert.Equal(t, recorder.Body.Len(), 0)
		})
	}
}

// TestMismatchedResponseIsSkipped guards against a late second response to an earlier
// request that is taken for the response to the next request on the connection.
func TestMismatchedResponseIsSkipped(t *testing.T) {
	f := newFixture(t, fleet.Route{Kind: fleet.KindIdempotent}, func(w *bufio.Writer, run platform.Request) bool {
		platform.WriteResponse(w, "another", 200, "not yours")
		return respondOK(w, run)
	})
	recorder, err := f.serve(t, nil)
	assert.NilError(t, err)
	assert.Equal(t, recorder.Body.String(), "whole")
	assert.Equal(t, len(f.Pool.idle), 0, "an out-of-sync connection was kept")
}

// TestExtraBytesCloseConnection guards against the reuse of a connection on which bytes
// arrived that belong to no request.
func TestExtraBytesCloseConnection(t *testing.T) {
	f := newFixture(t, fleet.Route{Kind: fleet.KindIdempotent}, func(w *bufio.Writer, run platform.Request) bool {
		respondOK(w, run)
		platform.WriteResponse(w, run.Header.Get(wire.HeaderRequestID), 200, "again")
		return true
	})
	for i := range 3 {
		recorder, err := f.serve(t, func(r *fleet.Request) { r.ID = api.RequestID(fmt.Sprint("id-", i)) })
		assert.NilError(t, err)
		assert.Equal(t, recorder.Body.String(), "whole")
		time.Sleep(10 * time.Millisecond)
	}
}

// TestUnframedResponse guards against a response without a length that is forwarded as
// complete after its connection was reset, and against an error if it was closed regularly.
func TestUnframedResponse(t *testing.T) {
	unframed := func(w *bufio.Writer, run platform.Request) bool {
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: 1\r\n\r\nwhole", wire.HeaderRequestID, run.Header.Get(wire.HeaderRequestID), wire.HeaderDigest)
		return false
	}
	f := newFixture(t, fleet.Route{Kind: fleet.KindNonIdempotent}, unframed)
	recorder, err := f.serve(t, nil)
	assert.NilError(t, err)
	assert.Equal(t, recorder.Body.String(), "whole")

	var reset *fixture
	reset = newFixture(t, fleet.Route{Kind: fleet.KindNonIdempotent}, func(w *bufio.Writer, run platform.Request) bool {
		unframed(w, run)
		_ = w.Flush()
		time.Sleep(50 * time.Millisecond)
		reset.upstreams[0].Reset()
		return true
	})
	_, err = reset.serve(t, nil)
	assert.Equal(t, fault.KindOf(err), api.KindStageFailed)
}

// TestIdempotentIsRetried guards against a lookup that fails although another upstream can
// serve it, and against more attempts than the route allows.
func TestIdempotentIsRetried(t *testing.T) {
	var calls atomic.Int64
	failOnce := func(w *bufio.Writer, run platform.Request) bool {
		if calls.Add(1) == 1 {
			return truncate(w, run)
		}
		return respondOK(w, run)
	}
	f := newFixture(t, fleet.Route{Kind: fleet.KindIdempotent, MaxAttempts: 2}, failOnce, failOnce)
	recorder, err := f.serve(t, nil)
	assert.NilError(t, err)
	assert.Equal(t, recorder.Code, 200)

	g := newFixture(t, fleet.Route{Kind: fleet.KindIdempotent, MaxAttempts: 2}, truncate, truncate, truncate)
	_, err = g.serve(t, nil)
	assert.Assert(t, err != nil)
	assert.Equal(t, g.totalRuns(), 2)
}

// TestUpstreamErrorIsForwarded guards against an error response whose status or body
// differs from the upstream's.
func TestUpstreamErrorIsForwarded(t *testing.T) {
	f := newFixture(t, fleet.Route{Kind: fleet.KindNonIdempotent}, func(w *bufio.Writer, run platform.Request) bool {
		platform.WriteResponse(w, run.Header.Get(wire.HeaderRequestID), 500, "my fault")
		return true
	})
	recorder, err := f.serve(t, nil)
	assert.NilError(t, err)
	assert.Equal(t, recorder.Code, 500)
	assert.Equal(t, recorder.Body.String(), "my fault")
}

// TestRefusalsBeforeAnyAttempt guards against a request that reaches an upstream without a
// route or a valid credential, and against a 404 before the host has a document.
func TestRefusalsBeforeAnyAttempt(t *testing.T) {
	f := newFixture(t, fleet.Route{Kind: fleet.KindIdempotent}, respondOK)
	for name, c := range map[string]struct {
		change func(*fleet.Request)
		want   int
	}{
		"no route":       {func(r *fleet.Request) { r.Path = "/other/" }, 404},
		"no credential":  {func(r *fleet.Request) { r.Credential = "" }, 401},
		"bad credential": {func(r *fleet.Request) { r.Credential = "secre" }, 401},
		"too late":       {func(r *fleet.Request) { r.Received = clock.Now().Add(-time.Hour) }, 503},
	} {
		_, err := f.serve(t, c.change)
		assert.Equal(t, api.Kinds[fault.KindOf(err)].Status, c.want, name)
	}
	assert.Equal(t, f.totalRuns(), 0)
	f.View = func() *directory.View { return &directory.View{} }
	_, err := f.serve(t, nil)
	assert.Equal(t, api.Kinds[fault.KindOf(err)].Status, 503)
}

// TestLongBodyIsWrittenWhole guards against a long body that is cut off, and against the
// reuse of a connection whose upstream is still waiting for the rest of a body.
func TestLongBodyIsWrittenWhole(t *testing.T) {
	f := newFixture(t, fleet.Route{Kind: fleet.KindIdempotent}, respondOK)
	long := []byte(strings.Repeat("x", 1<<20))
	_, err := f.serve(t, func(r *fleet.Request) { r.Body = fleet.Body{long[:1000], long[1000:]} })
	assert.NilError(t, err)
	assert.Equal(t, len(f.upstreams[0].Requests()[0].Body), len(long))
}

// TestIdleConnectionsShareLimit guards against idle connections of many hosts that use up
// the connection limit of an upstream, which then resets connections in use.
func TestIdleConnectionsShareLimit(t *testing.T) {
	for _, c := range []struct{ limit, hosts, want int }{{110, 81, 0}, {100, 7, maxIdleConns}, {48, 6, maxIdleConns}, {48, 12, 2}, {0, 350, maxIdleConns}, {100, 0, maxIdleConns}} {
		got := IdleConnLimit(c.limit, c.hosts)
		assert.Equal(t, got, c.want)
		assert.Assert(t, c.limit == 0 || got*c.hosts <= c.limit/2 || c.hosts == 0)
	}
	f := newFixture(t, fleet.Route{Kind: fleet.KindIdempotent}, respondOK)
	f.Pool.IdleLimit = func(*fleet.Upstream) int { return 0 }
	_, err := f.serve(t, nil)
	assert.NilError(t, err)
	assert.Equal(t, len(f.Pool.idle), 0)
	for end := time.Now().Add(time.Second); f.upstreams[0].OpenConns() > 0 && time.Now().Before(end); {
		time.Sleep(5 * time.Millisecond)
	}
	assert.Equal(t, f.upstreams[0].OpenConns(), 0)
}
