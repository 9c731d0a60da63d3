package cmd

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	wire "redwingloft/platform"
	"redwingloft/standin/platform"
)

const (
	// readPause is how long a peer reads nothing; its kernel acknowledges all that is sent.
	readPause = 3 * time.Second
	// smallBuffer is the receive buffer that such a peer asks for.
	smallBuffer = 4 << 10
)

// withSmallBuffer is the Control callback of sockets with a small receive buffer.
func withSmallBuffer(_, _ string, raw syscall.RawConn) error {
	var err error
	if controlErr := raw.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, smallBuffer) }); controlErr != nil {
		return controlErr
	}
	return err
}

// TestCallerThatPausesGetsWholeStream guards against a stream that is reset because its caller reads nothing
// for some seconds, although it is alive.
func TestCallerThatPausesGetsWholeStream(t *testing.T) {
	const eventCount = 400
	s := startSite(t)
	s.engine.Handle = func(w *bufio.Writer, run platform.Request) bool {
		platform.WriteEvents(w, run.Header.Get(wire.HeaderRequestID), 1, eventCount, true, time.Millisecond)
		return true
	}
	client := http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{Control: withSmallBuffer}).DialContext}}
	defer client.CloseIdleConnections()
	request, err := http.NewRequest(http.MethodPost, "http://"+s.settings.Caller.Listen+"/plan/1", strings.NewReader("x"))
	assert.NilError(t, err)
	request.Host = "h"
	request.Header = http.Header{
		wire.HeaderRequestID: {"a"}, wire.HeaderDeadline: {"6000"}, "Authorization": {"Bearer k"}, wire.HeaderItems: {"1,1"}, wire.HeaderItemKey: {"k"},
	}
	response, err := client.Do(request)
	assert.NilError(t, err)
	defer response.Body.Close()
	assert.Equal(t, response.StatusCode, http.StatusOK)
	time.Sleep(readPause)
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err, "after %d bytes", len(body))
	assert.Equal(t, strings.Count(string(body), "data:"), eventCount)
	s.stop(t)
}

// TestUpstreamThatReadsSlowly guards against an order that is lost because its upstream reads nothing of a
// long body for some seconds, although it is alive.
func TestUpstreamThatReadsSlowly(t *testing.T) {
	s := startSite(t)
	listener, err := (&net.ListenConfig{Control: withSmallBuffer}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go answerSlowly(c)
		}
	}()
	s.write(t, wire.KeyDocument, `{"version":2,"routes":[{"name":"slow","host":"h","pathPrefix":"/slow/","kind":"non_idempotent","timeoutMs":9000,"sloMs":5000,"maxAttempts":1,"service":"slow"}],
"services":[{"name":"slow"}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"w","apiKeys":["k"]}]}`)
	s.write(t, wire.PrefixUpstream+"i-slow", fmt.Sprintf(
		`{"service":"slow","address":%q,"zone":"a","version":"v1","slots":4,"state":"ready","coldLeftMs":0,"callSeq":1,"born":1}`, listener.Addr()))
	s.eventually(t, "the upstream", func() bool { return len(s.host.directory.View().Ready("slow")) == 1 })
	request, err := http.NewRequest(http.MethodPost, "http://"+s.settings.Caller.Listen+"/slow/1", bytes.NewReader(make([]byte, 3<<20)))
	assert.NilError(t, err)
	request.Host = "h"
	request.Header = http.Header{wire.HeaderRequestID: {"a"}, wire.HeaderDeadline: {"9000"}, "Authorization": {"Bearer k"}}
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusOK, string(body))
	assert.Equal(t, string(body), fmt.Sprint(3<<20))
	s.stop(t)
}

// answerSlowly answers a request with the length of its body, of which it first reads nothing for a while.
func answerSlowly(c net.Conn) {
	defer c.Close()
	request, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	time.Sleep(readPause)
	n, err := io.Copy(io.Discard, request.Body)
	if err != nil {
		return
	}
	w := bufio.NewWriter(c)
	platform.WriteResponse(w, request.Header.Get(wire.HeaderRequestID), 200, fmt.Sprint(n))
	_ = w.Flush()
}
