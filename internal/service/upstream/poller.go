package upstream

import (
	"context"
	"sync"

	"redwingloft/internal/kernel"
	"redwingloft/pkg/api"
)

// Poller takes over leaving marks from the platform's host list. The list lags,
// so it ends a mark only where it showed the upstream as leaving before.
type Poller struct {
	List  kernel.HostList
	Table *Table

	mu sync.Mutex
	// started and applied number the reads, so that a slow one does not replace a newer one.
	started uint64
	applied uint64
	// leaving holds the upstreams that the list last showed as leaving. Entries
	// that are missing from a later list keep their state.
	leaving map[listedKey]bool
}

type listedKey struct {
	upstream api.UpstreamID
	address  api.Address
}

// Poll reads the list once. Where that fails, the last list stays in use.
func (p *Poller) Poll(ctx context.Context) error {
	p.mu.Lock()
	p.started++
	number := p.started
	p.mu.Unlock()
	listed, err := p.List.Fetch(ctx)
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if number < p.applied {
		return nil
	}
	p.applied = number
	p.apply(listed)
	return nil
}

// apply compares the list with the one before. The caller holds the lock.
func (p *Poller) apply(listed []kernel.Listed) {
	states := make(map[api.Address]kernel.ListedState, len(listed))
	for _, entry := range listed {
		states[entry.Address] = entry.State
	}
	seen := p.Table.now()
	next := map[listedKey]bool{}
	for _, instance := range p.Table.load().byID {
		key := listedKey{instance.ID, instance.Address}
		state, found := states[instance.Address]
		switch was := p.leaving[key]; {
		case state == kernel.ListedLeaving:
			next[key] = true
			if !was {
				p.Table.leave(instance, CauseHostList, seen)
			}
		case !found && was:
			next[key] = true
		case was:
			p.Table.started(instance, CauseHostList)
		}
	}
	p.leaving = next
}
