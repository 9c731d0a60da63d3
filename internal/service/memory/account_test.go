package memory

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const megabyte = 1 << 20

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newAccount() *Account { return &Account{Limit: 100 * megabyte, StallTime: time.Second} }

// fill opens holders of a size until one is refused, and returns those that were not.
func fill(a *Account, owner string, size int64, now time.Time) []*Holder {
	var list []*Holder
	for range 10_000 {
		h := a.Open(owner, now, nil)
		if h.Grow(size, now) != nil {
			h.Release()
			break
		}
		list = append(list, h)
	}
	return list
}

// TestSmallAreAdmittedWhileLargeAreRefused guards against large bodies that leave no room for small ones.
func TestSmallAreAdmittedWhileLargeAreRefused(t *testing.T) {
	a := newAccount()
	for _, owner := range []string{"a", "b", "c"} {
		for _, h := range fill(a, owner, 4*megabyte, start) {
			assert.NilError(t, h.Complete())
		}
	}
	large := a.Open("d", start, nil)
	assert.Assert(t, !a.CanFit("d", 4*megabyte) && a.CanFit("d", SmallBytes))
	assert.ErrorIs(t, large.Grow(4*megabyte, start), ErrFull)
	// The owner holds 28 of its 40 MB.
	assert.Equal(t, len(fill(a, "a", 40<<10, start)), 12*megabyte/(40<<10))
}

// TestOwnerCannotTakeAll guards against a workspace whose bodies leave no room for those of others.
func TestOwnerCannotTakeAll(t *testing.T) {
	for _, size := range []int64{4 * megabyte, 64 << 10} {
		a := newAccount()
		for _, h := range fill(a, "a", size, start) {
			assert.NilError(t, h.Complete())
		}
		assert.Assert(t, a.Used() <= 40*megabyte, "%d", a.Used())
		assert.Assert(t, len(fill(a, "b", size, start)) > 1, "size %d", size)
	}
}

// TestStalledLoseFirst guards against a body that has stopped arriving and keeps its memory while
// others are refused, and against one that loses it although it arrives.
func TestStalledLoseFirst(t *testing.T) {
	a := newAccount()
	evicted := 0
	stalled := a.Open("a", start, func() { evicted++ })
	assert.NilError(t, stalled.Grow(4*megabyte, start))
	later := start.Add(time.Second)
	others := fill(a, "a", 4*megabyte, later)
	assert.Equal(t, evicted, 1)
	assert.Equal(t, len(others), 7)
	assert.ErrorIs(t, stalled.Grow(1, later), ErrStalled)
	assert.ErrorIs(t, stalled.Complete(), ErrStalled)
	stalled.Release()
	assert.Equal(t, a.Used(), int64(28*megabyte))
}

// TestOldestIsCompleted guards against bodies that arrive at once and all lose, none of which would be complete.
func TestOldestIsCompleted(t *testing.T) {
	a := newAccount()
	lost := map[int]bool{}
	holders := make([]*Holder, 50)
	for i := range holders {
		holders[i] = a.Open("a", start, func() { lost[i] = true })
	}
	for range 64 {
		for i, h := range holders {
			if !lost[i] && h.Grow(64<<10, start) != nil {
				lost[i] = true
				h.Release()
			}
		}
	}
	for i, h := range holders {
		assert.Equal(t, lost[i], i >= 7, "%d", i)
		assert.Equal(t, h.Complete() == nil, !lost[i] || h.closed)
	}
}

// TestCompleteIsKept guards against a request in progress that loses its body.
func TestCompleteIsKept(t *testing.T) {
	a := newAccount()
	h := a.Open("a", start, func() { t.Error("evicted") })
	assert.NilError(t, h.Grow(4*megabyte, start))
	assert.NilError(t, h.Complete())
	assert.Assert(t, !a.Reserve(97*megabyte, start.Add(time.Hour)))
	assert.Assert(t, a.Reserve(96*megabyte, start.Add(time.Hour)))
}

// TestResponsesComeFirst guards against a response that is lost for bodies that have not run yet.
func TestResponsesComeFirst(t *testing.T) {
	a := newAccount()
	evicted := 0
	for range 5 {
		assert.NilError(t, a.Open("a", start, func() { evicted++ }).Grow(4*megabyte, start))
	}
	assert.Assert(t, a.Reserve(90*megabyte, start))
	assert.Equal(t, evicted, 3)
	a.Return(90 * megabyte)
	assert.Equal(t, a.Used(), int64(8*megabyte))
}

// TestSingleBodyWithLittleMemory guards against a host with little memory that refuses a body within the limits.
func TestSingleBodyWithLittleMemory(t *testing.T) {
	a := &Account{Limit: 5 * megabyte, StallTime: time.Second}
	h := a.Open("a", start, nil)
	assert.Assert(t, a.CanFit("b", 4*megabyte))
	for range 64 {
		assert.NilError(t, h.Grow(64<<10, start))
	}
}

// TestRetryDelay guards against a time to retry that does not follow the rate at which memory becomes free.
func TestRetryDelay(t *testing.T) {
	a := newAccount()
	assert.Equal(t, a.RetryDelay(megabyte, start), time.Second)
	a.freed.add(10*megabyte, start)
	assert.Equal(t, a.RetryDelay(megabyte, start), 100*time.Millisecond)
	assert.Equal(t, a.RetryDelay(megabyte, start.Add(1500*time.Millisecond)), 200*time.Millisecond)
	assert.Equal(t, a.RetryDelay(megabyte, start.Add(time.Hour)), time.Second)
}

// TestAccountBalances guards against bytes that are counted twice or never returned, and against an
// account that exceeds its limit.
func TestAccountBalances(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		a := &Account{Limit: 10 * megabyte, StallTime: time.Second}
		now := start
		var list []*Holder
		reserved := int64(0)
		rt.Repeat(map[string]func(*rapid.T){
			"open": func(rt *rapid.T) {
				list = append(list, a.Open(rapid.SampledFrom([]string{"", "a", "b"}).Draw(rt, "owner"), now, nil))
			},
			"grow": func(rt *rapid.T) {
				if len(list) > 0 {
					_ = list[rapid.IntRange(0, len(list)-1).Draw(rt, "index")].Grow(rapid.Int64Range(1, 2*megabyte).Draw(rt, "size"), now)
				}
			},
			"complete": func(rt *rapid.T) {
				if len(list) > 0 {
					_ = list[rapid.IntRange(0, len(list)-1).Draw(rt, "index")].Complete()
				}
			},
			"release": func(rt *rapid.T) {
				if len(list) > 0 {
					i := rapid.IntRange(0, len(list)-1).Draw(rt, "index")
					list[i].Release()
					list[i].Release()
					list = append(list[:i], list[i+1:]...)
				}
			},
			"reserve": func(rt *rapid.T) {
				if size := rapid.Int64Range(1, megabyte).Draw(rt, "size"); a.Reserve(size, now) {
					reserved += size
				}
			},
			"wait": func(*rapid.T) { now = now.Add(500 * time.Millisecond) },
			"": func(rt *rapid.T) {
				sum, large := int64(0), int64(0)
				for _, h := range list {
					sum, large = sum+h.size, large+largeBytes(h.size)
				}
				if a.used != sum+reserved || a.incoming != sum || a.large != large || a.used > a.Limit {
					rt.Fatalf("used %d, incoming %d, large %d; want %d, %d, %d", a.used, a.incoming, a.large, sum+reserved, sum, large)
				}
			},
		})
		for _, h := range list {
			h.Release()
		}
		assert.Equal(rt, a.Used(), reserved)
		assert.Equal(rt, len(a.owners)+len(a.open), 0)
	})
}
