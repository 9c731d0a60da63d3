package upstream

import (
	"context"
	"net/http"
	"sync"
	"time"
)

const (
	// probeTimeout bounds a probe with its new connection.
	probeTimeout = 500 * time.Millisecond
	// goneProbePeriod is the time between two probes of a leaving upstream that is
	// gone. Before that it is probed at each sweep: a restart between two probes
	// would not be seen, and only the host list could end the leaving mark.
	goneProbePeriod = time.Second
	// maxProbes bounds the probes of a host at once.
	maxProbes = 32
	// probePath is the health check of engines and services.
	probePath = "/health"
)

// probeResult is what a probe found.
type probeResult struct {
	// answered is true for any answer.
	answered bool
	// healthy is true for an answer below 500 without a drain notice. Upstreams
	// without a health check answer 404.
	healthy  bool
	draining bool
}

// probe asks an instance for its health on a new connection.
func (s *Sender) probe(ctx context.Context, instance *Instance) probeResult {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(instance.Address)+probePath, nil)
	if err != nil {
		return probeResult{}
	}
	transport := singleTransport()
	defer transport.CloseIdleConnections()
	response, err := transport.RoundTrip(request)
	if err != nil {
		return probeResult{}
	}
	_ = response.Body.Close()
	draining := isDrainRefusal(response) || response.Header.Get("X-Draining") == "true"
	return probeResult{
		answered: true, draining: draining,
		healthy: !draining && response.StatusCode < http.StatusInternalServerError,
	}
}

// probeDue ends suspicions and ejections whose time has passed, and probes the
// instances that are due on this host. It returns when all probes have ended.
func (s *Sender) probeDue(ctx context.Context, table *Table) {
	var wait sync.WaitGroup
	slots := make(chan struct{}, maxProbes)
	for _, instance := range table.sweep() {
		slots <- struct{}{}
		wait.Go(func() {
			defer func() { <-slots }()
			result := s.probe(ctx, instance)
			if ctx.Err() == nil {
				table.probed(instance, result)
			}
		})
	}
	wait.Wait()
}

// name returns the name of the result's counter.
func (r probeResult) name() string {
	switch {
	case r.draining:
		return "draining"
	case r.healthy:
		return "healthy"
	}
	return "failed"
}

// probed takes over the result of a probe.
func (t *Table) probed(instance *Instance, result probeResult) {
	t.Metrics.Counter("probe." + result.name()).Inc(1)
	t.lock()
	defer t.unlock()
	h := &instance.health
	now := t.now()
	switch state := h.current(); {
	case state == StateLeaving && !result.healthy:
		h.gone = true
	case state == StateLeaving && h.gone:
		t.setStarted(instance, CauseProbe, mark{state: StateStarted, host: t.Host, at: now})
	case state == StateLeaving || state == StateHealthy:
	case result.draining:
		t.setLeaving(instance, CauseNotice, mark{state: StateLeaving, host: t.Host, at: now})
	case result.healthy:
		t.recover(instance, CauseProbe, now)
	default:
		t.eject(instance, CauseProbe, now)
	}
}
