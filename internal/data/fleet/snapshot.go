package fleet

import (
	"crypto/sha256"
	"sort"
	"strings"

	"redwingloft/internal/helper/hashing"
	"redwingloft/pkg/api"
)

// Snapshot is a compiled routing document. It is immutable.
type Snapshot struct {
	Revision Revision
	Limits   Limits
	Services map[api.ServiceName]*Service
	// routes maps each virtual host to its routes, longest prefix first.
	routes map[string][]*Route
	// workspaces is keyed by credential digest, so that the duration of a lookup doesn't
	// reveal how much of a guessed credential is correct.
	workspaces map[[sha256.Size]byte]*Workspace
	// restricted is set if the document lists workspaces, whether they have keys or not.
	restricted bool
	// stageServices is the set of services that run stages.
	stageServices map[api.ServiceName]bool
}

// Compile validates a document and returns its snapshot.
func Compile(doc *Document) (*Snapshot, error) {
	if err := doc.validate(); err != nil {
		return nil, err
	}
	s := &Snapshot{
		Revision: doc.Revision, Limits: doc.Limits,
		Services: map[api.ServiceName]*Service{}, routes: map[string][]*Route{},
		workspaces: map[[sha256.Size]byte]*Workspace{}, restricted: doc.Workspaces != nil, stageServices: map[api.ServiceName]bool{},
	}
	for i := range doc.Services {
		s.Services[doc.Services[i].Name] = &doc.Services[i]
		if doc.Services[i].Batching != nil {
			s.stageServices[doc.Services[i].Name] = true
		}
	}
	for i := range doc.Routes {
		r := &doc.Routes[i]
		s.routes[r.Host] = append(s.routes[r.Host], r)
	}
	for _, routes := range s.routes {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].PathPrefix) > len(routes[j].PathPrefix) })
	}
	for i := range doc.Workspaces {
		for _, key := range doc.Workspaces[i].Keys {
			// Requests without a credential have an empty key.
			if key != "" {
				s.workspaces[sha256.Sum256([]byte(key))] = &doc.Workspaces[i]
			}
		}
	}
	return s, nil
}

// Match returns the route of a virtual host with the longest prefix of path, or nil.
func (s *Snapshot) Match(host, path string) *Route {
	for _, route := range s.routes[host] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}

// RequiresCredential reports whether requests require a credential. They do if the document lists
// workspaces, also if these have no more keys or none is left: nobody is admitted then.
func (s *Snapshot) RequiresCredential() bool { return s.restricted }

// Workspace returns the workspace that a credential belongs to, or nil.
func (s *Snapshot) Workspace(key string) *Workspace {
	return s.workspaces[sha256.Sum256([]byte(key))]
}

// WorkspaceNamed returns the workspace with the given name that has a key, or nil.
func (s *Snapshot) WorkspaceNamed(name api.WorkspaceName) *Workspace {
	for _, workspace := range s.workspaces {
		if workspace.Name == name {
			return workspace
		}
	}
	return nil
}

// StageServices returns the services that run stages, sorted by name.
func (s *Snapshot) StageServices() []api.ServiceName {
	names := make([]api.ServiceName, 0, len(s.stageServices))
	for name := range s.stageServices {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	return names
}

// ServiceFor returns the service of a request. A route with several services distributes
// requests by the hash of the request id in proportion to the weights.
func (r *Route) ServiceFor(id api.RequestID) api.ServiceName {
	if len(r.Services) == 1 {
		return r.Services[0].Service
	}
	total := 0
	for _, share := range r.Services {
		total += max(share.Weight, 0)
	}
	if total == 0 {
		return r.Services[0].Service
	}
	point := int(hashing.Of(string(id)) % uint64(total))
	for _, share := range r.Services {
		point -= max(share.Weight, 0)
		if point < 0 {
			return share.Service
		}
	}
	return r.Services[0].Service
}
