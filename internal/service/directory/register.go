package directory

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"redwingloft/internal/data/store"
)

const (
	// RegistrationLife is the life of a registration without renewal. A host that is gone
	// leaves the address list after it.
	RegistrationLife = 3 * time.Second
	// renewPeriod leaves room for two lost renewals.
	renewPeriod = time.Second
)

// registration is the state of the host's entry in the store.
type registration struct {
	mu    sync.Mutex
	lease store.LeaseID
	// written is the version of the entry's last write; 0 while it is not written.
	written store.Version
	// left is set when the host leaves; the entry is not written again.
	left bool
}

// Register keeps the host registered until ctx ends or Leave is called.
func (s *Service) Register(ctx context.Context) (cancel func()) {
	renew := func(time.Time) {
		if err := s.renew(ctx, &s.registration); err != nil && ctx.Err() == nil {
			s.Metrics.Counter("directory.register_failures").Inc(1)
			s.Log.Debug().Err(err).Msg("registration_failed")
		}
	}
	go renew(s.now())
	return s.Timer.Every(renewPeriod, renew)
}

// renew extends the lease, and writes the entry anew where the lease has ended.
func (s *Service) renew(ctx context.Context, current *registration) error {
	current.mu.Lock()
	defer current.mu.Unlock()
	if current.left {
		return nil
	}
	if current.lease != 0 {
		err := s.Store.KeepAlive(ctx, current.lease)
		switch {
		case store.IsErrLeaseNotFound(err):
			current.lease = 0
			s.Log.Info().Msg("registration_lapsed")
		case err != nil:
			return err
		}
	}
	if current.lease == 0 {
		lease, err := s.Store.Grant(ctx, RegistrationLife)
		if err != nil {
			return err
		}
		current.lease, current.written = lease, 0
		s.Self.Started = time.Now().UnixMilli()
	}
	if current.written != 0 && s.listed(current.written) {
		return nil
	}
	version, err := s.writeSelf(ctx, current.lease)
	if store.IsErrLeaseNotFound(err) {
		current.lease = 0
	}
	current.written = version
	return err
}

// listed reports whether the host's entry is in the store, as far as the view tells
// that has reached the version of its write.
func (s *Service) listed(written store.Version) bool {
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

// writeSelf writes the host's entry. It has one writer, so that a write whose reply
// is lost can be made again.
func (s *Service) writeSelf(ctx context.Context, lease store.LeaseID) (store.Version, error) {
	value, err := json.Marshal(s.Self)
	if err != nil {
		return 0, err
	}
	result, err := s.Store.Txn(ctx, store.Txn{Puts: []store.Put{{Key: s.selfKey(), Value: value, Lease: lease}}})
	if err != nil {
		return 0, err
	}
	return result.Version, nil
}

func (s *Service) selfKey() string { return s.Decoder.HostPrefix + string(s.Self.ID) }

// Leave removes the host's entry and does not write it again.
func (s *Service) Leave(ctx context.Context) error {
	s.registration.mu.Lock()
	defer s.registration.mu.Unlock()
	s.registration.left = true
	_, err := s.Store.Txn(ctx, store.Txn{Deletes: []string{s.selfKey()}})
	return err
}
