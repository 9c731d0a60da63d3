package etcd

import (
	"encoding/json"

	"redwingloft/internal/data/store"
)

// The gateway encodes keys and values in base64, as encoding/json does for byte
// slices, and 64-bit integers as strings.

type rangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
	Limit    int64  `json:"limit,omitempty,string"`
}

type responseHeader struct {
	Revision int64 `json:"revision,string"`
}

type keyValue struct {
	Key            []byte `json:"key"`
	Value          []byte `json:"value"`
	CreateRevision int64  `json:"create_revision,string"`
	ModRevision    int64  `json:"mod_revision,string"`
}

type rangeResponse struct {
	Header responseHeader `json:"header"`
	Kvs    []keyValue     `json:"kvs"`
}

type putRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
	Lease int64  `json:"lease,omitempty,string"`
}

type deleteRequest struct {
	Key []byte `json:"key"`
}

type compare struct {
	Key         []byte `json:"key"`
	RangeEnd    []byte `json:"range_end,omitempty"`
	Target      string `json:"target"`
	Result      string `json:"result"`
	ModRevision int64  `json:"mod_revision,string"`
}

type requestOp struct {
	Put    *putRequest    `json:"request_put,omitempty"`
	Delete *deleteRequest `json:"request_delete_range,omitempty"`
	Range  *rangeRequest  `json:"request_range,omitempty"`
}

type txnRequest struct {
	Compare []compare   `json:"compare,omitempty"`
	Success []requestOp `json:"success,omitempty"`
	Failure []requestOp `json:"failure,omitempty"`
}

type txnResponse struct {
	Header    responseHeader `json:"header"`
	Succeeded bool           `json:"succeeded"`
	Responses []struct {
		Range *rangeResponse `json:"response_range"`
	} `json:"responses"`
}

func newTxnRequest(txn store.Txn) txnRequest {
	request := txnRequest{}
	for _, condition := range txn.If {
		request.Compare = append(request.Compare, newCompare(condition))
	}
	for _, put := range txn.Puts {
		request.Success = append(request.Success, requestOp{Put: &putRequest{
			Key: []byte(put.Key), Value: put.Value, Lease: int64(put.Lease),
		}})
	}
	for _, key := range txn.Deletes {
		request.Success = append(request.Success, requestOp{Delete: &deleteRequest{Key: []byte(key)}})
	}
	for _, key := range txn.ReadElse {
		request.Failure = append(request.Failure, requestOp{Range: &rangeRequest{Key: []byte(key)}})
	}
	return request
}

// newCompare converts a compare. A prefix compare succeeds if every key in the range satisfies
// it, which includes an empty range.
func newCompare(condition store.Compare) compare {
	if condition.Prefix {
		return compare{
			Key: []byte(condition.Key), RangeEnd: prefixEnd(condition.Key),
			Target: "MOD", Result: "LESS", ModRevision: int64(condition.Version) + 1,
		}
	}
	return compare{Key: []byte(condition.Key), Target: "MOD", Result: "EQUAL", ModRevision: int64(condition.Version)}
}

type leaseRequest struct {
	ID  int64 `json:"ID,omitempty,string"`
	TTL int64 `json:"TTL,omitempty,string"`
}

type leaseResponse struct {
	ID  int64 `json:"ID,string"`
	TTL int64 `json:"TTL,string"`
}

type watchRequest struct {
	Create struct {
		Key           []byte `json:"key"`
		RangeEnd      []byte `json:"range_end,omitempty"`
		StartRevision int64  `json:"start_revision,omitempty,string"`
	} `json:"create_request"`
}

type watchResponse struct {
	Result struct {
		Header          responseHeader `json:"header"`
		Canceled        bool           `json:"canceled"`
		CancelReason    string         `json:"cancel_reason"`
		CompactRevision int64          `json:"compact_revision,string"`
		Events          []struct {
			Type string   `json:"type"`
			KV   keyValue `json:"kv"`
		} `json:"events"`
	} `json:"result"`
	Error json.RawMessage `json:"error"`
}
