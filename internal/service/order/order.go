// Package order executes non-idempotent calls (orders) at most once across all hosts.
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
	// writeTimeout bounds the write of an outcome or a release. Settle retries what was not
	// written in time.
	writeTimeout = 500 * time.Millisecond
	// callerGrace bounds how long a caller waits for its own order after the deadline, at
	// which the order ends except for one last write.
	callerGrace = 4 * writeTimeout
	// maxStoredBody is the largest response body stored in a record, in bytes.
	maxStoredBody = 64 << 10
	// defaultLongestDeadline is the longest deadline that a document allows.
	defaultLongestDeadline = 10 * time.Minute
)

// Order is one non-idempotent call.
type Order struct {
	Workspace api.WorkspaceName
	Service   api.ServiceName
	Call      api.CallName
	// Key is the idempotency key, a UUID version 7.
	Key  string
	Body []byte
	// Fenced reports whether the upstreams reject outdated fencing numbers.
	Fenced bool
}

// Outcome is the response of the upstream to an order.
type Outcome struct {
	Status int
	Body   []byte
	// Replayed is true if the response comes from the record of an earlier execution.
	Replayed bool
}

// Coordinator coordinates the execution of orders. Store, Host and Send must be set.
type Coordinator struct {
	Store store.Store
	Keys  store.Keys
	Host  api.HostID
	// Send sends the order to an upstream once. fault.RunStateOf of its error reports whether the
	// order was run; it is RunNo only if the upstream received nothing.
	Send func(ctx context.Context, order Order, fencing store.Version) (Outcome, error)
	// Forward sends writes of one shard to the aggregator host of the shard, which applies
	// them with Claim and returns one result for each. If Forward is nil or fails, this host
	// writes directly. It returns ErrNotForwarded if this host is the aggregator.
	Forward func(ctx context.Context, shard int, claims []Claim) ([]ClaimResult, error)
	// HolderAlive reports whether a host may still be running; if nil, every host may.
	HolderAlive func(api.HostID) bool
	// LongestDeadline returns the longest deadline of any call; if nil, the limit of the
	// document applies.
	LongestDeadline func() time.Duration
	// Retention is how long records are kept; 0 means one day.
	Retention time.Duration
	// Interval is the minimum time between the starts of two transactions of a shard; 0 means
	// none.
	Interval time.Duration
	Metrics  *metric.Set
	// Clock returns the current time; nil means time.Now.
	Clock func() time.Time

	once sync.Once
	// claims and outcomes access Store, which counts their calls under separate causes.
	claims   store.Store
	outcomes store.Store
	lease    lease
	// claimCommitters group the writes of claims by shard, updateCommitters all other writes.
	claimCommitters  [numShards]*committer
	updateCommitters [numShards]*committer
	// forwarders batch the writes for the aggregator of each shard.
	forwarders [numShards]*forwarder
	pending    pendingList
	// settling is true while a settle pass is running.
	settling atomic.Bool

	mu sync.Mutex
	// executions holds the orders that are running on this host, by record ID.
	executions map[string]*execution
}

// execution is an order that is running on this host. outcome and err are set before done is
// closed.
type execution struct {
	digest  string
	done    chan struct{}
	outcome Outcome
	err     error
}

func (c *Coordinator) init() {
	c.once.Do(func() {
		c.claims = store.WithCause(c.Store, store.CauseOrderClaim, c.Metrics)
		c.outcomes = store.WithCause(c.Store, store.CauseOrderOutcome, c.Metrics)
		c.executions = map[string]*execution{}
		for shard := range numShards {
			c.claimCommitters[shard] = newCommitter(c, c.claims, shard)
			c.updateCommitters[shard] = newCommitter(c, c.outcomes, shard)
			c.forwarders[shard] = newForwarder(c, shard)
		}
	})
}

func (c *Coordinator) now() time.Time {
	if c.Clock != nil {
		return c.Clock()
	}
	return time.Now()
}

func (c *Coordinator) retention() time.Duration {
	if c.Retention > 0 {
		return c.Retention
	}
	return 24 * time.Hour
}

func (c *Coordinator) longestDeadline() time.Duration {
	if c.LongestDeadline != nil {
		return c.LongestDeadline()
	}
	return defaultLongestDeadline
}

func (c *Coordinator) count(name string) { c.Metrics.Counter("order." + name).Inc(1) }

// Call executes the order unless a host has already done so, and returns its outcome.
// Repeating a finished order returns the recorded outcome. The run state of an error concerns
// this call only: RunNo means that this call sent nothing and will not send anything.
func (c *Coordinator) Call(ctx context.Context, order Order) (Outcome, error) {
	c.init()
	outcome, err := c.call(ctx, order)
	switch {
	case err != nil:
		c.count("outcome." + string(fault.KindOf(err)))
	case outcome.Replayed:
		c.count("outcome.replayed")
	default:
		c.count("outcome.answered")
	}
	return outcome, err
}

func (c *Coordinator) call(ctx context.Context, order Order) (Outcome, error) {
	if err := c.checkKey(order.Key); err != nil {
		return Outcome{}, err
	}
	held := c.newHeldClaim(order)
	c.mu.Lock()
	exec, found := c.executions[held.id]
	if !found {
		exec = &execution{digest: held.claimed.Digest, done: make(chan struct{})}
		c.executions[held.id] = exec
	}
	c.mu.Unlock()
	if found {
		return c.awaitOther(ctx, exec, held.claimed.Digest)
	}
	go c.runDetached(ctx, exec, held, order)
	return c.awaitOwn(ctx, exec)
}

// runDetached runs the order to completion even if its caller disconnects: an order that was
// sent can't be recalled, and its outcome is recorded for repeated calls.
func (c *Coordinator) runDetached(ctx context.Context, exec *execution, held heldClaim, order Order) {
	deadline, bounded := ctx.Deadline()
	if !bounded {
		deadline = time.Now().Add(c.longestDeadline())
	}
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	defer cancel()
	exec.outcome, exec.err = c.run(ctx, held, order)
	c.mu.Lock()
	delete(c.executions, held.id)
	c.mu.Unlock()
	close(exec.done)
}

// awaitOwn waits for the order that this caller started. It waits slightly past the deadline,
// because the order ends soon after it and then knows whether it was sent.
func (c *Coordinator) awaitOwn(ctx context.Context, exec *execution) (Outcome, error) {
	select {
	case <-exec.done:
		return exec.outcome, exec.err
	case <-ctx.Done():
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		return Outcome{}, fault.New(api.KindCallerGone, "the caller canceled the call while the order was running")
	}
	grace := time.NewTimer(callerGrace)
	defer grace.Stop()
	select {
	case <-exec.done:
		return exec.outcome, exec.err
	case <-grace.C:
		return Outcome{}, fault.New(api.KindOrderOutcomeUnknown, "the order did not end by its deadline")
	}
}

// awaitOther waits for the same order started by another caller.
func (c *Coordinator) awaitOther(ctx context.Context, exec *execution, digest string) (Outcome, error) {
	if exec.digest != digest {
		return Outcome{}, keyReused()
	}
	select {
	case <-exec.done:
		return exec.outcome, exec.err
	case <-ctx.Done():
		return Outcome{}, inProgress()
	}
}

func keyReused() error {
	return fault.New(api.KindOrderKeyReused, "the idempotency key was already used with a different request body")
}

func inProgress() error {
	return fault.New(api.KindOrderInProgress, "the order is already claimed by an earlier call")
}

// run claims the order, sends it and records its outcome.
func (c *Coordinator) run(ctx context.Context, held heldClaim, order Order) (Outcome, error) {
	result := c.write(ctx, held.shard, held.write(0, &held.claimed))
	held.version, held.maybeApplied = result.version, result.unsettled
	switch result.state {
	case writeConflict:
		version, outcome, err := c.resolveConflict(ctx, held, result, order)
		if version == 0 {
			return outcome, err
		}
		held.version = version
	case writeUnknown:
		return Outcome{}, c.claimFailed(ctx, held)
	}
	if order.Fenced {
		if err := c.markSending(ctx, &held); err != nil {
			return Outcome{}, err
		}
	}
	if expired(ctx) {
		c.release(held)
		return Outcome{}, deadlineExceeded()
	}
	outcome, err := c.Send(ctx, order, held.version)
	if err != nil {
		if fault.RunStateOf(err) == api.RunNo {
			c.release(held)
		}
		return Outcome{}, err
	}
	c.record(held, outcome)
	return outcome, nil
}

// expired reports whether the deadline of ctx has passed by the monotonic clock. It does not
// rely on the timer of ctx, which may fire late if the process was paused.
func expired(ctx context.Context) bool {
	deadline, bounded := ctx.Deadline()
	return ctx.Err() != nil || (bounded && time.Until(deadline) <= 0)
}

func deadlineExceeded() error {
	err := fault.New(api.KindDeadlineExceeded, "the deadline passed before the order was sent")
	return fault.WithRunState(err, api.RunNo)
}

// claimFailed returns the error for an order whose claim is not confirmed. The order is not
// sent; Settle releases a claim that is applied late.
func (c *Coordinator) claimFailed(ctx context.Context, held heldClaim) error {
	if held.maybeApplied {
		c.pending.add(c, pendingWrite{heldClaim: held})
	}
	if expired(ctx) {
		return deadlineExceeded()
	}
	return fault.New(api.KindOrderStoreUnavailable, "the claim of the order could not be stored")
}

// resolveConflict handles a claim whose record already exists. It returns a nonzero version if
// it took over the record, and otherwise the outcome or the error for the caller.
func (c *Coordinator) resolveConflict(ctx context.Context, held heldClaim, result writeResult, order Order) (store.Version, Outcome, error) {
	record := result.found
	if record.Digest != held.claimed.Digest {
		return 0, Outcome{}, keyReused()
	}
	if record.State == StateDone {
		outcome, err := record.replay()
		return 0, outcome, err
	}
	if outcome := c.pending.outcome(record.Token); outcome != nil {
		answer, err := outcome.replay()
		return 0, answer, err
	}
	holderGone := order.Fenced && record.Fenced && c.HolderAlive != nil && !c.HolderAlive(record.Host)
	if record.State == StateClaimed && (holderGone || c.pending.unsent(record.Token)) {
		if version := c.takeOver(ctx, held, result.version); version != 0 {
			return version, Outcome{}, nil
		}
	}
	if c.now().Sub(time.UnixMilli(record.ClaimedMs)) < c.longestDeadline() {
		return 0, Outcome{}, inProgress()
	}
	return 0, Outcome{}, fault.New(api.KindOrderOutcomeUnknown, "an earlier call claimed the order but recorded no outcome")
}

// takeOver replaces the record of a claim that can't be sent any more, or whose holder loses
// the right to send it by this write. It returns 0 on failure.
func (c *Coordinator) takeOver(ctx context.Context, held heldClaim, version store.Version) store.Version {
	result := c.write(ctx, held.shard, held.write(version, &held.claimed))
	switch {
	case result.state == writeApplied:
		c.count("takeovers")
		return result.version
	case result.unsettled:
		c.pending.add(c, pendingWrite{heldClaim: held})
	}
	return 0
}

// markSending records that the order is about to be sent. After that no other host takes it
// over.
func (c *Coordinator) markSending(ctx context.Context, held *heldClaim) error {
	record := held.claimed
	record.State = StateSending
	result := c.write(ctx, held.shard, held.write(held.version, &record))
	switch result.state {
	case writeApplied:
		held.version = result.version
		return nil
	case writeConflict:
		return inProgress()
	}
	held.maybeApplied = true
	return c.claimFailed(ctx, *held)
}

// release deletes the claim of an order that was not sent, so that a repeated call may execute
// it.
func (c *Coordinator) release(held heldClaim) {
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	result := c.write(ctx, held.shard, held.write(held.version, nil))
	if held.maybeApplied || (result.state != writeApplied && result.state != writeConflict) {
		c.pending.add(c, pendingWrite{heldClaim: held})
	}
}

// record writes the outcome of an order that was run.
func (c *Coordinator) record(held heldClaim, outcome Outcome) {
	record := held.claimed
	record.State, record.Status, record.Body = StateDone, outcome.Status, outcome.Body
	if len(record.Body) > maxStoredBody {
		record.Body, record.BodyOmitted = nil, true
	}
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	result := c.write(ctx, held.shard, held.write(held.version, &record))
	switch result.state {
	case writeApplied:
	case writeConflict:
		c.count("outcome_write.lost")
	default:
		c.pending.add(c, pendingWrite{heldClaim: held, outcome: &record})
	}
}
