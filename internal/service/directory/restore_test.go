package directory

import (
	"testing"

	"redwingloft/internal/data/fleet"
)

// TestDocumentWrittenAfterRestoreIsInForce guards against a host that takes no change from a store that came back from an older copy.
func TestDocumentWrittenAfterRestoreIsInForce(t *testing.T) {
	kv, client := startStore(t)
	write(t, kv, documentEntry(1, 0))
	service := startService(t, client, func(s *Service) {
		s.OnChange = func(v *View) {
			if before := s.View().Snapshot; before != nil && v.Snapshot.Revision < before.Revision {
				t.Errorf("the document went back from %d to %d", before.Revision, v.Snapshot.Revision)
			}
		}
	})
	inForce := func(revision fleet.Revision) func() bool {
		return func() bool { s := service.View().Snapshot; return s != nil && s.Revision == revision }
	}
	for revision := 1; revision < 20; revision += 5 {
		eventually(t, "the document before the copy", inForce(fleet.Revision(revision)))
		before := kv.Inner.Copy()
		write(t, kv, documentEntry(revision+1, 0))
		write(t, kv, documentEntry(revision+2, 0))
		eventually(t, "the document that is lost", inForce(fleet.Revision(revision+2)))
		kv.Restore(before)
		write(t, kv, documentEntry(revision+5, 0))
		eventually(t, "the document after the restore", inForce(fleet.Revision(revision+5)))
	}
}
