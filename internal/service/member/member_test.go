package member

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"redwingloft/internal/data/document"
	"redwingloft/internal/helper/fault"
	"redwingloft/pkg/api"
)

func containsHost(answer api.AddressList, host *node) bool {
	for _, entry := range answer.Hosts {
		if entry.Host == host.Self.Host {
			return true
		}
	}
	return false
}

// TestPartitionOfOneHost guards against a partitioned host that continues to serve or remains in address lists.
func TestPartitionOfOneHost(t *testing.T) {
	c := newCluster(t, 5)
	lost := c.hosts[2]
	lost.partition, lost.storeUnreachable = 1, true
	c.run(4 * time.Second)
	assertKind(t, c.startRequest(lost), api.KindHostIsolated)
	assert.Assert(t, !containsHost(c.hosts[0].Addresses("dc"), lost))
	own := lost.Addresses("dc")
	assert.Assert(t, !containsHost(own, lost))
	assert.Equal(t, len(own.Hosts), 4)
	assert.NilError(t, c.startRequest(c.hosts[0]))
	lost.partition, lost.storeUnreachable = 0, false
	c.run(time.Second)
	assert.NilError(t, c.startRequest(lost))
	assert.Assert(t, containsHost(c.hosts[0].Addresses("dc"), lost))
}

// TestPartitionOfMinority guards against a minority that serves during a store outage, and a
// majority that stops serving.
func TestPartitionOfMinority(t *testing.T) {
	c := newCluster(t, 5)
	c.storeDown = true
	c.hosts[0].partition, c.hosts[1].partition = 1, 1
	c.run(4 * time.Second)
	for i, host := range c.hosts {
		if i < 2 {
			assertKind(t, c.startRequest(host), api.KindHostIsolated)
		} else {
			assert.NilError(t, c.startRequest(host))
		}
	}
}

// TestStoreOutage guards against hosts that stop serving during a store outage while all peers
// are reachable.
func TestStoreOutage(t *testing.T) {
	c := newCluster(t, 5)
	c.storeDown = true
	for range 40 {
		c.run(2 * time.Second)
		for _, host := range c.hosts {
			assert.NilError(t, c.startRequest(host))
		}
	}
}

// TestPauseDuringChange guards against a host that serves the old version after a pause.
func TestPauseDuringChange(t *testing.T) {
	c := newCluster(t, 5)
	frozen := c.hosts[1]
	frozen.paused = true
	c.commit(true)
	c.run(time.Second)
	assertKind(t, c.startRequest(c.hosts[0]), api.KindHandover)
	c.run(4 * time.Second)
	assert.NilError(t, c.startRequest(c.hosts[0]))
	frozen.paused = false
	assertKind(t, c.startRequest(frozen), api.KindHostIsolated)
	c.run(time.Second)
	assert.NilError(t, c.startRequest(frozen))
	assert.Equal(t, len(c.violations), 0, "%v", c.violations)
}

// TestCheckDropsEvidenceOfPausedHost guards against evidence that remains valid after a pause
// during which the monotonic clock stood still.
func TestCheckDropsEvidenceOfPausedHost(t *testing.T) {
	c := newCluster(t, 3)
	c.hosts[0].Check()
	c.clock.advance(2 * time.Second)
	assert.NilError(t, c.hosts[0].Fresh())
	c.hosts[0].Check()
	assertKind(t, c.hosts[0].Fresh(), api.KindHostIsolated)
}

// TestJoinDuringOutage guards against a host that can't start during a store outage, and
// against a handover that completes without that host.
func TestJoinDuringOutage(t *testing.T) {
	c := newCluster(t, 5)
	c.storeDown = true
	joined := c.addHost()
	c.run(2 * time.Second)
	assert.NilError(t, c.startRequest(joined))
	assert.Assert(t, c.hosts[0].unregistered[joined.Self.Host] != nil)
	assert.Assert(t, containsHost(c.hosts[0].Addresses("dc"), joined))
	joined.paused, c.storeDown = true, false
	c.commit(true)
	c.run(2 * time.Second)
	assertKind(t, c.startRequest(c.hosts[0]), api.KindHandover)
	joined.paused = false
	c.run(time.Second)
	assert.NilError(t, c.startRequest(c.hosts[0]))
	assert.NilError(t, c.startRequest(joined))
	assert.Equal(t, len(c.violations), 0, "%v", c.violations)
}

// TestHostWithoutConfigurationIsNotListed guards against callers that are sent to a new host
// before it has its configuration or evidence that it is current: it refuses their requests.
func TestHostWithoutConfigurationIsNotListed(t *testing.T) {
	for name, registered := range map[string]bool{"unregistered": false, "registered": true} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 3)
			c.storeDown = !registered
			joined := c.addHost()
			fetch := joined.OnNewerRevision
			joined.OnNewerRevision = nil
			joined.view.Store(nil)
			joined.acked = 0
			c.run(2 * time.Second)
			assertKind(t, c.startRequest(joined), api.KindHostIsolated)
			for _, host := range c.hosts {
				assert.Assert(t, !containsHost(host.Addresses("dc"), joined), string(host.Self.Host))
			}
			joined.OnNewerRevision = fetch
			c.run(2 * time.Second)
			assert.NilError(t, c.startRequest(joined))
			for _, host := range c.hosts {
				assert.Assert(t, containsHost(host.Addresses("dc"), joined), string(host.Self.Host))
			}
		})
	}
}

// TestUnregisteredHostIsListedOnce guards against a host that receives itself as an
// unregistered host from others: its address list would contain it twice, and callers
// would use it twice as often.
func TestUnregisteredHostIsListedOnce(t *testing.T) {
	c := newCluster(t, 3)
	c.storeDown = true
	joined := c.addHost()
	c.run(3 * time.Second)
	seen := map[api.HostID]int{}
	for _, host := range joined.Addresses("dc").Hosts {
		seen[host.Host]++
	}
	assert.Equal(t, len(seen), 4)
	for id, count := range seen {
		assert.Equal(t, count, 1, string(id))
	}
}

// TestTwoFastChanges guards against a handover that confuses two changes in quick succession,
// and against a host that skips a revision and misses its moves.
func TestTwoFastChanges(t *testing.T) {
	c := newCluster(t, 5)
	late := c.hosts[4]
	late.partition, late.storeUnreachable = 1, true
	c.commit(true)
	c.step(100 * time.Millisecond)
	assertKind(t, c.startRequest(c.hosts[0]), api.KindHandover)
	c.commit(false)
	c.commit(true)
	late.partition, late.storeUnreachable = 0, false
	c.step(100 * time.Millisecond)
	c.run(time.Second)
	for _, host := range c.hosts {
		assert.NilError(t, c.startRequest(host))
	}
	assert.Equal(t, c.newestMove, 3)
	assert.Equal(t, len(c.violations), 0, "%v", c.violations)
}

// TestMajorityPath guards against one dead host that blocks a change, and against a change that
// does not wait for the freshness of that host to expire.
func TestMajorityPath(t *testing.T) {
	c := newCluster(t, 5)
	c.hosts[3].dead = true
	c.commit(true)
	c.run(3 * time.Second)
	assertKind(t, c.startRequest(c.hosts[0]), api.KindHandover)
	c.run(2 * time.Second)
	assert.NilError(t, c.startRequest(c.hosts[0]))
	assert.Equal(t, c.newestMove, 2)
}

// TestMajorityWithoutStore guards against a majority that can't reach the store and serves
// the old version while hosts join and leave on the other side.
func TestMajorityWithoutStore(t *testing.T) {
	c := newCluster(t, 5)
	for _, host := range c.hosts[:3] {
		host.partition, host.storeUnreachable = 1, true
	}
	for range 3 {
		c.addHost()
	}
	c.run(time.Minute)
	c.commit(true)
	c.run(10 * time.Second)
	for _, host := range c.hosts {
		_ = c.startRequest(host)
		_ = c.startRequest(c.hosts[0])
	}
	assert.Equal(t, len(c.violations), 0, "%v", c.violations)
}

// TestRemovalOfDeadHost guards against dead hosts that remain in the member document, and
// against the removal of live ones.
func TestRemovalOfDeadHost(t *testing.T) {
	c := newCluster(t, 5)
	c.hosts[0].dead = true
	c.run(20 * time.Second)
	assert.Equal(t, len(c.hosts[1].list.members), 4)
	assert.Equal(t, c.hosts[1].list.voters, 4)
	c.commit(true)
	c.run(time.Second)
	assert.NilError(t, c.startRequest(c.hosts[1]))
}

// TestDrain guards against a draining host that is still listed, refuses requests too early,
// or delays a handover after it has closed.
func TestDrain(t *testing.T) {
	c := newCluster(t, 5)
	leaving := c.hosts[0]
	leaving.draining.Store(true)
	c.step(100 * time.Millisecond)
	for _, host := range c.hosts {
		assert.Assert(t, !containsHost(host.Addresses("dc"), leaving))
	}
	assert.NilError(t, c.startRequest(leaving))
	leaving.refuseRequests()
	assertKind(t, c.startRequest(leaving), api.KindDraining)
	c.step(100 * time.Millisecond)
	assert.NilError(t, leaving.Deregister(context.Background()))
	leaving.dead = true
	c.commit(true)
	c.run(1500 * time.Millisecond)
	assert.NilError(t, c.startRequest(c.hosts[1]))
	assert.Equal(t, c.newestMove, 2)
}

// TestHeldRequestIsWoken guards against a request that still waits after the end of its handover.
func TestHeldRequestIsWoken(t *testing.T) {
	c := newCluster(t, 3)
	c.hosts[2].paused = true
	c.commit(true)
	c.run(time.Second)
	wait, err := c.hosts[0].Gate("w", "p", 2)
	assert.NilError(t, err)
	assert.Assert(t, wait != nil)
	other, err := c.hosts[0].Gate("w", "", 2)
	assert.NilError(t, err)
	assert.Assert(t, other == nil)
	c.hosts[0].mu.Lock()
	c.hosts[0].completeHandover(2)
	c.hosts[0].mu.Unlock()
	<-wait
	assert.NilError(t, c.startRequest(c.hosts[0]))
}

// TestGateFollowsTheRevisionInForce guards against a start under a snapshot that is newer or
// older than that of the gate.
func TestGateFollowsTheRevisionInForce(t *testing.T) {
	c := newCluster(t, 1)
	c.commit(false)
	early, err := c.hosts[0].Gate("w", "p", 2)
	assert.NilError(t, err)
	c.hosts[0].Apply(c.snapshots[1])
	<-early
	late, err := c.hosts[0].Gate("w", "p", 1)
	assert.NilError(t, err)
	assert.Assert(t, late != nil, "the request was started")
	<-late
}

// TestNoStartAfterAcknowledgement guards against a start under the old snapshot in another
// goroutine after the new one has been acknowledged.
func TestNoStartAfterAcknowledgement(t *testing.T) {
	c := newCluster(t, 1)
	host := c.hosts[0]
	for range 500 {
		c.commit(true)
	}
	ctx, cancel := context.WithCancel(context.Background())
	results := make(chan error, 4)
	for range cap(results) {
		go func() {
			for ctx.Err() == nil {
				revision := host.revision()
				acknowledged := host.Receive(Message{From: Member{Host: "other"}}).Acked
				wait, err := host.Gate("w", "p", revision)
				if err == nil && wait == nil && revision < acknowledged {
					results <- fault.New(api.KindInternal, "revision %d started after %d", revision, acknowledged)
					return
				}
			}
			results <- nil
		}()
	}
	for _, snapshot := range c.snapshots {
		host.Apply(snapshot)
	}
	cancel()
	for range cap(results) {
		assert.NilError(t, <-results)
	}
}

// TestOnlyReadersReadStore guards against store reads by every host instead of a few readers.
func TestOnlyReadersReadStore(t *testing.T) {
	c := newCluster(t, 7)
	c.run(5 * time.Second)
	clear(c.storeCalls)
	c.run(30 * time.Second)
	assert.Equal(t, len(c.storeCalls), readersPerCentre, "%v", c.storeCalls)
}

// TestAcksRoundTrip guards against acknowledgements that are decoded as higher than they were sent.
func TestAcksRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		states := make([]memberState, rapid.IntRange(1, 400).Draw(t, "members"))
		for i := range states {
			if rapid.IntRange(0, 9).Draw(t, "differs") == 0 {
				states[i].acked = api.Revision(rapid.Uint64Range(0, 1000).Draw(t, "acked"))
			} else {
				states[i].acked = rapid.SampledFrom([]api.Revision{900, ackAll}).Draw(t, "usual")
			}
		}
		decoded, valid := encodeAcks(states).decode(len(states))
		assert.Assert(t, valid)
		for i := range states {
			if decoded[i] != states[i].acked {
				assert.Equal(t, decoded[i], api.Revision(0))
				assert.Assert(t, states[i].acked < 900)
			}
		}
	})
}

// TestStandaloneHostServes guards against a host without peers that waits for other hosts.
func TestStandaloneHostServes(t *testing.T) {
	s := &Service{Standalone: true}
	_, err := s.Gate("w", "p", 1)
	assertKind(t, err, api.KindHostIsolated)
	s.Timer = emptyCluster().newTimer()
	s.Apply(&document.Snapshot{Revision: 1})
	wait, err := s.Gate("w", "p", 1)
	assert.NilError(t, err)
	assert.Assert(t, wait == nil)
	assert.Equal(t, len(s.Addresses("dc").Hosts), 1)
}

// TestSlowMessages guards against evidence that appears younger than it is because an answer
// or a request was delayed.
func TestSlowMessages(t *testing.T) {
	c := newCluster(t, 5)
	c.storeDown = true
	asking, asked := c.hosts[0], c.hosts[1]
	c.clock.advance(5 * time.Second)
	for _, host := range c.hosts[1:] {
		for _, address := range host.Targets()[1:] {
			_ = host.Exchange(context.Background(), address)
		}
	}
	assertKind(t, asking.Fresh(), api.KindHostIsolated)
	pushed := asked.newMessage(asking.Self.Host, asking.listVersion())
	assert.Assert(t, pushed.Fresh != nil)
	asking.Receive(pushed)
	assertKind(t, asking.Fresh(), api.KindHostIsolated)
	c.delayHook = func() { c.clock.advance(500 * time.Millisecond) }
	start := asking.now()
	assert.NilError(t, asking.Exchange(context.Background(), asked.Self.Peer))
	assert.Assert(t, asking.currentEvidence.at <= start)
	for _, known := range asking.states {
		assert.Assert(t, known.confirmedAt <= start)
	}
	assert.NilError(t, asking.Fresh())
	c.clock.advance(1500 * time.Millisecond)
	assertKind(t, asking.Fresh(), api.KindHostIsolated)
}

// TestNewListResetsConfirmations guards against a change of the member list that relies on hosts
// which do not know the previous list.
func TestNewListResetsConfirmations(t *testing.T) {
	c := newCluster(t, 3)
	host := c.hosts[1]
	_, contact := host.majorityConfirmedAt()
	assert.Assert(t, contact)
	host.mergeDocuments(map[api.DataCentre]VersionedDocument{"other": {Version: host.listVersion() + 1}})
	_, contact = host.majorityConfirmedAt()
	assert.Assert(t, !contact)
}

// TestHandoverWaitsForTheManifest guards against a handover that completes without a host
// that the manifest lists and this host does not know yet.
func TestHandoverWaitsForTheManifest(t *testing.T) {
	c := newCluster(t, 5)
	c.commit(true)
	for _, host := range c.hosts {
		host.ManifestHosts = func() []api.HostID { return append(c.manifestMembers[1], "joined-just-before") }
	}
	c.run(2 * time.Second)
	assertKind(t, c.startRequest(c.hosts[0]), api.KindHandover)
	c.run(3 * time.Second)
	assert.NilError(t, c.startRequest(c.hosts[0]))
}

// TestUnreachableReaderIsNotRemoved guards against the removal of a host from which no
// other host hears but that still serves on its own reads of the store.
func TestUnreachableReaderIsNotRemoved(t *testing.T) {
	c := newCluster(t, 5)
	silent := c.hosts[4]
	silent.partition = 1
	for range 240 {
		c.step(250 * time.Millisecond)
		_, listed := c.hosts[0].list.index[silent.Self.Host]
		assert.Assert(t, listed)
	}
	assert.NilError(t, c.startRequest(silent))
}

// TestReadOfUnregisteredHost guards against a host that serves on a read that shows it as
// unregistered or marked for removal, so that no handover waits for it.
func TestReadOfUnregisteredHost(t *testing.T) {
	c := newCluster(t, 3)
	host := c.hosts[0]
	before := host.currentEvidence.at
	for _, change := range []func(*Document){
		editMember(host.Self.Host, func(m *Member) { m.Removing = true }),
		func(doc *Document) { doc.Members = withoutHost(doc.Members, host.Self.Host) },
	} {
		c.clock.advance(100 * time.Millisecond)
		assert.NilError(t, c.hosts[1].updateOwnDocument(context.Background(), change))
		assert.NilError(t, host.readAll(context.Background()))
		assert.Equal(t, host.currentEvidence.at, before)
		assert.Assert(t, !host.storeReads.registered)
	}
}

// TestRemovedHostDelaysHandover guards against a handover that ignores a host which was removed
// from the list and may still be fresh.
func TestRemovedHostDelaysHandover(t *testing.T) {
	c := newCluster(t, 5)
	dropped := c.hosts[4]
	dropped.paused = true
	gone := func(doc *Document) { doc.Members = withoutHost(doc.Members, dropped.Self.Host) }
	assert.NilError(t, c.hosts[1].updateOwnDocument(context.Background(), gone))
	c.run(500 * time.Millisecond)
	c.commit(true)
	c.run(time.Second)
	assertKind(t, c.startRequest(c.hosts[0]), api.KindHandover)
	c.run(2 * time.Second)
	assert.NilError(t, c.startRequest(c.hosts[0]))
}

// TestAcknowledgementWaitsForStarts guards against an acknowledgement while a start under the
// old snapshot is in progress.
func TestAcknowledgementWaitsForStarts(t *testing.T) {
	c := newCluster(t, 1)
	host := c.hosts[0]
	start := host.activeStarts.enter()
	c.commit(true)
	applied := make(chan struct{})
	go func() {
		defer close(applied)
		host.Apply(c.snapshots[1])
	}()
	for host.revision() != 2 {
		time.Sleep(time.Millisecond)
	}
	for range 100 {
		assert.Equal(t, host.Receive(Message{From: Member{Host: "other"}}).Acked, api.Revision(1))
		time.Sleep(time.Millisecond)
	}
	start.Add(-1)
	<-applied
	assert.Equal(t, host.Receive(Message{From: Member{Host: "other"}}).Acked, api.Revision(2))
}

// TestRestartOfAllHosts guards against new processes that wait forever for the processes that
// they have replaced at their addresses.
func TestRestartOfAllHosts(t *testing.T) {
	c := newCluster(t, 3)
	for _, host := range c.hosts {
		host.dead = true
	}
	for _, host := range c.hosts[:3] {
		c.addHostAt(string(host.Self.Peer))
	}
	c.run(5 * time.Second)
	for _, host := range c.hosts[3:] {
		assert.NilError(t, c.startRequest(host))
		assert.Equal(t, host.list.voters, 3)
	}
}

// TestSkippedRevision guards against a host that skips a move and its reversal, sees no
// difference, and serves while other hosts still serve by the move.
func TestSkippedRevision(t *testing.T) {
	c := newCluster(t, 5)
	late := c.hosts[4]
	late.paused = true
	c.commit(true)
	c.run(5 * time.Second)
	assert.NilError(t, c.startRequest(c.hosts[0]))
	c.commit(true)
	late.paused = false
	late.Apply(c.snapshots[2])
	assert.NilError(t, late.readAll(context.Background()))
	assertKind(t, c.startRequest(late), api.KindHandover)
	assert.NilError(t, c.startRequest(c.hosts[0]))
	c.run(time.Second)
	assert.NilError(t, c.startRequest(late))
	assert.Equal(t, c.newestMove, 3)
	assert.Equal(t, len(c.violations), 0, "%v", c.violations)
}
