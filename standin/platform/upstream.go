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

// Request is one request that an upstream received and handled.
type Request struct {
	Path   string
	Header http.Header
	Body   []byte
}

// Upstream is a stand-in of an upstream. Its handler writes the raw bytes of a response,
// so that a test can send malformed ones.
type Upstream struct {
	// Handle writes the response to one request. It returns false to close the connection afterwards.
	Handle func(w *bufio.Writer, request Request) (keep bool)
	// HandleEarly, if set, is called instead of Handle before the body of a request is read. The
	// connection is closed after it.
	HandleEarly func(c net.Conn, request *http.Request)
	// Entry is the upstream's entry in the store; Start sets its Address.
	Entry fleet.Upstream

	listener net.Listener
	mu       sync.Mutex
	requests []Request
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

// Close closes the listener and resets all connections.
func (u *Upstream) Close() {
	_ = u.listener.Close()
	u.Reset()
}

// Reset aborts all connections with a TCP reset.
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

// Requests returns the requests handled so far.
func (u *Upstream) Requests() []Request {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]Request(nil), u.requests...)
}

// RequestIDs returns the ids of the requests handled so far.
func (u *Upstream) RequestIDs() []string {
	u.mu.Lock()
	defer u.mu.Unlock()
	ids := make([]string, 0, len(u.requests))
	for _, request := range u.requests {
		ids = append(ids, request.Header.Get(wire.HeaderRequestID))
	}
	return ids
}

// OpenConns returns the number of open connections.
func (u *Upstream) OpenConns() int {
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
		if u.HandleEarly != nil {
			u.HandleEarly(c, request)
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		received := Request{Path: request.RequestURI, Header: request.Header, Body: body}
		if expected := request.Header.Get(wire.HeaderExpectedUpstream); expected != "" && expected != string(u.Entry.ID) {
			fmt.Fprintf(writer, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", wire.HeaderUpstreamID, u.Entry.ID)
			_ = writer.Flush()
			continue
		}
		u.mu.Lock()
		u.requests = append(u.requests, received)
		u.mu.Unlock()
		keep := u.Handle(writer, received)
		if writer.Flush() != nil || !keep {
			return
		}
	}
}

// WriteResponse writes a complete response with the request ID and a digest.
func WriteResponse(w *bufio.Writer, id string, status int, body string) {
	fmt.Fprintf(w, "HTTP/1.1 %d %s\r\n%s: %s\r\n%s: 1.2.3\r\nContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), wire.HeaderRequestID, id, wire.HeaderDigest, len(body), body)
}

// WriteNotRun writes a 503 response that marks the request as not run.
func WriteNotRun(w *bufio.Writer, id string) {
	fmt.Fprintf(w, "HTTP/1.1 503 Service Unavailable\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", wire.HeaderRequestID, id, wire.HeaderNotRun)
}

// WriteEvents writes the header of an event stream and the events first to last, with a pause of
// interval after each. If complete is true, it also writes the final chunk.
func WriteEvents(w *bufio.Writer, id string, first, last int, complete bool, interval time.Duration) {
	fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: 1.2.3\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		wire.HeaderRequestID, id, wire.HeaderDigest)
	for i := first; i <= last; i++ {
		event := fmt.Sprintf("id: %d\ndata: event %d\n\n", i, i)
		fmt.Fprintf(w, "%x\r\n%s\r\n", len(event), event)
		if w.Flush() != nil {
			return
		}
		time.Sleep(interval)
	}
	if complete {
		fmt.Fprint(w, "0\r\n\r\n")
	}
}
