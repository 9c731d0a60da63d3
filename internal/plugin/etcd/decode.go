package etcd

import (
	"encoding/json"
	"errors"
	"io"

	"redwingloft/internal/data/store"
)

// The decoders validate untrusted responses. Their errors report an unknown outcome,
// because a service that responded may have applied the write.

func malformedResponse(cause error) error {
	return store.ErrUnknownOutcome.Wrap(cause, "the response of the key-value service is not valid")
}

var (
	errMissingKey       = errors.New("an entry has no key")
	errMissingRevision  = errors.New("an entry or a write has no revision")
	errMissingLeaseID   = errors.New("the lease has no id")
	errResponseCount    = errors.New("the number of responses differs from the number of requests")
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

// decodeRevision returns the revision of the store in the header of a range response.
func decodeRevision(body []byte) (store.Version, error) {
	var response rangeResponse
	if err := json.Unmarshal(body, &response); err != nil {
		return 0, malformedResponse(err)
	}
	if response.Header.Revision <= 0 {
		return 0, malformedResponse(errMissingRevision)
	}
	return store.Version(response.Header.Revision), nil
}

func decodeRange(body []byte) ([]store.Entry, error) {
	var response rangeResponse
	if err := json.Unmarshal(body, &response); err != nil {
		return nil, malformedResponse(err)
	}
	entries, err := toEntries(response.Kvs)
	if err != nil {
		return nil, malformedResponse(err)
	}
	return entries, nil
}

// decodeTxn decodes the response to a transaction that reads the given number of
// keys if it is not applied. An applied transaction without a revision is an
// error, because the revision becomes a fencing number.
func decodeTxn(body []byte, reads int) (store.TxnResult, error) {
	var response txnResponse
	if err := json.Unmarshal(body, &response); err != nil {
		return store.TxnResult{}, malformedResponse(err)
	}
	result := store.TxnResult{Applied: response.Succeeded, Version: store.Version(response.Header.Revision)}
	switch {
	case response.Succeeded && response.Header.Revision <= 0:
		return store.TxnResult{}, malformedResponse(errMissingRevision)
	case response.Succeeded:
		return result, nil
	case len(response.Responses) != reads:
		return store.TxnResult{}, malformedResponse(errResponseCount)
	}
	for _, op := range response.Responses {
		if op.Range == nil {
			return store.TxnResult{}, malformedResponse(errResponseCount)
		}
		entries, err := toEntries(op.Range.Kvs)
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
	var response leaseResponse
	if err := json.Unmarshal(body, &response); err != nil {
		return 0, malformedResponse(err)
	}
	if response.ID <= 0 {
		return 0, malformedResponse(errMissingLeaseID)
	}
	return store.LeaseID(response.ID), nil
}

func decodeKeepAlive(body []byte, lease store.LeaseID) error {
	var response struct {
		Result leaseResponse `json:"result"`
	}
	if err := json.Unmarshal(body, &response); err != nil {
		return malformedResponse(err)
	}
	if response.Result.TTL <= 0 {
		return store.ErrLeaseNotFound.New("lease %d has expired", lease)
	}
	return nil
}

// limitedReader fails once remaining bytes have been read; readWatch resets remaining
// for each message.
type limitedReader struct {
	reader    io.Reader
	remaining int
}

var errMessageSize = errors.New("a message of the watch is too large")

func (r *limitedReader) Read(p []byte) (int, error) {
	if r.remaining <= 0 {
		return 0, errMessageSize
	}
	n, err := r.reader.Read(p[:min(len(p), r.remaining)])
	r.remaining -= n
	return n, err
}

// readWatch calls f with the events of a watch until the stream ends. The error is never nil.
func readWatch(body io.Reader, f func([]store.Event)) error {
	stream := &limitedReader{reader: body}
	decoder := json.NewDecoder(stream)
	for {
		stream.remaining = maxResponse
		var message watchResponse
		if err := decoder.Decode(&message); err != nil {
			return store.ErrUnavailable.Wrap(err, "read the watch")
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
		return nil, store.ErrUnavailable.New("the watch was canceled: %.200s", r.Result.CancelReason)
	}
	events := make([]store.Event, 0, len(r.Result.Events))
	for _, event := range r.Result.Events {
		deleted := event.Type == "DELETE"
		if deleted {
			// The service sends no create revision for a deleted key.
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
