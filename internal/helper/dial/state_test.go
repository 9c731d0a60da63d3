package dial

import (
	"context"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// newLoopback opens a connection and its peer.
func newLoopback(t *testing.T) (local, peer *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	opened, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	accepted, err := listener.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() {
		opened.Close()
		accepted.Close()
	})
	return opened.(*net.TCPConn), accepted.(*net.TCPConn)
}

// TestResetIsReportedToReads guards against a read that returns a regular end because a write has got the
// error of the reset.
func TestResetIsReportedToReads(t *testing.T) {
	local, peer := newLoopback(t)
	assert.NilError(t, peer.SetLinger(0))
	assert.NilError(t, peer.Close())
	assert.NilError(t, local.SetWriteDeadline(time.Now().Add(5*time.Second)))
	for {
		if _, err := local.Write(make([]byte, 1)); err != nil {
			assert.ErrorIs(t, err, syscall.ECONNRESET)
			break
		}
	}
	_, err := local.Read(make([]byte, 1))
	assert.Equal(t, err, io.EOF, "the kernel reports the reset again, so that ReportResets is not needed")
	_, err = ReportResets(local).Read(make([]byte, 1))
	assert.ErrorIs(t, err, syscall.ECONNRESET)
}

// TestRegularEndIsNoReset guards against a response that counts as cut off because its upstream has closed the
// connection, or its own side of it.
func TestRegularEndIsNoReset(t *testing.T) {
	for name, end := range map[string]func(*net.TCPConn) error{"closed": (*net.TCPConn).Close, "own side closed": (*net.TCPConn).CloseWrite} {
		t.Run(name, func(t *testing.T) {
			local, peer := newLoopback(t)
			_, err := peer.Write([]byte("whole"))
			assert.NilError(t, err)
			assert.NilError(t, end(peer))
			data, err := io.ReadAll(ReportResets(local))
			assert.NilError(t, err)
			assert.Equal(t, string(data), "whole")
		})
	}
}

// TestBacklogIsBounded guards against connections that wait to be accepted without a bound, with what was
// sent on them.
func TestBacklogIsBounded(t *testing.T) {
	const backlog = 16
	listener, err := ListenBounded(context.Background(), "127.0.0.1:0", backlog)
	assert.NilError(t, err)
	defer listener.Close()
	info, ok := tcpInfo(listener.(*net.TCPListener))
	assert.Assert(t, ok)
	// The kernel reports the backlog of a listener in this field.
	assert.Equal(t, info.Sacked, uint32(backlog))
}

// TestFailedBacklogIsReported guards against a listener without a bound of the connections that wait because the
// error is ignored.
func TestFailedBacklogIsReported(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, listener.Close())
	assert.Assert(t, setBacklog(listener.(*net.TCPListener), 16) != nil)
}
