package dial

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// CheckInterval is the interval at which Check of a Monitor has to be called.
const CheckInterval = 500 * time.Millisecond

// unmonitoredBytes is the size of what is written to a connection before it is monitored. Even the smallest
// receive buffer holds as much.
const unmonitoredBytes = 1 << 10

// maxProbeInterval is the kernel's default for the longest interval of its probes.
const maxProbeInterval = 2 * time.Minute

// Monitor keeps connections open whose peer is alive but reads slowly. UserTimeout closes a connection
// not only if the peer does not acknowledge data, but also if it acknowledges all and has no room for
// more. Once a peer had no room, Monitor removes the kernel's timeout from the connection, and closes it
// itself if the peer does not acknowledge data or probes for UserTimeout, or exceeds Limit. Other
// connections are left to the kernel, as are all where it does not report their state.
//
// The zero value is ready to use.
type Monitor struct {
	// Limit is how long a peer may accept no data; 0 means no limit.
	Limit time.Duration
	// OnClose is called for each connection that Monitor closes; it may be nil.
	OnClose func(peer net.Addr, cause CloseCause)

	mu sync.Mutex
	// conns holds the connections that may have unsent data.
	conns map[*monitoredConn]struct{}
}

// CloseCause states why a connection was closed.
type CloseCause string

// The causes for which Monitor closes connections.
const (
	// CauseSilent: the peer did not acknowledge data or probes.
	CauseSilent CloseCause = "silent"
	// CauseUnread: the peer accepted no data for longer than the limit.
	CauseUnread CloseCause = "unread"
)

// Dialer returns a Func whose connections are monitored.
func (m *Monitor) Dialer(dial Func) Func {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return m.watch(c), nil
	}
}

// Listener returns a listener whose connections are monitored.
func (m *Monitor) Listener(l net.Listener) net.Listener { return &monitoredListener{l, m} }

type monitoredListener struct {
	net.Listener
	monitor *Monitor
}

// Accept implements net.Listener.
func (l *monitoredListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.monitor.watch(c), nil
}

// watch returns a connection that is monitored, or the connection itself if it is not one of TCP.
func (m *Monitor) watch(c net.Conn) net.Conn {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return c
	}
	return &monitoredConn{Conn: tcp, tcp: tcp, monitor: m}
}

// Check looks for peers that have no room for data, and closes the connections whose peer is dead.
func (m *Monitor) Check(now time.Time) {
	m.mu.Lock()
	conns := make([]*monitoredConn, 0, len(m.conns))
	for c := range m.conns {
		conns = append(conns, c)
	}
	m.mu.Unlock()
	for _, c := range conns {
		if !c.check(now) {
			m.remove(c)
		}
	}
}

func (m *Monitor) add(c *monitoredConn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.conns == nil {
		m.conns = map[*monitoredConn]struct{}{}
	}
	m.conns[c] = struct{}{}
	c.added.Store(true)
}

func (m *Monitor) remove(c *monitoredConn) {
	m.mu.Lock()
	delete(m.conns, c)
	c.added.Store(false)
	m.mu.Unlock()
	// A write that has begun since has seen that the connection was added.
	if !c.closed.Load() && c.unmonitored() > 0 {
		m.add(c)
	}
}

// monitoredConn is a connection that adds itself to a monitor when it is written to.
type monitoredConn struct {
	net.Conn
	tcp     *net.TCPConn
	monitor *Monitor

	// writing is the number of calls of Write in progress.
	writing atomic.Int32
	// written is the number of bytes that were passed to Write.
	written atomic.Int64
	// delivered is the number of these bytes that are known to be acknowledged.
	delivered atomic.Int64
	added     atomic.Bool
	closed    atomic.Bool

	// adopted is set once the peer had no room. The kernel's timeout is off since.
	adopted atomic.Bool

	// mu guards what follows.
	mu sync.Mutex
	// checkedAt is the time of the last check, and acked the number of bytes acknowledged then.
	checkedAt time.Time
	acked     uint64
	// fullSince is the time at which the connection was adopted.
	fullSince time.Time
	// progressAt is the time of the last check by which the peer had accepted data; zero if nothing is
	// left to be sent.
	progressAt time.Time
	// silentSince is the time of the first check at which data or a probe was not acknowledged; zero if
	// the peer has responded since.
	silentSince time.Time
}

// unmonitored returns the number of bytes that were written since all were known to be acknowledged.
func (c *monitoredConn) unmonitored() int64 { return c.written.Load() - c.delivered.Load() }

// Write implements net.Conn.
func (c *monitoredConn) Write(p []byte) (int, error) {
	c.writing.Add(1)
	defer c.writing.Add(-1)
	c.written.Add(int64(len(p)))
	if !c.added.Load() && (c.unmonitored() > unmonitoredBytes || c.adopted.Load()) {
		c.monitor.add(c)
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn. The kernel sends what is left after it.
func (c *monitoredConn) Close() error {
	c.closed.Store(true)
	if c.added.Load() {
		c.handOver()
		c.monitor.remove(c)
	}
	return c.Conn.Close()
}

// SyscallConn implements syscall.Conn.
func (c *monitoredConn) SyscallConn() (syscall.RawConn, error) { return c.tcp.SyscallConn() }

// CloseWrite closes the sending side of the connection.
func (c *monitoredConn) CloseWrite() error { return c.tcp.CloseWrite() }

// check returns false if the connection needs no further check until more is written.
func (c *monitoredConn) check(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	// A write that is counted here and is not in progress any more has reached the kernel.
	written, writing := c.written.Load(), c.writing.Load() > 0
	info, ok := tcpInfo(c.tcp)
	if !ok {
		c.delivered.Store(written)
		return false
	}
	sinceCheck := now.Sub(c.checkedAt)
	c.checkedAt = now
	if info.Unacked == 0 && info.Notsent_bytes == 0 {
		c.progressAt, c.silentSince = time.Time{}, time.Time{}
		if writing {
			return true
		}
		c.delivered.Store(written)
		return false
	}
	if !c.adopted.Load() && isFull(info) {
		c.adopt(now)
	}
	if info.Bytes_acked != c.acked || c.progressAt.IsZero() {
		c.acked, c.progressAt = info.Bytes_acked, now
	}
	acknowledged := time.Duration(info.Last_ack_recv)*time.Millisecond < sinceCheck
	switch {
	case acknowledged || info.Unacked == 0 && info.Probes == 0:
		c.silentSince = time.Time{}
	case c.silentSince.IsZero():
		c.silentSince = now
	}
	if !c.adopted.Load() {
		return true
	}
	switch {
	case !c.silentSince.IsZero() && now.Sub(c.silentSince) >= UserTimeout:
		c.abort(CauseSilent)
		return false
	case c.monitor.Limit > 0 && now.Sub(c.progressAt) >= c.monitor.Limit:
		c.abort(CauseUnread)
		return false
	}
	return true
}

// abort closes the connection and drops what is left to be sent.
func (c *monitoredConn) abort(cause CloseCause) {
	c.closed.Store(true)
	_ = c.tcp.SetLinger(0)
	_ = c.tcp.Close()
	if c.monitor.OnClose != nil {
		c.monitor.OnClose(c.tcp.RemoteAddr(), cause)
	}
}

// isFull reports whether the peer has no room for data. Kernels that don't report the peer's window
// don't report their own either.
func isFull(info *unix.TCPInfo) bool {
	return info.Unacked == 0 && info.Notsent_bytes > 0 || info.Unacked > 0 && info.Snd_wnd == 0 && info.Rcv_wnd > 0
}

// adopt removes the kernel's timeout. The caller holds mu.
func (c *monitoredConn) adopt(now time.Time) {
	c.fullSince = now
	c.adopted.Store(true)
	c.setTimeout(0)
	// Kernels before 6.15 lack this option and double the interval of their probes each time.
	c.setOption(unix.TCP_RTO_MAX_MS, UserTimeout)
}

// handOver gives the kernel a timeout for what is left to be sent when the connection is closed. The kernel may
// count the time since the peer first had no room.
func (c *monitoredConn) handOver() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if info, ok := tcpInfo(c.tcp); !c.adopted.Load() && ok && isFull(info) {
		c.adopt(now)
	}
	if c.adopted.Load() {
		// The kernel gives a closed connection up once its probes have their longest interval.
		c.setOption(unix.TCP_RTO_MAX_MS, maxProbeInterval)
		c.setTimeout(now.Sub(c.fullSince) + max(c.monitor.Limit, UserTimeout))
	}
}

// setTimeout sets the timeout of the kernel; 0 removes it. An error means that the connection is closed.
func (c *monitoredConn) setTimeout(d time.Duration) { c.setOption(unix.TCP_USER_TIMEOUT, d) }

func (c *monitoredConn) setOption(name int, d time.Duration) {
	control(c.tcp, func(fd int) error { return unix.SetsockoptInt(fd, unix.IPPROTO_TCP, name, int(d.Milliseconds())) })
}
