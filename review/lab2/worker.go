package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// worker is a stand-in of a worker. It answers one request at a time on a channel.
type worker struct {
	id, service, zone string
	address           string
	// serve answers a request whose header was read. It returns false to close the channel.
	serve func(c net.Conn, r *http.Request) (keep bool)

	listener net.Listener
	mu       sync.Mutex
	conns    map[net.Conn]bool
}

// start opens the listener of a worker on a free port.
func (w *worker) start() error {
	var err error
	if w.listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return err
	}
	w.address, w.conns = w.listener.Addr().String(), map[net.Conn]bool{}
	go func() {
		for {
			c, err := w.listener.Accept()
			if err != nil {
				return
			}
			w.mu.Lock()
			w.conns[c] = true
			w.mu.Unlock()
			go w.handle(c)
		}
	}()
	return nil
}

func (w *worker) handle(c net.Conn) {
	defer func() {
		w.mu.Lock()
		delete(w.conns, c)
		w.mu.Unlock()
		_ = c.Close()
	}()
	reader := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if expected := request.Header.Get(headerExpect); expected != "" && expected != w.id {
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nRedwingloft-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", w.id)
			return
		}
		if !w.serve(c, request) {
			return
		}
	}
}

// crash closes the listener and resets all channels.
func (w *worker) crash() {
	_ = w.listener.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	for c := range w.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

// entry is what the worker writes into the store.
func (w *worker) entry(state string, born time.Time, slots int) string {
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":%q,"coldLeftMs":0,"callSeq":1,"born":%d}`,
		w.service, w.address, w.zone, slots, state, born.UnixMilli())
}

// Header fields of the platform.
const (
	headerID      = "Redwingloft-Attempt-Id"
	headerExpect  = "Redwingloft-Expect-Instance"
	headerSeal    = "Redwingloft-Response-Seal"
	headerWaiting = "Redwingloft-Deadline-Ms"
)
