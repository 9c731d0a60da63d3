package platform

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"redwingloft/internal/data/fleet"
	"redwingloft/pkg/api"
	wire "redwingloft/platform"
)

// Run is one request that an upstream worked on.
type Run struct {
	Path   string
	Header http.Header
	Body   []byte
}

// Upstream is a stand-in of an upstream that writes its answers byte by byte, so that
// a test can send wrong ones.
type Upstream struct {
	// Handle answers one request. It returns false to close the connection after it.
	Handle func(w *bufio.Writer, run Run) (keep bool)
	// Entry is the upstream as the store lists it; Address is set by Start.
	Entry fleet.Upstream

	listener net.Listener
	mu       sync.Mutex
	runs     []Run
	conns    map[net.Conn]struct{}
}

// Start listens on a loopback address.
func (u *Upstream) Start() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	u.listener, u.conns = listener, map[net.Conn]struct{}{}
	u.Entry.Address = api.Address(listener.Addr().String())
	go u.accept()
	return nil
}

// Close ends the listener and all connections.
func (u *Upstream) Close() {
	_ = u.listener.Close()
	u.Reset()
}

// Reset closes all connections without their end.
func (u *Upstream) Reset() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for c := range u.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

// Runs returns the requests so far.
func (u *Upstream) Runs() []Run {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]Run(nil), u.runs...)
}

// Open returns the number of open connections.
func (u *Upstream) Open() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.conns)
}

func (u *Upstream) accept() {
	for {
		c, err := u.listener.Accept()
		if err != nil {
			return
		}
		u.mu.Lock()
		u.conns[c] = struct{}{}
		u.mu.Unlock()
		go u.serve(c)
	}
}

func (u *Upstream) serve(c net.Conn) {
	defer func() {
		u.mu.Lock()
		delete(u.conns, c)
		u.mu.Unlock()
		_ = c.Close()
	}()
	reader, writer := bufio.NewReader(c), bufio.NewWriter(c)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		run := Run{Path: request.RequestURI, Header: request.Header, Body: body}
		if expected := request.Header.Get(wire.HeaderExpected); expected != "" && expected != string(u.Entry.ID) {
			fmt.Fprintf(writer, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", wire.HeaderUpstreamID, u.Entry.ID)
			_ = writer.Flush()
			continue
		}
		u.mu.Lock()
		u.runs = append(u.runs, run)
		u.mu.Unlock()
		keep := u.Handle(writer, run)
		if writer.Flush() != nil || !keep {
			return
		}
	}
}

// Answer writes a whole answer with the id of the request and a digest.
func Answer(w *bufio.Writer, id string, status int, body string) {
	fmt.Fprintf(w, "HTTP/1.1 %d %s\r\n%s: %s\r\n%s: 1.2.3\r\nContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), wire.HeaderRequestID, id, wire.HeaderDigest, len(body), body)
}

// Refuse writes the answer of an upstream that does not run a request.
func Refuse(w *bufio.Writer, id string) {
	fmt.Fprintf(w, "HTTP/1.1 503 Service Unavailable\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", wire.HeaderRequestID, id, wire.HeaderNotRun)
}

// Events writes the events from first to last of a stream and, where whole is true, its end.
func Events(w *bufio.Writer, id string, first, last int, whole bool, pause time.Duration) {
	fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: 1.2.3\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		wire.HeaderRequestID, id, wire.HeaderDigest)
	for i := first; i <= last; i++ {
		event := fmt.Sprintf("id: %d\ndata: event %d\n\n", i, i)
		fmt.Fprintf(w, "%x\r\n%s\r\n", len(event), event)
		if w.Flush() != nil {
			return
		}
		time.Sleep(pause)
	}
	if whole {
		fmt.Fprint(w, "0\r\n\r\n")
	}
}
