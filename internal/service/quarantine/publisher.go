package quarantine

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/phuslu/log"

	"redwingloft/internal/data/fleet"
	"redwingloft/internal/data/store"
	"redwingloft/internal/helper/clock"
	"redwingloft/internal/helper/hashing"
	"redwingloft/internal/helper/metric"
)

const (
	// PublishInterval is the interval at which decisions are written to the store.
	PublishInterval = 500 * time.Millisecond
	// publishTimeout bounds one write.
	publishTimeout = 2 * time.Second
	// maxWrites bounds the writes and the removals of one transaction.
	maxWrites = 16
	// removalDelay is how long after its end a quarantine is removed from the store. The wall
	// clocks of hosts may differ.
	removalDelay = time.Minute
)

// Publisher writes the decisions of the collector on this host to the store, from which all hosts
// get them, also those that start later. Set the exported fields before use.
type Publisher struct {
	Collector *Collector
	Store     store.Store
	// Prefix is the key prefix of quarantined parts.
	Prefix string
	// Stored returns the quarantined parts in the store by id.
	Stored func() map[string]fleet.QuarantinedPart
	// Lost returns the parts that the store lost when it came back from an older copy, and Lifted
	// those that it has again although they were removed. Both may be nil.
	Lost, Lifted func() []fleet.QuarantinedPart
	// Removes reports whether this host removes the quarantines that have ended.
	Removes func() bool
	Log     *log.Logger
	Metrics *metric.Set
}

// Run writes new decisions and removes quarantines that have ended.
func (p *Publisher) Run(time.Time) {
	now := clock.Now()
	var txn store.Txn
	parts := p.Collector.Unstored(now)
	if p.Removes() && p.Lost != nil {
		parts = append(parts, p.Lost()...)
	}
	for _, part := range parts {
		if len(txn.Puts) == maxWrites {
			break
		}
		value, err := json.Marshal(part)
		if err != nil {
			p.Log.Error().Str("part", part.Part).Err(err).Msg("quarantine_not_encoded")
			continue
		}
		txn.Puts = append(txn.Puts, store.Put{Key: Key(p.Prefix, part.Part), Value: value})
	}
	if p.Removes() {
		for id, part := range p.Stored() {
			if now.Sub(part.Until) > removalDelay && len(txn.Deletes) < maxWrites {
				txn.Deletes = append(txn.Deletes, Key(p.Prefix, id))
			}
		}
		if p.Lifted != nil {
			for _, part := range p.Lifted() {
				if len(txn.Deletes) < maxWrites {
					txn.Deletes = append(txn.Deletes, Key(p.Prefix, part.Part))
				}
			}
		}
	}
	if len(txn.Puts)+len(txn.Deletes) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), publishTimeout)
	defer cancel()
	// A write whose reply is lost is repeated until the decision is in the view.
	if _, err := p.Store.Txn(ctx, txn); err != nil {
		p.Metrics.Counter("quarantine.write_failures").Inc(1)
		p.Log.Warn().Int("parts", len(txn.Puts)).Int("removed", len(txn.Deletes)).Err(err).Msg("quarantine_not_written")
		return
	}
	p.Metrics.Counter("quarantine.written").Inc(int64(len(txn.Puts)))
}

// Key returns the key in the store of a part, whose id may be longer than a key.
func Key(prefix, part string) string { return prefix + fmt.Sprintf("%016x", hashing.Of(part)) }
