package guard

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// keptConnection is a caller's connection that has carried one request.
type keptConnection struct {
	net.Conn
	reader *bufio.Reader
}

// get reads the response to a request.
func (k *keptConnection) get(t *testing.T) string {
	t.Helper()
	assert.NilError(t, k.SetReadDeadline(time.Now().Add(5*time.Second)))
	response, err := http.ReadResponse(k.reader, nil)
	assert.NilError(t, err)
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return string(body)
}

// startIdle starts a server whose connections the closer tracks, and returns it with a kept connection.
func startIdle(t *testing.T, closer *Guard) (*http.Server, *keptConnection) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &http.Server{ConnState: closer.Track, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "answer") })}
	go func() { _ = server.Serve(closer.Listener(listener)) }()
	t.Cleanup(func() { _ = server.Close() })
	c, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	kept := &keptConnection{c, bufio.NewReader(c)}
	kept.write(t, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.Equal(t, kept.get(t), "answer")
	time.Sleep(20 * time.Millisecond)
	return server, kept
}

func (k *keptConnection) write(t *testing.T, text string) {
	t.Helper()
	_, err := k.Write([]byte(text))
	assert.NilError(t, err)
	time.Sleep(20 * time.Millisecond)
}

// TestRequestBeingReadIsAnswered guards against a connection that is closed as idle, without an
// answer, while a request on it arrives.
func TestRequestBeingReadIsAnswered(t *testing.T) {
	for name, closeIdle := range map[string]func(closer *Guard, server *http.Server){
		"idle timeout": func(closer *Guard, _ *http.Server) { closer.Sweep(time.Now().Add(time.Hour)) },
		"shutdown": func(closer *Guard, server *http.Server) {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			closer.CloseIdle(ctx)
			_ = server.Shutdown(ctx)
		},
	} {
		t.Run(name, func(t *testing.T) {
			closer := &Guard{Timeout: func() time.Duration { return time.Second }}
			server, kept := startIdle(t, closer)
			kept.write(t, "GET / HTTP/1.1\r\nHo")
			go closeIdle(closer, server)
			time.Sleep(50 * time.Millisecond)
			kept.write(t, "st: h\r\n\r\n")
			assert.Equal(t, kept.get(t), "answer")
		})
	}
}

// TestRequestReadAheadIsAnswered guards against a request that ends as if its caller had left, because
// its connection expired after the host had read it and before it was in progress.
func TestRequestReadAheadIsAnswered(t *testing.T) {
	closer := &Guard{Timeout: func() time.Duration { return time.Second }}
	expired, cancel := context.WithCancel(context.Background())
	cancel()
	server := &http.Server{
		ConnState: func(c net.Conn, state http.ConnState) {
			closer.Track(c, state)
			if state == http.StateIdle {
				closer.CloseIdle(expired)
			}
		},
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			select {
			case <-r.Context().Done():
				panic(http.ErrAbortHandler)
			case <-time.After(100 * time.Millisecond):
				fmt.Fprint(w, "answer")
			}
		}),
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = server.Serve(closer.Listener(listener)) }()
	t.Cleanup(func() { _ = server.Close() })
	c, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	kept := &keptConnection{c, bufio.NewReader(c)}
	kept.write(t, "GET / HTTP/1.1\r\nHost: h\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.Equal(t, kept.get(t), "answer")
	assert.Equal(t, kept.get(t), "answer")
}

// TestIdleConnectionsAreClosed guards against idle connections that stay open.
func TestIdleConnectionsAreClosed(t *testing.T) {
	closer := &Guard{Timeout: func() time.Duration { return time.Second }}
	_, kept := startIdle(t, closer)
	closer.Sweep(time.Now())
	kept.write(t, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.Equal(t, kept.get(t), "answer")
	time.Sleep(20 * time.Millisecond)
	closer.Sweep(time.Now().Add(time.Hour))
	assert.NilError(t, kept.SetReadDeadline(time.Now().Add(5*time.Second)))
	_, err := kept.reader.ReadByte()
	assert.Equal(t, err, io.EOF)
}

// TestShorterIdleTimeoutSparesOpenConnections guards against a change of the idle timeout that
// closes connections on which callers are about to send.
func TestShorterIdleTimeoutSparesOpenConnections(t *testing.T) {
	var timeout atomic.Int64
	timeout.Store(int64(time.Hour))
	closer := &Guard{Timeout: func() time.Duration { return time.Duration(timeout.Load()) }}
	_, kept := startIdle(t, closer)
	timeout.Store(int64(time.Second))
	closer.Sweep(time.Now().Add(time.Minute))
	kept.write(t, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.Equal(t, kept.get(t), "answer")
}
