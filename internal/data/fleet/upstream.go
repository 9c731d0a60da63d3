package fleet

import (
	"time"

	"redwingloft/pkg/api"
)

// State tells whether an upstream takes new work.
type State string

// The states of an upstream.
const (
	// StateReady upstreams take new work.
	StateReady State = "ready"
	// StateDraining upstreams finish what they have and get nothing new.
	StateDraining State = "draining"
)

// Upstream is one listed upstream.
type Upstream struct {
	// ID names the upstream. An upstream may start again under its id.
	ID         api.UpstreamID
	Service    api.ServiceName
	Address    api.Address
	DataCentre api.DataCentre
	// Slots is the number of requests that it works on at once; 0 where it does not say.
	Slots int
	State State
	// WarmUp is how long the upstream stays slow after its start.
	WarmUp time.Duration
	// Started identifies the incarnation: the Unix time of its start in milliseconds.
	Started int64
}

// Incarnation identifies one start of an upstream.
type Incarnation struct {
	ID api.UpstreamID `json:"id"`
	// Started is the Unix time of the start in milliseconds.
	Started int64 `json:"started"`
}

// Incarnation returns the identity of this start.
func (u *Upstream) Incarnation() Incarnation { return Incarnation{u.ID, u.Started} }

// Host is one entry host as it registers itself.
type Host struct {
	ID         api.HostID     `json:"id"`
	DataCentre api.DataCentre `json:"data_centre"`
	// Caller is the address that callers use.
	Caller api.Address `json:"caller"`
	// Peer is the address that other hosts use.
	Peer api.Address `json:"peer"`
	// Started is the Unix time in milliseconds from which the host has been registered
	// without a lapse, by its own clock.
	Started int64 `json:"started"`
	// Draining hosts finish what they have and leave the address list.
	Draining bool `json:"draining,omitempty"`
}
