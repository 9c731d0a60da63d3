// Package dial opens TCP connections whose silence is found by the kernel: both
// unacknowledged data and a silent peer end a connection within about two seconds.
package dial

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// UserTimeout is how long sent data may stay unacknowledged. It leaves room for two
	// retransmissions on a link that loses packets.
	UserTimeout = 1500 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveCount find a peer that went silent
	// on an idle connection within two seconds.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// Func opens a connection.
type Func = func(ctx context.Context, network, address string) (net.Conn, error)

// New returns a function that opens connections within timeout.
func New(timeout time.Duration) Func {
	dialer := net.Dialer{Timeout: timeout, KeepAliveConfig: KeepAlive(), Control: control}
	return dialer.DialContext
}

// Listen opens a listener whose connections have the same bounds.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: KeepAlive(), Control: control}
	return config.Listen(ctx, "tcp", address)
}

// KeepAlive returns the keep-alive settings of all connections.
func KeepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}
}

func control(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(UserTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}
