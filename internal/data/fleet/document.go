// Package fleet holds the types that entry hosts act on where the platform lists
// routes, upstreams and hosts: the routing document, the upstreams and the hosts.
// All values are immutable once published.
package fleet

import (
	"fmt"
	"time"

	"redwingloft/pkg/api"
)

// RouteName names a route of the routing document.
type RouteName string

// Revision is the version of a routing document. It rises in uneven steps.
type Revision int64

// Kind tells what may be repeated of the requests of a route.
type Kind string

// The kinds of routes.
const (
	// KindIdempotent requests may run any number of times.
	KindIdempotent Kind = "idempotent"
	// KindNonIdempotent requests run at most once.
	KindNonIdempotent Kind = "non_idempotent"
	// KindStreaming requests are answered by events. They run at most once unless
	// the route is resumable.
	KindStreaming Kind = "streaming"
)

// Share is one of the services that a route divides its requests among.
type Share struct {
	Service api.ServiceName
	// Weight is positive; only its ratio to the other weights counts.
	Weight int
}

// Stage is preparatory work of a route's requests.
type Stage struct {
	Service api.ServiceName
	// After holds the indexes of the stages whose results this one needs; each is a valid index of the route.
	After []int
	// ResultBytes is the approximate size of one result.
	ResultBytes int64
}

// Route sends the requests of a virtual host and path prefix to services.
type Route struct {
	Name RouteName
	// Host is the virtual host.
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Kind       Kind
	// Timeout bounds the time from the arrival to the end of the answer; 0 means no bound.
	Timeout time.Duration
	// Objective is the response time to aim for; 0 means none.
	Objective time.Duration
	// MaxGap is the longest pause between two events to aim for; 0 means none.
	MaxGap time.Duration
	// Priority is the rank of the requests, 0 first.
	Priority int
	// Services has at least one entry.
	Services []Share
	// MaxAttempts is the number of upstreams that one request may be sent to, at least 1.
	MaxAttempts int
	Stages      []Stage
	// Public routes need no credential.
	Public bool
	// Resumable streams may continue on another upstream after the last event that arrived.
	Resumable bool
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindIdempotent || (r.Kind == KindStreaming && r.Resumable)
}

// Engine holds the limits of each upstream of a service of model engines.
type Engine struct {
	// BatchSlots is the number of requests that an engine works on at once.
	BatchSlots int
	// CacheTokens is the number of tokens that running requests and cached prompts share.
	CacheTokens int
}

// Batching holds the limits of each upstream of a service that runs stages.
type Batching struct {
	// Concurrent is the number of calls that run at once.
	Concurrent int
	// Queue is the number of calls that may wait.
	Queue int
	// MaxItems bounds the items of a call.
	MaxItems int
	// CallTime is the fixed part of the duration of a call.
	CallTime time.Duration
	// ItemTime is the approximate part of each item.
	ItemTime time.Duration
	// ResultBytes is the room for results.
	ResultBytes int64
	// ResultLife is the time for which a result is kept after its call.
	ResultLife time.Duration
}

// Service is a group of interchangeable upstreams.
type Service struct {
	Name api.ServiceName
	// MaxConnections is the number of connections that one upstream accepts from all callers; 0 means no limit.
	MaxConnections int
	// Engine is nil for services that run no models.
	Engine *Engine
	// Batching is nil for services that run no stages.
	Batching *Batching
}

// Workspace is a customer with its credentials.
type Workspace struct {
	Name api.WorkspaceName
	// Keys are the bearer tokens of the workspace.
	Keys []string
	// Priority goes before that of the route; nil means none is set.
	Priority *int
}

// Limits bound what callers may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Document is one whole routing document.
type Document struct {
	Revision   Revision
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     Limits
}

// check returns the first fault of a document.
func (d *Document) check() error {
	for i := range d.Routes {
		if err := d.Routes[i].check(); err != nil {
			return fmt.Errorf("route %q: %w", d.Routes[i].Name, err)
		}
	}
	return nil
}

func (r *Route) check() error {
	switch {
	case r.PathPrefix == "" || r.PathPrefix[0] != '/' || r.PathPrefix[len(r.PathPrefix)-1] != '/':
		return fmt.Errorf("path prefix %q does not begin and end with a slash", r.PathPrefix)
	case len(r.Services) == 0:
		return fmt.Errorf("no service")
	case r.Kind != KindIdempotent && r.Kind != KindNonIdempotent && r.Kind != KindStreaming:
		return fmt.Errorf("unknown kind %q", r.Kind)
	}
	for i, stage := range r.Stages {
		for _, before := range stage.After {
			// A stage that needs itself or a later one could never run.
			if before < 0 || before >= len(r.Stages) || before == i {
				return fmt.Errorf("stage %d needs stage %d, which does not exist", i, before)
			}
		}
	}
	return nil
}
