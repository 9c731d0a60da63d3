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
	// shards is the number of key ranges over which order records are spread.
	shards = 16
	// ageMargin is the time by which a key expires before its record may. It covers the
	// time from the check of a key to the send of its order, which is at most the
	// longest deadline of a document (10 minutes), maxAhead, and the difference of the
	// clocks of hosts and callers.
	ageMargin = 20 * time.Minute
	// maxAhead bounds how far the time of a key may lie in the future.
	maxAhead = time.Minute
)

// State is the state of an order record.
type State string

// The states of an order record.
const (
	StateClaimed State = "claimed"
	StateSending State = "sending"
	StateDone    State = "done"
)

// Record is the value of an order key.
type Record struct {
	// Token is the random id of the claim.
	Token string     `json:"token"`
	Host  api.HostID `json:"host"`
	State State      `json:"state"`
	// Digest is the hex SHA-256 of the request body.
	Digest string `json:"digest"`
	// Fenced tells that the holder writes StateSending before it sends the order. It
	// goes by the configuration of the holder, which may have changed since.
	Fenced bool `json:"fenced,omitempty"`
	// ClaimedMs is the time of the claim by the holder's clock, in Unix milliseconds.
	ClaimedMs int64 `json:"claimed_ms"`
	// Status and Body are set in StateDone.
	Status int    `json:"status,omitempty"`
	Body   []byte `json:"body,omitempty"`
	// BodyOmitted tells that the body was too large to be stored.
	BodyOmitted bool `json:"body_omitted,omitempty"`
}

// replay answers a repeat of a finished order.
func (r *Record) replay() (Outcome, error) {
	if r.BodyOmitted {
		err := fault.New(api.KindOrderOutcomeUnknown, "the order was run with status %d; its answer was too large to be kept", r.Status)
		return Outcome{}, fault.WithRun(err, api.RunYes)
	}
	return Outcome{Status: r.Status, Body: r.Body, Replayed: true}, nil
}

// Claim asks for one conditional write of an order record: the claim itself, a
// later state of the record, or its deletion.
type Claim struct {
	// ID is the hex SHA-256 of workspace, service, call and idempotency key.
	ID string `json:"id"`
	// Token is the random id of the claim for which the write is made.
	Token string `json:"token"`
	// Version is the revision that the record must have; 0 asks that it does not exist.
	Version store.Version `json:"version,omitempty"`
	// Record is the record to write; nil deletes it.
	Record *Record `json:"record,omitempty"`
}

// valid reports whether another host may ask for this write.
func (c Claim) valid() bool {
	raw, err := hex.DecodeString(c.ID)
	if err != nil || len(raw) != sha256.Size || c.Token == "" || c.Version < 0 {
		return false
	}
	if c.Record == nil {
		return c.Version > 0
	}
	return c.Record.Token == c.Token && len(c.Record.Body) <= maxBody
}

// ClaimState is the result of a claim.
type ClaimState string

// The results of a claim.
const (
	// ClaimHeld says that the write was applied.
	ClaimHeld ClaimState = "held"
	// ClaimTaken says that the record has another revision and was not written.
	ClaimTaken ClaimState = "taken"
	// ClaimUnavailable says that the write is not known to be applied.
	ClaimUnavailable ClaimState = "unavailable"
)

// ClaimResult is the result of one claim.
type ClaimResult struct {
	State ClaimState `json:"state"`
	// Version is the revision of the record in ClaimHeld and ClaimTaken; 0 where it does not exist.
	Version store.Version `json:"version,omitempty"`
	// Record is the record that was found in ClaimTaken; nil where there is none.
	Record *Record `json:"record,omitempty"`
	// Unsettled tells that an earlier try of the write may still be applied.
	Unsettled bool `json:"unsettled,omitempty"`
}

// answers reports whether a result from another host can be the result of a write.
func (r ClaimResult) answers(w write) bool {
	switch r.State {
	case ClaimHeld:
		return r.Version > 0 || w.record == nil
	case ClaimTaken:
		return (r.Version > 0) == (r.Record != nil) && (r.Record != nil || w.version > 0)
	}
	return r.State == ClaimUnavailable
}

// identify returns the id of the record of an order and its shard.
func identify(order Order) (string, int) {
	name := sha256.New()
	for _, part := range []string{string(order.Workspace), string(order.Service), string(order.Call), order.Key} {
		name.Write([]byte(part))
		name.Write([]byte{0})
	}
	sum := name.Sum(nil)
	return hex.EncodeToString(sum), int(sum[0]) % shards
}

// checkKey refuses a key that is no UUID version 7, and one whose record may have expired.
func (d *Desk) checkKey(key string) error {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 || id.Variant() != uuid.RFC4122 {
		return fault.New(api.KindOrderKeyRequired, "the call may not be repeated and needs an Idempotency-Key that is a UUID version 7")
	}
	seconds, nanoseconds := id.Time().UnixTime()
	age := d.now().Sub(time.Unix(seconds, nanoseconds))
	switch {
	case age > d.retention()-ageMargin:
		return fault.New(api.KindOrderKeyExpired, "the idempotency key is older than records are kept")
	case age < -maxAhead:
		return fault.New(api.KindOrderKeyExpired, "the time of the idempotency key lies in the future")
	}
	return nil
}

// holding is a claim whose record this host holds or may come to hold.
type holding struct {
	shard int
	id    string
	// own is the record of the claim, in StateClaimed.
	own Record
	// version is the revision of the record; 0 means that it is not known.
	version store.Version
	// late tells that an earlier try to write the claim may still be applied.
	late bool
}

// newHolding returns a new claim of an order, which is not yet made.
func (d *Desk) newHolding(order Order) holding {
	id, shard := identify(order)
	body := sha256.Sum256(order.Body)
	return holding{shard: shard, id: id, own: Record{
		Token: uuid.NewString(), Host: d.Host, State: StateClaimed,
		Digest: hex.EncodeToString(body[:]), Fenced: order.Fenced, ClaimedMs: d.now().UnixMilli(),
	}}
}

// write returns the conditional write of the claim's record; a nil record deletes it.
func (h holding) write(version store.Version, record *Record) write {
	return write{id: h.id, version: version, token: h.own.Token, record: record}
}

func parseRecord(value []byte) (*Record, error) {
	record := &Record{}
	if err := json.Unmarshal(value, record); err != nil {
		return nil, err
	}
	return record, nil
}
