package logging

import (
	"io"
	"sync"
	"sync/atomic"
)

// Queue is a non-blocking writer. Lines are written to the underlying writer through a
// bounded queue; lines are dropped and counted while the queue is full.
type Queue struct {
	lines    chan []byte
	dropped  atomic.Int64
	done     chan struct{}
	mu       sync.RWMutex
	closed   bool
	writeErr error
}

// NewQueue returns a Queue that writes to out and holds at most size lines.
func NewQueue(out io.Writer, size int) *Queue {
	q := &Queue{lines: make(chan []byte, size), done: make(chan struct{})}
	go func() {
		defer close(q.done)
		for line := range q.lines {
			if _, err := out.Write(line); err != nil {
				q.dropped.Add(1)
				q.writeErr = err
			}
		}
	}()
	return q
}

// Write queues a copy of line. It never returns an error.
func (q *Queue) Write(line []byte) (int, error) {
	q.mu.RLock()
	defer q.mu.RUnlock()
	if q.closed {
		q.dropped.Add(1)
		return len(line), nil
	}
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were not written.
func (q *Queue) Dropped() int64 { return q.dropped.Load() }

// Close writes the queued lines and returns the last error of the underlying writer.
func (q *Queue) Close() error {
	q.mu.Lock()
	if !q.closed {
		q.closed = true
		close(q.lines)
	}
	q.mu.Unlock()
	<-q.done
	return q.writeErr
}
