// Package upstream keeps what this host knows of each upstream and sends it requests.
package upstream

import (
	"sync/atomic"

	"redwingloft/internal/data/document"
	"redwingloft/pkg/api"
)

// standing is what the health of an instance means for new work.
type standing int32

// The standings. The zero value lets a new instance work.
const (
	standingUsable standing = iota
	// standingDoubtful instances get work where the others are much more loaded.
	standingDoubtful
	standingOut
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

	// table is nil for an instance outside a table, which has no health.
	table *Table
	// inFlight counts the attempts of this host.
	inFlight atomic.Int64
	standing atomic.Int32
	// troubled is true where health differs from that of a new instance, so
	// that a success of a healthy instance takes no lock.
	troubled atomic.Bool
	load     load
	cache    cacheDoubt
	pool     pool
	// health is guarded by the lock of the table.
	health health
}

// InFlight returns the number of attempts of this host that are under way.
func (i *Instance) InFlight() int64 { return i.inFlight.Load() }

// Begin counts an attempt of this host until End.
func (i *Instance) Begin() { i.inFlight.Add(1) }

// End ends an attempt.
func (i *Instance) End() { i.inFlight.Add(-1) }

// Available reports whether the instance may get new work.
func (i *Instance) Available() bool { return standing(i.standing.Load()) != standingOut }

// Doubtful reports whether the instance is suspect, or ejected and kept in use
// because too many others of its group are ejected.
func (i *Instance) Doubtful() bool { return standing(i.standing.Load()) == standingDoubtful }

// view is one immutable state of a table.
type view struct {
	// usable holds the instances that may get new work, all every instance.
	usable map[api.GroupName][]*Instance
	all    map[api.GroupName][]*Instance
	byID   map[api.UpstreamID]*Instance
}

func newView(groups int) *view {
	return &view{
		usable: make(map[api.GroupName][]*Instance, groups),
		all:    make(map[api.GroupName][]*Instance, groups),
		byID:   map[api.UpstreamID]*Instance{},
	}
}

func (t *Table) load() *view {
	if current := t.view.Load(); current != nil {
		return current
	}
	return newView(0)
}

// Group returns the instances of a group that may get new work, including those
// that are kept in use although they are suspect. The slice must not be changed.
func (t *Table) Group(name api.GroupName) []*Instance { return t.load().usable[name] }

// All returns every instance of a group. The slice must not be changed.
func (t *Table) All(name api.GroupName) []*Instance { return t.load().all[name] }

// Apply takes over the upstreams of a snapshot. Instances that stay keep their state.
func (t *Table) Apply(snapshot *document.Snapshot) {
	t.lock()
	defer t.unlock()
	old, next := t.load(), newView(len(snapshot.Groups))
	for name, group := range snapshot.Groups {
		list := make([]*Instance, 0, len(group.Upstreams))
		for _, declared := range group.Upstreams {
			instance := t.instance(group.Name, declared, old.byID[declared.ID])
			list = append(list, instance)
			next.byID[instance.ID] = instance
		}
		next.all[name] = list
		next.usable[name] = chooseUsable(list)
	}
	t.view.Store(next)
	for id, instance := range old.byID {
		if next.byID[id] != instance {
			instance.standing.Store(int32(standingOut))
			instance.pool.closeIdle()
		}
	}
	t.mergePending()
}

// instance returns known where it is unchanged. An upstream that kept its
// address keeps its health, so that a change of its slots ends no leaving mark.
func (t *Table) instance(group api.GroupName, declared document.Upstream, known *Instance) *Instance {
	samePlace := known != nil && known.Address == declared.Address
	if samePlace && known.Group == group && known.Slots == declared.Slots && known.DataCentre == declared.DataCentre {
		return known
	}
	instance := &Instance{
		ID: declared.ID, Group: group, Address: declared.Address,
		DataCentre: declared.DataCentre, Slots: declared.Slots, table: t,
	}
	if samePlace {
		instance.health = known.health.clone()
		instance.troubled.Store(known.troubled.Load())
	}
	return instance
}

// refresh publishes the usable instances of a group after a change of health. The caller holds the lock.
func (t *Table) refresh(group api.GroupName) {
	old := t.load()
	if old.all[group] == nil {
		return
	}
	next := &view{usable: make(map[api.GroupName][]*Instance, len(old.usable)), all: old.all, byID: old.byID}
	for name, list := range old.usable {
		next.usable[name] = list
	}
	next.usable[group] = chooseUsable(old.all[group])
	t.view.Store(next)
}
