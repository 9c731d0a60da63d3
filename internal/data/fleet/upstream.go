package fleet

import (
	"time"

	"redwingloft/pkg/api"
)

// State indicates whether an upstream accepts new requests.
type State string

// The states of an upstream.
const (
	// StateReady upstreams accept new requests.
	StateReady State = "ready"
	// StateDraining upstreams complete requests in progress and receive no new ones.
	StateDraining State = "draining"
)

// Upstream is one upstream registered with the platform.
type Upstream struct {
	// ID identifies the upstream. It stays the same after a restart.
	ID         api.UpstreamID
	Service    api.ServiceName
	Address    api.Address
	DataCentre api.DataCentre
	// Slots is the number of requests that it processes concurrently; 0 means not specified.
	Slots int
	State State
	// WarmUp is how long the upstream is slow and cold, as of the time at which its entry was written.
	WarmUp time.Duration
	// ColdUntil is the end of its cold time by the clock of this host, as its entry and the
	// evacuations of its data centre show; zero if it is warm.
	ColdUntil time.Time
	// LearnedAt is when this host learned of the entry.
	LearnedAt time.Time
	// Started is the Unix time of the start in milliseconds; it identifies the incarnation.
	Started int64
}

// Incarnation identifies one run of an upstream between start and exit.
type Incarnation struct {
	ID api.UpstreamID `json:"id"`
	// Started is the Unix time of the start in milliseconds.
	Started int64 `json:"started"`
}

// Incarnation returns the incarnation of u.
func (u *Upstream) Incarnation() Incarnation { return Incarnation{u.ID, u.Started} }

// Host is the registration of an entry host.
type Host struct {
	ID         api.HostID     `json:"id"`
	DataCentre api.DataCentre `json:"data_centre"`
	// CallerAddress is the address for callers.
	CallerAddress api.Address `json:"caller"`
	// PeerAddress is the address for other hosts.
	PeerAddress api.Address `json:"peer"`
	// Started is the Unix time in milliseconds, by the host's clock, since which it has been
	// registered without interruption.
	Started int64 `json:"started"`
	// MemoryMegabytes is the memory limit of the host, by which hosts of one fleet differ in
	// size; 0 means unknown.
	MemoryMegabytes float64 `json:"memory_mb,omitempty"`
	// Draining hosts complete requests in progress and are removed from the address list.
	Draining bool `json:"draining,omitempty"`
}
