// Package fleet defines the types that entry hosts use if the platform lists routes, upstreams
// and hosts: the routing document, upstreams and hosts. Values are immutable once published.
package fleet

import (
	"fmt"
	"slices"
	"strings"
	"time"
	"unicode"

	"redwingloft/pkg/api"
)

// RouteName is the name of a route in the routing document.
type RouteName string

// Revision is the version of a routing document. It increases, but not always by 1.
type Revision int64

// Kind determines whether requests of a route may run more than once.
type Kind string

// The supported kinds of routes.
const (
	// KindIdempotent requests may run any number of times.
	KindIdempotent Kind = "idempotent"
	// KindNonIdempotent requests run at most once.
	KindNonIdempotent Kind = "non_idempotent"
	// KindStreaming requests have an event stream as their response. They run at most once
	// unless the route is resumable.
	KindStreaming Kind = "streaming"
)

// WeightedService is a service that a route sends requests to, with its weight.
type WeightedService struct {
	Service api.ServiceName
	// Weight is positive and relative to the weights of the route's other services.
	Weight int
}

// Stage is a processing step that runs before a request is sent to the route's service.
type Stage struct {
	Service api.ServiceName
	// After holds the indexes of the stages whose results are inputs of this one; each is a
	// valid index of Route.Stages, and no stage depends on itself, also not over others.
	After []int
	// ResultBytes is the approximate size of one result.
	ResultBytes int64
}

// Route maps a virtual host and path prefix to services.
type Route struct {
	Name RouteName
	// Host is the virtual host.
	Host string
	// PathPrefix starts and ends with a slash.
	PathPrefix string
	Kind       Kind
	// Timeout is the maximum time from the arrival of a request to the end of the response; 0
	// means no limit.
	Timeout time.Duration
	// Objective is the target response time; 0 means none.
	Objective time.Duration
	// MaxGap is the target for the longest gap between two events of a stream; 0 means none.
	MaxGap time.Duration
	// Priority is the priority of the requests; 0 is the highest.
	Priority int
	// Services has at least one element.
	Services []WeightedService
	// MaxAttempts is the maximum number of upstreams that a request is sent to, at least 1.
	MaxAttempts int
	Stages      []Stage
	// Public routes don't require a credential.
	Public bool
	// Resumable streams can be continued on another upstream after the last received event.
	Resumable bool
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindIdempotent || (r.Kind == KindStreaming && r.Resumable)
}

// Engine holds the limits of each upstream of a service that runs model engines.
type Engine struct {
	// BatchSlots is the number of requests that an engine processes concurrently.
	BatchSlots int
	// CacheTokens is the cache capacity in tokens, shared by running requests and cached prompts.
	CacheTokens int
}

// Batching holds the limits of each upstream of a service that runs stages.
type Batching struct {
	// MaxConcurrent is the maximum number of concurrent calls.
	MaxConcurrent int
	// MaxQueued is the maximum number of queued calls.
	MaxQueued int
	// MaxItems is the maximum number of items in a call.
	MaxItems int
	// CallTime is the fixed part of the duration of a call.
	CallTime time.Duration
	// ItemTime is the approximate time that each item adds to a call.
	ItemTime time.Duration
	// ResultCapacity is the capacity for stored results.
	ResultCapacity int64
	// ResultTTL is the TTL of a result after its call.
	ResultTTL time.Duration
}

// Service is a group of interchangeable upstreams.
type Service struct {
	Name api.ServiceName
	// MaxConnections is the total number of connections that one upstream accepts; 0 means no limit.
	MaxConnections int
	// Engine is nil for services that don't run models.
	Engine *Engine
	// Batching is nil for services that don't run stages.
	Batching *Batching
	// ColdTime is how long an upstream is cold after its start; 0 means never.
	ColdTime time.Duration
	// ColdRate is the number of requests a second that a cold upstream tolerates; 0 means any.
	ColdRate float64
}

// Workspace is a tenant with its credentials.
type Workspace struct {
	Name api.WorkspaceName
	// Keys are the bearer tokens of the workspace.
	Keys []string
	// Priority overrides the priority of the route; nil means not set.
	Priority *int
}

// Limits holds the limits on requests and connections of callers.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Document is a complete routing document.
type Document struct {
	Revision Revision
	Routes   []Route
	Services []Service
	// Workspaces is nil if the document lists no workspaces, so that requests need no credential.
	// An empty list admits only requests of public routes.
	Workspaces []Workspace
	Limits     Limits
}

// validate returns the first validation error of the document.
func (d *Document) validate() error {
	for i := range d.Routes {
		if err := d.Routes[i].validate(); err != nil {
			return fmt.Errorf("route %q: %w", d.Routes[i].Name, err)
		}
	}
	for _, workspace := range d.Workspaces {
		// The name is sent as a header field.
		if strings.ContainsFunc(string(workspace.Name), unicode.IsControl) {
			return fmt.Errorf("workspace %q has a control character in its name", workspace.Name)
		}
	}
	return nil
}

func (r *Route) validate() error {
	switch {
	case r.PathPrefix == "" || r.PathPrefix[0] != '/' || r.PathPrefix[len(r.PathPrefix)-1] != '/':
		return fmt.Errorf("path prefix %q does not start and end with a slash", r.PathPrefix)
	case len(r.Services) == 0:
		return fmt.Errorf("no services")
	case r.Kind != KindIdempotent && r.Kind != KindNonIdempotent && r.Kind != KindStreaming:
		return fmt.Errorf("unknown kind %q", r.Kind)
	}
	return r.validateStages()
}

// validateStages reports stages that could never run, because they depend on themselves or on no
// stage of the route.
func (r *Route) validateStages() error {
	// runnable marks the stages that are known to run; each round adds those that need only them.
	runnable := make([]bool, len(r.Stages))
	for range r.Stages {
		for i, stage := range r.Stages {
			ready := true
			for _, dependency := range stage.After {
				if dependency < 0 || dependency >= len(r.Stages) {
					return fmt.Errorf("stage %d depends on stage %d, which is not a stage of the route", i, dependency)
				}
				ready = ready && runnable[dependency]
			}
			runnable[i] = ready
		}
	}
	if i := slices.Index(runnable, false); i >= 0 {
		return fmt.Errorf("stage %d depends on itself", i)
	}
	return nil
}
