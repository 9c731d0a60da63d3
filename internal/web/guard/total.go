package guard

import "sync/atomic"

// Total bounds the connections of several guards together. A nil Total has no limit.
type Total struct {
	// Limit is the largest number of connections, besides those that guards are guaranteed; 0 means no limit.
	Limit int64

	open atomic.Int64
}

// acquire counts a connection, if there is room or the connection is guaranteed. It reports whether it did.
func (t *Total) acquire(guaranteed bool) bool {
	if t == nil || t.open.Add(1) <= t.Limit || t.Limit <= 0 || guaranteed {
		return true
	}
	t.open.Add(-1)
	return false
}

// release counts a connection that is closed.
func (t *Total) release() {
	if t != nil {
		t.open.Add(-1)
	}
}
