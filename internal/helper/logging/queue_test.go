package logging

import (
	"testing"

	"gotest.tools/v3/assert"
)

// blockedWriter is a writer that blocks until the channel is closed.
type blockedWriter chan struct{}

func (s blockedWriter) Write(p []byte) (int, error) {
	<-s
	return len(p), nil
}

// TestQueueNeverBlocks guards against requests that block while the log can't be written.
func TestQueueNeverBlocks(t *testing.T) {
	out := make(blockedWriter)
	q := NewQueue(out, 4)
	for range 100 {
		n, err := q.Write([]byte("line\n"))
		assert.NilError(t, err)
		assert.Equal(t, n, 5)
	}
	assert.Assert(t, q.Dropped() >= 95, "dropped %d", q.Dropped())
	close(out)
	assert.NilError(t, q.Close())
}

// TestQueueIsBoundedInBytes guards against long lines that use the memory of a host while the log can't be
// written.
func TestQueueIsBoundedInBytes(t *testing.T) {
	out := make(blockedWriter)
	q := NewQueue(out, 100)
	line := make([]byte, 10*queuedLineBytes)
	for range 100 {
		_, err := q.Write(line)
		assert.NilError(t, err)
	}
	assert.Assert(t, q.Dropped() >= 89, "dropped %d", q.Dropped())
	close(out)
	assert.NilError(t, q.Close())
	assert.Equal(t, q.bytes.Load(), int64(0))
}
