// Package kernel holds the registries of plug-ins for external interfaces. A plug-in
// registers itself in its init function and is selected by name in the settings or, for
// codecs, by group kind in the document.
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

// Registry maps plug-in names to plug-ins. The zero value is ready to use.
type Registry[T any] struct {
	mu    sync.RWMutex
	items map[string]T
}

// Register adds item under name. It panics if the name is already registered, as this is a
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

// Get returns the item registered under name, or an error that lists the registered names.
func (r *Registry[T]) Get(name string) (T, error) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	item, found := r.items[name]
	if !found {
		return item, fmt.Errorf("unknown plug-in %q; registered plug-ins: %s", name, strings.Join(r.names(), ", "))
	}
	return item, nil
}

// names returns the registered names, sorted. The caller holds mu.
func (r *Registry[T]) names() []string {
	names := make([]string, 0, len(r.items))
	for name := range r.items {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// StoreOptions holds the options of a key-value service client.
type StoreOptions struct {
	// Endpoints are base URLs, tried in order.
	Endpoints []string
	// Timeout is the timeout of each call except watches.
	Timeout time.Duration
	// WatchWait is the maximum wait of one watch call, for services that use long polling;
	// 0 means the longest wait that the service accepts.
	WatchWait time.Duration
	// OnMalformed is called for items of the service that can't be decoded and are left out of a
	// result; nil ignores them.
	OnMalformed func(key string, err error)
}

// StoreFactory creates a client of a key-value service.
type StoreFactory func(StoreOptions) (store.Store, error)

// Stores is the registry of key-value service plug-ins.
var Stores Registry[StoreFactory]

// Codec encodes one attempt of a stage as an HTTP request of an upstream's protocol and
// decodes the response.
type Codec struct {
	// Request builds the HTTP request of an attempt; base is "http://ip:port".
	Request func(ctx context.Context, base string, in work.Input) (*http.Request, error)
	// Read reads the body of a 2xx response. It calls emit for each streamed token in order
	// and stops if emit returns an error. It returns an error for a truncated response.
	Read func(body io.Reader, in work.Input, emit func(work.Token) error) (work.Output, error)
	// PromptParts returns the parts of the prompt that the upstream may have cached, in order. It
	// is nil if the protocol has no prompt cache.
	PromptParts func(in work.Input) []string
}

// Codecs is the registry of upstream protocol plug-ins by group kind.
var Codecs Registry[Codec]

// ListedState is the state of an upstream in the host list.
type ListedState string

// The states of upstreams in the host list.
const (
	ListedLive     ListedState = "live"
	ListedDraining ListedState = "leaving"
)

// HostListEntry is one entry of the platform's host list.
type HostListEntry struct {
	Group      api.GroupName
	Address    api.Address
	DataCentre api.DataCentre
	State      ListedState
}

// HostList reads the platform's list of live and draining upstreams.
type HostList struct {
	// Fetch returns the complete list.
	Fetch func(ctx context.Context) ([]HostListEntry, error)
}

// HostListFactory creates a client for the host list at url.
type HostListFactory func(url string, timeout time.Duration) (HostList, error)

// HostLists is the registry of host list plug-ins.
var HostLists Registry[HostListFactory]

// CodecFor returns the codec for the kind of group.
func CodecFor(group *document.Group) (Codec, error) {
	return Codecs.Get(string(group.Kind))
}
