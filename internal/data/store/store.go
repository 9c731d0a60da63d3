// Package store defines the access to the platform's key-value service and the
// names of the keys that redwingloft keeps there.
package store

import (
	"context"
	"time"

	"github.com/joomcode/errorx"
)

// Version is the modification revision of a key. It rises over the whole service
// with each write; 0 means that the key does not exist.
type Version int64

// LeaseID names a lease; 0 means none.
type LeaseID int64

// Entry is one key with its value.
type Entry struct {
	Key   string
	Value []byte
	// Version is the revision of the last write of the key.
	Version Version
	// Created is the revision of the write that created the key.
	Created Version
}

// Limits of one transaction and one value. The service refuses larger ones.
const (
	// MaxOperations bounds the compares, the writes and the reads of a transaction, each on their own.
	MaxOperations = 128
	// MaxValue bounds a value, in bytes.
	MaxValue = 1 << 20
)

// Compare is true when the key has the given version. Version 0 asks that the key does not exist.
type Compare struct {
	Key     string
	Version Version
	// Prefix makes the compare true when no key that starts with Key is newer than
	// Version, so that an added key is noticed as well as a changed one.
	Prefix bool
}

// Put writes a key.
type Put struct {
	Key   string
	Value []byte
	// Lease, where not 0, deletes the key when the lease ends.
	Lease LeaseID
}

// Txn is one atomic transaction: where all compares hold, the puts and deletes
// are applied; otherwise the keys of ReadElse are read.
type Txn struct {
	If       []Compare
	Puts     []Put
	Deletes  []string
	ReadElse []string
}

// TxnResult is the result of a transaction.
type TxnResult struct {
	// Applied is true when all compares held.
	Applied bool
	// Version is the revision of the service after the transaction.
	Version Version
	// Entries holds an entry for each key of ReadElse that exists, in the order of
	// ReadElse. It is empty when Applied.
	Entries []Entry
}

// Event is one change of a watched key.
type Event struct {
	Entry
	// Deleted is true when the key was deleted or its lease ended.
	Deleted bool
}

// Store is a key-value service with compare-and-swap, leases and watches. All
// methods return an error of ErrUnavailable where nothing was applied, and of
// ErrUnknownOutcome where a write may have been applied.
type Store interface {
	// Get returns the entry of key, or nil where it does not exist. Reads are linearizable.
	Get(ctx context.Context, key string) (*Entry, error)
	// List returns the entries under prefix in key order, at most limit of them
	// (0 means all), starting at key from where it is not empty.
	List(ctx context.Context, prefix, from string, limit int) ([]Entry, error)
	// ReadAll returns all entries under prefix with a revision: a watch from the
	// revision after it misses no change of them.
	ReadAll(ctx context.Context, prefix string) ([]Entry, Version, error)
	Txn(ctx context.Context, txn Txn) (TxnResult, error)
	// Grant makes a lease that ends ttl after its last keep-alive.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	KeepAlive(ctx context.Context, lease LeaseID) error
	Revoke(ctx context.Context, lease LeaseID) error
	// Watch calls f with the changes under prefix from revision from on, in order,
	// until ctx ends or the watch breaks; it always returns an error. Where the service
	// confirms that there is no change, f is called without events.
	Watch(ctx context.Context, prefix string, from Version, f func([]Event)) error
}

var namespace = errorx.NewNamespace("store")

// ErrUnavailable is the type of errors after which it is certain that nothing was applied.
var ErrUnavailable = errorx.NewType(namespace, "unavailable")

// ErrUnknownOutcome is the type of errors after which a write may have been applied.
var ErrUnknownOutcome = errorx.NewType(namespace, "unknown_outcome")

// ErrLeaseNotFound is the type of errors of a write with a lease that has ended. Nothing was applied.
var ErrLeaseNotFound = ErrUnavailable.NewSubtype("lease_not_found")

// ErrCompacted is the type of errors of a watch from a revision whose events the
// service no longer has. The caller reads the keys anew and watches from there.
var ErrCompacted = ErrUnavailable.NewSubtype("compacted")

// IsErrLeaseNotFound reports whether a write failed because its lease has ended.
func IsErrLeaseNotFound(err error) bool { return errorx.IsOfType(err, ErrLeaseNotFound) }

// IsErrCompacted reports whether a watch started from a revision that is no longer kept.
func IsErrCompacted(err error) bool { return errorx.IsOfType(err, ErrCompacted) }

// IsErrUnavailable reports whether nothing was applied.
func IsErrUnavailable(err error) bool { return errorx.IsOfType(err, ErrUnavailable) }

// IsErrUnknownOutcome reports whether a write may have been applied.
func IsErrUnknownOutcome(err error) bool { return errorx.IsOfType(err, ErrUnknownOutcome) }
