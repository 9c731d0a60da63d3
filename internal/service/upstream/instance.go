// Package upstream keeps what this host knows of each upstream and sends it requests.
package upstream

import (
	"sync/atomic"

	"redwingloft/internal/data/document"
	"redwingloft/pkg/api"
)

// Instance is the state that this host keeps of one upstream process. All its
// methods are safe for concurrent use and none takes a lock.
type Instance struct {
	// ID, Group, Address, DataCentre and Slots do not change.
	ID         api.UpstreamID
	Group      api.GroupName
	Address    api.Address
	DataCentre api.DataCentre
	// Slots is the number of requests that the upstream works on at once; at least 1.
	Slots int

	// inFlight counts the attempts of this host.
	inFlight atomic.Int64
}

// InFlight returns the number of attempts of this host that are under way.
func (i *Instance) InFlight() int64 { return i.inFlight.Load() }

// Available reports whether the instance may get new work.
func (i *Instance) Available() bool { return true }

// Table holds the instances of all groups. Readers load one immutable map; Apply
// replaces it and keeps the state of instances that stay. The zero value is empty.
type Table struct {
	groups atomic.Pointer[map[api.GroupName][]*Instance]
}

// Group returns the instances of a group. The slice must not be changed.
func (t *Table) Group(name api.GroupName) []*Instance {
	groups := t.groups.Load()
	if groups == nil {
		return nil
	}
	return (*groups)[name]
}

// Apply takes over the upstreams of a snapshot.
func (t *Table) Apply(snapshot *document.Snapshot) {
	next := make(map[api.GroupName][]*Instance, len(snapshot.Groups))
	for name, group := range snapshot.Groups {
		known := map[api.UpstreamID]*Instance{}
		for _, instance := range t.Group(name) {
			known[instance.ID] = instance
		}
		next[name] = merge(group, known)
	}
	t.groups.Store(&next)
}

func merge(group *document.Group, known map[api.UpstreamID]*Instance) []*Instance {
	list := make([]*Instance, 0, len(group.Upstreams))
	for _, declared := range group.Upstreams {
		instance := known[declared.ID]
		if instance == nil || instance.Address != declared.Address || instance.Slots != declared.Slots {
			instance = &Instance{
				ID: declared.ID, Group: group.Name, Address: declared.Address,
				DataCentre: declared.DataCentre, Slots: declared.Slots,
			}
		}
		list = append(list, instance)
	}
	return list
}
