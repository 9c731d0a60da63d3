package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"redwingloft/internal/helper/tracing"
	"redwingloft/pkg/api"
	"redwingloft/standin/injection"
)

// waitTimeout is the time after which a test that waits for an event fails.
const waitTimeout = 30 * time.Second

// fakeUpstream is an upstream server with its table and a sender.
type fakeUpstream struct {
	*httptest.Server
	injector *injection.Injector
	table    *Table
	sender   *Sender
	instance *Instance
}

// newFakeUpstream starts an upstream that uses handler, and responds with "ok" at /health.
func newFakeUpstream(t *testing.T, handler http.HandlerFunc) *fakeUpstream {
	t.Helper()
	f := &fakeUpstream{injector: &injection.Injector{}, table: &Table{Host: "self"}, sender: &Sender{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
	mux.HandleFunc("/", handler)
	f.Server = httptest.NewUnstartedServer(f.injector.Handler(mux))
	f.Listener = f.injector.Listener(f.Listener)
	f.Start()
	t.Cleanup(f.Server.Close)
	t.Cleanup(f.CloseClientConnections)
	f.table.Apply(snapshotOf(f.address(), "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"))
	f.instance = f.table.All("llm")[0]
	t.Cleanup(func() { f.instance.pool.closeIdle() })
	return f
}

func (f *fakeUpstream) address() string { return strings.TrimPrefix(f.URL, "http://") }

// send posts one request with an idempotency key.
func (f *fakeUpstream) send(ctx context.Context, attempt Attempt) error {
	attempt.Instance = f.instance
	if attempt.Read == nil {
		attempt.Read = func(_ int, _ http.Header, body io.Reader) error {
			_, err := io.Copy(io.Discard, body)
			return err
		}
	}
	attempt.Build = func(ctx context.Context, base string) (*http.Request, error) {
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, base+"/run", strings.NewReader("body"))
		if err == nil {
			request.Header.Set(api.HeaderIdempotencyKey, "key")
		}
		return request, err
	}
	return f.sender.Do(ctx, attempt)
}

// TestExclusiveArrivesOnce guards against net/http repeating a request with an
// Idempotency-Key when a pooled connection breaks.
func TestExclusiveArrivesOnce(t *testing.T) {
	for _, c := range []struct {
		exclusive bool
		want      int64
	}{{true, 1}, {false, 2}} {
		var breakConnection atomic.Bool
		var arrived atomic.Int64
		f := newFakeUpstream(t, func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			if breakConnection.Load() && arrived.Add(1) == 1 {
				panic(http.ErrAbortHandler)
			}
		})
		assert.NilError(t, f.send(context.Background(), Attempt{})) // keeps a connection in the pool
		breakConnection.Store(true)
		err := f.send(context.Background(), Attempt{Exclusive: c.exclusive})
		assert.Equal(t, arrived.Load(), c.want)
		if c.exclusive {
			assert.Equal(t, ReasonOf(err), ReasonNoAnswer)
			assert.Assert(t, !IsErrNotSent(err))
		}
	}
}

// TestFailureReasons guards against failures with a wrong reason, which would repeat a
// request or suspect a healthy upstream wrongly.
func TestFailureReasons(t *testing.T) {
	errReader := errors.New("caller disconnected")
	for _, c := range []struct {
		name    string
		handler http.HandlerFunc
		fault   injection.Fault
		attempt Attempt
		want    Reason
		notSent bool
		state   State
		fails   int
	}{
		{name: "no answer", fault: injection.Fault{Mode: injection.ModeDropReply}, want: ReasonNoAnswer, state: StateHealthy, fails: 1},
		{name: "status", handler: func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(500) }, want: ReasonStatus, state: StateHealthy, fails: 1},
		{name: "bad request", handler: func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(400) }, want: ReasonStatus, state: StateHealthy},
		{name: "connection closed in the body", fault: injection.Fault{Mode: injection.ModeTruncate, Bytes: 3}, handler: func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "answer") }, want: ReasonBroken, state: StateHealthy, fails: 1},
		{name: "drain notice", fault: injection.Fault{Mode: injection.ModeDraining}, want: ReasonDraining, state: StateDraining},
		{name: "drain notice for any status", fault: injection.Fault{Mode: injection.ModeDraining}, attempt: Attempt{AnyStatus: true}, want: ReasonDraining, state: StateDraining},
		{name: "drain notice for an exclusive attempt", fault: injection.Fault{Mode: injection.ModeDraining}, attempt: Attempt{AnyStatus: true, Exclusive: true}, state: StateDraining},
		{name: "overload is not a drain notice", fault: injection.Fault{Mode: injection.ModeUnavailable}, attempt: Attempt{Exclusive: true}, want: ReasonStatus, state: StateHealthy, fails: 1},
		{name: "drain header of a complete response", handler: func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("X-Draining", "true") }, state: StateDraining},
		{name: "reader", handler: func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "answer") }, attempt: Attempt{Read: func(int, http.Header, io.Reader) error { return errReader }}, want: ReasonReadFailed, state: StateHealthy},
	} {
		t.Run(c.name, func(t *testing.T) {
			if c.handler == nil {
				c.handler = func(http.ResponseWriter, *http.Request) {}
			}
			f := newFakeUpstream(t, c.handler)
			if c.fault.Mode != "" {
				assert.NilError(t, f.injector.Set(c.fault))
			}
			err := f.send(context.Background(), c.attempt)
			assert.Equal(t, ReasonOf(err), c.want)
			assert.Assert(t, !IsErrNotSent(err))
			assert.Equal(t, f.table.State(f.instance), c.state)
			assert.Equal(t, f.instance.health.failures, c.fails)
			assert.Equal(t, f.instance.InFlight(), int64(0))
		})
	}
}

// TestRefusedDialEjects guards against a stopped upstream that stays in use, and against
// a refused connection that is not reported as not sent.
func TestRefusedDialEjects(t *testing.T) {
	f := newFakeUpstream(t, func(http.ResponseWriter, *http.Request) {})
	f.Listener.Close()
	usage := Usage{Elapsed: 1}
	err := f.send(context.Background(), Attempt{Usage: &usage})
	assert.Assert(t, IsErrNotSent(err))
	assert.Equal(t, ReasonOf(err), ReasonDial)
	assert.Equal(t, f.table.State(f.instance), StateEjected)
	assert.Equal(t, usage, Usage{})
}

// TestCancelReachesUpstream guards against an upstream that keeps working for a caller
// that disconnected, even while the reader is busy, and against counting that as a
// failure of the upstream.
func TestCancelReachesUpstream(t *testing.T) {
	for _, name := range []string{"before the answer", "between reads"} {
		t.Run(name, func(t *testing.T) {
			stopped := make(chan struct{})
			f := newFakeUpstream(t, func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				if name == "between reads" {
					_, _ = io.WriteString(w, "token\n")
					_ = http.NewResponseController(w).Flush()
				}
				<-r.Context().Done()
				close(stopped)
			})
			ctx, cancel := context.WithCancel(context.Background())
			if name == "before the answer" {
				time.AfterFunc(20*time.Millisecond, cancel)
			}
			usage := Usage{}
			err := f.send(ctx, Attempt{Usage: &usage, Read: func(_ int, _ http.Header, body io.Reader) error {
				_, err := bufio.NewReader(body).ReadString('\n')
				assert.NilError(t, err)
				cancel()
				waitFor(t, stopped)
				return errors.New("caller disconnected")
			}})
			assert.Equal(t, ReasonOf(err), ReasonCanceled)
			waitFor(t, stopped)
			assert.Equal(t, f.instance.health.failures, 0)
			assert.Assert(t, usage.Elapsed > 0)
			assert.Equal(t, usage.FirstByte > 0, name == "between reads")
		})
	}
}

func waitFor(t *testing.T, event <-chan struct{}) {
	t.Helper()
	select {
	case <-event:
	case <-time.After(waitTimeout):
		t.Fatal("timed out waiting for the event")
	}
}

// TestUnreadBodyLeaksNothing guards against leaked goroutines and connections when a
// reader stops before the end of the body, and against streams that do not reuse
// connections.
func TestUnreadBodyLeaksNothing(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	f := newFakeUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, "[DONE]\n\n")
	})
	defer f.Close()
	defer f.instance.pool.closeIdle()
	fresh, pooled := 0, make(chan struct{}, 1)
	ctx := httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if !info.Reused {
				fresh++
			}
		},
		PutIdleConn: func(error) { pooled <- struct{}{} },
	})
	for range 5 {
		assert.NilError(t, f.send(ctx, Attempt{Read: func(_ int, _ http.Header, body io.Reader) error {
			_, err := body.Read(make([]byte, 6))
			return err
		}}))
		waitFor(t, pooled)
	}
	assert.Equal(t, fresh, 1)
}

// TestTraceContextReachesTheUpstream guards against a trace of the caller that is not
// propagated to the upstream.
func TestTraceContextReachesTheUpstream(t *testing.T) {
	const parent = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"
	seen := make(chan string, 1)
	f := newFakeUpstream(t, func(_ http.ResponseWriter, r *http.Request) { seen <- r.Header.Get("traceparent") })
	assert.NilError(t, f.send(tracing.WithParent(t.Context(), parent), Attempt{}))
	assert.Equal(t, <-seen, parent)
	assert.NilError(t, f.send(t.Context(), Attempt{Exclusive: true}))
	assert.Equal(t, <-seen, "")
}
