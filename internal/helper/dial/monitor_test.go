package dial

import (
	"context"
	"io"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

const (
	// unreadBytes fill the receive buffer of a peer and leave more to be sent.
	unreadBytes = 60 << 10
	// smallBuffer is the receive buffer that a peer asks for.
	smallBuffer = 4 << 10
	// deadTime is the longest time in which a peer that does not respond is noticed while it has room.
	deadTime = 3000 * time.Millisecond
)

// pair is a connection of a monitored listener and its peer.
type pair struct {
	local, peer net.Conn
}

// newPair opens a connection. The peer has a small receive buffer.
func newPair(t *testing.T, limit time.Duration) pair {
	t.Helper()
	listener, err := ListenBounded(context.Background(), "127.0.0.1:0", 0)
	assert.NilError(t, err)
	t.Cleanup(func() { listener.Close() })
	monitor := &Monitor{Limit: limit}
	runMonitor(t, monitor)
	accepted := make(chan net.Conn, 1)
	go func() {
		c, err := monitor.Listener(listener).Accept()
		if err == nil {
			accepted <- c
		}
	}()
	dialer := net.Dialer{Control: setOptions(option{unix.SOL_SOCKET, unix.SO_RCVBUF, smallBuffer})}
	peer, err := dialer.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	local := <-accepted
	t.Cleanup(func() {
		peer.Close()
		local.Close()
	})
	return pair{local, peer}
}

// runMonitor checks the connections of a monitor until the test ends.
func runMonitor(t *testing.T, monitor *Monitor) {
	ticker := time.NewTicker(CheckInterval)
	done := make(chan struct{})
	var running sync.WaitGroup
	running.Go(func() {
		for {
			select {
			case now := <-ticker.C:
				monitor.Check(now)
			case <-done:
				return
			}
		}
	})
	t.Cleanup(func() {
		ticker.Stop()
		close(done)
		running.Wait()
	})
}

// cutOff makes a connection drop all that it receives, so that its peer gets no response.
func cutOff(t *testing.T, c net.Conn) {
	t.Helper()
	raw, err := c.(syscall.Conn).SyscallConn()
	assert.NilError(t, err)
	drop := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: 0}
	assert.NilError(t, raw.Control(func(fd uintptr) {
		err = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &drop})
	}))
	assert.NilError(t, err)
}

// closedAfter returns the time after which the connection is closed, at most the given one.
func closedAfter(c net.Conn, limit time.Duration) time.Duration {
	started := time.Now()
	_ = c.SetReadDeadline(started.Add(limit))
	_, _ = c.Read(make([]byte, 1))
	return time.Since(started)
}

// TestPeerThatPausesIsKept guards against a connection that is reset because its peer, which is alive, has
// no room for data for some seconds, also after it was closed here.
func TestPeerThatPausesIsKept(t *testing.T) {
	for name, c := range map[string]struct {
		pause time.Duration
		close bool
	}{
		"three seconds":        {pause: 3 * time.Second},
		"four seconds":         {pause: 4 * time.Second},
		"with a closed socket": {3 * time.Second, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newPair(t, 5*time.Second)
			_, err := p.local.Write(make([]byte, unreadBytes))
			assert.NilError(t, err)
			if c.close {
				time.Sleep(CheckInterval)
				assert.NilError(t, p.local.Close())
			}
			time.Sleep(c.pause)
			n, err := io.CopyN(io.Discard, p.peer, unreadBytes)
			assert.NilError(t, err, "after %d bytes", n)
		})
	}
}

// TestPeerThatPausesAgainIsKept guards against a limit that counts several pauses as one.
func TestPeerThatPausesAgainIsKept(t *testing.T) {
	t.Parallel()
	p := newPair(t, 5*time.Second)
	_, err := p.local.Write(make([]byte, unreadBytes))
	assert.NilError(t, err)
	for range 3 {
		time.Sleep(2500 * time.Millisecond)
		n, err := io.CopyN(io.Discard, p.peer, unreadBytes/3)
		assert.NilError(t, err, "after %d bytes", n)
	}
}

// TestPeerThatNeverReads guards against a connection that stays open although its peer reads nothing for
// longer than the limit.
func TestPeerThatNeverReads(t *testing.T) {
	t.Parallel()
	p := newPair(t, 3*time.Second)
	_, err := p.local.Write(make([]byte, unreadBytes))
	assert.NilError(t, err)
	took := closedAfter(p.local, 10*time.Second)
	assert.Assert(t, took > 2500*time.Millisecond && took < 5*time.Second, "closed after %s", took)
}

// TestDeadPeerIsNoticed guards against a peer that does not respond and is noticed later because
// connections are monitored.
func TestDeadPeerIsNoticed(t *testing.T) {
	for name, c := range map[string]struct {
		unread int
		pause  time.Duration
		limit  time.Duration
	}{
		"with room":              {limit: deadTime},
		"with room after a read": {unread: unreadBytes, pause: 3 * time.Second, limit: deadTime},
		"without room":           {unread: unreadBytes, limit: 4 * time.Second},
		"without room for long":  {unread: unreadBytes, pause: 8 * time.Second, limit: 4 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newPair(t, time.Minute)
			_, err := p.local.Write(make([]byte, c.unread))
			assert.NilError(t, err)
			time.Sleep(c.pause)
			if c.limit == deadTime && c.unread > 0 {
				_, err := io.CopyN(io.Discard, p.peer, unreadBytes)
				assert.NilError(t, err)
				time.Sleep(2 * CheckInterval)
			}
			cutOff(t, p.peer)
			if c.limit == deadTime {
				_, err = p.local.Write(make([]byte, 2*unmonitoredBytes))
				assert.NilError(t, err)
			}
			took := closedAfter(p.local, 10*time.Second)
			assert.Assert(t, took < c.limit, "noticed after %s", took)
		})
	}
}

// TestMonitorForgetsDelivered guards against connections that stay monitored after all was read.
func TestMonitorForgetsDelivered(t *testing.T) {
	t.Parallel()
	p := newPair(t, time.Minute)
	_, err := p.local.Write(make([]byte, unreadBytes))
	assert.NilError(t, err)
	_, err = io.CopyN(io.Discard, p.peer, unreadBytes)
	assert.NilError(t, err)
	monitor := p.local.(*monitoredConn).monitor
	deadline := time.Now().Add(5 * time.Second)
	for {
		monitor.mu.Lock()
		left := len(monitor.conns)
		monitor.mu.Unlock()
		if left == 0 {
			return
		}
		assert.Assert(t, time.Now().Before(deadline), "%d connections are left", left)
		time.Sleep(CheckInterval / 5)
	}
}
