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

func lists(answer api.AddressList, host *node) bool {
	for _, entry := range answer.Hosts {
		if entry.Host == host.Self.Host {
			return true
		}
	}
	return false
}

// TestPartitionOfOneHost guards against a cut-off host that goes on serving or stays in address lists.
func TestPartitionOfOneHost(t *testing.T) {
	c := newCluster(t, 5)
	lost := c.hosts[2]
	lost.side, lost.cut = 1, true
	c.run(4 * time.Second)
	assertKind(t, c.begin(lost), api.KindHostIsolated)
	assert.Assert(t, !lists(c.hosts[0].Addresses("dc"), lost))
	own := lost.Addresses("dc")
	assert.Assert(t, !lists(own, lost))
	assert.Equal(t, len(own.Hosts), 4)
	assert.NilError(t, c.begin(c.hosts[0]))
	lost.side, lost.cut = 0, false
	c.run(time.Second)
	assert.NilError(t, c.begin(lost))
	assert.Assert(t, lists(c.hosts[0].Addresses("dc"), lost))
}

// TestPartitionOfMinority guards against a minority without the store that serves, and a majority that stops.
func TestPartitionOfMinority(t *testing.T) {
	c := newCluster(t, 5)
	c.down = true
	c.hosts[0].side, c.hosts[1].side = 1, 1
	c.run(4 * time.Second)
	for i, host := range c.hosts {
		if i < 2 {
			assertKind(t, c.begin(host), api.KindHostIsolated)
		} else {
			assert.NilError(t, c.begin(host))
		}
	}
}

// TestStoreOutage guards against hosts that stop serving while the store is out and all peers are reachable.
func TestStoreOutage(t *testing.T) {
	c := newCluster(t, 5)
	c.down = true
	for range 40 {
		c.run(2 * time.Second)
		for _, host := range c.hosts {
			assert.NilError(t, c.begin(host))
		}
	}
}

// TestPauseOverChange guards against a host that serves the old version after a pause.
func TestPauseOverChange(t *testing.T) {
	c := newCluster(t, 5)
	frozen := c.hosts[1]
	frozen.paused = true
	c.commit(true)
	c.run(time.Second)
	assertKind(t, c.begin(c.hosts[0]), api.KindHandover)
	c.run(4 * time.Second)
	assert.NilError(t, c.begin(c.hosts[0]))
	frozen.paused = false
	assertKind(t, c.begin(frozen), api.KindHostIsolated)
	c.run(time.Second)
	assert.NilError(t, c.begin(frozen))
	assert.Equal(t, len(c.faults), 0, "%v", c.faults)
}

// TestCheckDropsEvidenceOfPausedHost guards against evidence that outlives a pause
// during which the monotonic clock stood still.
func TestCheckDropsEvidenceOfPausedHost(t *testing.T) {
	c := newCluster(t, 3)
	c.hosts[0].Check()
	c.clock.advance(2 * time.Second)
	assert.NilError(t, c.hosts[0].Fresh())
	c.hosts[0].Check()
	assertKind(t, c.hosts[0].Fresh(), api.KindHostIsolated)
}

// TestJoinDuringOutage guards against a host that can't start without the store,
// and against a handover that is completed without it.
func TestJoinDuringOutage(t *testing.T) {
	c := newCluster(t, 5)
	c.down = true
	joined := c.join()
	c.run(2 * time.Second)
	assert.NilError(t, c.begin(joined))
	assert.Assert(t, c.hosts[0].strays[joined.Self.Host] != nil)
	assert.Assert(t, lists(c.hosts[0].Addresses("dc"), joined))
	joined.paused, c.down = true, false
	c.commit(true)
	c.run(2 * time.Second)
	assertKind(t, c.begin(c.hosts[0]), api.KindHandover)
	joined.paused = false
	c.run(time.Second)
	assert.NilError(t, c.begin(c.hosts[0]))
	assert.NilError(t, c.begin(joined))
	assert.Equal(t, len(c.faults), 0, "%v", c.faults)
}

// TestUnregisteredHostListsItselfOnce guards against a host that learns of itself from
// others, so that its callers use it twice as often as the others.
func TestUnregisteredHostListsItselfOnce(t *testing.T) {
	c := newCluster(t, 3)
	c.down = true
	joined := c.join()
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

// TestTwoFastChanges guards against a handover that mixes up two changes in a row,
// and against a host that skips one and misses its moves.
func TestTwoFastChanges(t *testing.T) {
	c := newCluster(t, 5)
	late := c.hosts[4]
	late.side, late.cut = 1, true
	c.commit(true)
	c.step(100 * time.Millisecond)
	assertKind(t, c.begin(c.hosts[0]), api.KindHandover)
	c.commit(false)
	c.commit(true)
	late.side, late.cut = 0, false
	c.step(100 * time.Millisecond)
	c.run(time.Second)
	for _, host := range c.hosts {
		assert.NilError(t, c.begin(host))
	}
	assert.Equal(t, c.newest, 3)
	assert.Equal(t, len(c.faults), 0, "%v", c.faults)
}

// TestMajorityPath guards against one dead host that blocks a change, or a change
// that does not wait for its freshness to expire.
func TestMajorityPath(t *testing.T) {
	c := newCluster(t, 5)
	c.hosts[3].dead = true
	c.commit(true)
	c.run(3 * time.Second)
	assertKind(t, c.begin(c.hosts[0]), api.KindHandover)
	c.run(2 * time.Second)
	assert.NilError(t, c.begin(c.hosts[0]))
	assert.Equal(t, c.newest, 2)
}

// TestCutOffMajority guards against a majority without the store that serves the
// old version while hosts join and leave on the other side.
func TestCutOffMajority(t *testing.T) {
	c := newCluster(t, 5)
	for _, host := range c.hosts[:3] {
		host.side, host.cut = 1, true
	}
	for range 3 {
		c.join()
	}
	c.run(time.Minute)
	c.commit(true)
	c.run(10 * time.Second)
	for _, host := range c.hosts {
		_ = c.begin(host)
		_ = c.begin(c.hosts[0])
	}
	assert.Equal(t, len(c.faults), 0, "%v", c.faults)
}

// TestRemovalOfDeadHost guards against dead hosts that stay in the member document
// and live ones that are taken out.
func TestRemovalOfDeadHost(t *testing.T) {
	c := newCluster(t, 5)
	c.hosts[0].dead = true
	c.run(20 * time.Second)
	assert.Equal(t, len(c.hosts[1].list.members), 4)
	assert.Equal(t, c.hosts[1].list.voters, 4)
	c.commit(true)
	c.run(time.Second)
	assert.NilError(t, c.begin(c.hosts[1]))
}

// TestDrain guards against a leaving host that is still listed, refuses too early,
// or delays a handover after it has closed.
func TestDrain(t *testing.T) {
	c := newCluster(t, 5)
	leaving := c.hosts[0]
	leaving.draining.Store(true)
	c.step(100 * time.Millisecond)
	for _, host := range c.hosts {
		assert.Assert(t, !lists(host.Addresses("dc"), leaving))
	}
	assert.NilError(t, c.begin(leaving))
	leaving.refuse()
	assertKind(t, c.begin(leaving), api.KindDraining)
	c.step(100 * time.Millisecond)
	assert.NilError(t, leaving.Leave(context.Background()))
	leaving.dead = true
	c.commit(true)
	c.run(1500 * time.Millisecond)
	assert.NilError(t, c.begin(c.hosts[1]))
	assert.Equal(t, c.newest, 2)
}

// TestHeldRequestIsWoken guards against a request that waits past the end of its handover.
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
	c.hosts[0].finish(2)
	c.hosts[0].mu.Unlock()
	<-wait
	assert.NilError(t, c.begin(c.hosts[0]))
}

// TestGateFollowsTheRevisionInForce guards against a start under a snapshot that the
// gate has not seen yet, or has left behind.
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

// TestNoStartAfterAcknowledgement guards against a start under the old snapshot
// that goes on in another goroutine when the new one is acknowledged.
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

// TestStoreCallsDoNotGrow guards against store reads by every host.
func TestStoreCallsDoNotGrow(t *testing.T) {
	c := newCluster(t, 7)
	c.run(5 * time.Second)
	clear(c.calls)
	c.run(30 * time.Second)
	assert.Equal(t, len(c.calls), readersPerCentre, "%v", c.calls)
}

// TestAcksSurviveTheWire guards against acknowledgements that arrive higher than they were sent.
func TestAcksSurviveTheWire(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		states := make([]state, rapid.IntRange(1, 400).Draw(t, "members"))
		for i := range states {
			if rapid.IntRange(0, 9).Draw(t, "differs") == 0 {
				states[i].acked = api.Revision(rapid.Uint64Range(0, 1000).Draw(t, "acked"))
			} else {
				states[i].acked = rapid.SampledFrom([]api.Revision{900, never}).Draw(t, "usual")
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

// TestAloneHostServes guards against a host without peers that waits for any.
func TestAloneHostServes(t *testing.T) {
	s := &Service{Alone: true}
	_, err := s.Gate("w", "p", 1)
	assertKind(t, err, api.KindHostIsolated)
	s.Timer = emptyCluster().alone()
	s.Apply(&document.Snapshot{Revision: 1})
	wait, err := s.Gate("w", "p", 1)
	assert.NilError(t, err)
	assert.Assert(t, wait == nil)
	assert.Equal(t, len(s.Addresses("dc").Hosts), 1)
}

// TestSlowMessages guards against evidence that a delay on the way makes younger
// than it is, in an answer and in a request.
func TestSlowMessages(t *testing.T) {
	c := newCluster(t, 5)
	c.down = true
	asking, asked := c.hosts[0], c.hosts[1]
	c.clock.advance(5 * time.Second)
	for _, host := range c.hosts[1:] {
		for _, address := range host.Targets()[1:] {
			_ = host.Exchange(context.Background(), address)
		}
	}
	assertKind(t, asking.Fresh(), api.KindHostIsolated)
	pushed := asked.message(asking.Self.Host, asking.listVersion())
	assert.Assert(t, pushed.Fresh != nil)
	asking.Receive(pushed)
	assertKind(t, asking.Fresh(), api.KindHostIsolated)
	c.delay = func() { c.clock.advance(500 * time.Millisecond) }
	start := asking.now()
	assert.NilError(t, asking.Exchange(context.Background(), asked.Self.Peer))
	assert.Assert(t, asking.current.at <= start)
	for _, known := range asking.states {
		assert.Assert(t, known.proof <= start)
	}
	assert.NilError(t, asking.Fresh())
	c.clock.advance(1500 * time.Millisecond)
	assertKind(t, asking.Fresh(), api.KindHostIsolated)
}

// TestNewListNeedsNewProofs guards against a change of the member list that rests
// on hosts which do not know the list before it.
func TestNewListNeedsNewProofs(t *testing.T) {
	c := newCluster(t, 3)
	host := c.hosts[1]
	_, contact := host.majorityProof()
	assert.Assert(t, contact)
	host.adopt(map[api.DataCentre]Versioned{"other": {Version: host.listVersion() + 1}})
	_, contact = host.majorityProof()
	assert.Assert(t, !contact)
}

// TestHandoverWaitsForTheManifest guards against a handover that is completed
// without a host that the commit knew and this host does not know yet.
func TestHandoverWaitsForTheManifest(t *testing.T) {
	c := newCluster(t, 5)
	c.commit(true)
	for _, host := range c.hosts {
		host.Roster = func() []api.HostID { return append(c.rosters[1], "joined-just-before") }
	}
	c.run(2 * time.Second)
	assertKind(t, c.begin(c.hosts[0]), api.KindHandover)
	c.run(3 * time.Second)
	assert.NilError(t, c.begin(c.hosts[0]))
}

// TestSilentReaderStays guards against the removal of a host that no other host
// hears but that still serves on its own reads of the store.
func TestSilentReaderStays(t *testing.T) {
	c := newCluster(t, 5)
	silent := c.hosts[4]
	silent.side = 1
	for range 240 {
		c.step(250 * time.Millisecond)
		_, listed := c.hosts[0].list.index[silent.Self.Host]
		assert.Assert(t, listed)
	}
	assert.NilError(t, c.begin(silent))
}

// TestReadOfUnregisteredHost guards against a host that serves on a read which
// shows that no handover waits for it.
func TestReadOfUnregisteredHost(t *testing.T) {
	c := newCluster(t, 3)
	host := c.hosts[0]
	before := host.current.at
	for _, change := range []func(*Document){
		edit(host.Self.Host, func(m *Member) { m.Removing = true }),
		func(doc *Document) { doc.Members = without(doc.Members, host.Self.Host) },
	} {
		c.clock.advance(100 * time.Millisecond)
		assert.NilError(t, c.hosts[1].change(context.Background(), change))
		assert.NilError(t, host.readAll(context.Background()))
		assert.Equal(t, host.current.at, before)
		assert.Assert(t, !host.reading.registered)
	}
}

// TestDroppedHostHoldsHandover guards against a handover that forgets a host which
// was taken out of the list and may still be fresh.
func TestDroppedHostHoldsHandover(t *testing.T) {
	c := newCluster(t, 5)
	dropped := c.hosts[4]
	dropped.paused = true
	gone := func(doc *Document) { doc.Members = without(doc.Members, dropped.Self.Host) }
	assert.NilError(t, c.hosts[1].change(context.Background(), gone))
	c.run(500 * time.Millisecond)
	c.commit(true)
	c.run(time.Second)
	assertKind(t, c.begin(c.hosts[0]), api.KindHandover)
	c.run(2 * time.Second)
	assert.NilError(t, c.begin(c.hosts[0]))
}

// TestAcknowledgementWaitsForStarts guards against an acknowledgement while a start
// under the old snapshot is in progress.
func TestAcknowledgementWaitsForStarts(t *testing.T) {
	c := newCluster(t, 1)
	host := c.hosts[0]
	start := host.starts.enter()
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

// TestRestartOfAllHosts guards against new processes that wait for ever for those
// which they replaced at their addresses.
func TestRestartOfAllHosts(t *testing.T) {
	c := newCluster(t, 3)
	for _, host := range c.hosts {
		host.dead = true
	}
	for _, host := range c.hosts[:3] {
		c.start(string(host.Self.Peer))
	}
	c.run(5 * time.Second)
	for _, host := range c.hosts[3:] {
		assert.NilError(t, c.begin(host))
		assert.Equal(t, host.list.voters, 3)
	}
}

// TestSkippedRevision guards against a host that skips a move and its reversal, sees
// no difference, and serves while others still serve by the move.
func TestSkippedRevision(t *testing.T) {
	c := newCluster(t, 5)
	late := c.hosts[4]
	late.paused = true
	c.commit(true)
	c.run(5 * time.Second)
	assert.NilError(t, c.begin(c.hosts[0]))
	c.commit(true)
	late.paused = false
	late.Apply(c.snapshots[2])
	assert.NilError(t, late.readAll(context.Background()))
	assertKind(t, c.begin(late), api.KindHandover)
	assert.NilError(t, c.begin(c.hosts[0]))
	c.run(time.Second)
	assert.NilError(t, c.begin(late))
	assert.Equal(t, c.newest, 3)
	assert.Equal(t, len(c.faults), 0, "%v", c.faults)
}
