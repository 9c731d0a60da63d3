package member

import (
	"sort"
	"time"

	"redwingloft/internal/data/store"
	"redwingloft/internal/helper/hashing"
	"redwingloft/pkg/api"
)

// VersionedDocument is a member document with the store version of its last write.
type VersionedDocument struct {
	Document
	Version store.Version `json:"version"`
}

// memberList is an immutable list of all registered hosts. Its version is the highest version
// of its documents. Store versions rise with every write, so two lists with the same version
// are equal, and the documents above a version are all that has changed since.
type memberList struct {
	version   store.Version
	documents map[api.DataCentre]VersionedDocument
	// members is sorted by host id.
	members []Member
	index   map[api.HostID]int
	hashes  []uint64
	voters  int
}

func newMemberList(documents map[api.DataCentre]VersionedDocument) *memberList {
	l := &memberList{documents: documents, index: map[api.HostID]int{}}
	for _, doc := range documents {
		l.version = max(l.version, doc.Version)
		l.members = append(l.members, doc.Members...)
	}
	sort.Slice(l.members, func(i, j int) bool { return l.members[i].Host < l.members[j].Host })
	for i, member := range l.members {
		l.index[member.Host] = i
		l.hashes = append(l.hashes, hashing.Of(string(member.Host)))
		if member.Voter {
			l.voters++
		}
	}
	return l
}

// majority returns the number of voters that form a majority.
func (l *memberList) majority() int { return l.voters/2 + 1 }

// documentsSince returns the documents written after version, or nil.
func (l *memberList) documentsSince(version store.Version) map[api.DataCentre]VersionedDocument {
	var newer map[api.DataCentre]VersionedDocument
	for centre, doc := range l.documents {
		if doc.Version > version {
			if newer == nil {
				newer = map[api.DataCentre]VersionedDocument{}
			}
			newer[centre] = doc
		}
	}
	return newer
}

// listVersion returns the version of the current list, or 0. The caller holds mu.
func (s *Service) listVersion() store.Version {
	if s.list == nil {
		return 0
	}
	return s.list.version
}

// mergeDocuments merges documents into the list and reports whether it changed. The caller holds mu.
func (s *Service) mergeDocuments(documents map[api.DataCentre]VersionedDocument) bool {
	merged, changed := map[api.DataCentre]VersionedDocument{}, s.list == nil && len(documents) > 0
	if s.list != nil {
		for centre, doc := range s.list.documents {
			merged[centre] = doc
		}
	}
	for centre, doc := range documents {
		if old, known := merged[centre]; !known || doc.Version > old.Version {
			merged[centre], changed = doc, true
		}
	}
	if !changed {
		return false
	}
	s.replaceList(newMemberList(merged))
	return true
}

// replaceList makes next the current list. It drops all confirmation times, because a
// confirmation must show that its member knew the list. A host that is no longer listed
// may still serve on evidence that it received here, so it is kept as an unregistered
// host until that has expired. The caller holds mu.
func (s *Service) replaceList(next *memberList) {
	old, states := s.list, s.states
	s.list, s.states, s.listSince = next, make([]memberState, len(next.members)), s.now()
	for i, member := range next.members {
		s.states[i].knownSince = s.now()
		if other := s.unregistered[member.Host]; other != nil {
			s.states[i].lastHeard, s.states[i].acked, s.states[i].isolated = other.lastHeard, other.acked, other.isolated
			delete(s.unregistered, member.Host)
		}
		delete(s.departed, member.Host)
	}
	if old == nil {
		return
	}
	for i, member := range old.members {
		known := states[i]
		known.confirmedAt = 0
		if at, kept := next.index[member.Host]; kept {
			known.lastHeard, known.acked = max(known.lastHeard, s.states[at].lastHeard), max(known.acked, s.states[at].acked)
			s.states[at] = known
			continue
		}
		if s.departed == nil {
			s.departed = map[api.HostID]time.Duration{}
		}
		s.departed[member.Host] = s.now()
		s.recordContact(member, known.lastHeard, known.acked)
	}
}
