package keyvalue

import (
	"context"
	"sync"
	"time"

	"redwingloft/internal/data/store"
)

// Fault is the fault that a Faulty store injects into one transaction.
type Fault int

// The faults of a transaction.
const (
	// FaultNone applies the transaction.
	FaultNone Fault = iota
	// FaultUnavailable applies nothing and returns store.ErrUnavailable.
	FaultUnavailable
	// FaultDropReply applies the transaction and returns store.ErrUnknownOutcome, as if the reply were lost.
	FaultDropReply
	// FaultApplyLate returns store.ErrUnknownOutcome and applies the transaction after the next one,
	// so that a retry can overtake it.
	FaultApplyLate
	// FaultDelay applies the transaction after one millisecond.
	FaultDelay
)

// Hook handles one transaction; apply passes it to the inner store.
type Hook func(txn store.Txn, apply func() (store.TxnResult, error)) (store.TxnResult, error)

// Faulty wraps a store and injects faults into its calls. Several instances over one
// store simulate hosts whose connections to the store fail independently.
type Faulty struct {
	store.Store

	mu      sync.Mutex
	faults  []Fault
	hook    Hook
	pending []store.Txn
	down    bool
	// txns and grants count the calls of Txn and Grant.
	txns   int
	grants int
}

// NewFaulty returns a store over inner with no faults set.
func NewFaulty(inner store.Store) *Faulty { return &Faulty{Store: inner} }

// SetFaults sets the faults of the next transactions, in order.
func (f *Faulty) SetFaults(faults ...Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
}

// SetHook sets the hook of transactions without a fault from SetFaults; nil applies them.
func (f *Faulty) SetHook(hook Hook) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hook = hook
}

// SetDown sets whether all transactions and lease grants fail.
func (f *Faulty) SetDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

// Recover clears all faults and applies the pending transactions.
func (f *Faulty) Recover() {
	f.mu.Lock()
	pending := f.pending
	f.faults, f.hook, f.pending, f.down = nil, nil, nil, false
	f.mu.Unlock()
	f.applyAll(pending)
}

// Counts returns the number of calls of Txn and of Grant, including failed ones.
func (f *Faulty) Counts() (txns, grants int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.txns, f.grants
}

func (f *Faulty) applyAll(pending []store.Txn) {
	for _, txn := range pending {
		// The result is discarded, as the reply of this transaction was lost.
		_, _ = f.Store.Txn(context.Background(), txn)
	}
}

// nextFault removes and returns the fault of one transaction, its hook, and the pending
// transactions to apply after it.
func (f *Faulty) nextFault() (Fault, Hook, []store.Txn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.txns++
	if f.down {
		return FaultUnavailable, nil, nil
	}
	pending := f.pending
	f.pending = nil
	if len(f.faults) == 0 {
		return FaultNone, f.hook, pending
	}
	first := f.faults[0]
	f.faults = f.faults[1:]
	return first, nil, pending
}

// Txn applies txn, subject to the injected faults.
func (f *Faulty) Txn(ctx context.Context, txn store.Txn) (store.TxnResult, error) {
	fault, hook, pending := f.nextFault()
	defer f.applyAll(pending)
	apply := func() (store.TxnResult, error) { return f.Store.Txn(ctx, txn) }
	switch fault {
	case FaultUnavailable:
		return store.TxnResult{}, store.ErrUnavailable.New("injected refusal")
	case FaultDropReply:
		_, _ = apply()
		return store.TxnResult{}, store.ErrUnknownOutcome.New("injected loss of the reply")
	case FaultApplyLate:
		f.mu.Lock()
		f.pending = append(f.pending, txn)
		f.mu.Unlock()
		return store.TxnResult{}, store.ErrUnknownOutcome.New("injected loss of the reply")
	case FaultDelay:
		time.Sleep(time.Millisecond)
	}
	if hook != nil {
		return hook(txn, apply)
	}
	return apply()
}

// Grant creates a lease, or fails while the store is down.
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
