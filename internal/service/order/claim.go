package order

import (
	"context"
	"errors"
	"sync"
	"time"

	"redwingloft/internal/data/store"
)

const (
	// forwardTimeout bounds the wait for an aggregator; after it the writes are made directly.
	forwardTimeout = 300 * time.Millisecond
	// forwardBackoff is how long writes of a shard bypass its aggregator after a timeout, so
	// that a frozen aggregator does not delay every batch.
	forwardBackoff = time.Second
	// maxClaims and maxClaimBytes limit the number of writes in one message between hosts and
	// the total size of their record bodies.
	maxClaims     = 4 * store.MaxOperations
	maxClaimBytes = 1 << 20
)

// ErrNotForwarded is returned by Forward if it sent nothing, for example on the aggregator
// itself. The writes are then made directly.
var ErrNotForwarded = errors.New("claims were not forwarded")

// errInvalidClaims is returned for claims that another host is not allowed to send.
var errInvalidClaims = errors.New("invalid claims")

// write performs one write, through the aggregator if Forward is set.
func (c *Coordinator) write(ctx context.Context, shard int, w write) writeResult {
	if c.Forward == nil {
		return c.committer(shard, w).do(ctx, w)
	}
	return c.forwarders[shard].do(ctx, w)
}

// committer returns the committer that handles a write.
func (c *Coordinator) committer(shard int, w write) *committer {
	if w.version == 0 {
		return c.claimCommitters[shard]
	}
	return c.updateCommitters[shard]
}

var claimStates = map[writeState]ClaimState{
	writeUnknown: ClaimUnknown, writeApplied: ClaimApplied, writeConflict: ClaimConflict,
}

var writeStates = map[ClaimState]writeState{
	ClaimUnknown: writeUnknown, ClaimApplied: writeApplied, ClaimConflict: writeConflict,
}

func (r writeResult) claimResult() ClaimResult {
	return ClaimResult{State: claimStates[r.state], Version: r.version, Record: r.found, Unsettled: r.unsettled}
}

func (r ClaimResult) writeResult() writeResult {
	return writeResult{state: writeStates[r.State], version: r.Version, found: r.Record, unsettled: r.Unsettled}
}

// Claim applies writes of another host to one shard, grouped with the writes of this host, and
// returns one result for each. The peer handler passes the context of its message: writes that
// have not been sent when it ends are dropped.
func (c *Coordinator) Claim(ctx context.Context, shard int, claims []Claim) ([]ClaimResult, error) {
	c.init()
	if shard < 0 || shard >= numShards || len(claims) > maxClaims {
		return nil, errInvalidClaims
	}
	for _, claim := range claims {
		if !claim.valid() {
			return nil, errInvalidClaims
		}
	}
	jobs := make([]*job, 0, len(claims))
	for _, claim := range claims {
		w := write{id: claim.ID, version: claim.Version, token: claim.Token, record: claim.Record}
		jobs = append(jobs, c.committer(shard, w).add(ctx, w))
	}
	c.Metrics.Counter("order.claims_received").Inc(int64(len(claims)))
	results := make([]ClaimResult, 0, len(claims))
	for _, j := range jobs {
		select {
		case result := <-j.result:
			results = append(results, result.claimResult())
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	return results, nil
}

// forwardItem is a write queued for the aggregator.
type forwardItem struct {
	write
	ctx    context.Context
	result chan writeResult
}

// forwarder batches the writes of one shard into messages to its aggregator. While one message
// is in flight, further writes are queued for the next.
type forwarder struct {
	coordinator *Coordinator
	shard       int

	mu      sync.Mutex
	queue   []*forwardItem
	running bool
	// directUntil is the time until which writes bypass the aggregator.
	directUntil time.Time
}

func newForwarder(c *Coordinator, shard int) *forwarder {
	return &forwarder{coordinator: c, shard: shard}
}

func (f *forwarder) do(ctx context.Context, w write) writeResult {
	item := &forwardItem{write: w, ctx: ctx, result: make(chan writeResult, 1)}
	f.mu.Lock()
	if time.Now().Before(f.directUntil) {
		f.mu.Unlock()
		return f.coordinator.committer(f.shard, w).do(ctx, w)
	}
	f.queue = append(f.queue, item)
	if !f.running {
		f.running = true
		go f.run()
	}
	f.mu.Unlock()
	select {
	case result := <-item.result:
		return result
	case <-ctx.Done():
		return writeResult{unsettled: true}
	}
}

func (f *forwarder) run() {
	for {
		batch := f.nextBatch()
		if len(batch) == 0 {
			return
		}
		f.send(batch)
	}
}

// nextBatch removes the writes for the next message from the queue. It returns nothing if the
// queue is empty, which ends run.
func (f *forwarder) nextBatch() []*forwardItem {
	f.mu.Lock()
	defer f.mu.Unlock()
	n, size := 0, 0
	for n < len(f.queue) && n < maxClaims && (n == 0 || size < maxClaimBytes) {
		if record := f.queue[n].record; record != nil {
			size += len(record.Body)
		}
		n++
	}
	batch := f.queue[:n]
	f.queue = f.queue[n:]
	f.running = n > 0
	return batch
}

// send forwards a batch. If that fails, each write is made directly with the same token: the
// aggregator may have applied it, and it can't be applied twice.
func (f *forwarder) send(batch []*forwardItem) {
	ctx, cancel := context.WithTimeout(context.Background(), forwardTimeout)
	defer cancel()
	claims := make([]Claim, 0, len(batch))
	for _, w := range batch {
		claims = append(claims, Claim{ID: w.id, Token: w.token, Version: w.version, Record: w.record})
	}
	results, err := f.coordinator.Forward(ctx, f.shard, claims)
	if err == nil && resultsMatch(results, batch) {
		f.coordinator.count("forwards")
		for i, w := range batch {
			w.result <- results[i].writeResult()
		}
		return
	}
	sent := !errors.Is(err, ErrNotForwarded)
	if sent {
		f.coordinator.count("forwards_failed")
	}
	// An aggregator that did not answer in time may be frozen; other errors return
	// immediately.
	if ctx.Err() != nil {
		f.backOff()
	}
	for _, w := range batch {
		go func() {
			result := f.coordinator.committer(f.shard, w.write).do(w.ctx, w.write)
			result.unsettled = result.unsettled || sent
			w.result <- result
		}()
	}
}

func (f *forwarder) backOff() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.directUntil = time.Now().Add(forwardBackoff)
}

func resultsMatch(results []ClaimResult, batch []*forwardItem) bool {
	if len(results) != len(batch) {
		return false
	}
	for i, result := range results {
		if !result.validFor(batch[i].write) {
			return false
		}
	}
	return true
}
