package directory

import (
	"bytes"
	"time"

	"redwingloft/internal/data/store"
)

const (
	// silentUpstreamTime is the time after which the platform removes the entry of an upstream
	// that does not write it.
	silentUpstreamTime = 4 * time.Second
	// reappearedHold is how long an entry that had been removed and is in an older copy of the
	// store is not used, unless it is written again.
	reappearedHold = missingEntryGrace + silentUpstreamTime
	// maxRemoved bounds the removed entries that are remembered.
	maxRemoved = 4096
)

// removal is the last known removal of an entry.
type removal struct {
	// started identifies the incarnation of an upstream or host; 0 for other entries.
	started int64
	// version is the revision up to which the entry is known to be removed.
	version store.Version
	at      time.Time
}

// started returns the start of the upstream or host of a record.
func (r *record) started() int64 {
	switch {
	case r.upstream != nil:
		return r.upstream.Started
	case r.host != nil:
		return r.host.Started
	}
	return 0
}

// isHeld reports whether a record is not used because its entry had been removed before the store
// came back from an older copy.
func (r *record) isHeld() bool { return !r.heldUntil.IsZero() }

// startsEra reports whether a version is the first known one after the store came back from an
// older copy.
func (s *State) startsEra(version store.Version) bool {
	return s.version > 0 && version.Era() > s.version.Era()
}

// beginRestore records whether the changes at a version are the first after a restore, until the
// returned function is called.
func (s *State) beginRestore(version store.Version, expiry time.Time) (end func()) {
	if s.restoring = s.startsEra(version); s.restoring {
		s.hostsKeptUntil = expiry
	}
	return func() { s.restoring = false }
}

// addReappeared adds what a view shows of an entry that is held back.
func (v *View) addReappeared(rec *record) {
	if rec.quarantined != nil {
		v.LiftedQuarantines = append(v.LiftedQuarantines, *rec.quarantined)
	}
}

// isUnchanged reports whether the copy from which the store came back has an entry as it is known.
// Only its version differs then.
func (s *State) isUnchanged(entry store.Entry) bool {
	existing := s.records[entry.Key]
	return s.restoring && existing != nil && existing.expiresAt.IsZero() && !existing.isHeld() && bytes.Equal(existing.entry.Value, entry.Value)
}

// deleteRecord deletes a record and remembers its removal at a version.
func (s *State) deleteRecord(key string, version store.Version, now time.Time) {
	if s.removed == nil {
		s.removed = map[string]removal{}
	}
	if len(s.removed) >= maxRemoved {
		for other, removed := range s.removed {
			if now.Sub(removed.at) > removedKeyTTL {
				delete(s.removed, other)
			}
		}
	}
	if len(s.removed) < maxRemoved {
		s.removed[key] = removal{s.records[key].started(), version, now}
	}
	centre := s.records[key].evacuated
	delete(s.records, key)
	if centre != "" {
		s.recordReturn(Return{DataCentre: centre, Version: version}, now)
	}
}

// holdReappeared holds a record back if its entry is in the copy from which the store came back,
// but had been removed since that copy, or belongs to an earlier run of the upstream or host than
// the one that was removed. A quarantine is held until its end.
func (s *State) holdReappeared(rec *record, now time.Time) {
	removed, known := s.removed[rec.entry.Key]
	switch {
	case !known:
	case rec.evacuated != "":
		// An evacuation that is wrong costs capacity only.
		delete(s.removed, rec.entry.Key)
	case removed.started >= rec.started() && now.Sub(removed.at) <= removedKeyTTL && s.isCopied(rec.entry, removed):
		rec.heldUntil = now.Add(reappearedHold)
		if rec.quarantined != nil {
			rec.heldUntil = rec.quarantined.Until
		}
	default:
		delete(s.removed, rec.entry.Key)
	}
}

// isCopied reports whether an entry that was removed before comes from the copy, and was not
// written again since.
func (s *State) isCopied(entry store.Entry, removed removal) bool {
	return entry.Version <= removed.version || s.restoring && removed.version.Era() < entry.Version.Era()
}

// keepsLaterIncarnation reports whether an entry of the copy is of an earlier incarnation of an
// upstream than the known one, which is then missing like those that the copy lacks.
func (s *State) keepsLaterIncarnation(decoded *record, now, expiry time.Time) bool {
	key := decoded.entry.Key
	known := s.records[key]
	if known == nil || known.upstream == nil || decoded.upstream == nil || decoded.started() >= known.started() {
		return false
	}
	if s.restoring {
		s.removeEntry(key, decoded.entry.Version, now, expiry)
	}
	known = s.records[key]
	return known != nil && !known.expiresAt.IsZero()
}

// countRestored returns the number of entries that are missing and that are held back.
func (s *State) countRestored() (missing, held int) {
	for _, rec := range s.records {
		if !rec.expiresAt.IsZero() {
			missing++
		}
		if rec.isHeld() {
			held++
		}
	}
	return missing, held
}

// enterEra gives missing entries a grace period if a version shows that the store came back from
// an older copy: what was written since is written again. The returned function must be called
// after the changes at that version have been applied. The caller holds mu.
func (s *Service) enterEra(version store.Version, now time.Time, grace time.Duration) (entered func()) {
	if !s.state.startsEra(version) {
		return func() {}
	}
	before := s.state.Version()
	s.graceUntil = now.Add(grace)
	return func() {
		missing, held := s.state.countRestored()
		s.Metrics.Counter("directory.store_restores").Inc(1)
		s.Log.Warn().Int64("before", int64(before)).Int64("version", int64(version)).Int("missing", missing).Int("held", held).
			Int64("grace_ms", grace.Milliseconds()).Msg("store_restored")
	}
}
