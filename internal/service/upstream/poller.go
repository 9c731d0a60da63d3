package upstream

import (
	"context"
	"sync"

	"redwingloft/internal/kernel"
	"redwingloft/pkg/api"
)

// Poller marks upstreams as draining based on the platform's host list. The list lags
// behind, so a draining state ends only if the list showed the upstream as draining before.
type Poller struct {
	List  kernel.HostList
	Table *Table

	mu sync.Mutex
	// lastStarted and lastApplied are sequence numbers of reads, so that a slow read
	// does not replace the result of a newer one.
	lastStarted uint64
	lastApplied uint64
	// draining holds the upstreams that the list last showed as draining. An upstream
	// that is missing from a later list keeps its state.
	draining map[listedUpstream]bool
}

type listedUpstream struct {
	upstream api.UpstreamID
	address  api.Address
}

// Poll reads the list once. If that fails, the result of the last read remains in effect.
func (p *Poller) Poll(ctx context.Context) error {
	p.mu.Lock()
	p.lastStarted++
	sequence := p.lastStarted
	p.mu.Unlock()
	listed, err := p.List.Fetch(ctx)
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if sequence < p.lastApplied {
		return nil
	}
	p.lastApplied = sequence
	p.apply(listed)
	return nil
}

// apply compares the list with the previous one. The caller must hold the lock.
func (p *Poller) apply(listed []kernel.HostListEntry) {
	states := make(map[api.Address]kernel.ListedState, len(listed))
	for _, entry := range listed {
		states[entry.Address] = entry.State
	}
	observedAt := p.Table.now()
	next := map[listedUpstream]bool{}
	for _, instance := range p.Table.currentView().byID {
		key := listedUpstream{instance.ID, instance.Address}
		state, isListed := states[instance.Address]
		switch wasLeaving := p.draining[key]; {
		case state == kernel.ListedDraining:
			next[key] = true
			if !wasLeaving {
				p.Table.markDraining(instance, CauseHostList, observedAt)
			}
		case !isListed && wasLeaving:
			next[key] = true
		case wasLeaving:
			p.Table.markStarted(instance, CauseHostList)
		}
	}
	p.draining = next
}
