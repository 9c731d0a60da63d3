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
	"redwingloft/pkg/api"

	// The plug-ins register themselves in their init functions.
	_ "redwingloft/internal/plugin/etcd"
	_ "redwingloft/internal/plugin/httpsd"
	_ "redwingloft/internal/plugin/memory"
	_ "redwingloft/internal/plugin/openai"
)

const (
	// settleInterval is the interval at which failed writes of order records are retried.
	settleInterval = time.Second
	// claimInterval is the interval between transactions of an order shard. The 16 shards,
	// each at its aggregator, commit at most 320 a second for claims and as many for
	// outcomes; the key-value service handles several hundred writes a second.
	claimInterval = 50 * time.Millisecond
	// configFetchTimeout bounds the fetch of a newer configuration.
	configFetchTimeout = 5 * time.Second
	// hostListTimeout bounds one read of the host list.
	hostListTimeout = 2 * time.Second
)

// host holds the components of an entry host.
type host struct {
	settings      *settings.Settings
	log           *log.Logger
	timer         *timer.Service
	metrics       *metric.Set
	configuration *configuration.Service
	members       *member.Service
	requests      *request.Service
	snapshots     *document.SnapshotHolder
	upstreams     *upstream.Monitor
	peerClient    *member.Client
	guards        *listenerGuards
	// inProgress counts the requests of the caller listener.
	inProgress atomic.Int64
	// recorder is nil if no trace is recorded.
	recorder *trace.Recorder
}

func newHost(s *settings.Settings, logger *log.Logger) (*host, error) {
	// State that other hosts keep about a host, such as its acknowledgements, is valid
	// for one process only, so each start generates a new id.
	s.Host.ID = api.HostID(cmp.Or(string(s.Host.ID), "host") + "-" + uuid.NewString()[:8])
	factory, err := kernel.Stores.Get(s.Store.Kind)
	if err != nil {
		return nil, fmt.Errorf("[store] kind: %w", err)
	}
	kv, err := factory(kernel.StoreOptions{Endpoints: s.Store.Endpoints, Timeout: s.Store.Timeout})
	if err != nil {
		return nil, err
	}
	h := &host{settings: s, log: logger, timer: &timer.Service{}, metrics: metric.New(), snapshots: &document.SnapshotHolder{}}
	h.guards = newListenerGuards(s, h.metrics, logger, setRetryAfter)
	keys := store.Keys{Prefix: s.Store.Prefix}
	h.members = h.newMembers(kv, keys)
	table := &upstream.Table{Host: s.Host.ID, Metrics: h.metrics, Log: logger, IsProber: h.isProber}
	h.members.EventsSince, h.members.MergeEvents = encodeEvents(table), mergeEvents(table)
	if h.upstreams, err = newMonitor(h, table); err != nil {
		return nil, err
	}
	h.configuration = &configuration.Service{
		Store: kv, Keys: keys, Holder: h.snapshots, Log: logger, Metrics: h.metrics, OnApplied: h.onApplied, ShouldWatch: h.members.IsReader,
	}
	h.members.ManifestHosts = h.manifestHosts
	h.requests = newRequests(h, kv, keys, table)
	return h, h.startRecorder()
}

// startRecorder starts the trace recorder if it is enabled in the settings.
func (h *host) startRecorder() error {
	if h.settings.Trace.RecordPath == "" {
		return nil
	}
	recorder, err := trace.NewRecorder(h.settings.Trace.RecordPath, strings.Trim(h.settings.Store.Prefix, "/"))
	if err != nil {
		return fmt.Errorf("[trace] record: %w", err)
	}
	recorder.OnDropped = func() { h.metrics.Counter("trace.dropped").Inc(1) }
	h.recorder = recorder
	return nil
}

func newMonitor(h *host, table *upstream.Table) (*upstream.Monitor, error) {
	monitor := &upstream.Monitor{Table: table, Sender: upstream.NewSender()}
	monitor.Sender.SetMaxConns(int(connDescriptorRatio * h.settings.Host.DescriptorLimit))
	if h.settings.HostList.Kind == "none" {
		return monitor, nil
	}
	factory, err := kernel.HostLists.Get(h.settings.HostList.Kind)
	if err != nil {
		return nil, fmt.Errorf("[host_list] kind: %w", err)
	}
	list, err := factory(h.settings.HostList.URL, hostListTimeout)
	if err != nil {
		return nil, fmt.Errorf("[host_list] url: %w", err)
	}
	monitor.Poller, monitor.PollPeriod = &upstream.Poller{List: list, Table: table}, h.settings.HostList.PollInterval
	monitor.OnPollError = func(err error) { h.log.Warn().Err(err).Msg("host_list_failed") }
	return monitor, nil
}

func (h *host) newMembers(kv store.Store, keys store.Keys) *member.Service {
	s := h.settings
	h.peerClient = member.NewClient(s.Peer.Secret, h.metrics)
	return &member.Service{
		Store: store.WithCause(kv, store.CauseMember, h.metrics), Keys: keys, AddressValidity: s.Caller.AddressValidity,
		Self: member.Member{
			Host: s.Host.ID, Caller: s.Caller.Advertise, Peer: s.Peer.Advertise, DataCentre: s.Host.DataCentre,
		},
		Standalone: s.Peer.Secret == "" || s.Store.Kind == "memory",
		Interval:   s.Peer.Interval, Freshness: s.Peer.Freshness, Seeds: s.Peer.Seeds,
		Timer: h.timer, Metrics: h.metrics, Log: h.log,
		Send: h.peerClient.Exchange, OnNewerRevision: h.fetchRevision,
	}
}

func newRequests(h *host, kv store.Store, keys store.Keys, table *upstream.Table) *request.Service {
	router, sender := &route.Router{Prefixes: route.NewPrefixTable(0)}, h.upstreams.Sender
	requests := &request.Service{
		Snapshot: h.snapshots.Load, Gate: h.gateTicket, ResumeKey: sealKey(h.settings.Peer.Secret),
		Executor: &pipeline.Executor{
			Table: table, Router: router, Send: sender.Do, Budget: &retry.Budget{Metrics: h.metrics},
			DataCentre: h.settings.Host.DataCentre,
		},
		Queue:       &admission.Queue{Snapshot: h.snapshots.Load, Hosts: h.members.LiveCount},
		Quota:       &admission.Quota{Limit: h.workspaceLimit, Hosts: h.members.LiveCount, IsHome: h.isHome, Grant: h.requestGrant},
		Accumulator: &account.Accumulator{},
		Table:       table, Router: router, Sender: sender, DataCentre: h.settings.Host.DataCentre,
	}
	requests.Orders = &order.Coordinator{
		Store: kv, Keys: keys, Host: h.settings.Host.ID, Send: requests.SendOrder, Metrics: h.metrics,
		Retention: h.settings.Store.Retention, Interval: claimInterval,
		LongestDeadline: func() time.Duration { return h.snapshots.Load().MaxCallDeadline() },
		HolderAlive:     h.members.IsLive,
	}
	if !h.members.Standalone {
		requests.Orders.Forward = h.forwardClaims
	}
	return requests
}

// workspaceLimit returns the requests per second and the burst of a workspace across all hosts.
func (h *host) workspaceLimit(name api.WorkspaceName) (rate, burst float64) {
	snapshot := h.snapshots.Load()
	if snapshot == nil || snapshot.Workspaces[name] == nil {
		return 0, 0
	}
	return snapshot.Workspaces[name].RequestsPerSecond, snapshot.Workspaces[name].Burst
}

// sealKey returns the key that seals resume tokens and sessions. A host without a peer secret
// runs standalone and generates a random key.
func sealKey(secret string) []byte {
	if secret != "" {
		return []byte(secret)
	}
	key := make([]byte, 32)
	_, _ = rand.Read(key) // never fails since Go 1.24
	return key
}

// addActors adds the actors that run for the lifetime of the process.
func (h *host) addActors(ctx context.Context, group *run.Group) {
	ctx, cancel := context.WithCancel(ctx)
	group.Add(func() error { return h.timer.Run(ctx) }, func(error) { cancel() })
	group.Add(func() error {
		if err := h.start(ctx); err != nil {
			return err
		}
		err := h.configuration.Watch(ctx)
		drain, stop := context.WithTimeout(context.WithoutCancel(ctx), h.settings.Host.ShutdownTimeout)
		defer stop()
		h.requests.Orders.Drain(drain)
		return err
	}, func(error) { cancel() })
	addServer(group, h.settings.Caller.Listen, h.settings.Caller.TLS, 0, h.guards.addCaller(), h.trackRequests(h.newCallerHandler().Routes()))
	if !h.members.Standalone {
		addServer(group, h.settings.Peer.Listen, settings.TLS{}, writeTimeout, h.guards.addPeer(), h.newPeerHandler().Routes())
	}
	if h.settings.Operator.Listen != "" {
		addServer(group, h.settings.Operator.Listen, h.settings.Operator.TLS, writeTimeout, h.guards.addAuxiliary("operator"), h.newConsoleHandler().Routes())
	}
	if h.settings.Admin.Listen != "" {
		handler := &admin.Handler{Metrics: h.metrics, Ready: h.checkReady}
		addServer(group, h.settings.Admin.Listen, settings.TLS{}, writeTimeout, h.guards.addAuxiliary("admin"), handler.Routes())
	}
	h.guards.start(h.timer)
}

func (h *host) newCallerHandler() *caller.Handler {
	handler := &caller.Handler{
		Memory: h.guards.memory, Service: h.requests, Addresses: h.members.Addresses, BodyBytes: h.maxBodyBytes, Metrics: h.metrics, Log: h.log, Timer: h.timer,
	}
	if h.recorder != nil {
		handler.Record = h.recorder.Record
	}
	return handler
}

// start registers the host, loads the configuration and starts the periodic tasks.
func (h *host) start(ctx context.Context) error {
	h.log.Info().Str("id", string(h.settings.Host.ID)).Str("data_centre", string(h.settings.Host.DataCentre)).
		Str("caller_listen", h.settings.Caller.Listen).Str("operator_listen", h.settings.Operator.Listen).
		Str("admin_listen", h.settings.Admin.Listen).Str("store", h.settings.Store.Kind).
		Str("version", version).Msg("host_started")
	if h.settings.Store.Kind == "memory" {
		h.log.Warn().Str("reason", "no key-value service is configured; the configuration is lost when the process exits").Msg("host_runs_alone")
	}
	if !h.members.Standalone {
		// Must be done before the first read of the configuration.
		h.members.Join(ctx)
	}
	if err := h.commitInitialDocument(ctx); err != nil {
		return err
	}
	h.upstreams.Start(ctx, h.timer)
	h.timer.Every(settleInterval, func(time.Time) { h.requests.Orders.Settle(ctx) })
	if !h.members.Standalone {
		h.members.Start(ctx)
	}
	return nil
}

// commitInitialDocument commits the document named in the settings if the store holds none.
func (h *host) commitInitialDocument(ctx context.Context) error {
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
		return nil // another host committed first
	}
	return err
}

func (h *host) refreshConfiguration(ctx context.Context) {
	if err := h.configuration.Refresh(ctx); err != nil {
		h.log.Warn().Err(err).Msg("configuration_refresh_failed")
	}
}

func (h *host) maxBodyBytes() int64 {
	if snapshot := h.snapshots.Load(); snapshot != nil {
		return snapshot.Limits.BodyBytes
	}
	return document.DefaultBodyBytes
}

func (h *host) checkReady() error {
	if h.members.Draining() {
		return errors.New("the host is draining")
	}
	if err := h.members.Fresh(); err != nil {
		return err
	}
	if h.snapshots.Load() == nil {
		return errors.New("no configuration is active")
	}
	return nil
}

// close closes the trace recorder, if there is one. The servers use it until they are closed.
func (h *host) close() error {
	if h.recorder == nil {
		return nil
	}
	return h.recorder.Close()
}
