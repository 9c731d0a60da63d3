package lab

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Run is a request that a worker has begun to work on.
type Run struct {
	At     time.Time
	Worker string
	// Service is that of the worker.
	Service string
	ID      string
	Path    string
	Tenant  string
	Prompt  string
}

// Worker is a stand-in of a worker. It registers itself and runs each request that is sent to it.
type Worker struct {
	ID, Service, Zone string
	// Slots is the number of requests that it works on at a time, by its entry.
	Slots int
	// Work writes the answer to a request. It returns false to close the channel.
	Work func(w *Worker, out *bufio.Writer, r *http.Request, body []byte) bool
	// OnRun is called for each request that begins to run; it may be nil.
	OnRun func(Run)

	store    *Store
	mu       sync.Mutex
	listener net.Listener
	address  string
	conns    map[net.Conn]struct{}
	born     int64
}

// Start listens, on the same address as before if there was one, and registers the worker.
func (w *Worker) Start(store *Store) error {
	address := w.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.store, w.listener, w.address, w.conns, w.born = store, listener, listener.Addr().String(), map[net.Conn]struct{}{}, time.Now().UnixMilli()
	w.mu.Unlock()
	go w.accept(listener)
	store.Put("servers/"+w.ID, []byte(fmt.Sprintf(
		`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":"ready","coldLeftMs":0,"callSeq":0,"born":%d}`,
		w.Service, w.address, w.Zone, w.Slots, w.born)))
	return nil
}

// Crash ends the worker as a crash of its process does: the kernel resets all channels. The entry
// lapses if the worker is not back before.
func (w *Worker) Crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.listener == nil {
		return
	}
	_ = w.listener.Close()
	w.listener = nil
	for c := range w.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

// Up reports whether the worker runs.
func (w *Worker) Up() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.listener != nil
}

func (w *Worker) accept(listener net.Listener) {
	for {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		w.mu.Lock()
		if w.listener != listener {
			w.mu.Unlock()
			_ = c.Close()
			return
		}
		w.conns[c] = struct{}{}
		w.mu.Unlock()
		go w.serve(c)
	}
}

func (w *Worker) serve(c net.Conn) {
	defer func() {
		w.mu.Lock()
		delete(w.conns, c)
		w.mu.Unlock()
		_ = c.Close()
	}()
	in, out := bufio.NewReader(c), bufio.NewWriter(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		keep := w.handle(out, r, body)
		if out.Flush() != nil || !keep {
			return
		}
	}
}

func (w *Worker) handle(out *bufio.Writer, r *http.Request, body []byte) bool {
	id := r.Header.Get("Redwingloft-Attempt-Id")
	if expected := r.Header.Get("Redwingloft-Expect-Instance"); expected != "" && expected != w.ID {
		fmt.Fprintf(out, "HTTP/1.1 421 Misdirected Request\r\nRedwingloft-Attempt-Id: %s\r\nRedwingloft-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
		return true
	}
	if w.OnRun != nil {
		w.OnRun(Run{
			At: time.Now(), Worker: w.ID, Service: w.Service, ID: id, Path: r.URL.Path,
			Tenant: r.Header.Get("Redwingloft-Tenant"), Prompt: r.Header.Get("Redwingloft-Prompt-Prefix"),
		})
	}
	return w.Work(w, out, r, body)
}

// Answer writes a whole successful answer with a length.
func Answer(out *bufio.Writer, r *http.Request, body string) {
	fmt.Fprintf(out, "HTTP/1.1 200 OK\r\nRedwingloft-Attempt-Id: %s\r\nRedwingloft-Response-Seal: 3e1b.07\r\nContent-Length: %d\r\n\r\n%s",
		r.Header.Get("Redwingloft-Attempt-Id"), len(body), body)
}

// StartEvents writes the head of an answer that is a stream of events.
func StartEvents(out *bufio.Writer, r *http.Request) {
	fmt.Fprintf(out, "HTTP/1.1 200 OK\r\nRedwingloft-Attempt-Id: %s\r\nRedwingloft-Response-Seal: 3e1b.07\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		r.Header.Get("Redwingloft-Attempt-Id"))
}

// Event writes an event at once.
func Event(out *bufio.Writer, number int) error {
	event := fmt.Sprintf("id: %d\ndata: piece %d\n\n", number, number)
	fmt.Fprintf(out, "%x\r\n%s\r\n", len(event), event)
	return out.Flush()
}

// EndEvents writes the end of a stream.
func EndEvents(out *bufio.Writer) { fmt.Fprint(out, "0\r\n\r\n") }
