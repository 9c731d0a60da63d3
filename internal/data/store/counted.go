package store

import (
	"context"
	"time"

	"redwingloft/internal/helper/metric"
)

// Cause is the purpose of a store call; it is the last part of the counter's name.
type Cause string

// The causes under which store calls are counted.
const (
	CauseOrderClaim    Cause = "order_claim"
	CauseOrderOutcome  Cause = "order_outcome"
	CauseConfiguration Cause = "configuration"
	CauseMember        Cause = "member"
	CauseLease         Cause = "lease"
	CauseQuarantine    Cause = "quarantine"
)

// CountingStore is a Store that counts calls in the counters "store.calls.<cause>", which break
// down the load on the service by cause. A watch counts as one call.
type CountingStore struct {
	Store
	// Cause is the cause of reads, transactions and watches. Lease calls count as CauseLease.
	Cause   Cause
	Metrics *metric.Set
}

// WithCause returns a Store that forwards calls to inner and counts them under cause.
func WithCause(inner Store, cause Cause, metrics *metric.Set) *CountingStore {
	return &CountingStore{Store: inner, Cause: cause, Metrics: metrics}
}

func (c *CountingStore) count(cause Cause) { c.Metrics.Counter("store.calls." + string(cause)).Inc(1) }

// Get counts the call and forwards it.
func (c *CountingStore) Get(ctx context.Context, key string) (*Entry, error) {
	c.count(c.Cause)
	return c.Store.Get(ctx, key)
}

// List counts the call and forwards it.
func (c *CountingStore) List(ctx context.Context, prefix, from string, limit int) ([]Entry, error) {
	c.count(c.Cause)
	return c.Store.List(ctx, prefix, from, limit)
}

// ReadAll counts the call and forwards it.
func (c *CountingStore) ReadAll(ctx context.Context, prefix string) ([]Entry, Version, error) {
	c.count(c.Cause)
	return c.Store.ReadAll(ctx, prefix)
}

// Txn counts the call and forwards it.
func (c *CountingStore) Txn(ctx context.Context, txn Txn) (TxnResult, error) {
	c.count(c.Cause)
	return c.Store.Txn(ctx, txn)
}

// Grant counts the call and forwards it.
func (c *CountingStore) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	c.count(CauseLease)
	return c.Store.Grant(ctx, ttl)
}

// KeepAlive counts the call and forwards it.
func (c *CountingStore) KeepAlive(ctx context.Context, lease LeaseID) error {
	c.count(CauseLease)
	return c.Store.KeepAlive(ctx, lease)
}

// Revoke counts the call and forwards it.
func (c *CountingStore) Revoke(ctx context.Context, lease LeaseID) error {
	c.count(CauseLease)
	return c.Store.Revoke(ctx, lease)
}

// Watch counts the call and forwards it.
func (c *CountingStore) Watch(ctx context.Context, prefix string, from Version, f func([]Event)) error {
	c.count(c.Cause)
	return c.Store.Watch(ctx, prefix, from, f)
}
