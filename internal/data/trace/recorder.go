package trace

import (
	"bufio"
	"io"
	"os"
	"sync"
	"time"
)

// recorderQueue bounds the entries that wait to be written.
const recorderQueue = 4096

// Recorder writes the requests of a host to a file when they end.
// It never blocks a request: entries that find the queue full are counted and dropped.
type Recorder struct {
	// Dropped is called for each entry that was not written; nil is skipped.
	Dropped func()

	start time.Time
	queue chan Entry
	done  chan struct{}
	once  sync.Once
	err   error
}

// NewRecorder creates the file and starts to write.
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
	r := &Recorder{start: time.Now(), queue: make(chan Entry, recorderQueue), done: make(chan struct{})}
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

// Record adds an entry that arrived at the given time.
func (r *Recorder) Record(arrived time.Time, entry Entry) {
	entry.AtMs = max(arrived.Sub(r.start).Milliseconds(), 0)
	select {
	case r.queue <- entry:
	default:
		if r.Dropped != nil {
			r.Dropped()
		}
	}
}

// Close writes what is queued and closes the file. No Record may follow.
func (r *Recorder) Close() error {
	r.once.Do(func() { close(r.queue) })
	<-r.done
	return r.err
}
