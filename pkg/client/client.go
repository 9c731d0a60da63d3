// Package client is the Go client of redwingloft. It asks any entry host for the
// address list, keeps it for its validity, sends requests to the listed hosts,
// fails over between them, resumes cut streams and repeats calls only where that is safe.
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
	// dialTimeout bounds a new connection to a host.
	dialTimeout = time.Second
	// listTimeout bounds one request for the address list. A host answers it from
	// memory; a frozen host costs every caller this time once per penalty.
	listTimeout = 500 * time.Millisecond
	// DefaultSilence is the time without a byte after which a connection counts as
	// lost. Hosts send a sign of life every 500 ms while they work.
	DefaultSilence = 2 * time.Second
	// penalty is the time for which a host that failed is tried last.
	penalty = 5 * time.Second
	// maxAnswer bounds an answer that is not streamed.
	maxAnswer = 64 << 20
)

// Client sends requests for one workspace. Hosts, Workspace and Token must be
// set before its first use and not change after it. It is safe for concurrent use.
type Client struct {
	// Hosts are the addresses of some entry hosts, asked for the address list.
	Hosts []api.Address
	// Workspace and Token identify the caller.
	Workspace api.WorkspaceName
	Token     string
	// DataCentre is that of the caller; hosts in it are preferred.
	DataCentre api.DataCentre
	// Scheme is "http" or "https"; empty means "http".
	Scheme string
	// TLS is used with the scheme "https" and without a Transport; nil means the defaults of the system.
	TLS *tls.Config
	// Transport sends the requests; nil means one with short dial time-outs.
	Transport http.RoundTripper
	// Silence is the time without a byte after which a connection counts as lost;
	// 0 means DefaultSilence.
	Silence time.Duration
	// Clock returns the current time; nil means time.Now.
	Clock func() time.Time
	// Observe is told the reason of each repeat; nil is skipped.
	Observe func(reason RepeatReason)

	once      sync.Once
	transport http.RoundTripper
	mu        sync.Mutex
	list      []api.HostAddress
	// validUntil is the end of the validity of list.
	validUntil time.Time
	// failed maps an address to the end of its penalty.
	failed map[api.Address]time.Time
}

// RepeatReason tells why a client sent a request again.
type RepeatReason string

// The reasons of a repeat.
const (
	RepeatRefused     RepeatReason = "refused"
	RepeatUnreachable RepeatReason = "unreachable"
	RepeatBroken      RepeatReason = "broken"
	RepeatSilent      RepeatReason = "silent"
)

// ErrNoHost is returned where no entry host could be reached.
var ErrNoHost = errors.New("no entry host can be reached")

func (c *Client) now() time.Time {
	if c.Clock != nil {
		return c.Clock()
	}
	return time.Now()
}

func (c *Client) silence() time.Duration {
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
				DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
				MaxIdleConnsPerHost: 64,
				IdleConnTimeout:     30 * time.Second,
				TLSClientConfig:     c.TLS,
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

func (c *Client) base(address api.Address) string {
	scheme := c.Scheme
	if scheme == "" {
		scheme = "http"
	}
	return scheme + "://" + string(address)
}

// Addresses returns the hosts to use, best first. It asks a host where the last
// list is no longer valid, and keeps that list where none answers.
func (c *Client) Addresses(ctx context.Context) ([]api.Address, error) {
	c.mu.Lock()
	known, valid := c.list, c.now().Before(c.validUntil)
	c.mu.Unlock()
	if !valid {
		fresh, err := c.fetch(ctx, known)
		if err != nil && len(known) == 0 {
			return nil, err
		}
		if err == nil {
			known = fresh
		}
	}
	return c.order(known), nil
}

// List asks a host for the address list, whether or not the last one is still valid.
func (c *Client) List(ctx context.Context) ([]api.HostAddress, error) {
	c.mu.Lock()
	known := c.list
	c.mu.Unlock()
	return c.fetch(ctx, known)
}

// fetch asks the known hosts and then the configured ones until one answers.
func (c *Client) fetch(ctx context.Context, known []api.HostAddress) ([]api.HostAddress, error) {
	candidates := c.order(known)
	seeds := append([]api.Address(nil), c.Hosts...)
	rand.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	last := ErrNoHost
	for _, address := range append(candidates, seeds...) {
		asked := c.now()
		list, err := c.ask(ctx, address)
		if err != nil {
			c.punish(address)
			last = errors.Join(ErrNoHost, err)
			continue
		}
		if len(list.Hosts) == 0 {
			continue
		}
		c.mu.Lock()
		c.list, c.validUntil = list.Hosts, asked.Add(time.Duration(list.ValidForMs)*time.Millisecond)
		c.mu.Unlock()
		return list.Hosts, nil
	}
	return nil, last
}

func (c *Client) ask(ctx context.Context, address api.Address) (*api.AddressList, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	target := c.base(address) + api.PathHosts + "?data_centre=" + url.QueryEscape(string(c.DataCentre))
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
		return nil, fmt.Errorf("host %s answered %d", address, response.StatusCode)
	}
	var list api.AddressList
	if err := json.NewDecoder(io.LimitReader(response.Body, 1<<20)).Decode(&list); err != nil {
		return nil, fmt.Errorf("host %s: the address list is not valid: %w", address, err)
	}
	return &list, nil
}

// order returns the addresses of a list; hosts that failed lately come last.
func (c *Client) order(list []api.HostAddress) []api.Address {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	good, bad := make([]api.Address, 0, len(list)), []api.Address(nil)
	for _, host := range list {
		if now.Before(c.failed[host.Address]) {
			bad = append(bad, host.Address)
			continue
		}
		good = append(good, host.Address)
	}
	return append(good, bad...)
}

// punish puts a host last for a while.
func (c *Client) punish(address api.Address) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failed == nil {
		c.failed = map[api.Address]time.Time{}
	}
	now := c.now()
	for known, until := range c.failed {
		if now.After(until) {
			delete(c.failed, known)
		}
	}
	c.failed[address] = now.Add(penalty)
}

// expire makes the next request ask for a new address list.
func (c *Client) expire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.validUntil = time.Time{}
}

func (c *Client) observe(reason RepeatReason) {
	if c.Observe != nil {
		c.Observe(reason)
	}
}
