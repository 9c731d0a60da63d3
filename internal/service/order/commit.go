package order

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"redwingloft/internal/data/store"
)

const (
	// maxBatchBytes limits the values of one transaction; the store accepts requests of up to
	// 1.5 MiB.
	maxBatchBytes = 1 << 20
	// commitTimeout bounds the attempts to commit one batch while its result is unknown.
	commitTimeout = 3 * time.Second
	// initialBackoff and maxBackoff bound the delay between two attempts.
	initialBackoff = 10 * time.Millisecond
	maxBackoff     = 200 * time.Millisecond
)

// write is a conditional write of one record.
type write struct {
	// id is the ID of the record.
	id string
	// version is the revision that the record must have; 0 means that it must not exist.
	version store.Version
	// token is the token of the claim that the write belongs to.
	token string
	// record is the new record; nil deletes it.
	record *Record
}

// writeState is the result of a write.
type writeState int

const (
	// writeUnknown means that the write is not known to be applied.
	writeUnknown writeState = iota
	// writeApplied means that the key has the written value, or was deleted.
	writeApplied
	// writeConflict means that the key has another version and was not written.
	writeConflict
)

type writeResult struct {
	state writeState
	// version is the revision of the key after writeApplied or writeConflict; 0 if it does not
	// exist.
	version store.Version
	// found is the existing record after writeConflict; nil if the key does not exist.
	found *Record
	// unsettled is true if an attempt of the write may still be applied later.
	unsettled bool
}

// job is a write queued in a committer.
type job struct {
	write
	key   string
	ctx   context.Context
	value []byte
	// unsettled is true if an attempt without a reply may still be applied.
	unsettled bool
	// result is buffered, so that a result for a caller that has disconnected does not block.
	result chan writeResult
}

func (j *job) finish(result writeResult) {
	result.unsettled = result.unsettled || j.unsettled
	j.result <- result
}

// committer groups the writes of one shard into transactions. While one transaction is in
// flight, further writes are queued for the next.
type committer struct {
	coordinator *Coordinator
	store       store.Store
	shard       int

	mu      sync.Mutex
	queue   []*job
	running bool
	// lastStart is the start time of the last transaction.
	lastStart time.Time
}

func newCommitter(c *Coordinator, s store.Store, shard int) *committer {
	return &committer{coordinator: c, store: s, shard: shard}
}

// do performs one write and waits for its result until ctx ends.
func (c *committer) do(ctx context.Context, w write) writeResult {
	j := c.add(ctx, w)
	select {
	case result := <-j.result:
		return result
	case <-ctx.Done():
		return writeResult{unsettled: true}
	}
}

// add appends a write to the queue.
func (c *committer) add(ctx context.Context, w write) *job {
	j := &job{write: w, key: c.coordinator.Keys.Order(c.shard, w.id), ctx: ctx, result: make(chan writeResult, 1)}
	if w.record != nil {
		// A record contains only plain values, so encoding can't fail.
		j.value, _ = json.Marshal(w.record)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queue = append(c.queue, j)
	if !c.running {
		c.running = true
		go c.run()
	}
	return j
}

func (c *committer) run() {
	for {
		if wait := c.coordinator.Interval - time.Since(c.lastStart); wait > 0 && !c.lastStart.IsZero() {
			time.Sleep(wait)
		}
		batch := c.nextBatch()
		if len(batch) == 0 {
			return
		}
		c.lastStart = time.Now()
		c.commit(batch)
	}
}

// nextBatch removes the next batch from the queue. No key occurs twice, because a transaction
// may write a key only once. It returns nothing if the queue is empty, which ends run.
func (c *committer) nextBatch() []*job {
	c.mu.Lock()
	defer c.mu.Unlock()
	var batch, rest []*job
	keys, size := map[string]bool{}, 0
	for _, j := range c.queue {
		if j.ctx.Err() != nil {
			j.finish(writeResult{})
			continue
		}
		fits := len(batch) < store.MaxOperations && (len(batch) == 0 || size+len(j.value) <= maxBatchBytes)
		if !fits || keys[j.key] {
			rest = append(rest, j)
			continue
		}
		keys[j.key] = true
		size += len(j.value)
		batch = append(batch, j)
	}
	c.queue = rest
	c.running = len(batch) > 0
	return batch
}

// commit writes a batch and finishes its jobs. An attempt without a reply is retried: it can't
// be applied twice, because each write names the version that it replaces.
func (c *committer) commit(batch []*job) {
	ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
	defer cancel()
	backoff := initialBackoff
	for ctx.Err() == nil {
		batch = dropCanceled(batch)
		if len(batch) == 0 {
			return
		}
		result, err := c.commitOnce(ctx, batch)
		switch {
		case err == nil && result.Applied:
			finishAll(batch, writeResult{state: writeApplied, version: result.Version})
			return
		case err == nil:
			batch = finishConflicts(batch, result.Entries)
			continue
		case store.IsErrLeaseNotFound(err):
			c.coordinator.count("lease_lost")
		case store.IsErrUnavailable(err):
			finishAll(batch, writeResult{})
			return
		default:
			for _, j := range batch {
				j.unsettled = true
			}
		}
		c.coordinator.count("retries")
		time.Sleep(backoff/2 + rand.N(backoff))
		backoff = min(2*backoff, maxBackoff)
	}
	finishAll(batch, writeResult{})
}

// dropCanceled removes the jobs whose context has ended. For a write that was attempted
// without a reply, do reports unsettled to its caller.
func dropCanceled(batch []*job) []*job {
	kept := batch[:0:0]
	for _, j := range batch {
		if j.ctx.Err() != nil {
			j.finish(writeResult{})
			continue
		}
		kept = append(kept, j)
	}
	return kept
}

func finishAll(batch []*job, result writeResult) {
	for _, j := range batch {
		j.finish(result)
	}
}

// commitOnce sends one transaction with the whole batch.
func (c *committer) commitOnce(ctx context.Context, batch []*job) (store.TxnResult, error) {
	id, err := c.coordinator.lease.get(ctx, c.coordinator)
	if err != nil {
		return store.TxnResult{}, store.ErrUnavailable.Wrap(err, "failed to get a lease for order records")
	}
	txn := store.Txn{}
	for _, j := range batch {
		txn.If = append(txn.If, store.Compare{Key: j.key, Version: j.version})
		txn.ReadElse = append(txn.ReadElse, j.key)
		if j.record == nil {
			txn.Deletes = append(txn.Deletes, j.key)
			continue
		}
		txn.Puts = append(txn.Puts, store.Put{Key: j.key, Value: j.value, Lease: id})
	}
	c.coordinator.count("transactions")
	result, err := c.store.Txn(ctx, txn)
	if store.IsErrLeaseNotFound(err) {
		c.coordinator.lease.invalidate(id)
	}
	return result, err
}

// finishConflicts finishes the jobs whose compare failed and returns the others.
func finishConflicts(batch []*job, entries []store.Entry) []*job {
	found := byKey(entries)
	var rest []*job
	for _, j := range batch {
		result, settled := j.reconcile(found[j.key])
		if !settled {
			rest = append(rest, j)
			continue
		}
		j.finish(result)
	}
	return rest
}

func byKey(entries []store.Entry) map[string]*store.Entry {
	found := make(map[string]*store.Entry, len(entries))
	for i := range entries {
		found[entries[i].Key] = &entries[i]
	}
	return found
}

// reconcile checks the stored entry of a key. It reports whether the write failed its compare,
// and returns writeApplied if that is because an earlier attempt was applied.
func (j *job) reconcile(entry *store.Entry) (writeResult, bool) {
	switch {
	case entry == nil && j.version == 0:
		return writeResult{}, false
	case entry == nil && j.record == nil:
		return writeResult{state: writeApplied}, true
	case entry == nil:
		return writeResult{state: writeConflict}, true
	case entry.Version == j.version:
		return writeResult{}, false
	}
	record, err := parseRecord(entry.Value)
	if err != nil {
		record = &Record{}
	}
	if j.record != nil && record.Token == j.token && record.State == j.record.State {
		return writeResult{state: writeApplied, version: entry.Version}, true
	}
	return writeResult{state: writeConflict, version: entry.Version, found: record}, true
}
