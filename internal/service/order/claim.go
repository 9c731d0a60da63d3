package order

import (
	"context"
	"errors"
	"sync"
	"time"

	"redwingloft/internal/data/store"
)

const (
	// forwardTimeout bounds the wait for an aggregator, after which writes are made directly.
	forwardTimeout = 300 * time.Millisecond
	// forwardPause is the time for which writes of a shard go directly after its
	// aggregator failed, so that a frozen aggregator does not delay every batch.
	forwardPause = time.Second
	// maxClaims and maxClaimBytes bound the writes of one message between hosts, and
	// the bodies of their records.
	maxClaims     = 4 * store.MaxOperations
	maxClaimBytes = 1 << 20
)

// ErrNotForwarded is returned by Forward where nothing was sent, such as on the
// aggregator itself. The writes are then made directly.
var ErrNotForwarded = errors.New("the claims were not forwarded")

// errClaims is returned for claims that another host may not send.
var errClaims = errors.New("the claims are not valid")

// write makes one write, through the aggregator where there is one.
func (d *Desk) write(ctx context.Context, shard int, w write) writeResult {
	if d.Forward == nil {
		return d.committer(shard, w).do(ctx, w)
	}
	return d.forwarders[shard].do(ctx, w)
}

// committer returns the group commit for a write.
func (d *Desk) committer(shard int, w write) *committer {
	if w.version == 0 {
		return d.claimers[shard]
	}
	return d.writers[shard]
}

var claimStates = map[writeState]ClaimState{
	writeUnclear: ClaimUnavailable, writeApplied: ClaimHeld, writeConflict: ClaimTaken,
}

var writeStates = map[ClaimState]writeState{
	ClaimUnavailable: writeUnclear, ClaimHeld: writeApplied, ClaimTaken: writeConflict,
}

func (r writeResult) claimResult() ClaimResult {
	return ClaimResult{State: claimStates[r.state], Version: r.version, Record: r.found, Unsettled: r.unsettled}
}

func (r ClaimResult) writeResult() writeResult {
	return writeResult{state: writeStates[r.State], version: r.Version, found: r.Record, unsettled: r.Unsettled}
}

// Claim makes the writes of another host for one shard, merged with those of this
// host, and returns one result for each. The peer handler calls it with the
// context of the message: writes that have not been sent when it ends are dropped.
func (d *Desk) Claim(ctx context.Context, shard int, claims []Claim) ([]ClaimResult, error) {
	d.init()
	if shard < 0 || shard >= shards || len(claims) > maxClaims {
		return nil, errClaims
	}
	for _, claim := range claims {
		if !claim.valid() {
			return nil, errClaims
		}
	}
	jobs := make([]*job, 0, len(claims))
	for _, claim := range claims {
		w := write{id: claim.ID, version: claim.Version, token: claim.Token, record: claim.Record}
		jobs = append(jobs, d.committer(shard, w).add(ctx, w))
	}
	d.Metrics.Counter("order.claims_received").Inc(int64(len(claims)))
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

// waiting is a write that waits for the aggregator.
type waiting struct {
	write
	ctx    context.Context
	result chan writeResult
}

// forwarder merges the writes of one shard into messages to its aggregator: while
// one message is under way, further writes wait for the next.
type forwarder struct {
	desk  *Desk
	shard int

	mu      sync.Mutex
	queue   []*waiting
	running bool
	// direct is the time until which writes are not forwarded.
	direct time.Time
}

func newForwarder(d *Desk, shard int) *forwarder { return &forwarder{desk: d, shard: shard} }

func (f *forwarder) do(ctx context.Context, w write) writeResult {
	item := &waiting{write: w, ctx: ctx, result: make(chan writeResult, 1)}
	f.mu.Lock()
	if time.Now().Before(f.direct) {
		f.mu.Unlock()
		return f.desk.committer(f.shard, w).do(ctx, w)
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
		batch := f.next()
		if len(batch) == 0 {
			return
		}
		f.send(batch)
	}
}

// next takes the next message from the queue. It returns none where the queue is empty, and then run ends.
func (f *forwarder) next() []*waiting {
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

// send forwards a batch. Where that fails, each write is made directly with the
// same token: the aggregator may have applied it, and it can't apply twice.
func (f *forwarder) send(batch []*waiting) {
	ctx, cancel := context.WithTimeout(context.Background(), forwardTimeout)
	defer cancel()
	claims := make([]Claim, 0, len(batch))
	for _, w := range batch {
		claims = append(claims, Claim{ID: w.id, Token: w.token, Version: w.version, Record: w.record})
	}
	results, err := f.desk.Forward(ctx, f.shard, claims)
	if err == nil && complete(results, batch) {
		f.desk.count("forwards")
		for i, w := range batch {
			w.result <- results[i].writeResult()
		}
		return
	}
	sent := !errors.Is(err, ErrNotForwarded)
	if sent {
		f.desk.count("forwards_failed")
	}
	// An aggregator that did not answer in time may be frozen; other errors come at once.
	if ctx.Err() != nil {
		f.pause()
	}
	for _, w := range batch {
		go func() {
			result := f.desk.committer(f.shard, w.write).do(w.ctx, w.write)
			result.unsettled = result.unsettled || sent
			w.result <- result
		}()
	}
}

func (f *forwarder) pause() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.direct = time.Now().Add(forwardPause)
}

func complete(results []ClaimResult, batch []*waiting) bool {
	if len(results) != len(batch) {
		return false
	}
	for i, result := range results {
		if !result.answers(batch[i].write) {
			return false
		}
	}
	return true
}
