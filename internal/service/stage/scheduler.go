package stage

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/phuslu/log"

	"redwingloft/internal/data/fleet"
	"redwingloft/internal/helper/clock"
	"redwingloft/internal/helper/fault"
	"redwingloft/internal/helper/metric"
	"redwingloft/internal/service/directory"
	"redwingloft/internal/service/drain"
	"redwingloft/internal/service/forward"
	"redwingloft/internal/service/throttle"
	"redwingloft/pkg/api"
)

const (
	// callTimeout bounds one call, including the wait behind queued calls of other hosts.
	callTimeout = 8 * time.Second
	// freeTimeout bounds a call that frees results.
	freeTimeout = time.Second
	// sweepInterval is the interval of the calls that free results at upstreams without other
	// calls.
	sweepInterval = 250 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the retry delay of refused callers, which takes a third
	// of their time at most.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 3 * time.Second
	// callerWaitShare is the part of its remaining time, as a divisor, for which a caller waits at
	// most before it retries.
	callerWaitShare = 3
)

var (
	errDeadlineUnreachable = fault.New(api.KindDeadlineUnreachable, "the stages could not be run in time")
	errNotServed           = fault.AddRetryAfter(fault.New(api.KindNoUpstream, "no upstream of a stage is ready"), minRetryAfter)
	errTooManyFailures     = fault.New(api.KindNoUpstream, "a stage failed too often")
	// ErrHandedBack ends jobs that this host stops working on. Their results are kept.
	ErrHandedBack = errors.New("the scheduling host handed the job back")
)

// Codec encodes and decodes stage calls.
type Codec struct {
	RunPath       string
	FreePath      string
	EncodeItems   func(items []fleet.Item) ([]byte, error)
	DecodeResults func(data []byte, count int) ([]fleet.ItemResult, error)
	EncodeFree    func(results []fleet.ResultRef) ([]byte, error)
}

// Scheduler batches the items of many requests and calls the upstreams. Set the exported fields
// before use.
type Scheduler struct {
	Pool    *forward.Pool
	Forward *forward.Codec
	Codec   Codec
	Budget  *forward.Budget
	// Throttle holds the rate limits that upstreams name; it may be nil.
	Throttle *throttle.Table
	// Forecasts holds the known forecasts of the groups; it may be nil.
	Forecasts *GroupForecasts
	Log       *log.Logger
	Metrics   *metric.Set
	// Upstreams returns the upstreams that belong to this scheduler.
	Upstreams func(*directory.View) []*fleet.Upstream
	// Role returns the role of this host in the group.
	Role func(*directory.View) Role
	View func() *directory.View
	// Drain is that of this host; nil means that it never drains.
	Drain *drain.Schedule

	mu   sync.Mutex
	plan *plan
	// lastView is the view that the plan was last updated from.
	lastView *directory.View
	// lastRun is when the scheduler last ran.
	lastRun time.Time
	// role is the role of this host in lastView. replacedAt is when it lost the scheduling role;
	// zero while it has it.
	role       Role
	replacedAt time.Time
	// wakeAt is the time of the next wake-up for an upstream in cooldown; zero if there is none.
	wakeAt time.Time
}

// progressBuffer bounds the queued progress messages of one job. A dropped message costs a
// recomputed result if this host fails.
const progressBuffer = 16

// Submit runs a job and returns its outcome. Cancelling ctx drops the work that has not started.
// report receives results as they are produced. From then on they belong to the submitting host,
// which releases them if it abandons the job.
func (s *Scheduler) Submit(ctx context.Context, job Job, report func([]StoredResults)) (Outcome, error) {
	type ended struct {
		outcome Outcome
		err     error
	}
	done := make(chan ended, 1)
	now := clock.Now()
	s.mu.Lock()
	s.refresh()
	if err := s.admit(&job, now); err != nil {
		s.releaseStored(job.Stored)
		s.mu.Unlock()
		return Outcome{Known: s.knownForecasts(&job, now)}, err
	}
	if old := s.plan.jobs[job.Request]; old != nil {
		s.plan.end(old, refSet(job.Stored))
		old.finished(Outcome{}, fault.New(api.KindCallerGone, "the job was submitted again"))
	}
	for i, spec := range job.Stages {
		for range job.pending(i) {
			s.Budget.RecordFirst(spec.Service, now)
		}
	}
	state := s.plan.submit(job, now, func(o Outcome, err error) { done <- ended{o, err} })
	updates := make(chan []StoredResults, progressBuffer)
	owned := job.Stored
	state.progress = func(results []StoredResults) {
		select {
		case updates <- results:
		default:
			s.Metrics.Counter("stage.progress_dropped").Inc(1)
		}
	}
	calls := s.plan.dispatch(now)
	s.mu.Unlock()
	s.startCalls(calls)
	for {
		select {
		case end := <-done:
			// A report without results would look like the outcome of a job without any.
			if errors.Is(end.err, ErrHandedBack) && len(end.outcome.Stored) > 0 {
				report(end.outcome.Stored)
			}
			s.Metrics.Histogram("stage.job").Update(clock.Now().Sub(now).Milliseconds())
			end.outcome.Known = s.knownForecasts(&job, clock.Now())
			return end.outcome, end.err
		case results := <-updates:
			report(results)
			owned = append(owned, results...)
			continue
		case <-ctx.Done():
		}
		s.mu.Lock()
		progress := state.describe()
		s.plan.end(state, refSet(owned))
		s.mu.Unlock()
		s.Metrics.Counter("stage.abandoned").Inc(1)
		s.Log.Info().Str("request", string(job.Request)).Str("stages", progress).Int64("waited_ms", clock.Now().Sub(now).Milliseconds()).
			Int("rank", job.Rank).Int64("aim_ms", job.Target.Sub(clock.Now()).Milliseconds()).Msg("job_abandoned")
		return Outcome{}, ctx.Err()
	}
}

// admit refuses a job that can't be done in time. The caller holds mu.
func (s *Scheduler) admit(job *Job, now time.Time) error {
	d := s.plan.admit(job, now)
	if d.served && job.Group != GroupAll {
		kind := jobKind(job.Rank, job.Stages)
		s.Forecasts.Learn(kind, job.Known, now)
		s.Forecasts.Learn(kind, []GroupForecast{{job.Group, d.onTime.Milliseconds(), d.late.Milliseconds(), 0}}, now)
	}
	if d.accepted {
		return nil
	}
	if !d.served {
		return errNotServed
	}
	s.Metrics.Counter("stage.refused").Inc(1)
	s.Metrics.Counter("stage.refused." + string(d.reason)).Inc(1)
	s.Log.Info().Str("request", string(job.Request)).Int("rank", job.Rank).Int("jobs", len(s.plan.jobs)).Str("reason", string(d.reason)).Str("workspace", string(job.Workspace)).
		Int64("on_time_ms", d.onTime.Milliseconds()).Int64("late_ms", d.late.Milliseconds()).
		Int64("aim_ms", job.Target.Sub(now).Milliseconds()).Int64("left_ms", job.Deadline.Sub(now).Milliseconds()).Msg("job_refused")
	return d.refusal(job, now)
}

// refusal returns the error for a refused job.
func (d *decision) refusal(job *Job, now time.Time) error {
	if !d.served {
		return errNotServed
	}
	err := fault.New(api.KindDeadlineUnreachable, "the stages need %s, but only %s remain until the deadline", d.late.Round(time.Millisecond), job.Deadline.Sub(now).Round(time.Millisecond))
	if d.reason == refusedShare {
		err = fault.New(api.KindDeadlineUnreachable, "the workspace has more than its share of the stages")
	}
	return fault.AddRetryAfter(err, d.retryAfter)
}

// knownForecasts returns the forecasts that the host of a job gets with the reply.
func (s *Scheduler) knownForecasts(job *Job, now time.Time) []GroupForecast {
	if job.Group == GroupAll {
		return nil
	}
	return s.Forecasts.Known(jobKind(job.Rank, job.Stages), now)
}

// refresh records that the scheduler runs and updates the plan to the newest view. After a long
// pause it hands all jobs back. The caller holds mu.
func (s *Scheduler) refresh() {
	if s.plan == nil {
		s.plan = newPlan(s.takeRetry)
		s.plan.throttle = s.Throttle
	}
	now := clock.Now()
	if paused := now.Sub(s.lastRun); !s.lastRun.IsZero() && paused > MaxSchedulerPause {
		jobs := s.plan.handBack(func(*jobState) bool { return true }, now)
		s.Log.Warn().Int64("paused_ms", paused.Milliseconds()).Int("jobs", jobs).Msg("scheduler_paused")
	}
	s.lastRun = now
	view := s.View()
	if view == s.lastView || view.Snapshot == nil {
		return
	}
	s.lastView = view
	s.role = s.Role(view)
	switch {
	case s.role == RoleScheduler:
		s.replacedAt = time.Time{}
	case s.replacedAt.IsZero():
		s.replacedAt = now
	}
	s.plan.setUpstreams(s.Upstreams(view), view.Snapshot.Services)
	// Jobs of a group that is gone are handed back, and upstreams that restart return soon.
	if len(view.Evacuated) > 0 && s.role != RoleNone {
		s.plan.failUnserved()
	}
}

// ViewChanged applies a new view if jobs are in progress.
func (s *Scheduler) ViewChanged() {
	s.mu.Lock()
	if s.plan == nil || len(s.plan.jobs) == 0 {
		s.mu.Unlock()
		return
	}
	s.refresh()
	calls := s.plan.dispatch(clock.Now())
	s.mu.Unlock()
	s.startCalls(calls)
}

// ShortenDeadlines moves the deadlines of jobs to an earlier time, and ends at once those that can't be done
// by then.
func (s *Scheduler) ShortenDeadlines(list []JobDeadline) {
	s.mu.Lock()
	s.refresh()
	now := clock.Now()
	jobs, failed := s.plan.shortenDeadlines(list, now)
	calls := s.plan.dispatch(now)
	s.mu.Unlock()
	s.Log.Info().Int("jobs", jobs).Int("refused", failed).Msg("job_deadlines_received")
	s.startCalls(calls)
}

// Release marks results as no longer needed.
func (s *Scheduler) Release(list []StoredResults) {
	s.mu.Lock()
	s.refresh()
	s.releaseStored(list)
	freeCalls := s.plan.freeCalls(false, clock.Now())
	s.mu.Unlock()
	s.startFreeCalls(freeCalls)
}

// releaseStored releases results. The caller holds mu.
func (s *Scheduler) releaseStored(list []StoredResults) {
	for i := range list {
		w := s.plan.workers[list[i].incarnation()]
		if w == nil {
			continue
		}
		for _, item := range list[i].Items {
			w.releaseForeign(item.Result)
		}
	}
}

// startCalls runs calls in the background.
func (s *Scheduler) startCalls(calls []*Call) {
	for _, call := range calls {
		go s.runCall(call)
	}
	if len(calls) > 0 {
		time.AfterFunc(fetchTime, s.afterFetch)
	}
}

// afterFetch releases the inputs that calls have fetched and dispatches calls into the freed
// capacity.
func (s *Scheduler) afterFetch() {
	s.mu.Lock()
	s.refresh()
	now := clock.Now()
	s.plan.releaseFetched(now)
	freeCalls := s.plan.freeCalls(false, clock.Now())
	calls := s.plan.dispatch(now)
	s.mu.Unlock()
	s.startFreeCalls(freeCalls)
	s.startCalls(calls)
}

// runCall makes one call and applies its results or its failure.
func (s *Scheduler) runCall(call *Call) {
	straggler := time.AfterFunc(call.StragglerAfter(), func() { s.hedge(call) })
	results, failure, err := s.call(call)
	straggler.Stop()
	now := clock.Now()
	took := now.Sub(call.Started)
	s.Metrics.Counter("stage.calls").Inc(1)
	s.Metrics.Histogram("stage.items").Update(int64(len(call.Items)))
	s.Metrics.Histogram("stage.call").Update(took.Milliseconds())
	s.mu.Lock()
	s.refresh()
	s.plan.complete(call, results, failure, now)
	s.handBackJobs()
	calls := s.plan.dispatch(now)
	s.scheduleWake(now)
	freeCalls := s.plan.freeCalls(false, clock.Now())
	s.mu.Unlock()
	s.startFreeCalls(freeCalls)
	s.logFailedItems(call, results)
	if failure != FailureNone {
		s.Metrics.Counter("stage.failures." + string(failure)).Inc(1)
		s.Log.Info().Str("upstream", string(call.Upstream().ID)).Str("request", string(call.Items[0].Request)).Int("items", len(call.Items)).
			Str("failure", string(failure)).Int64("took_ms", took.Milliseconds()).Err(err).Msg("stage_call_failed")
	}
	s.startCalls(calls)
}

// logFailedItems logs and counts the items of a call that have no result.
func (s *Scheduler) logFailedItems(call *Call, results []fleet.ItemResult) {
	for i, result := range results {
		if result.Failure == "" {
			continue
		}
		s.Metrics.Counter("stage.item_failures." + string(result.Failure)).Inc(1)
		s.Log.Info().Str("request", string(call.Items[i].Request)).Int("stage", call.Items[i].Stage).Int("index", call.Items[i].Index).
			Str("service", string(call.Upstream().Service)).Str("upstream", string(call.Upstream().ID)).Str("failure", string(result.Failure)).Msg("item_failed")
	}
}

// call sends the items and decodes the results.
func (s *Scheduler) call(call *Call) ([]fleet.ItemResult, Failure, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	body, err := s.Codec.EncodeItems(call.Items)
	if err != nil {
		return nil, FailureLost, err
	}
	answer, err := s.Pool.Call(ctx, s.Forward, call.Upstream(), s.Codec.RunPath, body, false)
	switch {
	case err != nil && forward.IsNotSent(err) && errors.Is(err, syscall.ECONNREFUSED):
		return nil, FailureGone, err
	case err != nil && forward.IsNotSent(err):
		return nil, FailureUnreachable, err
	case err != nil:
		return nil, FailureLost, err
	case answer.Reply.WrongUpstream:
		return nil, FailureMoved, nil
	case answer.Reply.NotRun:
		return nil, FailureFull, nil
	case answer.Status != http.StatusOK:
		return nil, FailureLost, fault.New(api.KindStageFailed, "upstream responded with status %d", answer.Status)
	}
	results, err := s.Codec.DecodeResults(answer.Body, len(call.Items))
	if err != nil {
		return nil, FailureLost, err
	}
	return results, FailureNone, nil
}

func (s *Scheduler) takeRetry(service api.ServiceName) bool {
	if !s.Budget.Allow(service, 1, clock.Now()) {
		s.Metrics.Counter("stage.repeats_refused").Inc(1)
		return false
	}
	s.Metrics.Counter("stage.repeats").Inc(1)
	return true
}

// hedge also sends the items of a straggling call to other upstreams.
func (s *Scheduler) hedge(call *Call) {
	s.mu.Lock()
	s.refresh()
	count := s.plan.hedge(call, clock.Now())
	calls := s.plan.dispatch(clock.Now())
	s.mu.Unlock()
	s.Log.Info().Str("upstream", string(call.Upstream().ID)).Str("request", string(call.Items[0].Request)).Int("items", len(call.Items)).
		Int("repeated", count).Int64("expected_ms", call.Expected.Milliseconds()).Msg("stage_call_straggles")
	s.startCalls(calls)
}

// Sweep frees released results at upstreams that get no other call, and dispatches calls to
// upstreams that are due for a probe.
func (s *Scheduler) Sweep(time.Time) {
	s.mu.Lock()
	if s.plan == nil {
		s.mu.Unlock()
		return
	}
	s.refresh()
	s.handBackJobs()
	freeCalls := s.plan.freeCalls(true, clock.Now())
	calls := s.plan.dispatch(clock.Now())
	s.mu.Unlock()
	s.startFreeCalls(freeCalls)
	s.startCalls(calls)
}

// SweepInterval is the interval between calls of Sweep.
const SweepInterval = sweepInterval

// handBackDelay is how long a host keeps its jobs after another one takes over the scheduling, so
// that the submitting hosts know of it. Host lists converge within 250 ms.
const handBackDelay = 400 * time.Millisecond

// handBackJobs hands the jobs back to their submitting hosts if another host schedules the group.
// The caller holds mu.
func (s *Scheduler) handBackJobs() {
	if s.replacedAt.IsZero() || clock.Now().Sub(s.replacedAt) < handBackDelay {
		return
	}
	match := (*jobState).movable
	if s.role == RoleNone {
		match = (*jobState).idle
	} else if _, draining := s.Drain.Times(); draining {
		// Jobs that were pinned later come from hosts that reach no other one.
		until := s.replacedAt.Add(handBackDelay)
		match = func(j *jobState) bool { return j.idle() && (!j.Pinned || j.started.Before(until)) }
	}
	if jobs := s.plan.handBack(match, clock.Now()); jobs > 0 {
		s.Metrics.Counter("stage.handed_back").Inc(int64(jobs))
		s.Log.Info().Str("role", string(s.role)).Int("jobs", jobs).Int("kept", len(s.plan.jobs)).Msg("jobs_handed_back")
	}
}

// MaxSchedulerPause is how long a scheduling host may be paused before the submitting hosts move its
// jobs to another one. They test a silent connection after half of it.
const MaxSchedulerPause = time.Second

func (s *Scheduler) startFreeCalls(freeCalls []*FreeCall) {
	for _, f := range freeCalls {
		go s.runFree(f)
	}
}

// runFree makes one call that frees results.
func (s *Scheduler) runFree(f *FreeCall) {
	ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
	defer cancel()
	upstream := f.upstream
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
	s.plan.completeFree(f, err == nil, clock.Now())
	// Queued items may be waiting for the freed capacity.
	calls := s.plan.dispatch(clock.Now())
	freeCalls := s.plan.freeCalls(false, clock.Now())
	s.mu.Unlock()
	s.startCalls(calls)
	s.startFreeCalls(freeCalls)
}
