package directory

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"redwingloft/internal/data/fleet"
	"redwingloft/pkg/api"
)

func fleetOf(count, centres int) []fleet.Host {
	hosts := make([]fleet.Host, count)
	for i := range hosts {
		id := fmt.Sprintf("host-%03d", i)
		hosts[i] = fleet.Host{ID: api.HostID(id), DataCentre: api.DataCentre(fmt.Sprint("dc-", i%centres)), PeerAddress: api.Address(id)}
	}
	return hosts
}

func readersAmong(hosts []fleet.Host) []api.Address {
	var found []api.Address
	for _, host := range hosts {
		if RoleOf(hosts, host).Reads {
			found = append(found, host.PeerAddress)
		}
	}
	return found
}

// TestFewReaders guards against store calls of every host, and against readers that are all in
// one data centre.
func TestFewReaders(t *testing.T) {
	for _, c := range []struct{ hosts, centres, readers int }{
		{1, 1, 1}, {7, 4, 7}, {12, 3, 12}, {13, 6, 4}, {67, 4, 4}, {195, 6, 5}, {350, 9, 9}, {350, 1, 9},
	} {
		hosts := fleetOf(c.hosts, c.centres)
		reading := readersAmong(hosts)
		assert.Equal(t, len(reading), c.readers, "%d hosts", c.hosts)
		centres := map[api.DataCentre]bool{}
		for _, host := range hosts {
			if slices.Contains(reading, host.PeerAddress) {
				centres[host.DataCentre] = true
			}
		}
		assert.Equal(t, len(centres), min(c.readers, c.centres), "%d hosts", c.hosts)
	}
}

// TestHostsFollowReaders guards against hosts that follow one another in a circle, follow
// themselves, or follow a host of another data centre although theirs has readers.
func TestHostsFollowReaders(t *testing.T) {
	hosts := fleetOf(195, 6)
	reading := readersAmong(hosts)
	followers := map[api.Address]int{}
	for _, host := range hosts {
		role := RoleOf(hosts, host)
		assert.Assert(t, len(role.Sources) >= minReaders && role.Local <= 1, string(host.ID))
		for _, source := range role.Sources {
			assert.Assert(t, source != host.PeerAddress && slices.Contains(reading, source))
		}
		if !role.Reads {
			followers[role.Sources[0]]++
		}
	}
	for reader, count := range followers {
		// A reader has the hosts of its own data centre and its share of a centre without one.
		assert.Assert(t, count <= 2*followersPerReader, "%d hosts follow %s", count, reader)
	}
}

// TestReadersStayWhenHostsChange guards against a change of one host that moves the readers of
// all data centres.
func TestReadersStayWhenHostsChange(t *testing.T) {
	hosts := fleetOf(195, 6)
	before := readersAmong(hosts)
	for i := range hosts {
		after := readersAmong(slices.Delete(slices.Clone(hosts), i, i+1))
		kept := 0
		for _, reader := range before {
			if slices.Contains(after, reader) {
				kept++
			}
		}
		assert.Assert(t, kept >= len(before)-1, "without %s", hosts[i].ID)
	}
}

// TestDrainingHostsAreNotFollowed guards against hosts that follow one that is about to exit.
func TestDrainingHostsAreNotFollowed(t *testing.T) {
	hosts := fleetOf(40, 2)
	draining := slices.IndexFunc(hosts, func(h fleet.Host) bool { return RoleOf(hosts, h).Reads })
	hosts[draining].Draining = true
	for i, host := range hosts {
		if i != draining {
			assert.Assert(t, !slices.Contains(RoleOf(hosts, host).Sources, hosts[draining].PeerAddress))
		}
	}
}

// TestLargeHostsRead guards against a small host that has to send each change to all the hosts
// that follow it, although its data centre has larger ones.
func TestLargeHostsRead(t *testing.T) {
	hosts := fleetOf(120, 3)
	for i := range hosts {
		hosts[i].MemoryMegabytes = 184
		if i%10 == 0 {
			hosts[i].MemoryMegabytes = 536
		}
	}
	for _, reader := range readersAmong(hosts) {
		i := slices.IndexFunc(hosts, func(h fleet.Host) bool { return h.PeerAddress == reader })
		assert.Equal(t, hosts[i].MemoryMegabytes, 536.0)
	}
}
