package forward

import (
	"context"
	"maps"
	"math"
	"slices"
	"time"

	"redwingloft/internal/data/fleet"
	"redwingloft/internal/helper/clock"
	"redwingloft/internal/helper/fault"
	"redwingloft/internal/helper/hashing"
	"redwingloft/internal/helper/logging"
	"redwingloft/internal/helper/metric"
	"redwingloft/internal/service/directory"
	"redwingloft/internal/service/prefix"
	"redwingloft/internal/service/throttle"
	"redwingloft/pkg/api"
)

// ExplainStages reports what is known of the admission of stages, and the error with which they would be
// refused, or nil. It changes nothing but limits.
type ExplainStages func(work *StageWork, limits *throttle.Table) (*StageReport, error)

// Explain reports where a request of a workspace would go now, and why. The decisions are made by the
// code that serves requests, on copies of the state that it would change.
func (s *Service) Explain(ctx context.Context, request *fleet.Request, workspace api.WorkspaceName, stages ExplainStages) (*Explanation, error) {
	scratch := s.copyState()
	if snapshot := scratch.View().Snapshot; snapshot != nil && workspace != "" && snapshot.WorkspaceNamed(workspace) == nil {
		return nil, fault.New(api.KindBadRequest, "no workspace with a key has the name %q", workspace)
	}
	c, err := scratch.newCall(request, nil, func(snapshot *fleet.Snapshot) *fleet.Workspace { return snapshot.WorkspaceNamed(workspace) })
	if fault.Is(err, api.KindUnauthorized) {
		return nil, fault.New(api.KindBadRequest, "the route is not public, so the request needs a workspace")
	}
	if err != nil {
		return nil, err
	}
	e := &Explanation{
		DataCentre: s.DataCentre, Request: request.ID, Workspace: c.workspace, Rank: int(c.rank), EngineRank: c.rank.ForEngine(),
		Route: RouteReport{
			Name: c.route.Name, Revision: c.view.Snapshot.Revision, Host: c.route.Host, PathPrefix: c.route.PathPrefix, Kind: c.route.Kind,
			Public: c.route.Public, Service: c.service, Services: len(c.route.Services),
		},
		LeftMs:    c.left().Milliseconds(),
		Suspended: c.view.IsUnconfirmed(),
	}
	refusal := c.checkAdmission()
	quarantined := c.checkPrompt() != nil
	choose := c.leastLoaded
	if c.route.Kind == fleet.KindStreaming {
		err := c.explainStream(ctx, e, stages)
		if fault.Is(err, api.KindBadRequest) {
			return nil, err
		}
		if refusal == nil {
			refusal = err
		}
		choose = c.selectEngine(&StageResults{DataCentre: e.PreferredDataCentre})
	}
	candidates := c.candidates()
	if chosen := choose(candidates); chosen != nil {
		e.Choice = chosen.ID
		c.exclude[chosen.ID] = true
		if next := choose(candidates); next != chosen {
			e.RunnerUp = next.ID
		}
		delete(c.exclude, chosen.ID)
	} else if refusal == nil {
		refusal = c.noCandidateError()
	}
	c.explainCandidates(e, candidates, quarantined)
	e.setAdmission(refusal)
	return e, nil
}

// copyState returns a service that decides like s and changes no state of s.
func (s *Service) copyState() *Service {
	view := s.View()
	scratch := &Service{
		View: func() *directory.View { return view }, Pool: &Pool{}, Codec: s.Codec, Health: s.Health.copy(), Log: logging.Discard(), Metrics: metric.New(),
		DataCentre: s.DataCentre, Prompts: s.Prompts, RefusalError: s.RefusalError,
	}
	if s.Pool != nil {
		scratch.Pool.Throttle = s.Pool.Throttle.Copy()
	}
	if s.Budget != nil {
		scratch.Budget = &Budget{Hosts: s.Budget.Hosts}
	}
	s.prefixes.CopyTo(&scratch.prefixes)
	s.preparing.mu.Lock()
	defer s.preparing.mu.Unlock()
	scratch.preparing.counts = maps.Clone(s.preparing.counts)
	return scratch
}

// copy returns a copy of the table whose use does not change t.
func (t *HealthTable) copy() *HealthTable {
	t.mu.Lock()
	defer t.mu.Unlock()
	copied := &HealthTable{
		table: make(map[fleet.Incarnation]*healthEntry, len(t.table)), services: make(map[api.ServiceName]*serviceMeasures, len(t.services)),
		shared: t.shared, sharedAt: t.sharedAt,
	}
	for name, known := range t.services {
		own := *known
		own.samples = slices.Clone(known.samples)
		copied.services[name] = &own
	}
	for incarnation, known := range t.table {
		own := *known
		own.service = &serviceMeasures{published: known.service.published}
		copied.table[incarnation] = &own
	}
	return copied
}

// explainStream adds the forecasts of the engines and the stages, and returns the error with which one
// of them refuses the request, or nil.
func (c *call) explainStream(ctx context.Context, e *Explanation, stages ExplainStages) error {
	c.explainEngines(e)
	refusal := c.checkEngines()
	c.countPrefix()
	var stageErr error
	c.RunStages = func(_ context.Context, work *StageWork) (*StageResults, error) {
		e.PreferredDataCentre = work.EngineDataCentre
		e.Stages, stageErr = stages(work, c.Pool.Throttle)
		return &StageResults{Release: func() {}}, nil
	}
	_, err := c.runStages(ctx, c.request.Received.Add(c.route.Objective), c.eventDeadline(c.request.Received), 0)
	if err == nil {
		err = stageErr
	}
	if refusal != nil && !fault.Is(err, api.KindBadRequest) {
		return refusal
	}
	return err
}

// explainEngines adds the forecast of the time to the first event.
func (c *call) explainEngines(e *Explanation) {
	samples, costs := c.Health.FirstEventSamples(c.service)
	now := clock.Now()
	request := c.forecastRequest(costs, now)
	late, _ := lateSamples(samples, request, now)
	f := ForecastFirstEvent(samples, c.candidates(), request, now)
	report := &EngineForecastReport{
		WindowMs: forecastAge.Milliseconds(), Late: len(late), LateEngines: f.Engines, ReadMs: request.Read.Milliseconds(), PrepareMs: f.Prepare.Milliseconds(),
		WaitMs: f.Wait.Milliseconds(), FirstEventMs: f.FirstEvent.Milliseconds(), LeftMs: request.Left.Milliseconds(), Refuses: f.Refuse,
	}
	for i := range samples {
		if age := now.Sub(samples[i].At); age <= forecastAge {
			if report.Samples == 0 || age.Milliseconds() < report.NewestMs {
				report.NewestMs = age.Milliseconds()
			}
			report.Samples++
		}
	}
	e.Engines = report
}

// setAdmission sets the outcome of the admission.
func (e *Explanation) setAdmission(refusal error) {
	switch {
	case refusal != nil:
		e.Admission = AdmissionReport{
			Verdict: VerdictRefused, Kind: fault.KindOf(refusal), Reason: fault.ToAPI(refusal, e.Request).Message,
			RetryAfterMs: fault.RetryDelay(refusal).Milliseconds(),
		}
		e.Choice, e.RunnerUp = "", ""
	case e.Stages != nil && e.Stages.last().Accepted == nil:
		e.Admission.Verdict = VerdictOther
	default:
		e.Admission.Verdict = VerdictRun
	}
}

// last returns the report of the group that would be asked last.
func (r *StageReport) last() *StageReport {
	if r.Other != nil {
		return r.Other
	}
	return r
}

// explainCandidates adds the registered upstreams of the service.
func (c *call) explainCandidates(e *Explanation, candidates []Candidate, quarantined bool) {
	now := clock.Now()
	_, shared := sharedPrefix(c.request)
	var choice EngineChoice
	var array [prefix.MaxOwners]*fleet.Upstream
	owners := choice.setOwners(candidates, c.request, c.prefixRate(now), array[:])
	hash := hashing.Of(string(c.request.ID))
	sound := candidates
	if !c.route.Repeatable() && c.route.Kind != fleet.KindStreaming {
		sound = soundForOrder(candidates, now)
	}
	for _, upstream := range c.view.Registered(c.service) {
		health := c.Health.Get(upstream)
		limits := c.Pool.Throttle.Terms(upstream, now)
		report := newCandidateReport(upstream, &health, &limits, now)
		report.LeftOut = leftOut(upstream, c.view, &limits)
		if quarantined {
			report.LeftOut = append(report.LeftOut, Obstacle{Reason: reasonQuarantine})
		}
		if wait := health.CooldownUntil.Sub(now); wait > 0 {
			report.LastResort = append(report.LastResort, Obstacle{reasonCooldown, ceilMs(wait)})
		}
		index := slices.IndexFunc(candidates, func(known Candidate) bool { return known.Upstream == upstream })
		if index >= 0 && !slices.ContainsFunc(sound, func(known Candidate) bool { return known.Upstream == upstream }) {
			report.LeftOut = append(report.LeftOut, Obstacle{Reason: reasonLossy})
		}
		if index >= 0 && c.route.Kind == fleet.KindStreaming {
			report.setEngineTerms(engineTerms(&candidates[index], &choice, owners, shared, e.PreferredDataCentre, now))
		} else if index >= 0 {
			report.setLoadTerms(loadTerms(&candidates[index], now), drawOf(hash, upstream.ID), expectedTime(&candidates[index], now))
		}
		e.Candidates = append(e.Candidates, report)
	}
}

func newCandidateReport(upstream *fleet.Upstream, health *Health, limits *throttle.Terms, now time.Time) CandidateReport {
	report := CandidateReport{
		Upstream: upstream.ID, DataCentre: upstream.DataCentre, State: upstream.State, Running: health.Running,
		EntryAgeMs: ageMs(upstream.LearnedAt, now), OutcomeAgeMs: ageMs(health.LastOutcome, now), LoadAgeMs: ageMs(health.reportedAt(), now),
		ColdLeftMs: ceilMs(limits.ColdLeft),
	}
	if health.Measured != nil {
		report.PaceAgeMs = ageMs(health.Measured.Pace.At, now)
	}
	if limits.ColdLeft > 0 {
		report.ColdSlots, report.ColdIntervalMs = &limits.ColdSlots, limits.ColdInterval.Milliseconds()
	}
	if limits.Limited {
		report.RateLimit, report.RateShare = &limits.Rate, &limits.Share
	}
	return report
}

// leftOut returns why an upstream is not a candidate.
func leftOut(upstream *fleet.Upstream, view *directory.View, limits *throttle.Terms) []Obstacle {
	var list []Obstacle
	if upstream.State != fleet.StateReady {
		list = append(list, Obstacle{Reason: reasonLeaving})
	}
	if view.Evacuated[upstream.DataCentre] {
		list = append(list, Obstacle{Reason: reasonEvacuated})
	}
	if view.IsUnconfirmed() {
		list = append(list, Obstacle{Reason: reasonSuspended})
	}
	if limits.Paused > 0 {
		list = append(list, Obstacle{reasonPaused, ceilMs(limits.Paused)})
	}
	if limits.ColdWait > 0 {
		list = append(list, Obstacle{reasonCold, ceilMs(limits.ColdWait)})
	}
	switch {
	case limits.Limited && limits.Share == 0:
		list = append(list, Obstacle{Reason: reasonShared})
	case limits.Limited && limits.Wait > 0:
		list = append(list, Obstacle{reasonRate, ceilMs(limits.Wait)})
	}
	return list
}

func (r *CandidateReport) setEngineTerms(t EngineTerms) {
	cost := t.cost() * 1000
	r.Cost = &cost
	r.Terms = []Term{
		{"tokens", float64(t.Tokens), ""},
		{"read", t.Read * 1000, "ms"},
		{"requests", t.Running * 1000, "ms"},
		{"remote", t.Remote * 1000, "ms"},
		{"warm-up", t.WarmUp * 1000, "ms"},
		{"switch", t.Switch * 1000, "ms"},
		{"pace", t.Pace, ""},
		{"failures", t.Failures, ""},
	}
}

func (r *CandidateReport) setLoadTerms(t LoadTerms, draw, expected float64) {
	cost := drawCost(draw, expected)
	r.Cost = &cost
	r.Terms = []Term{
		{"pace", t.Pace, ""},
		{"open", t.Open, ""},
		{"slots", float64(t.Slots), ""},
		{"failures", t.Failures, ""},
		{"expected", expected, ""},
		{"draw", draw, ""},
	}
}

// ageMs returns the age of what was known at a time; nil if that is zero.
func ageMs(at, now time.Time) *int64 {
	if at.IsZero() {
		return nil
	}
	age := max(now.Sub(at), 0).Milliseconds()
	return &age
}

// ceilMs returns a duration in milliseconds, rounded up, so that a time that is left is not 0.
func ceilMs(d time.Duration) int64 {
	return int64(math.Ceil(float64(d) / float64(time.Millisecond)))
}
