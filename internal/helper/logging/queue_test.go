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
