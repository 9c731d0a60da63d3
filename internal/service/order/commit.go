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
	// maxBatchBytes bounds the values of one transaction; the service takes requests
	// of up to 1.5 MiB.
	maxBatchBytes = 1 << 20
	// commitTimeout bounds the tries of one batch while its outcome is unclear.
	commitTimeout = 3 * time.Second
	// firstPause and maxPause bound the wait between two tries.
	firstPause = 10 * time.Millisecond
	maxPause   = 200 * time.Millisecond
)

// write is one conditional write of a record.
type write struct {
	// id is the id of the record.
	id string
	// version is the revision that the record must have; 0 means that it must not exist.
	version store.Version
	// token is the token of the claim for which the write is made.
	token string
	// record is the new record; nil deletes it.
	record *Record
}

// writeState tells what became of a write.
type writeState int

const (
	// writeUnclear says that the write is not known to be applied.
	writeUnclear writeState = iota
	// writeApplied says that the key has the written value, or was deleted.
	writeApplied
	// writeConflict says that the key has another version and was not written.
	writeConflict
)

type writeResult struct {
	state writeState
	// version is the revision of the key after writeApplied and in writeConflict; 0 where it does not exist.
	version store.Version
	// found is the record in writeConflict; nil where the key does not exist.
	found *Record
	// unsettled tells that a try of the write may still be applied later.
	unsettled bool
}

// job is a write that waits for its result.
type job struct {
	write
	key   string
	ctx   context.Context
	value []byte
	// unsettled tells that a try without a reply may still be applied.
	unsettled bool
	// result has room for one result, so that nobody waits for a caller that left.
	result chan writeResult
}

func (j *job) answer(result writeResult) {
	result.unsettled = result.unsettled || j.unsettled
	j.result <- result
}

// committer merges the writes of one shard: while one transaction is under way,
// further writes wait for the next.
type committer struct {
	desk  *Desk
	store store.Store
	shard int

	mu      sync.Mutex
	queue   []*job
	running bool
	// last is the start of the last transaction.
	last time.Time
}

func newCommitter(d *Desk, s store.Store, shard int) *committer {
	return &committer{desk: d, store: s, shard: shard}
}

// do makes one write and waits for its result until ctx ends.
func (c *committer) do(ctx context.Context, w write) writeResult {
	j := c.add(ctx, w)
	select {
	case result := <-j.result:
		return result
	case <-ctx.Done():
		return writeResult{unsettled: true}
	}
}

// add queues a write.
func (c *committer) add(ctx context.Context, w write) *job {
	j := &job{write: w, key: c.desk.Keys.Order(c.shard, w.id), ctx: ctx, result: make(chan writeResult, 1)}
	if w.record != nil {
		// A record holds only plain values, whose encoding does not fail.
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
		if wait := c.desk.Interval - time.Since(c.last); wait > 0 && !c.last.IsZero() {
			time.Sleep(wait)
		}
		batch := c.next()
		if len(batch) == 0 {
			return
		}
		c.last = time.Now()
		c.commit(batch)
	}
}

// next takes the next batch from the queue: no key twice, as a transaction may
// write a key only once. It returns none where the queue is empty, and then run ends.
func (c *committer) next() []*job {
	c.mu.Lock()
	defer c.mu.Unlock()
	var batch, rest []*job
	keys, size := map[string]bool{}, 0
	for _, j := range c.queue {
		if j.ctx.Err() != nil {
			j.answer(writeResult{})
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

// commit writes a batch and answers its jobs. A try without a reply is made
// again: it can't apply twice, because each write names the version it replaces.
func (c *committer) commit(batch []*job) {
	ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
	defer cancel()
	pause := firstPause
	for ctx.Err() == nil {
		batch = present(batch)
		if len(batch) == 0 {
			return
		}
		result, err := c.try(ctx, batch)
		switch {
		case err == nil && result.Applied:
			answerAll(batch, writeResult{state: writeApplied, version: result.Version})
			return
		case err == nil:
			batch = resolve(batch, result.Entries)
			continue
		case store.IsErrLeaseNotFound(err):
			c.desk.count("lease_lost")
		case store.IsErrUnavailable(err):
			answerAll(batch, writeResult{})
			return
		default:
			for _, j := range batch {
				j.unsettled = true
			}
		}
		c.desk.count("retries")
		time.Sleep(pause/2 + rand.N(pause))
		pause = min(2*pause, maxPause)
	}
	answerAll(batch, writeResult{})
}

// present drops the jobs whose callers left. A write that was tried without a
// reply is reported to its caller as unsettled by do.
func present(batch []*job) []*job {
	kept := batch[:0:0]
	for _, j := range batch {
		if j.ctx.Err() != nil {
			j.answer(writeResult{})
			continue
		}
		kept = append(kept, j)
	}
	return kept
}

func answerAll(batch []*job, result writeResult) {
	for _, j := range batch {
		j.answer(result)
	}
}

// try sends one transaction of the whole batch.
func (c *committer) try(ctx context.Context, batch []*job) (store.TxnResult, error) {
	id, err := c.desk.lease.get(ctx, c.desk)
	if err != nil {
		return store.TxnResult{}, store.ErrUnavailable.Wrap(err, "no lease for the records")
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
	c.desk.count("transactions")
	result, err := c.store.Txn(ctx, txn)
	if store.IsErrLeaseNotFound(err) {
		c.desk.lease.forget(id)
	}
	return result, err
}

// resolve answers the jobs whose compare failed and returns the others.
func resolve(batch []*job, entries []store.Entry) []*job {
	found := byKey(entries)
	var rest []*job
	for _, j := range batch {
		result, settled := j.judge(found[j.key])
		if !settled {
			rest = append(rest, j)
			continue
		}
		j.answer(result)
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

// judge tells by the entry of a key whether its write failed its compare, and
// whether that is because an earlier try of it was applied.
func (j *job) judge(entry *store.Entry) (writeResult, bool) {
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
