package order

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/google/uuid"

	"redwingloft/internal/data/store"
	"redwingloft/internal/helper/fault"
	"redwingloft/pkg/api"
)

const (
	// numShards is the number of key ranges over which order records are spread.
	numShards = 16
	// keyExpiryMargin is how long before its record an idempotency key expires. It covers the
	// time from the check of a key to the send of its order (at most the longest deadline of a
	// document, 10 minutes), maxKeyLead, and the clock differences between hosts and callers.
	keyExpiryMargin = 20 * time.Minute
	// maxKeyLead is how far the timestamp of a key may lie in the future.
	maxKeyLead = time.Minute
)

// State is the state of an order record.
type State string

// The states of an order record.
const (
	StateClaimed State = "claimed"
	StateSending State = "sending"
	StateDone    State = "done"
)

// Record is the stored value of an order key.
type Record struct {
	// Token is the random ID of the claim.
	Token string     `json:"token"`
	Host  api.HostID `json:"host"`
	State State      `json:"state"`
	// Digest is the hex SHA-256 of the request body.
	Digest string `json:"digest"`
	// Fenced is true if the holder writes StateSending before it sends the order. It reflects
	// the configuration of the holder at the time, which may have changed since.
	Fenced bool `json:"fenced,omitempty"`
	// ClaimedMs is the time of the claim by the holder's clock, in Unix milliseconds.
	ClaimedMs int64 `json:"claimed_ms"`
	// Status and Body are set in StateDone.
	Status int    `json:"status,omitempty"`
	Body   []byte `json:"body,omitempty"`
	// BodyOmitted is true if the body was too large to be stored.
	BodyOmitted bool `json:"body_omitted,omitempty"`
}

// replay returns the recorded outcome of a finished order.
func (r *Record) replay() (Outcome, error) {
	if r.BodyOmitted {
		err := fault.New(api.KindOrderOutcomeUnknown, "the order was run with status %d; its response was too large to be stored", r.Status)
		return Outcome{}, fault.WithRunState(err, api.RunYes)
	}
	return Outcome{Status: r.Status, Body: r.Body, Replayed: true}, nil
}

// Claim requests one conditional write of an order record: the claim itself, a later state of
// the record, or its deletion.
type Claim struct {
	// ID is the hex SHA-256 of workspace, service, call and idempotency key.
	ID string `json:"id"`
	// Token is the random ID of the claim that the write belongs to.
	Token string `json:"token"`
	// Version is the revision that the record must have; 0 means that it must not exist.
	Version store.Version `json:"version,omitempty"`
	// Record is the record to write; nil deletes it.
	Record *Record `json:"record,omitempty"`
}

// valid reports whether another host is allowed to request this write.
func (c Claim) valid() bool {
	raw, err := hex.DecodeString(c.ID)
	if err != nil || len(raw) != sha256.Size || c.Token == "" || c.Version < 0 {
		return false
	}
	if c.Record == nil {
		return c.Version > 0
	}
	return c.Record.Token == c.Token && len(c.Record.Body) <= maxStoredBody
}

// ClaimState is the result state of a claim.
type ClaimState string

// The result states of a claim.
const (
	// ClaimApplied means that the write was applied.
	ClaimApplied ClaimState = "held"
	// ClaimConflict means that the record has another revision and was not written.
	ClaimConflict ClaimState = "taken"
	// ClaimUnknown means that the write is not known to be applied.
	ClaimUnknown ClaimState = "unavailable"
)

// ClaimResult is the result of one claim.
type ClaimResult struct {
	State ClaimState `json:"state"`
	// Version is the revision of the record unless the result is unknown; 0 if it does not
	// exist.
	Version store.Version `json:"version,omitempty"`
	// Record is the existing record after a conflict; nil if there is none.
	Record *Record `json:"record,omitempty"`
	// Unsettled is true if an earlier attempt of the write may still be applied.
	Unsettled bool `json:"unsettled,omitempty"`
}

// validFor reports whether a result from another host is a possible result of a write.
func (r ClaimResult) validFor(w write) bool {
	switch r.State {
	case ClaimApplied:
		return r.Version > 0 || w.record == nil
	case ClaimConflict:
		return (r.Version > 0) == (r.Record != nil) && (r.Record != nil || w.version > 0)
	}
	return r.State == ClaimUnknown
}

// recordID returns the ID of the record of an order and its shard.
func recordID(order Order) (string, int) {
	name := sha256.New()
	for _, part := range []string{string(order.Workspace), string(order.Service), string(order.Call), order.Key} {
		name.Write([]byte(part))
		name.Write([]byte{0})
	}
	sum := name.Sum(nil)
	return hex.EncodeToString(sum), int(sum[0]) % numShards
}

// checkKey rejects a key that is not a UUID version 7, and one whose record may have expired.
func (c *Coordinator) checkKey(key string) error {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 || id.Variant() != uuid.RFC4122 {
		return fault.New(api.KindOrderKeyRequired, "the call is not idempotent and requires an Idempotency-Key that is a UUID version 7")
	}
	seconds, nanoseconds := id.Time().UnixTime()
	age := c.now().Sub(time.Unix(seconds, nanoseconds))
	switch {
	case age > c.retention()-keyExpiryMargin:
		return fault.New(api.KindOrderKeyExpired, "the idempotency key has expired")
	case age < -maxKeyLead:
		return fault.New(api.KindOrderKeyExpired, "the timestamp of the idempotency key is in the future")
	}
	return nil
}

// heldClaim is a claim whose record this host holds or may still obtain.
type heldClaim struct {
	shard int
	id    string
	// claimed is the record of the claim, in StateClaimed.
	claimed Record
	// version is the revision of the record; 0 means that it is not known.
	version store.Version
	// maybeApplied is true if an earlier attempt to write the claim may still be applied.
	maybeApplied bool
}

// newHeldClaim returns a new claim for an order, which is not yet written.
func (c *Coordinator) newHeldClaim(order Order) heldClaim {
	id, shard := recordID(order)
	body := sha256.Sum256(order.Body)
	return heldClaim{shard: shard, id: id, claimed: Record{
		Token: uuid.NewString(), Host: c.Host, State: StateClaimed,
		Digest: hex.EncodeToString(body[:]), Fenced: order.Fenced, ClaimedMs: c.now().UnixMilli(),
	}}
}

// write returns a conditional write of the claim's record; a nil record deletes it.
func (h heldClaim) write(version store.Version, record *Record) write {
	return write{id: h.id, version: version, token: h.claimed.Token, record: record}
}

func parseRecord(value []byte) (*Record, error) {
	record := &Record{}
	if err := json.Unmarshal(value, record); err != nil {
		return nil, err
	}
	return record, nil
}
