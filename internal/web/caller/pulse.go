package caller

import (
	"maps"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Timing of keepalives and writes.
const (
	// KeepaliveInterval is the interval between two keepalives. A caller that receives none for
	// a few intervals considers the connection lost and switches to another host.
	KeepaliveInterval = 500 * time.Millisecond
	// writeTimeout limits one write, for a caller that does not read the response.
	writeTimeout = 10 * time.Second
)

// keepalives sends keepalives on all open responses: "102 Processing" before the
// response header, and comment lines in an event stream. The zero value is ready to use.
type keepalives struct {
	writers sync.Map // of *keepaliveWriter
}

// sendAll sends one keepalive on every open response.
func (k *keepalives) sendAll(time.Time) {
	k.writers.Range(func(key, _ any) bool {
		w := key.(*keepaliveWriter)
		if w.sending.CompareAndSwap(false, true) {
			go w.sendKeepalive()
		}
		return true
	})
}

// add starts sending keepalives on w. The returned function stops them.
func (k *keepalives) add(w http.ResponseWriter) (kw *keepaliveWriter, end func()) {
	kw = &keepaliveWriter{ResponseWriter: w, controller: http.NewResponseController(w), header: http.Header{}}
	k.writers.Store(kw, nil)
	return kw, func() {
		k.writers.Delete(kw)
		kw.mu.Lock()
		defer kw.mu.Unlock()
		kw.phase = phaseEnded
	}
}

// responsePhase is the state of a response.
type responsePhase string

// Phases of a response. While waiting, nothing but keepalives has been sent.
const (
	phaseWaiting responsePhase = ""
	phaseStream  responsePhase = "stream"
	phaseBody    responsePhase = "body"
	phaseEnded   responsePhase = "ended"
)

// keepaliveWriter is a response writer on which another goroutine can send keepalives.
type keepaliveWriter struct {
	http.ResponseWriter
	controller *http.ResponseController
	// header holds the response header until it is sent. A keepalive can read the header
	// map of the ResponseWriter at any time, so the handler must not write to that map.
	header http.Header
	// sending is true while a keepalive is being sent, so that a caller that does not
	// read the response blocks at most one goroutine.
	sending atomic.Bool

	mu sync.Mutex
	// phase changes only from waiting to stream or body, and then to ended.
	phase responsePhase
}

func (w *keepaliveWriter) sendKeepalive() {
	defer w.sending.Store(false)
	w.mu.Lock()
	defer w.mu.Unlock()
	switch w.phase {
	case phaseWaiting:
		w.extendWriteDeadline()
		w.ResponseWriter.WriteHeader(http.StatusProcessing)
	case phaseStream:
		w.extendWriteDeadline()
		// A failed write is detected by the next write of the handler.
		_, _ = w.ResponseWriter.Write([]byte(": alive\n\n"))
		_ = w.controller.Flush()
	}
}

// extendWriteDeadline extends the write deadline if the response writer supports one.
func (w *keepaliveWriter) extendWriteDeadline() {
	_ = w.controller.SetWriteDeadline(time.Now().Add(writeTimeout))
}

// Header returns the response header, which WriteHeader sends.
func (w *keepaliveWriter) Header() http.Header { return w.header }

// WriteHeader sends the header of a buffered response.
func (w *keepaliveWriter) WriteHeader(status int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.phase = phaseBody
	w.extendWriteDeadline()
	maps.Copy(w.ResponseWriter.Header(), w.header)
	w.ResponseWriter.WriteHeader(status)
}

// startStream sends the header of an event stream.
func (w *keepaliveWriter) startStream() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.phase = phaseStream
	w.extendWriteDeadline()
	header := w.ResponseWriter.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-store")
	w.ResponseWriter.WriteHeader(http.StatusOK)
}

// writeEvent writes one complete event and flushes it.
func (w *keepaliveWriter) writeEvent(event []byte) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.extendWriteDeadline()
	if _, err := w.ResponseWriter.Write(event); err != nil {
		return err
	}
	return w.controller.Flush()
}
