package directory

import (
	"cmp"
	"math"
	"slices"

	"redwingloft/internal/data/fleet"
	"redwingloft/internal/helper/hashing"
	"redwingloft/pkg/api"
)

const (
	// smallFleet is the number of hosts up to which every host reads the store itself: the
	// calls of so few hosts cost less than the delay of a second hop.
	smallFleet = 12
	// minReaders is the number of readers of a fleet of any size. They are in different data
	// centres where there are as many, so that the loss of one leaves others to follow.
	minReaders = 4
	// followersPerReader limits the hosts that one reader has to update.
	followersPerReader = 40
	// maxSources limits the hosts that a host tries to follow.
	maxSources = 8
)

// Role states where a host gets changes from. It is immutable.
type Role struct {
	// Reads is true if the host reads the store itself.
	Reads bool
	// Sources are the peer addresses of the hosts to follow, in order of preference. A host
	// that reads the store follows them only while it can't reach the store.
	Sources []api.Address
	// Local is the number of sources in the host's own data centre, which come first.
	Local int
}

// RoleOf returns the role of a host in a fleet. Hosts with the same host list agree on the
// readers. Hosts that disagree cost some calls more or follow a host that is itself a
// follower; each host judges its source by the age of the state that it supplies.
func RoleOf(hosts []fleet.Host, self fleet.Host) Role {
	others := make([]fleet.Host, 0, len(hosts))
	for _, host := range hosts {
		if host.ID != self.ID && !host.Draining {
			others = append(others, host)
		}
	}
	// A host that is not in the list yet counts too.
	small := len(others)+1 <= smallFleet
	role := Role{Reads: true}
	candidates := others
	if !small {
		isSelf := func(h fleet.Host) bool { return h.ID == self.ID }
		candidates = readers(append(others, self))
		role.Reads = slices.ContainsFunc(candidates, isSelf)
		candidates = slices.DeleteFunc(candidates, isSelf)
	}
	selfHash := hashing.Of(string(self.ID))
	preference := func(h fleet.Host) uint64 { return hashing.Score(selfHash, hashing.Of(string(h.ID))) }
	slices.SortFunc(candidates, func(a, b fleet.Host) int {
		if aLocal, bLocal := a.DataCentre == self.DataCentre, b.DataCentre == self.DataCentre; aLocal != bLocal {
			if aLocal {
				return -1
			}
			return 1
		}
		return cmp.Compare(preference(b), preference(a))
	})
	for _, host := range candidates[:min(len(candidates), maxSources)] {
		role.Sources = append(role.Sources, host.PeerAddress)
		if host.DataCentre == self.DataCentre {
			role.Local++
		}
	}
	return role
}

// readers returns the hosts that read the store: the best of each data centre, then the
// second of each, and so on. Large hosts come first, because a reader sends each change to
// all its followers; rendezvous hashing among equals keeps most readers when a host joins or
// leaves.
func readers(hosts []fleet.Host) []fleet.Host {
	count := max(minReaders, (len(hosts)+followersPerReader-1)/followersPerReader)
	key := hashing.Of("readers")
	score := func(h fleet.Host) uint64 { return hashing.Score(key, hashing.Of(string(h.ID))) }
	byCentre := map[api.DataCentre][]fleet.Host{}
	for _, host := range hosts {
		byCentre[host.DataCentre] = append(byCentre[host.DataCentre], host)
	}
	type candidate struct {
		fleet.Host
		// rank is the position of the host in its data centre.
		rank int
	}
	var candidates []candidate
	for _, local := range byCentre {
		slices.SortFunc(local, func(a, b fleet.Host) int {
			return cmp.Or(cmp.Compare(sizeClass(b), sizeClass(a)), cmp.Compare(score(b), score(a)), cmp.Compare(a.ID, b.ID))
		})
		for rank, host := range local[:min(len(local), count)] {
			candidates = append(candidates, candidate{host, rank})
		}
	}
	centre := func(c candidate) uint64 { return hashing.Score(key, hashing.Of(string(c.DataCentre))) }
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(sizeClass(b.Host), sizeClass(a.Host)), cmp.Compare(centre(b), centre(a)), cmp.Compare(a.ID, b.ID))
	})
	var selected []fleet.Host
	for _, c := range candidates[:min(len(candidates), count)] {
		selected = append(selected, c.Host)
	}
	return selected
}

// sizeClass returns the size of a host in powers of two, so that hosts of about the same size
// count as equal; 0 if it is not known.
func sizeClass(h fleet.Host) int {
	if h.MemoryMegabytes <= 0 {
		return 0
	}
	return int(math.Log2(h.MemoryMegabytes))
}
