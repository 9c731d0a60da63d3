package member

import (
	"sort"
	"time"

	"redwingloft/internal/data/store"
	"redwingloft/internal/helper/hashing"
	"redwingloft/pkg/api"
)

// Versioned is a member document with the store version of its last write.
type Versioned struct {
	Document
	Version store.Version `json:"version"`
}

// list is an immutable list of all registered hosts. Its version is the highest
// version of its documents: store versions rise with every write, so two lists of
// one version are equal and the documents above a version are all that changed since.
type list struct {
	version   store.Version
	documents map[api.DataCentre]Versioned
	// members is sorted by host id.
	members []Member
	index   map[api.HostID]int
	hashes  []uint64
	voters  int
}

func newList(documents map[api.DataCentre]Versioned) *list {
	l := &list{documents: documents, index: map[api.HostID]int{}}
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

// majority returns the number of voters that make a majority.
func (l *list) majority() int { return l.voters/2 + 1 }

// since returns the documents written after version, or nil.
func (l *list) since(version store.Version) map[api.DataCentre]Versioned {
	var newer map[api.DataCentre]Versioned
	for centre, doc := range l.documents {
		if doc.Version > version {
			if newer == nil {
				newer = map[api.DataCentre]Versioned{}
			}
			newer[centre] = doc
		}
	}
	return newer
}

// listVersion returns the version of the list in use, or 0. The caller holds mu.
func (s *Service) listVersion() store.Version {
	if s.list == nil {
		return 0
	}
	return s.list.version
}

// adopt merges documents into the list and reports whether it changed. The caller holds mu.
func (s *Service) adopt(documents map[api.DataCentre]Versioned) bool {
	merged, changed := map[api.DataCentre]Versioned{}, s.list == nil && len(documents) > 0
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
	s.replace(newList(merged))
	return true
}

// replace puts a list in use. Proofs are dropped, because a proof must show that
// its member knew the list. A host that is dropped from the list may still serve
// on evidence that it got here, so it is kept as a stray until that has expired.
func (s *Service) replace(next *list) {
	old, states := s.list, s.states
	s.list, s.states, s.listSince = next, make([]state, len(next.members)), s.now()
	for i, member := range next.members {
		s.states[i].since = s.now()
		if s.strays[member.Host] != nil {
			s.states[i].heard, s.states[i].acked = s.strays[member.Host].heard, s.strays[member.Host].acked
			delete(s.strays, member.Host)
		}
		delete(s.departed, member.Host)
	}
	if old == nil {
		return
	}
	for i, member := range old.members {
		known := states[i]
		known.proof = 0
		if at, kept := next.index[member.Host]; kept {
			known.heard, known.acked = max(known.heard, s.states[at].heard), max(known.acked, s.states[at].acked)
			s.states[at] = known
			continue
		}
		if s.departed == nil {
			s.departed = map[api.HostID]time.Duration{}
		}
		s.departed[member.Host] = s.now()
		s.meet(member, known.heard, known.acked)
	}
}
