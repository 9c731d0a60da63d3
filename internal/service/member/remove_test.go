package member

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingloft/internal/data/store"
	"redwingloft/internal/helper/fault"
	"redwingloft/pkg/api"
)

// TestRemoveAfterColdRestart guards against a site that can't serve again after all its hosts
// have ended at once and new ones have started at other addresses.
func TestRemoveAfterColdRestart(t *testing.T) {
	c := newCluster(t, 5)
	c.commit(true)
	c.run(3 * time.Second)
	var dead []api.HostID
	for _, host := range c.hosts {
		host.dead = true
		dead = append(dead, host.Self.Host)
	}
	fresh := []*node{c.addHost(), c.addHost(), c.addHost()}
	c.run(30 * time.Second)
	assert.Assert(t, c.startRequest(fresh[0]) != nil, "the old voters may still serve, so no request may start")

	assert.NilError(t, fresh[0].Remove(t.Context(), dead))
	c.run(10 * time.Second)
	for _, host := range fresh {
		assert.NilError(t, c.startRequest(host))
	}
	c.commit(true)
	c.run(10 * time.Second)
	assert.NilError(t, c.startRequest(fresh[2]))
}

// TestRemoveRefusesLiveAndUnknownHosts guards against the removal of a host that still
// serves, and against a mistyped host id that is silently ignored.
func TestRemoveRefusesLiveAndUnknownHosts(t *testing.T) {
	c := newCluster(t, 3)
	c.commit(true)
	c.run(3 * time.Second)
	err := c.hosts[0].Remove(t.Context(), []api.HostID{c.hosts[1].Self.Host})
	assert.Equal(t, fault.KindOf(err), api.KindConflict)
	err = c.hosts[0].Remove(t.Context(), []api.HostID{"nobody"})
	assert.Equal(t, fault.KindOf(err), api.KindNotFound)
}

// TestRegistersAgainAfterLoss guards against hosts that are missing from the next commit
// after the store has lost its member documents.
func TestRegistersAgainAfterLoss(t *testing.T) {
	c := newCluster(t, 3)
	c.commit(true)
	c.run(3 * time.Second)
	_, err := c.kv.Txn(t.Context(), store.Txn{Deletes: []string{c.keys.Members("dc")}})
	assert.NilError(t, err)
	c.run(10 * time.Second)
	documents, err := c.hosts[0].readDocuments(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, len(documents["dc"].Members), 3)
	for _, host := range c.hosts {
		assert.NilError(t, c.startRequest(host))
	}
}

// TestJoinAfterLoss guards against a host that starts after the store came back with an older manifest, and serves
// by that although its peers have a newer one.
func TestJoinAfterLoss(t *testing.T) {
	for _, membersLost := range []bool{false, true} {
		c := newCluster(t, 3)
		c.commit(true)
		c.commit(false)
		c.run(3 * time.Second)
		assert.NilError(t, c.startRequest(c.hosts[0]))
		older := store.Txn{Puts: []store.Put{{Key: c.keys.Manifest(), Value: []byte(`{"revision":1}`)}}}
		if membersLost {
			older.Deletes = []string{c.keys.Members("dc")}
		}
		_, err := c.kv.Txn(t.Context(), older)
		assert.NilError(t, err)
		added := c.newNode("added")
		fetch := added.OnNewerRevision
		added.OnNewerRevision = func(from api.Address, revision api.Revision) {
			assert.Check(t, from != "", "revision %d was fetched from the store, members lost: %t", revision, membersLost)
			fetch(from, revision)
		}
		added.Join(t.Context())
		assert.Equal(t, added.revision(), api.Revision(3), "members lost: %t", membersLost)
		_ = c.startRequest(added)
		c.run(3 * time.Second)
		assert.NilError(t, c.startRequest(added))
		assert.Equal(t, len(c.violations), 0, "%v", c.violations)
	}
}
