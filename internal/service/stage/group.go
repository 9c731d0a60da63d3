package stage

import (
	"slices"
	"sort"

	"redwingloft/internal/data/fleet"
	"redwingloft/internal/helper/hashing"
	"redwingloft/internal/service/directory"
	"redwingloft/pkg/api"
)

// maxOneGroup is the number of hosts up to which one host gathers for all: at 48 requests
// a second it uses a few hundredths of a core, and 32 hosts get four times as many. In a
// trial with 17 hosts one group gained a mean worth of 0.55, one for each data centre 0.51:
// an upstream or two of a service give little to gather for.
const maxOneGroup = 32

// Group names the upstreams that one host gathers for: those of a data centre, or all
// where the name is empty.
type Group string

// GroupAll is the only group of a small fleet.
const GroupAll Group = ""

// Groups returns the groups of a fleet in order. In a large fleet each data centre that
// has upstreams of every stage is a group of its own, so that results stay there.
func Groups(view *directory.View) []Group {
	if view.Snapshot == nil || len(view.Hosts) <= maxOneGroup {
		return []Group{GroupAll}
	}
	services := view.Snapshot.StageServices()
	has := map[api.DataCentre]int{}
	for _, service := range services {
		seen := map[api.DataCentre]bool{}
		for _, upstream := range view.Ready(service) {
			if !seen[upstream.DataCentre] {
				seen[upstream.DataCentre] = true
				has[upstream.DataCentre]++
			}
		}
	}
	var groups []Group
	for centre, count := range has {
		if count == len(services) {
			groups = append(groups, Group(centre))
		}
	}
	if len(groups) == 0 {
		return []Group{GroupAll}
	}
	sort.Slice(groups, func(i, j int) bool { return groups[i] < groups[j] })
	return groups
}

// groupOf returns the group of a data centre: its own, or one that its name's hash
// chooses where the data centre lacks a service or is not known.
func groupOf(groups []Group, centre api.DataCentre, key string) Group {
	for _, group := range groups {
		if group == Group(centre) {
			return group
		}
	}
	return groups[hashing.Of(key)%uint64(len(groups))]
}

// InGroup returns the upstreams of a group.
func InGroup(view *directory.View, group Group) []*fleet.Upstream {
	if view.Snapshot == nil {
		return nil
	}
	groups := Groups(view)
	var list []*fleet.Upstream
	for _, service := range view.Snapshot.StageServices() {
		for _, upstream := range view.Ready(service) {
			if groupOf(groups, upstream.DataCentre, string(upstream.DataCentre)) == group {
				list = append(list, upstream)
			}
		}
	}
	return list
}

// Role is what a host is to a group.
type Role string

// The roles.
const (
	RoleGathers Role = "gathers"
	// RoleOther hosts leave the gathering to another one.
	RoleOther Role = "other"
	// RoleNone: there is no such group any more, and it has no upstreams.
	RoleNone Role = "none"
)

// RoleOf returns what a host is to a group.
func RoleOf(view *directory.View, group Group, self api.HostID) Role {
	if !slices.Contains(Groups(view), group) {
		return RoleNone
	}
	if ranked := Ranked(view.Hosts, group); len(ranked) == 0 || ranked[0].ID == self {
		return RoleGathers
	}
	return RoleOther
}

// Ranked returns the hosts that may gather for a group, the first choice first: those
// of its data centre, then the others, each by the age of their registration, so that a
// host which returns does not take over from one that knows the results at the
// upstreams. Rendezvous hashing decides between equals. All hosts that know the same
// hosts agree. Draining hosts come last.
func Ranked(hosts []fleet.Host, group Group) []fleet.Host {
	ranked := append([]fleet.Host(nil), hosts...)
	key := hashing.Of("stage/" + string(group))
	score := func(h fleet.Host) uint64 { return hashing.Score(key, hashing.Of(string(h.ID))) }
	away := func(h fleet.Host) bool { return group != GroupAll && Group(h.DataCentre) != group }
	sort.Slice(ranked, func(i, j int) bool {
		a, b := ranked[i], ranked[j]
		if a.Draining != b.Draining {
			return b.Draining
		}
		if away(a) != away(b) {
			return away(b)
		}
		if a.Started != b.Started {
			return a.Started < b.Started
		}
		return score(a) > score(b)
	})
	return ranked
}
