package upstream

import (
	"context"
	"net/http"
	"sync"
	"time"
)

const (
	// probeTimeout limits a probe, including the time to connect.
	probeTimeout = 500 * time.Millisecond
	// shutdownProbePeriod is the interval of probes of a draining upstream whose shutdown
	// is confirmed. Before that it is probed at each sweep: a restart between two probes
	// would be missed, and only the host list could end the draining state.
	shutdownProbePeriod = time.Second
	// maxConcurrentProbes limits the concurrent probes of a host.
	maxConcurrentProbes = 32
	// probePath is the path of the health check of engines and services.
	probePath = "/health"
)

// probeResult is the result of a probe.
type probeResult struct {
	// responded is true if there was a response, whatever its status.
	responded bool
	// healthy is true if the status was below 500 and there was no drain notice.
	// Upstreams without a health check respond with 404.
	healthy  bool
	draining bool
}

// probe checks the health of an instance over a new connection.
func (s *Sender) probe(ctx context.Context, instance *Instance) probeResult {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(instance.Address)+probePath, nil)
	if err != nil {
		return probeResult{}
	}
	transport := singleUseTransport(&connLimit{})
	defer transport.CloseIdleConnections()
	response, err := transport.RoundTrip(request)
	if err != nil {
		return probeResult{}
	}
	_ = response.Body.Close()
	if response.StatusCode < http.StatusContinue {
		return probeResult{}
	}
	draining := isDrainRefusal(response) || response.Header.Get("X-Draining") == "true"
	return probeResult{
		responded: true, draining: draining,
		healthy: !draining && response.StatusCode < http.StatusInternalServerError,
	}
}

// probeDueInstances sweeps the table and probes the instances that are due on this
// host. It returns when all probes have finished.
func (s *Sender) probeDueInstances(ctx context.Context, table *Table) {
	var probes sync.WaitGroup
	semaphore := make(chan struct{}, maxConcurrentProbes)
	for _, instance := range table.sweep() {
		semaphore <- struct{}{}
		probes.Go(func() {
			defer func() { <-semaphore }()
			result := s.probe(ctx, instance)
			if ctx.Err() == nil {
				table.recordProbe(instance, result)
			}
		})
	}
	probes.Wait()
}

// outcome returns the name of the result in its counter.
func (r probeResult) outcome() string {
	switch {
	case r.draining:
		return "draining"
	case r.healthy:
		return "healthy"
	}
	return "failed"
}

// recordProbe updates the state of an instance with the result of a probe.
func (t *Table) recordProbe(instance *Instance, result probeResult) {
	t.Metrics.Counter("probe." + result.outcome()).Inc(1)
	t.lock()
	defer t.unlock()
	h := &instance.health
	now := t.now()
	switch state := h.current(); {
	case state == StateDraining && !result.healthy:
		h.shutdownConfirmed = true
	case state == StateDraining && h.shutdownConfirmed:
		t.setStarted(instance, CauseProbe, observation{state: StateStarted, host: t.Host, at: now})
	case state == StateDraining || state == StateHealthy:
	case result.draining:
		t.setDraining(instance, CauseDrainNotice, observation{state: StateDraining, host: t.Host, at: now})
	case result.healthy:
		t.recover(instance, CauseProbe, now)
	default:
		t.eject(instance, CauseProbe, now)
	}
}
