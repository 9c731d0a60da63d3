// Package store defines the interface to the platform's key-value service and the names of
// the keys that redwingloft stores there.
package store

import (
	"context"
	"math"
	"time"

	"github.com/joomcode/errorx"
)

// Era is the number of times that the service came back from an older copy of itself.
type Era int64

// eraSpan is the number of revisions in an era. It is a power of ten, so that both
// parts of a version can be read in logs.
const eraSpan = 1_000_000_000_000

// maxEra is the greatest era whose versions fit.
const maxEra = Era(math.MaxInt64/eraSpan - 1)

// Version is the modification revision of a key together with the era of the service. Versions
// increase with each write to the service, across all keys and also if the service comes back
// from an older copy and gives its revisions out again: a version of a later era is greater. 0
// means that the key does not exist.
type Version int64

// NewVersion returns the version of a revision in an era, and false if they don't fit. Revision 0
// is that of a key that does not exist, in each era.
func NewVersion(era Era, revision int64) (Version, bool) {
	if revision == 0 {
		return 0, true
	}
	if era < 0 || era > maxEra || revision < 0 || revision >= eraSpan {
		return 0, false
	}
	return Version(int64(era)*eraSpan + revision), true
}

// Era returns the era of a version.
func (v Version) Era() Era { return Era(v / eraSpan) }

// Revision returns the revision in the era of a version.
func (v Version) Revision() int64 { return int64(v % eraSpan) }

// LeaseID identifies a lease of one client of the service; 0 means none. A lease is gone when the
// service comes back from an older copy, also if the copy has it or it gives the number out again.
type LeaseID int64

// Entry is one key with its value.
type Entry struct {
	Key   string
	Value []byte
	// Version is the revision of the last write to the key.
	Version Version
	// Created is the revision of the write that created the key.
	Created Version
}

// Limits on transactions and values. The service rejects larger ones.
const (
	// MaxOperations is the maximum number of compares, of writes and of reads in a transaction.
	MaxOperations = 128
	// MaxValue is the maximum size of a value in bytes.
	MaxValue = 1 << 20
)

// Compare is a condition that holds if the key has the given version. Version 0 requires that
// the key does not exist.
type Compare struct {
	Key     string
	Version Version
	// Prefix changes the condition to: no key that starts with Key is newer than Version.
	// It also detects added keys.
	Prefix bool
}

// Put is a write of one key in a transaction.
type Put struct {
	Key   string
	Value []byte
	// Lease is the lease whose end deletes the key; 0 means none.
	Lease LeaseID
}

// Txn is one atomic transaction. If all compares hold, the puts and deletes are applied;
// otherwise the keys of ReadElse are read.
type Txn struct {
	If       []Compare
	Puts     []Put
	Deletes  []string
	ReadElse []string
}

// TxnResult is the result of a transaction.
type TxnResult struct {
	// Applied is true if all compares held.
	Applied bool
	// Version is the revision of the service after the transaction.
	Version Version
	// Entries holds an entry for each key of ReadElse that exists, in the order of ReadElse.
	// It is empty if Applied is true.
	Entries []Entry
}

// Event is one change to a watched key.
type Event struct {
	Entry
	// Deleted is true if the key was deleted or its lease ended.
	Deleted bool
}

// Store is a key-value service with compare-and-swap, leases and watches. All methods return
// an ErrUnavailable error if nothing was applied, and an ErrUnknownOutcome error if a write
// may have been applied.
type Store interface {
	// Get returns the entry of key, or nil if it does not exist. Reads are linearizable.
	Get(ctx context.Context, key string) (*Entry, error)
	// List returns at most limit entries under prefix in key order; 0 means no limit. If from
	// is not empty, the list starts at that key.
	List(ctx context.Context, prefix, from string, limit int) ([]Entry, error)
	// ReadAll returns all entries under prefix and their revision. A watch from the next
	// revision misses no change.
	ReadAll(ctx context.Context, prefix string) ([]Entry, Version, error)
	Txn(ctx context.Context, txn Txn) (TxnResult, error)
	// Grant creates a lease that expires ttl after its last keep-alive.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	KeepAlive(ctx context.Context, lease LeaseID) error
	Revoke(ctx context.Context, lease LeaseID) error
	// Watch calls f with the changes under prefix, in order and starting at revision from,
	// until ctx is canceled or the watch fails; it always returns an error. If the service
	// confirms that there is no change, f is called without events.
	Watch(ctx context.Context, prefix string, from Version, f func([]Event)) error
}

// watchWaitKey is the context key of WithWatchWait.
type watchWaitKey struct{}

// WithWatchWait returns a context for Watch in which one call of a service that uses long
// polling waits at most d for a change. With d = 0 the wait of the settings applies.
func WithWatchWait(ctx context.Context, d time.Duration) context.Context {
	if d <= 0 {
		return ctx
	}
	return context.WithValue(ctx, watchWaitKey{}, d)
}

// WatchWait returns the wait set by WithWatchWait, or fallback.
func WatchWait(ctx context.Context, fallback time.Duration) time.Duration {
	if d, ok := ctx.Value(watchWaitKey{}).(time.Duration); ok {
		return min(d, fallback)
	}
	return fallback
}

var namespace = errorx.NewNamespace("store")

// ErrUnavailable is the error type for calls of which nothing was applied.
var ErrUnavailable = errorx.NewType(namespace, "unavailable")

// ErrUnknownOutcome is the error type for writes that may have been applied.
var ErrUnknownOutcome = errorx.NewType(namespace, "unknown_outcome")

// ErrLeaseNotFound is the error type for writes with an expired lease. Nothing was applied.
var ErrLeaseNotFound = ErrUnavailable.NewSubtype("lease_not_found")

// ErrLeaseLost is the error type for leases that are gone because the service came back from an
// older copy, although their holder may have renewed them in time.
var ErrLeaseLost = ErrLeaseNotFound.NewSubtype("lease_lost")

// ErrCompacted is the error type for watches from a revision whose events the service no
// longer has, for instance because it is of an earlier era. The caller must read the keys again
// and watch from their revision.
var ErrCompacted = ErrUnavailable.NewSubtype("compacted")

// ErrIncomplete is the error type for reads whose response began and was not received whole: it is
// larger than a client accepts, or takes longer than the call may. For a watch, the caller must read
// the keys again and watch from their revision: the same call would get no smaller response.
var ErrIncomplete = ErrUnavailable.NewSubtype("incomplete")

// IsErrLeaseNotFound reports whether a write failed because its lease had expired.
func IsErrLeaseNotFound(err error) bool { return errorx.IsOfType(err, ErrLeaseNotFound) }

// IsErrLeaseLost reports whether a lease is gone because the service came back from an older copy.
func IsErrLeaseLost(err error) bool { return errorx.IsOfType(err, ErrLeaseLost) }

// IsErrCompacted reports whether a watch failed because its start revision was compacted.
func IsErrCompacted(err error) bool { return errorx.IsOfType(err, ErrCompacted) }

// IsErrIncomplete reports whether the response of a read was not received whole.
func IsErrIncomplete(err error) bool { return errorx.IsOfType(err, ErrIncomplete) }

// IsErrUnavailable reports whether err guarantees that nothing was applied.
func IsErrUnavailable(err error) bool { return errorx.IsOfType(err, ErrUnavailable) }

// IsErrUnknownOutcome reports whether the write that failed with err may have been applied.
func IsErrUnknownOutcome(err error) bool { return errorx.IsOfType(err, ErrUnknownOutcome) }
