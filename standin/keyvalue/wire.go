package keyvalue

import (
	"errors"

	"redwingloft/internal/data/store"
)

// The gateway encodes bytes in base64 and 64-bit integers as strings. These
// types are separate from those of the client, so that a test detects an error in either.

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

type rangeResponse struct {
	Kvs []keyValue `json:"kvs,omitempty"`
}

type requestOp struct {
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
	Success []requestOp `json:"success"`
	Failure []requestOp `json:"failure"`
}

func (r txnRequest) storeTxn() store.Txn {
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

// Default limits of the service on each transaction.
const (
	maxOperations   = 128
	maxRequestBytes = 3 << 19
)

// validate rejects transactions that the service rejects, and comparisons that this stand-in lacks.
func (r txnRequest) validate() error {
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
	if size > maxRequestBytes {
		return errors.New("etcdserver: request is too large")
	}
	for _, compare := range r.Compare {
		exact := compare.Result == "EQUAL" && len(compare.RangeEnd) == 0
		older := compare.Result == "LESS" && len(compare.RangeEnd) > 0
		if compare.Target != "MOD" || (!exact && !older) {
			return errors.New("unsupported compare: the stand-in supports MOD with EQUAL on a key or LESS on a range")
		}
	}
	return nil
}

type responseOp struct {
	Range *rangeResponse `json:"response_range,omitempty"`
}

func newResponseOp(op requestOp, found map[string]store.Entry) responseOp {
	if op.Range == nil {
		return responseOp{}
	}
	response := &rangeResponse{}
	if entry, exists := found[string(op.Range.Key)]; exists {
		response.Kvs = append(response.Kvs, newKeyValue(entry))
	}
	return responseOp{Range: response}
}

type txnResponse struct {
	Header struct {
		Revision int64 `json:"revision,string"`
	} `json:"header"`
	Succeeded bool         `json:"succeeded,omitempty"`
	Responses []responseOp `json:"responses,omitempty"`
}

type leaseRequest struct {
	ID  int64 `json:"ID,string"`
	TTL int64 `json:"TTL,string"`
}

type leaseResponse struct {
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

type watchResponse struct {
	Result struct {
		Canceled        bool    `json:"canceled,omitempty"`
		CancelReason    string  `json:"cancel_reason,omitempty"`
		CompactRevision int64   `json:"compact_revision,omitempty,string"`
		Events          []event `json:"events,omitempty"`
	} `json:"result"`
}

func newWatchResponse(events []store.Event) watchResponse {
	response := watchResponse{}
	for _, change := range events {
		kind := ""
		if change.Deleted {
			kind = "DELETE"
		}
		response.Result.Events = append(response.Result.Events, event{Type: kind, KV: newKeyValue(change.Entry)})
	}
	return response
}
