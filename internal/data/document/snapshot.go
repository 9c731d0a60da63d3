package document

import (
	"fmt"
	"sync/atomic"
	"time"

	"redwingloft/pkg/api"
)

// Default values for fields of Limits that are zero.
const (
	DefaultQueueLength = 1000
	DefaultBodyBytes   = 4 << 20
	DefaultRetryShare  = 0.10
)

// Snapshot is a compiled document. It is immutable, and a request uses the same
// snapshot throughout.
type Snapshot struct {
	Revision api.Revision
	// Document is the document that the snapshot was compiled from. It must not be modified.
	Document *Document
	// Limits holds the limits with defaults applied.
	Limits    Limits
	Pipelines map[api.PipelineName]*Pipeline
	Groups    map[api.GroupName]*Group
	// GroupSlots maps each group to the total number of slots of its upstreams.
	GroupSlots map[api.GroupName]int
	Services   map[api.ServiceName]*CompiledService
	Workspaces map[api.WorkspaceName]*CompiledWorkspace
	Operators  map[string]*Operator
}

// CompiledService is a service with its calls indexed by name.
type CompiledService struct {
	*Service
	CallsByName map[api.CallName]*Call
}

// CompiledWorkspace is a workspace with its permitted pipelines and services indexed by name.
type CompiledWorkspace struct {
	*Workspace
	// Versions maps each permitted pipeline to the version that the workspace uses.
	Versions        map[api.PipelineName]*Version
	AllowedServices map[api.ServiceName]bool
}

// Compile validates doc and returns its snapshot. If doc is invalid, it returns an
// InvalidError that lists all validation errors.
func Compile(doc *Document, revision api.Revision) (*Snapshot, error) {
	if faults := doc.Validate(); len(faults) > 0 {
		return nil, &InvalidError{Faults: faults}
	}
	s := &Snapshot{
		Revision:   revision,
		Document:   doc,
		Limits:     withDefaults(doc.Limits),
		Pipelines:  make(map[api.PipelineName]*Pipeline, len(doc.Pipelines)),
		Groups:     make(map[api.GroupName]*Group, len(doc.Groups)),
		GroupSlots: make(map[api.GroupName]int, len(doc.Groups)),
		Services:   make(map[api.ServiceName]*CompiledService, len(doc.Services)),
		Workspaces: make(map[api.WorkspaceName]*CompiledWorkspace, len(doc.Workspaces)),
		Operators:  make(map[string]*Operator, len(doc.Operators)),
	}
	for i := range doc.Pipelines {
		s.Pipelines[doc.Pipelines[i].Name] = &doc.Pipelines[i]
	}
	for i := range doc.Groups {
		s.Groups[doc.Groups[i].Name] = &doc.Groups[i]
		for _, upstream := range doc.Groups[i].Upstreams {
			s.GroupSlots[doc.Groups[i].Name] += upstream.Slots
		}
	}
	for i := range doc.Services {
		s.Services[doc.Services[i].Name] = compileService(&doc.Services[i])
	}
	for i := range doc.Workspaces {
		s.Workspaces[doc.Workspaces[i].Name] = s.compileWorkspace(&doc.Workspaces[i])
	}
	for i := range doc.Operators {
		s.Operators[doc.Operators[i].Name] = &doc.Operators[i]
	}
	return s, nil
}

func withDefaults(l Limits) Limits {
	if l.QueueLength == 0 {
		l.QueueLength = DefaultQueueLength
	}
	if l.BodyBytes == 0 {
		l.BodyBytes = DefaultBodyBytes
	}
	if l.RetryShare == 0 {
		l.RetryShare = DefaultRetryShare
	}
	return l
}

func compileService(service *Service) *CompiledService {
	compiled := &CompiledService{Service: service, CallsByName: make(map[api.CallName]*Call, len(service.Calls))}
	for i := range service.Calls {
		compiled.CallsByName[service.Calls[i].Name] = &service.Calls[i]
	}
	return compiled
}

func (s *Snapshot) compileWorkspace(workspace *Workspace) *CompiledWorkspace {
	compiled := &CompiledWorkspace{
		Workspace:       workspace,
		Versions:        make(map[api.PipelineName]*Version, len(workspace.Serves)),
		AllowedServices: make(map[api.ServiceName]bool, len(workspace.Services)),
	}
	for _, serve := range workspace.Serves {
		compiled.Versions[serve.Pipeline] = s.Pipelines[serve.Pipeline].version(serve.Version)
	}
	for _, service := range workspace.Services {
		compiled.AllowedServices[service] = true
	}
	return compiled
}

func (p *Pipeline) version(name api.VersionName) *Version {
	for i := range p.Versions {
		if p.Versions[i].Name == name {
			return &p.Versions[i]
		}
	}
	return nil
}

// MaxCallDeadline returns the maximum deadline of all service calls.
func (s *Snapshot) MaxCallDeadline() time.Duration {
	longest := Milliseconds(0)
	for _, service := range s.Services {
		for _, call := range service.Calls {
			longest = max(longest, call.Deadline)
		}
	}
	return longest.Duration()
}

// Version returns the version of a pipeline, or nil if it does not exist.
func (s *Snapshot) Version(pipeline api.PipelineName, version api.VersionName) *Version {
	p := s.Pipelines[pipeline]
	if p == nil {
		return nil
	}
	return p.version(version)
}

// InvalidError is returned for a document that fails validation.
type InvalidError struct {
	// Faults holds the validation errors, at least one.
	Faults []api.Fault
}

// Error returns the number of validation errors and the first of them.
func (e *InvalidError) Error() string {
	first := e.Faults[0]
	return fmt.Sprintf("invalid document: %d error(s), first at %s: %s", len(e.Faults), first.Path, first.Message)
}

// SnapshotHolder holds the active snapshot, whose revision only increases. The zero value is empty.
type SnapshotHolder struct {
	current atomic.Pointer[Snapshot]
}

// Load returns the active snapshot, or nil before the first Store.
func (h *SnapshotHolder) Load() *Snapshot { return h.current.Load() }

// Store makes s the active snapshot and reports whether it did: it returns false if the
// active revision is not lower than that of s.
func (h *SnapshotHolder) Store(s *Snapshot) bool {
	for {
		old := h.current.Load()
		if old != nil && old.Revision >= s.Revision {
			return false
		}
		if h.current.CompareAndSwap(old, s) {
			return true
		}
	}
}
