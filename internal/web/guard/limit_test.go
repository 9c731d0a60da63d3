package guard

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingloft/internal/helper/metric"
	"redwingloft/internal/service/memory"
	"redwingloft/platform"
)

// startTracked starts a server with a bound of its connections. Requests to /wait are answered once
// release is closed.
func startTracked(t *testing.T, guard *Guard, wrap ...func(net.Listener) net.Listener) (address string, release chan struct{}) {
	t.Helper()
	guard.Timeout, guard.Metrics, guard.SetRetryAfter = func() time.Duration { return time.Hour }, metric.New(), platform.SetRetryAfter
	release = make(chan struct{})
	server := &http.Server{
		ReadHeaderTimeout: 10 * time.Second,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				w.WriteHeader(http.StatusRequestTimeout)
				return
			}
			if r.URL.Path == "/wait" {
				<-release
			}
			fmt.Fprint(w, "answer")
		}),
	}
	guard.Protect(server)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address = listener.Addr().String()
	for _, f := range wrap {
		listener = f(listener)
	}
	go func() { _ = server.Serve(guard.Listener(listener)) }()
	t.Cleanup(func() { _ = server.Close() })
	return address, release
}

func dialTracked(t *testing.T, address, text string) *keptConnection {
	t.Helper()
	c, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	kept := &keptConnection{c, bufio.NewReader(c)}
	kept.write(t, text)
	return kept
}

// isClosed waits a little and reports whether the server has closed a connection without a response.
func (k *keptConnection) isClosed(t *testing.T) bool {
	t.Helper()
	assert.NilError(t, k.SetReadDeadline(time.Now().Add(100*time.Millisecond)))
	_, err := k.reader.ReadByte()
	assert.Assert(t, err != nil, "the connection has a response")
	return !errors.Is(err, os.ErrDeadlineExceeded)
}

const (
	plainRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	waitRequest  = "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n"
)

// TestUnfinishedConnectionsGiveWay guards against connections without a request, or with a part of one,
// that use up the descriptors, and against the close of one on which a request is served.
func TestUnfinishedConnectionsGiveWay(t *testing.T) {
	guard := &Guard{MaxConns: 4}
	address, release := startTracked(t, guard)
	busy := dialTracked(t, address, waitRequest)
	silent := dialTracked(t, address, "")
	partial := dialTracked(t, address, plainRequest[:20])
	idle := dialTracked(t, address, plainRequest)
	assert.Equal(t, idle.get(t), "answer")
	for range 3 {
		ordinary := dialTracked(t, address, plainRequest)
		assert.Equal(t, ordinary.get(t), "answer")
		_ = ordinary.Close()
		time.Sleep(20 * time.Millisecond)
		assert.Assert(t, guard.Open() <= 4)
	}
	assert.Assert(t, silent.isClosed(t))
	assert.Assert(t, !partial.isClosed(t) && !idle.isClosed(t), "more connections were closed than needed")
	close(release)
	assert.Equal(t, busy.get(t), "answer")
}

// TestIdleConnectionsGiveWay guards against idle connections, of which one request each was sent, that
// keep others out, and against the latest of them being closed first.
func TestIdleConnectionsGiveWay(t *testing.T) {
	address, _ := startTracked(t, &Guard{MaxConns: 3})
	var list []*keptConnection
	for range 5 {
		c := dialTracked(t, address, plainRequest)
		assert.Equal(t, c.get(t), "answer")
		time.Sleep(20 * time.Millisecond)
		list = append(list, c)
	}
	for i, c := range list {
		assert.Equal(t, c.isClosed(t), i < 2, "connection %d", i)
	}
}

// TestStalledHeadsGiveWayFirst guards against connections without a request that displace those on which
// callers have sent some.
func TestStalledHeadsGiveWayFirst(t *testing.T) {
	address, _ := startTracked(t, &Guard{MaxConns: 16, Stall: 50 * time.Millisecond})
	var idle []*keptConnection
	for range 14 {
		c := dialTracked(t, address, plainRequest)
		assert.Equal(t, c.get(t), "answer")
		idle = append(idle, c)
	}
	silent := []*keptConnection{dialTracked(t, address, ""), dialTracked(t, address, plainRequest[:20])}
	time.Sleep(100 * time.Millisecond)
	for range 2 {
		c := dialTracked(t, address, plainRequest)
		assert.Equal(t, c.get(t), "answer")
	}
	for _, c := range silent {
		assert.Assert(t, c.isClosed(t))
	}
	for _, c := range idle {
		assert.Assert(t, !c.isClosed(t))
	}
}

// TestBusyConnectionsAreKept guards against a request that is lost because there are too many
// connections, and against a refusal without a time to retry.
func TestBusyConnectionsAreKept(t *testing.T) {
	address, release := startTracked(t, &Guard{MaxConns: 16})
	var list []*keptConnection
	for range 16 {
		list = append(list, dialTracked(t, address, waitRequest))
	}
	refused := dialTracked(t, address, plainRequest)
	response, err := http.ReadResponse(refused.reader, nil)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, response.Header.Get("Retry-After"), "1.000")
	close(release)
	for _, c := range list {
		assert.Equal(t, c.get(t), "answer")
	}
}

// TestStalledBodyGivesWay guards against bodies that never end and occupy all connections.
func TestStalledBodyGivesWay(t *testing.T) {
	address, _ := startTracked(t, &Guard{MaxConns: 1, Stall: 50 * time.Millisecond})
	stalled := dialTracked(t, address, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nhalf")
	time.Sleep(100 * time.Millisecond)
	assert.Equal(t, dialTracked(t, address, plainRequest).get(t), "answer")
	response, err := http.ReadResponse(stalled.reader, nil)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusRequestTimeout)
}

// TestTricklingBodiesGiveWay guards against bodies that arrive steadily, but a byte at a time, and occupy all
// connections, and against a slow but sound one that gives way.
func TestTricklingBodiesGiveWay(t *testing.T) {
	const pause = 20 * time.Millisecond
	for name, c := range map[string]struct {
		piece    int
		givesWay bool
	}{"a byte at a time": {1, true}, "at ten times the least rate": {minBodyRate / 5, false}} {
		t.Run(name, func(t *testing.T) {
			address, _ := startTracked(t, &Guard{MaxConns: 1, Stall: 400 * time.Millisecond})
			arriving := dialTracked(t, address, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n")
			chunk := fmt.Appendf(nil, "%x\r\n%s\r\n", c.piece, strings.Repeat("x", c.piece))
			// Nobody tries to connect until the body has arrived for longer than it may stall.
			end := time.Now().Add(time.Second)
			for time.Now().Before(end) {
				_, err := arriving.Write(chunk)
				assert.NilError(t, err)
				time.Sleep(pause)
			}
			if !c.givesWay {
				assert.Assert(t, dialTracked(t, address, "").isClosed(t))
				arriving.write(t, "0\r\n\r\n")
				assert.Equal(t, arriving.get(t), "answer")
				return
			}
			assert.Equal(t, dialTracked(t, address, plainRequest).get(t), "answer")
			response, err := http.ReadResponse(arriving.reader, nil)
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode, http.StatusRequestTimeout)
		})
	}
}

// TestLongHeadsAreAccounted guards against unfinished request heads that exceed the memory of a host.
func TestLongHeadsAreAccounted(t *testing.T) {
	account := &memory.Account{Limit: 256 << 10, StallTime: time.Hour}
	address, _ := startTracked(t, &Guard{Memory: account})
	head := "GET / HTTP/1.1\r\nHost: h\r\nPadding: " + strings.Repeat("x", 40<<10)
	first, second := dialTracked(t, address, head), dialTracked(t, address, head)
	assert.Assert(t, second.isClosed(t) && !first.isClosed(t))
	first.write(t, "\r\n\r\n")
	assert.Equal(t, first.get(t), "answer")
	time.Sleep(20 * time.Millisecond)
	assert.Equal(t, account.Used(), int64(0))
}

// TestHeadsOfManyFieldsAreAccounted guards against request heads whose short fields take many times their size,
// both unfinished ones and those of requests in progress.
func TestHeadsOfManyFieldsAreAccounted(t *testing.T) {
	const fields = 1500
	head := "GET / HTTP/1.1\r\nHost: h\r\n"
	for i := range fields {
		head += fmt.Sprintf("%x:\r\n", i)
	}
	assert.Assert(t, len(head) <= freeHeadBytes+2<<10)
	const size = headLineBytes * (fields - freeHeadLines)
	// The large heads of one owner may use 0.3 of the account.
	account := &memory.Account{Limit: 5 * size, StallTime: time.Hour}
	address, _ := startTracked(t, &Guard{Memory: account})
	first, second := dialTracked(t, address, head), dialTracked(t, address, head)
	assert.Assert(t, second.isClosed(t) && !first.isClosed(t))
	assert.Assert(t, account.Used() >= size, "%d bytes", account.Used())
	first.write(t, "\r\n")
	assert.Equal(t, first.get(t), "answer")
	time.Sleep(20 * time.Millisecond)
	assert.Equal(t, account.Used(), int64(0))
}

// TestFieldsOfOrdinaryHeadsAreFree guards against ordinary requests, and lines in the bodies behind them, for
// which memory is reserved.
func TestFieldsOfOrdinaryHeadsAreFree(t *testing.T) {
	head := "POST / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("Field: value\r\n", 40)
	assert.Equal(t, headSize(int64(len(head)), countLines([]byte(head))), int64(0))
	assert.Equal(t, countLines([]byte("a\r\nb\r\n\r\n"+strings.Repeat("\n", 100))), int64(1))
}

// TestLeavingConnectionsAreCounted guards against connections that are admitted while those that give way
// are still open.
func TestLeavingConnectionsAreCounted(t *testing.T) {
	const limit = 16
	for name, text := range map[string]string{"silent": "", "part of a head": plainRequest[:20], "stalled body": "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nhalf"} {
		t.Run(name, func(t *testing.T) {
			opened, most := 0, 0
			var mu sync.Mutex
			counted := func(change int) {
				mu.Lock()
				defer mu.Unlock()
				opened += change
				most = max(most, opened)
			}
			address, _ := startTracked(t, &Guard{MaxConns: limit, Stall: time.Nanosecond}, func(l net.Listener) net.Listener { return &countingListener{l, counted} })
			for range 20 * limit {
				c, err := net.Dial("tcp", address)
				assert.NilError(t, err)
				defer c.Close()
				_, _ = c.Write([]byte(text))
			}
			time.Sleep(50 * time.Millisecond)
			mu.Lock()
			defer mu.Unlock()
			// The last one is being accepted.
			assert.Assert(t, most <= limit+limit/leavingShare+2, "%d connections", most)
		})
	}
}

// TestPipelinedConnectionsMakeRoom guards against connections with pipelined requests that hold their places
// until all are served, and against the close of one without need.
func TestPipelinedConnectionsMakeRoom(t *testing.T) {
	const requests = 50
	for name, others := range map[string]int{"few connections": 1, "many connections": 7} {
		t.Run(name, func(t *testing.T) {
			address, _ := startTracked(t, &Guard{MaxConns: 8})
			for range others {
				dialTracked(t, address, "")
			}
			// The requests do not fit into the buffer of the server.
			request := "GET / HTTP/1.1\r\nHost: h\r\nPadding: " + strings.Repeat("x", 1000) + "\r\n\r\n"
			pipelined := dialTracked(t, address, strings.Repeat(request, requests))
			assert.NilError(t, pipelined.SetReadDeadline(time.Now().Add(time.Second)))
			answers := 0
			for {
				response, err := http.ReadResponse(pipelined.reader, nil)
				if err != nil {
					break
				}
				_, err = io.Copy(io.Discard, response.Body)
				assert.NilError(t, err)
				answers++
				if response.Close {
					break
				}
			}
			if others == 1 {
				assert.Equal(t, answers, requests)
			} else {
				assert.Assert(t, answers < requests, "%d responses", answers)
			}
		})
	}
}

// TestRequestsReadAheadAreNoticed guards against pipelined requests that are noticed only if the server happens
// to read while it serves one of them.
func TestRequestsReadAheadAreNoticed(t *testing.T) {
	for name, readsBetween := range map[string]bool{"read ahead": false, "read when idle": true} {
		t.Run(name, func(t *testing.T) {
			near, far := net.Pipe()
			defer near.Close()
			defer far.Close()
			c := &Conn{Conn: near, headSince: time.Now()}
			read := func() {
				go func() { _, _ = far.Write([]byte(plainRequest)) }()
				_, err := c.Read(make([]byte, len(plainRequest)))
				assert.NilError(t, err)
			}
			read()
			c.becomeActive()
			c.becomeIdle(time.Minute)
			if readsBetween {
				read()
			}
			c.becomeActive()
			assert.Equal(t, c.isPipelined(), !readsBetween)
		})
	}
}

// TestRefusedBodiesGiveWay guards against the rest of refused bodies that keeps new connections out.
func TestRefusedBodiesGiveWay(t *testing.T) {
	guard := &Guard{MaxConns: 4, Metrics: metric.New(), SetRetryAfter: platform.SetRetryAfter}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength > 0 {
			CloseUnread(w, r)
			w.WriteHeader(http.StatusRequestEntityTooLarge)
			DiscardBody(w, r)
			return
		}
		fmt.Fprint(w, "answer")
	})}
	guard.Protect(server)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = server.Serve(guard.Listener(listener)) }()
	t.Cleanup(func() { _ = server.Close() })
	for range 4 {
		dialTracked(t, listener.Addr().String(), "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nhalf")
	}
	assert.Equal(t, dialTracked(t, listener.Addr().String(), plainRequest).get(t), "answer")
}

// TestStalledBodiesGiveWayToMany guards against stalled bodies that keep new connections out after they were refused,
// while the rest of them is awaited.
func TestStalledBodiesGiveWayToMany(t *testing.T) {
	guard := &Guard{MaxConns: 16, Stall: 50 * time.Millisecond, Metrics: metric.New(), SetRetryAfter: platform.SetRetryAfter}
	release := make(chan struct{})
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, _, err := ReadBody(w, r, BodyLimits{Bytes: 1 << 10}); err != nil {
			w.WriteHeader(http.StatusRequestTimeout)
			DiscardBody(w, r)
			return
		}
		<-release
		fmt.Fprint(w, "answer")
	})}
	guard.Protect(server)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = server.Serve(guard.Listener(listener)) }()
	t.Cleanup(func() { _ = server.Close() })
	for range 16 {
		dialTracked(t, listener.Addr().String(), "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nhalf")
	}
	time.Sleep(100 * time.Millisecond)
	var list []*keptConnection
	for range 12 {
		list = append(list, dialTracked(t, listener.Addr().String(), plainRequest))
	}
	close(release)
	for _, c := range list {
		assert.Equal(t, c.get(t), "answer")
	}
}

// TestUnreadBodiesGiveWay guards against bodies that never end and that no handler reads. The server waits for
// them before or after the response.
func TestUnreadBodiesGiveWay(t *testing.T) {
	guard := &Guard{MaxConns: 4, Stall: 50 * time.Millisecond, Metrics: metric.New(), SetRetryAfter: platform.SetRetryAfter}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "answer") })}
	guard.Protect(server)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = server.Serve(guard.Listener(listener)) }()
	t.Cleanup(func() { _ = server.Close() })
	for range 4 {
		dialTracked(t, listener.Addr().String(), "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nhalf")
	}
	time.Sleep(100 * time.Millisecond)
	assert.Equal(t, dialTracked(t, listener.Addr().String(), plainRequest).get(t), "answer")
}

// TestTotalIsShared guards against listeners that together have more connections than they may, and against one
// that the connections of others keep from its guaranteed ones.
func TestTotalIsShared(t *testing.T) {
	total := &Total{Limit: 6}
	first := &Guard{MaxConns: 8, Total: total, Guaranteed: 2}
	second := &Guard{MaxConns: 8, Total: total, Guaranteed: 2}
	firstAddress, _ := startTracked(t, first)
	secondAddress, _ := startTracked(t, second)
	for range 10 {
		dialTracked(t, firstAddress, "")
	}
	assert.Equal(t, first.Open(), 6)
	for range 10 {
		dialTracked(t, secondAddress, "")
	}
	assert.Equal(t, second.Open(), 2)
	assert.Equal(t, dialTracked(t, secondAddress, plainRequest).get(t), "answer")
	assert.Equal(t, dialTracked(t, firstAddress, plainRequest).get(t), "answer")
	assert.Equal(t, total.open.Load(), int64(8))
}

// countingListener counts the connections that are open.
type countingListener struct {
	net.Listener
	count func(change int)
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.count(1)
	return &countedConn{Conn: c, count: l.count}, nil
}

type countedConn struct {
	net.Conn
	count func(change int)
	once  sync.Once
}

func (c *countedConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(func() { c.count(-1) })
	return err
}

// TestLongUnreadBodyDelaysNoResponse guards against a response that waits for a body that no handler reads.
func TestLongUnreadBodyDelaysNoResponse(t *testing.T) {
	for name, framing := range map[string]string{
		"announced":     "Content-Length: 10000000\r\n\r\n",
		"with continue": "Content-Length: 10000000\r\nExpect: 100-continue\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			guard := &Guard{MaxConns: 4, Stall: time.Hour, Metrics: metric.New(), SetRetryAfter: platform.SetRetryAfter}
			server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNotFound) })}
			guard.Protect(server)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			go func() { _ = server.Serve(guard.Listener(listener)) }()
			t.Cleanup(func() { _ = server.Close() })
			c := dialTracked(t, listener.Addr().String(), "POST / HTTP/1.1\r\nHost: h\r\n"+framing)
			assert.NilError(t, c.SetReadDeadline(time.Now().Add(5*time.Second)))
			response, err := http.ReadResponse(c.reader, nil)
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode, http.StatusNotFound)
		})
	}
}

// TestCompleteBodiesAreKept guards against a request that is lost because its body counts as one that stalls after
// it has arrived.
func TestCompleteBodiesAreKept(t *testing.T) {
	for name, framing := range map[string]string{
		"length":   "Content-Length: 4\r\n\r\nbody",
		"chunked":  "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"continue": "Expect: 100-continue\r\nContent-Length: 4\r\n\r\nbody",
	} {
		t.Run(name, func(t *testing.T) {
			guard := &Guard{MaxConns: 4, Stall: time.Millisecond, Metrics: metric.New(), SetRetryAfter: platform.SetRetryAfter}
			release := make(chan struct{})
			server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if body, _, err := ReadBody(w, r, BodyLimits{Bytes: 1 << 10}); err != nil || string(body.Bytes()) != "body" {
					w.WriteHeader(http.StatusBadRequest)
					return
				}
				<-release
				fmt.Fprint(w, "answer")
			})}
			guard.Protect(server)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			go func() { _ = server.Serve(guard.Listener(listener)) }()
			t.Cleanup(func() { _ = server.Close() })
			var list []*keptConnection
			for range 4 {
				list = append(list, dialTracked(t, listener.Addr().String(), "POST / HTTP/1.1\r\nHost: h\r\n"+framing))
			}
			for range 4 {
				dialTracked(t, listener.Addr().String(), plainRequest)
			}
			close(release)
			for _, c := range list {
				response, err := http.ReadResponse(c.reader, nil)
				for err == nil && response.StatusCode == http.StatusContinue {
					response, err = http.ReadResponse(c.reader, nil)
				}
				assert.NilError(t, err)
				assert.Equal(t, response.StatusCode, http.StatusOK)
			}
		})
	}
}
