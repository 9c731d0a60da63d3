package directory

import (
	"slices"

	"redwingloft/internal/data/store"
)

// maxGaps bounds the gaps in the history that a host remembers.
const maxGaps = 16

// versionGap is a range of versions that a host never had: those between the state before and after
// a full read or a restore of the store. The history holds only the differences between the two,
// which don't undo what a host with a version between them knows.
type versionGap struct {
	before, after store.Version
}

// recordGap records that the state went from a version to the present one at once. The caller holds mu.
func (s *Service) recordGap(before store.Version) {
	if after := s.state.Version(); after > before+1 {
		s.gaps = append(s.gaps, versionGap{before, after})
	}
	if len(s.gaps) > maxGaps {
		s.historyFrom = max(s.historyFrom, s.gaps[0].after)
		s.gaps = slices.Delete(s.gaps, 0, 1)
	}
}

// isInGap reports whether a version is one that this host never had. The caller holds mu.
func (s *Service) isInGap(version store.Version) bool {
	return slices.ContainsFunc(s.gaps, func(g versionGap) bool { return g.before < version && version < g.after })
}
