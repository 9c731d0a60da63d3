package memory

import (
	"context"
	"sync"
	"time"
)

// Reservation collects what is reserved for one request in progress, until it ends. A nil Reservation reserves nothing and
// has no limit. It is safe for concurrent use.
type Reservation struct {
	account *Account

	mu   sync.Mutex
	size int64
	// ended is set by Release; nothing is reserved from then on.
	ended bool
}

// NewReservation returns an empty reservation.
func (a *Account) NewReservation() *Reservation { return &Reservation{account: a} }

// Reserve reserves further bytes. It returns ErrFull if there is no room for them.
func (r *Reservation) Reserve(size int64) error {
	if r == nil || r.account == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended {
		return nil
	}
	if !r.account.Reserve(size, time.Now()) {
		return ErrFull
	}
	r.size += size
	return nil
}

// Release returns all bytes of the reservation.
func (r *Reservation) Release() {
	if r == nil || r.account == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = true
	r.account.Return(r.size)
	r.size = 0
}

type reservationKey struct{}

// WithReservation returns a context that carries a reservation.
func WithReservation(ctx context.Context, r *Reservation) context.Context {
	return context.WithValue(ctx, reservationKey{}, r)
}

// ReservationOf returns the reservation of a context, or nil.
func ReservationOf(ctx context.Context) *Reservation {
	r, _ := ctx.Value(reservationKey{}).(*Reservation)
	return r
}
