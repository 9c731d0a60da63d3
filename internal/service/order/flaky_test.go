package order

import (
	"context"
	"sync"
	"time"

	"redwingloft/internal/data/store"
)

// fate is what a flaky store does with one transaction.
type fate int

const (
	fateOK fate = iota
	fateRefuse
	// fateDrop applies and gives no reply.
	fateDrop
	// fateLate gives no reply and applies before the next but one transaction.
	fateLate
	fateDelay
)

// flaky is a store whose transactions fail in the order of a list of fates.
type flaky struct {
	store.Store
	mu    sync.Mutex
	fates []fate
	late  []store.Txn
	// down refuses every call while it is true.
	down   bool
	txns   int
	grants int
}

func (f *flaky) next() (fate, []store.Txn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.txns++
	late := f.late
	f.late = nil
	if f.down {
		f.late = late
		return fateRefuse, nil
	}
	if len(f.fates) == 0 {
		return fateOK, late
	}
	first := f.fates[0]
	f.fates = f.fates[1:]
	return first, late
}

func (f *flaky) setDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

// recover ends all faults. What is late applies now, within the horizon for which desks look for it.
func (f *flaky) recover() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fates = nil
	for _, past := range f.late {
		_, _ = f.Store.Txn(context.Background(), past)
	}
	f.late = nil
}

func (f *flaky) Txn(ctx context.Context, txn store.Txn) (store.TxnResult, error) {
	fate, late := f.next()
	// What was late applies after this transaction, so that a repeat can overtake it.
	defer func() {
		for _, past := range late {
			_, _ = f.Store.Txn(ctx, past)
		}
	}()
	switch fate {
	case fateRefuse:
		return store.TxnResult{}, store.ErrUnavailable.New("refused")
	case fateDrop:
		_, _ = f.Store.Txn(ctx, txn)
		return store.TxnResult{}, store.ErrUnknownOutcome.New("no reply")
	case fateLate:
		f.mu.Lock()
		f.late = append(f.late, txn)
		f.mu.Unlock()
		return store.TxnResult{}, store.ErrUnknownOutcome.New("no reply")
	case fateDelay:
		time.Sleep(time.Millisecond)
	}
	return f.Store.Txn(ctx, txn)
}

func (f *flaky) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	f.mu.Lock()
	f.grants++
	down := f.down
	f.mu.Unlock()
	if down {
		return 0, store.ErrUnavailable.New("refused")
	}
	return f.Store.Grant(ctx, ttl)
}
