package forward

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingloft/internal/data/fleet"
	"redwingloft/internal/helper/clock"
	"redwingloft/internal/service/memory"
	wire "redwingloft/platform"
	"redwingloft/standin/platform"
)

// blockingWriter is a response writer whose caller reads nothing until release is closed.
type blockingWriter struct {
	*httptest.ResponseRecorder
	once, releaseOnce sync.Once
	blocked, release  chan struct{}
}

func (w *blockingWriter) Write(p []byte) (int, error) {
	w.once.Do(func() { close(w.blocked) })
	<-w.release
	return w.ResponseRecorder.Write(p)
}

// TestUnreadStreamIsNoFault guards against an engine that counts as failed, and a stream that is sent to
// another one, because the engine cut off a response that its caller did not read.
func TestUnreadStreamIsNoFault(t *testing.T) {
	for _, slow := range []bool{true, false} {
		t.Run(fmt.Sprint("slow ", slow), func(t *testing.T) {
			t.Parallel()
			w := &blockingWriter{ResponseRecorder: httptest.NewRecorder(), blocked: make(chan struct{}), release: make(chan struct{})}
			if !slow {
				close(w.release)
			}
			breakOff := func(out *bufio.Writer, run platform.Request) bool {
				platform.WriteEvents(out, run.Header.Get(wire.HeaderRequestID), 1, 2, false, 0)
				<-w.blocked
				if slow {
					time.Sleep(unreadTime + 100*time.Millisecond)
					w.releaseOnce.Do(func() { close(w.release) })
				}
				return false
			}
			f := newFixture(t, fleet.Route{Kind: fleet.KindStreaming, Resumable: true, MaxAttempts: 2}, breakOff, breakOff)
			err := f.Serve(context.Background(), newRequest(), w)
			assert.Assert(t, IsAborted(err))
			assert.Equal(t, IsUnread(err), slow)
			assert.Equal(t, f.totalRuns() == 1, slow)
			assert.Equal(t, f.Metrics.Counter("clients.unread_responses").Count() == 1, slow)
			failed := f.Health.Get(&f.upstreams[0].Entry).FailureRate + f.Health.Get(&f.upstreams[1].Entry).FailureRate
			assert.Equal(t, failed == 0, slow)
		})
	}
}

// TestUnreadResponseIsCutOff guards against a response that is held for as long as its request may take,
// although its caller reads nothing of it.
func TestUnreadResponseIsCutOff(t *testing.T) {
	for _, kind := range []fleet.Kind{fleet.KindNonIdempotent, fleet.KindStreaming} {
		t.Run(string(kind), func(t *testing.T) {
			t.Parallel()
			text := ""
			for i := range 15 {
				text += fmt.Sprintf("id: %d\ndata: %s\n\n", i, strings.Repeat("x", 1<<19))
			}
			f := newFixture(t, fleet.Route{Kind: kind}, func(w *bufio.Writer, run platform.Request) bool {
				fmt.Fprintf(w, "%sContent-Length: %d\r\n\r\n%s", strings.ReplaceAll(okHead, "ID", run.Header.Get(wire.HeaderRequestID)), len(text), text)
				return true
			})
			f.WriteStall, f.Pool.Memory = 200*time.Millisecond, &memory.Account{Limit: 64 << 20}
			served := make(chan error, 1)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				request := newRequest()
				request.Received, request.CallerTimeout = clock.Now(), time.Hour
				served <- f.Serve(context.Background(), request, w)
				panic(http.ErrAbortHandler)
			}))
			t.Cleanup(server.Close)
			caller, err := net.Dial("tcp", server.Listener.Addr().String())
			assert.NilError(t, err)
			t.Cleanup(func() { caller.Close() })
			assert.NilError(t, caller.(*net.TCPConn).SetReadBuffer(4<<10))
			fmt.Fprint(caller, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			err = <-served
			assert.Assert(t, IsAborted(err) && IsUnread(err), "%v", err)
			assert.Equal(t, f.Pool.Memory.Used(), int64(0))
		})
	}
}

// TestLongEventsAreAccounted guards against long events of many streams that exceed the memory of a host.
func TestLongEventsAreAccounted(t *testing.T) {
	account := &memory.Account{Limit: 1 << 20}
	for size, want := range map[int]bool{100 << 10: true, 600 << 10: false} {
		reader := newEventReader(strings.NewReader(strings.Repeat("data: "+strings.Repeat("x", size)+"\n\n", 2)))
		reader.pool = &Pool{Memory: account}
		_, err := reader.next()
		if err == nil {
			_, err = reader.next()
		}
		assert.Equal(t, err == nil, want, "%d: %v", size, err)
		reader.release()
		assert.Equal(t, account.Used(), int64(0))
	}
}
