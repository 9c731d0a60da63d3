// Package dial opens TCP connections on which the kernel detects an unresponsive peer. Both
// unacknowledged data and unanswered keep-alive probes close a connection within about two
// seconds.
package dial

import (
	"context"
	"errors"
	"fmt"
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

// The sizes of the kernel's buffers of bounded connections; the kernel doubles them. Without them, a buffer
// grows to some megabytes while the other end is fast, and remains so when data is not read any more. The
// memory of a machine includes bytes that are received and not read. Over a round trip of 10 ms, which
// is the longest within a region, callerBuffer allows for 50 Mbit/s on a connection.
const (
	callerBuffer   = 64 << 10
	upstreamBuffer = 128 << 10
)

// Func opens a connection, like net.Dialer.DialContext.
type Func = func(ctx context.Context, network, address string) (net.Conn, error)

// New returns a Func with the given connect timeout.
func New(timeout time.Duration) Func {
	dialer := net.Dialer{Timeout: timeout, KeepAliveConfig: KeepAlive(), Control: setOptions(userTimeout)}
	return dialer.DialContext
}

// BoundReceived is the Control function of a dialer whose connections hold a bounded number of received bytes, as
// those of NewBounded, and keep its other timeouts.
func BoundReceived(network, address string, raw syscall.RawConn) error {
	return setOptions(upstreamReceiveBuffer)(network, address, raw)
}

// Listen opens a TCP listener whose connections use the same timeouts and hold a bounded number of bytes that
// are received. At most backlog connections wait to be accepted; 0 leaves the number to the kernel.
func Listen(ctx context.Context, address string, backlog int) (net.Listener, error) {
	return listen(ctx, address, backlog, net.ListenConfig{KeepAliveConfig: KeepAlive(), Control: setOptions(userTimeout, receiveBuffer)})
}

// NewBounded returns a Func like New, whose connections hold a bounded number of received bytes.
func NewBounded(timeout time.Duration) Func {
	dialer := net.Dialer{Timeout: timeout, KeepAliveConfig: KeepAlive(), Control: setOptions(userTimeout, upstreamReceiveBuffer)}
	return dialer.DialContext
}

// ListenBounded opens a listener like Listen, whose connections also hold a bounded number of bytes that are
// to be sent.
func ListenBounded(ctx context.Context, address string, backlog int) (net.Listener, error) {
	return listen(ctx, address, backlog, net.ListenConfig{KeepAliveConfig: KeepAlive(), Control: setOptions(userTimeout, receiveBuffer, sendBuffer)})
}

// ListenWithoutTimeouts opens a listener like ListenBounded, whose connections keep the default timeouts of the
// kernel.
func ListenWithoutTimeouts(ctx context.Context, address string, backlog int) (net.Listener, error) {
	return listen(ctx, address, backlog, net.ListenConfig{Control: setOptions(receiveBuffer, sendBuffer)})
}

func listen(ctx context.Context, address string, backlog int, config net.ListenConfig) (net.Listener, error) {
	listener, err := config.Listen(ctx, "tcp", address)
	if err != nil || backlog <= 0 {
		return listener, err
	}
	// net.Listen has set the largest backlog, and takes no other.
	if err := setBacklog(listener.(*net.TCPListener), backlog); err != nil {
		return nil, errors.Join(fmt.Errorf("bound the connections that wait to be accepted: %w", err), listener.Close())
	}
	return listener, nil
}

func setBacklog(listener *net.TCPListener, backlog int) error {
	raw, err := listener.SyscallConn()
	if err != nil {
		return err
	}
	var listenErr error
	err = raw.Control(func(fd uintptr) { listenErr = unix.Listen(int(fd), backlog) })
	return errors.Join(err, listenErr)
}

// KeepAlive returns the keep-alive settings for all connections.
func KeepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}
}

// option is an integer option of a socket.
type option struct{ level, name, value int }

var (
	userTimeout   = option{unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(UserTimeout.Milliseconds())}
	receiveBuffer = option{unix.SOL_SOCKET, unix.SO_RCVBUF, callerBuffer}
	sendBuffer    = option{unix.SOL_SOCKET, unix.SO_SNDBUF, callerBuffer}

	upstreamReceiveBuffer = option{unix.SOL_SOCKET, unix.SO_RCVBUF, upstreamBuffer}
)

// setOptions returns a function that sets options before a socket is connected or listens.
// Connections that a listener accepts inherit its options.
func setOptions(options ...option) func(_, _ string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var optionErr error
		err := raw.Control(func(fd uintptr) {
			for _, o := range options {
				optionErr = errors.Join(optionErr, unix.SetsockoptInt(int(fd), o.level, o.name, o.value))
			}
		})
		return errors.Join(err, optionErr)
	}
}
