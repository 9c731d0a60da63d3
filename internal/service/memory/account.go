// Package memory accounts for the bytes that a host holds on behalf of callers. It knows nothing of
// HTTP: whoever holds bytes reserves them first, and is told if it has to give them up.
package memory

import (
	"errors"
	"sync"
	"time"
)

// The parts of the limit that holders of a kind may use. Responses and holders that are complete
// belong to requests in progress, which can't be refused any more, so incomplete ones leave room for
// them. Small bodies are nearly all of the ordinary ones, so large ones leave room for small ones, as
// does each owner for the others.
const (
	incomingShare   = 0.55
	largeShare      = 0.4
	ownerShare      = 0.4
	ownerLargeShare = 0.3
	// SmallBytes is the size up to which a holder is small. Ordinary bodies have some tens of KB.
	SmallBytes = 128 << 10
)

// The reasons why bytes are not reserved.
var (
	// ErrFull is returned if there is no room for the bytes.
	ErrFull = errors.New("the memory for callers is full")
	// ErrEvicted is returned to a large holder that made room for others.
	ErrEvicted = errors.New("the memory was needed for other callers")
	// ErrStalled is returned to a holder that made room for others because its bytes did not arrive.
	ErrStalled = errors.New("the bytes stopped arriving, and the memory was needed for other callers")
)

// Account limits the bytes that are held at the same time. The zero value has no limit. Set the
// exported fields before use; an Account is safe for concurrent use.
type Account struct {
	// Limit is in bytes; 0 means no limit.
	Limit int64
	// StallTime is how long a holder may go without growing until it is the first to make room.
	StallTime time.Duration

	mu sync.Mutex
	// used are all bytes, incoming those of holders.
	used, incoming int64
	// large are the bytes of holders that are not small.
	large  int64
	owners map[string]*usage
	// open holds the holders that may still be evicted.
	open   map[*Holder]struct{}
	opened uint64
	freed  rate
}

// usage is what the holders of one owner hold.
type usage struct {
	bytes, large int64
	holders      int
}

// Holder is a reservation that grows while bytes arrive. Its methods must not be called concurrently,
// except that it may be evicted at any time until Complete.
type Holder struct {
	account *Account
	owner   string
	evict   func()
	// number states the sequence of holders.
	number uint64
	// grownAt is when the holder grew last.
	grownAt time.Time
	size    int64
	// lost is the reason why the holder was evicted; nil if it was not.
	lost   error
	closed bool
}

// Open returns an empty holder of an owner: a workspace, or the empty string for callers that are
// not known. evict is called at most once, before Complete and Release, if the holder loses its bytes;
// it must not block or call the account.
func (a *Account) Open(owner string, now time.Time, evict func()) *Holder {
	h := &Holder{account: a, owner: owner, evict: evict, grownAt: now}
	if a.Limit <= 0 {
		return h
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.open == nil {
		a.open, a.owners = map[*Holder]struct{}{}, map[string]*usage{}
	}
	a.opened++
	h.number = a.opened
	a.open[h] = struct{}{}
	if a.owners[owner] == nil {
		a.owners[owner] = &usage{}
	}
	a.owners[owner].holders++
	return h
}

// Grow reserves further bytes. After an error the holder keeps what it has until Release.
func (h *Holder) Grow(size int64, now time.Time) error {
	a := h.account
	if a.Limit <= 0 {
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if h.lost != nil {
		return h.lost
	}
	for {
		reached := a.reached(h, size)
		if reached == limitNone {
			break
		}
		victim := a.victim(h, h.size+size, reached, now)
		if victim == nil {
			return ErrFull
		}
		a.evictHolder(victim, now)
	}
	a.add(h, size)
	h.grownAt = now
	return nil
}

// CanFit reports whether a holder of a size can be complete as long as no other one is released.
func (a *Account) CanFit(owner string, size int64) bool {
	if a.Limit <= 0 || size <= SmallBytes {
		return true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	kept, ownerKept := a.large, int64(0)
	if usage := a.owners[owner]; usage != nil {
		ownerKept = usage.large
	}
	for h := range a.open {
		kept -= largeBytes(h.size)
		if h.owner == owner {
			ownerKept -= largeBytes(h.size)
		}
	}
	return kept == 0 || kept+size <= a.share(largeShare) && ownerKept+size <= a.share(ownerLargeShare)
}

// Complete ends the growth of a holder, which can't be evicted from then on. It returns the reason if
// that has happened before.
func (h *Holder) Complete() error {
	a := h.account
	if a.Limit <= 0 {
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if h.lost != nil {
		return h.lost
	}
	delete(a.open, h)
	return nil
}

// Release returns all bytes of the holder, which may be nil. It may be called more than once.
func (h *Holder) Release() {
	if h == nil {
		return
	}
	a := h.account
	if a.Limit <= 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if h.closed {
		return
	}
	h.closed = true
	delete(a.open, h)
	a.freed.add(h.size, time.Now())
	a.add(h, -h.size)
	owner := a.owners[h.owner]
	if owner.holders--; owner.holders == 0 {
		delete(a.owners, h.owner)
	}
}

// Reserve reserves bytes for a request in progress and reports whether there is room. Incomplete
// holders make room for it.
func (a *Account) Reserve(size int64, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for a.Limit > 0 && a.used+size > a.Limit {
		victim := a.victim(nil, 0, limitTotal, now)
		if victim == nil {
			return false
		}
		a.evictHolder(victim, now)
	}
	a.used += size
	return true
}

// Return returns bytes that Reserve has reserved.
func (a *Account) Return(size int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.used -= size
}

// Used returns the number of reserved bytes.
func (a *Account) Used() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.used
}

// limit is a limit of the account.
type limit int

const (
	limitNone limit = iota
	limitTotal
	limitIncoming
	limitOwner
	limitLarge
	limitOwnerLarge
)

func (a *Account) share(ratio float64) int64 { return int64(ratio * float64(a.Limit)) }

// largeBytes returns what a holder of a size adds to the bytes of large holders.
func largeBytes(size int64) int64 {
	if size > SmallBytes {
		return size
	}
	return 0
}

// reached returns the limit that a holder would exceed if it grew. The only large holder may use what
// is left: a single body within the limits is served, however little memory there is.
func (a *Account) reached(h *Holder, size int64) limit {
	owner, more := a.owners[h.owner], largeBytes(h.size+size)-largeBytes(h.size)
	onlyLarge := more > 0 && a.large == largeBytes(h.size)
	switch {
	case a.used+size > a.Limit:
		return limitTotal
	case onlyLarge:
		return limitNone
	case more > 0 && owner.large+more > a.share(ownerLargeShare):
		return limitOwnerLarge
	case more > 0 && a.large+more > a.share(largeShare):
		return limitLarge
	case owner.bytes+size > a.share(ownerShare):
		return limitOwner
	case a.incoming+size > a.share(incomingShare):
		return limitIncoming
	}
	return limitNone
}

// victim returns the holder that makes room for h, which is to have the given size, below a limit, or
// nil: of those whose bytes do not arrive the one that has waited longest, and otherwise the latest
// large one, if h is small or older. So the oldest body is always completed. h is nil for a request in
// progress.
func (a *Account) victim(h *Holder, size int64, reached limit, now time.Time) *Holder {
	var stalled, latest *Holder
	for other := range a.open {
		if other == h || other.size == 0 || !other.counts(h, reached) {
			continue
		}
		if now.Sub(other.grownAt) >= a.StallTime && (stalled == nil || other.grownAt.Before(stalled.grownAt)) {
			stalled = other
		}
		yields := size <= SmallBytes || other.number > h.number
		if other.size > SmallBytes && yields && (latest == nil || other.number > latest.number) {
			latest = other
		}
	}
	if stalled != nil {
		return stalled
	}
	return latest
}

// counts reports whether the bytes of a holder count toward a limit that h has reached.
func (h *Holder) counts(reachedBy *Holder, reached limit) bool {
	switch reached {
	case limitOwner:
		return h.owner == reachedBy.owner
	case limitLarge:
		return h.size > SmallBytes
	case limitOwnerLarge:
		return h.owner == reachedBy.owner && h.size > SmallBytes
	default:
		return true
	}
}

// evictHolder takes the bytes of a holder, whose reader returns soon.
func (a *Account) evictHolder(h *Holder, now time.Time) {
	a.freed.add(h.size, now)
	a.add(h, -h.size)
	delete(a.open, h)
	h.lost = ErrEvicted
	if now.Sub(h.grownAt) >= a.StallTime {
		h.lost = ErrStalled
	}
	if h.evict != nil {
		h.evict()
	}
}

// add changes the size of a holder.
func (a *Account) add(h *Holder, size int64) {
	owner, more := a.owners[h.owner], largeBytes(h.size+size)-largeBytes(h.size)
	h.size += size
	a.used += size
	a.incoming += size
	a.large += more
	owner.bytes += size
	owner.large += more
}

const (
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 2 * time.Second
)

// RetryDelay returns the time after which a refused holder of the given size should try again: that in
// which as many bytes become free at the present rate.
func (a *Account) RetryDelay(size int64, now time.Time) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	perSecond := a.freed.perSecond(now)
	if perSecond <= 0 {
		// Nothing has become free lately: holders stall, and make room after StallTime.
		return min(max(a.StallTime, minRetryDelay), maxRetryDelay)
	}
	delay := float64(size) / perSecond * float64(time.Second)
	return time.Duration(min(max(delay, float64(minRetryDelay)), float64(maxRetryDelay)))
}

// rateWindow is the period over which a rate is measured.
const rateWindow = time.Second

// rate counts bytes in the present window and the one before it.
type rate struct {
	start         time.Time
	current, last int64
}

func (r *rate) advance(now time.Time) {
	switch elapsed := now.Sub(r.start); {
	case elapsed >= 2*rateWindow || elapsed < 0:
		r.start, r.current, r.last = now, 0, 0
	case elapsed >= rateWindow:
		r.start, r.last, r.current = r.start.Add(rateWindow), r.current, 0
	}
}

func (r *rate) add(size int64, now time.Time) {
	r.advance(now)
	r.current += size
}

// perSecond returns the rate over the last rateWindow.
func (r *rate) perSecond(now time.Time) float64 {
	r.advance(now)
	passed := now.Sub(r.start)
	return float64(r.current) + float64(r.last)*(1-float64(passed)/float64(rateWindow))
}
