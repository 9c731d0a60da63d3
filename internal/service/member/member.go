// Package member keeps the table of entry hosts: registration in the key-value
// service, the exchange between hosts, freshness, the handover gate, the address
// list and the drain.
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

// Defaults of the durations of Service.
const (
	DefaultInterval  = 500 * time.Millisecond
	DefaultFreshness = 3 * time.Second
	// DefaultRemoval is far above any age at which a host may still be fresh.
	DefaultRemoval = time.Minute
	// smallSite is the number of hosts up to which a host exchanges with all others.
	smallSite = 8
	// Hosts are considered dead after these ages.
	deadSmallSite = 3 * time.Second
	deadLargeSite = 5 * time.Second
)

// never is the acknowledgement of a host that starts no request any more.
const never = ^api.Revision(0)

// Member is one entry host.
type Member struct {
	Host       api.HostID     `json:"host"`
	Caller     api.Address    `json:"caller,omitempty"`
	Peer       api.Address    `json:"peer,omitempty"`
	DataCentre api.DataCentre `json:"data_centre,omitempty"`
	// Voter is true for hosts that count in majorities. A new host becomes one
	// when a host in contact with a majority says so; see maintain.
	Voter bool `json:"voter,omitempty"`
	// Removing is true from the time at which the host was found dead. It is
	// removed after its freshness has surely expired, unless it clears the mark.
	Removing bool `json:"removing,omitempty"`
}

// Document is the value of a member document: the hosts of one data centre.
type Document struct {
	Members []Member `json:"members"`
}

// Service keeps the table of entry hosts. Fields are set before Start.
type Service struct {
	Store store.Store
	Keys  store.Keys
	Self  Member
	// Alone is true for a host without peers: it is always fresh and holds nothing.
	Alone bool
	// Validity is how long callers keep the address list.
	Validity time.Duration
	// Interval is the time between two exchanges; 0 means DefaultInterval.
	Interval time.Duration
	// Freshness is the time for which evidence holds; 0 means DefaultFreshness.
	Freshness time.Duration
	// Removal is the age after which a dead host is removed; 0 means DefaultRemoval.
	Removal time.Duration
	// Seeds are peer addresses to ask while no member list is known.
	Seeds   []api.Address
	Timer   *timer.Service
	Metrics *metric.Set
	Log     *log.Logger

	// Send sends an exchange to a peer address and returns the answer.
	Send func(context.Context, api.Address, Message) (Message, error)
	// Newer is called, once at a time in a goroutine of its own, when a revision above
	// the one in force is known. It bounds its own time. From is a peer that has the
	// revision, or empty for the store.
	Newer func(from api.Address, revision api.Revision)
	// Roster returns the member ids of the manifest in force; nil means the member list.
	Roster func() []api.HostID
	// Events returns the upstream events after sequence number since, and the number of the last; nil sends none.
	Events func(since uint64) (json.RawMessage, uint64)
	// Merge takes the upstream events of another host.
	Merge func(json.RawMessage)

	// view, complete and freshUntil are read on the path of each request without a lock.
	view atomic.Pointer[view]
	// complete is the highest revision whose handover is complete.
	complete atomic.Uint64
	// freshUntil is the end of freshness for the revision of view, in nanoseconds of now.
	freshUntil atomic.Int64
	draining   atomic.Bool
	closed     atomic.Bool
	starts     readers
	base       atomic.Pointer[time.Time]
	lastTick   atomic.Pointer[time.Time]

	// applyMu serializes changes of view.
	applyMu sync.Mutex
	mu      sync.Mutex
	// changed is closed and dropped when view, complete, or closed changes; nil while no start is held.
	changed chan struct{}
	// holds are the times since which starts wait for changed.
	holds []time.Duration
	list  *list
	// listSince is the time at which this host learned of list.
	listSince time.Duration
	// states is parallel to list.members.
	states []state
	strays map[api.HostID]*stray
	// departed holds the hosts that left the list while this host ran.
	departed map[api.HostID]time.Duration
	drained  map[api.HostID]bool
	links    map[api.HostID]*link
	// busy holds the addresses with an exchange in progress; true asks for one more after it.
	busy map[api.Address]bool
	// acked is the revision that this host has acknowledged.
	acked api.Revision
	// current is the latest evidence for a revision up to that of view, ahead the
	// latest for a higher one.
	current, ahead evidence
	// majorities are revisions that a majority has acknowledged, with the time at which this host saw it.
	majorities []majority
	reading    reading
	rounds     int
	// fetching is true while Newer runs.
	fetching atomic.Bool
	roll     atomic.Pointer[roll]
}

// state is what this host knows of one member.
type state struct {
	// since is the time at which this host learned of the member, or was last paused itself.
	since time.Duration
	// heard is the time of the last sign of life; 0 means none.
	heard time.Duration
	// proof is a time at which the member had certainly acknowledged nothing above acked; 0 means none.
	// It comes only from answers and counts from the start of the request, so that no delay makes it younger.
	proof time.Duration
	// acked is at least the revision that the member had acknowledged at proof.
	acked api.Revision
	// isolated is true when the member said that it is not fresh.
	isolated bool
}

// stray is a host outside the list that may still serve.
type stray struct {
	Member
	heard time.Duration
	acked api.Revision
}

type majority struct {
	revision api.Revision
	seen     time.Duration
}

func (s *Service) interval() time.Duration { return orDefault(s.Interval, DefaultInterval) }

func (s *Service) freshness() time.Duration { return orDefault(s.Freshness, DefaultFreshness) }

func (s *Service) removal() time.Duration { return orDefault(s.Removal, DefaultRemoval) }

// margin covers clocks that run at slightly different rates.
func (s *Service) margin() time.Duration { return s.freshness() / 10 }

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

// now returns the monotonic time since an instant an hour before the first call, so that 0 is always long past.
func (s *Service) now() time.Duration {
	current := s.Timer.Now()
	base := s.base.Load()
	if base == nil {
		start := current.Add(-time.Hour)
		s.base.CompareAndSwap(nil, &start)
		base = s.base.Load()
	}
	return current.Sub(*base)
}

// Start begins the exchanges, the store reads and the checks, for the life of the timer service.
func (s *Service) Start(ctx context.Context) {
	s.Timer.Every(s.interval(), func(time.Time) { s.Round(ctx) })
	s.Timer.Every(min(2*s.interval(), s.freshness()/3), func(time.Time) { s.ReadStore(ctx) })
	s.Timer.Every(checkPeriod, func(time.Time) { s.Check() })
}

// checkPeriod is the time between two checks for pauses and for the end of handovers.
const checkPeriod = 50 * time.Millisecond

// Check drops the freshness of a host that was paused and ends handovers whose time has passed.
func (s *Service) Check() {
	current := s.Timer.Now()
	last := s.lastTick.Swap(&current)
	s.mu.Lock()
	defer s.mu.Unlock()
	// A shorter gap can't outlast the evidence, which has to be younger than that anyway.
	if last != nil && paused(*last, current, s.freshness()/2) {
		s.Metrics.Counter("member.paused").Inc(1)
		s.logger().Warn().Dur("gap_ms", current.Sub(*last)).
			Dur("wall_clock_gap_ms", current.Round(0).Sub(last.Round(0))).Msg("host_was_paused")
		s.forget()
	}
	s.settle()
	s.call()
	s.measure()
}

// paused compares wall clocks too: the monotonic clock stands still in a suspended virtual machine.
func paused(last, current time.Time, limit time.Duration) bool {
	return current.Sub(last) > limit || current.Round(0).Sub(last.Round(0)) > limit
}

func (s *Service) measure() {
	s.Metrics.Gauge("member.members").Update(float64(len(s.states)))
	if s.list != nil {
		s.Metrics.Gauge("member.voters").Update(float64(s.list.voters))
	}
	s.Metrics.Gauge("member.live").Update(float64(s.Live()))
	s.Metrics.Gauge("member.fresh_ms").Update(float64((time.Duration(s.freshUntil.Load()) - s.now()).Milliseconds()))
	s.Metrics.Gauge("handover.waiting").Update(float64(len(s.holds)))
	s.Metrics.Gauge("handover.complete_revision").Update(float64(s.complete.Load()))
}

// notify wakes all waiting requests. The caller holds mu.
func (s *Service) notify() {
	now := s.now()
	for _, since := range s.holds {
		s.Metrics.Counter("handover.wait_ms").Inc((now - since).Milliseconds())
	}
	s.holds = s.holds[:0]
	if s.changed != nil {
		close(s.changed)
	}
	s.changed = nil
}

// revision returns the revision in force, or 0.
func (s *Service) revision() api.Revision {
	if v := s.view.Load(); v != nil {
		return v.snapshot.Revision
	}
	return 0
}
