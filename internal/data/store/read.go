package store

import "context"

// nonexistentVersion is a version that no key has. A compare with it always fails, so that the
// transaction only reads.
const nonexistentVersion = Version(-1)

// Read reads up to MaxOperations keys. It returns the entries of those that exist, in the
// order of keys, and the revision of the service at which they were read. A watch from that
// revision misses no change. The only error type is ErrUnavailable.
func Read(ctx context.Context, s Store, keys ...string) ([]Entry, Version, error) {
	result, err := s.Txn(ctx, Txn{If: []Compare{{Key: keys[0], Version: nonexistentVersion}}, ReadElse: keys})
	if err != nil {
		return nil, 0, ErrUnavailable.Wrap(err, "the read failed")
	}
	return result.Entries, result.Version, nil
}
