package stage

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"redwingloft/internal/data/fleet"
	"redwingloft/internal/helper/clock"
	"redwingloft/internal/helper/fault"
	"redwingloft/internal/service/forward"
	"redwingloft/internal/service/throttle"
	"redwingloft/pkg/api"
)

// Explain reports how the stages of a request would be admitted, and the error with which this host would
// refuse them, or nil. scheduler returns this host's scheduler for a group, which need not have run yet.
// It runs the admission on copies of the state.
func (c *Client) Explain(work *forward.StageWork, limits *throttle.Table, scheduler func(Group) *Scheduler) (*forward.StageReport, error) {
	groups := Groups(c.View())
	group := groupOf(groups, work.EngineDataCentre, string(work.Request.ID))
	report, err := c.explainGroup(work, group, limits, scheduler)
	if !fault.Is(err, api.KindDeadlineUnreachable) || len(groups) == 1 {
		return report, err
	}
	others := slices.DeleteFunc(groups, func(g Group) bool { return g == group })
	now := clock.Now()
	other, found := otherGroup(others, c.Forecasts.peek(jobKind(int(work.Rank), specs(work)), now), work, now)
	if !found {
		return report, err
	}
	report.Other, err = c.explainGroup(work, other, limits, scheduler)
	return report, err
}

// explainGroup reports how the stages would be admitted in one group.
func (c *Client) explainGroup(work *forward.StageWork, group Group, limits *throttle.Table, scheduler func(Group) *Scheduler) (*forward.StageReport, error) {
	now := clock.Now()
	host, _ := c.pickHost(group)
	message := c.newMessage(work, group, now)
	report := &forward.StageReport{
		Group: string(group), Scheduler: host.ID, Local: host.ID == "", TargetMs: message.TargetMs, LeftMs: message.DeadlineMs,
		Forecasts: c.explainForecasts(jobKind(message.Rank, message.Stages), message, now),
	}
	if message.DeadlineMs <= 0 {
		report.Scheduler = cmp.Or(host.ID, c.Self)
		return report, errDeadlineUnreachable
	}
	if !report.Local {
		return report, nil
	}
	report.Scheduler = c.Self
	job := message.Job(now)
	d := scheduler(group).explain(&job, limits, now)
	report.Accepted, report.Reason = &d.accepted, string(d.reason)
	report.OnTimeMs, report.LateMs = d.onTime.Milliseconds(), d.late.Milliseconds()
	if d.accepted {
		return report, nil
	}
	return report, d.refusal(&job, now)
}

func (c *Client) explainForecasts(kind string, message *Message, now time.Time) []forward.StageForecastReport {
	list := []forward.StageForecastReport{}
	for _, f := range c.Forecasts.peek(kind, now) {
		refuses := f.refuses(time.Duration(message.TargetMs)*time.Millisecond, time.Duration(message.DeadlineMs)*time.Millisecond)
		list = append(list, forward.StageForecastReport{Group: string(f.Group), OnTimeMs: f.OnTimeMs, LateMs: f.LateMs, AgeMs: f.AgeMs, Refuses: refuses})
	}
	slices.SortFunc(list, func(a, b forward.StageForecastReport) int { return cmp.Compare(a.Group, b.Group) })
	return list
}

// explain returns the decision on a job and does not start it.
func (s *Scheduler) explain(job *Job, limits *throttle.Table, now time.Time) decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	scratch := s.plan.copyForAdmission()
	scratch.throttle = limits
	if view := s.View(); view.Snapshot != nil && view != s.lastView {
		scratch.setUpstreams(s.Upstreams(view), view.Snapshot.Services)
	}
	return scratch.admit(job, now)
}

// copyForAdmission returns a copy of which setUpstreams and admit change nothing in p. It shares the jobs
// with p, so the caller holds the lock of p while it uses the copy.
func (p *plan) copyForAdmission() *plan {
	copied := newPlan(func(api.ServiceName) bool { return false })
	if p == nil {
		return copied
	}
	copied.jobs, copied.contendedUntil = p.jobs, p.contendedUntil
	copied.loads, copied.nextReturn, copied.callTimes = maps.Clone(p.loads), maps.Clone(p.nextReturn), maps.Clone(p.callTimes)
	copied.shares = &shares{
		byWorkspace: maps.Clone(p.shares.byWorkspace), totals: maps.Clone(p.shares.totals), counts: maps.Clone(p.shares.counts), refusedAt: maps.Clone(p.shares.refusedAt),
	}
	copied.workers = make(map[fleet.Incarnation]*worker, len(p.workers))
	for incarnation, known := range p.workers {
		own := *known
		copied.workers[incarnation] = &own
	}
	return copied
}
