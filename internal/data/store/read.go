package store

import "context"

// neverVersion is a version that no key has, so that a transaction only reads.
const neverVersion = Version(-1)

// Read returns the entries of up to MaxOperations keys that exist, in the order
// of keys, and the revision of the service at which they were read, from which a
// watch misses nothing. It fails only with ErrUnavailable.
func Read(ctx context.Context, s Store, keys ...string) ([]Entry, Version, error) {
	result, err := s.Txn(ctx, Txn{If: []Compare{{Key: keys[0], Version: neverVersion}}, ReadElse: keys})
	if err != nil {
		return nil, 0, ErrUnavailable.Wrap(err, "the read failed")
	}
	return result.Entries, result.Version, nil
}
