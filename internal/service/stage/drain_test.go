package stage

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingloft/internal/data/fleet"
	"redwingloft/internal/helper/clock"
	"redwingloft/internal/helper/fault"
	"redwingloft/internal/helper/logging"
	"redwingloft/internal/helper/metric"
	"redwingloft/internal/service/directory"
	"redwingloft/internal/service/drain"
	"redwingloft/pkg/api"
)

// TestShortenedDeadlineRefusesAtOnce guards against a job that waits until its host stops although it is
// known that it can't be done by then, and against one that is refused although it can.
func TestShortenedDeadlineRefusesAtOnce(t *testing.T) {
	b := newBatchHarness(batchedService("s", 4))
	b.add("s", "a")
	for _, id := range []string{"first", "short", "long", "other"} {
		items := 4
		if id == "long" {
			items = 40
		}
		b.submitJob(b.job(id, 0, 10*time.Second, 20*time.Second, Spec{Service: "s", ResultBytes: 1000, Items: items}))
		if id == "first" {
			b.dispatchNow(nil)
		}
	}
	var list []JobDeadline
	for _, id := range []api.RequestID{"first", "short", "long", "unknown"} {
		list = append(list, JobDeadline{id, 1500})
	}
	found, failed := b.shortenDeadlines(list, b.now)
	assert.Equal(t, found, 3)
	assert.Equal(t, failed, 1)
	assert.Assert(t, fault.Is(b.errors["long"], api.KindDeadlineUnreachable), "%v", b.errors["long"])
	for b.completeNext(nil) {
	}
	for _, id := range []api.RequestID{"first", "short", "other"} {
		assert.NilError(t, b.errors[id])
		assert.Equal(t, len(b.outcomes[id].Results()), 4, id)
	}
}

// TestShortenedDeadlineIsNotExtended guards against a deadline that a late message moves to a later time.
func TestShortenedDeadlineIsNotExtended(t *testing.T) {
	b := newBatchHarness(batchedService("s", 4))
	b.add("s", "a")
	job := b.job("r", 0, time.Second, 2*time.Second, Spec{Service: "s", ResultBytes: 1000, Items: 1})
	b.submitJob(job)
	b.shortenDeadlines([]JobDeadline{{"r", 5000}}, b.now)
	assert.Equal(t, b.jobs["r"].Deadline, job.Deadline)
}

// TestJobOfStoppingHostIsForecast guards against a job that is taken because it can meet its target,
// although the host that submits it stops earlier.
func TestJobOfStoppingHostIsForecast(t *testing.T) {
	b := newBatchHarness(batchedService("s", 4))
	b.add("s", "a")
	for _, id := range []string{"a", "b", "c", "d", "e", "f", "g"} {
		b.submitJob(b.job(id, 0, 10*time.Second, 20*time.Second, Spec{Service: "s", ResultBytes: 1000, Items: 4}))
	}
	job := b.job("r", 0, 10*time.Second, time.Second, Spec{Service: "s", ResultBytes: 1000, Items: 4})
	assert.Assert(t, !b.admit(&job, b.now).accepted)
	job.Deadline = b.now.Add(20 * time.Second)
	assert.Assert(t, b.admit(&job, b.now).accepted)
}

// replyWith returns a host that answers jobs with a reply, and records the messages.
func replyWith(t *testing.T, messages chan<- Message, reply func(*Message) *Reply) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var message Message
		assert.Check(t, json.NewDecoder(r.Body).Decode(&message))
		messages <- message
		assert.Check(t, json.NewEncoder(w).Encode(reply(&message)))
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// TestJobsOfDrainingHostEndWithIt guards against jobs that are submitted with the deadline of their caller
// although their host stops before it.
func TestJobsOfDrainingHostEndWithIt(t *testing.T) {
	messages := make(chan Message, 2)
	client := newTestClient(viewWithPeers(t, replyWith(t, messages, func(*Message) *Reply {
		return &Reply{Stored: []StoredResults{{Upstream: "u", Items: []StoredResult{{Result: "r"}}}}}
	})))
	client.Drain = &drain.Schedule{}
	_, err := client.Prepare(context.Background(), testWork())
	assert.NilError(t, err)
	before := (<-messages).DeadlineMs
	assert.Assert(t, before > 4000, "%d ms", before)
	client.Drain.Begin(drain.Times{End: clock.Now().Add(3 * time.Second)})
	work := testWork()
	work.Reserve = time.Second
	_, err = client.Prepare(context.Background(), work)
	assert.NilError(t, err)
	after := (<-messages).DeadlineMs
	assert.Assert(t, after > 1000 && after < 2000, "%d ms", after)
}

// TestSchedulingHostsLearnOfDrain guards against a scheduling host that works on the jobs of a draining host
// until the deadlines of their callers.
func TestSchedulingHostsLearnOfDrain(t *testing.T) {
	learned, submitted, hold := make(chan DeadlineMessage, 1), make(chan struct{}), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == PathDeadlines {
			var message DeadlineMessage
			assert.Check(t, json.NewDecoder(r.Body).Decode(&message))
			learned <- message
			return
		}
		close(submitted)
		<-hold
		assert.Check(t, json.NewEncoder(w).Encode(Reply{Error: &api.Error{Kind: api.KindDeadlineUnreachable, Run: api.RunNo}}))
	}))
	defer server.Close()
	client := newTestClient(viewWithPeers(t, strings.TrimPrefix(server.URL, "http://")))
	client.HTTP.Timeout = 10 * time.Second
	client.Drain = &drain.Schedule{}
	ended := make(chan error, 1)
	go func() {
		_, err := client.Prepare(context.Background(), testWork())
		ended <- err
	}()
	<-submitted
	client.Drain.Begin(drain.Times{End: clock.Now().Add(2 * time.Second)})
	client.ShortenDeadlines()
	message := <-learned
	assert.Equal(t, len(message.Jobs), 1)
	assert.Equal(t, message.Jobs[0].Request, api.RequestID("r"))
	assert.Assert(t, message.Jobs[0].DeadlineMs > 1000 && message.Jobs[0].DeadlineMs < 2000, "%d ms", message.Jobs[0].DeadlineMs)
	close(hold)
	assert.Assert(t, fault.Is(<-ended, api.KindDeadlineUnreachable))
	// Jobs that have ended are not in the next message.
	client.ShortenDeadlines()
	assert.Equal(t, len(learned), 0)
}

// TestHandBacksAreNoFailures guards against a request that is refused because several scheduling hosts stop
// one after another.
func TestHandBacksAreNoFailures(t *testing.T) {
	messages := make(chan Message, 10)
	client := newTestClient(viewWithPeers(t, replyWith(t, messages, func(*Message) *Reply {
		if len(messages) <= maxSubmitAttempts {
			return &Reply{HandedBack: true}
		}
		return &Reply{Stored: []StoredResults{{Upstream: "u", Items: []StoredResult{{Result: "r"}}}}}
	})))
	prepared, err := client.Prepare(context.Background(), testWork())
	assert.NilError(t, err)
	assert.DeepEqual(t, prepared.Inputs, []fleet.ResultRef{"r"})
}

// TestDrainingSchedulerHandsPinnedJobsBack guards against a job that stays at a scheduling host until that
// ends because it was handed back once before, and against one that is passed back and forth because its
// host reaches no other one.
func TestDrainingSchedulerHandsPinnedJobsBack(t *testing.T) {
	view := groupView(t, 2, map[string][]api.ServiceName{"dc0": {"s"}})
	role := RoleScheduler
	s := &Scheduler{
		View: func() *directory.View { return view }, Role: func(*directory.View) Role { return role },
		Upstreams: func(*directory.View) []*fleet.Upstream { return nil }, Drain: &drain.Schedule{},
		Log: logging.Discard(), Metrics: metric.New(),
	}
	ended := map[api.RequestID]error{}
	submit := func(id api.RequestID, started time.Time) {
		job := Job{Request: id, Pinned: true, Stages: []Spec{{Service: "s", Items: 1}}, Target: clock.Now().Add(time.Minute), Deadline: clock.Now().Add(time.Minute)}
		s.plan.submit(job, started, func(_ Outcome, err error) { ended[id] = err })
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refresh()
	now := clock.Now()
	submit("before", now.Add(-2*handBackDelay))
	submit("late", now)
	s.replacedAt = now.Add(-2 * handBackDelay)
	s.handBackJobs()
	assert.Equal(t, len(ended), 0, "pinned jobs stay while the host does not drain")
	s.Drain.Begin(drain.Times{End: now.Add(time.Minute)})
	s.handBackJobs()
	assert.ErrorIs(t, ended["before"], ErrHandedBack)
	assert.NilError(t, ended["late"])
}
