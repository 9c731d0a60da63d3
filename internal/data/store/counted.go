package store

import (
	"context"
	"time"

	"redwingloft/internal/helper/metric"
)

// Cause tells for what a call of the store is made.
type Cause string

// The causes.
const (
	CauseOrderClaim    Cause = "order_claim"
	CauseOrderOutcome  Cause = "order_outcome"
	CauseConfiguration Cause = "configuration"
	CauseMember        Cause = "member"
	CauseLease         Cause = "lease"
)

// Counted is a store that counts its calls in the counters "store.calls.<cause>",
// a watch as one call, so that the load on the service can be told by cause.
type Counted struct {
	Store
	// Cause is counted for reads, transactions and watches. Lease calls count as CauseLease.
	Cause   Cause
	Metrics *metric.Set
}

// WithCause returns inner with its calls counted under cause.
func WithCause(inner Store, cause Cause, metrics *metric.Set) *Counted {
	return &Counted{Store: inner, Cause: cause, Metrics: metrics}
}

func (c *Counted) count(cause Cause) { c.Metrics.Counter("store.calls." + string(cause)).Inc(1) }

// Get counts and passes on.
func (c *Counted) Get(ctx context.Context, key string) (*Entry, error) {
	c.count(c.Cause)
	return c.Store.Get(ctx, key)
}

// List counts and passes on.
func (c *Counted) List(ctx context.Context, prefix, from string, limit int) ([]Entry, error) {
	c.count(c.Cause)
	return c.Store.List(ctx, prefix, from, limit)
}

// ReadAll counts and passes on.
func (c *Counted) ReadAll(ctx context.Context, prefix string) ([]Entry, Version, error) {
	c.count(c.Cause)
	return c.Store.ReadAll(ctx, prefix)
}

// Txn counts and passes on.
func (c *Counted) Txn(ctx context.Context, txn Txn) (TxnResult, error) {
	c.count(c.Cause)
	return c.Store.Txn(ctx, txn)
}

// Grant counts and passes on.
func (c *Counted) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	c.count(CauseLease)
	return c.Store.Grant(ctx, ttl)
}

// KeepAlive counts and passes on.
func (c *Counted) KeepAlive(ctx context.Context, lease LeaseID) error {
	c.count(CauseLease)
	return c.Store.KeepAlive(ctx, lease)
}

// Revoke counts and passes on.
func (c *Counted) Revoke(ctx context.Context, lease LeaseID) error {
	c.count(CauseLease)
	return c.Store.Revoke(ctx, lease)
}

// Watch counts and passes on.
func (c *Counted) Watch(ctx context.Context, prefix string, from Version, f func([]Event)) error {
	c.count(c.Cause)
	return c.Store.Watch(ctx, prefix, from, f)
}
