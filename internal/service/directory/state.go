// Package directory maintains an entry host's view of the fleet: the routing document,
// the upstreams and the other hosts. A few hosts of a fleet watch the platform's store; the
// others follow them, and read the store themselves when that fails. It also keeps the host's
// own registration alive.
package directory

import (
	"cmp"
	"encoding/json"
	"slices"
	"sort"
	"strings"
	"time"

	"redwingloft/internal/data/fleet"
	"redwingloft/internal/data/store"
	"redwingloft/pkg/api"
)

// missingEntryGrace is how long an upstream that went missing during an outage of the
// store is kept after the outage: the platform guarantees that running upstreams have
// registered again within two seconds.
const missingEntryGrace = 2 * time.Second

// removedKeyTTL is how long a key that a full read omits is reported as deleted by later full
// reads. Its deletion reaches the watch within a few calls.
const removedKeyTTL = time.Minute

// Decoder decodes the entries of the store.
type Decoder struct {
	// DocumentKey is the key of the routing document.
	DocumentKey string
	Document    func(data []byte) (*fleet.Document, error)
	// UpstreamPrefix is the key prefix of upstreams.
	UpstreamPrefix string
	Upstream       func(key string, data []byte) (*fleet.Upstream, error)
	// HostPrefix is the key prefix of hosts, whose values are JSON.
	HostPrefix string
	// QuarantinePrefix is the key prefix of quarantined parts of prompts, whose values are JSON.
	// Empty means that there are none.
	QuarantinePrefix string
	// EvacuationPrefix is the key prefix of evacuations, followed by the name of the data centre;
	// the values are ignored. Empty means that there are none.
	EvacuationPrefix string
}

// isQuarantine reports whether a key is that of a quarantined part.
func (d *Decoder) isQuarantine(key string) bool {
	return d.QuarantinePrefix != "" && strings.HasPrefix(key, d.QuarantinePrefix)
}

// isEvacuation reports whether a key is that of an evacuation.
func (d *Decoder) isEvacuation(key string) bool {
	return d.EvacuationPrefix != "" && strings.HasPrefix(key, d.EvacuationPrefix)
}

// View is an immutable snapshot of the fleet as known to a host.
type View struct {
	// Snapshot is nil until a routing document is known.
	Snapshot *fleet.Snapshot
	// Hosts holds the registered hosts, sorted by ID.
	Hosts []fleet.Host
	// Version is the store revision up to which the view is complete.
	Version store.Version
	// Quarantined holds the quarantined parts of prompts by id, also those whose quarantine has
	// ended; nil if there are none.
	Quarantined map[string]fleet.QuarantinedPart
	// LostQuarantines holds the quarantined parts that the store lost when it came back from an
	// older copy, and LiftedQuarantines those that it has again although they were removed.
	LostQuarantines, LiftedQuarantines []fleet.QuarantinedPart
	// Evacuated holds the data centres whose upstreams get no new work; nil if there are none.
	Evacuated map[api.DataCentre]bool

	// unconfirmed is the same view without ready upstreams.
	unconfirmed   *View
	isUnconfirmed bool

	ready     map[api.ServiceName][]*fleet.Upstream
	upstreams map[api.UpstreamID]*fleet.Upstream
}

// Ready returns the upstreams of a service that accept new work, sorted by ID. Those of evacuated
// data centres are not among them.
// Callers must not modify the slice.
func (v *View) Ready(service api.ServiceName) []*fleet.Upstream {
	if v == nil {
		return nil
	}
	return v.ready[service]
}

// Registered returns the registered upstreams of a service, also those that accept no new work, sorted
// by ID.
func (v *View) Registered(service api.ServiceName) []*fleet.Upstream {
	var list []*fleet.Upstream
	for _, upstream := range v.upstreams {
		if upstream.Service == service {
			list = append(list, upstream)
		}
	}
	slices.SortFunc(list, func(a, b *fleet.Upstream) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// IsUnconfirmed reports whether the host was suspended and has not confirmed the view since.
func (v *View) IsUnconfirmed() bool { return v.isUnconfirmed }

// Has reports whether an incarnation of an upstream is registered.
func (v *View) Has(incarnation fleet.Incarnation) bool {
	upstream := v.upstreams[incarnation.ID]
	return upstream != nil && upstream.Started == incarnation.Started
}

// record is an entry of the store with its decoded value.
type record struct {
	entry store.Entry
	// At most one of upstream, host, quarantined and evacuated is set; none if the entry is malformed.
	upstream    *fleet.Upstream
	host        *fleet.Host
	quarantined *fleet.QuarantinedPart
	evacuated   api.DataCentre
	// coldIgnored is true if the cold time of the upstream is invalid.
	coldIgnored bool
	// expiresAt is the time at which an entry that went missing during an outage is
	// removed; zero if the entry is not missing.
	expiresAt time.Time
	// heldUntil is the time until which an entry that reappeared is not used; zero if it is used.
	heldUntil time.Time
}

// State applies entries and events of the store in order. Set Decoder before use.
// It is not safe for concurrent use.
type State struct {
	Decoder Decoder
	// OnMalformed is called for entries that can't be decoded; nil ignores them.
	OnMalformed func(key string, err error)

	version  store.Version
	records  map[string]*record
	snapshot *fleet.Snapshot
	document store.Entry
	// removedAt holds the keys that full reads no longer contained and when this was seen. A
	// full read may omit a key that is deleted only after the revision of the read.
	removedAt map[string]time.Time
	// drainedIncarnations holds the incarnations that were seen draining, which is final.
	drainedIncarnations map[fleet.Incarnation]time.Time
	// removed holds the last removals by key, those of entries that were written again excepted.
	removed map[string]removal
	// returns holds the last ends of evacuations.
	returns map[api.DataCentre]knownReturn
	// restoring is true while the first entries are applied after the store came back from an
	// older copy.
	restoring bool
	// hostsKeptUntil is the time until which missing hosts are kept: all registrations are lost
	// when the store comes back from an older copy.
	hostsKeptUntil time.Time
}

// Version returns the store revision up to which the state is complete.
func (s *State) Version() store.Version { return s.version }

// Replace replaces the state with the result of a full read and returns the changes, sorted
// by revision. Missing entries are removed at expiry, or at once if it is zero. A read that is older
// than the state changes nothing: entries that only the read has were deleted since.
func (s *State) Replace(entries []store.Entry, version store.Version, now, expiry time.Time) []store.Event {
	if version < s.version {
		return nil
	}
	defer s.beginRestore(version, expiry)()
	var events []store.Event
	seen := make(map[string]bool, len(entries))
	for _, entry := range entries {
		seen[entry.Key] = true
		if entry.Version > s.version && !s.isUnchanged(entry) {
			events = append(events, store.Event{Entry: entry})
		}
		s.putEntry(entry, now, expiry)
	}
	for key, existing := range s.records {
		if !seen[key] && existing.entry.Version <= version {
			if s.removedAt == nil {
				s.removedAt = map[string]time.Time{}
			}
			s.removedAt[key] = now
			s.removeEntry(key, version, now, expiry)
		}
	}
	for key, at := range s.removedAt {
		switch {
		case seen[key] || now.Sub(at) > removedKeyTTL:
			delete(s.removedAt, key)
		default:
			// Reported again by each read: a host that follows this one may have been at the
			// revision of the earlier read already.
			events = append(events, store.Event{Entry: store.Entry{Key: key, Version: version}, Deleted: true})
		}
	}
	s.version = max(s.version, version)
	slices.SortStableFunc(events, func(a, b store.Event) int { return cmp.Compare(a.Version, b.Version) })
	return events
}

// Apply applies the events of a watch and returns those that are new. Deleted entries are
// removed at expiry, or at once if it is zero.
func (s *State) Apply(events []store.Event, now, expiry time.Time) []store.Event {
	complete := s.version
	for _, event := range events {
		complete = max(complete, event.Version)
	}
	return s.ApplyUpdate(events, complete, now, expiry)
}

// ApplyUpdate applies events after which the state is complete up to a revision, and returns
// those that are new. Events may be newer than that revision.
func (s *State) ApplyUpdate(events []store.Event, complete store.Version, now, expiry time.Time) []store.Event {
	defer s.beginRestore(complete, expiry)()
	var applied []store.Event
	for _, event := range events {
		if event.Version <= s.version {
			continue // already included in a state received from another host
		}
		applied = append(applied, event)
		if event.Deleted {
			if existing := s.records[event.Key]; existing != nil && existing.entry.Version < event.Version {
				s.removeEntry(event.Key, event.Version, now, expiry)
			}
		} else {
			s.putEntry(event.Entry, now, expiry)
		}
	}
	// Keys written in one transaction share a revision, so the version is advanced only
	// after all events.
	s.version = max(s.version, complete)
	return applied
}

// Expire removes missing entries whose grace period has ended, uses those that were held back for
// long enough, and reports whether there were any.
func (s *State) Expire(now time.Time) bool {
	changed := false
	for key, rec := range s.records {
		if !rec.expiresAt.IsZero() && !now.Before(rec.expiresAt) {
			s.deleteRecord(key, s.version, now)
			changed = true
		}
		if rec.isHeld() && !now.Before(rec.heldUntil) {
			rec.heldUntil = time.Time{}
			changed = true
		}
	}
	return changed
}

// removeEntry removes an entry at a version, or schedules its removal for expiry. Hosts are removed at once,
// because callers fail over by themselves, except after a restore.
func (s *State) removeEntry(key string, version store.Version, now, expiry time.Time) {
	existing := s.records[key]
	if existing == nil {
		return
	}
	keep := false
	switch {
	case existing.isHeld():
	case existing.upstream != nil:
		keep = !expiry.IsZero() && existing.upstream.State != fleet.StateDraining
	case existing.host != nil:
		keep, expiry = now.Before(s.hostsKeptUntil), s.hostsKeptUntil
	case existing.quarantined != nil:
		keep = !expiry.IsZero() && s.restoring
	case existing.evacuated != "":
		// Later reads of the same copy lack the entry too. One that is in the copy was deleted since.
		lost := s.restoring && existing.entry.Version.Era() < version.Era()
		keep = !expiry.IsZero() && lost || !existing.expiresAt.IsZero()
	}
	if !keep {
		s.deleteRecord(key, version, now)
		return
	}
	if existing.expiresAt.IsZero() || s.restoring {
		existing.expiresAt = expiry
	}
}

func (s *State) putEntry(entry store.Entry, now, expiry time.Time) {
	if s.records == nil {
		s.records, s.drainedIncarnations = map[string]*record{}, map[fleet.Incarnation]time.Time{}
	}
	switch {
	case entry.Key == s.Decoder.DocumentKey:
		s.putDocument(entry)
		return
	case strings.HasPrefix(entry.Key, s.Decoder.UpstreamPrefix), strings.HasPrefix(entry.Key, s.Decoder.HostPrefix), s.Decoder.isQuarantine(entry.Key),
		s.Decoder.isEvacuation(entry.Key):
	default:
		return
	}
	if existing := s.records[entry.Key]; existing != nil && existing.entry.Version >= entry.Version {
		if existing.entry.Version == entry.Version {
			existing.expiresAt = time.Time{}
		}
		return
	}
	decoded := s.decodeEntry(entry, now)
	if s.keepsLaterIncarnation(decoded, now, expiry) {
		return
	}
	s.holdReappeared(decoded, now)
	s.setCold(decoded, now)
	s.records[entry.Key] = decoded
}

func (s *State) decodeEntry(entry store.Entry, now time.Time) *record {
	decoded := &record{entry: entry}
	if strings.HasPrefix(entry.Key, s.Decoder.HostPrefix) {
		host := &fleet.Host{}
		if err := json.Unmarshal(entry.Value, host); err != nil {
			s.reportMalformed(entry.Key, err)
			return decoded
		}
		decoded.host = host
		return decoded
	}
	if s.Decoder.isQuarantine(entry.Key) {
		part := &fleet.QuarantinedPart{}
		if err := json.Unmarshal(entry.Value, part); err != nil {
			s.reportMalformed(entry.Key, err)
			return decoded
		}
		decoded.quarantined = part
		return decoded
	}
	if s.Decoder.isEvacuation(entry.Key) {
		decoded.evacuated = api.DataCentre(strings.TrimPrefix(entry.Key, s.Decoder.EvacuationPrefix))
		if decoded.evacuated == "" {
			s.reportMalformed(entry.Key, errNoDataCentre)
		}
		return decoded
	}
	upstream, err := s.Decoder.Upstream(entry.Key, entry.Value)
	decoded.coldIgnored = err != nil && upstream != nil
	// Upstreams write their entries every second or so.
	if known := s.records[entry.Key]; err != nil && (known == nil || !known.coldIgnored || !decoded.coldIgnored) {
		s.reportMalformed(entry.Key, err)
	}
	if upstream == nil {
		return decoded
	}
	if upstream.State == fleet.StateDraining {
		s.drainedIncarnations[upstream.Incarnation()] = now
	} else if _, drained := s.drainedIncarnations[upstream.Incarnation()]; drained {
		// An incarnation that announced its shutdown never becomes ready again.
		upstream.State = fleet.StateDraining
	}
	decoded.upstream = upstream
	return decoded
}

func (s *State) reportMalformed(key string, err error) {
	if s.OnMalformed != nil {
		s.OnMalformed(key, err)
	}
}

// putDocument installs a newer routing document; older and invalid ones are ignored. The document's
// own revision decides: an older copy of the store has an older document at a newer version.
func (s *State) putDocument(entry store.Entry) {
	if entry.Version == s.document.Version {
		return
	}
	document, err := s.Decoder.Document(entry.Value)
	if err != nil {
		s.reportMalformed(entry.Key, err)
		return
	}
	if s.snapshot != nil && (document.Revision < s.snapshot.Revision || document.Revision == s.snapshot.Revision && entry.Version < s.document.Version) {
		return
	}
	snapshot, err := fleet.Compile(document)
	if err != nil {
		s.reportMalformed(entry.Key, err)
		return
	}
	s.document, s.snapshot = entry, snapshot
}

// documentRevision returns the revision of the document in force, or 0.
func (s *State) documentRevision() fleet.Revision {
	if s.snapshot == nil {
		return 0
	}
	return s.snapshot.Revision
}

// Entries returns the entries from which another host can restore this state.
func (s *State) Entries() []store.Entry {
	entries := make([]store.Entry, 0, len(s.records)+1)
	if s.document.Version > 0 {
		entries = append(entries, s.document)
	}
	for _, rec := range s.records {
		if rec.expiresAt.IsZero() {
			entries = append(entries, rec.entry)
		}
	}
	return entries
}

// View returns an immutable view of the state.
func (s *State) View() *View {
	v := &View{
		Snapshot: s.snapshot, Version: s.version,
		ready: map[api.ServiceName][]*fleet.Upstream{}, upstreams: map[api.UpstreamID]*fleet.Upstream{},
	}
	s.addEvacuations(v)
	for _, rec := range s.records {
		if rec.isHeld() {
			v.addReappeared(rec)
			continue
		}
		switch {
		case rec.upstream != nil:
			v.upstreams[rec.upstream.ID] = rec.upstream
			if rec.upstream.State == fleet.StateReady && !v.Evacuated[rec.upstream.DataCentre] {
				v.ready[rec.upstream.Service] = append(v.ready[rec.upstream.Service], rec.upstream)
			}
		case rec.host != nil:
			v.Hosts = append(v.Hosts, *rec.host)
		case rec.quarantined != nil:
			if v.Quarantined == nil {
				v.Quarantined = map[string]fleet.QuarantinedPart{}
			}
			v.Quarantined[rec.quarantined.Part] = *rec.quarantined
			if !rec.expiresAt.IsZero() {
				v.LostQuarantines = append(v.LostQuarantines, *rec.quarantined)
			}
		}
	}
	for _, list := range v.ready {
		sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	}
	sort.Slice(v.Hosts, func(i, j int) bool { return v.Hosts[i].ID < v.Hosts[j].ID })
	unconfirmed := *v
	unconfirmed.ready, unconfirmed.isUnconfirmed = nil, true
	v.unconfirmed = &unconfirmed
	return v
}
