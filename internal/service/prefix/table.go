// Package prefix estimates how often prompts with a shared part arrive, from the requests of this host
// alone, and on how many engines the part should be kept.
package prefix

import (
	"maps"
	"math"
	"sync"
	"time"

	"redwingloft/internal/helper/hashing"
)

const (
	// rateTime is the time constant of the estimated rates. A session that all callers turn to stays
	// popular for some seconds.
	rateTime = 4 * time.Second
	// coincidence is the count that is not used. With 0, two prompts of a session that is not popular
	// give it several owners for rateTime, which cost more than they save in calm.
	coincidence = 0.3
	// maxParts bounds the parts in a table: 4,096 entries of less than 64 bytes, with the overhead of
	// the map, are less than 512 KiB.
	maxParts = 4096
	// expiry is the age from which a part is dropped: e^-5 of its count is left.
	expiry = 5 * rateTime
)

// Table counts the prompts with each part that arrive at this host. The zero value is ready to use.
type Table struct {
	mu    sync.Mutex
	parts map[uint64]use
	swept time.Time
}

// use is a decayed count of the prompts with a part.
type use struct {
	count float64
	at    time.Time
}

// decayed returns the count that is left now.
func (u use) decayed(now time.Time) float64 {
	if u.count == 0 {
		return 0
	}
	return u.count * math.Exp(-max(now.Sub(u.at).Seconds(), 0)/rateTime.Seconds())
}

// Rate returns the rate per second at which this host has received other prompts with the part than the
// one that was counted at the given time. It is an estimate on the low side, since a second prompt may
// be a coincidence.
func (t *Table) Rate(part string, added, now time.Time) float64 {
	t.mu.Lock()
	u := t.parts[hashing.Of(part)]
	t.mu.Unlock()
	others := u.decayed(now) - use{1, added}.decayed(now)
	return max(others-coincidence, 0) / rateTime.Seconds()
}

// Add counts a prompt with the part. A part that does not fit is not counted, so that it has no more
// owners than usual.
func (t *Table) Add(part string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.parts == nil {
		t.parts = map[uint64]use{}
	}
	t.sweep(now)
	key := hashing.Of(part)
	u, found := t.parts[key]
	if !found && len(t.parts) >= maxParts {
		return
	}
	t.parts[key] = use{u.decayed(now) + 1, now}
}

// CopyTo copies the parts to an empty table.
func (t *Table) CopyTo(copied *Table) {
	t.mu.Lock()
	defer t.mu.Unlock()
	copied.parts, copied.swept = maps.Clone(t.parts), t.swept
}

// Len returns the number of parts in the table.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.parts)
}

// sweep drops expired parts once in rateTime. t.mu must be held.
func (t *Table) sweep(now time.Time) {
	if now.Sub(t.swept) < rateTime {
		return
	}
	t.swept = now
	for key, u := range t.parts {
		if now.Sub(u.at) > expiry {
			delete(t.parts, key)
		}
	}
}

const (
	// ownerShare is the share of its time that an engine may read prompts of one popular part. The
	// rest is for the other prompts that it keeps, and for arrivals at the same time.
	ownerShare = 0.25
	// MaxOwners bounds the engines that keep a popular part.
	MaxOwners = 16
)

// Owners returns the number of engines that a part needs if prompts with it arrive at the given rate
// per second from all hosts and each takes work seconds to read without the shared parts.
func Owners(rate, work float64, engines int) int {
	needed := math.Ceil(rate * work / ownerShare)
	return int(max(min(needed, MaxOwners, float64(engines)/2), 1))
}
