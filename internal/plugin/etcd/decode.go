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

func malformed(cause error) error {
	return store.ErrUnknownOutcome.Wrap(cause, "the reply of the key-value service is not valid")
}

var (
	errNoKey      = errors.New("an entry has no key")
	errNoVersion  = errors.New("an entry or a write has no revision")
	errNoLease    = errors.New("the lease has no id")
	errResponses  = errors.New("the number of responses is not that of the requests")
	errDuplicates = errors.New("a single key has several entries")
)

func (kv keyValue) entry() (store.Entry, error) {
	switch {
	case len(kv.Key) == 0:
		return store.Entry{}, errNoKey
	case kv.ModRevision <= 0 || kv.CreateRevision <= 0:
		return store.Entry{}, errNoVersion
	}
	return store.Entry{
		Key: string(kv.Key), Value: kv.Value,
		Version: store.Version(kv.ModRevision), Created: store.Version(kv.CreateRevision),
	}, nil
}

func entriesOf(kvs []keyValue) ([]store.Entry, error) {
	entries := make([]store.Entry, 0, len(kvs))
	for _, kv := range kvs {
		entry, err := kv.entry()
		if err != nil {
			return nil, err
		}
		entries = append(entries, entry)
	}
	return entries, nil
}

// decodeRevision returns the revision of the service at a reply.
func decodeRevision(body []byte) (store.Version, error) {
	var reply rangeReply
	if err := json.Unmarshal(body, &reply); err != nil {
		return 0, malformed(err)
	}
	if reply.Header.Revision <= 0 {
		return 0, malformed(errNoVersion)
	}
	return store.Version(reply.Header.Revision), nil
}

func decodeRange(body []byte) ([]store.Entry, error) {
	var reply rangeReply
	if err := json.Unmarshal(body, &reply); err != nil {
		return nil, malformed(err)
	}
	entries, err := entriesOf(reply.Kvs)
	if err != nil {
		return nil, malformed(err)
	}
	return entries, nil
}

// decodeTxn decodes the reply of a transaction that reads the given number of
// keys where it does not apply. An applied transaction without a revision is an
// error, because the revision becomes a fencing number.
func decodeTxn(body []byte, reads int) (store.TxnResult, error) {
	var reply txnReply
	if err := json.Unmarshal(body, &reply); err != nil {
		return store.TxnResult{}, malformed(err)
	}
	result := store.TxnResult{Applied: reply.Succeeded, Version: store.Version(reply.Header.Revision)}
	switch {
	case reply.Succeeded && reply.Header.Revision <= 0:
		return store.TxnResult{}, malformed(errNoVersion)
	case reply.Succeeded:
		return result, nil
	case len(reply.Responses) != reads:
		return store.TxnResult{}, malformed(errResponses)
	}
	for _, response := range reply.Responses {
		if response.Range == nil {
			return store.TxnResult{}, malformed(errResponses)
		}
		entries, err := entriesOf(response.Range.Kvs)
		if err == nil && len(entries) > 1 {
			err = errDuplicates
		}
		if err != nil {
			return store.TxnResult{}, malformed(err)
		}
		result.Entries = append(result.Entries, entries...)
	}
	return result, nil
}

func decodeGrant(body []byte) (store.LeaseID, error) {
	var reply leaseReply
	if err := json.Unmarshal(body, &reply); err != nil {
		return 0, malformed(err)
	}
	if reply.ID <= 0 {
		return 0, malformed(errNoLease)
	}
	return store.LeaseID(reply.ID), nil
}

func decodeKeepAlive(body []byte, lease store.LeaseID) error {
	var reply struct {
		Result leaseReply `json:"result"`
	}
	if err := json.Unmarshal(body, &reply); err != nil {
		return malformed(err)
	}
	if reply.Result.TTL <= 0 {
		return store.ErrLeaseNotFound.New("lease %d has ended", lease)
	}
	return nil
}

// bounded is a reader that fails after left bytes; left is set anew for each message.
type bounded struct {
	reader io.Reader
	left   int
}

var errMessageSize = errors.New("a message of the watch is too large")

func (b *bounded) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, errMessageSize
	}
	n, err := b.reader.Read(p[:min(len(p), b.left)])
	b.left -= n
	return n, err
}

// readWatch passes the events of a watch to f until the stream ends. It always returns an error.
func readWatch(body io.Reader, f func([]store.Event)) error {
	stream := &bounded{reader: body}
	decoder := json.NewDecoder(stream)
	for {
		stream.left = maxReply
		var message watchReply
		if err := decoder.Decode(&message); err != nil {
			return store.ErrUnavailable.Wrap(err, "the watch broke")
		}
		events, err := message.events()
		if err != nil {
			return err
		}
		if len(events) > 0 {
			f(events)
		}
	}
}

func (r *watchReply) events() ([]store.Event, error) {
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
		entry, err := event.KV.entry()
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
