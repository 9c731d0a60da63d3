// Package etcd is a client of a key-value service that uses the JSON gateway of
// etcd version 3.
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

	"github.com/joomcode/errorx"

	"redwingloft/internal/data/store"
	"redwingloft/internal/helper/dial"
	"redwingloft/internal/kernel"
)

const (
	defaultTimeout = 2 * time.Second
	// maxResponse bounds the bytes of a response and of a watch message: values have up
	// to a megabyte and are encoded in base64.
	maxResponse = 64 << 20
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
	// current is the index, modulo the number of endpoints, of the endpoint in use.
	current atomic.Int64
	// calls counts the calls made, not their retries at other endpoints; a watch counts as one.
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
		DialContext:            (&net.Dialer{Timeout: timeout}).DialContext,
		MaxIdleConnsPerHost:    8,
		IdleConnTimeout:        30 * time.Second,
		MaxResponseHeaderBytes: dial.MaxHeaderBytes,
	}
	client := &http.Client{
		Transport: transport,
		// A redirected write could be applied at an endpoint that was not configured.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return &Client{endpoints: options.Endpoints, timeout: timeout, http: client}, nil
}

// Calls returns the number of calls made so far; a watch counts as one.
func (c *Client) Calls() int64 { return c.calls.Load() }

// Get returns the entry of key, or nil if it does not exist.
func (c *Client) Get(ctx context.Context, key string) (*store.Entry, error) {
	body, err := c.call(ctx, "/v3/kv/range", rangeRequest{Key: []byte(key)})
	if err != nil {
		return nil, store.ReadError(err)
	}
	entries, err := decodeRange(body)
	if err != nil || len(entries) == 0 {
		return nil, store.ReadError(err)
	}
	return &entries[0], nil
}

// List returns at most limit entries under prefix from key from on, in key order; a
// limit of 0 means all.
func (c *Client) List(ctx context.Context, prefix, from string, limit int) ([]store.Entry, error) {
	start := []byte(prefix)
	if from > prefix {
		start = []byte(from)
	}
	request := rangeRequest{Key: start, RangeEnd: prefixEnd(prefix), Limit: int64(limit)}
	body, err := c.call(ctx, "/v3/kv/range", request)
	if err != nil {
		return nil, store.ReadError(err)
	}
	entries, err := decodeRange(body)
	return entries, store.ReadError(err)
}

// ReadAll returns the entries under prefix and the revision at which they were read.
func (c *Client) ReadAll(ctx context.Context, prefix string) ([]store.Entry, store.Version, error) {
	body, err := c.call(ctx, "/v3/kv/range", rangeRequest{Key: []byte(prefix), RangeEnd: prefixEnd(prefix)})
	if err != nil {
		return nil, 0, store.ReadError(err)
	}
	entries, err := decodeRange(body)
	if err != nil {
		return nil, 0, store.ReadError(err)
	}
	version, err := decodeRevision(body)
	return entries, version, store.ReadError(err)
}

// Txn applies txn if all its compares succeed.
func (c *Client) Txn(ctx context.Context, txn store.Txn) (store.TxnResult, error) {
	body, err := c.call(ctx, "/v3/kv/txn", newTxnRequest(txn))
	if err != nil {
		return store.TxnResult{}, err
	}
	return decodeTxn(body, len(txn.ReadElse))
}

// Grant creates a lease. The TTL is rounded up to the whole seconds of the gateway.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	seconds := int64((ttl + time.Second - 1) / time.Second)
	body, err := c.call(ctx, "/v3/lease/grant", leaseRequest{TTL: seconds})
	if err != nil {
		return 0, err
	}
	return decodeGrant(body)
}

// KeepAlive renews a lease. It returns ErrLeaseNotFound if the lease has expired.
func (c *Client) KeepAlive(ctx context.Context, lease store.LeaseID) error {
	body, err := c.call(ctx, "/v3/lease/keepalive", leaseRequest{ID: int64(lease)})
	if err != nil {
		return err
	}
	return decodeKeepAlive(body, lease)
}

// Revoke revokes a lease, which deletes its keys.
func (c *Client) Revoke(ctx context.Context, lease store.LeaseID) error {
	_, err := c.call(ctx, "/v3/lease/revoke", leaseRequest{ID: int64(lease)})
	return err
}

// Watch calls f with the changes under prefix from version from on; 0 means only later changes.
func (c *Client) Watch(ctx context.Context, prefix string, from store.Version, f func([]store.Event)) error {
	request := watchRequest{}
	request.Create.Key = []byte(prefix)
	request.Create.RangeEnd = prefixEnd(prefix)
	request.Create.StartRevision = int64(from)
	response, err := c.send(ctx, "/v3/watch", request)
	if err != nil {
		return store.ReadError(err)
	}
	defer response.Body.Close()
	return readWatch(response.Body, f)
}

// call sends one request and returns the body of the response.
func (c *Client) call(ctx context.Context, path string, request any) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	response, err := c.send(ctx, path, request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponse+1))
	switch {
	case err != nil:
		c.skipEndpoint(response.Request.URL.Scheme + "://" + response.Request.URL.Host)
		return nil, store.ErrUnknownOutcome.Wrap(err, "the response of %s was truncated", path)
	case len(body) > maxResponse:
		return nil, store.ErrUnknownOutcome.New("the response of %s has more than %d bytes", path, maxResponse)
	}
	return body, nil
}

// send sends one request to the current endpoint. After a failed dial, when nothing
// can have been applied, it retries the request at the next endpoint. After an unknown
// outcome it returns the error, and only later requests use the next endpoint.
func (c *Client) send(ctx context.Context, path string, request any) (*http.Response, error) {
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
		if isErrRejected(err) || store.IsErrLeaseNotFound(err) {
			return nil, err
		}
		c.current.CompareAndSwap(index, index+1)
		if !store.IsErrUnavailable(err) || ctx.Err() != nil {
			return nil, err
		}
	}
	return nil, last
}

// skipEndpoint switches to the next endpoint if the given one is still current.
func (c *Client) skipEndpoint(endpoint string) {
	index := c.current.Load()
	if c.endpoints[int(index)%len(c.endpoints)] == endpoint {
		c.current.CompareAndSwap(index, index+1)
	}
}

func (c *Client) post(ctx context.Context, url string, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, store.ErrUnavailable.Wrap(err, "the endpoint is not valid")
	}
	// Without GetBody, net/http does not retry the request by itself.
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return nil, store.NoResponseError(err)
	}
	if response.StatusCode != http.StatusOK {
		defer response.Body.Close()
		text, _ := io.ReadAll(io.LimitReader(response.Body, 1024))
		return nil, statusError(response.StatusCode, text)
	}
	return response, nil
}

// errRejected is the type of errors for requests that the service rejected; every
// endpoint would reject them.
var errRejected = store.ErrUnavailable.NewSubtype("refused")

// isErrRejected reports whether the service rejected the request.
func isErrRejected(err error) bool { return errorx.IsOfType(err, errRejected) }

// rejectedStatuses are the statuses that prove that nothing was applied: the gateway or
// the service rejected the request before the write. 408 and 499 are not listed: the
// gateway returns them for a call that timed out or was canceled, and a write that was
// already proposed may still be applied.
var rejectedStatuses = map[int]bool{
	http.StatusBadRequest: true, http.StatusUnauthorized: true, http.StatusForbidden: true,
	http.StatusNotFound: true, http.StatusMethodNotAllowed: true, http.StatusPreconditionFailed: true,
	http.StatusRequestEntityTooLarge: true, http.StatusUnsupportedMediaType: true,
	http.StatusTooManyRequests: true,
}

// leaseNotFoundText is the error message for a write whose lease has expired.
const leaseNotFoundText = "requested lease not found"

// statusError returns the error for a response with a status other than 200.
func statusError(status int, text []byte) error {
	message := fmt.Sprintf("the key-value service returned status %d: %s", status, bytes.TrimSpace(text))
	switch {
	case !rejectedStatuses[status]:
		return store.ErrUnknownOutcome.New("%s", message)
	case bytes.Contains(text, []byte(leaseNotFoundText)):
		return store.ErrLeaseNotFound.New("%s", message)
	}
	return errRejected.New("%s", message)
}

// prefixEnd returns the exclusive end of the key range with the given prefix; a zero byte
// means no end.
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
