package member

import (
	"encoding/binary"
	"encoding/json"
	"time"

	"redwingloft/internal/data/store"
	"redwingloft/pkg/api"
)

// ageUnit is the unit of an age on the wire.
const ageUnit = 100 * time.Millisecond

// ageUnknown is the wire age of a member that was not heard from within 25.4 s.
const ageUnknown = 255

// Message is one direction of an exchange between two hosts.
type Message struct {
	// From is complete if the sender is not in its own member list; otherwise it has only the host id.
	From Member `json:"from"`
	// ListVersion is the version of the member list to which Ages and Acks are parallel.
	ListVersion store.Version `json:"list_version"`
	// Documents holds the member documents that the receiver lacks.
	Documents map[api.DataCentre]VersionedDocument `json:"documents,omitempty"`
	// Ages holds the age of each member in units of 100 ms, rounded up. Only answers carry
	// it: a request may be delayed for any time, so its ages would prove nothing.
	Ages []byte `json:"ages,omitempty"`
	Acks Acks   `json:"acks"`
	// Revision is the active revision of the sender.
	Revision api.Revision `json:"revision"`
	// Acked is the revision acknowledged by the sender itself.
	Acked api.Revision `json:"acked"`
	// Complete is the highest revision whose handover is complete.
	Complete api.Revision `json:"complete,omitempty"`
	// Fresh is the latest evidence of the sender; nil means that the sender is not fresh.
	Fresh        *Freshness         `json:"fresh,omitempty"`
	Unregistered []UnregisteredHost `json:"unregistered,omitempty"`
	Draining     []api.HostID       `json:"draining,omitempty"`
	// Events holds the upstream events of the sender up to number EventsTo.
	Events   json.RawMessage `json:"events,omitempty"`
	EventsTo uint64          `json:"events_to,omitempty"`
	// EventsSeen is the number of the last event that the sender has received from the receiver.
	EventsSeen uint64 `json:"events_seen,omitempty"`
}

// Freshness is the wire form of evidence.
type Freshness struct {
	// AgeMs is the age in milliseconds, rounded up.
	AgeMs    int64        `json:"age_ms"`
	Revision api.Revision `json:"revision"`
}

// UnregisteredHost is the wire form of a host outside the member list.
type UnregisteredHost struct {
	Member
	Age   byte         `json:"age"`
	Acked api.Revision `json:"acked"`
}

// Acks encodes the acknowledged revision of each member as its distance below Base. Distance
// 254 means that it is unknown, and 255 that the member starts no more requests.
type Acks struct {
	Base api.Revision `json:"base"`
	// Dense has one byte for each member.
	Dense []byte `json:"dense,omitempty"`
	// Sparse has three bytes, a two-byte index and the distance, for each member whose distance is
	// not 0. It replaces Dense if it is shorter.
	Sparse []byte `json:"sparse,omitempty"`
}

const (
	distanceUnknown = 254
	distanceAll     = 255
)

func encodeAcks(states []memberState) Acks {
	var acks Acks
	for _, known := range states {
		if known.acked != ackAll {
			acks.Base = max(acks.Base, known.acked)
		}
	}
	dense := make([]byte, len(states))
	var sparse []byte
	for i, known := range states {
		dense[i] = ackDistance(acks.Base, known.acked)
		if dense[i] != 0 {
			sparse = append(binary.BigEndian.AppendUint16(sparse, uint16(i)), dense[i])
		}
	}
	if len(sparse) < len(dense) {
		acks.Sparse = sparse
		return acks
	}
	acks.Dense = dense
	return acks
}

func ackDistance(base, acked api.Revision) byte {
	switch {
	case acked == ackAll:
		return distanceAll
	case base-acked >= distanceUnknown:
		return distanceUnknown
	}
	return byte(base - acked)
}

// decode returns the acknowledged revision of each of count members, or false if the message is invalid.
func (a Acks) decode(count int) ([]api.Revision, bool) {
	distances := make([]byte, count)
	switch {
	case len(a.Dense) == count && len(a.Sparse) == 0:
		copy(distances, a.Dense)
	case len(a.Dense) != 0 || len(a.Sparse)%3 != 0:
		return nil, false
	}
	for entry := a.Sparse; len(entry) > 0; entry = entry[3:] {
		index := int(binary.BigEndian.Uint16(entry))
		if index >= count {
			return nil, false
		}
		distances[index] = entry[2]
	}
	acked := make([]api.Revision, count)
	for i, d := range distances {
		switch {
		case d == distanceAll:
			acked[i] = ackAll
		case d < distanceUnknown && api.Revision(d) <= a.Base:
			acked[i] = a.Base - api.Revision(d)
		}
	}
	return acked, true
}

// encodeAge rounds up, so that an age never becomes smaller on its way.
func encodeAge(at, now time.Duration) byte {
	if at == 0 {
		return ageUnknown
	}
	units := (now - at + ageUnit - 1) / ageUnit
	return byte(min(max(units, 0), ageUnknown))
}

// decodeAge returns the time that lies an age before base, or 0 if the age is unknown.
func decodeAge(age byte, base time.Duration) time.Duration {
	if age == ageUnknown {
		return 0
	}
	return base - time.Duration(age)*ageUnit
}
