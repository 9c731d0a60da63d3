package keyvalue

import (
	"context"
	"sync"
	"time"

	"redwingloft/internal/data/store"
)

// Fate is what a Faulty store does with one transaction.
type Fate int

// The fates.
const (
	FateOK Fate = iota
	// FateRefuse applies nothing and says so.
	FateRefuse
	// FateDrop applies and gives no reply.
	FateDrop
	// FateLate gives no reply and applies after the next transaction, so that a repeat can overtake it.
	FateLate
	// FateDelay applies after a millisecond.
	FateDelay
)

// Hook decides on one transaction; apply applies it.
type Hook func(txn store.Txn, apply func() (store.TxnResult, error)) (store.TxnResult, error)

// Faulty is a store within a test process whose calls fail on demand. Several of
// them may stand for the views that several hosts have of one service.
type Faulty struct {
	store.Store

	mu    sync.Mutex
	fates []Fate
	hook  Hook
	late  []store.Txn
	down  bool
	// txns and grants count the calls.
	txns   int
	grants int
}

// NewFaulty returns a store over inner without faults.
func NewFaulty(inner store.Store) *Faulty { return &Faulty{Store: inner} }

// SetFates sets what happens to the next transactions, in order.
func (f *Faulty) SetFates(fates ...Fate) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fates = fates
}

// SetHook sets what decides on transactions that have no fate; nil applies them.
func (f *Faulty) SetHook(hook Hook) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hook = hook
}

// SetDown refuses all transactions and leases, or ends that.
func (f *Faulty) SetDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

// Recover ends all faults, and applies now what is late.
func (f *Faulty) Recover() {
	f.mu.Lock()
	late := f.late
	f.fates, f.hook, f.late, f.down = nil, nil, nil, false
	f.mu.Unlock()
	f.applyAll(late)
}

// Counts returns the number of transactions and of leases asked for so far.
func (f *Faulty) Counts() (txns, grants int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.txns, f.grants
}

func (f *Faulty) applyAll(late []store.Txn) {
	for _, txn := range late {
		// Nobody waits for the result of a transaction whose reply was lost.
		_, _ = f.Store.Txn(context.Background(), txn)
	}
}

// next takes the fate of one transaction, and what is due to apply after it.
func (f *Faulty) next() (Fate, Hook, []store.Txn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.txns++
	if f.down {
		return FateRefuse, nil, nil
	}
	late := f.late
	f.late = nil
	if len(f.fates) == 0 {
		return FateOK, f.hook, late
	}
	first := f.fates[0]
	f.fates = f.fates[1:]
	return first, nil, late
}

// Txn applies txn, or fails.
func (f *Faulty) Txn(ctx context.Context, txn store.Txn) (store.TxnResult, error) {
	fate, hook, late := f.next()
	defer f.applyAll(late)
	apply := func() (store.TxnResult, error) { return f.Store.Txn(ctx, txn) }
	switch fate {
	case FateRefuse:
		return store.TxnResult{}, store.ErrUnavailable.New("injected refusal")
	case FateDrop:
		_, _ = apply()
		return store.TxnResult{}, store.ErrUnknownOutcome.New("injected loss of the reply")
	case FateLate:
		f.mu.Lock()
		f.late = append(f.late, txn)
		f.mu.Unlock()
		return store.TxnResult{}, store.ErrUnknownOutcome.New("injected loss of the reply")
	case FateDelay:
		time.Sleep(time.Millisecond)
	}
	if hook != nil {
		return hook(txn, apply)
	}
	return apply()
}

// Grant makes a lease, or fails.
func (f *Faulty) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	f.mu.Lock()
	f.grants++
	down := f.down
	f.mu.Unlock()
	if down {
		return 0, store.ErrUnavailable.New("injected refusal")
	}
	return f.Store.Grant(ctx, ttl)
}
