package member

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"redwingloft/internal/helper/dial"
	"redwingloft/internal/helper/fault"
	"redwingloft/internal/helper/metric"
	"redwingloft/pkg/api"
)

// HeaderSecret is the header that carries the shared peer secret.
const HeaderSecret = "X-Peer-Secret"

// Paths of the messages between hosts.
const (
	PathExchange = "/peer/v1/exchange"
	PathManifest = "/peer/v1/config/manifest"
	PathParts    = "/peer/v1/config/parts/"
	PathGrant    = "/peer/v1/limits/grant"
	PathClaims   = "/peer/v1/claims"
)

// Maximum body sizes of messages between hosts, in bytes.
const (
	// MaxExchange bounds an exchange. The largest carries all member documents, about 120 bytes per host.
	MaxExchange = 1 << 20
	// MaxGrantRequest bounds a request for a grant.
	MaxGrantRequest = 64 << 10
	// MaxClaims bounds a batch of claims and its answer, which holds outcomes of up to 64 KiB each.
	MaxClaims = 16 << 20
	// MaxPart bounds a manifest or a configuration part.
	MaxPart = 8 << 20
)

// GrantRequest asks the home host of a workspace for quota tokens.
type GrantRequest struct {
	Workspace api.WorkspaceName `json:"workspace"`
	// Want is the number of tokens requested.
	Want float64 `json:"want"`
}

// Grant is the answer to a GrantRequest.
type Grant struct {
	// Tokens is the number of tokens granted, at most Want.
	Tokens float64 `json:"tokens"`
}

// ClaimsRequest asks the aggregator of an order shard to make claims.
type ClaimsRequest struct {
	Shard int `json:"shard"`
	// Claims is encoded by package order.
	Claims json.RawMessage `json:"claims"`
}

// Client sends messages to other hosts.
type Client struct {
	Secret  string
	Metrics *metric.Set
	http    *http.Client
	scheme  string
}

// Timeouts of connections between hosts.
const (
	dialTimeout     = time.Second
	answerTimeout   = 5 * time.Second
	idleConnTimeout = 30 * time.Second
)

// NewClient returns a client that authenticates with the given secret.
func NewClient(secret string, metrics *metric.Set) *Client {
	transport := &http.Transport{
		DialContext:            (&net.Dialer{Timeout: dialTimeout}).DialContext,
		ResponseHeaderTimeout:  answerTimeout,
		IdleConnTimeout:        idleConnTimeout,
		MaxIdleConnsPerHost:    2,
		MaxResponseHeaderBytes: dial.MaxHeaderBytes,
		DisableCompression:     true,
	}
	return &Client{Secret: secret, Metrics: metrics, scheme: "http://", http: &http.Client{Transport: transport, Timeout: answerTimeout}}
}

// Exchange sends a message and returns the answer.
func (c *Client) Exchange(ctx context.Context, address api.Address, message Message) (Message, error) {
	var answer Message
	sent, received, err := c.post(ctx, address, PathExchange, MaxExchange, message, &answer)
	c.Metrics.Counter("member.exchange_bytes_sent").Inc(int64(sent))
	c.Metrics.Counter("member.exchange_bytes_received").Inc(int64(received))
	return answer, err
}

// Grant requests tokens from the home host of a workspace.
func (c *Client) Grant(ctx context.Context, address api.Address, request GrantRequest) (Grant, error) {
	var answer Grant
	_, _, err := c.post(ctx, address, PathGrant, MaxGrantRequest, request, &answer)
	return answer, err
}

// Claims asks the aggregator of an order shard to make claims, and returns its answer.
func (c *Client) Claims(ctx context.Context, address api.Address, request ClaimsRequest) (json.RawMessage, error) {
	var answer json.RawMessage
	_, _, err := c.post(ctx, address, PathClaims, MaxClaims, request, &answer)
	return answer, err
}

// Manifest returns the active manifest of a host.
func (c *Client) Manifest(ctx context.Context, address api.Address) (json.RawMessage, error) {
	return c.get(ctx, address, PathManifest)
}

// Part returns a configuration part by its hex SHA-256 digest. The caller must verify the digest.
func (c *Client) Part(ctx context.Context, address api.Address, digest string) ([]byte, error) {
	return c.get(ctx, address, PathParts+digest)
}

func (c *Client) get(ctx context.Context, address api.Address, path string) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.scheme+string(address)+path, nil)
	if err != nil {
		return nil, err
	}
	request.Header.Set("Accept-Encoding", "gzip")
	return c.do(request, MaxPart)
}

func (c *Client) post(ctx context.Context, address api.Address, path string, limit int64, body, answer any) (sent, received int, err error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return 0, 0, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.scheme+string(address)+path, bytes.NewReader(encoded))
	if err != nil {
		return 0, 0, err
	}
	request.Header.Set("Content-Type", "application/json")
	data, err := c.do(request, limit)
	if err != nil {
		return len(encoded), len(data), err
	}
	return len(encoded), len(data), json.Unmarshal(data, answer)
}

func (c *Client) do(request *http.Request, limit int64) ([]byte, error) {
	request.Header.Set(HeaderSecret, c.Secret)
	// An empty value omits the header, which saves bytes in each exchange.
	request.Header.Set("User-Agent", "")
	response, err := c.http.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	counted := &countingReader{reader: response.Body}
	data, err := readBody(response.Header, counted, limit)
	c.Metrics.Counter("member.bytes_received").Inc(counted.bytes)
	switch {
	case err != nil:
		return data, err
	case int64(len(data)) > limit:
		return nil, fmt.Errorf("the response of %s has more than %d bytes", request.URL.Path, limit)
	case response.StatusCode != http.StatusOK:
		return data, peerError(response.StatusCode, data)
	}
	return data, nil
}

// readBody reads at most limit+1 bytes of a body, after decompression.
func readBody(header http.Header, body io.Reader, limit int64) ([]byte, error) {
	if header.Get("Content-Encoding") == "gzip" {
		unzipped, err := gzip.NewReader(body)
		if err != nil {
			return nil, err
		}
		body = unzipped
	}
	return io.ReadAll(io.LimitReader(body, limit+1))
}

// countingReader counts the bytes read through it.
type countingReader struct {
	reader io.Reader
	bytes  int64
}

func (r *countingReader) Read(p []byte) (int, error) {
	n, err := r.reader.Read(p)
	r.bytes += int64(n)
	return n, err
}

// peerError returns the error in a peer's answer, with its kind if that is known.
func peerError(status int, data []byte) error {
	var reply api.Error
	if json.Unmarshal(data, &reply) == nil {
		if _, known := api.Kinds[reply.Kind]; known {
			return fault.WithRunState(fault.New(reply.Kind, "%s", reply.Message), reply.Run)
		}
	}
	return fmt.Errorf("peer responded with status %d", status)
}
