// Package dial opens TCP connections on which the kernel detects an unresponsive peer. Both
// unacknowledged data and unanswered keep-alive probes close a connection within about two
// seconds.
package dial

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// UserTimeout is how long sent data may remain unacknowledged. It allows for two
	// retransmissions on a link with packet loss.
	UserTimeout = 1500 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveCount detect an unresponsive peer on an
	// idle connection within two seconds.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// MaxHeaderBytes bounds the header of an HTTP response, with the informational responses
// before it, and that of a request. The default of net/http is 10 MB for responses.
const MaxHeaderBytes = 64 << 10

// Func opens a connection, like net.Dialer.DialContext.
type Func = func(ctx context.Context, network, address string) (net.Conn, error)

// New returns a Func with the given connect timeout.
func New(timeout time.Duration) Func {
	dialer := net.Dialer{Timeout: timeout, KeepAliveConfig: KeepAlive(), Control: setUserTimeout}
	return dialer.DialContext
}

// Listen opens a TCP listener whose connections use the same timeouts.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: KeepAlive(), Control: setUserTimeout}
	return config.Listen(ctx, "tcp", address)
}

// KeepAlive returns the keep-alive settings for all connections.
func KeepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(UserTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optionErr
}
