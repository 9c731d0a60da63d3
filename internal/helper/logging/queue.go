package logging

import (
	"io"
	"sync"
	"sync/atomic"
)

// queuedLineBytes is the mean length of the queued lines up to which a queue holds its number of lines.
const queuedLineBytes = 512

// Queue is a non-blocking writer. Lines are written to the underlying writer through a
// bounded queue; lines are dropped and counted while the queue is full.
type Queue struct {
	lines chan []byte
	// bytes is the sum of the lengths of the queued lines, at most limit.
	bytes    atomic.Int64
	limit    int64
	dropped  atomic.Int64
	done     chan struct{}
	mu       sync.RWMutex
	closed   bool
	writeErr error
}

// NewQueue returns a Queue that writes to out and holds at most size lines, and fewer if they are long.
func NewQueue(out io.Writer, size int) *Queue {
	q := &Queue{lines: make(chan []byte, size), limit: int64(size) * queuedLineBytes, done: make(chan struct{})}
	go func() {
		defer close(q.done)
		for line := range q.lines {
			if _, err := out.Write(line); err != nil {
				q.dropped.Add(1)
				q.writeErr = err
			}
			q.bytes.Add(-int64(len(line)))
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
	size := int64(len(line))
	if q.bytes.Add(size) <= q.limit {
		select {
		case q.lines <- append([]byte(nil), line...):
			return len(line), nil
		default:
		}
	}
	q.bytes.Add(-size)
	q.dropped.Add(1)
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
