// Package injection makes a listener and its handler fail on demand.
package injection

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Mode names a fault.
type Mode string

// The faults.
const (
	// ModeRefuse closes new connections at once.
	ModeRefuse Mode = "refuse"
	// ModeDelay delays each request.
	ModeDelay Mode = "delay"
	// ModeDropReply applies each request and closes the connection before the reply.
	ModeDropReply Mode = "drop_reply"
	// ModeFreeze holds each request until the fault ends.
	ModeFreeze Mode = "freeze"
	// ModeCut closes the connection of a reply after a number of bytes.
	ModeCut Mode = "cut"
	// ModeSilence stops all traffic on the connections that are open now, for good; new ones work.
	ModeSilence Mode = "silence"
	// ModeUnavailable answers each request with 503.
	ModeUnavailable Mode = "unavailable"
	// ModeDraining answers each request with 503 and the drain notice.
	ModeDraining Mode = "draining"
)

// Fault is one order to fail.
type Fault struct {
	Mode Mode `json:"mode"`
	// DelayMs is the delay of ModeDelay.
	DelayMs int64 `json:"delay_ms,omitempty"`
	// Bytes is the reply size after which ModeCut cuts.
	Bytes int `json:"bytes,omitempty"`
	// Path limits the fault to requests whose path starts with it; empty means all.
	// It does not apply to ModeRefuse and ModeSilence, which act on connections.
	Path string `json:"path,omitempty"`
	// Count is the number of requests that fail; 0 means all until the fault is cleared.
	Count int `json:"count,omitempty"`
}

// Injector fails the connections and requests of one listener. The zero value does nothing.
type Injector struct {
	mu     sync.Mutex
	faults map[Mode]*Fault
	conns  map[*conn]struct{}
	// cleared is closed and replaced when faults are cleared.
	cleared chan struct{}
}

// Set puts a fault in force.
func (i *Injector) Set(fault Fault) error {
	switch fault.Mode {
	case ModeRefuse, ModeDelay, ModeDropReply, ModeFreeze, ModeCut, ModeUnavailable, ModeDraining:
	case ModeSilence:
		i.silence()
		return nil
	default:
		return errors.New("unknown fault mode " + string(fault.Mode))
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.faults == nil {
		i.faults = map[Mode]*Fault{}
	}
	i.faults[fault.Mode] = &fault
	return nil
}

// Clear ends all faults. Silenced connections stay silent.
func (i *Injector) Clear() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.faults = nil
	if i.cleared != nil {
		close(i.cleared)
		i.cleared = nil
	}
}

func (i *Injector) silence() {
	i.mu.Lock()
	defer i.mu.Unlock()
	for c := range i.conns {
		c.silence()
	}
}

// take returns the fault of a mode where it is in force, and counts it.
func (i *Injector) take(mode Mode, path string) (Fault, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	fault := i.faults[mode]
	if fault == nil || !strings.HasPrefix(path, fault.Path) {
		return Fault{}, false
	}
	if fault.Count > 0 {
		fault.Count--
		if fault.Count == 0 {
			delete(i.faults, mode)
		}
	}
	return *fault, true
}

func (i *Injector) wait() <-chan struct{} {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.cleared == nil {
		i.cleared = make(chan struct{})
	}
	return i.cleared
}

// Handler wraps next with the faults of requests.
func (i *Injector) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if fault, on := i.take(ModeDelay, r.URL.Path); on {
			time.Sleep(time.Duration(fault.DelayMs) * time.Millisecond)
		}
		if _, on := i.take(ModeFreeze, r.URL.Path); on {
			select {
			case <-i.wait():
			case <-r.Context().Done():
				return
			}
		}
		if _, on := i.take(ModeUnavailable, r.URL.Path); on {
			http.Error(w, "injected fault", http.StatusServiceUnavailable)
			return
		}
		if _, on := i.take(ModeDraining, r.URL.Path); on {
			w.Header().Set("Connection", "close")
			w.Header().Set("Retry-After", "1")
			http.Error(w, "draining", http.StatusServiceUnavailable)
			return
		}
		if _, on := i.take(ModeDropReply, r.URL.Path); on {
			next.ServeHTTP(&discard{header: http.Header{}}, r)
			panic(http.ErrAbortHandler)
		}
		if fault, on := i.take(ModeCut, r.URL.Path); on {
			w = &cutter{ResponseWriter: w, left: fault.Bytes}
		}
		next.ServeHTTP(w, r)
	})
}

// discard is a response writer that drops the reply.
type discard struct{ header http.Header }

func (d *discard) Header() http.Header         { return d.header }
func (d *discard) Write(p []byte) (int, error) { return len(p), nil }
func (d *discard) WriteHeader(int)             {}
func (d *discard) Flush()                      {}

// cutter aborts the connection after a number of bytes.
type cutter struct {
	http.ResponseWriter
	left int
}

func (c *cutter) Write(p []byte) (int, error) {
	if len(p) > c.left {
		_, _ = c.ResponseWriter.Write(p[:c.left])
		_ = http.NewResponseController(c.ResponseWriter).Flush()
		panic(http.ErrAbortHandler)
	}
	c.left -= len(p)
	return c.ResponseWriter.Write(p)
}

func (c *cutter) Unwrap() http.ResponseWriter { return c.ResponseWriter }

// Listener wraps inner with the faults of connections.
func (i *Injector) Listener(inner net.Listener) net.Listener {
	return &listener{Listener: inner, injector: i}
}

type listener struct {
	net.Listener
	injector *Injector
}

func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if _, on := l.injector.take(ModeRefuse, ""); on {
			if tcp, ok := raw.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			_ = raw.Close()
			continue
		}
		return l.injector.track(raw), nil
	}
}

func (i *Injector) track(raw net.Conn) *conn {
	c := &conn{Conn: raw, injector: i, silent: make(chan struct{}), closed: make(chan struct{})}
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.conns == nil {
		i.conns = map[*conn]struct{}{}
	}
	i.conns[c] = struct{}{}
	return c
}

// conn is a connection that can go silent: it then takes and gives no byte, and stays open.
type conn struct {
	net.Conn
	injector *Injector
	once     sync.Once
	end      sync.Once
	silent   chan struct{}
	closed   chan struct{}
}

func (c *conn) silence() { c.once.Do(func() { close(c.silent) }) }

func (c *conn) isSilent() bool {
	select {
	case <-c.silent:
		return true
	default:
		return false
	}
}

func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.isSilent() {
		<-c.closed
		return 0, io.EOF
	}
	return n, err
}

func (c *conn) Write(p []byte) (int, error) {
	if c.isSilent() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close keeps a silent connection open towards the peer until the process ends.
func (c *conn) Close() error {
	c.end.Do(func() { close(c.closed) })
	c.injector.mu.Lock()
	delete(c.injector.conns, c)
	c.injector.mu.Unlock()
	if c.isSilent() {
		go func() { _, _ = bufio.NewReader(c.Conn).WriteTo(io.Discard); _ = c.Conn.Close() }()
		return nil
	}
	return c.Conn.Close()
}
