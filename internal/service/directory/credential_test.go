package directory

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingloft/internal/data/store"
	"redwingloft/pkg/api"
)

// workspacesEntry returns a document with the given list of workspaces in JSON.
func workspacesEntry(revision int, version store.Version, workspaces string) store.Entry {
	return store.Entry{Key: "document", Version: version, Value: fmt.Appendf(nil, `{"Revision":%d,"Workspaces":%s}`, revision, workspaces)}
}

const (
	withKey     = `[{"Name":"w","Keys":["k"]}]`
	withoutKeys = `[{"Name":"w"}]`
)

// assertAdmits checks which workspace the key k belongs to, and that no other key and no missing
// one is admitted.
func assertAdmits(t *testing.T, s *State, workspace api.WorkspaceName) {
	t.Helper()
	snapshot := s.View().Snapshot
	assert.Assert(t, snapshot.RequiresCredential())
	found := api.WorkspaceName("")
	if w := snapshot.Workspace("k"); w != nil {
		found = w.Name
	}
	assert.Equal(t, found, workspace)
	assert.Assert(t, snapshot.Workspace("") == nil)
	assert.Assert(t, snapshot.Workspace("never in a document") == nil)
}

// TestCredentialsAfterChanges guards against a host that admits everybody, or the holder of a
// removed key, after keys and workspaces have come, gone or moved.
func TestCredentialsAfterChanges(t *testing.T) {
	for name, test := range map[string]struct {
		// documents are the lists of workspaces, in the order in which they are written.
		documents []string
		workspace api.WorkspaceName
	}{
		"the first document has no key":    {[]string{withoutKeys}, ""},
		"the first workspace comes later":  {[]string{"null", withKey}, "w"},
		"the first key comes later":        {[]string{withoutKeys, withKey}, "w"},
		"a key moves":                      {[]string{withKey, `[{"Name":"w"},{"Name":"v","Keys":["k"]}]`}, "v"},
		"a key moves and goes":             {[]string{withKey, `[{"Name":"w"},{"Name":"v","Keys":["k"]}]`, `[{"Name":"w"},{"Name":"v"}]`}, ""},
		"the last workspace goes":          {[]string{withKey, "[]"}, ""},
		"the last key goes, another comes": {[]string{withKey, withoutKeys, `[{"Name":"w","Keys":["other"]}]`}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			s := newState()
			for i, workspaces := range test.documents {
				s.Apply([]store.Event{{Entry: workspacesEntry(i+1, store.Version(i+1), workspaces)}}, start, time.Time{})
			}
			assertAdmits(t, s, test.workspace)

			follower := newState()
			follower.Replace(s.Entries(), s.Version(), start, time.Time{})
			assertAdmits(t, follower, test.workspace)
		})
	}
}

// TestCredentialsAfterRestore guards against a host that admits a removed key, or everybody, once
// the store has come back from a copy in which the key was not removed yet.
func TestCredentialsAfterRestore(t *testing.T) {
	s := newState()
	s.Replace([]store.Entry{workspacesEntry(1, 1, withKey)}, 1, start, time.Time{})
	s.Apply([]store.Event{{Entry: workspacesEntry(2, 2, withoutKeys)}}, start, time.Time{})
	expiry := start.Add(missingEntryGrace)
	s.Replace([]store.Entry{workspacesEntry(1, inEra(t, 1, 1), withKey)}, inEra(t, 1, 1), start, expiry)
	assertAdmits(t, s, "")
	s.Replace(nil, inEra(t, 2, 1), start, expiry)
	assertAdmits(t, s, "")
	s.Apply([]store.Event{{Entry: workspacesEntry(2, inEra(t, 2, 2), withoutKeys)}}, start, expiry)
	assertAdmits(t, s, "")
}
