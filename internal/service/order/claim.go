package order

import (
	"context"
	"errors"
	"sync"
	"time"

	"redwingloft/internal/data/store"
)

const (
	// forwardTimeout bounds the wait for an aggregator, after which claims are made directly.
	forwardTimeout = 300 * time.Millisecond
	// forwardPause is the time for which claims of a shard go directly after its
	// aggregator failed, so that a frozen aggregator does not delay every batch.
	forwardPause = time.Second
	// maxClaims bounds the claims of one message between hosts.
	maxClaims = 4 * store.MaxOperations
)

// ErrNotForwarded is returned by Forward where nothing was sent, such as on the
// aggregator itself. The claims are then made directly.
var ErrNotForwarded = errors.New("the claims were not forwarded")

// errClaims is returned for claims that another host may not send.
var errClaims = errors.New("the claims are not valid")

// claim claims the record of one order, through the aggregator where there is one.
func (d *Desk) claim(ctx context.Context, shard int, claim Claim) ClaimResult {
	if d.Forward == nil {
		return d.claimDirectly(ctx, shard, claim)
	}
	return d.forwarders[shard].do(ctx, claim)
}

func (d *Desk) claimDirectly(ctx context.Context, shard int, claim Claim) ClaimResult {
	held := holding{shard: shard, claim: claim}
	return toClaimResult(d.claimers[shard].do(ctx, held.write(d, 0, claim.record())))
}

func toClaimResult(result writeResult) ClaimResult {
	answer := ClaimResult{State: ClaimUnavailable, Version: result.version, Record: result.found, Unsettled: result.unsettled}
	switch {
	case result.state == writeApplied:
		answer.State = ClaimHeld
	case result.state == writeConflict && result.found != nil:
		answer.State = ClaimTaken
	}
	return answer
}

// Claim makes the claims of other hosts for one shard, merged with those of this
// host, and returns one result for each. The peer handler calls it with the
// context of the message: claims that have not been sent when it ends are dropped.
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
		held := holding{shard: shard, claim: claim}
		jobs = append(jobs, d.claimers[shard].add(ctx, held.write(d, 0, claim.record())))
	}
	d.Metrics.Counter("order.claims_received").Inc(int64(len(claims)))
	results := make([]ClaimResult, 0, len(claims))
	for _, j := range jobs {
		select {
		case result := <-j.result:
			results = append(results, toClaimResult(result))
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	return results, nil
}

// waiting is a claim that waits for the aggregator.
type waiting struct {
	claim  Claim
	ctx    context.Context
	result chan ClaimResult
}

// forwarder merges the claims of one shard into messages to its aggregator: while
// one message is under way, further claims wait for the next.
type forwarder struct {
	desk  *Desk
	shard int

	mu      sync.Mutex
	queue   []*waiting
	running bool
	// direct is the time until which claims are not forwarded.
	direct time.Time
}

func newForwarder(d *Desk, shard int) *forwarder { return &forwarder{desk: d, shard: shard} }

func (f *forwarder) do(ctx context.Context, claim Claim) ClaimResult {
	w := &waiting{claim: claim, ctx: ctx, result: make(chan ClaimResult, 1)}
	f.mu.Lock()
	if time.Now().Before(f.direct) {
		f.mu.Unlock()
		return f.desk.claimDirectly(ctx, f.shard, claim)
	}
	f.queue = append(f.queue, w)
	if !f.running {
		f.running = true
		go f.run()
	}
	f.mu.Unlock()
	select {
	case result := <-w.result:
		return result
	case <-ctx.Done():
		return ClaimResult{State: ClaimUnavailable, Unsettled: true}
	}
}

func (f *forwarder) run() {
	for {
		f.mu.Lock()
		batch := f.queue[:min(len(f.queue), maxClaims)]
		f.queue = f.queue[len(batch):]
		f.running = len(batch) > 0
		f.mu.Unlock()
		if len(batch) == 0 {
			return
		}
		f.send(batch)
	}
}

// send forwards a batch. Where that fails, each claim is made directly with the
// same token: the aggregator may have applied it, and it can't apply twice.
func (f *forwarder) send(batch []*waiting) {
	ctx, cancel := context.WithTimeout(context.Background(), forwardTimeout)
	defer cancel()
	claims := make([]Claim, 0, len(batch))
	for _, w := range batch {
		claims = append(claims, w.claim)
	}
	results, err := f.desk.Forward(ctx, f.shard, claims)
	if err == nil && complete(results, len(batch)) {
		f.desk.count("forwards")
		for i, w := range batch {
			w.result <- results[i]
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
			result := f.desk.claimDirectly(w.ctx, f.shard, w.claim)
			result.Unsettled = result.Unsettled || sent
			w.result <- result
		}()
	}
}

func (f *forwarder) pause() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.direct = time.Now().Add(forwardPause)
}

func complete(results []ClaimResult, n int) bool {
	if len(results) != n {
		return false
	}
	for _, result := range results {
		if !result.valid() {
			return false
		}
	}
	return true
}
