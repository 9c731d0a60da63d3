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
	// routes holds the routes of each virtual host, the longest prefix first.
	routes map[string][]*Route
	// workspaces is keyed by the digest of a credential, so that the time of a
	// look-up does not tell how much of a guessed credential is right.
	workspaces map[[sha256.Size]byte]*Workspace
	// stages tells which services run stages.
	stages map[api.ServiceName]bool
}

// Compile checks a document and returns its snapshot.
func Compile(doc *Document) (*Snapshot, error) {
	if err := doc.check(); err != nil {
		return nil, err
	}
	s := &Snapshot{
		Revision: doc.Revision, Limits: doc.Limits,
		Services: map[api.ServiceName]*Service{}, routes: map[string][]*Route{},
		workspaces: map[[sha256.Size]byte]*Workspace{}, stages: map[api.ServiceName]bool{},
	}
	for i := range doc.Services {
		s.Services[doc.Services[i].Name] = &doc.Services[i]
		if doc.Services[i].Batching != nil {
			s.stages[doc.Services[i].Name] = true
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
			s.workspaces[sha256.Sum256([]byte(key))] = &doc.Workspaces[i]
		}
	}
	return s, nil
}

// Match returns the route with the longest prefix of path on a virtual host, or nil.
func (s *Snapshot) Match(host, path string) *Route {
	for _, route := range s.routes[host] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}

// Authenticated reports whether the document has workspaces, so that requests need a credential.
func (s *Snapshot) Authenticated() bool { return len(s.workspaces) > 0 }

// Workspace returns the workspace of a credential, or nil.
func (s *Snapshot) Workspace(key string) *Workspace {
	return s.workspaces[sha256.Sum256([]byte(key))]
}

// StageServices returns the services that run stages, in order of their names.
func (s *Snapshot) StageServices() []api.ServiceName {
	names := make([]api.ServiceName, 0, len(s.stages))
	for name := range s.stages {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	return names
}

// ServiceFor returns the service of a request. A route with several services
// divides its requests by the hash of their ids in the ratio of the weights.
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
