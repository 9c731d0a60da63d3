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

// ageUnknown is the wire age of a member that was not heard of within 25.4 s.
const ageUnknown = 255

// Message is one direction of an exchange between two hosts.
type Message struct {
	// From has all fields where the sender is not in its own list, and only the host id elsewhere.
	From Member `json:"from"`
	// ListVersion is the version of the list to which Ages and Acks are parallel.
	ListVersion store.Version `json:"list_version"`
	// Documents are the member documents that the receiver lacks.
	Documents map[api.DataCentre]Versioned `json:"documents,omitempty"`
	// Ages holds the age of each member in units of 100 ms, rounded up. Only answers
	// carry it: a request may be under way for any time, so that its ages prove nothing.
	Ages []byte `json:"ages,omitempty"`
	Acks Acks   `json:"acks"`
	// Revision is the configuration in force at the sender.
	Revision api.Revision `json:"revision"`
	// Acked is the acknowledgement of the sender itself.
	Acked api.Revision `json:"acked"`
	// Complete is the highest revision whose handover is complete.
	Complete api.Revision `json:"complete,omitempty"`
	// Fresh is the latest evidence of the sender; nil means that it is not fresh.
	Fresh    *Freshness   `json:"fresh,omitempty"`
	Strays   []Stray      `json:"unregistered,omitempty"`
	Draining []api.HostID `json:"draining,omitempty"`
	// Events are upstream events of the sender up to number EventsTo.
	Events   json.RawMessage `json:"events,omitempty"`
	EventsTo uint64          `json:"events_to,omitempty"`
	// EventsSeen is the number up to which the sender has the receiver's events.
	EventsSeen uint64 `json:"events_seen,omitempty"`
}

// Freshness is evidence on the wire.
type Freshness struct {
	// AgeMs is the age in milliseconds, rounded up.
	AgeMs    int64        `json:"age_ms"`
	Revision api.Revision `json:"revision"`
}

// Stray is a host outside the list on the wire.
type Stray struct {
	Member
	Age   byte         `json:"age"`
	Acked api.Revision `json:"acked"`
}

// Acks is the acknowledged revision of each member as its distance below Base:
// 254 means that it is unknown, 255 that the member starts nothing any more.
type Acks struct {
	Base api.Revision `json:"base"`
	// Dense has one byte for each member.
	Dense []byte `json:"dense,omitempty"`
	// Sparse has three bytes, index and distance, for each member whose distance is not 0.
	// It is used in place of Dense where it is shorter.
	Sparse []byte `json:"sparse,omitempty"`
}

const (
	distanceUnknown = 254
	distanceNever   = 255
)

func encodeAcks(states []state) Acks {
	var acks Acks
	for _, known := range states {
		if known.acked != never {
			acks.Base = max(acks.Base, known.acked)
		}
	}
	dense := make([]byte, len(states))
	var sparse []byte
	for i, known := range states {
		dense[i] = distance(acks.Base, known.acked)
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

func distance(base, acked api.Revision) byte {
	switch {
	case acked == never:
		return distanceNever
	case base-acked >= distanceUnknown:
		return distanceUnknown
	}
	return byte(base - acked)
}

// decode returns the acknowledgement of each of count members, or false where the message is not valid.
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
		case d == distanceNever:
			acked[i] = never
		case d < distanceUnknown && api.Revision(d) <= a.Base:
			acked[i] = a.Base - api.Revision(d)
		}
	}
	return acked, true
}

// encodeAge rounds up, so that an age never shrinks on its way.
func encodeAge(at, now time.Duration) byte {
	if at == 0 {
		return ageUnknown
	}
	units := (now - at + ageUnit - 1) / ageUnit
	return byte(min(max(units, 0), ageUnknown))
}

// decodeAge returns the time of an age before base, or 0 where it is unknown.
func decodeAge(age byte, base time.Duration) time.Duration {
	if age == ageUnknown {
		return 0
	}
	return base - time.Duration(age)*ageUnit
}
