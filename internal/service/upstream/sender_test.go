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

// bound is the time after which a test that waits for an event fails.
const bound = 30 * time.Second

// fake is an upstream with its table and a sender.
type fake struct {
	*httptest.Server
	injector *injection.Injector
	table    *Table
	sender   *Sender
	instance *Instance
}

// newFake starts an upstream that answers with handler, and "ok" at /health.
func newFake(t *testing.T, handler http.HandlerFunc) *fake {
	t.Helper()
	f := &fake{injector: &injection.Injector{}, table: &Table{Host: "self"}, sender: &Sender{}}
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

func (f *fake) address() string { return strings.TrimPrefix(f.URL, "http://") }

// do posts one request with an idempotency key.
func (f *fake) do(ctx context.Context, attempt Attempt) error {
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

// TestExclusiveArrivesOnce guards against net/http, which by itself repeats a
// request with an Idempotency-Key when a pooled connection breaks.
func TestExclusiveArrivesOnce(t *testing.T) {
	for _, c := range []struct {
		exclusive bool
		want      int64
	}{{true, 1}, {false, 2}} {
		var breaking atomic.Bool
		var arrived atomic.Int64
		f := newFake(t, func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			if breaking.Load() && arrived.Add(1) == 1 {
				panic(http.ErrAbortHandler)
			}
		})
		assert.NilError(t, f.do(context.Background(), Attempt{})) // leaves a pooled connection
		breaking.Store(true)
		err := f.do(context.Background(), Attempt{Exclusive: c.exclusive})
		assert.Equal(t, arrived.Load(), c.want)
		if c.exclusive {
			assert.Equal(t, ReasonOf(err), ReasonNoAnswer)
			assert.Assert(t, !IsErrNotSent(err))
		}
	}
}

// TestReasons guards against failures that are reported as another kind, by
// which a request would be repeated or a healthy upstream be suspected wrongly.
func TestReasons(t *testing.T) {
	errReader := errors.New("the caller left")
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
		{name: "wrong request", handler: func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(400) }, want: ReasonStatus, state: StateHealthy},
		{name: "cut", fault: injection.Fault{Mode: injection.ModeCut, Bytes: 3}, handler: func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "answer") }, want: ReasonBroken, state: StateHealthy, fails: 1},
		{name: "drain notice", fault: injection.Fault{Mode: injection.ModeDraining}, want: ReasonDraining, state: StateLeaving},
		{name: "drain notice for any status", fault: injection.Fault{Mode: injection.ModeDraining}, attempt: Attempt{AnyStatus: true}, want: ReasonDraining, state: StateLeaving},
		{name: "drain notice for an order", fault: injection.Fault{Mode: injection.ModeDraining}, attempt: Attempt{AnyStatus: true, Exclusive: true}, state: StateLeaving},
		{name: "overload is no drain notice", fault: injection.Fault{Mode: injection.ModeUnavailable}, attempt: Attempt{Exclusive: true}, want: ReasonStatus, state: StateHealthy, fails: 1},
		{name: "header of a whole answer", handler: func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("X-Draining", "true") }, state: StateLeaving},
		{name: "reader", handler: func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "answer") }, attempt: Attempt{Read: func(int, http.Header, io.Reader) error { return errReader }}, want: ReasonReader, state: StateHealthy},
	} {
		t.Run(c.name, func(t *testing.T) {
			if c.handler == nil {
				c.handler = func(http.ResponseWriter, *http.Request) {}
			}
			f := newFake(t, c.handler)
			if c.fault.Mode != "" {
				assert.NilError(t, f.injector.Set(c.fault))
			}
			err := f.do(context.Background(), c.attempt)
			assert.Equal(t, ReasonOf(err), c.want)
			assert.Assert(t, !IsErrNotSent(err))
			assert.Equal(t, f.table.State(f.instance), c.state)
			assert.Equal(t, f.instance.health.failures, c.fails)
			assert.Equal(t, f.instance.InFlight(), int64(0))
		})
	}
}

// TestRefusedDialEjects guards against a dead upstream that stays in use, and
// against a refused dial that is not known as not sent.
func TestRefusedDialEjects(t *testing.T) {
	f := newFake(t, func(http.ResponseWriter, *http.Request) {})
	f.Listener.Close()
	usage := Usage{Occupied: 1}
	err := f.do(context.Background(), Attempt{Usage: &usage})
	assert.Assert(t, IsErrNotSent(err))
	assert.Equal(t, ReasonOf(err), ReasonDial)
	assert.Equal(t, f.table.State(f.instance), StateEjected)
	assert.Equal(t, usage, Usage{})
}

// TestCancelReachesUpstream guards against an upstream that goes on working for
// a caller that left, also while the reader is busy, and against blaming it.
func TestCancelReachesUpstream(t *testing.T) {
	for _, name := range []string{"before the answer", "between reads"} {
		t.Run(name, func(t *testing.T) {
			stopped := make(chan struct{})
			f := newFake(t, func(w http.ResponseWriter, r *http.Request) {
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
			err := f.do(ctx, Attempt{Usage: &usage, Read: func(_ int, _ http.Header, body io.Reader) error {
				_, err := bufio.NewReader(body).ReadString('\n')
				assert.NilError(t, err)
				cancel()
				waitFor(t, stopped)
				return errors.New("the caller left")
			}})
			assert.Equal(t, ReasonOf(err), ReasonCanceled)
			waitFor(t, stopped)
			assert.Equal(t, f.instance.health.failures, 0)
			assert.Assert(t, usage.Occupied > 0)
			assert.Equal(t, usage.FirstByte > 0, name == "between reads")
		})
	}
}

func waitFor(t *testing.T, event <-chan struct{}) {
	t.Helper()
	select {
	case <-event:
	case <-time.After(bound):
		t.Fatal("the event did not come")
	}
}

// TestEndedAnswerLeavesNothing guards against goroutines and connections that stay
// behind when a reader stops before the end of the body, and against streams that
// need a new connection each.
func TestEndedAnswerLeavesNothing(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	f := newFake(t, func(w http.ResponseWriter, r *http.Request) {
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
		assert.NilError(t, f.do(ctx, Attempt{Read: func(_ int, _ http.Header, body io.Reader) error {
			_, err := body.Read(make([]byte, 6))
			return err
		}}))
		waitFor(t, pooled)
	}
	assert.Equal(t, fresh, 1)
}

// TestTraceContextReachesTheUpstream guards against a caller's trace that ends at the host.
func TestTraceContextReachesTheUpstream(t *testing.T) {
	const parent = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"
	seen := make(chan string, 1)
	f := newFake(t, func(_ http.ResponseWriter, r *http.Request) { seen <- r.Header.Get("traceparent") })
	assert.NilError(t, f.do(tracing.With(t.Context(), parent), Attempt{}))
	assert.Equal(t, <-seen, parent)
	assert.NilError(t, f.do(t.Context(), Attempt{Exclusive: true}))
	assert.Equal(t, <-seen, "")
}
