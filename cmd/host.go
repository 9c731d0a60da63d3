package cmd

import (
	"cmp"
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/oklog/run"
	"github.com/phuslu/log"

	"redwingloft/internal/data/document"
	"redwingloft/internal/data/settings"
	"redwingloft/internal/data/store"
	"redwingloft/internal/data/trace"
	"redwingloft/internal/helper/metric"
	"redwingloft/internal/helper/timer"
	"redwingloft/internal/kernel"
	"redwingloft/internal/service/account"
	"redwingloft/internal/service/admission"
	"redwingloft/internal/service/configuration"
	"redwingloft/internal/service/member"
	"redwingloft/internal/service/order"
	"redwingloft/internal/service/pipeline"
	"redwingloft/internal/service/request"
	"redwingloft/internal/service/retry"
	"redwingloft/internal/service/route"
	"redwingloft/internal/service/upstream"
	"redwingloft/internal/web/admin"
	"redwingloft/internal/web/caller"
	"redwingloft/internal/web/peer"
	"redwingloft/pkg/api"

	// The plug-ins register themselves.
	_ "redwingloft/internal/plugin/etcd"
	_ "redwingloft/internal/plugin/memory"
	_ "redwingloft/internal/plugin/openai"
)

const (
	// refreshPeriod is the time between two reads of the manifest by a host that runs alone.
	refreshPeriod = time.Second
	// fetchTimeout bounds the fetch of a newer configuration.
	fetchTimeout = 5 * time.Second
)

// host assembles the parts of one entry host.
type host struct {
	settings      *settings.Settings
	log           *log.Logger
	timer         *timer.Service
	metrics       *metric.Set
	configuration *configuration.Service
	members       *member.Service
	requests      *request.Service
	snapshots     *document.Holder
	client        *member.Client
	// inProgress counts the requests of the caller listener.
	inProgress atomic.Int64
	table      *upstream.Table
	// recorder is nil where no trace is recorded.
	recorder *trace.Recorder
}

func newHost(s *settings.Settings, logger *log.Logger) (*host, error) {
	// What other hosts know of a host, such as its acknowledgements, holds for one
	// process only, so each start makes a new id.
	s.Host.ID = api.HostID(cmp.Or(string(s.Host.ID), "host") + "-" + uuid.NewString()[:8])
	factory, err := kernel.Stores.Get(s.Store.Kind)
	if err != nil {
		return nil, fmt.Errorf("[store] kind: %w", err)
	}
	kv, err := factory(kernel.StoreOptions{Endpoints: s.Store.Endpoints, Timeout: s.Store.Timeout})
	if err != nil {
		return nil, err
	}
	h := &host{settings: s, log: logger, timer: &timer.Service{}, metrics: metric.New(), snapshots: &document.Holder{}}
	keys := store.Keys{Prefix: s.Store.Prefix}
	h.members = h.newMembers(kv, keys)
	table := &upstream.Table{}
	h.table = table
	h.configuration = &configuration.Service{Store: kv, Keys: keys, Holder: h.snapshots, Log: logger, Applied: func(snapshot *document.Snapshot) {
		table.Apply(snapshot)
		h.members.Apply(snapshot)
		// The other hosts wait for the acknowledgement.
		h.members.Round(context.Background())
	}}
	h.requests = newRequests(h, kv, keys, table)
	if s.Trace.Record != "" {
		if h.recorder, err = trace.NewRecorder(s.Trace.Record, strings.Trim(s.Store.Prefix, "/")); err != nil {
			return nil, fmt.Errorf("[trace] record: %w", err)
		}
		h.recorder.Dropped = func() { h.metrics.Counter("trace.dropped").Inc(1) }
	}
	return h, nil
}

func (h *host) newMembers(kv store.Store, keys store.Keys) *member.Service {
	s := h.settings
	h.client = member.NewClient(s.Peer.Secret, h.metrics)
	return &member.Service{
		Store: kv, Keys: keys, Validity: s.Caller.AddressValidity,
		Self: member.Member{
			Host: s.Host.ID, Caller: s.Caller.Advertise, Peer: s.Peer.Advertise, DataCentre: s.Host.DataCentre,
		},
		Alone:    s.Peer.Secret == "" || s.Store.Kind == "memory",
		Interval: s.Peer.Interval, Freshness: s.Peer.Freshness, Seeds: s.Peer.Seeds,
		Timer: h.timer, Metrics: h.metrics, Log: h.log,
		Send: h.client.Exchange, Newer: h.fetch,
	}
}

func newRequests(h *host, kv store.Store, keys store.Keys, table *upstream.Table) *request.Service {
	router, sender := &route.Router{}, upstream.NewSender()
	requests := &request.Service{
		Snapshot: h.snapshots.Load, Gate: h.gate, Key: sealKey(h.settings.Peer.Secret),
		Executor: &pipeline.Executor{
			Table: table, Router: router, Send: sender.Do, Budget: &retry.Budget{Metrics: h.metrics},
		},
		Queue: &admission.Queue{Snapshot: h.snapshots.Load, Hosts: h.members.Live},
		Quota: &admission.Quota{Limit: h.workspaceLimit, Hosts: h.members.Live, Home: h.isHome, Grant: h.askGrant},
		Book:  &account.Book{},
		Table: table, Router: router, Sender: sender,
	}
	requests.Orders = &order.Desk{Store: kv, Keys: keys, Host: h.settings.Host.ID, Send: requests.SendOrder}
	return requests
}

// gate asks whether a ticket may start under its revision. A stream that is resumed
// finishes on its own version and waits for no handover.
func (h *host) gate(ticket *admission.Ticket) (release func(), held <-chan struct{}, err error) {
	name := ticket.Pipeline
	if ticket.Resumed {
		name = ""
	}
	held, err = h.members.Gate(ticket.Workspace, name, ticket.Revision)
	return nil, held, err
}

func (h *host) isHome(workspace api.WorkspaceName) bool {
	_, self := h.members.Home(string(workspace))
	return self
}

// askGrant asks the home host of a workspace for tokens.
func (h *host) askGrant(ctx context.Context, workspace api.WorkspaceName, want float64) (float64, error) {
	home, _ := h.members.Home(string(workspace))
	grant, err := h.client.Grant(ctx, home.Peer, member.GrantRequest{Workspace: workspace, Want: want})
	return grant.Tokens, err
}

func (h *host) serveGrant(_ context.Context, request member.GrantRequest) (member.Grant, error) {
	return member.Grant{Tokens: h.requests.Quota.Serve(request.Workspace, request.Want)}, nil
}

// workspaceLimit returns the rate a second and the burst of a workspace over all hosts.
func (h *host) workspaceLimit(name api.WorkspaceName) (rate, burst float64) {
	snapshot := h.snapshots.Load()
	if snapshot == nil || snapshot.Workspaces[name] == nil {
		return 0, 0
	}
	return snapshot.Workspaces[name].RequestsPerSecond, snapshot.Workspaces[name].Burst
}

// sealKey returns the key of resume tokens; a host without a peer secret runs alone and makes its own.
func sealKey(secret string) []byte {
	if secret != "" {
		return []byte(secret)
	}
	key := make([]byte, 32)
	_, _ = rand.Read(key) // never fails since Go 1.24
	return key
}

// addTo adds the parts that run for the life of the process.
func (h *host) addTo(ctx context.Context, group *run.Group) {
	ctx, cancel := context.WithCancel(ctx)
	group.Add(func() error { return h.timer.Run(ctx) }, func(error) { cancel() })
	group.Add(func() error {
		if err := h.start(ctx); err != nil {
			return err
		}
		<-ctx.Done()
		return ctx.Err()
	}, func(error) { cancel() })
	callers := &caller.Handler{
		Service: h.requests, Addresses: h.members.Addresses, BodyBytes: h.bodyBytes, Metrics: h.metrics, Log: h.log, Timer: h.timer,
	}
	if h.recorder != nil {
		callers.Record = h.recorder.Record
	}
	addServer(group, h.settings.Caller.Listen, h.settings.Caller.TLS, 0, h.counted(callers.Routes()))
	if !h.members.Alone {
		handler := &peer.Handler{
			Secret: h.settings.Peer.Secret, Exchange: h.members.Receive, Manifest: h.configuration.Current, Grant: h.serveGrant,
			Metrics: h.metrics, Log: h.log,
		}
		addServer(group, h.settings.Peer.Listen, settings.TLS{}, writeTimeout, handler.Routes())
	}
	if h.settings.Operator.Listen != "" {
		addServer(group, h.settings.Operator.Listen, h.settings.Operator.TLS, writeTimeout, h.newConsole().Routes())
	}
	if h.settings.Admin.Listen != "" {
		handler := &admin.Handler{Metrics: h.metrics, Ready: h.ready}
		addServer(group, h.settings.Admin.Listen, settings.TLS{}, writeTimeout, handler.Routes())
	}
}

// start registers the host, loads the configuration and follows both.
func (h *host) start(ctx context.Context) error {
	if h.settings.Store.Kind == "memory" {
		h.log.Warn().Msg("no key-value service is set: the host runs alone and its configuration ends with it")
	}
	if !h.members.Alone {
		// The registration comes before the first read of the configuration.
		h.members.ReadStore(ctx)
		h.members.Round(ctx)
	}
	if err := h.seed(ctx); err != nil {
		return err
	}
	if h.members.Alone {
		h.refresh(ctx)
		h.timer.Every(refreshPeriod, func(time.Time) { h.refresh(ctx) })
		return nil
	}
	h.members.Start(ctx)
	return nil
}

// seed commits the document of the settings where the store holds none.
func (h *host) seed(ctx context.Context) error {
	if h.settings.Document.Path == "" {
		return nil
	}
	data, err := os.ReadFile(h.settings.Document.Path)
	if err != nil {
		return fmt.Errorf("[document] path: %w", err)
	}
	doc, err := document.Parse(data)
	if err != nil {
		return fmt.Errorf("[document] path: %w", err)
	}
	if err := h.configuration.Refresh(ctx); err != nil || h.snapshots.Load() != nil {
		return nil
	}
	_, err = h.configuration.Commit(ctx, doc, 0, "settings", "first document")
	if err != nil && h.configuration.Refresh(ctx) == nil && h.snapshots.Load() != nil {
		return nil // another host was first
	}
	return err
}

func (h *host) refresh(ctx context.Context) {
	if err := h.configuration.Refresh(ctx); err != nil {
		h.log.Warn().Err(err).Msg("configuration_refresh_failed")
	}
}

// fetch puts a newer revision in force, from the peer that has it or else from the store.
func (h *host) fetch(from api.Address, revision api.Revision) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	if from == "" {
		h.refresh(ctx)
		return
	}
	manifest, err := h.client.Manifest(ctx, from)
	if err == nil {
		err = h.configuration.Offer(ctx, manifest, func(ctx context.Context, digest string) ([]byte, error) {
			return h.client.Part(ctx, from, digest)
		})
	}
	if err != nil {
		h.log.Warn().Str("peer", string(from)).Uint64("revision", uint64(revision)).Err(err).Msg("configuration_fetch_failed")
	}
}

func (h *host) bodyBytes() int64 {
	if snapshot := h.snapshots.Load(); snapshot != nil {
		return snapshot.Limits.BodyBytes
	}
	return document.DefaultBodyBytes
}

func (h *host) ready() error {
	if h.members.Draining() {
		return errors.New("the host is leaving")
	}
	if err := h.members.Fresh(); err != nil {
		return err
	}
	if h.snapshots.Load() == nil {
		return errors.New("no configuration is in force")
	}
	return nil
}

// close ends what outlives the servers.
func (h *host) close() error {
	if h.recorder == nil {
		return nil
	}
	return h.recorder.Close()
}
