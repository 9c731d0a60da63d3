package dial

import (
	"errors"
	"io"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// ReportResets returns a connection whose reads report each reset. The kernel reports a reset to one call only. If
// that is a write of another goroutine, a read returns the same as after a regular end, and a response that ends
// with its connection would look complete.
func ReportResets(c net.Conn) net.Conn { return &resetConn{c} }

type resetConn struct{ net.Conn }

// Read implements net.Conn.
func (c *resetConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF && wasReset(c.Conn) {
		err = &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: syscall.ECONNRESET}
	}
	return n, err
}

// SyscallConn implements syscall.Conn.
func (c *resetConn) SyscallConn() (syscall.RawConn, error) {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return raw.SyscallConn()
}

// wasReset reports whether a connection whose end was read has been reset. After a regular end, the kernel waits
// for this side to close it.
func wasReset(c net.Conn) bool {
	raw, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	info, ok := tcpInfo(raw)
	return ok && info.State == unix.BPF_TCP_CLOSE
}

// tcpInfo returns the state of a connection, and false if it is closed or the kernel does not report it.
func tcpInfo(c syscall.Conn) (info *unix.TCPInfo, ok bool) {
	control(c, func(fd int) (err error) {
		info, err = unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		ok = err == nil
		return err
	})
	return info, ok
}

// control calls f with the descriptor of a connection, unless it is closed. The error of f is ignored.
func control(c syscall.Conn, f func(fd int) error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { _ = f(int(fd)) })
}
