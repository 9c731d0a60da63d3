package directory

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"redwingloft/internal/data/store"
)

const (
	// RegistrationTTL is the TTL of a registration. A host that stops renewing it is
	// removed from the address list after this time.
	RegistrationTTL = 3 * time.Second
	// renewPeriod allows for two lost renewals.
	renewPeriod = time.Second
)

// registration is the state of the host's entry in the store.
type registration struct {
	mu    sync.Mutex
	lease store.LeaseID
	// startedAt is the time since which the host has been registered, apart from restores of the
	// store; zero if the lease may have expired.
	startedAt time.Time
	// renewedAt is the start of the last call that granted or renewed the lease.
	renewedAt time.Time
	// writtenVersion is the version of the last write of the entry; 0 if not written.
	writtenVersion store.Version
	// deregistered is set by Deregister; after that, the entry is not written again.
	deregistered bool
	// deletedVersion is the version at which Deregister deleted the entry; 0 if it has not.
	deletedVersion store.Version
	// renewNow is set by Register and starts a renewal.
	renewNow atomic.Pointer[func()]
}

// start registers the host without waiting for the next period.
func (r *registration) start() {
	if renew := r.renewNow.Load(); renew != nil {
		go (*renew)()
	}
}

// dropLease forgets the lease that is gone according to err. Other hosts can't have seen it expire
// within its TTL.
func (r *registration) dropLease(err error, now time.Time) {
	r.lease = 0
	if !store.IsErrLeaseLost(err) || now.Sub(r.renewedAt) >= RegistrationTTL {
		r.startedAt = time.Time{}
	}
}

// Register keeps the host registered from its first routing document on until ctx is
// canceled, the returned function is called, or Deregister is called. Callers would get no
// service from a host without a document.
func (s *Service) Register(ctx context.Context) (cancel func()) {
	renew := func(time.Time) {
		if err := s.renew(ctx, &s.registration); err != nil && ctx.Err() == nil {
			s.Metrics.Counter("directory.register_failures").Inc(1)
			s.Log.Debug().Err(err).Msg("registration_failed")
		}
	}
	now := func() { renew(s.now()) }
	s.registration.renewNow.Store(&now)
	s.registration.start()
	return s.Timer.Every(renewPeriod, renew)
}

// renew extends the lease, and writes the entry again if the lease has expired or
// the entry is missing.
func (s *Service) renew(ctx context.Context, reg *registration) error {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	if reg.deregistered {
		if view := s.View(); reg.deletedVersion != 0 && view.Version.Era() <= reg.deletedVersion.Era() {
			return nil
		}
		// The store came back from a copy that may have the entry, or was away before.
		return s.deleteRegistration(ctx, reg)
	}
	if s.View().Snapshot == nil {
		return nil
	}
	now := s.now()
	if reg.lease != 0 {
		err := s.Store.KeepAlive(ctx, reg.lease)
		switch {
		case store.IsErrLeaseNotFound(err):
			reg.dropLease(err, s.now())
			s.Log.Info().Msg("registration_lapsed")
		case err != nil:
			return err
		default:
			reg.renewedAt = now
		}
	}
	if reg.lease == 0 {
		lease, err := s.Store.Grant(ctx, RegistrationTTL)
		if err != nil {
			return err
		}
		reg.lease, reg.writtenVersion, reg.renewedAt = lease, 0, now
		if reg.startedAt.IsZero() {
			reg.startedAt = time.Now()
		}
	}
	if reg.writtenVersion != 0 && s.hasOwnEntry(reg.writtenVersion) {
		return nil
	}
	version, err := s.writeRegistration(ctx, reg)
	if store.IsErrLeaseNotFound(err) {
		reg.dropLease(err, s.now())
	}
	reg.writtenVersion = version
	return err
}

// hasOwnEntry reports whether the view contains the host's entry. It also returns
// true if the view is older than the last write.
func (s *Service) hasOwnEntry(written store.Version) bool {
	view := s.View()
	if view.Version < written {
		return true
	}
	for _, host := range view.Hosts {
		if host.ID == s.Self.ID {
			return true
		}
	}
	return false
}

// writeRegistration writes the host's entry. Only this host writes it, so a write
// without a reply can be repeated safely.
func (s *Service) writeRegistration(ctx context.Context, reg *registration) (store.Version, error) {
	host := s.Self
	host.Started = reg.startedAt.UnixMilli()
	value, err := json.Marshal(host)
	if err != nil {
		return 0, err
	}
	result, err := s.Store.Txn(ctx, store.Txn{Puts: []store.Put{{Key: s.registrationKey(), Value: value, Lease: reg.lease}}})
	if err != nil {
		return 0, err
	}
	return result.Version, nil
}

func (s *Service) registrationKey() string { return s.Decoder.HostPrefix + string(s.Self.ID) }

// Deregister deletes the host's entry and prevents further writes. The entry is deleted again if
// that fails, or if the store comes back from an older copy.
func (s *Service) Deregister(ctx context.Context) error {
	s.registration.mu.Lock()
	defer s.registration.mu.Unlock()
	s.registration.deregistered = true
	return s.deleteRegistration(ctx, &s.registration)
}

// deleteRegistration deletes the host's entry. The caller holds reg.mu.
func (s *Service) deleteRegistration(ctx context.Context, reg *registration) error {
	result, err := s.Store.Txn(ctx, store.Txn{Deletes: []string{s.registrationKey()}})
	reg.deletedVersion = result.Version
	return err
}
