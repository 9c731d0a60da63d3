package order

import (
	"context"
	"slices"
	"sync"
	"time"

	"redwingloft/internal/data/store"
)

const (
	// maxPending bounds the records that wait for a later write. When it is reached
	// the oldest is given up: its record then blocks the key until it expires.
	maxPending = 10_000
	// settleHorizon is the time, from the first read after the failure, for which a
	// claim that may still be applied is looked for.
	settleHorizon = time.Minute
	// firstLook and maxLook bound the wait between two looks at a record.
	firstLook = time.Second
	maxLook   = 16 * time.Second
	// drainPoll is the time between two looks of Drain.
	drainPoll = 20 * time.Millisecond
)

// pendingItem is a record that has to be written later.
type pendingItem struct {
	holding
	// outcome is the record of an order that was run. Nil asks for the deletion of a
	// claim that was not sent and never will be.
	outcome *Record
	// due is the time of the next look and wait the time between two looks.
	due  time.Time
	wait time.Duration
	// end is the time after which the item is given up; zero before the first read.
	end time.Time
}

// pendingList holds the records that wait for the store to return. The zero value is empty.
type pendingList struct {
	mu sync.Mutex
	// items is in the order of arrival, with at most one item for a token.
	items []*pendingItem
	// byToken holds the same items by the token of their claim.
	byToken map[string]*pendingItem
}

func (l *pendingList) add(d *Desk, item pendingItem) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byToken[item.own.Token] != nil {
		return
	}
	if l.byToken == nil {
		l.byToken = map[string]*pendingItem{}
	}
	if len(l.items) >= maxPending {
		delete(l.byToken, l.items[0].own.Token)
		l.items = l.items[1:]
		d.count("settle.dropped")
	}
	item.wait = firstLook
	l.items = append(l.items, &item)
	l.byToken[item.own.Token] = &item
}

// unsent reports whether a token belongs to a claim of this host that was not sent and never will be.
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

func (l *pendingList) find(token string) *pendingItem {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.byToken[token]
}

// due returns the items whose next look has come.
func (l *pendingList) due(now time.Time) []*pendingItem {
	l.mu.Lock()
	defer l.mu.Unlock()
	var due []*pendingItem
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
	l.items = slices.DeleteFunc(l.items, func(item *pendingItem) bool { return settled[item.own.Token] })
	for token := range settled {
		delete(l.byToken, token)
	}
}

// Pending returns the number of records that wait for a later write.
func (d *Desk) Pending() int {
	d.pending.mu.Lock()
	defer d.pending.mu.Unlock()
	return len(d.pending.items)
}

// Settle writes the records that could not be written when their orders ended:
// it deletes claims that were not sent, the ones that were applied late
// included, and records outcomes. It is called once a second. It reads up to
// store.MaxOperations records with one call and stops at the first failure.
func (d *Desk) Settle(ctx context.Context) {
	d.init()
	d.settleDue(ctx, d.now())
}

// Drain waits until no order runs on this host, or until ctx ends, and then looks
// at all records that wait for a later write once more.
func (d *Desk) Drain(ctx context.Context) {
	d.init()
	for d.running() && ctx.Err() == nil {
		time.Sleep(drainPoll)
	}
	for d.Pending() > 0 && ctx.Err() == nil {
		if d.settleDue(ctx, d.now().Add(maxLook)) {
			return
		}
		time.Sleep(drainPoll)
	}
}

func (d *Desk) running() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.flights) > 0
}

// settleDue looks at the items that are due at a time. It reports false where it
// did not look at all of them, because another pass runs or the store failed.
func (d *Desk) settleDue(ctx context.Context, at time.Time) bool {
	if !d.settling.CompareAndSwap(false, true) {
		return false
	}
	defer d.settling.Store(false)
	due := d.pending.due(at)
	for len(due) > 0 {
		n := min(len(due), store.MaxOperations)
		if !d.settle(ctx, due[:n]) {
			return false
		}
		due = due[n:]
	}
	return true
}

func (d *Desk) settle(ctx context.Context, items []*pendingItem) bool {
	keys := make([]string, 0, len(items))
	for _, item := range items {
		keys = append(keys, d.Keys.Order(item.shard, item.id))
	}
	// A single key appears once in a transaction, even where two claims of it are pending.
	slices.Sort(keys)
	keys = slices.Compact(keys)
	entries, _, err := store.Read(ctx, d.outcomes, keys...)
	if err != nil {
		d.count("settle.failed")
		return false
	}
	d.settleFound(ctx, items, byKey(entries))
	return true
}

// settleFound writes what has to be written after a look, all writes of a shard together.
func (d *Desk) settleFound(ctx context.Context, items []*pendingItem, found map[string]*store.Entry) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	now, settled := d.now(), map[string]bool{}
	jobs := map[*pendingItem]*job{}
	for _, item := range items {
		if item.end.IsZero() {
			item.end = now.Add(settleHorizon)
		}
		item.due = now.Add(item.wait)
		item.wait = min(2*item.wait, maxLook)
		own, version := item.owns(found[d.Keys.Order(item.shard, item.id)])
		switch {
		case own:
			jobs[item] = d.writers[item.shard].add(ctx, item.write(version, item.outcome))
		case item.outcome != nil || !now.Before(item.end):
			settled[item.own.Token] = true
		}
	}
	for item, j := range jobs {
		select {
		case result := <-j.result:
			if result.state == writeApplied && item.outcome != nil {
				settled[item.own.Token] = true
			}
			d.countSettled(result)
		case <-ctx.Done():
		}
	}
	d.pending.remove(settled)
}

func (d *Desk) countSettled(result writeResult) {
	if result.state == writeApplied {
		d.count("settle.written")
	}
}

// owns reports whether an entry is the unfinished record of the item's claim, and its version.
func (i *pendingItem) owns(entry *store.Entry) (bool, store.Version) {
	if entry == nil {
		return false, 0
	}
	record, err := parseRecord(entry.Value)
	if err != nil {
		return false, 0
	}
	return record.Token == i.own.Token && record.State != StateDone, entry.Version
}
