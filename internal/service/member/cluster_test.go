package member

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingloft/internal/data/document"
	"redwingloft/internal/data/store"
	"redwingloft/internal/helper/fault"
	"redwingloft/internal/helper/timer"
	"redwingloft/internal/plugin/memory"
	"redwingloft/pkg/api"
)

// manualClock is a clock that the test advances while services read it, possibly from other
// goroutines.
type manualClock struct{ passed atomic.Int64 }

func (c *manualClock) now() time.Time { return time.Unix(1_700_000_000, c.passed.Load()) }

func (c *manualClock) advance(d time.Duration) { c.passed.Add(int64(d)) }

// cluster runs several services in one process on one manual clock.
type cluster struct {
	clock manualClock
	kv    *memory.Store
	keys  store.Keys
	hosts []*node
	// storeDown makes the store fail for every host.
	storeDown bool
	// delayHook is called before and after each message delivery and before each store
	// call; a test may advance the clock in it.
	delayHook func()
	// snapshots and manifestMembers are parallel: entry i belongs to revision i+1.
	snapshots       []*document.Snapshot
	manifestMembers [][]api.HostID
	storeCalls      map[api.HostID]int
	// moves counts the moves of the workspace up to each revision.
	moves []int
	// newestMove is the highest count of moves under which any host has started a request.
	newestMove int
	violations []string
}

type node struct {
	*Service
	cluster *cluster
	// partition is the network partition of the host: messages pass only within a partition.
	partition int
	// storeUnreachable is true if the host can't reach the store.
	storeUnreachable bool
	paused           bool
	dead             bool
}

// nodeStore is the store as seen by one host.
type nodeStore struct {
	*memory.Store
	node *node
}

func (g nodeStore) checkReachable() error {
	g.node.cluster.storeCalls[g.node.Self.Host]++
	g.node.cluster.simulateDelay()
	if g.node.cluster.storeDown || g.node.storeUnreachable || g.node.dead {
		return store.ErrUnavailable.New("outage")
	}
	return nil
}

func (g nodeStore) Get(ctx context.Context, key string) (*store.Entry, error) {
	if err := g.checkReachable(); err != nil {
		return nil, err
	}
	return g.Store.Get(ctx, key)
}

func (g nodeStore) List(ctx context.Context, prefix, from string, limit int) ([]store.Entry, error) {
	if err := g.checkReachable(); err != nil {
		return nil, err
	}
	return g.Store.List(ctx, prefix, from, limit)
}

func (g nodeStore) Txn(ctx context.Context, txn store.Txn) (store.TxnResult, error) {
	if err := g.checkReachable(); err != nil {
		return store.TxnResult{}, err
	}
	return g.Store.Txn(ctx, txn)
}

// newCluster starts hosts and lets them exchange state until all are voters.
func newCluster(t testing.TB, count int) *cluster {
	c := emptyCluster()
	c.commit(true)
	for range count {
		c.addHost()
	}
	for range 8 * count {
		c.step(100 * time.Millisecond)
	}
	for _, host := range c.hosts {
		assert.Equal(t, host.list.voters, count)
		assert.NilError(t, c.startRequest(host))
	}
	return c
}

func emptyCluster() *cluster {
	return &cluster{kv: memory.New(), storeCalls: map[api.HostID]int{}}
}

func (c *cluster) simulateDelay() {
	if c.delayHook != nil {
		c.delayHook()
	}
}

// addHost adds a host that registers at its start.
func (c *cluster) addHost() *node { return c.addHostAt(fmt.Sprintf("p%02d", len(c.hosts))) }

// addHostAt adds a host with the given address.
func (c *cluster) addHostAt(address string) *node {
	n := c.newNode(address)
	n.ReadStore(context.Background())
	n.waitForFetch()
	return n
}

// newNode adds a host that has not done anything.
func (c *cluster) newNode(address string) *node {
	id := fmt.Sprintf("h%02d", len(c.hosts))
	n := &node{cluster: c}
	n.Service = &Service{
		Self:  Member{Host: api.HostID(id), Caller: api.Address("c" + address), Peer: api.Address(address), DataCentre: "dc"},
		Store: nodeStore{c.kv, n}, Keys: c.keys, Timer: &timer.Service{Clock: c.clock.now},
		RemovalAge: 10 * time.Second, Send: c.sender(n), OnNewerRevision: c.fetcher(n),
	}
	n.ManifestHosts = func() []api.HostID {
		if revision := n.revision(); revision > 0 {
			return c.manifestMembers[revision-1]
		}
		return nil
	}
	if len(c.hosts) > 0 {
		n.Seeds = []api.Address{c.hosts[0].Self.Peer, c.hosts[len(c.hosts)-1].Self.Peer}
	}
	c.hosts = append(c.hosts, n)
	return n
}

func (c *cluster) sender(from *node) func(context.Context, api.Address, Message) (Message, error) {
	return func(_ context.Context, address api.Address, message Message) (Message, error) {
		for _, to := range c.hosts {
			if to.Self.Peer != address || to.dead {
				continue
			}
			if to.paused || from.dead || to.partition != from.partition {
				return Message{}, errors.New("no route")
			}
			c.simulateDelay()
			answer := to.Receive(message)
			to.waitForFetch()
			c.simulateDelay()
			return answer, nil
		}
		return Message{}, errors.New("no host")
	}
}

// fetcher returns a function that applies the revision known to the peer or the store.
func (c *cluster) fetcher(n *node) func(api.Address, api.Revision) {
	return func(from api.Address, revision api.Revision) {
		if from == "" && (c.storeDown || n.storeUnreachable) {
			return
		}
		n.Apply(c.snapshots[revision-1])
	}
}

// waitForFetch waits for a fetch in progress, so that steps run one after another.
func (n *node) waitForFetch() {
	n.fetching.Lock()
	defer n.fetching.Unlock()
}

// commit stores a new revision, with or without a move of the workspace between its two
// versions.
func (c *cluster) commit(move bool) {
	moved := 0
	if len(c.moves) > 0 {
		moved = c.moves[len(c.moves)-1]
	}
	if move {
		moved++
	}
	c.moves = append(c.moves, moved)
	named := &document.Version{Name: versionAfterMoves(moved)}
	workspace := &document.CompiledWorkspace{Versions: map[api.PipelineName]*document.Version{"p": named}}
	c.snapshots = append(c.snapshots, &document.Snapshot{
		Revision:   api.Revision(len(c.snapshots) + 1),
		Workspaces: map[api.WorkspaceName]*document.CompiledWorkspace{"w": workspace},
	})
	reader := &Service{Store: c.kv, Keys: c.keys}
	documents, _ := reader.readDocuments(context.Background())
	var roster []api.HostID
	for _, member := range newMemberList(documents).members {
		roster = append(roster, member.Host)
	}
	c.manifestMembers = append(c.manifestMembers, roster)
	value := fmt.Sprintf(`{"revision":%d}`, len(c.snapshots))
	_, _ = c.kv.Txn(context.Background(), store.Txn{Puts: []store.Put{{Key: c.keys.Manifest(), Value: []byte(value)}}})
}

// versionAfterMoves returns the version that serves after a number of moves.
func versionAfterMoves(moved int) api.VersionName {
	return []api.VersionName{"even", "odd"}[moved%2]
}

// startRequest tries to start a request at once. It records a violation if a host starts one
// under an older version after any host has started one under a newer version.
func (c *cluster) startRequest(n *node) error {
	revision := n.revision()
	wait, err := n.Gate("w", "p", revision)
	if err != nil {
		return err
	}
	if wait != nil {
		return fault.New(api.KindHandover, "held")
	}
	moved := c.moves[revision-1]
	if moved < c.newestMove && versionAfterMoves(moved) != versionAfterMoves(c.newestMove) {
		c.violations = append(c.violations, fmt.Sprintf("%s started a request as of move %d after one as of move %d", n.Self.Host, moved, c.newestMove))
	}
	c.newestMove = max(c.newestMove, moved)
	return nil
}

// runPeriodicTasks runs the periodic tasks of one host once.
func (n *node) runPeriodicTasks() {
	if n.dead || n.paused {
		return
	}
	n.Check()
	n.ReadStore(context.Background())
	n.waitForFetch()
	for _, address := range n.Targets() {
		_ = n.Exchange(context.Background(), address)
		n.waitForFetch()
	}
}

// step advances the clock and runs the periodic tasks of every host.
func (c *cluster) step(d time.Duration) {
	c.clock.advance(d)
	for _, host := range c.hosts {
		host.runPeriodicTasks()
	}
}

func (c *cluster) run(d time.Duration) {
	for end := c.clock.now().Add(d); c.clock.now().Before(end); {
		c.step(250 * time.Millisecond)
	}
}

func assertKind(t *testing.T, err error, kind api.Kind) {
	t.Helper()
	assert.Assert(t, err != nil, "the request was started")
	assert.Equal(t, fault.KindOf(err), kind)
	assert.Equal(t, fault.RunStateOf(err), api.RunNo)
}

func (c *cluster) newTimer() *timer.Service {
	return &timer.Service{Clock: c.clock.now}
}
