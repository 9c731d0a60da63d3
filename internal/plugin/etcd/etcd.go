// Package etcd speaks to a key-value service through the published JSON gateway
// of etcd version 3.
package etcd

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"redwingloft/internal/data/store"
	"redwingloft/internal/kernel"
)

const (
	defaultTimeout = 2 * time.Second
	// maxReply bounds a reply: values have up to a megabyte and travel in base64.
	maxReply = 64 << 20
)

func init() {
	kernel.Stores.Register("etcd", func(options kernel.StoreOptions) (store.Store, error) {
		return New(options)
	})
}

// Client is a client of the JSON gateway. It is safe for concurrent use.
type Client struct {
	endpoints []string
	timeout   time.Duration
	http      *http.Client
	// current is the index of the endpoint that answered last.
	current atomic.Int64
	// calls counts the calls made, a watch as one.
	calls atomic.Int64
}

// New returns a client of the given endpoints.
func New(options kernel.StoreOptions) (*Client, error) {
	if len(options.Endpoints) == 0 {
		return nil, errors.New("the etcd plug-in needs at least one endpoint")
	}
	timeout := options.Timeout
	if timeout == 0 {
		timeout = defaultTimeout
	}
	transport := &http.Transport{
		DialContext:           (&net.Dialer{Timeout: timeout}).DialContext,
		MaxIdleConnsPerHost:   8,
		IdleConnTimeout:       30 * time.Second,
		ResponseHeaderTimeout: 0,
	}
	return &Client{endpoints: options.Endpoints, timeout: timeout, http: &http.Client{Transport: transport}}, nil
}

// Calls returns the number of calls made so far, a watch counted as one.
func (c *Client) Calls() int64 { return c.calls.Load() }

// Get returns the entry of key, or nil where it does not exist.
func (c *Client) Get(ctx context.Context, key string) (*store.Entry, error) {
	var reply rangeReply
	if err := c.call(ctx, "/v3/kv/range", rangeRequest{Key: []byte(key)}, &reply); err != nil {
		return nil, readError(err)
	}
	if len(reply.Kvs) == 0 {
		return nil, nil
	}
	entry := reply.Kvs[0].entry()
	return &entry, nil
}

// List returns the entries under prefix in key order.
func (c *Client) List(ctx context.Context, prefix, from string, limit int) ([]store.Entry, error) {
	start := []byte(prefix)
	if from > prefix {
		start = []byte(from)
	}
	request := rangeRequest{Key: start, RangeEnd: prefixEnd(prefix), Limit: int64(limit)}
	var reply rangeReply
	if err := c.call(ctx, "/v3/kv/range", request, &reply); err != nil {
		return nil, readError(err)
	}
	entries := make([]store.Entry, 0, len(reply.Kvs))
	for _, kv := range reply.Kvs {
		entries = append(entries, kv.entry())
	}
	return entries, nil
}

// Txn applies txn where all its compares hold.
func (c *Client) Txn(ctx context.Context, txn store.Txn) (store.TxnResult, error) {
	var reply txnReply
	if err := c.call(ctx, "/v3/kv/txn", newTxnRequest(txn), &reply); err != nil {
		return store.TxnResult{}, err
	}
	result := store.TxnResult{Applied: reply.Succeeded, Version: store.Version(reply.Header.Revision)}
	if reply.Succeeded {
		return result, nil
	}
	for _, response := range reply.Responses {
		if response.Range == nil {
			continue
		}
		for _, kv := range response.Range.Kvs {
			result.Entries = append(result.Entries, kv.entry())
		}
	}
	return result, nil
}

// Grant makes a lease. The gateway counts its time in whole seconds.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	seconds := int64((ttl + time.Second - 1) / time.Second)
	var reply leaseReply
	if err := c.call(ctx, "/v3/lease/grant", leaseRequest{TTL: seconds}, &reply); err != nil {
		return 0, err
	}
	return store.LeaseID(reply.ID), nil
}

// KeepAlive extends a lease. A lease that has ended gives ErrUnavailable.
func (c *Client) KeepAlive(ctx context.Context, lease store.LeaseID) error {
	var reply struct {
		Result leaseReply `json:"result"`
	}
	if err := c.call(ctx, "/v3/lease/keepalive", leaseRequest{ID: int64(lease)}, &reply); err != nil {
		return err
	}
	if reply.Result.TTL <= 0 {
		return store.ErrUnavailable.New("lease %d has ended", lease)
	}
	return nil
}

// Revoke ends a lease and deletes its keys.
func (c *Client) Revoke(ctx context.Context, lease store.LeaseID) error {
	var reply struct{}
	return c.call(ctx, "/v3/lease/revoke", leaseRequest{ID: int64(lease)}, &reply)
}

// Watch calls f with the changes under prefix from version from on.
func (c *Client) Watch(ctx context.Context, prefix string, from store.Version, f func([]store.Event)) error {
	request := watchRequest{}
	request.Create.Key = []byte(prefix)
	request.Create.RangeEnd = prefixEnd(prefix)
	request.Create.StartRevision = int64(from)
	response, err := c.open(ctx, "/v3/watch", request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	decoder := json.NewDecoder(response.Body)
	for {
		var message watchReply
		if err := decoder.Decode(&message); err != nil {
			return store.ErrUnavailable.Wrap(err, "the watch broke")
		}
		if message.Result.Canceled {
			return store.ErrUnavailable.New("the watch was cancelled: %s", message.Result.CancelReason)
		}
		if events := message.events(); len(events) > 0 {
			f(events)
		}
	}
}

// call sends one request and decodes its reply. Only a failed dial is certain not to have been applied.
func (c *Client) call(ctx context.Context, path string, request, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	response, err := c.open(ctx, path, request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReply))
	if err != nil {
		return store.ErrUnknownOutcome.Wrap(err, "the reply of %s broke off", path)
	}
	if err := json.Unmarshal(body, reply); err != nil {
		return store.ErrUnknownOutcome.Wrap(err, "the reply of %s is not valid", path)
	}
	return nil
}

// open sends one request to the current endpoint, or to the next where the dial fails.
func (c *Client) open(ctx context.Context, path string, request any) (*http.Response, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return nil, store.ErrUnavailable.Wrap(err, "encode the request of %s", path)
	}
	c.calls.Add(1)
	var last error
	for range c.endpoints {
		index := c.current.Load()
		endpoint := c.endpoints[int(index)%len(c.endpoints)]
		response, err := c.post(ctx, endpoint+path, body)
		if err == nil {
			return response, nil
		}
		last = err
		if !store.IsErrUnavailable(err) || ctx.Err() != nil {
			return nil, err
		}
		c.current.CompareAndSwap(index, index+1)
	}
	return nil, last
}

func (c *Client) post(ctx context.Context, url string, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, store.ErrUnavailable.Wrap(err, "the endpoint is not valid")
	}
	// Without GetBody net/http does not send the request a second time by itself.
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return nil, sendError(err)
	}
	if response.StatusCode != http.StatusOK {
		defer response.Body.Close()
		text, _ := io.ReadAll(io.LimitReader(response.Body, 1024))
		return nil, statusError(response.StatusCode, text)
	}
	return response, nil
}

// statusError maps a refusal: client errors were not applied, server errors may have been.
func statusError(status int, text []byte) error {
	message := fmt.Sprintf("the key-value service answered %d: %s", status, bytes.TrimSpace(text))
	if status < http.StatusInternalServerError {
		return store.ErrUnavailable.New("%s", message)
	}
	return store.ErrUnknownOutcome.New("%s", message)
}

func sendError(err error) error {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return store.ErrUnavailable.Wrap(err, "the key-value service can't be reached")
	}
	return store.ErrUnknownOutcome.Wrap(err, "no reply from the key-value service")
}

// readError turns an unknown outcome into an unavailable one: a read changes nothing.
func readError(err error) error {
	if store.IsErrUnknownOutcome(err) {
		return store.ErrUnavailable.Wrap(err, "the read failed")
	}
	return err
}

// prefixEnd returns the key after the last key with the given prefix.
func prefixEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}
