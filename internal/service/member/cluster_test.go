package member

import (
	"context"
	"errors"
	"fmt"
	"runtime"
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

// manualClock is a time that the test advances while services read it, also from
// goroutines of their own.
type manualClock struct{ passed atomic.Int64 }

func (c *manualClock) now() time.Time { return time.Unix(1_700_000_000, c.passed.Load()) }

func (c *manualClock) advance(d time.Duration) { c.passed.Add(int64(d)) }

// cluster runs several services in one process on one clock that the test advances.
type cluster struct {
	clock manualClock
	kv    *memory.Store
	keys  store.Keys
	hosts []*node
	// down makes the store fail for every host.
	down bool
	// delay is called before and after a message is delivered; a test may advance the clock in it.
	delay func()
	// snapshots and rosters are parallel: entry i is revision i+1.
	snapshots []*document.Snapshot
	rosters   [][]api.HostID
	calls     map[api.HostID]int
	// moves counts the moves of the workspace up to each revision.
	moves []int
	// newest is the highest count of moves under which any host has started a request.
	newest int
	faults []string
}

type node struct {
	*Service
	cluster *cluster
	// side separates partitions: messages pass between hosts of one side.
	side int
	// cut is true where the host does not reach the store.
	cut    bool
	paused bool
	dead   bool
}

// gateStore is the store as one host sees it.
type gateStore struct {
	*memory.Store
	node *node
}

func (g gateStore) reach() error {
	g.node.cluster.calls[g.node.Self.Host]++
	g.node.cluster.wait()
	if g.node.cluster.down || g.node.cut || g.node.dead {
		return store.ErrUnavailable.New("outage")
	}
	return nil
}

func (g gateStore) Get(ctx context.Context, key string) (*store.Entry, error) {
	if err := g.reach(); err != nil {
		return nil, err
	}
	return g.Store.Get(ctx, key)
}

func (g gateStore) List(ctx context.Context, prefix, from string, limit int) ([]store.Entry, error) {
	if err := g.reach(); err != nil {
		return nil, err
	}
	return g.Store.List(ctx, prefix, from, limit)
}

func (g gateStore) Txn(ctx context.Context, txn store.Txn) (store.TxnResult, error) {
	if err := g.reach(); err != nil {
		return store.TxnResult{}, err
	}
	return g.Store.Txn(ctx, txn)
}

// newCluster starts hosts and lets them meet until all are voters.
func newCluster(t testing.TB, count int) *cluster {
	c := emptyCluster()
	c.commit(true)
	for range count {
		c.join()
	}
	for range 8 * count {
		c.step(100 * time.Millisecond)
	}
	for _, host := range c.hosts {
		assert.Equal(t, host.list.voters, count)
		assert.NilError(t, c.begin(host))
	}
	return c
}

func emptyCluster() *cluster {
	return &cluster{kv: memory.New(), calls: map[api.HostID]int{}}
}

func (c *cluster) wait() {
	if c.delay != nil {
		c.delay()
	}
}

// join adds a host that does what a process does at its start.
func (c *cluster) join() *node { return c.start(fmt.Sprintf("p%02d", len(c.hosts))) }

// start starts a process at an address.
func (c *cluster) start(address string) *node {
	id := fmt.Sprintf("h%02d", len(c.hosts))
	n := &node{cluster: c}
	n.Service = &Service{
		Self:  Member{Host: api.HostID(id), Caller: api.Address("c" + address), Peer: api.Address(address), DataCentre: "dc"},
		Store: gateStore{c.kv, n}, Keys: c.keys, Timer: &timer.Service{Clock: c.clock.now},
		Removal: 10 * time.Second, Send: c.sender(n), Newer: c.fetcher(n),
	}
	n.Roster = func() []api.HostID {
		if revision := n.revision(); revision > 0 {
			return c.rosters[revision-1]
		}
		return nil
	}
	if len(c.hosts) > 0 {
		n.Seeds = []api.Address{c.hosts[0].Self.Peer, c.hosts[len(c.hosts)-1].Self.Peer}
	}
	c.hosts = append(c.hosts, n)
	n.ReadStore(context.Background())
	n.settleFetch()
	return n
}

func (c *cluster) sender(from *node) func(context.Context, api.Address, Message) (Message, error) {
	return func(_ context.Context, address api.Address, message Message) (Message, error) {
		for _, to := range c.hosts {
			if to.Self.Peer != address || to.dead {
				continue
			}
			if to.paused || from.dead || to.side != from.side {
				return Message{}, errors.New("no route")
			}
			c.wait()
			answer := to.Receive(message)
			to.settleFetch()
			c.wait()
			return answer, nil
		}
		return Message{}, errors.New("no host")
	}
}

// fetcher applies the revision that the peer or the store has.
func (c *cluster) fetcher(n *node) func(api.Address, api.Revision) {
	return func(from api.Address, revision api.Revision) {
		if from == "" && (c.down || n.cut) {
			return
		}
		n.Apply(c.snapshots[revision-1])
	}
}

// settleFetch waits for a fetch in progress, so that steps run one after another.
func (n *node) settleFetch() {
	for n.fetching.Load() {
		runtime.Gosched()
	}
}

// commit puts a revision in the store, with or without a move of the workspace
// between its two versions.
func (c *cluster) commit(move bool) {
	moved := 0
	if len(c.moves) > 0 {
		moved = c.moves[len(c.moves)-1]
	}
	if move {
		moved++
	}
	c.moves = append(c.moves, moved)
	named := &document.Version{Name: versionAfter(moved)}
	workspace := &document.CompiledWorkspace{Versions: map[api.PipelineName]*document.Version{"p": named}}
	c.snapshots = append(c.snapshots, &document.Snapshot{
		Revision:   api.Revision(len(c.snapshots) + 1),
		Workspaces: map[api.WorkspaceName]*document.CompiledWorkspace{"w": workspace},
	})
	reader := &Service{Store: c.kv, Keys: c.keys}
	documents, _ := reader.readDocuments(context.Background())
	var roster []api.HostID
	for _, member := range newList(documents).members {
		roster = append(roster, member.Host)
	}
	c.rosters = append(c.rosters, roster)
	value := fmt.Sprintf(`{"revision":%d}`, len(c.snapshots))
	_, _ = c.kv.Txn(context.Background(), store.Txn{Puts: []store.Put{{Key: c.keys.Manifest(), Value: []byte(value)}}})
}

// versionAfter returns the version that serves after a number of moves.
func versionAfter(moved int) api.VersionName {
	return []api.VersionName{"even", "odd"}[moved%2]
}

// begin tries to start a request at once and checks that no host starts one under
// an older opinion on the version once any has started one under a newer.
func (c *cluster) begin(n *node) error {
	revision := n.revision()
	wait, err := n.Gate("w", "p", revision)
	if err != nil {
		return err
	}
	if wait != nil {
		return fault.New(api.KindHandover, "held")
	}
	moved := c.moves[revision-1]
	if moved < c.newest && versionAfter(moved) != versionAfter(c.newest) {
		c.faults = append(c.faults, fmt.Sprintf("%s started a request as of move %d after one as of move %d", n.Self.Host, moved, c.newest))
	}
	c.newest = max(c.newest, moved)
	return nil
}

// drive lets one host do its periodic work once.
func (n *node) drive() {
	if n.dead || n.paused {
		return
	}
	n.Check()
	n.ReadStore(context.Background())
	n.settleFetch()
	for _, address := range n.Targets() {
		_ = n.Exchange(context.Background(), address)
		n.settleFetch()
	}
}

// step lets time pass and drives every host.
func (c *cluster) step(d time.Duration) {
	c.clock.advance(d)
	for _, host := range c.hosts {
		host.drive()
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
	assert.Equal(t, fault.RunOf(err), api.RunNo)
}

func (c *cluster) alone() *timer.Service {
	return &timer.Service{Clock: c.clock.now}
}
