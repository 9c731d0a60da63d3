// Package client is the Go client of redwingloft. It fetches the
// address list from any entry host, caches it while it is valid, sends requests to
// the listed hosts, fails over between them, resumes interrupted streams and retries
// calls only where that is safe.
//
// The protocol is described in docs/callers.md.
package client

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"

	"redwingloft/pkg/api"
)

const (
	// dialTimeout limits the time to connect to a host.
	dialTimeout = time.Second
	// listTimeout limits one request for the address list. A host responds from
	// memory; a frozen host delays each caller by this time once per failedHostPenalty.
	listTimeout = 500 * time.Millisecond
	// DefaultSilence is the time without received data after which a connection is
	// considered stalled. Hosts send a keep-alive every 500 ms while they process a request.
	DefaultSilence = 2 * time.Second
	// failedHostPenalty is the time for which a failed host is tried last.
	failedHostPenalty = 5 * time.Second
	// maxResponseBytes limits the size of a non-streaming response.
	maxResponseBytes = 64 << 20
)

// Client sends requests for one workspace. Hosts, Workspace and Token must be
// set before its first use and not change afterwards. It is safe for concurrent use.
type Client struct {
	// Hosts are the addresses of entry hosts from which the address list is first fetched.
	Hosts []api.Address
	// Workspace and Token identify the caller.
	Workspace api.WorkspaceName
	Token     string
	// DataCentre is the data centre of the caller; hosts in it are preferred.
	DataCentre api.DataCentre
	// Scheme is "http" or "https"; empty means "http".
	Scheme string
	// TLS is used with the scheme "https" and without a Transport; nil means the system defaults.
	TLS *tls.Config
	// Transport sends the requests; nil means a transport with a short dial timeout.
	Transport http.RoundTripper
	// Silence is the time without received data after which a connection is
	// considered stalled; 0 means DefaultSilence.
	Silence time.Duration
	// Clock returns the current time; nil means time.Now.
	Clock func() time.Time
	// Observe, if not nil, is called with the reason of each retry.
	Observe func(reason RepeatReason)

	once      sync.Once
	transport http.RoundTripper
	mu        sync.Mutex
	list      []api.HostAddress
	// validUntil is the time at which list expires.
	validUntil time.Time
	// failedUntil maps the address of a failed host to the end of its penalty.
	failedUntil map[api.Address]time.Time
}

// RepeatReason is the reason why a client retried a request.
type RepeatReason string

// The reasons of a retry.
const (
	RepeatRefused     RepeatReason = "refused"
	RepeatUnreachable RepeatReason = "unreachable"
	RepeatBroken      RepeatReason = "broken"
	RepeatSilent      RepeatReason = "silent"
)

// ErrNoHost is returned if no entry host could be reached.
var ErrNoHost = errors.New("no entry host can be reached")

func (c *Client) now() time.Time {
	if c.Clock != nil {
		return c.Clock()
	}
	return time.Now()
}

func (c *Client) stallTimeout() time.Duration {
	if c.Silence > 0 {
		return c.Silence
	}
	return DefaultSilence
}

func (c *Client) roundTripper() http.RoundTripper {
	c.once.Do(func() {
		c.transport = c.Transport
		if c.transport == nil {
			c.transport = &http.Transport{
				DialContext:            (&net.Dialer{Timeout: dialTimeout}).DialContext,
				MaxIdleConnsPerHost:    64,
				IdleConnTimeout:        30 * time.Second,
				TLSClientConfig:        c.TLS,
				MaxResponseHeaderBytes: maxHeaderBytes,
			}
		}
	})
	return c.transport
}

// Close closes the idle connections.
func (c *Client) Close() {
	if closer, ok := c.roundTripper().(interface{ CloseIdleConnections() }); ok {
		closer.CloseIdleConnections()
	}
}

func (c *Client) baseURL(address api.Address) string {
	scheme := c.Scheme
	if scheme == "" {
		scheme = "http"
	}
	return scheme + "://" + string(address)
}

// Addresses returns the hosts to use, best first. It fetches the list from a host
// if the cached one has expired, and falls back to the cached list if no host responds.
func (c *Client) Addresses(ctx context.Context) ([]api.Address, error) {
	c.mu.Lock()
	cached, valid := c.list, c.now().Before(c.validUntil)
	c.mu.Unlock()
	if !valid {
		fetched, err := c.fetchList(ctx, cached)
		if err != nil && len(cached) == 0 {
			return nil, err
		}
		if err == nil {
			cached = fetched
		}
	}
	return c.healthyFirst(cached), nil
}

// List fetches the address list from a host, even if the cached one is still valid.
func (c *Client) List(ctx context.Context) ([]api.HostAddress, error) {
	c.mu.Lock()
	cached := c.list
	c.mu.Unlock()
	return c.fetchList(ctx, cached)
}

// fetchList queries the cached hosts and then the configured ones until one responds.
func (c *Client) fetchList(ctx context.Context, cached []api.HostAddress) ([]api.HostAddress, error) {
	candidates := c.healthyFirst(cached)
	seeds := append([]api.Address(nil), c.Hosts...)
	rand.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	lastErr := ErrNoHost
	for _, address := range append(candidates, seeds...) {
		requestedAt := c.now()
		list, err := c.fetchListFrom(ctx, address)
		if err != nil {
			c.markFailed(address)
			lastErr = errors.Join(ErrNoHost, err)
			continue
		}
		if len(list.Hosts) == 0 {
			continue
		}
		c.mu.Lock()
		c.list, c.validUntil = list.Hosts, requestedAt.Add(time.Duration(list.ValidForMs)*time.Millisecond)
		c.mu.Unlock()
		return list.Hosts, nil
	}
	return nil, lastErr
}

func (c *Client) fetchListFrom(ctx context.Context, address api.Address) (*api.AddressList, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	target := c.baseURL(address) + api.PathHosts + "?data_centre=" + url.QueryEscape(string(c.DataCentre))
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, err
	}
	response, err := c.roundTripper().RoundTrip(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("host %s returned status %d for the address list", address, response.StatusCode)
	}
	var list api.AddressList
	if err := json.NewDecoder(io.LimitReader(response.Body, 1<<20)).Decode(&list); err != nil {
		return nil, fmt.Errorf("host %s returned an invalid address list: %w", address, err)
	}
	return &list, nil
}

// healthyFirst returns the addresses of a list; recently failed hosts come last.
func (c *Client) healthyFirst(list []api.HostAddress) []api.Address {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	healthy, failed := make([]api.Address, 0, len(list)), []api.Address(nil)
	for _, host := range list {
		if now.Before(c.failedUntil[host.Address]) {
			failed = append(failed, host.Address)
			continue
		}
		healthy = append(healthy, host.Address)
	}
	return append(healthy, failed...)
}

// markFailed moves a host to the end of the list for failedHostPenalty.
func (c *Client) markFailed(address api.Address) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failedUntil == nil {
		c.failedUntil = map[api.Address]time.Time{}
	}
	now := c.now()
	for failed, until := range c.failedUntil {
		if now.After(until) {
			delete(c.failedUntil, failed)
		}
	}
	c.failedUntil[address] = now.Add(failedHostPenalty)
}

// expireList makes the next request fetch a new address list.
func (c *Client) expireList() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.validUntil = time.Time{}
}

func (c *Client) observeRetry(reason RepeatReason) {
	if c.Observe != nil {
		c.Observe(reason)
	}
}
