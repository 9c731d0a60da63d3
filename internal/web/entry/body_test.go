package entry

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingloft/internal/helper/dial"
	"redwingloft/internal/helper/logging"
	"redwingloft/internal/service/memory"
	"redwingloft/internal/web/guard"
	"redwingloft/pkg/api"
	wire "redwingloft/platform"
)

// begin sends the header and the first bytes of a chunked body on a new connection.
func begin(t *testing.T, server *httptest.Server, id string, size int) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", server.Listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	_, err = fmt.Fprintf(c, "POST /x HTTP/1.1\r\nHost: h\r\n%s: %s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", wire.HeaderRequestID, id, size, strings.Repeat("x", size))
	assert.NilError(t, err)
	return c
}

// finish reads the response on a connection.
func finish(t *testing.T, c net.Conn) *http.Response {
	t.Helper()
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(10*time.Second)))
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	_, err = io.ReadAll(response.Body)
	assert.NilError(t, err)
	return response
}

func end(t *testing.T, c net.Conn) *http.Response {
	t.Helper()
	_, err := io.WriteString(c, "0\r\n\r\n")
	assert.NilError(t, err)
	return finish(t, c)
}

// TestLateBodyIsRefused guards against a body that never ends, and whose request is run or stays open.
func TestLateBodyIsRefused(t *testing.T) {
	upstream, callers, server := startCallers(t, 0, echo)
	callers.BodyTimeout = 100 * time.Millisecond
	response := finish(t, begin(t, server, "a", 10))
	assert.Equal(t, response.StatusCode, http.StatusRequestTimeout)
	assert.Assert(t, response.Close)
	assert.Equal(t, len(upstream.Requests()), 0)
}

// TestStalledBodyMakesRoom guards against a body that has stopped arriving and keeps the memory that
// another one needs.
func TestStalledBodyMakesRoom(t *testing.T) {
	var log bytes.Buffer
	upstream, callers, server := startCallers(t, 0, echo)
	callers.Memory = &memory.Account{Limit: 2 << 20, StallTime: 100 * time.Millisecond}
	callers.Refusals = &guard.RefusalLog{Log: logging.New(&log, "info", "")}
	stalled := begin(t, server, "stalled", 600<<10)
	time.Sleep(200 * time.Millisecond)
	assert.Equal(t, end(t, begin(t, server, "a", 700<<10)).StatusCode, http.StatusOK)
	response := finish(t, stalled)
	assert.Equal(t, response.StatusCode, http.StatusRequestTimeout)
	assert.DeepEqual(t, upstream.RequestIDs(), []string{"a"})
	server.Close()
	assert.Equal(t, callers.Memory.Used(), int64(0))
	assert.Assert(t, strings.Contains(log.String(), "event=client_refused remote="+stalled.LocalAddr().String()+" reason=body_stalled"), log.String())
}

// TestFullMemoryRefusesLargeBodies guards against a refusal without a time to retry or of a request that
// has run, and against small bodies that are refused too.
func TestFullMemoryRefusesLargeBodies(t *testing.T) {
	upstream, callers, server := startCallers(t, 0, echo)
	callers.Memory = &memory.Account{Limit: 2 << 20, StallTime: time.Hour}
	older := begin(t, server, "older", 600<<10)
	for callers.Memory.Used() < 600<<10 {
		time.Sleep(time.Millisecond)
	}
	younger := begin(t, server, "younger", 700<<10)
	response := finish(t, younger)
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, response.Header.Get("Retry-After") != "" && response.Close)
	assert.Equal(t, end(t, begin(t, server, "small", 40<<10)).StatusCode, http.StatusOK)
	assert.Equal(t, end(t, older).StatusCode, http.StatusOK)
	assert.DeepEqual(t, upstream.RequestIDs(), []string{"small", "older"})
}

// TestRefusalIsReadAfterWriting guards against a caller that reads only after it has written its whole
// request, and finds its connection reset instead of the refusal.
func TestRefusalIsReadAfterWriting(t *testing.T) {
	_, _, server := startCallers(t, 10, echo)
	for range 20 {
		assert.Equal(t, finish(t, begin(t, server, "a", 3<<20)).StatusCode, http.StatusRequestEntityTooLarge)
	}
}

// TestEvictedBodyGetsRefusal guards against a body that loses its memory to an older one while it arrives,
// and whose caller finds its connection reset instead of the refusal.
func TestEvictedBodyGetsRefusal(t *testing.T) {
	_, callers, _ := startCallers(t, 0, echo)
	callers.Memory = &memory.Account{Limit: 2 << 20, StallTime: time.Hour}
	tracker := &guard.Guard{Timeout: func() time.Duration { return time.Hour }, Metrics: callers.Metrics}
	server := httptest.NewUnstartedServer(callers)
	bounded, err := dial.ListenBounded(context.Background(), "127.0.0.1:0", 0)
	assert.NilError(t, err)
	_ = server.Listener.Close()
	server.Listener = tracker.Listener(bounded)
	tracker.Protect(server.Config)
	server.Start()
	t.Cleanup(server.Close)
	older := begin(t, server, "older", 200<<10)
	for callers.Memory.Used() < 200<<10 {
		time.Sleep(time.Millisecond)
	}
	younger := begin(t, server, "younger", 300<<10)
	// The rest of the body must not fit into the buffers of the kernel.
	assert.NilError(t, younger.(*net.TCPConn).SetWriteBuffer(32<<10))
	for callers.Memory.Used() < 500<<10 {
		time.Sleep(time.Millisecond)
	}
	_, err = fmt.Fprintf(older, "%x\r\n%s\r\n", 300<<10, strings.Repeat("x", 300<<10))
	assert.NilError(t, err)
	for callers.Metrics.Counter(api.Kinds[api.KindMemoryFull].Counter).Count() == 0 {
		time.Sleep(time.Millisecond)
	}
	_, err = fmt.Fprintf(younger, "%x\r\n%s\r\n0\r\n\r\n", 3<<20, strings.Repeat("x", 3<<20))
	assert.NilError(t, err)
	assert.Equal(t, finish(t, younger).StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, end(t, older).StatusCode, http.StatusOK)
}
