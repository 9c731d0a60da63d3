// Package upstream tracks the health and load of upstreams and sends requests to them.
package upstream

import (
	"sync/atomic"

	"redwingloft/internal/data/document"
	"redwingloft/pkg/api"
)

// availability describes whether an instance may get new work, based on its health.
type availability int32

// The availabilities. The zero value makes a new instance available.
const (
	availabilityNormal availability = iota
	// availabilityDegraded instances get new work only if the others are much more loaded.
	availabilityDegraded
	availabilityNone
)

// Instance is the state that this host keeps of one upstream process. Its exported
// methods are safe for concurrent use and lock-free.
type Instance struct {
	// ID, Group, Address, DataCentre and Slots are immutable.
	ID         api.UpstreamID
	Group      api.GroupName
	Address    api.Address
	DataCentre api.DataCentre
	// Slots is the number of requests that the upstream processes concurrently; at least 1.
	Slots int

	// table is nil for an instance that is not part of a table and has no health.
	table *Table
	// inFlight counts the attempts of this host.
	inFlight     atomic.Int64
	availability atomic.Int32
	// nonDefaultHealth is true if health may differ from that of a new instance.
	// Otherwise a successful attempt does not need the lock.
	nonDefaultHealth atomic.Bool
	loadReport       loadReport
	cacheMisses      cacheMissAverage
	pool             pool
	// health is guarded by the lock of the table.
	health health
}

// InFlight returns the number of attempts of this host that are in progress.
func (i *Instance) InFlight() int64 { return i.inFlight.Load() }

// Begin increments the number of attempts in flight.
func (i *Instance) Begin() { i.inFlight.Add(1) }

// End decrements the number of attempts in flight.
func (i *Instance) End() { i.inFlight.Add(-1) }

// Available reports whether the instance may get new work.
func (i *Instance) Available() bool { return availability(i.availability.Load()) != availabilityNone }

// Degraded reports whether the instance is suspect, or ejected but kept in use
// because too many others of its group are ejected.
func (i *Instance) Degraded() bool {
	return availability(i.availability.Load()) == availabilityDegraded
}

// view is an immutable snapshot of the instances of a table.
type view struct {
	// available holds the instances that may get new work; all holds every instance.
	available map[api.GroupName][]*Instance
	all       map[api.GroupName][]*Instance
	byID      map[api.UpstreamID]*Instance
}

func newView(groups int) *view {
	return &view{
		available: make(map[api.GroupName][]*Instance, groups),
		all:       make(map[api.GroupName][]*Instance, groups),
		byID:      map[api.UpstreamID]*Instance{},
	}
}

func (t *Table) currentView() *view {
	if current := t.view.Load(); current != nil {
		return current
	}
	return newView(0)
}

// AvailableInstances returns the instances of a group that may get new work, including those
// kept in use despite being suspect or ejected. Callers must not modify the slice.
func (t *Table) AvailableInstances(name api.GroupName) []*Instance {
	return t.currentView().available[name]
}

// All returns every instance of a group. Callers must not modify the slice.
func (t *Table) All(name api.GroupName) []*Instance { return t.currentView().all[name] }

// Apply installs the upstreams of a snapshot. Unchanged instances keep their state.
func (t *Table) Apply(snapshot *document.Snapshot) {
	t.lock()
	defer t.unlock()
	old, next := t.currentView(), newView(len(snapshot.Groups))
	for name, group := range snapshot.Groups {
		list := make([]*Instance, 0, len(group.Upstreams))
		for _, declared := range group.Upstreams {
			instance := t.instance(group.Name, declared, old.byID[declared.ID])
			list = append(list, instance)
			next.byID[instance.ID] = instance
		}
		next.all[name] = list
		next.available[name] = selectAvailable(list)
	}
	t.view.Store(next)
	for id, instance := range old.byID {
		if next.byID[id] != instance {
			instance.availability.Store(int32(availabilityNone))
			instance.pool.closeIdle()
		}
	}
	t.mergePending()
}

// instance returns existing if it matches the declaration, otherwise a new
// instance. If the address is the same, the new instance inherits the health, so
// that a change of its slots does not end a draining state.
func (t *Table) instance(group api.GroupName, declared document.Upstream, existing *Instance) *Instance {
	sameAddress := existing != nil && existing.Address == declared.Address
	if sameAddress && existing.Group == group && existing.Slots == declared.Slots && existing.DataCentre == declared.DataCentre {
		return existing
	}
	instance := &Instance{
		ID: declared.ID, Group: group, Address: declared.Address,
		DataCentre: declared.DataCentre, Slots: declared.Slots, table: t,
	}
	if sameAddress {
		instance.health = existing.health.clone()
		instance.nonDefaultHealth.Store(existing.nonDefaultHealth.Load())
	}
	return instance
}

// refreshGroup publishes the available instances of a group after a health change.
// The caller must hold the lock.
func (t *Table) refreshGroup(group api.GroupName) {
	old := t.currentView()
	if old.all[group] == nil {
		return
	}
	next := &view{available: make(map[api.GroupName][]*Instance, len(old.available)), all: old.all, byID: old.byID}
	for name, list := range old.available {
		next.available[name] = list
	}
	next.available[group] = selectAvailable(old.all[group])
	t.view.Store(next)
}
