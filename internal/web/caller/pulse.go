package caller

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// PulsePeriod is the time between two signs of life. A caller that gets none for
	// a few periods takes the connection for lost and goes to another host.
	PulsePeriod = 500 * time.Millisecond
	// writeTimeout bounds one write to a caller that does not read.
	writeTimeout = 10 * time.Second
)

// pulse sends signs of life on the open answers: "102 Processing" before the
// header of an answer, and comment lines within an event stream. The zero value works.
type pulse struct {
	open sync.Map // of *liveWriter
}

// beat sends one sign of life on every open answer.
func (p *pulse) beat(time.Time) {
	p.open.Range(func(key, _ any) bool {
		w := key.(*liveWriter)
		if w.beating.CompareAndSwap(false, true) {
			go w.beat()
		}
		return true
	})
}

// add starts signs of life on w. The returned function ends them.
func (p *pulse) add(w http.ResponseWriter) (live *liveWriter, end func()) {
	live = &liveWriter{ResponseWriter: w, control: http.NewResponseController(w)}
	p.open.Store(live, nil)
	return live, func() {
		p.open.Delete(live)
		live.mu.Lock()
		defer live.mu.Unlock()
		live.phase = phaseEnded
	}
}

// phase is the progress of an answer.
type phase string

const (
	phaseWaiting phase = ""
	phaseStream  phase = "stream"
	phaseBody    phase = "body"
	phaseEnded   phase = "ended"
)

// liveWriter is a response writer that other goroutines may send signs of life on.
type liveWriter struct {
	http.ResponseWriter
	control *http.ResponseController
	// beating is true while a sign of life is being sent, so that a caller that does
	// not read holds one goroutine at most.
	beating atomic.Bool

	mu sync.Mutex
	// phase only moves from waiting to stream or body and then to ended.
	phase phase
}

func (w *liveWriter) beat() {
	defer w.beating.Store(false)
	w.mu.Lock()
	defer w.mu.Unlock()
	switch w.phase {
	case phaseWaiting:
		w.extend()
		w.ResponseWriter.WriteHeader(http.StatusProcessing)
	case phaseStream:
		w.extend()
		// A failed write shows in the next write of the handler.
		_, _ = w.ResponseWriter.Write([]byte(": alive\n\n"))
		_ = w.control.Flush()
	}
}

// extend moves the write deadline; not all writers have one.
func (w *liveWriter) extend() { _ = w.control.SetWriteDeadline(time.Now().Add(writeTimeout)) }

// WriteHeader sends the header of an answer with a body.
func (w *liveWriter) WriteHeader(status int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.phase = phaseBody
	w.extend()
	w.ResponseWriter.WriteHeader(status)
}

// startStream sends the header of an event stream.
func (w *liveWriter) startStream() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.phase = phaseStream
	w.extend()
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	w.ResponseWriter.WriteHeader(http.StatusOK)
}

// writeEvent writes one whole event and flushes it.
func (w *liveWriter) writeEvent(event []byte) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.extend()
	if _, err := w.ResponseWriter.Write(event); err != nil {
		return err
	}
	return w.control.Flush()
}
