package forward

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"math"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingloft/internal/data/fleet"
	"redwingloft/internal/helper/clock"
	"redwingloft/internal/helper/fault"
	"redwingloft/internal/service/memory"
	"redwingloft/pkg/api"
	wire "redwingloft/platform"
	"redwingloft/standin/platform"
)

const (
	// maxEndless ends an answer that the host would read for ever.
	maxEndless = 256 << 20
	// socketBytes covers what the sockets of both sides hold of an answer.
	socketBytes = 16 << 20
	okHead      = "HTTP/1.1 200 OK\r\n" + wire.HeaderRequestID + ": ID\r\n" + wire.HeaderDigest + ": 1\r\n"
	chunkedHead = okHead + "Transfer-Encoding: chunked\r\n\r\n"
	eventHead   = okHead + "Content-Type: text/event-stream\r\n\r\n"
)

// TestBytesWithoutEnd guards against a host that reads, and keeps in memory, whatever an
// upstream sends until the upstream stops.
func TestBytesWithoutEnd(t *testing.T) {
	limits := map[platform.Part]limitName{
		platform.PartHead: limitHead, platform.PartBody: limitBody, platform.PartSkipped: limitSkippedBody, platform.PartEvent: limitEvent,
	}
	for _, c := range platform.EndlessResponses {
		t.Run(c.Name, func(t *testing.T) {
			var written atomic.Int64
			route := fleet.Route{Kind: fleet.KindNonIdempotent}
			if c.Stream {
				route.Kind = fleet.KindStreaming
			}
			f := newFixture(t, route, func(w *bufio.Writer, run platform.Request) bool {
				return c.Handle(w, run, maxEndless, &written)
			})
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			recorder, err := f.serve(t, func(r *fleet.Request) { r.CallerTimeout = 2 * time.Minute })
			runtime.ReadMemStats(&after)
			assert.Assert(t, err != nil, "%d %.20s", recorder.Code, recorder.Body)
			assert.Assert(t, !fault.Is(err, api.KindDeadlineExceeded), "ended by the deadline: %v", err)
			assert.Assert(t, written.Load() <= wireRatio*maxBufferedBytes+socketBytes, "%d bytes were read", written.Load())
			allocated := after.TotalAlloc - before.TotalAlloc
			// A buffer that doubles up to the limit allocates four times the limit at most.
			assert.Assert(t, allocated <= 4*maxBufferedBytes+socketBytes, "%d bytes were allocated", allocated)
			if limit, ours := limits[c.Part]; ours {
				assert.Equal(t, f.Metrics.Counter("limit."+string(limit)).Count(), int64(1))
			}
			assert.Equal(t, f.Pool.buffered.Load(), int64(0))
			health := f.Health.Get(&f.upstreams[0].Entry)
			assert.Assert(t, health.FailureRate > 0, "the health of the upstream was not told")
		})
	}
}

// TestSoundAnswersNearTheLimits guards against limits that cut answers which an upstream may send.
func TestSoundAnswersNearTheLimits(t *testing.T) {
	field := strings.Repeat("x", 4000)
	head := okHead + strings.Repeat("X-Field: "+field+"\r\n", maxHeadBytes/4020)
	long := strings.Repeat("y", maxBufferedBytes)
	for name, c := range map[string]struct{ answer, body string }{
		"long head":          {strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 10) + head + "Content-Length: 2\r\n\r\nok", "ok"},
		"long body":          {okHead + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(long), long), long},
		"long chunked body":  {chunkedHead + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(long), long), long},
		"body to the close":  {okHead + "\r\n" + long, long},
		"trailer":            {chunkedHead + "2\r\nok\r\n0\r\nX-Field: value\r\n\r\n", "ok"},
		"body of no bytes":   {okHead + "Content-Length: 0\r\n\r\n", ""},
		"after another late": {strings.ReplaceAll(okHead, "ID", "other") + "Content-Length: 4\r\n\r\nlate" + okHead + "Content-Length: 2\r\n\r\nok", "ok"},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, fleet.Route{Kind: fleet.KindNonIdempotent}, func(w *bufio.Writer, run platform.Request) bool {
				fmt.Fprint(w, strings.ReplaceAll(c.answer, "ID", run.Header.Get(wire.HeaderRequestID)))
				return false
			})
			recorder, err := f.serve(t, nil)
			assert.NilError(t, err)
			assert.Assert(t, bytes.Equal(recorder.Body.Bytes(), []byte(c.body)), "%d bytes", recorder.Body.Len())
			assert.Equal(t, f.Pool.buffered.Load(), int64(0))
		})
	}
}

// TestLongestEventPasses guards against a limit that cuts a sound event, and against comments
// that are lost, which would change the body of the answer.
func TestLongestEventPasses(t *testing.T) {
	events := ": hello\n\nid: 1\ndata: " + strings.Repeat("x", maxEventBytes-64) + "\n\n: more\n\nid: 2\ndata: y\n\n"
	f := newFixture(t, fleet.Route{Kind: fleet.KindStreaming}, func(w *bufio.Writer, run platform.Request) bool {
		fmt.Fprintf(w, "%sContent-Length: %d\r\n\r\n%s", strings.ReplaceAll(okHead, "ID", run.Header.Get(wire.HeaderRequestID)), len(events), events)
		return true
	})
	recorder, err := f.serve(t, nil)
	assert.NilError(t, err)
	assert.Equal(t, recorder.Body.String(), events)
}

// TestFillerIsNoProgress guards against an engine that keeps a stream alive with comments,
// empty events or single bytes, although another engine could serve the request.
func TestFillerIsNoProgress(t *testing.T) {
	for name, text := range map[string]string{"comments": ": x\n\n", "empty events": "\n", "single bytes": "d"} {
		t.Run(name, func(t *testing.T) {
			stall := func(w *bufio.Writer, run platform.Request) bool {
				fmt.Fprint(w, strings.ReplaceAll(eventHead, "ID", run.Header.Get(wire.HeaderRequestID)))
				for {
					fmt.Fprint(w, text)
					if w.Flush() != nil {
						return false
					}
					time.Sleep(50 * time.Millisecond)
				}
			}
			var first atomic.Bool
			either := func(w *bufio.Writer, run platform.Request) bool {
				if first.CompareAndSwap(false, true) {
					return stall(w, run)
				}
				platform.WriteEvents(w, run.Header.Get(wire.HeaderRequestID), 1, 3, true, time.Millisecond)
				return true
			}
			f := newFixture(t, fleet.Route{Kind: fleet.KindStreaming, Resumable: true, MaxAttempts: 2}, either, either)
			recorder, err := f.serve(t, func(r *fleet.Request) { r.CallerTimeout = 5 * time.Second })
			assert.NilError(t, err)
			assert.Equal(t, strings.Count(recorder.Body.String(), "id:"), 3)
			assert.Assert(t, strings.HasPrefix(recorder.Body.String(), "id:"), "bytes of the stalled engine were delivered")
		})
	}
}

// TestBuffersAreBounded guards against responses that are each within their limit and together
// exceed the memory of the host.
func TestBuffersAreBounded(t *testing.T) {
	f := newFixture(t, fleet.Route{Kind: fleet.KindNonIdempotent}, func(w *bufio.Writer, run platform.Request) bool {
		platform.WriteResponse(w, run.Header.Get(wire.HeaderRequestID), 200, strings.Repeat("x", 100<<10))
		return true
	})
	f.Pool.Memory = &memory.Account{Limit: 300 << 10}
	_, err := f.serve(t, nil)
	assert.NilError(t, err)
	assert.Assert(t, f.Pool.reserve(201<<10))
	_, err = f.serve(t, func(r *fleet.Request) { r.ID = api.RequestID("id-2") })
	assert.ErrorContains(t, err, string(limitBuffer))
	f.Pool.release(201 << 10)
	_, err = f.serve(t, func(r *fleet.Request) { r.ID = api.RequestID("id-3") })
	assert.NilError(t, err)
	assert.Equal(t, f.Pool.buffered.Load(), int64(0))
	assert.Equal(t, f.Pool.Memory.Used(), int64(0))
}

// FuzzEvents guards against a decoder of events that loses, changes or invents bytes.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: x\n\n: c\n\n\r\n\nid: 2\r\n\r\n"))
	f.Add([]byte("data: cut"))
	f.Fuzz(func(t *testing.T, data []byte) {
		reader := newEventReader(bytes.NewReader(data))
		var raw []byte
		for {
			e, err := reader.next()
			if err != nil {
				break
			}
			assert.Assert(t, len(e.raw) > 0 && len(e.raw) <= maxEventBytes)
			raw = append(raw, e.raw...)
		}
		assert.Assert(t, bytes.HasPrefix(data, raw))
	})
}

// TestItemsAreBounded guards against a host that runs out of memory over one number in a header.
func TestItemsAreBounded(t *testing.T) {
	f := newFixture(t, fleet.Route{Kind: fleet.KindStreaming, Stages: make([]fleet.Stage, 2)}, respondOK)
	for _, items := range [][]int{{maxItems + 1, 0}, {maxItems, 1}, {math.MaxInt, math.MaxInt}, {0, 2_000_000_000}} {
		_, err := f.serve(t, func(r *fleet.Request) { r.Items = items })
		assert.Equal(t, fault.KindOf(err), api.KindBadRequest, "%v", items)
	}
	assert.Equal(t, f.prepared+f.totalRuns(), 0)
	_, _ = f.serve(t, func(r *fleet.Request) { r.Items = []int{maxItems, 0} })
	assert.Equal(t, f.prepared, 1)
}

// TestSlowCallerIsLeft guards against a response that is held in memory for as long as its caller
// reads a little of it.
func TestSlowCallerIsLeft(t *testing.T) {
	for _, kind := range []fleet.Kind{fleet.KindNonIdempotent, fleet.KindStreaming} {
		t.Run(string(kind), func(t *testing.T) {
			t.Parallel()
			var body strings.Builder
			for i := range 12 {
				fmt.Fprintf(&body, "id: %d\ndata: %s\n\n", i, strings.Repeat("x", maxEventBytes/2))
			}
			f := newFixture(t, fleet.Route{Kind: kind}, func(w *bufio.Writer, run platform.Request) bool {
				fmt.Fprintf(w, "%sContent-Length: %d\r\n\r\n", strings.ReplaceAll(okHead, "ID", run.Header.Get(wire.HeaderRequestID)), body.Len())
				_, _ = w.WriteString(body.String())
				return true
			})
			served := make(chan error, 1)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				served <- f.Serve(context.Background(), &fleet.Request{
					ID: "id-1", Method: "POST", Target: "/p/x", Path: "/p/x", Host: "h", Credential: "secret", Received: clock.Now(),
					Header: http.Header{wire.HeaderRequestID: {"id-1"}}, CallerTimeout: 1500 * time.Millisecond,
				}, w)
				panic(http.ErrAbortHandler)
			}))
			t.Cleanup(server.Close)
			caller, err := net.Dial("tcp", server.Listener.Addr().String())
			assert.NilError(t, err)
			t.Cleanup(func() { caller.Close() })
			assert.NilError(t, caller.(*net.TCPConn).SetReadBuffer(4<<10))
			fmt.Fprint(caller, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			for end := time.Now().Add(10 * time.Second); ; {
				_, _ = caller.Read(make([]byte, 256))
				select {
				case err := <-served:
					assert.Assert(t, err != nil)
					assert.Equal(t, f.Pool.buffered.Load(), int64(0))
					return
				case <-time.After(20 * time.Millisecond):
					assert.Assert(t, time.Now().Before(end), "the response is still being written")
				}
			}
		})
	}
}
