// Package order runs calls that may not be repeated, at most once over all hosts.
package order

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"redwingloft/internal/data/store"
	"redwingloft/internal/helper/fault"
	"redwingloft/internal/helper/metric"
	"redwingloft/pkg/api"
)

const (
	// writeTimeout bounds the wait for the write of an outcome or a release; what is
	// not written by then is written later by Settle.
	writeTimeout = 500 * time.Millisecond
	// leaderGrace bounds the wait of a caller for its own order after its deadline:
	// the order ends with the deadline, except for one last write.
	leaderGrace = 4 * writeTimeout
	// maxBody is the largest body of an outcome that is stored, in bytes.
	maxBody = 64 << 10
	// defaultLongest is the longest deadline that a document allows.
	defaultLongest = 10 * time.Minute
)

// Order is one call that may not be repeated.
type Order struct {
	Workspace api.WorkspaceName
	Service   api.ServiceName
	Call      api.CallName
	// Key is the idempotency key, a UUID version 7.
	Key  string
	Body []byte
	// Fenced tells that the upstreams refuse old fencing numbers.
	Fenced bool
}

// Outcome is the answer of the upstream to an order.
type Outcome struct {
	Status int
	Body   []byte
	// Replayed is true where the answer comes from the record of an earlier run.
	Replayed bool
}

// Desk runs orders. Store, Host and Send must be set.
type Desk struct {
	Store store.Store
	Keys  store.Keys
	Host  api.HostID
	// Send sends the order to an upstream once. Its error tells by fault.RunOf
	// whether it was run: RunNo only where the upstream received nothing.
	Send func(ctx context.Context, order Order, fencing store.Version) (Outcome, error)
	// Forward passes writes of one shard to the aggregator host of the shard, which
	// makes them with Claim and answers with one result for each. Nil or an error
	// means that this host writes directly. Forward returns ErrNotForwarded where
	// this host is the aggregator.
	Forward func(ctx context.Context, shard int, claims []Claim) ([]ClaimResult, error)
	// HolderAlive reports whether a host may still be running; nil means that every host may.
	HolderAlive func(api.HostID) bool
	// LongestDeadline returns the longest deadline of any call; nil means the bound of the document.
	LongestDeadline func() time.Duration
	// Retention is the time for which records are kept; 0 means a day.
	Retention time.Duration
	// Interval is the least time between the starts of two transactions of a shard; 0 means none.
	Interval time.Duration
	Metrics  *metric.Set
	// Clock returns the time; nil means time.Now.
	Clock func() time.Time

	once     sync.Once
	claims   store.Store
	outcomes store.Store
	lease    lease
	// claimers and writers hold the group commits of claims and of all other writes, by shard.
	claimers [shards]*committer
	writers  [shards]*committer
	// forwarders hold the writes that wait for the aggregator, by shard.
	forwarders [shards]*forwarder
	pending    pendingList
	// settling is true while a pass over pending runs.
	settling atomic.Bool

	mu sync.Mutex
	// flights holds the orders that run on this host, by record id.
	flights map[string]*flight
}

// flight is one order that runs on this host. Its outcome is set when done is closed.
type flight struct {
	digest  string
	done    chan struct{}
	outcome Outcome
	err     error
}

func (d *Desk) init() {
	d.once.Do(func() {
		d.claims = store.WithCause(d.Store, store.CauseOrderClaim, d.Metrics)
		d.outcomes = store.WithCause(d.Store, store.CauseOrderOutcome, d.Metrics)
		d.flights = map[string]*flight{}
		for shard := range shards {
			d.claimers[shard] = newCommitter(d, d.claims, shard)
			d.writers[shard] = newCommitter(d, d.outcomes, shard)
			d.forwarders[shard] = newForwarder(d, shard)
		}
	})
}

func (d *Desk) now() time.Time {
	if d.Clock != nil {
		return d.Clock()
	}
	return time.Now()
}

func (d *Desk) retention() time.Duration {
	if d.Retention > 0 {
		return d.Retention
	}
	return 24 * time.Hour
}

func (d *Desk) longestDeadline() time.Duration {
	if d.LongestDeadline != nil {
		return d.LongestDeadline()
	}
	return defaultLongest
}

func (d *Desk) count(name string) { d.Metrics.Counter("order." + name).Inc(1) }

// Call runs the order where no host has run it, and returns its outcome. A repeat
// of a finished order returns the recorded outcome. The run state of an error is
// about this call: RunNo says that this call sent nothing and will send nothing.
func (d *Desk) Call(ctx context.Context, order Order) (Outcome, error) {
	d.init()
	outcome, err := d.call(ctx, order)
	switch {
	case err != nil:
		d.count("outcome." + string(fault.KindOf(err)))
	case outcome.Replayed:
		d.count("outcome.replayed")
	default:
		d.count("outcome.answered")
	}
	return outcome, err
}

func (d *Desk) call(ctx context.Context, order Order) (Outcome, error) {
	if err := d.checkKey(order.Key); err != nil {
		return Outcome{}, err
	}
	held := d.newHolding(order)
	d.mu.Lock()
	running, joins := d.flights[held.id]
	if !joins {
		running = &flight{digest: held.own.Digest, done: make(chan struct{})}
		d.flights[held.id] = running
	}
	d.mu.Unlock()
	if joins {
		return d.join(ctx, running, held.own.Digest)
	}
	go d.fly(ctx, running, held, order)
	return d.lead(ctx, running)
}

// fly runs the order to its end, even where its caller leaves: an order that was
// sent can't be taken back, and its outcome is recorded for the repeat.
func (d *Desk) fly(ctx context.Context, running *flight, held holding, order Order) {
	deadline, bounded := ctx.Deadline()
	if !bounded {
		deadline = time.Now().Add(d.longestDeadline())
	}
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	defer cancel()
	running.outcome, running.err = d.run(ctx, held, order)
	d.mu.Lock()
	delete(d.flights, held.id)
	d.mu.Unlock()
	close(running.done)
}

// lead waits for the caller's own order. The order ends soon after its deadline
// and then knows whether it was sent, so the wait goes on a little longer.
func (d *Desk) lead(ctx context.Context, running *flight) (Outcome, error) {
	select {
	case <-running.done:
		return running.outcome, running.err
	case <-ctx.Done():
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		return Outcome{}, fault.New(api.KindCallerGone, "the caller left while the order ran")
	}
	grace := time.NewTimer(leaderGrace)
	defer grace.Stop()
	select {
	case <-running.done:
		return running.outcome, running.err
	case <-grace.C:
		return Outcome{}, fault.New(api.KindOrderOutcomeUnknown, "the order did not end by its deadline")
	}
}

// join waits for the same order of another caller.
func (d *Desk) join(ctx context.Context, running *flight, digest string) (Outcome, error) {
	if running.digest != digest {
		return Outcome{}, keyReused()
	}
	select {
	case <-running.done:
		return running.outcome, running.err
	case <-ctx.Done():
		return Outcome{}, inProgress()
	}
}

func keyReused() error {
	return fault.New(api.KindOrderKeyReused, "the idempotency key was used with another body")
}

func inProgress() error {
	return fault.New(api.KindOrderInProgress, "the order is claimed by an earlier call")
}

// run claims the order, sends it and records its outcome.
func (d *Desk) run(ctx context.Context, held holding, order Order) (Outcome, error) {
	result := d.write(ctx, held.shard, held.write(0, &held.own))
	held.version, held.late = result.version, result.unsettled
	switch result.state {
	case writeConflict:
		version, outcome, err := d.contend(ctx, held, result, order)
		if version == 0 {
			return outcome, err
		}
		held.version = version
	case writeUnclear:
		return Outcome{}, d.unclaimed(ctx, held)
	}
	if order.Fenced {
		if err := d.markSending(ctx, &held); err != nil {
			return Outcome{}, err
		}
	}
	if expired(ctx) {
		d.release(held)
		return Outcome{}, tooLate()
	}
	outcome, err := d.Send(ctx, order, held.version)
	if err != nil {
		if fault.RunOf(err) == api.RunNo {
			d.release(held)
		}
		return Outcome{}, err
	}
	d.record(held, outcome)
	return outcome, nil
}

// expired reports whether the deadline of ctx has passed by the monotonic clock.
// It does not rely on the timer of ctx, which may fire late in a process that was paused.
func expired(ctx context.Context) bool {
	deadline, bounded := ctx.Deadline()
	return ctx.Err() != nil || (bounded && time.Until(deadline) <= 0)
}

func tooLate() error {
	err := fault.New(api.KindDeadlineExceeded, "the deadline passed before the order was sent")
	return fault.WithRun(err, api.RunNo)
}

// unclaimed answers an order whose claim is not known to hold. It is not sent;
// a claim that applies late is released by Settle.
func (d *Desk) unclaimed(ctx context.Context, held holding) error {
	if held.late {
		d.pending.add(d, pendingItem{holding: held})
	}
	if expired(ctx) {
		return tooLate()
	}
	return fault.New(api.KindOrderStoreUnavailable, "the order can't be claimed")
}

// contend handles a claim whose record exists. It returns a version where the
// record was taken over, and otherwise what the caller is told.
func (d *Desk) contend(ctx context.Context, held holding, result writeResult, order Order) (store.Version, Outcome, error) {
	record := result.found
	if record.Digest != held.own.Digest {
		return 0, Outcome{}, keyReused()
	}
	if record.State == StateDone {
		outcome, err := record.replay()
		return 0, outcome, err
	}
	if outcome := d.pending.outcome(record.Token); outcome != nil {
		answer, err := outcome.replay()
		return 0, answer, err
	}
	gone := order.Fenced && record.Fenced && d.HolderAlive != nil && !d.HolderAlive(record.Host)
	if record.State == StateClaimed && (gone || d.pending.unsent(record.Token)) {
		if version := d.takeOver(ctx, held, result.version); version != 0 {
			return version, Outcome{}, nil
		}
	}
	if d.now().Sub(time.UnixMilli(record.ClaimedMs)) < d.longestDeadline() {
		return 0, Outcome{}, inProgress()
	}
	return 0, Outcome{}, fault.New(api.KindOrderOutcomeUnknown, "an earlier call claimed the order and recorded no outcome")
}

// takeOver replaces the record of a claim that can't be sent any more, or that
// loses its right to be sent with this write. It returns 0 where it does not succeed.
func (d *Desk) takeOver(ctx context.Context, held holding, version store.Version) store.Version {
	result := d.write(ctx, held.shard, held.write(version, &held.own))
	switch {
	case result.state == writeApplied:
		d.count("takeovers")
		return result.version
	case result.unsettled:
		d.pending.add(d, pendingItem{holding: held})
	}
	return 0
}

// markSending records that the order is about to be sent, after which no other
// host takes it over.
func (d *Desk) markSending(ctx context.Context, held *holding) error {
	record := held.own
	record.State = StateSending
	result := d.write(ctx, held.shard, held.write(held.version, &record))
	switch result.state {
	case writeApplied:
		held.version = result.version
		return nil
	case writeConflict:
		return inProgress()
	}
	held.late = true
	return d.unclaimed(ctx, *held)
}

// release deletes the claim of an order that was not sent, so that a repeat may run it.
func (d *Desk) release(held holding) {
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	result := d.write(ctx, held.shard, held.write(held.version, nil))
	if held.late || (result.state != writeApplied && result.state != writeConflict) {
		d.pending.add(d, pendingItem{holding: held})
	}
}

// record writes the outcome of an order that was run.
func (d *Desk) record(held holding, outcome Outcome) {
	record := held.own
	record.State, record.Status, record.Body = StateDone, outcome.Status, outcome.Body
	if len(record.Body) > maxBody {
		record.Body, record.BodyOmitted = nil, true
	}
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	result := d.write(ctx, held.shard, held.write(held.version, &record))
	switch result.state {
	case writeApplied:
	case writeConflict:
		d.count("outcome_write.lost")
	default:
		d.pending.add(d, pendingItem{holding: held, outcome: &record})
	}
}
