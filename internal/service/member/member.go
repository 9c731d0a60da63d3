// Package member tracks the entry hosts of a deployment: registration in the key-value store, the
// exchange of state between hosts, freshness, the handover gate, address lists and the drain.
package member

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"redwingloft/internal/data/store"
	"redwingloft/internal/helper/logging"
	"redwingloft/internal/helper/metric"
	"redwingloft/internal/helper/timer"
	"redwingloft/pkg/api"
)

// Defaults and limits of Service.
const (
	DefaultInterval  = 500 * time.Millisecond
	DefaultFreshness = 3 * time.Second
	// DefaultRemovalAge is far above any age at which a host may still be fresh.
	DefaultRemovalAge = time.Minute
	// smallSiteHosts is the number of hosts up to which each host exchanges state with all others.
	smallSiteHosts = 8
	// Hosts that were not heard from for this long are considered dead.
	deadAfterSmallSite = 3 * time.Second
	deadAfterLargeSite = 5 * time.Second
)

// ackAll is the acknowledgement of a host that starts no more requests; it covers every revision.
const ackAll = ^api.Revision(0)

// Member describes one entry host.
type Member struct {
	Host       api.HostID     `json:"host"`
	Caller     api.Address    `json:"caller,omitempty"`
	Peer       api.Address    `json:"peer,omitempty"`
	DataCentre api.DataCentre `json:"data_centre,omitempty"`
	// Voter is true for hosts that count in majorities. A new host becomes a voter when a
	// host in contact with a majority marks it as one; see maintainDocuments.
	Voter bool `json:"voter,omitempty"`
	// Removing is true once the host was found dead. The host is removed when its freshness has
	// certainly expired, unless it turns out to be alive and the mark is cleared.
	Removing bool `json:"removing,omitempty"`
}

// Document is the content of a member document: the hosts of one data centre.
type Document struct {
	Members []Member `json:"members"`
}

// Service tracks the entry hosts. Exported fields are set before Start.
type Service struct {
	Store store.Store
	Keys  store.Keys
	Self  Member
	// Standalone is true for a host without peers: it is always fresh and holds no requests.
	Standalone bool
	// AddressValidity is how long callers may cache an address list.
	AddressValidity time.Duration
	// Interval is the time between two exchanges; 0 means DefaultInterval.
	Interval time.Duration
	// Freshness is how long evidence remains valid; 0 means DefaultFreshness.
	Freshness time.Duration
	// RemovalAge is the age after which a dead host is removed; 0 means the default.
	RemovalAge time.Duration
	// Seeds are peer addresses to contact while no member list is known.
	Seeds   []api.Address
	Timer   *timer.Service
	Metrics *metric.Set
	Log     *log.Logger

	// Send sends an exchange message to a peer address and returns the answer.
	Send func(context.Context, api.Address, Message) (Message, error)
	// OnNewerRevision is called when a revision above the active one is known, in a goroutine of its own
	// and never concurrently. It must limit its own run time. From is a peer that has the
	// revision, or empty for the store.
	OnNewerRevision func(from api.Address, revision api.Revision)
	// ManifestHosts returns the host ids in the active manifest. If it is nil, a handover waits only
	// for the hosts known to this one.
	ManifestHosts func() []api.HostID
	// EventsSince returns the upstream events after sequence number since, and the number of the
	// last; nil sends none.
	EventsSince func(since uint64) (json.RawMessage, uint64)
	// MergeEvents merges the upstream events of another host.
	MergeEvents func(json.RawMessage)

	// view, complete and freshUntil are read without a lock at the start of each request.
	view atomic.Pointer[view]
	// complete is the highest revision whose handover is complete.
	complete atomic.Uint64
	// freshUntil is the end of freshness for the revision of view, as nanoseconds of now.
	freshUntil   atomic.Int64
	draining     atomic.Bool
	closed       atomic.Bool
	activeStarts startCounter
	clockStart   atomic.Pointer[time.Time]
	lastCheck    atomic.Pointer[time.Time]

	// applyMu serializes changes of view.
	applyMu sync.Mutex
	mu      sync.Mutex
	// changed is closed and set to nil when view, complete or closed changes; it is nil while
	// no request is held.
	changed chan struct{}
	// waitingSince holds the times at which the requests held on changed began to wait.
	waitingSince []time.Duration
	list         *memberList
	// listSince is the time at which this host received list.
	listSince time.Duration
	// states is parallel to list.members.
	states       []memberState
	unregistered map[api.HostID]*unregisteredHost
	// departed maps the hosts that have left the list to the time at which this host saw it.
	departed      map[api.HostID]time.Duration
	drainingHosts map[api.HostID]bool
	eventCursors  map[api.HostID]*eventCursor
	// exchanging holds the addresses with an exchange in progress; true requests one more after it.
	exchanging map[api.Address]bool
	// acked is the revision that this host has acknowledged.
	acked api.Revision
	// currentEvidence is the latest evidence for a revision up to that of view, and
	// pendingEvidence the latest for a higher one.
	currentEvidence, pendingEvidence evidence
	// majorities holds the revisions that a majority has acknowledged, lowest first.
	majorities []majorityAck
	storeReads storeReads
	rounds     int
	// fetching is held while the callback for a newer revision runs.
	fetching sync.Mutex
	// joining is true until Join has heard of the revisions of the peers.
	joining atomic.Bool
	liveSet atomic.Pointer[liveSet]
}

// memberState is what this host knows of one member.
type memberState struct {
	// knownSince is the time at which this host learned of the member, or was last paused itself.
	knownSince time.Duration
	// lastHeard is when the member was last heard from; 0 means never.
	lastHeard time.Duration
	// confirmedAt is a time at which the member had certainly acknowledged nothing above acked; 0
	// means none. It comes only from answers and is measured from the start of the request, so
	// that no delay makes it younger.
	confirmedAt time.Duration
	// acked is at least the revision that the member had acknowledged at confirmedAt.
	acked api.Revision
	// isolated is true if the member reported that it is not fresh.
	isolated bool
}

// unregisteredHost is a host outside the member list that may still serve.
type unregisteredHost struct {
	Member
	lastHeard time.Duration
	acked     api.Revision
	// isolated is true if the host said in its last message that it is not fresh.
	isolated bool
}

// majorityAck records when this host first saw that a majority had acknowledged a revision.
type majorityAck struct {
	revision api.Revision
	seenAt   time.Duration
}

func (s *Service) interval() time.Duration { return orDefault(s.Interval, DefaultInterval) }

func (s *Service) freshness() time.Duration { return orDefault(s.Freshness, DefaultFreshness) }

func (s *Service) removal() time.Duration { return orDefault(s.RemovalAge, DefaultRemovalAge) }

// clockDriftMargin allows for clocks that run at slightly different rates.
func (s *Service) clockDriftMargin() time.Duration { return s.freshness() / 10 }

func (s *Service) logger() *log.Logger {
	if s.Log != nil {
		return s.Log
	}
	return logging.Discard()
}

func orDefault(value, fallback time.Duration) time.Duration {
	if value > 0 {
		return value
	}
	return fallback
}

// now returns the monotonic time since one hour before its first call, so that 0 always lies
// in the distant past.
func (s *Service) now() time.Duration {
	current := s.Timer.Now()
	clockStart := s.clockStart.Load()
	if clockStart == nil {
		start := current.Add(-time.Hour)
		s.clockStart.CompareAndSwap(nil, &start)
		clockStart = s.clockStart.Load()
	}
	return current.Sub(*clockStart)
}

// Start schedules the exchanges, the store reads and the checks on the timer service.
func (s *Service) Start(ctx context.Context) {
	s.Timer.Every(s.interval(), func(time.Time) { s.StartRound(ctx) })
	s.Timer.Every(min(2*s.interval(), s.freshness()/3), func(time.Time) { s.ReadStore(ctx) })
	s.Timer.Every(checkPeriod, func(time.Time) { s.Check() })
}

// checkPeriod is the time between two checks for pauses and for the end of handovers.
const checkPeriod = 50 * time.Millisecond

// Check drops the evidence of this host if the host was paused, and completes handovers whose
// waiting time has passed.
func (s *Service) Check() {
	current := s.Timer.Now()
	last := s.lastCheck.Swap(&current)
	s.mu.Lock()
	defer s.mu.Unlock()
	// A shorter pause can't outlast the evidence, which has to be younger than that anyway.
	if last != nil && wasPaused(*last, current, s.freshness()/2) {
		s.Metrics.Counter("member.paused").Inc(1)
		s.logger().Warn().Dur("gap_ms", current.Sub(*last)).
			Dur("wall_clock_gap_ms", current.Round(0).Sub(last.Round(0))).Msg("host_was_paused")
		s.dropEvidence()
	}
	s.updateHandover()
	s.updateLiveSet()
	s.updateMetrics()
}

// wasPaused also compares wall clocks, because the monotonic clock stands still while a
// virtual machine is suspended.
func wasPaused(last, current time.Time, limit time.Duration) bool {
	return current.Sub(last) > limit || current.Round(0).Sub(last.Round(0)) > limit
}

func (s *Service) updateMetrics() {
	s.Metrics.Gauge("member.members").Update(float64(len(s.states)))
	if s.list != nil {
		s.Metrics.Gauge("member.voters").Update(float64(s.list.voters))
	}
	s.Metrics.Gauge("member.live").Update(float64(s.LiveCount()))
	s.Metrics.Gauge("member.fresh_ms").Update(float64((time.Duration(s.freshUntil.Load()) - s.now()).Milliseconds()))
	s.Metrics.Gauge("handover.waiting").Update(float64(len(s.waitingSince)))
	s.Metrics.Gauge("handover.complete_revision").Update(float64(s.complete.Load()))
}

// notifyWaiters wakes all held requests. The caller holds mu.
func (s *Service) notifyWaiters() {
	now := s.now()
	for _, since := range s.waitingSince {
		s.Metrics.Counter("handover.wait_ms").Inc((now - since).Milliseconds())
	}
	s.waitingSince = s.waitingSince[:0]
	if s.changed != nil {
		close(s.changed)
	}
	s.changed = nil
}

// revision returns the active revision, or 0.
func (s *Service) revision() api.Revision {
	if v := s.view.Load(); v != nil {
		return v.snapshot.Revision
	}
	return 0
}
