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
	"redwingloft/internal/helper/metric"
	"redwingloft/internal/service/directory"
	"redwingloft/internal/service/forward"
	"redwingloft/internal/service/peer"
	"redwingloft/pkg/api"
)

const (
	// avoidTime is how long a host that failed as a scheduler is passed over.
	avoidTime = 2 * time.Second
	// maxSubmits bounds the hosts that a job is given to.
	maxSubmits = 3
	// releasePeriod gathers the results that are released at another host.
	releasePeriod = 100 * time.Millisecond
	// releaseTime bounds a call that releases results.
	releaseTime = time.Second
	// resultMargin is kept of the time left for the engine.
	resultMargin = 50 * time.Millisecond
)

// Paths of the calls between hosts.
const (
	PathJobs    = "/v1/stage/jobs"
	PathRelease = "/v1/stage/release"
)

// Message is a job as one host gives it to another. Times are durations, since the
// clocks of hosts differ.
type Message struct {
	Request    api.RequestID  `json:"request"`
	Key        string         `json:"key"`
	AimMs      int64          `json:"aim_ms"`
	DeadlineMs int64          `json:"deadline_ms"`
	Rank       int            `json:"rank"`
	Home       api.DataCentre `json:"home,omitempty"`
	Group      Group          `json:"group"`
	Stages     []Spec         `json:"stages"`
	// Made holds the results that the host of the request knows from another gathering host.
	Made []Made `json:"made,omitempty"`
	// Pinned keeps the job from being handed back to a host that can't reach the one that
	// should gather, or knows of another one.
	Pinned bool `json:"pinned,omitempty"`
}

// Reply is one part of the answer to a job that another host gave: results as they
// are made, then the outcome.
type Reply struct {
	Progress []Made         `json:"progress,omitempty"`
	Made     []Made         `json:"made,omitempty"`
	Home     api.DataCentre `json:"home,omitempty"`
	Error    *api.Error     `json:"error,omitempty"`
	// HandedBack tells that the host does not go on with the job: it stood still, or
	// another host gathers now.
	HandedBack bool `json:"handed_back,omitempty"`
}

// ReleaseMessage lists results that are no longer needed.
type ReleaseMessage struct {
	Group Group  `json:"group"`
	Made  []Made `json:"made"`
}

// Job returns the job of a message that arrived at now.
func (m *Message) Job(now time.Time) Job {
	return Job{
		Request: m.Request, Key: m.Key, Rank: m.Rank, Home: m.Home, Stages: m.Stages, Made: m.Made, Pinned: m.Pinned,
		Aim:      now.Add(time.Duration(m.AimMs) * time.Millisecond),
		Deadline: now.Add(time.Duration(m.DeadlineMs) * time.Millisecond),
	}
}

// Client gives the jobs of a host to the schedulers of their groups. Set the exported
// fields before use.
type Client struct {
	Self    api.HostID
	View    func() *directory.View
	HTTP    *http.Client
	Log     *log.Logger
	Metrics *metric.Set
	// Local returns this host's scheduler of a group.
	Local func(group Group) *Scheduler

	mu sync.Mutex
	// avoid maps hosts that failed to when they may be asked again.
	avoid map[api.HostID]time.Time
	// releases holds the results to release by group.
	releases map[Group][]Made
}

// Prepare runs the stages of a request.
func (c *Client) Prepare(ctx context.Context, work *forward.Work) (*forward.Prepared, error) {
	prepared, err := c.prepareInGroups(ctx, work)
	if errors.Is(err, ErrHandedBack) {
		return nil, fault.RetryAfter(fault.Wrap(api.KindNoUpstream, err, "the groups of hosts changed twice"), minRetryAfter)
	}
	return prepared, err
}

// prepareInGroups runs the stages of a request in its group, or in another one. It
// returns ErrHandedBack where no group kept the job.
func (c *Client) prepareInGroups(ctx context.Context, work *forward.Work) (*forward.Prepared, error) {
	var known record
	groups := Groups(c.View())
	group := groupOf(groups, work.Home, string(work.Request.ID))
	prepared, err := c.prepareIn(ctx, work, group, &known)
	if errors.Is(err, ErrHandedBack) {
		// The groups changed under the job.
		groups = Groups(c.View())
		group = groupOf(groups, work.Home, string(work.Request.ID))
		prepared, err = c.prepareIn(ctx, work, group, &known)
	}
	if !fault.Is(err, api.KindDeadlineUnreachable) || len(groups) == 1 || ctx.Err() != nil {
		return prepared, err
	}
	// Another group may have room; results that cross data centres are better than none.
	others := slices.DeleteFunc(groups, func(g Group) bool { return g == group })
	c.Metrics.Counter("stage.other_group").Inc(1)
	return c.prepareIn(ctx, work, groupOf(others, "", string(work.Request.ID)), &record{})
}

// prepareIn runs the stages of a request in a group. Known holds the results that the
// job has. It returns ErrHandedBack where the group does not exist any more.
func (c *Client) prepareIn(ctx context.Context, work *forward.Work, group Group, known *record) (*forward.Prepared, error) {
	var last error
	var host fleet.Host
	again, passed, returned := false, false, false
	for range maxSubmits {
		if !again {
			host, passed = c.pick(group)
		}
		message := newMessage(work, group, clock.Now())
		message.Pinned = passed || returned
		if message.DeadlineMs <= 0 {
			return nil, errLate
		}
		message.Made = known.living(clock.Now())
		outcome, err := c.submit(ctx, host, message, known)
		if err == nil {
			return c.prepared(group, outcome), nil
		}
		if ctx.Err() != nil {
			c.release(group, known.living(clock.Now()))
			return nil, err
		}
		if errors.Is(err, ErrHandedBack) {
			if !slices.Contains(Groups(c.View()), group) {
				return nil, err
			}
			last, again, returned = err, false, true
			continue
		}
		if !peer.IsFailure(err) {
			return nil, err
		}
		last = err
		// A reset connection tells little of the host: it is asked once more on a new one,
		// since a second gathering host would not know what the first one has begun.
		again = !again && peer.IsReset(err)
		if !again {
			c.passOver(host, work.Request.ID, err)
		}
	}
	c.release(group, known.living(clock.Now()))
	return nil, fault.Wrap(api.KindNoUpstream, last, "no host could run the stages")
}

func newMessage(work *forward.Work, group Group, now time.Time) *Message {
	m := &Message{
		Request: work.Request.ID, Key: work.Request.ItemKey, Rank: work.Rank, Group: group, Home: work.Home,
		DeadlineMs: (work.Deadline.Sub(now) - resultMargin).Milliseconds(),
		AimMs:      work.Request.Received.Add(work.Route.Objective).Sub(now).Milliseconds(),
	}
	for i, stage := range work.Route.Stages {
		m.Stages = append(m.Stages, Spec{
			Service: stage.Service, After: stage.After, ResultBytes: stage.ResultBytes, Items: work.Request.Items[i],
		})
	}
	return m
}

// pick returns the host that gathers for a group, and whether one that goes before it
// was passed over; the zero host is this one.
func (c *Client) pick(group Group) (host fleet.Host, passed bool) {
	now := clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, host := range Ranked(c.View().Hosts, group) {
		if host.ID == c.Self {
			return fleet.Host{}, passed
		}
		if now.Before(c.avoid[host.ID]) {
			passed = true
			continue
		}
		return host, passed
	}
	return fleet.Host{}, passed
}

// passOver notes that a host failed as a scheduler.
func (c *Client) passOver(host fleet.Host, request api.RequestID, err error) {
	c.Metrics.Counter("stage.host_failures").Inc(1)
	c.Log.Warn().Str("dependency", "scheduler").Str("peer", string(host.ID)).Str("request", string(request)).Err(err).Msg("dependency_lost")
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.avoid == nil {
		c.avoid = map[api.HostID]time.Time{}
	}
	c.avoid[host.ID] = clock.Now().Add(avoidTime)
}

// submit gives a job to a host, and notes in known the results that it makes.
func (c *Client) submit(ctx context.Context, host fleet.Host, message *Message, known *record) (Outcome, error) {
	if host.ID == "" {
		return c.Local(message.Group).Submit(ctx, message.Job(clock.Now()), func(made []Made) { known.add(made, clock.Now()) })
	}
	var last Reply
	err := peer.Stream(ctx, c.HTTP, host.Peer, PathJobs, message, func(reply *Reply) bool {
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
		return Outcome{}, fault.FromAPI(last.Error)
	}
	return Outcome{Made: last.Made, Home: last.Home}, nil
}

// prepared returns the outcome with the call that releases it.
func (c *Client) prepared(group Group, outcome Outcome) *forward.Prepared {
	var once sync.Once
	release := func() {
		once.Do(func() { c.release(group, outcome.Made) })
	}
	return &forward.Prepared{Inputs: outcome.Results(), Home: outcome.Home, Release: release}
}

// release tells the host that gathers for a group of results that are no longer needed.
// It may be another one than the host that had them made.
func (c *Client) release(group Group, made []Made) {
	if len(made) == 0 {
		return
	}
	if host, _ := c.pick(group); host.ID == "" {
		c.Local(group).Release(made)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.releases == nil {
		c.releases = map[Group][]Made{}
	}
	if len(c.releases[group]) == 0 {
		time.AfterFunc(releasePeriod, func() { c.flush(group) })
	}
	c.releases[group] = append(c.releases[group], made...)
}

// flush sends the results that are released in a group. A lost message costs room until
// the results end by themselves.
func (c *Client) flush(group Group) {
	c.mu.Lock()
	made := c.releases[group]
	delete(c.releases, group)
	c.mu.Unlock()
	host, _ := c.pick(group)
	if host.ID == "" {
		c.Local(group).Release(made)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), releaseTime)
	defer cancel()
	if err := peer.Post(ctx, c.HTTP, host.Peer, PathRelease, ReleaseMessage{group, made}, nil); err != nil {
		c.Metrics.Counter("stage.release_failures").Inc(1)
		c.Log.Debug().Str("peer", string(host.Peer)).Int("results", len(refs(made))).Err(err).Msg("release_failed")
	}
}
