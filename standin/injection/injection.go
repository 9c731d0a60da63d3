// Package injection injects faults into a listener and its HTTP handler.
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

// Mode is a kind of fault.
type Mode string

// The fault modes.
const (
	// ModeRefuse resets new connections immediately.
	ModeRefuse Mode = "refuse"
	// ModeDelay delays each request.
	ModeDelay Mode = "delay"
	// ModeDropReply executes each request and closes the connection before the response.
	ModeDropReply Mode = "drop_reply"
	// ModeFreeze blocks each request until the fault is cleared.
	ModeFreeze Mode = "freeze"
	// ModeTruncate closes the connection after a number of response bytes.
	ModeTruncate Mode = "cut"
	// ModeStall permanently stops all traffic on the currently open connections; new ones work.
	ModeStall Mode = "silence"
	// ModeUnavailable responds to each request with status 503.
	ModeUnavailable Mode = "unavailable"
	// ModeDraining responds to each request with status 503 and the drain notice.
	ModeDraining Mode = "draining"
)

// Fault describes one fault to inject.
type Fault struct {
	Mode Mode `json:"mode"`
	// DelayMs is the delay of ModeDelay.
	DelayMs int64 `json:"delay_ms,omitempty"`
	// Bytes is the response size after which ModeTruncate closes the connection.
	Bytes int `json:"bytes,omitempty"`
	// Path limits the fault to requests whose path starts with it; empty means all.
	// It does not apply to ModeRefuse and ModeStall, which affect connections.
	Path string `json:"path,omitempty"`
	// Count is the number of requests that fail; 0 means all until the fault is cleared.
	Count int `json:"count,omitempty"`
}

// Injector injects faults into the connections and requests of one listener. The zero
// value injects none.
type Injector struct {
	mu     sync.Mutex
	faults map[Mode]*Fault
	conns  map[*conn]struct{}
	// cleared is closed and set to nil when faults are cleared.
	cleared chan struct{}
}

// Set activates a fault.
func (i *Injector) Set(fault Fault) error {
	switch fault.Mode {
	case ModeRefuse, ModeDelay, ModeDropReply, ModeFreeze, ModeTruncate, ModeUnavailable, ModeDraining:
	case ModeStall:
		i.stallConns()
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

// Clear ends all faults. Stalled connections stay stalled.
func (i *Injector) Clear() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.faults = nil
	if i.cleared != nil {
		close(i.cleared)
		i.cleared = nil
	}
}

func (i *Injector) stallConns() {
	i.mu.Lock()
	defer i.mu.Unlock()
	for c := range i.conns {
		c.stall()
	}
}

// consume returns the active fault of a mode for a path, if any, and decrements its Count.
func (i *Injector) consume(mode Mode, path string) (Fault, bool) {
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

func (i *Injector) clearedSignal() <-chan struct{} {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.cleared == nil {
		i.cleared = make(chan struct{})
	}
	return i.cleared
}

// Handler wraps next and injects the faults that affect requests.
func (i *Injector) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if fault, active := i.consume(ModeDelay, r.URL.Path); active {
			time.Sleep(time.Duration(fault.DelayMs) * time.Millisecond)
		}
		if _, active := i.consume(ModeFreeze, r.URL.Path); active {
			select {
			case <-i.clearedSignal():
			case <-r.Context().Done():
				return
			}
		}
		if _, active := i.consume(ModeUnavailable, r.URL.Path); active {
			http.Error(w, "injected fault", http.StatusServiceUnavailable)
			return
		}
		if _, active := i.consume(ModeDraining, r.URL.Path); active {
			w.Header().Set("Connection", "close")
			w.Header().Set("Retry-After", "1")
			http.Error(w, "draining", http.StatusServiceUnavailable)
			return
		}
		if _, active := i.consume(ModeDropReply, r.URL.Path); active {
			next.ServeHTTP(&discardWriter{header: http.Header{}}, r)
			panic(http.ErrAbortHandler)
		}
		if fault, active := i.consume(ModeTruncate, r.URL.Path); active {
			w = &truncatingWriter{ResponseWriter: w, remaining: fault.Bytes}
		}
		next.ServeHTTP(w, r)
	})
}

// discardWriter is a response writer that drops the response.
type discardWriter struct{ header http.Header }

func (d *discardWriter) Header() http.Header         { return d.header }
func (d *discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (d *discardWriter) WriteHeader(int)             {}
func (d *discardWriter) Flush()                      {}

// truncatingWriter aborts the connection after the remaining number of bytes.
type truncatingWriter struct {
	http.ResponseWriter
	remaining int
}

func (w *truncatingWriter) Write(p []byte) (int, error) {
	if len(p) > w.remaining {
		_, _ = w.ResponseWriter.Write(p[:w.remaining])
		_ = http.NewResponseController(w.ResponseWriter).Flush()
		panic(http.ErrAbortHandler)
	}
	w.remaining -= len(p)
	return w.ResponseWriter.Write(p)
}

func (w *truncatingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Listener wraps inner and injects the faults that affect connections.
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
		if _, active := l.injector.consume(ModeRefuse, ""); active {
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
	c := &conn{Conn: raw, injector: i, stalled: make(chan struct{}), closed: make(chan struct{})}
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.conns == nil {
		i.conns = map[*conn]struct{}{}
	}
	i.conns[c] = struct{}{}
	return c
}

// conn is a connection that can stall: it then transfers no data but stays open.
type conn struct {
	net.Conn
	injector  *Injector
	stallOnce sync.Once
	closeOnce sync.Once
	stalled   chan struct{}
	closed    chan struct{}
}

func (c *conn) stall() { c.stallOnce.Do(func() { close(c.stalled) }) }

func (c *conn) isStalled() bool {
	select {
	case <-c.stalled:
		return true
	default:
		return false
	}
}

func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.isStalled() {
		<-c.closed
		return 0, io.EOF
	}
	return n, err
}

func (c *conn) Write(p []byte) (int, error) {
	if c.isStalled() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close keeps a stalled connection open until the peer closes it or the process ends.
func (c *conn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	c.injector.mu.Lock()
	delete(c.injector.conns, c)
	c.injector.mu.Unlock()
	if c.isStalled() {
		go func() { _, _ = bufio.NewReader(c.Conn).WriteTo(io.Discard); _ = c.Conn.Close() }()
		return nil
	}
	return c.Conn.Close()
}
