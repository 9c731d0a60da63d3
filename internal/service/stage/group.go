package stage

import (
	"slices"
	"sort"

	"redwingloft/internal/data/fleet"
	"redwingloft/internal/helper/hashing"
	"redwingloft/internal/service/directory"
	"redwingloft/pkg/api"
)

// maxSingleGroupHosts is the fleet size up to which one host schedules for all. At 48 requests per
// second scheduling takes a few hundredths of a core, and 32 hosts receive four times as many. With
// 17 hosts, a single group attains 0.55 of the offered request value, one group per data centre
// only 0.51: few items share a call where a service has one or two upstreams.
const maxSingleGroupHosts = 32

// Group identifies the upstreams that one host schedules: those of a data centre, or all of them if
// the name is empty.
type Group string

// GroupAll is the only group of a small fleet.
const GroupAll Group = ""

// Groups returns the sorted groups of a fleet. In a large fleet, each data centre that has
// upstreams of every stage is a group, so that results stay there.
func Groups(view *directory.View) []Group {
	if view.Snapshot == nil || len(view.Hosts) <= maxSingleGroupHosts {
		return []Group{GroupAll}
	}
	services := view.Snapshot.StageServices()
	serviceCounts := map[api.DataCentre]int{}
	for _, service := range services {
		seen := map[api.DataCentre]bool{}
		for _, upstream := range view.Ready(service) {
			if !seen[upstream.DataCentre] {
				seen[upstream.DataCentre] = true
				serviceCounts[upstream.DataCentre]++
			}
		}
	}
	var groups []Group
	for centre, count := range serviceCounts {
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

// groupOf returns the group of a data centre. If the data centre is unknown or lacks a service, the
// hash of key selects a group.
func groupOf(groups []Group, centre api.DataCentre, key string) Group {
	for _, group := range groups {
		if group == Group(centre) {
			return group
		}
	}
	return groups[hashing.Of(key)%uint64(len(groups))]
}

// UpstreamsInGroup returns the upstreams of a group.
func UpstreamsInGroup(view *directory.View, group Group) []*fleet.Upstream {
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

// Role is the role of a host in a group.
type Role string

// Roles of a host in a group.
const (
	// RoleScheduler hosts schedule the group.
	RoleScheduler Role = "gathers"
	// RoleOther hosts leave the scheduling to another host.
	RoleOther Role = "other"
	// RoleNone: the group no longer exists and has no upstreams.
	RoleNone Role = "none"
)

// RoleOf returns the role of a host in a group.
func RoleOf(view *directory.View, group Group, self api.HostID) Role {
	if !slices.Contains(Groups(view), group) {
		return RoleNone
	}
	if ranked := RankHosts(view.Hosts, group); len(ranked) == 0 || ranked[0].ID == self {
		return RoleScheduler
	}
	return RoleOther
}

// RankHosts returns the hosts that may schedule a group in order of preference: those of its data
// centre first, then the others, each by the age of their registration, so that a host which
// returns does not replace one that knows the results at the upstreams. Ties are broken by
// rendezvous hashing. Hosts with the same host list agree on the order. Draining hosts come last.
func RankHosts(hosts []fleet.Host, group Group) []fleet.Host {
	ranked := append([]fleet.Host(nil), hosts...)
	key := hashing.Of("stage/" + string(group))
	score := func(h fleet.Host) uint64 { return hashing.Score(key, hashing.Of(string(h.ID))) }
	remote := func(h fleet.Host) bool { return group != GroupAll && Group(h.DataCentre) != group }
	sort.Slice(ranked, func(i, j int) bool {
		a, b := ranked[i], ranked[j]
		if a.Draining != b.Draining {
			return b.Draining
		}
		if remote(a) != remote(b) {
			return remote(b)
		}
		if a.Started != b.Started {
			return a.Started < b.Started
		}
		return score(a) > score(b)
	})
	return ranked
}
