// Package directory keeps what an entry host believes of the fleet: the routing
// document, the upstreams and the other hosts. It follows the platform's store and,
// while the store can't be reached, the other hosts. It also keeps the host's own
// registration alive.
package directory

import (
	"encoding/json"
	"sort"
	"strings"
	"time"

	"redwingloft/internal/data/fleet"
	"redwingloft/internal/data/store"
	"redwingloft/pkg/api"
)

// lapseGrace is how long an upstream that went missing during an outage of the store
// stays in use after the store's return: the platform promises that the entries of
// living upstreams are back within two seconds.
const lapseGrace = 2 * time.Second

// Decoder reads the entries of the store.
type Decoder struct {
	// DocumentKey is the key of the routing document.
	DocumentKey string
	Document    func(data []byte) (*fleet.Document, error)
	// UpstreamPrefix is the prefix of the keys of upstreams.
	UpstreamPrefix string
	Upstream       func(key string, data []byte) (*fleet.Upstream, error)
	// HostPrefix is the prefix of the keys of hosts, whose values are JSON.
	HostPrefix string
}

// View is what a host believes at one moment. It is immutable.
type View struct {
	// Snapshot is nil until a routing document is known.
	Snapshot *fleet.Snapshot
	// Hosts holds the registered hosts in order of their ids.
	Hosts []fleet.Host
	// Version is the revision of the store up to which the view is complete.
	Version store.Version

	ready     map[api.ServiceName][]*fleet.Upstream
	upstreams map[api.UpstreamID]*fleet.Upstream
}

// Ready returns the upstreams of a service that take new work, in order of their
// ids. The slice is shared and must not be changed.
func (v *View) Ready(service api.ServiceName) []*fleet.Upstream {
	if v == nil {
		return nil
	}
	return v.ready[service]
}

// record is one entry of the store with what was read from it.
type record struct {
	entry store.Entry
	// upstream or host is set where the entry could be read.
	upstream *fleet.Upstream
	host     *fleet.Host
	// lapsed is when the entry is dropped, where it went missing during an outage.
	lapsed time.Time
}

// State applies entries and events of the store in order. The zero value works.
// It is not safe for concurrent use.
type State struct {
	Decoder Decoder
	// Malformed is called for entries that can't be read; nil ignores them.
	Malformed func(key string, err error)

	version  store.Version
	records  map[string]*record
	snapshot *fleet.Snapshot
	document store.Entry
	// drained holds the incarnations that were seen draining, which is final.
	drained map[fleet.Incarnation]time.Time
}

// Version returns the revision up to which the state is complete.
func (s *State) Version() store.Version { return s.version }

// Replace makes the state that of a full read. Entries that are missing from it are
// dropped at lapse, or at once where lapse is zero.
func (s *State) Replace(entries []store.Entry, version store.Version, now, lapse time.Time) {
	seen := make(map[string]bool, len(entries))
	for _, entry := range entries {
		seen[entry.Key] = true
		s.put(entry, now)
	}
	for key, known := range s.records {
		if !seen[key] && known.entry.Version <= version {
			s.drop(key, lapse)
		}
	}
	s.version = max(s.version, version)
}

// Apply applies the events of a watch. Deleted entries are dropped at lapse, or at
// once where lapse is zero.
func (s *State) Apply(events []store.Event, now, lapse time.Time) {
	for _, event := range events {
		if event.Version <= s.version {
			continue // a state taken from another host is ahead of the watch
		}
		if event.Deleted {
			if known := s.records[event.Key]; known != nil && known.entry.Version < event.Version {
				s.drop(event.Key, lapse)
			}
		} else {
			s.put(event.Entry, now)
		}
		// Several keys of one transaction share a revision, so that it counts as
		// reached after the last event only.
	}
	for _, event := range events {
		s.version = max(s.version, event.Version)
	}
}

// Expire drops the entries whose grace is over and reports whether there was one.
func (s *State) Expire(now time.Time) bool {
	changed := false
	for key, known := range s.records {
		if !known.lapsed.IsZero() && !now.Before(known.lapsed) {
			delete(s.records, key)
			changed = true
		}
	}
	return changed
}

// drop removes an entry. Hosts are dropped at once: callers fail over by themselves.
func (s *State) drop(key string, lapse time.Time) {
	known := s.records[key]
	if known == nil {
		return
	}
	if lapse.IsZero() || known.upstream == nil || known.upstream.State == fleet.StateDraining {
		delete(s.records, key)
		return
	}
	if known.lapsed.IsZero() {
		known.lapsed = lapse
	}
}

func (s *State) put(entry store.Entry, now time.Time) {
	if s.records == nil {
		s.records, s.drained = map[string]*record{}, map[fleet.Incarnation]time.Time{}
	}
	switch {
	case entry.Key == s.Decoder.DocumentKey:
		s.putDocument(entry)
		return
	case strings.HasPrefix(entry.Key, s.Decoder.UpstreamPrefix), strings.HasPrefix(entry.Key, s.Decoder.HostPrefix):
	default:
		return
	}
	if known := s.records[entry.Key]; known != nil && known.entry.Version >= entry.Version {
		if known.entry.Version == entry.Version {
			known.lapsed = time.Time{}
		}
		return
	}
	s.records[entry.Key] = s.decode(entry, now)
}

func (s *State) decode(entry store.Entry, now time.Time) *record {
	made := &record{entry: entry}
	if strings.HasPrefix(entry.Key, s.Decoder.HostPrefix) {
		host := &fleet.Host{}
		if err := json.Unmarshal(entry.Value, host); err != nil {
			s.malformed(entry.Key, err)
			return made
		}
		made.host = host
		return made
	}
	upstream, err := s.Decoder.Upstream(entry.Key, entry.Value)
	if err != nil {
		s.malformed(entry.Key, err)
		return made
	}
	if upstream.State == fleet.StateDraining {
		s.drained[upstream.Incarnation()] = now
	} else if _, left := s.drained[upstream.Incarnation()]; left {
		// An incarnation that announced its end does not come back.
		upstream.State = fleet.StateDraining
	}
	made.upstream = upstream
	return made
}

func (s *State) malformed(key string, err error) {
	if s.Malformed != nil {
		s.Malformed(key, err)
	}
}

// putDocument takes a newer routing document; older ones and ones with faults change nothing.
func (s *State) putDocument(entry store.Entry) {
	if entry.Version <= s.document.Version {
		return
	}
	document, err := s.Decoder.Document(entry.Value)
	if err != nil {
		s.malformed(entry.Key, err)
		return
	}
	if s.snapshot != nil && document.Revision < s.snapshot.Revision {
		return
	}
	snapshot, err := fleet.Compile(document)
	if err != nil {
		s.malformed(entry.Key, err)
		return
	}
	s.document, s.snapshot = entry, snapshot
}

// Entries returns what another host needs to reach the same state.
func (s *State) Entries() []store.Entry {
	entries := make([]store.Entry, 0, len(s.records)+1)
	if s.document.Version > 0 {
		entries = append(entries, s.document)
	}
	for _, known := range s.records {
		if known.lapsed.IsZero() {
			entries = append(entries, known.entry)
		}
	}
	return entries
}

// View returns the state as an immutable view.
func (s *State) View() *View {
	v := &View{
		Snapshot: s.snapshot, Version: s.version,
		ready: map[api.ServiceName][]*fleet.Upstream{}, upstreams: map[api.UpstreamID]*fleet.Upstream{},
	}
	for _, known := range s.records {
		switch {
		case known.upstream != nil:
			v.upstreams[known.upstream.ID] = known.upstream
			if known.upstream.State == fleet.StateReady {
				v.ready[known.upstream.Service] = append(v.ready[known.upstream.Service], known.upstream)
			}
		case known.host != nil:
			v.Hosts = append(v.Hosts, *known.host)
		}
	}
	for _, list := range v.ready {
		sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	}
	sort.Slice(v.Hosts, func(i, j int) bool { return v.Hosts[i].ID < v.Hosts[j].ID })
	return v
}
