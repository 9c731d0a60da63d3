package order

import (
	"context"
	"slices"
	"sync"
	"time"

	"redwingloft/internal/data/store"
)

const (
	// maxPending limits the pending writes. Beyond it the oldest is dropped, and its record
	// blocks the key until it expires.
	maxPending = 10_000
	// lateClaimWindow is how long a claim that may still be applied is checked for, from the
	// first read after the failure.
	lateClaimWindow = time.Minute
	// minSettleInterval and maxSettleInterval bound the time between two checks of a record.
	minSettleInterval = time.Second
	maxSettleInterval = 16 * time.Second
	// drainPollInterval is the time between two checks of Drain.
	drainPollInterval = 20 * time.Millisecond
)

// pendingWrite is a write of a record that has to be made later.
type pendingWrite struct {
	heldClaim
	// outcome is the record of an order that was run. Nil requests the deletion of a claim
	// that was not sent and never will be.
	outcome *Record
	// due is the time of the next check, interval the time between two checks.
	due      time.Time
	interval time.Duration
	// expiresAt is the time after which the write is given up; zero before the first read.
	expiresAt time.Time
}

// pendingList holds the writes to make once the store is available again. The zero value is
// empty.
type pendingList struct {
	mu sync.Mutex
	// items is in insertion order, with at most one item for each token.
	items []*pendingWrite
	// byToken indexes items by the token of their claim.
	byToken map[string]*pendingWrite
}

func (l *pendingList) add(c *Coordinator, item pendingWrite) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byToken[item.claimed.Token] != nil {
		return
	}
	if l.byToken == nil {
		l.byToken = map[string]*pendingWrite{}
	}
	if len(l.items) >= maxPending {
		delete(l.byToken, l.items[0].claimed.Token)
		l.items = l.items[1:]
		c.count("settle.dropped")
	}
	item.interval = minSettleInterval
	l.items = append(l.items, &item)
	l.byToken[item.claimed.Token] = &item
}

// unsent reports whether a token belongs to a claim of this host that was not sent and never
// will be.
func (l *pendingList) unsent(token string) bool {
	item := l.find(token)
	return item != nil && item.outcome == nil
}

// outcome returns the outcome of a claim of this host that is not yet written, or nil.
func (l *pendingList) outcome(token string) *Record {
	if item := l.find(token); item != nil {
		return item.outcome
	}
	return nil
}

func (l *pendingList) find(token string) *pendingWrite {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.byToken[token]
}

// due returns the items whose next check is due.
func (l *pendingList) due(now time.Time) []*pendingWrite {
	l.mu.Lock()
	defer l.mu.Unlock()
	var due []*pendingWrite
	for _, item := range l.items {
		if !now.Before(item.due) {
			due = append(due, item)
		}
	}
	return due
}

func (l *pendingList) remove(settled map[string]bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.items = slices.DeleteFunc(l.items, func(item *pendingWrite) bool { return settled[item.claimed.Token] })
	for token := range settled {
		delete(l.byToken, token)
	}
}

// Pending returns the number of records that are still to be written.
func (c *Coordinator) Pending() int {
	c.pending.mu.Lock()
	defer c.pending.mu.Unlock()
	return len(c.pending.items)
}

// Settle retries the writes that failed when their orders ended: it deletes claims that were
// not sent, including those applied late, and records outcomes. It is called once a second. It
// reads up to store.MaxOperations records with one call and stops at the first failure.
func (c *Coordinator) Settle(ctx context.Context) {
	c.init()
	c.settleDue(ctx, c.now())
}

// Drain waits until no order is running on this host, or until ctx ends, and then retries all
// pending writes once more.
func (c *Coordinator) Drain(ctx context.Context) {
	c.init()
	for c.running() && ctx.Err() == nil {
		time.Sleep(drainPollInterval)
	}
	for c.Pending() > 0 && ctx.Err() == nil {
		if c.settleDue(ctx, c.now().Add(maxSettleInterval)) {
			return
		}
		time.Sleep(drainPollInterval)
	}
}

func (c *Coordinator) running() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.executions) > 0
}

// settleDue checks the items that are due at the given time. It returns false if it did not
// check all of them, because another pass is running or the store failed.
func (c *Coordinator) settleDue(ctx context.Context, at time.Time) bool {
	if !c.settling.CompareAndSwap(false, true) {
		return false
	}
	defer c.settling.Store(false)
	due := c.pending.due(at)
	for len(due) > 0 {
		n := min(len(due), store.MaxOperations)
		if !c.settleBatch(ctx, due[:n]) {
			return false
		}
		due = due[n:]
	}
	return true
}

func (c *Coordinator) settleBatch(ctx context.Context, items []*pendingWrite) bool {
	keys := make([]string, 0, len(items))
	for _, item := range items {
		keys = append(keys, c.Keys.Order(item.shard, item.id))
	}
	// A key may appear only once in a transaction, even if two claims of it are pending.
	slices.Sort(keys)
	keys = slices.Compact(keys)
	entries, _, err := store.Read(ctx, c.outcomes, keys...)
	if err != nil {
		c.count("settle.failed")
		return false
	}
	c.settleRecords(ctx, items, byKey(entries))
	return true
}

// settleRecords makes the writes that are needed according to the records found, grouped by
// shard.
func (c *Coordinator) settleRecords(ctx context.Context, items []*pendingWrite, found map[string]*store.Entry) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	now, settled := c.now(), map[string]bool{}
	jobs := map[*pendingWrite]*job{}
	for _, item := range items {
		if item.expiresAt.IsZero() {
			item.expiresAt = now.Add(lateClaimWindow)
		}
		item.due = now.Add(item.interval)
		item.interval = min(2*item.interval, maxSettleInterval)
		claimed, version := item.ownsEntry(found[c.Keys.Order(item.shard, item.id)])
		switch {
		case claimed:
			jobs[item] = c.updateCommitters[item.shard].add(ctx, item.write(version, item.outcome))
		case item.outcome != nil || !now.Before(item.expiresAt):
			settled[item.claimed.Token] = true
		}
	}
	for item, j := range jobs {
		select {
		case result := <-j.result:
			if result.state == writeApplied && item.outcome != nil {
				settled[item.claimed.Token] = true
			}
			c.countWritten(result)
		case <-ctx.Done():
		}
	}
	c.pending.remove(settled)
}

func (c *Coordinator) countWritten(result writeResult) {
	if result.state == writeApplied {
		c.count("settle.written")
	}
}

// ownsEntry reports whether an entry is the unfinished record of this claim, and returns its
// version.
func (p *pendingWrite) ownsEntry(entry *store.Entry) (bool, store.Version) {
	if entry == nil {
		return false, 0
	}
	record, err := parseRecord(entry.Value)
	if err != nil {
		return false, 0
	}
	return record.Token == p.claimed.Token && record.State != StateDone, entry.Version
}
