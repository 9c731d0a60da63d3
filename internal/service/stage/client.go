package stage

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"

	"redwingloft/internal/data/fleet"
	"redwingloft/internal/helper/clock"
	"redwingloft/internal/helper/fault"
	"redwingloft/internal/helper/hashing"
	"redwingloft/internal/helper/metric"
	"redwingloft/internal/service/directory"
	"redwingloft/internal/service/drain"
	"redwingloft/internal/service/forward"
	"redwingloft/internal/service/peer"
	"redwingloft/pkg/api"
)

const (
	// avoidDuration is how long a host is skipped as scheduler after a failure.
	avoidDuration = 2 * time.Second
	// maxSubmitAttempts bounds the submissions of one job within a group that fail, and maxHandBacks those
	// that are handed back, which hosts do that stop one after another.
	maxSubmitAttempts = 3
	maxHandBacks      = 8
	// releaseInterval is how long releases for another host are collected into one call.
	releaseInterval = 100 * time.Millisecond
	// releaseTimeout bounds a call that releases results.
	releaseTimeout = time.Second
	// deadlinesTimeout bounds a call that shortens deadlines.
	deadlinesTimeout = time.Second
	// engineReserve is the part of the remaining time that is reserved for the engine.
	engineReserve = 50 * time.Millisecond
	// drawSteps is the number of values that the hash of a request can take when it chooses a group.
	drawSteps = 1 << 20
)

// Paths of the calls between hosts.
const (
	PathJobs      = "/v1/stage/jobs"
	PathRelease   = "/v1/stage/release"
	PathDeadlines = "/v1/stage/deadlines"
)

// Message is a job as submitted to another host. Times are sent as durations, because the hosts'
// clocks differ.
type Message struct {
	Request    api.RequestID     `json:"request"`
	Key        string            `json:"key"`
	TargetMs   int64             `json:"aim_ms"`
	DeadlineMs int64             `json:"deadline_ms"`
	Rank       int               `json:"rank"`
	Workspace  api.WorkspaceName `json:"workspace,omitempty"`
	Home       api.DataCentre    `json:"home,omitempty"`
	Group      Group             `json:"group"`
	Stages     []Spec            `json:"stages"`
	// Stored lists the results that were already produced for another scheduling host, as far as the
	// submitting host knows.
	Stored []StoredResults `json:"made,omitempty"`
	// Known holds the forecasts of groups for jobs of this kind that the submitting host knows.
	Known []GroupForecast `json:"known,omitempty"`
	// Pinned prevents the job from being handed back, because the submitting host can't reach the
	// host that should schedule it or has a different host list.
	Pinned bool `json:"pinned,omitempty"`
}

// Reply is one part of the response to a submitted job: results as they are produced, then the
// outcome.
type Reply struct {
	// Progress is not empty in each reply but the last.
	Progress []StoredResults `json:"progress,omitempty"`
	Stored   []StoredResults `json:"made,omitempty"`
	Home     api.DataCentre  `json:"home,omitempty"`
	Error    *api.Error      `json:"error,omitempty"`
	// Known holds the forecasts of groups for jobs of this kind.
	Known []GroupForecast `json:"known,omitempty"`
	// HandedBack is set if the host stops working on the job, because it was paused or another host
	// now schedules the group.
	HandedBack bool `json:"handed_back,omitempty"`
}

// ReleaseMessage lists results that are no longer needed.
type ReleaseMessage struct {
	Group   Group           `json:"group"`
	Results []StoredResults `json:"made"`
}

// DeadlineMessage moves the deadlines of jobs to an earlier time, because their submitting host stops.
type DeadlineMessage struct {
	Group Group         `json:"group"`
	Jobs  []JobDeadline `json:"jobs"`
}

// JobDeadline is the deadline of a job, sent as a duration like those of Message.
type JobDeadline struct {
	Request    api.RequestID `json:"request"`
	DeadlineMs int64         `json:"deadline_ms"`
}

// Job converts a message that was received at now to a job.
func (m *Message) Job(now time.Time) Job {
	return Job{
		Request: m.Request, Key: m.Key, Rank: m.Rank, Workspace: m.Workspace, Group: m.Group, Known: m.Known, Home: m.Home, Stages: m.Stages, Stored: m.Stored, Pinned: m.Pinned,
		Target:   now.Add(time.Duration(m.TargetMs) * time.Millisecond),
		Deadline: now.Add(time.Duration(m.DeadlineMs) * time.Millisecond),
	}
}

// Client submits the jobs of a host to the schedulers of their groups. Set the exported fields
// before use.
type Client struct {
	Self    api.HostID
	View    func() *directory.View
	HTTP    *http.Client
	Log     *log.Logger
	Metrics *metric.Set
	// Local returns this host's scheduler for a group.
	Local func(group Group) *Scheduler
	// Forecasts holds the known forecasts of the groups; it may be nil.
	Forecasts *GroupForecasts
	// Drain bounds the deadlines of jobs once this host drains; nil means that it never does.
	Drain *drain.Schedule

	mu sync.Mutex
	// avoidUntil maps failed hosts to the time from which they may be used again.
	avoidUntil map[api.HostID]time.Time
	// pendingReleases holds the results to release, by group.
	pendingReleases map[Group][]StoredResults
	// submitted holds the jobs in progress.
	submitted map[*submission]struct{}
}

// submission is a job in progress at the host that schedules it; a zero host stands for this one.
type submission struct {
	host  fleet.Host
	group Group
	work  *forward.StageWork
}

// Prepare runs the preparatory stages of a request.
func (c *Client) Prepare(ctx context.Context, work *forward.StageWork) (*forward.StageResults, error) {
	prepared, err := c.prepareInAnyGroup(ctx, work)
	if errors.Is(err, ErrHandedBack) {
		return nil, fault.AddRetryAfter(fault.Wrap(api.KindNoUpstream, err, "the host groups changed twice during the job"), minRetryAfter)
	}
	return prepared, err
}

// prepareInAnyGroup runs the stages of a request in its group, or in another one. Returns
// ErrHandedBack if no group kept the job.
func (c *Client) prepareInAnyGroup(ctx context.Context, work *forward.StageWork) (*forward.StageResults, error) {
	var known knownResults
	groups := Groups(c.View())
	group := groupOf(groups, work.EngineDataCentre, string(work.Request.ID))
	prepared, err := c.prepareInGroup(ctx, work, group, &known)
	if errors.Is(err, ErrHandedBack) {
		// The groups changed while the job was in progress.
		groups = Groups(c.View())
		group = groupOf(groups, work.EngineDataCentre, string(work.Request.ID))
		prepared, err = c.prepareInGroup(ctx, work, group, &known)
	}
	if !fault.Is(err, api.KindDeadlineUnreachable) || len(groups) == 1 || ctx.Err() != nil {
		return prepared, err
	}
	// Another group may have capacity; transferring results between data centres is better than
	// refusing the request.
	others := slices.DeleteFunc(groups, func(g Group) bool { return g == group })
	now := clock.Now()
	other, found := otherGroup(others, c.Forecasts.Known(jobKind(int(work.Rank), specs(work)), now), work, now)
	if !found {
		c.Metrics.Counter("stage.no_other_group").Inc(1)
		return nil, err
	}
	c.Metrics.Counter("stage.other_group").Inc(1)
	return c.prepareInGroup(ctx, work, other, &knownResults{})
}

// otherGroup chooses the group that runs a job after another one has refused it.
func otherGroup(others []Group, known []GroupForecast, work *forward.StageWork, now time.Time) (Group, bool) {
	draw := float64(hashing.Of(string(work.Request.ID))%drawSteps) / drawSteps
	return chooseGroup(others, known, work.Target.Sub(now), work.Deadline.Sub(now)-engineReserve, draw)
}

// prepareInGroup runs the stages of a request in a group. known collects the results that the job
// already has. Returns ErrHandedBack if the group no longer exists.
func (c *Client) prepareInGroup(ctx context.Context, work *forward.StageWork, group Group, known *knownResults) (*forward.StageResults, error) {
	var lastErr error
	var host fleet.Host
	retrySameHost, skipped := false, false
	for failures, handBacks := 0, 0; failures < maxSubmitAttempts && handBacks <= maxHandBacks; {
		if !retrySameHost {
			host, skipped = c.pickHost(group)
		}
		done := c.track(&submission{host, group, work})
		message := c.newMessage(work, group, clock.Now())
		message.Pinned = skipped || handBacks > 0
		if message.DeadlineMs <= 0 {
			done()
			c.release(group, known.live(clock.Now()))
			return nil, errDeadlineUnreachable
		}
		message.Stored = known.live(clock.Now())
		kind := jobKind(message.Rank, message.Stages)
		if group != GroupAll {
			message.Known = c.Forecasts.Known(kind, clock.Now())
		}
		outcome, err := c.submit(ctx, host, message, known)
		done()
		c.Forecasts.Learn(kind, outcome.Known, clock.Now())
		if err == nil {
			return c.newPrepared(group, outcome), nil
		}
		if ctx.Err() != nil {
			c.release(group, known.live(clock.Now()))
			return nil, err
		}
		if errors.Is(err, ErrHandedBack) {
			if !slices.Contains(Groups(c.View()), group) {
				return nil, err
			}
			lastErr, retrySameHost = err, false
			handBacks++
			continue
		}
		if !peer.IsPeerError(err) {
			return nil, err
		}
		lastErr = err
		failures++
		// A connection reset doesn't mean that the host failed. It is tried once more on a new
		// connection, since a second scheduling host would not know which calls the first one has
		// started.
		retrySameHost = !retrySameHost && peer.IsConnectionReset(err)
		if !retrySameHost {
			c.markFailed(host, work.Request.ID, err)
		}
	}
	c.release(group, known.live(clock.Now()))
	return nil, fault.Wrap(api.KindNoUpstream, lastErr, "no host could run the stages")
}

// track records a job in progress until done is called.
func (c *Client) track(s *submission) (done func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.submitted == nil {
		c.submitted = map[*submission]struct{}{}
	}
	c.submitted[s] = struct{}{}
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.submitted, s)
	}
}

// timeLeft returns the time until the deadline of a job, which leaves the engine its reserve.
func (c *Client) timeLeft(work *forward.StageWork, now time.Time) time.Duration {
	return c.Drain.Bound(work.Deadline, work.Reserve).Sub(now) - engineReserve
}

// ShortenDeadlines tells the hosts that schedule the jobs in progress that these have to end before the drain
// of this host does. It is called once the drain has begun. A job whose host does not get the message is
// given up by its request.
func (c *Client) ShortenDeadlines() {
	type target struct {
		host  api.Address
		group Group
	}
	now := clock.Now()
	lists := map[target][]JobDeadline{}
	c.mu.Lock()
	for s := range c.submitted {
		to := target{s.host.PeerAddress, s.group}
		lists[to] = append(lists[to], JobDeadline{s.work.Request.ID, c.timeLeft(s.work, now).Milliseconds()})
	}
	c.mu.Unlock()
	for to, list := range lists {
		c.Log.Info().Str("peer", string(to.host)).Str("group", string(to.group)).Int("jobs", len(list)).Msg("job_deadlines_shortened")
		if to.host == "" {
			c.Local(to.group).ShortenDeadlines(list)
			continue
		}
		go c.sendDeadlines(to.host, &DeadlineMessage{to.group, list})
	}
}

func (c *Client) sendDeadlines(host api.Address, message *DeadlineMessage) {
	ctx, cancel := context.WithTimeout(context.Background(), deadlinesTimeout)
	defer cancel()
	if err := peer.Post(ctx, c.HTTP, host, PathDeadlines, message, nil); err != nil {
		c.Metrics.Counter("stage.deadline_failures").Inc(1)
		c.Log.Info().Str("peer", string(host)).Int("jobs", len(message.Jobs)).Err(err).Msg("job_deadlines_not_sent")
	}
}

func (c *Client) newMessage(work *forward.StageWork, group Group, now time.Time) *Message {
	m := &Message{
		Request: work.Request.ID, Key: work.Request.ItemKey, Rank: int(work.Rank), Workspace: work.Workspace, Group: group, Home: work.EngineDataCentre,
		DeadlineMs: c.timeLeft(work, now).Milliseconds(),
		TargetMs:   work.Target.Sub(now).Milliseconds(),
	}
	m.Stages = specs(work)
	return m
}

// specs returns the stages of a request.
func specs(work *forward.StageWork) []Spec {
	list := make([]Spec, len(work.Route.Stages))
	for i, stage := range work.Route.Stages {
		list[i] = Spec{Service: stage.Service, After: stage.After, ResultBytes: stage.ResultBytes, Items: work.Request.Items[i]}
	}
	return list
}

// pickHost returns the host that schedules a group, and whether a higher-ranked one was skipped. A
// zero host stands for this one.
func (c *Client) pickHost(group Group) (host fleet.Host, skipped bool) {
	now := clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, host := range RankHosts(c.View().Hosts, group) {
		if host.ID == c.Self {
			return fleet.Host{}, skipped
		}
		if now.Before(c.avoidUntil[host.ID]) {
			skipped = true
			continue
		}
		return host, skipped
	}
	return fleet.Host{}, skipped
}

// markFailed records that a host failed as scheduler.
func (c *Client) markFailed(host fleet.Host, request api.RequestID, err error) {
	c.Metrics.Counter("stage.host_failures").Inc(1)
	c.Log.Warn().Str("dependency", "scheduler").Str("peer", string(host.ID)).Str("request", string(request)).Err(err).Msg("dependency_lost")
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.avoidUntil == nil {
		c.avoidUntil = map[api.HostID]time.Time{}
	}
	c.avoidUntil[host.ID] = clock.Now().Add(avoidDuration)
}

// submit sends a job to a host and adds the results that it reports to known.
func (c *Client) submit(ctx context.Context, host fleet.Host, message *Message, known *knownResults) (Outcome, error) {
	if host.ID == "" {
		return c.Local(message.Group).Submit(ctx, message.Job(clock.Now()), func(results []StoredResults) { known.add(results, clock.Now()) })
	}
	var last Reply
	err := peer.Stream(ctx, c.HTTP, host.PeerAddress, PathJobs, message, func(reply *Reply) bool {
		known.add(reply.Progress, clock.Now())
		last = *reply
		return len(reply.Progress) == 0
	})
	if err != nil {
		return Outcome{}, err
	}
	if last.HandedBack {
		return Outcome{}, ErrHandedBack
	}
	if last.Error != nil {
		return Outcome{Known: last.Known}, fault.FromAPI(last.Error)
	}
	return Outcome{Stored: last.Stored, Home: last.Home, Known: last.Known}, nil
}

// newPrepared returns the outcome with the function that releases its results.
func (c *Client) newPrepared(group Group, outcome Outcome) *forward.StageResults {
	var once sync.Once
	release := func() {
		once.Do(func() { c.release(group, outcome.Stored) })
	}
	return &forward.StageResults{Inputs: outcome.Results(), DataCentre: outcome.Home, Release: release}
}

// release queues results that are no longer needed for the host that schedules the group, which may
// differ from the one that scheduled the job.
func (c *Client) release(group Group, results []StoredResults) {
	if len(results) == 0 {
		return
	}
	if host, _ := c.pickHost(group); host.ID == "" {
		c.Local(group).Release(results)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pendingReleases == nil {
		c.pendingReleases = map[Group][]StoredResults{}
	}
	if len(c.pendingReleases[group]) == 0 {
		time.AfterFunc(releaseInterval, func() { c.flushReleases(group) })
	}
	c.pendingReleases[group] = append(c.pendingReleases[group], results...)
}

// flushReleases sends the queued releases of a group. If the message is lost, the results occupy
// capacity until they expire.
func (c *Client) flushReleases(group Group) {
	c.mu.Lock()
	results := c.pendingReleases[group]
	delete(c.pendingReleases, group)
	c.mu.Unlock()
	host, _ := c.pickHost(group)
	if host.ID == "" {
		c.Local(group).Release(results)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if err := peer.Post(ctx, c.HTTP, host.PeerAddress, PathRelease, ReleaseMessage{group, results}, nil); err != nil {
		c.Metrics.Counter("stage.release_failures").Inc(1)
		c.Log.Debug().Str("peer", string(host.PeerAddress)).Int("results", len(resultRefs(results))).Err(err).Msg("release_failed")
	}
}
