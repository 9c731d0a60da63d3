package stage

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingloft/internal/data/fleet"
	"redwingloft/internal/data/store"
	"redwingloft/internal/service/directory"
	"redwingloft/pkg/api"
)

// groupView returns a view with a number of hosts and, for each data centre, an upstream of each
// listed service. Some data centres may be evacuated.
func groupView(t *testing.T, hosts int, upstreams map[string][]api.ServiceName, evacuated ...string) *directory.View {
	t.Helper()
	state := directory.State{Decoder: directory.Decoder{
		DocumentKey: "document", UpstreamPrefix: "upstream/", HostPrefix: "host/", EvacuationPrefix: "evacuate/",
		Document: func([]byte) (*fleet.Document, error) {
			return &fleet.Document{Services: []fleet.Service{*batchedService("s", 8), *batchedService("t", 8)}}, nil
		},
		Upstream: func(_ string, data []byte) (*fleet.Upstream, error) {
			var u fleet.Upstream
			return &u, json.Unmarshal(data, &u)
		},
	}}
	entries := []store.Entry{{Key: "document", Version: 1}}
	for i := range hosts {
		value := fmt.Sprintf(`{"id":"h%02d","data_centre":"dc%d"}`, i, i%3)
		entries = append(entries, store.Entry{Key: fmt.Sprint("host/", i), Version: 2, Value: []byte(value)})
	}
	for centre, services := range upstreams {
		for i, service := range services {
			value := fmt.Sprintf(`{"ID":"%s-%d","Service":%q,"DataCentre":%q,"State":"ready"}`, centre, i, service, centre)
			entries = append(entries, store.Entry{Key: fmt.Sprint("upstream/", centre, i), Version: 3, Value: []byte(value)})
		}
	}
	for _, centre := range evacuated {
		entries = append(entries, store.Entry{Key: "evacuate/" + centre, Version: 3})
	}
	state.Replace(entries, 10, time.Now(), time.Time{})
	return state.View()
}

// TestGroups guards against upstreams that belong to no group or to two, and against a group for a
// data centre that lacks a stage.
func TestGroups(t *testing.T) {
	all := map[string][]api.ServiceName{"dc0": {"s", "t", "s"}, "dc1": {"s", "t"}, "dc2": {"s"}}
	assert.DeepEqual(t, Groups(groupView(t, 7, all)), []Group{GroupAll})
	view := groupView(t, 40, all)
	assert.DeepEqual(t, Groups(view), []Group{"dc0", "dc1"})
	seen := map[api.UpstreamID]int{}
	for _, group := range Groups(view) {
		for _, u := range UpstreamsInGroup(view, group) {
			seen[u.ID]++
		}
	}
	assert.Equal(t, len(seen), 6)
	for id, count := range seen {
		assert.Equal(t, count, 1, string(id))
	}
	assert.Equal(t, len(UpstreamsInGroup(groupView(t, 7, all), GroupAll)), 6)
}

// TestRoleInRemovedGroup guards against jobs that wait until their deadline in a removed group whose
// upstreams other hosts call, because a fleet near maxSingleGroupHosts lost or gained a host.
func TestRoleInRemovedGroup(t *testing.T) {
	all := map[string][]api.ServiceName{"dc0": {"s", "t"}, "dc1": {"s", "t"}}
	small, large := groupView(t, maxSingleGroupHosts, all), groupView(t, maxSingleGroupHosts+1, all)
	first := RankHosts(small.Hosts, GroupAll)[0].ID
	assert.Equal(t, RoleOf(small, GroupAll, first), RoleScheduler)
	assert.Equal(t, RoleOf(small, GroupAll, "nobody"), RoleOther)
	assert.Equal(t, RoleOf(large, GroupAll, first), RoleNone)
	assert.Equal(t, RoleOf(small, "dc0", first), RoleNone)
	assert.Equal(t, RoleOf(large, "dc1", RankHosts(large.Hosts, "dc1")[0].ID), RoleScheduler)
}

// TestRankedHosts guards against hosts that disagree on the scheduling host, and against a first
// choice that is draining or in another data centre.
func TestRankedHosts(t *testing.T) {
	hosts := groupView(t, 40, nil).Hosts
	first := RankHosts(hosts, "dc1")[0]
	assert.Equal(t, first.DataCentre, api.DataCentre("dc1"))
	for i := range hosts {
		if hosts[i].ID == first.ID {
			hosts[i].Draining = true
		}
	}
	ranked := RankHosts(hosts, "dc1")
	assert.Assert(t, ranked[0].ID != first.ID)
	assert.Equal(t, ranked[len(ranked)-1].ID, first.ID)
}
