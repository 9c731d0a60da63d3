package forward

import (
	"bufio"
	"context"
	"fmt"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingloft/internal/data/fleet"
	"redwingloft/standin/platform"
)

// TestResponseThatEndsEarlyIsNotComplete guards against a response that its upstream broke off at
// any byte, also within the head, and that reaches the caller as a complete one.
func TestResponseThatEndsEarlyIsNotComplete(t *testing.T) {
	events := "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	chunks := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(events), events)
	for name, c := range map[string]struct {
		kind     fleet.Kind
		response string
	}{
		"buffered with a length":  {fleet.KindNonIdempotent, okHead + "Content-Length: 4\r\n\r\nbody"},
		"buffered in chunks":      {fleet.KindNonIdempotent, chunkedHead + "4\r\nbody\r\n0\r\n\r\n"},
		"buffered without either": {fleet.KindNonIdempotent, okHead + "X-Last: value\r\n\r\n"},
		"stream with a length":    {fleet.KindStreaming, okHead + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(events), events)},
		"stream in chunks":        {fleet.KindStreaming, chunkedHead + chunks},
		"stream without either":   {fleet.KindStreaming, eventHead + "id: 1\ndata: a\n\n"},
		"error of a stream":       {fleet.KindStreaming, strings.Replace(okHead, "200 OK", "500 No", 1) + "Content-Length: 4\r\n\r\nbody"},
		"after an interim one":    {fleet.KindNonIdempotent, "HTTP/1.1 100 Continue\r\n\r\n" + okHead + "Content-Length: 4\r\n\r\nbody"},
	} {
		t.Run(name, func(t *testing.T) {
			var length atomic.Int64
			response := strings.ReplaceAll(c.response, "ID", "id-1")
			f := newFixture(t, fleet.Route{Kind: c.kind}, func(w *bufio.Writer, _ platform.Request) bool {
				_, _ = w.WriteString(response[:length.Load()])
				return false
			})
			for cut := range len(response) {
				length.Store(int64(cut))
				recorder, err := f.serve(t, nil)
				assert.Assert(t, err != nil, "after %d of %d bytes: %d %q", cut, len(response), recorder.Code, recorder.Body)
			}
			length.Store(int64(len(response)))
			_, err := f.serve(t, nil)
			assert.NilError(t, err)
		})
	}
}

// TestInternalCallsWithBytesWithoutEnd guards against a host that keeps in memory whatever a faulty
// upstream sends in response to an internal request.
func TestInternalCallsWithBytesWithoutEnd(t *testing.T) {
	for _, c := range platform.EndlessResponses {
		if c.Stream {
			continue
		}
		t.Run(c.Name, func(t *testing.T) {
			var written atomic.Int64
			f := newFixture(t, fleet.Route{}, func(w *bufio.Writer, run platform.Request) bool {
				return c.Handle(w, run, maxEndless, &written)
			})
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			response, err := f.Pool.Call(ctx, &f.Codec, &f.upstreams[0].Entry, "/-/work", []byte("{}"), false)
			runtime.ReadMemStats(&after)
			assert.Assert(t, err != nil, "%+v", response)
			assert.NilError(t, ctx.Err())
			assert.Assert(t, written.Load() <= wireRatio*maxCallResponseBytes+socketBytes, "%d bytes were read", written.Load())
			allocated := after.TotalAlloc - before.TotalAlloc
			assert.Assert(t, allocated <= 4*maxCallResponseBytes+socketBytes, "%d bytes were allocated", allocated)
			assert.Equal(t, f.Pool.buffered.Load(), int64(0))
		})
	}
}
