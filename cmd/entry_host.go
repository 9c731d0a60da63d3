package cmd

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/run"
	"github.com/phuslu/log"

	"redwingloft/internal/data/fleet"
	"redwingloft/internal/data/settings"
	"redwingloft/internal/data/store"
	"redwingloft/internal/helper/clock"
	"redwingloft/internal/helper/dial"
	"redwingloft/internal/helper/metric"
	"redwingloft/internal/helper/timer"
	"redwingloft/internal/service/directory"
	"redwingloft/internal/service/drain"
	"redwingloft/internal/service/forward"
	"redwingloft/internal/service/outlier"
	"redwingloft/internal/service/quarantine"
	"redwingloft/internal/service/stage"
	"redwingloft/internal/service/throttle"
	"redwingloft/internal/web/admin"
	web "redwingloft/internal/web/entry"
	"redwingloft/internal/web/guard"
	"redwingloft/pkg/api"
	"redwingloft/platform"
)

const (
	// upstreamDialTimeout bounds the dial to an upstream. Within a region it takes a few
	// milliseconds; a lost packet is retransmitted only after a second, so a new attempt
	// is faster.
	upstreamDialTimeout = 250 * time.Millisecond
	// peerDialTimeout and peerPingTimeout detect a stalled host early enough to meet the caller's
	// response-time objective at another one.
	peerDialTimeout = 300 * time.Millisecond
	peerPingTimeout = stage.MaxSchedulerPause / 2
	// peerReceiveBuffer bounds what is received and not read on a connection of another host.
	peerReceiveBuffer = 256 << 10
	// sweepInterval is the interval at which idle connections and unused state are removed.
	sweepInterval = time.Second
	// slowLogInterval is the least interval between two log lines on slow upstreams, whose number may
	// change each second.
	slowLogInterval = 10 * time.Second
	// serverCloseTimeout bounds the shutdown of each listener. exitMargin is long enough
	// to shut down all of them.
	serverCloseTimeout = 60 * time.Millisecond
	// entryReadHeaderTimeout bounds the time to read the headers of a request.
	entryReadHeaderTimeout = 10 * time.Second
)

// entryHost holds the components of an entry host on the platform.
type entryHost struct {
	settings     *settings.Settings
	settingsPath string
	log          *log.Logger
	timer        *timer.Service
	metrics      *metric.Set
	directory    *directory.Service
	pool         *forward.Pool
	health       *forward.HealthTable
	// slowLogged is the number of slow upstreams in the last line about them, at slowLoggedAt.
	slowLogged    int
	slowLoggedAt  time.Time
	prompts       *quarantine.Tracker
	publisher     *quarantine.Publisher
	throttle      *throttle.Table
	limitPresence throttle.Presence
	codec         forward.Codec
	peerClient    *http.Client
	// callerConns and upstreamConns keep the connections of peers that read slowly.
	callerConns   dial.Monitor
	upstreamConns dial.Monitor
	stages        *stage.Client
	callerHandler *web.CallerHandler
	callerServer  *http.Server
	peerHandler   *web.PeerHandler
	outliers      *outlier.Exchanger
	guards        *listenerGuards
	callerGuard   *guard.Guard

	schedulersMu sync.Mutex
	schedulers   map[stage.Group]*stage.Scheduler
	// forecasts holds the known forecasts of the groups of stage upstreams.
	forecasts stage.GroupForecasts

	// draining is set on the first signal to stop, refusing once new requests are refused.
	draining atomic.Bool
	refusing atomic.Bool
	// drainSchedule begins with draining.
	drainSchedule drain.Schedule
}

func newEntryHost(s *settings.Settings, path string, logger *log.Logger) (*entryHost, error) {
	e := &entryHost{
		settings: s, settingsPath: path, log: logger, timer: &timer.Service{}, metrics: metric.New(),
		health: &forward.HealthTable{},
		codec: forward.Codec{
			WriteRequestHeader: platform.WriteRequestHeader, DecodeReply: platform.DecodeReply, CopyResponseHeader: platform.CopyResponseHeader, WriteInternalRequest: platform.WriteInternalRequest,
		},
		peerClient: newPeerClient(), schedulers: map[stage.Group]*stage.Scheduler{},
	}
	e.callerConns = dial.Monitor{Limit: s.Clients.WriteStall, OnClose: e.reportClosedConn("caller")}
	e.upstreamConns = dial.Monitor{OnClose: e.reportClosedConn("upstream")}
	kv, err := openStore(s, e.reportMalformedItem)
	if err != nil {
		return nil, err
	}
	e.directory = e.newDirectory(kv)
	e.prompts = &quarantine.Tracker{Stored: e.quarantinedParts}
	e.throttle = &throttle.Table{Self: s.Host.ID, Hosts: e.hosts, ColdBound: e.coldBound, ListAge: s.Store.MaxAge, Log: logger, Metrics: e.metrics}
	e.guards = newListenerGuards(s, e.metrics, logger, platform.SetRetryAfter)
	e.pool = &forward.Pool{
		Dial: e.upstreamConns.Dialer(dial.NewBounded(upstreamDialTimeout)), IdleLimit: e.maxIdleConns, Metrics: e.metrics, Throttle: e.throttle,
		Health: e.health, Log: logger, Memory: e.guards.memory,
		OnLeaving: func(upstream *fleet.Upstream) { e.directory.MarkDraining(upstream) },
	}
	e.callerHandler = &web.CallerHandler{
		Service: e.newService(), View: e.directory.View, Log: logger, Metrics: e.metrics, Closing: e.draining.Load,
		Memory: e.guards.memory, BodyTimeout: s.Clients.BodyTimeout, Refusals: e.guards.refusals,
	}
	e.outliers = &outlier.Exchanger{
		Self: s.Host.ID, View: e.directory.View, HTTP: e.peerClient, Health: e.health, Prompts: e.prompts, Throttle: e.throttle, Collector: &outlier.Collector{}, Log: logger, Metrics: e.metrics,
	}
	e.outliers.Collector.Prompts.Stored = e.quarantinedParts
	e.publisher = &quarantine.Publisher{
		Collector: &e.outliers.Collector.Prompts, Store: store.WithCause(kv, store.CauseQuarantine, e.metrics), Prefix: quarantinePrefix(s),
		Stored: e.quarantinedParts, Removes: e.outliers.Collects,
		Lost:   func() []fleet.QuarantinedPart { return e.directory.View().LostQuarantines },
		Lifted: func() []fleet.QuarantinedPart { return e.directory.View().LiftedQuarantines },
		Log:    logger, Metrics: e.metrics,
	}
	e.peerHandler = &web.PeerHandler{Memory: e.guards.memory, Scheduler: e.scheduler, Directory: e.directory, Outliers: e.outliers.Collector}
	e.callerGuard = e.guards.addCaller()
	e.callerGuard.Timeout = e.callerIdleTimeout
	return e, nil
}

func (e *entryHost) newDirectory(kv store.Store) *directory.Service {
	s := e.settings
	return &directory.Service{
		Store: store.WithCause(kv, store.CauseMember, e.metrics), Timer: e.timer, Log: e.log, Metrics: e.metrics, Clock: clock.Now,
		Decoder: directory.Decoder{
			DocumentKey: platform.KeyDocument, Document: platform.DecodeDocument,
			UpstreamPrefix: platform.PrefixUpstream, Upstream: platform.DecodeUpstream, HostPrefix: s.Store.Prefix + "hosts/",
			QuarantinePrefix: quarantinePrefix(s), EvacuationPrefix: platform.PrefixEvacuation,
		},
		FetchUpdate: web.FetchUpdate(e.peerClient), MaxAge: s.Store.MaxAge,
		Seeds: s.Peer.Seeds,
		Self: fleet.Host{
			ID: s.Host.ID, DataCentre: s.Host.DataCentre, CallerAddress: s.Caller.Advertise, PeerAddress: s.Peer.Advertise,
			MemoryMegabytes: s.Host.MemoryLimit,
		},
		OnChange: e.onViewChange, ConfirmAfterPause: s.Store.EvacuatedWithin > 0,
		InProgress: func(upstream *fleet.Upstream) int { return e.health.Get(upstream).Running },
	}
}

func (e *entryHost) reportMalformedItem(key string, err error) {
	e.metrics.Counter("store.malformed_items").Inc(1)
	e.log.Warn().Str("key", key).Err(err).Msg("entry_malformed")
}

// quarantinedParts returns the quarantined parts of prompts in the store.
func (e *entryHost) quarantinedParts() map[string]fleet.QuarantinedPart {
	return e.directory.View().Quarantined
}

func (e *entryHost) newService() *forward.Service {
	e.stages = &stage.Client{
		Self: e.settings.Host.ID, View: e.directory.View, HTTP: e.peerClient, Log: e.log, Metrics: e.metrics, Local: e.scheduler, Forecasts: &e.forecasts,
		Drain: &e.drainSchedule,
	}
	return &forward.Service{
		View: e.directory.View, Pool: e.pool, Codec: e.codec, Health: e.health, Budget: e.newRetryBudget(e.hostCount), Log: e.log, Metrics: e.metrics,
		WriteStall: e.settings.Clients.WriteStall,
		DataCentre: e.settings.Host.DataCentre, RunStages: e.stages.Prepare, RefusalError: e.refusalError, Prompts: e.prompts, Drain: &e.drainSchedule,
	}
}

// newRetryBudget returns a retry budget with the configured limits. hosts returns the
// number of hosts that share its slack.
func (e *entryHost) newRetryBudget(hosts func() int) *forward.Budget {
	r := e.settings.Retry
	return &forward.Budget{Ratio: r.Ratio, Slack: r.Slack, Window: r.Window, Hosts: hosts}
}

func (e *entryHost) hosts() []fleet.Host { return e.directory.View().Hosts }

func (e *entryHost) hostCount() int { return len(e.hosts()) }

// scheduler returns this host's scheduler for a group of upstreams, created on first use.
func (e *entryHost) scheduler(group stage.Group) *stage.Scheduler {
	e.schedulersMu.Lock()
	defer e.schedulersMu.Unlock()
	if existing := e.schedulers[group]; existing != nil {
		return existing
	}
	created := e.newScheduler(group)
	e.schedulers[group] = created
	return created
}

func (e *entryHost) newScheduler(group stage.Group) *stage.Scheduler {
	return &stage.Scheduler{
		Pool: e.pool, Forward: &e.codec, Throttle: e.throttle, Forecasts: &e.forecasts, Log: e.log, Metrics: e.metrics, View: e.directory.View,
		Drain:     &e.drainSchedule,
		Budget:    e.newRetryBudget(func() int { return len(stage.Groups(e.directory.View())) }),
		Upstreams: func(view *directory.View) []*fleet.Upstream { return stage.UpstreamsInGroup(view, group) },
		Role:      func(view *directory.View) stage.Role { return stage.RoleOf(view, group, e.settings.Host.ID) },
		Codec: stage.Codec{
			RunPath: platform.PathStageRun, FreePath: platform.PathStageFree,
			EncodeItems: platform.EncodeItems, DecodeResults: platform.DecodeResults, EncodeFree: platform.EncodeFree,
		},
	}
}

// coldBound returns the number of requests that a cold upstream of a service may get in any one second.
func (e *entryHost) coldBound(service api.ServiceName) (bound int, limited bool) {
	snapshot := e.directory.View().Snapshot
	if snapshot == nil || snapshot.Services[service] == nil {
		return 0, false
	}
	return e.settings.Cold.Bound(snapshot.Services[service].ColdRate)
}

// onViewChange notifies the schedulers of a new view, and the throttle of the hosts in it.
func (e *entryHost) onViewChange(*directory.View) {
	e.throttle.UpdateHosts(clock.Now())
	e.schedulersMu.Lock()
	defer e.schedulersMu.Unlock()
	for _, scheduler := range e.schedulers {
		go scheduler.ViewChanged()
	}
}

// sweepHealth drops the health of upstreams that are not used and reports which ones are slow.
func (e *entryHost) sweepHealth(time.Time) {
	e.health.Sweep(clock.Now())
	now := clock.Now()
	slow := e.health.SlowUpstreams(now)
	e.metrics.Gauge("pace.slow_upstreams").Update(float64(len(slow)))
	if len(slow) == e.slowLogged || now.Sub(e.slowLoggedAt) < slowLogInterval {
		return
	}
	entry := e.log.Info().Int("upstreams", len(slow)).Int("before", e.slowLogged)
	if len(slow) > 0 {
		entry = entry.Str("slowest", string(slow[0].ID)).Float64("pace", slow[0].Pace)
	}
	entry.Msg("slow_upstreams_changed")
	e.slowLogged, e.slowLoggedAt = len(slow), now
}

// sweepThrottle drops the rate limits of upstreams that are gone.
func (e *entryHost) sweepThrottle(time.Time) {
	keep := e.limitPresence.Keep(e.directory.View().Has, clock.Now())
	e.throttle.Sweep(keep)
	e.outliers.Collector.Limits.Sweep(keep)
}

func (e *entryHost) sweepSchedulers(now time.Time) {
	e.schedulersMu.Lock()
	defer e.schedulersMu.Unlock()
	for _, scheduler := range e.schedulers {
		scheduler.Sweep(now)
	}
}

func (e *entryHost) callerIdleTimeout() time.Duration {
	if snapshot := e.directory.View().Snapshot; snapshot != nil {
		return snapshot.Limits.IdleTimeout
	}
	return 0
}

// maxIdleConns returns the maximum number of idle connections to an upstream.
func (e *entryHost) maxIdleConns(upstream *fleet.Upstream) int {
	view := e.directory.View()
	limit := 0
	if view.Snapshot != nil && view.Snapshot.Services[upstream.Service] != nil {
		limit = view.Snapshot.Services[upstream.Service].MaxConnections
	}
	return forward.IdleConnLimit(limit, len(view.Hosts))
}

// checkReady returns an error while the host accepts no requests.
func (e *entryHost) checkReady() error {
	if e.draining.Load() {
		return errors.New("the host is draining")
	}
	if e.directory.View().Snapshot == nil {
		return errors.New("no routing document is loaded")
	}
	return nil
}

// refusalError returns the error for a new request if the host is draining and refuses it, or nil.
// Requests with a single response are refused if they may be in progress at the end of the drain.
// Streams last much shorter than their deadlines allow.
func (e *entryHost) refusalError(route *fleet.Route, deadline time.Time) error {
	times, draining := e.drainSchedule.Times()
	if !draining || e.accepts() && (route.Kind == fleet.KindStreaming || !deadline.After(times.End)) {
		return nil
	}
	return drain.Refusal(nil)
}

// accepts reports whether the host accepts new requests, apart from those that it can't finish in time.
func (e *entryHost) accepts() bool {
	times, draining := e.drainSchedule.Times()
	if draining && (e.refusing.Load() || !clock.Now().Before(times.AcceptUntil)) {
		return false
	}
	return e.directory.View().Snapshot != nil
}

// newPeerClient returns the client for other hosts. One HTTP/2 connection carries all
// calls to a host, and pings detect a stalled one.
func newPeerClient() *http.Client {
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	return &http.Client{Transport: &http.Transport{
		DialContext: dial.New(peerDialTimeout), Protocols: protocols, DisableCompression: true, MaxResponseHeaderBytes: dial.MaxHeaderBytes,
		HTTP2: &http.HTTP2Config{SendPingTimeout: peerPingTimeout, PingTimeout: peerPingTimeout},
	}}
}

// addActors adds the actors that run for the lifetime of the process.
func (e *entryHost) addActors(ctx context.Context, group *run.Group) {
	ctx, cancel := context.WithCancel(ctx)
	group.Add(func() error { return e.timer.Run(ctx) }, func(error) { cancel() })
	group.Add(func() error { return e.runDirectory(ctx) }, func(error) { cancel() })
	e.callerServer = e.newServer(e.callerHandler)
	e.addListener(group, e.settings.Caller.Listen, e.callerServer, e.callerGuard)
	e.addPeerListener(group, e.settings.Peer.Listen, e.newPeerServer(), e.guards.addPeer())
	directory := &web.DirectoryHandler{
		View: e.directory.View, Self: e.settings.Caller.Advertise, AddressValidity: e.settings.Caller.AddressValidity, Ready: e.checkReady,
		Accepts: e.accepts,
	}
	directoryGuard := e.guards.addAuxiliary("directory")
	directoryGuard.Timeout = e.callerIdleTimeout
	e.addListener(group, e.settings.Directory.Listen, e.newServer(http.HandlerFunc(directory.Addresses)), directoryGuard)
	e.addListener(group, e.settings.Directory.ReadyListen, e.newServer(http.HandlerFunc(directory.Readiness)), e.guards.addAuxiliary("readiness"))
	handler := &admin.Handler{Metrics: e.metrics, Ready: e.checkReady, Explain: e.explain}
	e.addListener(group, e.settings.Admin.Listen, e.newServer(handler.Routes()), e.guards.addAuxiliary("admin"))
	group.Add(e.signalActor(ctx))
}

// runDirectory starts the periodic tasks, registers the host and watches the store.
func (e *entryHost) runDirectory(ctx context.Context) error {
	e.log.Info().Str("data_centre", string(e.settings.Host.DataCentre)).Str("caller_listen", e.settings.Caller.Listen).
		Str("peer_listen", e.settings.Peer.Listen).Str("admin_listen", e.settings.Admin.Listen).Str("store", e.settings.Store.Kind).
		Str("version", version).Msg("host_started")
	e.timer.Every(sweepInterval, e.pool.Sweep)
	e.guards.start(e.timer)
	e.timer.Every(dial.CheckInterval, e.callerConns.Check)
	e.timer.Every(dial.CheckInterval, e.upstreamConns.Check)
	e.timer.Every(sweepInterval, e.sweepHealth)
	e.timer.Every(sweepInterval, e.sweepThrottle)
	e.timer.Every(outlier.ExchangeInterval, e.outliers.Run)
	e.timer.Every(quarantine.PublishInterval, e.publisher.Run)
	e.timer.Every(stage.SweepInterval, e.sweepSchedulers)
	defer e.directory.Register(ctx)()
	return e.directory.Run(ctx)
}

func (e *entryHost) newPeerServer() *http.Server {
	server := e.newServer(e.peerHandler.Routes())
	server.HTTP2 = &http.HTTP2Config{MaxReceiveBufferPerConnection: peerReceiveBuffer, MaxReceiveBufferPerStream: peerReceiveBuffer}
	server.Protocols = &http.Protocols{}
	server.Protocols.SetUnencryptedHTTP2(true)
	server.Protocols.SetHTTP1(true)
	return server
}
