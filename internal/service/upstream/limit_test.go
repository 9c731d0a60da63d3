package upstream

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// TestConnectionsAreBounded guards against connections to many upstreams that together use up the descriptors
// of a host, and against a request that counts as sent although there was no connection for it.
func TestConnectionsAreBounded(t *testing.T) {
	const limit = 2
	release := make(chan struct{})
	handler := func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Wait") != "" {
			<-release
		}
		_, _ = io.WriteString(w, "ok")
	}
	sender := &Sender{}
	sender.SetMaxConns(limit)
	var upstreams []*fakeUpstream
	for range 2 * limit {
		f := newFakeUpstream(t, handler)
		f.sender = sender
		upstreams = append(upstreams, f)
	}
	// A failure must not leave the servers waiting for their handlers.
	releaseAll := sync.OnceFunc(func() { close(release) })
	t.Cleanup(releaseAll)
	// Each connection is idle afterwards, and gives way to the next one.
	for _, f := range upstreams {
		assert.NilError(t, f.send(context.Background(), Attempt{}))
		assert.Assert(t, sender.conns.open.Load() <= limit)
	}
	results := make(chan error, limit)
	for _, f := range upstreams[:limit] {
		go func() {
			results <- sender.Do(context.Background(), Attempt{
				Instance: f.instance,
				Build: func(ctx context.Context, base string) (*http.Request, error) {
					request, err := http.NewRequestWithContext(ctx, http.MethodGet, base+"/run", nil)
					if err == nil {
						request.Header.Set("Wait", "1")
					}
					return request, err
				},
				Read: func(_ int, _ http.Header, body io.Reader) error {
					_, err := io.Copy(io.Discard, body)
					return err
				},
			})
		}()
	}
	for end := time.Now().Add(waitTimeout); upstreams[0].instance.InFlight()+upstreams[1].instance.InFlight() < limit || sender.conns.open.Load() < limit; {
		select {
		case err := <-results:
			t.Fatalf("a request ended early: %v", err)
		default:
		}
		assert.Assert(t, time.Now().Before(end))
		time.Sleep(time.Millisecond)
	}
	time.Sleep(20 * time.Millisecond)
	err := upstreams[limit].send(context.Background(), Attempt{Exclusive: true})
	assert.Equal(t, ReasonOf(err), ReasonConnections)
	assert.Assert(t, IsErrNotSent(err) && errors.Is(err, errTooManyConns))
	releaseAll()
	for range limit {
		assert.NilError(t, <-results)
	}
	assert.NilError(t, upstreams[limit].send(context.Background(), Attempt{Exclusive: true}))
}

// TestReceivedBytesAreBounded guards against responses that are not read, because their callers don't read, and
// that pile up in the kernel.
func TestReceivedBytesAreBounded(t *testing.T) {
	f := newFakeUpstream(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
	assert.NilError(t, f.send(context.Background(), Attempt{}))
	for c := range f.instance.pool.current.conns {
		raw, err := c.Conn.(syscall.Conn).SyscallConn()
		assert.NilError(t, err)
		var size int
		var optionErr error
		assert.NilError(t, raw.Control(func(fd uintptr) { size, optionErr = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF) }))
		assert.NilError(t, optionErr)
		// The kernel doubles the size that is set. Without a limit it starts with 128 KiB and grows to some megabytes.
		assert.Equal(t, size, 256<<10)
	}
}
