package logging

import (
	"testing"

	"gotest.tools/v3/assert"
)

// stuck is a writer that blocks until it is let go.
type stuck chan struct{}

func (s stuck) Write(p []byte) (int, error) {
	<-s
	return len(p), nil
}

// TestQueueNeverBlocks guards against a request that waits for a log which can't be written.
func TestQueueNeverBlocks(t *testing.T) {
	out := make(stuck)
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
