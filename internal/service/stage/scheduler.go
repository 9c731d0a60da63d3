package stage

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/phuslu/log"

	"redwingloft/internal/data/fleet"
	"redwingloft/internal/helper/clock"
	"redwingloft/internal/helper/fault"
	"redwingloft/internal/helper/metric"
	"redwingloft/internal/service/directory"
	"redwingloft/internal/service/forward"
	"redwingloft/pkg/api"
)

const (
	// maxCallTime bounds one call, queued calls of other hosts before it included.
	maxCallTime = 8 * time.Second
	// freeTime bounds a call that frees results.
	freeTime = time.Second
	// freePeriod spaces the calls that free results at upstreams without other calls.
	freePeriod = 250 * time.Millisecond
	// wakeSlack is added to the end of a cooldown, so that the upstream is usable at the wake.
	wakeSlack = time.Millisecond
	// minRetryAfter and maxRetryAfter bound when refused callers may come back. They wait
	// a third of their time at most.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 3 * time.Second
)

var (
	errLate   = fault.New(api.KindDeadlineUnreachable, "the stages could not be run in time")
	errFailed = fault.New(api.KindNoUpstream, "a stage failed too often")
	// ErrHandedBack ends jobs that this host does not go on with. Their results remain.
	ErrHandedBack = errors.New("the gathering host handed the job back")
)

// Codec translates stage calls.
type Codec struct {
	RunPath       string
	FreePath      string
	EncodeItems   func(items []fleet.Item) ([]byte, error)
	DecodeResults func(data []byte, count int) ([]fleet.ItemResult, error)
	EncodeFree    func(results []fleet.ResultRef) ([]byte, error)
}

// Scheduler gathers the items of many requests and calls the upstreams. Set the
// exported fields before use.
type Scheduler struct {
	Pool    *forward.Pool
	Forward *forward.Codec
	Codec   Codec
	Budget  *forward.Budget
	Log     *log.Logger
	Metrics *metric.Set
	// Upstreams returns the upstreams that belong to this scheduler.
	Upstreams func(*directory.View) []*fleet.Upstream
	// Role returns what this host is to the group.
	Role func(*directory.View) Role
	View func() *directory.View

	mu   sync.Mutex
	plan *plan
	// used is the view that the plan knows.
	used *directory.View
	// seen is when the scheduler last ran.
	seen time.Time
	// role is that of the view that the plan knows, replaced since when it is not RoleGathers.
	role     Role
	replaced time.Time
	// wakeAt is the time of the next wake-up for an upstream in cooldown; zero where there is none.
	wakeAt time.Time
}

// progressQueue bounds the messages on results of one job that wait for its host. One
// that is dropped costs a result made twice where this host fails.
const progressQueue = 16

// Submit runs a job and returns its outcome. The end of ctx drops what has not begun.
// The report is told of results as they are made. From then on they belong to the host
// of the request, which releases them where it leaves the job.
func (s *Scheduler) Submit(ctx context.Context, job Job, report func([]Made)) (Outcome, error) {
	type ended struct {
		outcome Outcome
		err     error
	}
	done := make(chan ended, 1)
	now := clock.Now()
	s.mu.Lock()
	s.refresh()
	if err := s.admit(&job, now); err != nil {
		s.releaseMade(job.Made)
		s.mu.Unlock()
		return Outcome{}, err
	}
	if old := s.plan.jobs[job.Request]; old != nil {
		s.plan.end(old, kept(job.Made))
		old.finished(Outcome{}, fault.New(api.KindCallerGone, "the job was submitted anew"))
	}
	for i, spec := range job.Stages {
		for range job.todo(i) {
			s.Budget.First(spec.Service, now)
		}
	}
	state := s.plan.submit(job, now, func(o Outcome, err error) { done <- ended{o, err} })
	told := make(chan []Made, progressQueue)
	owned := job.Made
	state.progress = func(made []Made) {
		select {
		case told <- made:
		default:
			s.Metrics.Counter("stage.progress_dropped").Inc(1)
		}
	}
	calls := s.plan.dispatch(now)
	s.mu.Unlock()
	s.launch(calls)
	for {
		select {
		case end := <-done:
			if errors.Is(end.err, ErrHandedBack) {
				report(end.outcome.Made)
			}
			s.Metrics.Histogram("stage.job").Update(clock.Now().Sub(now).Milliseconds())
			return end.outcome, end.err
		case made := <-told:
			report(made)
			owned = append(owned, made...)
			continue
		case <-ctx.Done():
		}
		s.mu.Lock()
		progress := state.describe()
		s.plan.end(state, kept(owned))
		s.mu.Unlock()
		s.Metrics.Counter("stage.abandoned").Inc(1)
		s.Log.Info().Str("request", string(job.Request)).Str("stages", progress).Int64("waited_ms", clock.Now().Sub(now).Milliseconds()).
			Int("rank", job.Rank).Int64("aim_ms", job.Aim.Sub(clock.Now()).Milliseconds()).Msg("job_abandoned")
		return Outcome{}, ctx.Err()
	}
}

// admit refuses a job that can't be done in time. The caller holds mu.
func (s *Scheduler) admit(job *Job, now time.Time) error {
	f := s.plan.forecast(job, now)
	if !f.served {
		return fault.RetryAfter(fault.New(api.KindNoUpstream, "no upstream of a stage is ready"), minRetryAfter)
	}
	if f.makesAim(job, now) {
		s.plan.noteLoad(job, now)
	}
	if f.accepts(job, now) {
		return nil
	}
	s.Metrics.Counter("stage.refused").Inc(1)
	s.Log.Info().Str("request", string(job.Request)).Int("rank", job.Rank).Int("jobs", len(s.plan.jobs)).
		Int64("on_time_ms", f.onTime.Milliseconds()).Int64("late_ms", f.late.Milliseconds()).
		Int64("aim_ms", job.Aim.Sub(now).Milliseconds()).Int64("left_ms", job.Deadline.Sub(now).Milliseconds()).Msg("job_refused")
	err := fault.New(api.KindDeadlineUnreachable, "the stages need %s, %s are left", f.late.Round(time.Millisecond), job.Deadline.Sub(now).Round(time.Millisecond))
	wait := f.late - time.Duration(lateShare*float64(job.Deadline.Sub(now)))
	return fault.RetryAfter(err, min(max(wait, minRetryAfter), maxRetryAfter))
}

// refresh notes that the scheduler runs, and takes the newest view into the plan. The
// caller holds mu.
func (s *Scheduler) refresh() {
	if s.plan == nil {
		s.plan = newPlan(s.mayRetry)
	}
	now := clock.Now()
	if paused := now.Sub(s.seen); !s.seen.IsZero() && paused > OwnerPatience {
		jobs := s.plan.handBack(func(*jobState) bool { return true }, now)
		s.Log.Warn().Int64("paused_ms", paused.Milliseconds()).Int("jobs", jobs).Msg("scheduler_paused")
	}
	s.seen = now
	view := s.View()
	if view == s.used || view.Snapshot == nil {
		return
	}
	s.used = view
	s.role = s.Role(view)
	switch {
	case s.role == RoleGathers:
		s.replaced = time.Time{}
	case s.replaced.IsZero():
		s.replaced = now
	}
	s.plan.setUpstreams(s.Upstreams(view), view.Snapshot.Services)
}

// Changed takes a new view where jobs are in progress.
func (s *Scheduler) Changed() {
	s.mu.Lock()
	if s.plan == nil || len(s.plan.jobs) == 0 {
		s.mu.Unlock()
		return
	}
	s.refresh()
	calls := s.plan.dispatch(clock.Now())
	s.mu.Unlock()
	s.launch(calls)
}

// Release notes that results are no longer needed.
func (s *Scheduler) Release(list []Made) {
	s.mu.Lock()
	s.refresh()
	s.releaseMade(list)
	frees := s.plan.frees(false)
	s.mu.Unlock()
	s.launchFrees(frees)
}

// releaseMade releases results. The caller holds mu.
func (s *Scheduler) releaseMade(list []Made) {
	for i := range list {
		w := s.plan.workers[list[i].incarnation()]
		if w == nil {
			continue
		}
		for _, made := range list[i].Items {
			w.releaseForeign(made.Result)
		}
	}
}

// launch makes calls.
func (s *Scheduler) launch(calls []*Call) {
	for _, call := range calls {
		go s.run(call)
	}
	if len(calls) > 0 {
		time.AfterFunc(fetchTime, s.fetched)
	}
}

// fetched gives the room of inputs back that calls have fetched.
func (s *Scheduler) fetched() {
	s.mu.Lock()
	s.refresh()
	now := clock.Now()
	s.plan.releaseFetched(now)
	frees := s.plan.frees(false)
	calls := s.plan.dispatch(now)
	s.mu.Unlock()
	s.launchFrees(frees)
	s.launch(calls)
}

// run makes one call and applies its end.
func (s *Scheduler) run(call *Call) {
	straggler := time.AfterFunc(call.Straggles(), func() { s.hedge(call) })
	results, failure, err := s.call(call)
	straggler.Stop()
	now := clock.Now()
	took := now.Sub(call.Began)
	s.Metrics.Counter("stage.calls").Inc(1)
	s.Metrics.Histogram("stage.items").Update(int64(len(call.Items)))
	s.Metrics.Histogram("stage.call").Update(took.Milliseconds())
	s.mu.Lock()
	s.refresh()
	s.plan.complete(call, results, failure, now)
	s.yield()
	calls := s.plan.dispatch(now)
	s.wakeLater(now)
	frees := s.plan.frees(false)
	s.mu.Unlock()
	s.launchFrees(frees)
	s.reportItems(call, results)
	if failure != FailureNone {
		s.Metrics.Counter("stage.failures." + string(failure)).Inc(1)
		s.Log.Info().Str("upstream", string(call.Upstream().ID)).Str("request", string(call.Items[0].Request)).Int("items", len(call.Items)).
			Str("failure", string(failure)).Int64("took_ms", took.Milliseconds()).Err(err).Msg("stage_call_failed")
	}
	s.launch(calls)
}

// reportItems logs the items of a call that have no result.
func (s *Scheduler) reportItems(call *Call, results []fleet.ItemResult) {
	for i, result := range results {
		if result.Failure == "" {
			continue
		}
		s.Metrics.Counter("stage.item_failures." + string(result.Failure)).Inc(1)
		s.Log.Info().Str("request", string(call.Items[i].Request)).Int("stage", call.Items[i].Stage).Int("index", call.Items[i].Index).
			Str("service", string(call.Upstream().Service)).Str("upstream", string(call.Upstream().ID)).Str("failure", string(result.Failure)).Msg("item_failed")
	}
}

// call sends the items and reads the results.
func (s *Scheduler) call(call *Call) ([]fleet.ItemResult, Failure, error) {
	ctx, cancel := context.WithTimeout(context.Background(), maxCallTime)
	defer cancel()
	body, err := s.Codec.EncodeItems(call.Items)
	if err != nil {
		return nil, FailureLost, err
	}
	answer, err := s.Pool.Call(ctx, s.Forward, call.Upstream(), s.Codec.RunPath, body, false)
	switch {
	case err != nil && forward.NotSent(err):
		return nil, FailureUnreachable, err
	case err != nil:
		return nil, FailureLost, err
	case answer.Reply.OtherUpstream:
		return nil, FailureMoved, nil
	case answer.Reply.NotRun:
		return nil, FailureFull, nil
	case answer.Status != http.StatusOK:
		return nil, FailureLost, fault.New(api.KindStageFailed, "the upstream answered %d", answer.Status)
	}
	results, err := s.Codec.DecodeResults(answer.Body, len(call.Items))
	if err != nil {
		return nil, FailureLost, err
	}
	return results, FailureNone, nil
}

func (s *Scheduler) mayRetry(service api.ServiceName) bool {
	if !s.Budget.Take(service, 1, clock.Now()) {
		s.Metrics.Counter("stage.repeats_refused").Inc(1)
		return false
	}
	s.Metrics.Counter("stage.repeats").Inc(1)
	return true
}

// hedge gives the items of a call that straggles to other upstreams too.
func (s *Scheduler) hedge(call *Call) {
	s.mu.Lock()
	s.refresh()
	count := s.plan.hedge(call, clock.Now())
	calls := s.plan.dispatch(clock.Now())
	s.mu.Unlock()
	s.Log.Info().Str("upstream", string(call.Upstream().ID)).Str("request", string(call.Items[0].Request)).Int("items", len(call.Items)).
		Int("repeated", count).Int64("expected_ms", call.Expected.Milliseconds()).Msg("stage_call_straggles")
	s.launch(calls)
}

// wakeLater dispatches again at the end of the next cooldown. The caller holds mu.
func (s *Scheduler) wakeLater(now time.Time) {
	var next time.Time
	for _, w := range s.plan.workers {
		if !w.gone && now.Before(w.until) && (next.IsZero() || w.until.Before(next)) {
			next = w.until
		}
	}
	if next.IsZero() || (now.Before(s.wakeAt) && !next.Before(s.wakeAt)) {
		return
	}
	s.wakeAt = next
	time.AfterFunc(next.Sub(now)+wakeSlack, s.wake)
}

func (s *Scheduler) wake() {
	s.mu.Lock()
	now := clock.Now()
	s.refresh()
	calls := s.plan.dispatch(now)
	s.wakeLater(now)
	s.mu.Unlock()
	s.launch(calls)
}

// Sweep frees released results at upstreams that get no other call, and looks for
// upstreams that may be probed.
func (s *Scheduler) Sweep(time.Time) {
	s.mu.Lock()
	if s.plan == nil {
		s.mu.Unlock()
		return
	}
	s.refresh()
	s.yield()
	frees := s.plan.frees(true)
	calls := s.plan.dispatch(clock.Now())
	s.mu.Unlock()
	s.launchFrees(frees)
	s.launch(calls)
}

// FreePeriod is the time between two calls of Sweep.
const FreePeriod = freePeriod

// replaceDelay is how long a host keeps its jobs after another one gathers, so that
// the hosts of their requests have heard of it. Lists of hosts settle within 250 ms.
const replaceDelay = 400 * time.Millisecond

// yield hands the jobs back to their hosts where another host gathers. The caller holds mu.
func (s *Scheduler) yield() {
	if s.replaced.IsZero() || clock.Now().Sub(s.replaced) < replaceDelay {
		return
	}
	which := (*jobState).movable
	if s.role == RoleNone {
		which = (*jobState).waits
	}
	if jobs := s.plan.handBack(which, clock.Now()); jobs > 0 {
		s.Metrics.Counter("stage.handed_back").Inc(int64(jobs))
		s.Log.Info().Str("role", string(s.role)).Int("jobs", jobs).Int("kept", len(s.plan.jobs)).Msg("jobs_handed_back")
	}
}

// OwnerPatience is how long a gathering host may stand still before the hosts of the
// requests give its jobs to another one. They test a silent connection after half of it.
const OwnerPatience = time.Second

func (s *Scheduler) launchFrees(frees []*Free) {
	for _, f := range frees {
		go s.free(f)
	}
}

// free frees results at their upstream.
func (s *Scheduler) free(f *Free) {
	ctx, cancel := context.WithTimeout(context.Background(), freeTime)
	defer cancel()
	upstream := f.Worker.upstream
	body, err := s.Codec.EncodeFree(f.Results)
	if err == nil {
		_, err = s.Pool.Call(ctx, s.Forward, upstream, s.Codec.FreePath, body, true)
	}
	if err != nil {
		s.Metrics.Counter("stage.free_failures").Inc(1)
		s.Log.Debug().Str("upstream", string(upstream.ID)).Int("results", len(f.Results)).Err(err).Msg("results_not_freed")
	}
	s.mu.Lock()
	s.refresh()
	s.plan.freed(f, err == nil, clock.Now())
	// The room may be what waiting items lack.
	calls := s.plan.dispatch(clock.Now())
	frees := s.plan.frees(false)
	s.mu.Unlock()
	s.launch(calls)
	s.launchFrees(frees)
}
