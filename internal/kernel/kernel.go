// Package kernel holds the registries through which plug-ins for the outside
// interfaces make themselves known. A plug-in registers in its init function and
// the settings choose one by name.
package kernel

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"redwingloft/internal/data/document"
	"redwingloft/internal/data/store"
	"redwingloft/internal/data/work"
	"redwingloft/pkg/api"
)

// Registry maps the names of plug-ins to their factories. The zero value works.
type Registry[T any] struct {
	mu    sync.RWMutex
	items map[string]T
}

// Register adds item under name. It panics where the name is taken, which is a
// programming error.
func (r *Registry[T]) Register(name string, item T) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.items == nil {
		r.items = map[string]T{}
	}
	if _, taken := r.items[name]; taken {
		panic(fmt.Sprintf("kernel: plug-in %q is registered twice", name))
	}
	r.items[name] = item
}

// Get returns the item of name, or an error that lists the known names.
func (r *Registry[T]) Get(name string) (T, error) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	item, found := r.items[name]
	if !found {
		return item, fmt.Errorf("no plug-in %q; known are: %s", name, strings.Join(r.names(), ", "))
	}
	return item, nil
}

// names returns the registered names in order.
func (r *Registry[T]) names() []string {
	names := make([]string, 0, len(r.items))
	for name := range r.items {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// StoreOptions configure a key-value service client.
type StoreOptions struct {
	// Endpoints are base URLs, tried in order.
	Endpoints []string
	// Timeout bounds each call except watches.
	Timeout time.Duration
	// WatchWait bounds the wait of one call of a watch, where watches are such calls; 0
	// means the longest that the service accepts.
	WatchWait time.Duration
}

// StoreFactory makes a client of a key-value service.
type StoreFactory func(StoreOptions) (store.Store, error)

// Stores are the key-value service plug-ins.
var Stores Registry[StoreFactory]

// Codec translates one attempt of a stage to the HTTP protocol of an upstream and back.
type Codec struct {
	// Request builds the HTTP request of an attempt; base is "http://ip:port".
	Request func(ctx context.Context, base string, in work.Input) (*http.Request, error)
	// Read reads the body of a 2xx reply. It calls emit for each streamed token in
	// order and stops with the error of emit. A reply that ends early is an error.
	Read func(body io.Reader, in work.Input, emit func(work.Token) error) (work.Output, error)
	// Prompt returns the parts of the prompt that the upstream may have cached, in
	// order; nil where the protocol has no prompt cache.
	Prompt func(in work.Input) []string
}

// Codecs are the plug-ins of the upstream protocols, by group kind.
var Codecs Registry[Codec]

// ListedState is the state of an upstream in the host list.
type ListedState string

// The states of the host list.
const (
	ListedLive    ListedState = "live"
	ListedLeaving ListedState = "leaving"
)

// Listed is one entry of the host list.
type Listed struct {
	Group      api.GroupName
	Address    api.Address
	DataCentre api.DataCentre
	State      ListedState
}

// HostList reads the platform's list of live and leaving hosts.
type HostList struct {
	// Fetch returns the whole list.
	Fetch func(ctx context.Context) ([]Listed, error)
}

// HostListFactory makes a reader of the host list at a URL.
type HostListFactory func(url string, timeout time.Duration) (HostList, error)

// HostLists are the host list plug-ins.
var HostLists Registry[HostListFactory]

// CodecFor returns the codec of a group.
func CodecFor(group *document.Group) (Codec, error) {
	return Codecs.Get(string(group.Kind))
}
