// Package order runs calls that may not be repeated, at most once over all hosts.
package order

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/google/uuid"

	"redwingloft/internal/data/store"
	"redwingloft/internal/helper/fault"
	"redwingloft/pkg/api"
)

const (
	// shards is the number of key ranges over which order records are spread.
	shards = 16
	// outcomeTimeout bounds the write of an outcome after the call has run.
	outcomeTimeout = 500 * time.Millisecond
)

// State is the state of an order record.
type State string

// The states of an order record.
const (
	StateClaimed State = "claimed"
	StateDone    State = "done"
)

// Record is the value of an order key.
type Record struct {
	// Token is the random id of the claim.
	Token string     `json:"token"`
	Host  api.HostID `json:"host"`
	State State      `json:"state"`
	// Digest is the hex SHA-256 of the request body.
	Digest string `json:"digest"`
	// Status and Body are set in StateDone.
	Status int    `json:"status,omitempty"`
	Body   []byte `json:"body,omitempty"`
}

// Order is one call that may not be repeated.
type Order struct {
	Workspace api.WorkspaceName
	Service   api.ServiceName
	Call      api.CallName
	// Key is the idempotency key, a UUID version 7.
	Key  string
	Body []byte
}

// Outcome is the answer of the upstream to an order.
type Outcome struct {
	Status int
	Body   []byte
	// Replayed is true where the answer comes from the record of an earlier run.
	Replayed bool
}

// Desk runs orders.
type Desk struct {
	Store store.Store
	Keys  store.Keys
	Host  api.HostID
	// Send sends the order to an upstream once. Its error tells by fault.RunOf whether it was run.
	Send func(ctx context.Context, order Order, fencing store.Version) (Outcome, error)
}

// Call claims the order, sends it and records its outcome. A repeat of a finished
// order returns the recorded outcome.
func (d *Desk) Call(ctx context.Context, order Order) (Outcome, error) {
	if _, err := uuid.Parse(order.Key); err != nil {
		return Outcome{}, fault.New(api.KindOrderKeyRequired, "the call may not be repeated and needs an Idempotency-Key that is a UUID version 7")
	}
	key, record := d.claim(order)
	version, err := d.put(ctx, key, record, 0)
	if err != nil {
		return Outcome{}, err
	}
	if version == 0 {
		return d.replay(ctx, key, record)
	}
	outcome, err := d.Send(ctx, order, version)
	if err != nil {
		if fault.RunOf(err) == api.RunNo {
			d.release(key, version)
		}
		return Outcome{}, err
	}
	record.State, record.Status, record.Body = StateDone, outcome.Status, outcome.Body
	finish, cancel := context.WithTimeout(context.WithoutCancel(ctx), outcomeTimeout)
	defer cancel()
	_, _ = d.put(finish, key, record, version)
	return outcome, nil
}

func (d *Desk) claim(order Order) (string, Record) {
	name := sha256.New()
	for _, part := range []string{string(order.Workspace), string(order.Service), string(order.Call), order.Key} {
		name.Write([]byte(part))
		name.Write([]byte{0})
	}
	sum := name.Sum(nil)
	body := sha256.Sum256(order.Body)
	record := Record{Token: uuid.NewString(), Host: d.Host, State: StateClaimed, Digest: hex.EncodeToString(body[:])}
	return d.Keys.Order(int(sum[0])%shards, hex.EncodeToString(sum)), record
}

// put writes record where the key has the given version. It returns 0 where it has another.
func (d *Desk) put(ctx context.Context, key string, record Record, version store.Version) (store.Version, error) {
	value, err := json.Marshal(record)
	if err != nil {
		return 0, fault.Wrap(api.KindInternal, err, "encode the order record")
	}
	result, err := d.Store.Txn(ctx, store.Txn{
		If:   []store.Compare{{Key: key, Version: version}},
		Puts: []store.Put{{Key: key, Value: value}},
	})
	if err != nil {
		return 0, fault.Wrap(api.KindOrderStoreUnavailable, err, "the order can't be claimed")
	}
	if !result.Applied {
		return 0, nil
	}
	return result.Version, nil
}

func (d *Desk) replay(ctx context.Context, key string, own Record) (Outcome, error) {
	entry, err := d.Store.Get(ctx, key)
	if err != nil || entry == nil {
		return Outcome{}, fault.New(api.KindOrderInProgress, "the order is claimed by an earlier call")
	}
	var record Record
	if err := json.Unmarshal(entry.Value, &record); err != nil {
		return Outcome{}, fault.Wrap(api.KindInternal, err, "the order record is not valid")
	}
	switch {
	case record.Digest != own.Digest:
		return Outcome{}, fault.New(api.KindOrderKeyReused, "the idempotency key was used with another body")
	case record.State == StateDone:
		return Outcome{Status: record.Status, Body: record.Body, Replayed: true}, nil
	}
	return Outcome{}, fault.New(api.KindOrderInProgress, "the order is claimed by an earlier call")
}

// release deletes the claim of an order that was not sent, so that a repeat may run it.
func (d *Desk) release(key string, version store.Version) {
	ctx, cancel := context.WithTimeout(context.Background(), outcomeTimeout)
	defer cancel()
	_, _ = d.Store.Txn(ctx, store.Txn{If: []store.Compare{{Key: key, Version: version}}, Deletes: []string{key}})
}
