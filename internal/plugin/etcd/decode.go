package etcd

import (
	"encoding/json"
	"errors"
	"io"

	"redwingloft/internal/data/store"
)

// The decoders take bytes from outside: each returns an error for whatever it
// can't vouch for. The errors are of an unknown outcome, as the service has
// answered, and so may have applied the write.

func malformedResponse(cause error) error {
	return store.ErrUnknownOutcome.Wrap(cause, "the reply of the key-value service is not valid")
}

var (
	errMissingKey       = errors.New("an entry has no key")
	errMissingRevision  = errors.New("an entry or a write has no revision")
	errMissingLeaseID   = errors.New("the lease has no id")
	errResponseCount    = errors.New("the number of responses is not that of the requests")
	errDuplicateEntries = errors.New("a single key has several entries")
)

func (kv keyValue) toEntry() (store.Entry, error) {
	switch {
	case len(kv.Key) == 0:
		return store.Entry{}, errMissingKey
	case kv.ModRevision <= 0 || kv.CreateRevision <= 0:
		return store.Entry{}, errMissingRevision
	}
	return store.Entry{
		Key: string(kv.Key), Value: kv.Value,
		Version: store.Version(kv.ModRevision), Created: store.Version(kv.CreateRevision),
	}, nil
}

func toEntries(kvs []keyValue) ([]store.Entry, error) {
	entries := make([]store.Entry, 0, len(kvs))
	for _, kv := range kvs {
		entry, err := kv.toEntry()
		if err != nil {
			return nil, err
		}
		entries = append(entries, entry)
	}
	return entries, nil
}

// decodeRevision returns the revision of the service at a reply.
func decodeRevision(body []byte) (store.Version, error) {
	var reply rangeResponse
	if err := json.Unmarshal(body, &reply); err != nil {
		return 0, malformedResponse(err)
	}
	if reply.Header.Revision <= 0 {
		return 0, malformedResponse(errMissingRevision)
	}
	return store.Version(reply.Header.Revision), nil
}

func decodeRange(body []byte) ([]store.Entry, error) {
	var reply rangeResponse
	if err := json.Unmarshal(body, &reply); err != nil {
		return nil, malformedResponse(err)
	}
	entries, err := toEntries(reply.Kvs)
	if err != nil {
		return nil, malformedResponse(err)
	}
	return entries, nil
}

// decodeTxn decodes the reply of a transaction that reads the given number of
// keys where it does not apply. An applied transaction without a revision is an
// error, because the revision becomes a fencing number.
func decodeTxn(body []byte, reads int) (store.TxnResult, error) {
	var reply txnResponse
	if err := json.Unmarshal(body, &reply); err != nil {
		return store.TxnResult{}, malformedResponse(err)
	}
	result := store.TxnResult{Applied: reply.Succeeded, Version: store.Version(reply.Header.Revision)}
	switch {
	case reply.Succeeded && reply.Header.Revision <= 0:
		return store.TxnResult{}, malformedResponse(errMissingRevision)
	case reply.Succeeded:
		return result, nil
	case len(reply.Responses) != reads:
		return store.TxnResult{}, malformedResponse(errResponseCount)
	}
	for _, response := range reply.Responses {
		if response.Range == nil {
			return store.TxnResult{}, malformedResponse(errResponseCount)
		}
		entries, err := toEntries(response.Range.Kvs)
		if err == nil && len(entries) > 1 {
			err = errDuplicateEntries
		}
		if err != nil {
			return store.TxnResult{}, malformedResponse(err)
		}
		result.Entries = append(result.Entries, entries...)
	}
	return result, nil
}

func decodeGrant(body []byte) (store.LeaseID, error) {
	var reply leaseResponse
	if err := json.Unmarshal(body, &reply); err != nil {
		return 0, malformedResponse(err)
	}
	if reply.ID <= 0 {
		return 0, malformedResponse(errMissingLeaseID)
	}
	return store.LeaseID(reply.ID), nil
}

func decodeKeepAlive(body []byte, lease store.LeaseID) error {
	var reply struct {
		Result leaseResponse `json:"result"`
	}
	if err := json.Unmarshal(body, &reply); err != nil {
		return malformedResponse(err)
	}
	if reply.Result.TTL <= 0 {
		return store.ErrLeaseNotFound.New("lease %d has ended", lease)
	}
	return nil
}

// limitedReader is a reader that fails after left bytes; left is set anew for each message.
type limitedReader struct {
	reader    io.Reader
	remaining int
}

var errMessageSize = errors.New("a message of the watch is too large")

func (b *limitedReader) Read(p []byte) (int, error) {
	if b.remaining <= 0 {
		return 0, errMessageSize
	}
	n, err := b.reader.Read(p[:min(len(p), b.remaining)])
	b.remaining -= n
	return n, err
}

// readWatch passes the events of a watch to f until the stream ends. It always returns an error.
func readWatch(body io.Reader, f func([]store.Event)) error {
	stream := &limitedReader{reader: body}
	decoder := json.NewDecoder(stream)
	for {
		stream.remaining = maxResponse
		var message watchResponse
		if err := decoder.Decode(&message); err != nil {
			return store.ErrUnavailable.Wrap(err, "the watch broke")
		}
		events, err := message.toEvents()
		if err != nil {
			return err
		}
		if len(events) > 0 {
			f(events)
		}
	}
}

func (r *watchResponse) toEvents() ([]store.Event, error) {
	switch {
	case len(r.Error) > 0:
		return nil, store.ErrUnavailable.New("the watch failed: %.200s", r.Error)
	case r.Result.CompactRevision > 0:
		return nil, store.ErrCompacted.New("the watch starts before revision %d, which is compacted", r.Result.CompactRevision)
	case r.Result.Canceled:
		return nil, store.ErrUnavailable.New("the watch was cancelled: %.200s", r.Result.CancelReason)
	}
	events := make([]store.Event, 0, len(r.Result.Events))
	for _, event := range r.Result.Events {
		deleted := event.Type == "DELETE"
		if deleted {
			// The service gives no create revision for a deleted key.
			event.KV.CreateRevision = max(event.KV.CreateRevision, 1)
		}
		entry, err := event.KV.toEntry()
		if err != nil {
			return nil, store.ErrUnavailable.Wrap(err, "a message of the watch is not valid")
		}
		if deleted {
			entry.Created = 0
		}
		events = append(events, store.Event{Entry: entry, Deleted: deleted})
	}
	return events, nil
}
