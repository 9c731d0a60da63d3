package store_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingloft/internal/data/store"
	"redwingloft/internal/helper/metric"
	"redwingloft/internal/plugin/memory"
)

// TestCounted guards against store calls that are not counted or are counted under another cause.
func TestCounted(t *testing.T) {
	ctx, metrics := context.Background(), metric.New()
	s := store.WithCause(memory.New(), store.CauseMember, metrics)
	lease, err := s.Grant(ctx, time.Minute)
	assert.NilError(t, err)
	assert.NilError(t, s.KeepAlive(ctx, lease))
	assert.NilError(t, s.Revoke(ctx, lease))
	_, err = s.Txn(ctx, store.Txn{Puts: []store.Put{{Key: "a", Value: []byte("1")}, {Key: "b"}}})
	assert.NilError(t, err)
	_, err = s.List(ctx, "", "", 0)
	assert.NilError(t, err)
	entries, version, err := store.Read(ctx, s, "b", "none", "a")
	assert.NilError(t, err)
	assert.Equal(t, version, store.Version(1))
	assert.Assert(t, len(entries) == 2 && entries[0].Key == "b" && entries[1].Key == "a")
	canceled, cancel := context.WithCancel(ctx)
	cancel()
	assert.ErrorIs(t, s.Watch(canceled, "", 0, func([]store.Event) {}), context.Canceled)
	assert.Equal(t, metrics.Counter("store.calls.member").Count(), int64(4))
	assert.Equal(t, metrics.Counter("store.calls.lease").Count(), int64(3))
}
