package request

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"redwingloft/internal/data/document"
	"redwingloft/internal/helper/fault"
	"redwingloft/internal/helper/metric"
	"redwingloft/internal/helper/secret"
	_ "redwingloft/internal/plugin/openai"
	"redwingloft/internal/service/account"
	"redwingloft/internal/service/admission"
	"redwingloft/internal/service/memory"
	"redwingloft/internal/service/order"
	"redwingloft/internal/service/pipeline"
	"redwingloft/internal/service/retry"
	"redwingloft/internal/service/route"
	"redwingloft/internal/service/upstream"
	"redwingloft/pkg/api"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const finishedStream = `data: {"choices":[{"delta":{"content":"done"},"finish_reason":"stop"}]}` + "\n\ndata: [DONE]\n\n"

// fixture holds a Service with one pipeline of two versions and one HTTP service.
type fixture struct {
	*Service
	holder *document.SnapshotHolder
	doc    *document.Document
	// models counts the attempts by requested model.
	models map[string]*atomic.Int64
	// hold blocks every attempt until it is closed; nil doesn't block.
	hold chan struct{}
}

var caller = Caller{ID: "r", Workspace: "w", Credential: "token", Timeout: 5 * time.Second}

func newFixture(t *testing.T, slots int, services ...string) *fixture {
	t.Helper()
	version := func(name api.VersionName, model api.ModelName) document.Version {
		return document.Version{Name: name, Stages: []document.Stage{{Name: "generate", Kind: document.StageGenerate, Group: "engines", Model: model, MaxTokens: 4}}}
	}
	upstreams := func(group string, addresses ...string) (list []document.Upstream) {
		for _, address := range addresses {
			id := group + "-" + strings.ReplaceAll(address, ":", "-")
			list = append(list, document.Upstream{ID: api.UpstreamID(strings.ReplaceAll(id, ".", "-")), Address: api.Address(address), DataCentre: "dc", Slots: slots})
		}
		return list
	}
	if services == nil {
		services = []string{"127.0.0.1:2"}
	}
	r := &fixture{holder: &document.SnapshotHolder{}, models: map[string]*atomic.Int64{"old": {}, "new": {}}}
	r.doc = &document.Document{
		Format: document.Format, Deployment: "test", Weights: document.Weights{Attainment: 1},
		Groups: []document.Group{
			{Name: "engines", Kind: document.GroupChat, Upstreams: upstreams("engines", "127.0.0.1:1")},
			{Name: "desks", Kind: document.GroupHTTP, CostPerSecond: 1, Upstreams: upstreams("desks", services...)},
		},
		Pipelines: []document.Pipeline{{Name: "plan", Deadline: 5000, Versions: []document.Version{version("old", "old"), version("new", "new")}}},
		Services: []document.Service{{Name: "desk", Group: "desks", Calls: []document.Call{
			{Name: "look", Method: "POST", Path: "/look", Repeatable: true, Deadline: 5000},
			{Name: "book", Method: "POST", Path: "/book", Deadline: 5000},
		}}},
		Workspaces: []document.Workspace{{
			Name: "w", CredentialHashes: []string{secret.HashToken("token")}, Services: []api.ServiceName{"desk"},
			Serves: []document.PipelineVersion{{Pipeline: "plan", Version: "old"}},
		}},
	}
	table := &upstream.Table{}
	executor := &pipeline.Executor{Table: table, Router: &route.Router{}, Send: r.send, Budget: &retry.Budget{Metrics: metric.New()}}
	r.Service = &Service{
		Snapshot: r.holder.Load, ResumeKey: []byte("0123456789abcdef0123456789abcdef"), Executor: executor,
		Queue: &admission.Queue{Snapshot: r.holder.Load}, Quota: &admission.Quota{}, Accumulator: &account.Accumulator{},
		Table: table, Router: &route.Router{}, Sender: upstream.NewSender(),
	}
	r.apply(t, 1)
	return r
}

// apply makes the document of the fixture the active configuration.
func (r *fixture) apply(t *testing.T, revision api.Revision) {
	t.Helper()
	snapshot, err := document.Compile(r.doc.Clone(), revision)
	assert.NilError(t, err)
	r.Table.Apply(snapshot)
	assert.Assert(t, r.holder.Store(snapshot))
}

func (r *fixture) send(ctx context.Context, attempt upstream.Attempt) error {
	request, err := attempt.Build(ctx, "http://engine")
	if err != nil {
		return err
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return err
	}
	for model, count := range r.models {
		if strings.Contains(string(body), `"model":"`+model+`"`) {
			count.Add(1)
		}
	}
	if r.hold != nil {
		<-r.hold
	}
	return attempt.Read(200, nil, strings.NewReader(finishedStream))
}

// runInBackground runs the pipeline in a goroutine and returns a channel with its error.
func (r *fixture) runInBackground(ctx context.Context) <-chan error {
	result := make(chan error, 1)
	go func() {
		_, err := r.RunPipeline(ctx, caller, "plan", api.RunRequest{Input: "x"}, StreamCallbacks{})
		result <- err
	}()
	return result
}

// waitFor waits until a condition is true; the timeout only ends a test that hangs.
func waitFor(t *testing.T, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "timeout while waiting for the condition")
	}
}

// TestDrainFinishesRequestsInProgress guards against a shutdown that interrupts
// running or queued requests, and against new ones that start during it.
func TestDrainFinishesRequestsInProgress(t *testing.T) {
	r := newFixture(t, 1)
	r.hold = make(chan struct{})
	running := r.runInBackground(t.Context())
	waitFor(t, func() bool { return r.Queue.Load().Running == 1 })
	waiting := r.runInBackground(t.Context())
	waitFor(t, func() bool { return r.Queue.Load().Queued == 1 })
	drained := make(chan error, 1)
	go func() { drained <- r.Drain(t.Context()) }()
	waitFor(t, func() bool {
		_, err := r.CallService(t.Context(), caller, "desk", "look", "", nil)
		return fault.Is(err, api.KindDraining) && fault.RunStateOf(err) == api.RunNo
	})
	select {
	case <-drained:
		t.Fatal("Drain returned before the requests in progress had ended")
	default:
	}
	close(r.hold)
	assert.NilError(t, <-running)
	assert.NilError(t, <-waiting)
	assert.NilError(t, <-drained)
	assert.Equal(t, r.InProgress(), 0)
}

// TestDrainRefusesQueuedRequestsAsNotRun guards against a drain that times out and
// leaves queued requests without a response.
func TestDrainRefusesQueuedRequestsAsNotRun(t *testing.T) {
	r := newFixture(t, 1)
	r.hold = make(chan struct{})
	running := r.runInBackground(t.Context())
	waitFor(t, func() bool { return r.Queue.Load().Running == 1 })
	waiting := r.runInBackground(t.Context())
	waitFor(t, func() bool { return r.Queue.Load().Queued == 1 })
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	assert.ErrorIs(t, r.Drain(ctx), context.Canceled)
	err := <-waiting
	assert.Equal(t, fault.KindOf(err), api.KindDraining)
	assert.Equal(t, fault.RunStateOf(err), api.RunNo)
	close(r.hold)
	assert.NilError(t, <-running)
	assert.NilError(t, r.Drain(t.Context()))
}

// TestHeldRequestStartsOnNewVersion guards against a request that is held during a
// handover and then starts on the version that was active on its arrival, and
// against a held request that occupies a slot.
func TestHeldRequestStartsOnNewVersion(t *testing.T) {
	r := newFixture(t, 1)
	held := make(chan struct{})
	var asked atomic.Int64
	r.Gate = func(ticket *admission.Ticket) (func(), <-chan struct{}, error) {
		asked.Add(1)
		if ticket.Revision < 2 {
			return nil, held, nil
		}
		return nil, nil, nil
	}
	answer := r.runInBackground(t.Context())
	waitFor(t, func() bool { return asked.Load() == 1 && r.Queue.Load() == admission.Load{} })
	r.doc.Workspaces[0].Serves[0].Version = "new"
	r.apply(t, 2)
	close(held)
	assert.NilError(t, <-answer)
	assert.Equal(t, r.models["old"].Load(), int64(0))
	assert.Equal(t, r.models["new"].Load(), int64(1))
}

// TestQueuedRequestStartsOnNewVersion guards against a request that is queued during
// a configuration change and then starts on the old version.
func TestQueuedRequestStartsOnNewVersion(t *testing.T) {
	r := newFixture(t, 1)
	r.hold = make(chan struct{})
	running := r.runInBackground(t.Context())
	waitFor(t, func() bool { return r.Queue.Load().Running == 1 })
	waiting := r.runInBackground(t.Context())
	waitFor(t, func() bool { return r.Queue.Load().Queued == 1 })
	r.doc.Workspaces[0].Serves[0].Version = "new"
	r.apply(t, 2)
	close(r.hold)
	assert.NilError(t, <-running)
	assert.NilError(t, <-waiting)
	assert.Equal(t, r.models["old"].Load(), int64(1))
	assert.Equal(t, r.models["new"].Load(), int64(1))
}

// TestRefusalsBeforeStart guards against refusals without the run state "no".
func TestRefusalsBeforeStart(t *testing.T) {
	for _, test := range []struct {
		name  string
		setUp func(r *fixture, cancel context.CancelFunc)
		kind  api.Kind
	}{
		{"gate", func(r *fixture, _ context.CancelFunc) {
			r.Gate = func(*admission.Ticket) (func(), <-chan struct{}, error) {
				return nil, nil, fault.New(api.KindHostIsolated, "isolated")
			}
		}, api.KindHostIsolated},
		{"handover until the deadline", func(r *fixture, _ context.CancelFunc) {
			r.Gate = func(*admission.Ticket) (func(), <-chan struct{}, error) { return nil, make(chan struct{}), nil }
		}, api.KindHandover},
		{"caller disconnects while held", func(r *fixture, cancel context.CancelFunc) {
			r.Gate = func(*admission.Ticket) (func(), <-chan struct{}, error) {
				cancel()
				return nil, make(chan struct{}), nil
			}
		}, api.KindCallerGone},
		{"quota", func(r *fixture, _ context.CancelFunc) {
			assert.NilError(t, r.Quota.Take(t.Context(), "w", 0.001, 1))
			r.holder.Load().Workspaces["w"].RequestsPerSecond, r.holder.Load().Workspaces["w"].Burst = 0.001, 1
		}, api.KindWorkspaceLimit},
		{"workspace removed while held", func(r *fixture, _ context.CancelFunc) {
			again := make(chan struct{})
			close(again)
			r.Gate = func(ticket *admission.Ticket) (func(), <-chan struct{}, error) {
				if ticket.Revision == 1 {
					r.doc.Workspaces = nil
					snapshot, err := document.Compile(r.doc.Clone(), 2)
					assert.NilError(t, err)
					r.holder.Store(snapshot)
				}
				return nil, again, nil
			}
		}, api.KindUnauthorized},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := newFixture(t, 1)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			test.setUp(r, cancel)
			hurried := caller
			hurried.Timeout = 100 * time.Millisecond
			_, err := r.RunPipeline(ctx, hurried, "plan", api.RunRequest{Input: "x"}, StreamCallbacks{})
			assert.Equal(t, fault.KindOf(err), test.kind, "%v", err)
			assert.Equal(t, fault.RunStateOf(err), api.RunNo)
			assert.Equal(t, r.models["old"].Load(), int64(0))
			assert.Equal(t, r.InProgress(), 0)
			assert.DeepEqual(t, r.Queue.Load(), admission.Load{})
		})
	}
}

// TestRepeatableCallTriesAnotherUpstream guards against a repeatable call that fails
// because one upstream is unreachable, and against an order that is sent twice.
func TestRepeatableCallTriesAnotherUpstream(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"ok":true}`))
	}))
	defer server.Close()
	var broken atomic.Int64
	cutting := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		broken.Add(1)
		panic(http.ErrAbortHandler)
	}))
	defer cutting.Close()
	address := func(s *httptest.Server) string { return strings.TrimPrefix(s.URL, "http://") }
	r := newFixture(t, 1, address(server), "127.0.0.1:9")
	for range 10 {
		answer, err := r.CallService(t.Context(), caller, "desk", "look", "", []byte("{}"))
		assert.NilError(t, err)
		assert.Equal(t, string(answer.Body), `{"ok":true}`)
	}
	r = newFixture(t, 1, address(cutting))
	_, err := r.SendOrder(t.Context(), order.Order{Workspace: "w", Service: "desk", Call: "book", Key: "k"}, 1)
	assert.Equal(t, fault.KindOf(err), api.KindOrderOutcomeUnknown)
	assert.Equal(t, broken.Load(), int64(1))
	_, err = r.CallService(t.Context(), caller, "desk", "look", "", nil)
	assert.Equal(t, fault.KindOf(err), api.KindStageFailed)
	assert.Equal(t, fault.RunStateOf(err), api.RunUnknown)
	r = newFixture(t, 1, "127.0.0.1:9")
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = r.SendOrder(ended, order.Order{Workspace: "w", Service: "desk", Call: "book", Key: "k"}, 1)
	assert.Equal(t, fault.KindOf(err), api.KindCallerGone)
	assert.Equal(t, fault.RunStateOf(err), api.RunNo)
	_, err = r.SendOrder(t.Context(), order.Order{Workspace: "w", Service: "desk", Call: "book", Key: "k"}, 1)
	assert.Equal(t, fault.RunStateOf(err), api.RunNo)
}

// TestAccumulatorCoversEveryOutcome guards against successful, failed or refused requests that are missing from the summary.
func TestAccumulatorCoversEveryOutcome(t *testing.T) {
	r := newFixture(t, 1)
	assert.NilError(t, <-r.runInBackground(t.Context()))
	r.Executor.Send = func(context.Context, upstream.Attempt) error {
		return &upstream.SendError{Reason: upstream.ReasonBroken, Written: true, Cause: errors.New("broken")}
	}
	assert.Assert(t, <-r.runInBackground(t.Context()) != nil)
	r.Gate = func(*admission.Ticket) (func(), <-chan struct{}, error) {
		return nil, nil, fault.New(api.KindHostIsolated, "isolated")
	}
	assert.Assert(t, <-r.runInBackground(t.Context()) != nil)
	summary := r.Accumulator.Summary()
	assert.Equal(t, summary.Total.Requests, int64(3))
	assert.Equal(t, summary.Total.Attained, int64(1))
	assert.DeepEqual(t, summary.Total.Missed, map[api.Kind]int64{api.KindStageFailed: 1, api.KindHostIsolated: 1})
}

// TestLongServiceResponseIsNotCut guards against a response above the limit whose beginning
// reaches the caller as a complete response.
func TestLongServiceResponseIsNotCut(t *testing.T) {
	whole := strings.Repeat("x", maxServiceResponse)
	data, err := readServiceResponse(strings.NewReader(whole), nil)
	assert.NilError(t, err)
	assert.Equal(t, len(data), maxServiceResponse)
	_, err = readServiceResponse(strings.NewReader(whole+"x"), nil)
	assert.ErrorContains(t, err, "more than")
}

// TestServiceResponseIsAccounted guards against responses that together exceed the memory of a host, and
// against memory that stays reserved.
func TestServiceResponseIsAccounted(t *testing.T) {
	account := &memory.Account{Limit: 1 << 20}
	reservation := account.NewReservation()
	_, err := readServiceResponse(strings.NewReader(strings.Repeat("x", 100<<10)), reservation)
	assert.NilError(t, err)
	assert.Assert(t, account.Used() >= responseCopies*100<<10)
	_, err = readServiceResponse(strings.NewReader(strings.Repeat("x", 400<<10)), reservation)
	assert.Assert(t, errors.Is(err, memory.ErrFull))
	reservation.Release()
	assert.NilError(t, reservation.Reserve(1))
	assert.Equal(t, account.Used(), int64(0))
}

// TestWorkspaceWithoutCredentials guards against a workspace that admits everybody once its last
// credential is removed.
func TestWorkspaceWithoutCredentials(t *testing.T) {
	workspace := &document.CompiledWorkspace{Workspace: &document.Workspace{Name: "w"}}
	snapshot := &document.Snapshot{Workspaces: map[api.WorkspaceName]*document.CompiledWorkspace{"w": workspace}}
	for _, hashes := range [][]string{nil, {}, {""}} {
		workspace.CredentialHashes = hashes
		for _, caller := range []Caller{{Workspace: "w"}, {Workspace: "w", Credential: "removed"}, {}, {Workspace: "other", Credential: "removed"}} {
			_, err := (&Service{}).authenticate(snapshot, caller)
			assert.Equal(t, fault.KindOf(err), api.KindUnauthorized, "%q, %+v", hashes, caller)
		}
	}
}

// TestGiveUpRefusesHeldRequests guards against requests that a stopping host leaves without a response because
// they wait for a handover, which no queue ends, and against one that has run and is refused as not run.
func TestGiveUpRefusesHeldRequests(t *testing.T) {
	r := newFixture(t, 1)
	held := make(chan struct{})
	defer close(held)
	var asked atomic.Int64
	r.Gate = func(*admission.Ticket) (func(), <-chan struct{}, error) {
		asked.Add(1)
		return nil, held, nil
	}
	answer := r.runInBackground(t.Context())
	waitFor(t, func() bool { return asked.Load() == 1 })
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	assert.ErrorIs(t, r.Drain(ctx), context.Canceled)
	r.GiveUp()
	err := <-answer
	assert.Equal(t, fault.KindOf(err), api.KindDraining, "%v", err)
	assert.Equal(t, fault.RunStateOf(err), api.RunNo)
	assert.NilError(t, r.Drain(t.Context()))

	ran := givenUpError(givenUpContext(), fault.WithRunState(fault.New(api.KindCallerGone, "cut"), api.RunYes))
	assert.Equal(t, api.Kinds[fault.KindOf(ran)].Status, 502)
	assert.Equal(t, fault.RunStateOf(ran), api.RunYes)
}

// givenUpContext returns the context of a request that was given up.
func givenUpContext() context.Context {
	ctx, cancel := context.WithCancelCause(context.Background())
	cancel(errGivenUp)
	return ctx
}
