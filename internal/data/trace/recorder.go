package trace

import (
	"bufio"
	"io"
	"os"
	"sync"
	"time"
)

// recorderQueueSize is the maximum number of entries queued for writing.
const recorderQueueSize = 4096

// Recorder writes completed requests of a host to a file. It never blocks a request:
// entries are counted and dropped while the queue is full.
type Recorder struct {
	// OnDropped is called for each dropped entry; it may be nil.
	OnDropped func()

	start     time.Time
	queue     chan Entry
	done      chan struct{}
	closeOnce sync.Once
	err       error
}

// NewRecorder creates or truncates the file at path and starts the writer goroutine.
func NewRecorder(path, deployment string) (*Recorder, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	buffered := bufio.NewWriter(file)
	out, err := NewWriter(buffered, deployment)
	if err != nil {
		_ = file.Close()
		return nil, err
	}
	r := &Recorder{start: time.Now(), queue: make(chan Entry, recorderQueueSize), done: make(chan struct{})}
	go r.write(out, buffered, file)
	return r, nil
}

func (r *Recorder) write(out *Writer, buffered *bufio.Writer, file io.Closer) {
	defer close(r.done)
	for entry := range r.queue {
		if err := out.Write(entry); err != nil && r.err == nil {
			r.err = err
		}
	}
	for _, f := range []func() error{buffered.Flush, file.Close} {
		if err := f(); err != nil && r.err == nil {
			r.err = err
		}
	}
}

// Record queues the entry of a request that arrived at the given time.
func (r *Recorder) Record(arrived time.Time, entry Entry) {
	entry.AtMs = max(arrived.Sub(r.start).Milliseconds(), 0)
	select {
	case r.queue <- entry:
	default:
		if r.OnDropped != nil {
			r.OnDropped()
		}
	}
}

// Close writes the queued entries and closes the file. Record must not be called afterwards.
func (r *Recorder) Close() error {
	r.closeOnce.Do(func() { close(r.queue) })
	<-r.done
	return r.err
}
