package keyvalue

import (
	"errors"

	"redwingloft/internal/data/store"
)

// The gateway encodes bytes in base64 and 64-bit integers as strings. These
// types are separate from those of the client, so that a mistake in one of them shows.

type rangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end"`
	Limit    int64  `json:"limit,string"`
}

type keyValue struct {
	Key            []byte `json:"key"`
	CreateRevision int64  `json:"create_revision,string"`
	ModRevision    int64  `json:"mod_revision,string"`
	Version        int64  `json:"version,string"`
	Value          []byte `json:"value"`
}

func newKeyValue(entry store.Entry) keyValue {
	return keyValue{
		Key: []byte(entry.Key), Value: entry.Value, Version: 1,
		CreateRevision: int64(entry.Created), ModRevision: int64(entry.Version),
	}
}

type rangeReply struct {
	Kvs []keyValue `json:"kvs,omitempty"`
}

type operation struct {
	Put *struct {
		Key   []byte `json:"key"`
		Value []byte `json:"value"`
		Lease int64  `json:"lease,string"`
	} `json:"request_put"`
	Delete *struct {
		Key []byte `json:"key"`
	} `json:"request_delete_range"`
	Range *rangeRequest `json:"request_range"`
}

type txnRequest struct {
	Compare []struct {
		Key         []byte `json:"key"`
		RangeEnd    []byte `json:"range_end"`
		Target      string `json:"target"`
		Result      string `json:"result"`
		ModRevision int64  `json:"mod_revision,string"`
	} `json:"compare"`
	Success []operation `json:"success"`
	Failure []operation `json:"failure"`
}

func (r txnRequest) store() store.Txn {
	txn := store.Txn{}
	for _, compare := range r.Compare {
		condition := store.Compare{Key: string(compare.Key), Version: store.Version(compare.ModRevision)}
		if len(compare.RangeEnd) > 0 {
			condition.Prefix = true
			condition.Version--
		}
		txn.If = append(txn.If, condition)
	}
	for _, operation := range r.Success {
		if put := operation.Put; put != nil {
			txn.Puts = append(txn.Puts, store.Put{Key: string(put.Key), Value: put.Value, Lease: store.LeaseID(put.Lease)})
		}
		if operation.Delete != nil {
			txn.Deletes = append(txn.Deletes, string(operation.Delete.Key))
		}
	}
	for _, operation := range r.Failure {
		if operation.Range != nil {
			txn.ReadElse = append(txn.ReadElse, string(operation.Range.Key))
		}
	}
	return txn
}

// limits of the service's defaults, which it applies to each transaction.
const (
	maxOperations = 128
	maxRequest    = 3 << 19
)

// check refuses what the service refuses.
func (r txnRequest) check() error {
	if max(len(r.Compare), len(r.Success), len(r.Failure)) > maxOperations {
		return errors.New("etcdserver: too many operations in txn request")
	}
	seen, size := map[string]bool{}, 0
	for _, operation := range r.Success {
		if operation.Put == nil {
			continue
		}
		size += len(operation.Put.Key) + len(operation.Put.Value)
		if seen[string(operation.Put.Key)] {
			return errors.New("etcdserver: duplicate key given in txn request")
		}
		seen[string(operation.Put.Key)] = true
	}
	if size > maxRequest {
		return errors.New("etcdserver: request is too large")
	}
	for _, compare := range r.Compare {
		exact := compare.Result == "EQUAL" && len(compare.RangeEnd) == 0
		older := compare.Result == "LESS" && len(compare.RangeEnd) > 0
		if compare.Target != "MOD" || (!exact && !older) {
			return errors.New("this stand-in compares only a key's revision, or a range with LESS")
		}
	}
	return nil
}

type response struct {
	Range *rangeReply `json:"response_range,omitempty"`
}

func rangeResponse(operation operation, found map[string]store.Entry) response {
	if operation.Range == nil {
		return response{}
	}
	answer := &rangeReply{}
	if entry, exists := found[string(operation.Range.Key)]; exists {
		answer.Kvs = append(answer.Kvs, newKeyValue(entry))
	}
	return response{Range: answer}
}

type txnReply struct {
	Header struct {
		Revision int64 `json:"revision,string"`
	} `json:"header"`
	Succeeded bool       `json:"succeeded,omitempty"`
	Responses []response `json:"responses,omitempty"`
}

type leaseRequest struct {
	ID  int64 `json:"ID,string"`
	TTL int64 `json:"TTL,string"`
}

type leaseReply struct {
	ID  int64 `json:"ID,string"`
	TTL int64 `json:"TTL,string"`
}

type watchRequest struct {
	Create struct {
		Key           []byte `json:"key"`
		StartRevision int64  `json:"start_revision,string"`
	} `json:"create_request"`
}

type event struct {
	Type string   `json:"type,omitempty"`
	KV   keyValue `json:"kv"`
}

type watchReply struct {
	Result struct {
		Canceled        bool    `json:"canceled,omitempty"`
		CancelReason    string  `json:"cancel_reason,omitempty"`
		CompactRevision int64   `json:"compact_revision,omitempty,string"`
		Events          []event `json:"events,omitempty"`
	} `json:"result"`
}

func newWatchReply(events []store.Event) watchReply {
	answer := watchReply{}
	for _, change := range events {
		kind := ""
		if change.Deleted {
			kind = "DELETE"
		}
		answer.Result.Events = append(answer.Result.Events, event{Type: kind, KV: newKeyValue(change.Entry)})
	}
	return answer
}
