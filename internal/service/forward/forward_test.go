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

// fixture is a service before stand-ins of upstreams.
type fixture struct {
	*Service
	upstreams []*platform.Upstream
	prepared  int
}

// newFixture starts an upstream for each handler and a service with one route of the given kind.
func newFixture(t *testing.T, route fleet.Route, handlers ...func(*bufio.Writer, platform.Run) bool) *fixture {
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
		Codec:  Codec{WriteHead: wire.WriteHead, DecodeReply: wire.DecodeReply, AnswerHeader: wire.AnswerHeader, WriteCall: wire.WriteCall},
		Budget: &Budget{Ratio: 1, Slack: 100, Window: 10 * time.Second}, Log: logging.Discard(), Metrics: metric.New(),
		Prepare: func(context.Context, *Work) (*Prepared, error) {
			f.prepared++
			return &Prepared{Inputs: []fleet.ResultRef{"1.2.3.4:5/r"}, Release: func() {}}, nil
		},
	}
	return f
}

func documentWith(route fleet.Route) *fleet.Document {
	route.Host, route.PathPrefix, route.Name = "h", "/p/", "r"
	route.Services = []fleet.Share{{Service: "svc", Weight: 1}}
	if route.MaxAttempts == 0 {
		route.MaxAttempts = 1
	}
	return &fleet.Document{
		Revision: 1, Routes: []fleet.Route{route}, Services: []fleet.Service{{Name: "svc"}},
		Workspaces: []fleet.Workspace{{Name: "w", Keys: []string{"secret"}}},
	}
}

// serve sends one request through the service.
func (f *fixture) serve(t *testing.T, change func(*fleet.Request)) (*httptest.ResponseRecorder, error) {
	t.Helper()
	request := &fleet.Request{
		ID: "id-1", Method: http.MethodPost, Target: "/p/x?q=1", Path: "/p/x", Host: "h", Header: http.Header{"X-Own": {"1"}},
		Body: []byte("body"), Credential: "secret", Received: clock.Now(), Wait: 3 * time.Second,
	}
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
		total += len(u.Runs())
	}
	return total
}

func answerOK(w *bufio.Writer, run platform.Run) bool {
	platform.Answer(w, run.Header.Get(wire.HeaderRequestID), 200, "whole")
	return true
}

func breakOff(w *bufio.Writer, run platform.Run) bool {
	fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: 1\r\nContent-Length: 100\r\n\r\ncut", wire.HeaderRequestID,
		run.Header.Get(wire.HeaderRequestID), wire.HeaderDigest)
	return false
}

// TestRequestReachesUpstreamUnchanged guards against a request whose method, path,
// body or credential differs at the upstream from what the caller may send there.
func TestRequestReachesUpstreamUnchanged(t *testing.T) {
	f := newFixture(t, fleet.Route{Kind: fleet.KindNonIdempotent}, answerOK)
	recorder, err := f.serve(t, nil)
	assert.NilError(t, err)
	assert.Equal(t, recorder.Code, 200)
	assert.Equal(t, recorder.Body.String(), "whole")
	run := f.upstreams[0].Runs()[0]
	assert.Equal(t, run.Path, "/p/x?q=1")
	assert.Equal(t, string(run.Body), "body")
	assert.Equal(t, run.Header.Get("X-Own"), "1")
	assert.Equal(t, run.Header.Get(wire.HeaderWorkspace), "w")
	assert.Equal(t, run.Header.Get(wire.HeaderExpected), "u0")
	assert.Equal(t, run.Header.Get("Authorization"), "")
}

// TestNonIdempotentRunsOnce guards against a booking that is sent again after an
// upstream broke off, and against an answer that calls it not run.
func TestNonIdempotentRunsOnce(t *testing.T) {
	f := newFixture(t, fleet.Route{Kind: fleet.KindNonIdempotent, MaxAttempts: 3}, breakOff, breakOff)
	_, err := f.serve(t, nil)
	assert.Equal(t, fault.KindOf(err), api.KindStageFailed)
	assert.Assert(t, fault.RunOf(err) != api.RunNo)
	assert.Equal(t, f.totalRuns(), 1)
}

// TestNotRunMovesOn guards against a request that is refused though another upstream
// has room; the first one states that it did not run it.
func TestNotRunMovesOn(t *testing.T) {
	var refused atomic.Int64
	handle := func(w *bufio.Writer, run platform.Run) bool {
		if refused.Add(1) == 1 {
			platform.Refuse(w, run.Header.Get(wire.HeaderRequestID))
			return true
		}
		return answerOK(w, run)
	}
	f := newFixture(t, fleet.Route{Kind: fleet.KindNonIdempotent}, handle, handle)
	recorder, err := f.serve(t, nil)
	assert.NilError(t, err)
	assert.Equal(t, recorder.Code, 200)
	assert.Equal(t, f.totalRuns(), 2)
}

// TestAllRefuse guards against a caller that is not told when to come back although
// nothing ran.
func TestAllRefuse(t *testing.T) {
	full := func(w *bufio.Writer, run platform.Run) bool {
		platform.Refuse(w, run.Header.Get(wire.HeaderRequestID))
		return true
	}
	f := newFixture(t, fleet.Route{Kind: fleet.KindNonIdempotent}, full, full)
	_, err := f.serve(t, nil)
	assert.Equal(t, api.Kinds[fault.KindOf(err)].Status, http.StatusServiceUnavailable)
	assert.Equal(t, fault.RunOf(err), api.RunNo)
	assert.Assert(t, fault.Wait(err) > 0)
}

// TestWrongAnswersAreNotPassedOn guards against a cut, foreign, unsealed, encoded or
// unreadable answer that reaches the caller as a success.
func TestWrongAnswersAreNotPassedOn(t *testing.T) {
	wrong := map[string]func(*bufio.Writer, platform.Run) bool{
		"cut":     breakOff,
		"garbage": func(w *bufio.Writer, _ platform.Run) bool { fmt.Fprint(w, "\x00\x01nonsense\r\n\r\n"); return false },
		"unsealed": func(w *bufio.Writer, run platform.Run) bool {
			fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 1\r\n\r\nx", wire.HeaderRequestID, run.Header.Get(wire.HeaderRequestID))
			return true
		},
		"encoded": func(w *bufio.Writer, run platform.Run) bool {
			fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: 1\r\nContent-Encoding: gzip\r\nContent-Length: 1\r\n\r\nx", wire.HeaderRequestID,
				run.Header.Get(wire.HeaderRequestID), wire.HeaderDigest)
			return true
		},
		"promise that is none": func(w *bufio.Writer, run platform.Run) bool {
			platform.Answer(w, run.Header.Get(wire.HeaderRequestID), 503, "ran")
			return true
		},
		"foreign then closed": func(w *bufio.Writer, _ platform.Run) bool {
			platform.Answer(w, "another", 200, "not yours")
			return false
		},
	}
	for name, handle := range wrong {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, fleet.Route{Kind: fleet.KindNonIdempotent}, handle)
			recorder, err := f.serve(t, nil)
			assert.Equal(t, api.Kinds[fault.KindOf(err)].Status, http.StatusBadGateway, "%v", err)
			assert.Equal(t, recorder.Body.Len(), 0)
		})
	}
}

// TestForeignAnswerIsSkipped guards against the late second answer of an earlier
// request that is taken for the answer of the next one on the connection.
func TestForeignAnswerIsSkipped(t *testing.T) {
	f := newFixture(t, fleet.Route{Kind: fleet.KindIdempotent}, func(w *bufio.Writer, run platform.Run) bool {
		platform.Answer(w, "another", 200, "not yours")
		return answerOK(w, run)
	})
	recorder, err := f.serve(t, nil)
	assert.NilError(t, err)
	assert.Equal(t, recorder.Body.String(), "whole")
	assert.Equal(t, len(f.Pool.idle), 0, "a doubtful connection was kept")
}

// TestExtraBytesEndConnection guards against a connection that is used again after
// bytes that belong to no request.
func TestExtraBytesEndConnection(t *testing.T) {
	f := newFixture(t, fleet.Route{Kind: fleet.KindIdempotent}, func(w *bufio.Writer, run platform.Run) bool {
		answerOK(w, run)
		platform.Answer(w, run.Header.Get(wire.HeaderRequestID), 200, "again")
		return true
	})
	for i := range 3 {
		recorder, err := f.serve(t, func(r *fleet.Request) { r.ID = api.RequestID(fmt.Sprint("id-", i)) })
		assert.NilError(t, err)
		assert.Equal(t, recorder.Body.String(), "whole")
		time.Sleep(10 * time.Millisecond)
	}
}

// TestUnframedAnswer guards against an answer without a length that was reset on its
// way and is passed on as whole, and against the loss of one that was closed properly.
func TestUnframedAnswer(t *testing.T) {
	unframed := func(w *bufio.Writer, run platform.Run) bool {
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: 1\r\n\r\nwhole", wire.HeaderRequestID, run.Header.Get(wire.HeaderRequestID), wire.HeaderDigest)
		return false
	}
	f := newFixture(t, fleet.Route{Kind: fleet.KindNonIdempotent}, unframed)
	recorder, err := f.serve(t, nil)
	assert.NilError(t, err)
	assert.Equal(t, recorder.Body.String(), "whole")

	var reset *fixture
	reset = newFixture(t, fleet.Route{Kind: fleet.KindNonIdempotent}, func(w *bufio.Writer, run platform.Run) bool {
		unframed(w, run)
		_ = w.Flush()
		time.Sleep(50 * time.Millisecond)
		reset.upstreams[0].Reset()
		return true
	})
	_, err = reset.serve(t, nil)
	assert.Equal(t, fault.KindOf(err), api.KindStageFailed)
}

// TestIdempotentIsAskedAgain guards against a look-up that fails though another
// upstream would answer, and against more attempts than the route allows.
func TestIdempotentIsAskedAgain(t *testing.T) {
	var calls atomic.Int64
	once := func(w *bufio.Writer, run platform.Run) bool {
		if calls.Add(1) == 1 {
			return breakOff(w, run)
		}
		return answerOK(w, run)
	}
	f := newFixture(t, fleet.Route{Kind: fleet.KindIdempotent, MaxAttempts: 2}, once, once)
	recorder, err := f.serve(t, nil)
	assert.NilError(t, err)
	assert.Equal(t, recorder.Code, 200)

	g := newFixture(t, fleet.Route{Kind: fleet.KindIdempotent, MaxAttempts: 2}, breakOff, breakOff, breakOff)
	_, err = g.serve(t, nil)
	assert.Assert(t, err != nil)
	assert.Equal(t, g.totalRuns(), 2)
}

// TestUpstreamsOwnFailureIsPassedOn guards against a failure whose status or body differs from the upstream's.
func TestUpstreamsOwnFailureIsPassedOn(t *testing.T) {
	f := newFixture(t, fleet.Route{Kind: fleet.KindNonIdempotent}, func(w *bufio.Writer, run platform.Run) bool {
		platform.Answer(w, run.Header.Get(wire.HeaderRequestID), 500, "my fault")
		return true
	})
	recorder, err := f.serve(t, nil)
	assert.NilError(t, err)
	assert.Equal(t, recorder.Code, 500)
	assert.Equal(t, recorder.Body.String(), "my fault")
}

// TestRefusalsBeforeAnyAttempt guards against a request that reaches an upstream
// without a route or a credential, and against a 404 before a document is known.
func TestRefusalsBeforeAnyAttempt(t *testing.T) {
	f := newFixture(t, fleet.Route{Kind: fleet.KindIdempotent}, answerOK)
	for name, c := range map[string]struct {
		change func(*fleet.Request)
		want   int
	}{
		"no route":      {func(r *fleet.Request) { r.Path = "/other/" }, 404},
		"no credential": {func(r *fleet.Request) { r.Credential = "" }, 401},
		"wrong one":     {func(r *fleet.Request) { r.Credential = "secre" }, 401},
		"too late":      {func(r *fleet.Request) { r.Received = clock.Now().Add(-time.Hour) }, 503},
	} {
		_, err := f.serve(t, c.change)
		assert.Equal(t, api.Kinds[fault.KindOf(err)].Status, c.want, name)
	}
	assert.Equal(t, f.totalRuns(), 0)
	f.View = func() *directory.View { return &directory.View{} }
	_, err := f.serve(t, nil)
	assert.Equal(t, api.Kinds[fault.KindOf(err)].Status, 503)
}

// TestEarlyAnswerToLongBody guards against a connection that is used again while the
// upstream still waits for the rest of a body.
func TestEarlyAnswerToLongBody(t *testing.T) {
	f := newFixture(t, fleet.Route{Kind: fleet.KindIdempotent}, answerOK)
	long := []byte(strings.Repeat("x", 1<<20))
	_, err := f.serve(t, func(r *fleet.Request) { r.Body = long })
	assert.NilError(t, err)
	assert.Equal(t, len(f.upstreams[0].Runs()[0].Body), len(long))
}

// TestIdleConnectionsShareLimit guards against idle connections of many hosts that take
// all connections of an upstream, which then resets those of requests.
func TestIdleConnectionsShareLimit(t *testing.T) {
	for _, c := range []struct{ limit, hosts, want int }{{110, 81, 0}, {100, 7, maxIdle}, {48, 6, maxIdle}, {48, 12, 2}, {0, 350, maxIdle}, {100, 0, maxIdle}} {
		got := IdleShare(c.limit, c.hosts)
		assert.Equal(t, got, c.want)
		assert.Assert(t, c.limit == 0 || got*c.hosts <= c.limit/2 || c.hosts == 0)
	}
	f := newFixture(t, fleet.Route{Kind: fleet.KindIdempotent}, answerOK)
	f.Pool.IdleLimit = func(*fleet.Upstream) int { return 0 }
	_, err := f.serve(t, nil)
	assert.NilError(t, err)
	assert.Equal(t, len(f.Pool.idle), 0)
	for end := time.Now().Add(time.Second); f.upstreams[0].Open() > 0 && time.Now().Before(end); {
		time.Sleep(5 * time.Millisecond)
	}
	assert.Equal(t, f.upstreams[0].Open(), 0)
}
