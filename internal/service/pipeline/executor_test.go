package pipeline

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"redwingloft/internal/data/document"
	"redwingloft/internal/data/work"
	"redwingloft/internal/helper/fault"
	"redwingloft/internal/helper/metric"
	"redwingloft/internal/kernel"
	_ "redwingloft/internal/plugin/openai"
	"redwingloft/internal/service/retry"
	"redwingloft/internal/service/route"
	"redwingloft/internal/service/upstream"
	"redwingloft/pkg/api"
	"redwingloft/standin/engine"
	"redwingloft/standin/injection"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fixture holds an executor and the snapshot of a two-stage pipeline.
type fixture struct {
	*Executor
	snapshot *document.Snapshot
}

// newFixture returns a fixture whose groups have the given upstream addresses.
func newFixture(t testing.TB, maxTokens int, encoders, engines []string) *fixture {
	t.Helper()
	group := func(name api.GroupName, kind document.GroupKind, addresses []string) document.Group {
		g := document.Group{Name: name, Kind: kind, CostPerSecond: 1, CostPerThousandTokens: 1000}
		for i, address := range addresses {
			g.Upstreams = append(g.Upstreams, document.Upstream{
				ID: api.UpstreamID(fmt.Sprintf("%s-%d", name, i)), Address: api.Address(address), DataCentre: "dc", Slots: 8,
			})
		}
		return g
	}
	doc := &document.Document{
		Format: document.Format, Deployment: "test", Weights: document.Weights{Attainment: 1},
		Groups: []document.Group{group("encoders", document.GroupEmbedding, encoders), group("engines", document.GroupChat, engines)},
		Pipelines: []document.Pipeline{{Name: "answer", Deadline: 5000, Versions: []document.Version{{Name: "one", Stages: []document.Stage{
			{Name: "encode", Kind: document.StageEncode, Group: "encoders", Model: "encoder"},
			{Name: "generate", Kind: document.StageGenerate, Group: "engines", Model: "engine", MaxTokens: maxTokens},
		}}}}},
	}
	snapshot, err := document.Compile(doc, 1)
	assert.NilError(t, err)
	table := &upstream.Table{}
	table.Apply(snapshot)
	return &fixture{&Executor{Table: table, Router: &route.Router{}, Budget: &retry.Budget{Metrics: metric.New()}}, snapshot}
}

func (r *fixture) request(input string) Request {
	return Request{
		ID: "r", Workspace: "w", Pipeline: "answer", Snapshot: r.snapshot,
		Version: r.snapshot.Version("answer", "one"), Item: work.State{Input: input},
	}
}

// newServers starts n stand-in engines and returns their addresses and fault injectors.
func newServers(t testing.TB, n int, server func() *engine.Server) ([]string, []*injection.Injector) {
	t.Helper()
	var addresses []string
	var injectors []*injection.Injector
	for range n {
		injector := &injection.Injector{}
		listening := httptest.NewServer(injector.Handler(server().Routes()))
		t.Cleanup(listening.Close)
		addresses = append(addresses, strings.TrimPrefix(listening.URL, "http://"))
		injectors = append(injectors, injector)
	}
	return addresses, injectors
}

// TestStreamCutAtEveryByte guards against a resumed stream with missing, duplicate
// or miscounted tokens, at any byte where the connection may break.
func TestStreamCutAtEveryByte(t *testing.T) {
	const tokens = 6
	encoders, _ := newServers(t, 1, func() *engine.Server { return &engine.Server{} })
	engines, injectors := newServers(t, 3, func() *engine.Server { return &engine.Server{Slots: 64} })
	r := newFixture(t, tokens, encoders, engines)
	r.Budget = nil // every run is interrupted twice, more than any retry budget allows
	r.DisableHedging = true
	sender := upstream.NewSender()
	size := responseSize(t, engines[0])
	for cut := 1; cut < size; cut++ {
		attempts := 0
		r.Send = func(ctx context.Context, attempt upstream.Attempt) error {
			if attempt.Instance.Group == "engines" {
				attempts++
				if attempts <= 2 {
					injector := injectors[slices.Index(engines, string(attempt.Instance.Address))]
					assert.NilError(t, injector.Set(injection.Fault{Mode: injection.ModeTruncate, Bytes: cut, Count: 1}))
				}
			}
			return sender.Do(ctx, attempt)
		}
		var text strings.Builder
		count := 0
		result, err := r.Run(t.Context(), r.request("a b"), Observer{OnToken: func(token work.Token) error {
			text.WriteString(token.Text)
			count += token.Count
			return nil
		}})
		assert.NilError(t, err, "cut after %d bytes", cut)
		assert.Equal(t, result.Text, engine.Text("a b", tokens), "cut after %d bytes", cut)
		assert.Equal(t, text.String(), result.Text, "cut after %d bytes", cut)
		assert.Equal(t, result.Tokens, tokens, "cut after %d bytes", cut)
		assert.Equal(t, count, tokens, "cut after %d bytes", cut)
	}
}

func responseSize(t *testing.T, address string) int {
	body := `{"messages":[{"role":"user","content":"a b"}],"max_tokens":6,"stream":true}`
	response, err := http.Post("http://"+address+"/v1/chat/completions", "application/json", strings.NewReader(body))
	assert.NilError(t, err)
	defer response.Body.Close()
	size := 0
	buffer := make([]byte, 4096)
	for {
		n, err := response.Body.Read(buffer)
		size += n
		if err != nil {
			return size
		}
	}
}

// scriptedSender implements Send with a function of the group and the number of the attempt.
type scriptedSender struct {
	mu       sync.Mutex
	attempts map[api.GroupName]int
	answer   func(ctx context.Context, group api.GroupName, number int, attempt upstream.Attempt) error
}

func (s *scriptedSender) send(ctx context.Context, attempt upstream.Attempt) error {
	s.mu.Lock()
	if s.attempts == nil {
		s.attempts = map[api.GroupName]int{}
	}
	s.attempts[attempt.Instance.Group]++
	number := s.attempts[attempt.Instance.Group]
	s.mu.Unlock()
	start := time.Now()
	err := s.answer(ctx, attempt.Instance.Group, number, attempt)
	attempt.Usage.Elapsed = time.Since(start)
	return err
}

// reply reads the successful response of a stage with n tokens.
func reply(attempt upstream.Attempt, n int) error {
	if attempt.Instance.Group == "encoders" {
		return attempt.Read(200, nil, strings.NewReader(`{"data":[{"embedding":[1]}]}`))
	}
	var body strings.Builder
	for i := range n {
		fmt.Fprintf(&body, "data: {\"choices\":[{\"delta\":{\"content\":\"t%d \"}}]}\n\n", i)
	}
	body.WriteString("data: {\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}],\"usage\":{\"prompt_tokens\":10,\"prompt_tokens_details\":{\"cached_tokens\":4}}}\n\ndata: [DONE]\n\n")
	return attempt.Read(200, nil, strings.NewReader(body.String()))
}

var (
	errDial   = &upstream.SendError{Reason: upstream.ReasonDial, Cause: errors.New("refused")}
	errBroken = &upstream.SendError{Reason: upstream.ReasonBroken, Written: true, Cause: errors.New("broken")}
	errBusy   = &upstream.SendError{Reason: upstream.ReasonStatus, Written: true, Status: 503}
)

// TestRunStateOfEveryErrorPath guards against a request that is reported as not
// run although an upstream may have received it, and as unknown although none has.
func TestRunStateOfEveryErrorPath(t *testing.T) {
	for _, test := range []struct {
		name   string
		answer func(ctx context.Context, group api.GroupName, number int, attempt upstream.Attempt) error
		emit   error
		ended  bool
		kind   api.Kind
		run    api.RunState
	}{
		{name: "canceled before the first attempt", ended: true, kind: api.KindCallerGone, run: api.RunNo},
		{name: "dial fails in the first stage", kind: api.KindNoUpstream, run: api.RunNo, answer: func(context.Context, api.GroupName, int, upstream.Attempt) error { return errDial }},
		{name: "connection of the first stage breaks", kind: api.KindStageFailed, run: api.RunUnknown, answer: func(context.Context, api.GroupName, int, upstream.Attempt) error { return errBroken }},
		{name: "status 503, then dial fails", kind: api.KindNoUpstream, run: api.RunUnknown, answer: func(_ context.Context, _ api.GroupName, number int, _ upstream.Attempt) error {
			if number == 1 {
				return errBusy
			}
			return errDial
		}},
		{name: "dial fails in the second stage", kind: api.KindNoUpstream, run: api.RunYes, answer: func(_ context.Context, group api.GroupName, _ int, attempt upstream.Attempt) error {
			if group == "engines" {
				return errDial
			}
			return reply(attempt, 1)
		}},
		{name: "caller disconnects at a token", kind: api.KindCallerGone, run: api.RunYes, emit: errors.New("gone"), answer: func(_ context.Context, _ api.GroupName, _ int, attempt upstream.Attempt) error {
			return reply(attempt, 1)
		}},
		{name: "deadline after sending", kind: api.KindDeadlineExceeded, run: api.RunUnknown, answer: func(ctx context.Context, _ api.GroupName, _ int, _ upstream.Attempt) error {
			<-ctx.Done()
			return &upstream.SendError{Reason: upstream.ReasonCanceled, Written: true, Cause: ctx.Err()}
		}},
		{name: "deadline while dialing", kind: api.KindDeadlineExceeded, run: api.RunNo, answer: func(ctx context.Context, _ api.GroupName, _ int, _ upstream.Attempt) error {
			<-ctx.Done()
			return &upstream.SendError{Reason: upstream.ReasonDial, Cause: ctx.Err()}
		}},
		{name: "input rejected", kind: api.KindStageFailed, run: api.RunUnknown, answer: func(context.Context, api.GroupName, int, upstream.Attempt) error {
			return &upstream.SendError{Reason: upstream.ReasonStatus, Written: true, Status: 400}
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := newFixture(t, 4, []string{"127.0.0.1:1", "127.0.0.1:2"}, []string{"127.0.0.1:3", "127.0.0.1:4"})
			r.Send = (&scriptedSender{answer: test.answer}).send
			ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			defer cancel()
			if test.ended {
				cancel()
			}
			_, err := r.Run(ctx, r.request("x"), Observer{OnToken: func(work.Token) error { return test.emit }})
			assert.Equal(t, fault.KindOf(err), test.kind, "%v", err)
			assert.Equal(t, fault.RunStateOf(err), test.run)
		})
	}
}

// TestAttemptsStayBounded guards against unlimited retries when all attempts fail.
func TestAttemptsStayBounded(t *testing.T) {
	r := newFixture(t, 4, []string{"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", "127.0.0.1:4", "127.0.0.1:5"}, []string{"127.0.0.1:6"})
	r.Budget = nil
	script := &scriptedSender{answer: func(context.Context, api.GroupName, int, upstream.Attempt) error { return errBusy }}
	r.Send = script.send
	result, err := r.Run(t.Context(), r.request("x"), Observer{})
	assert.Assert(t, err != nil)
	assert.Equal(t, result.Stages[0].Attempts, maxFailures)
	assert.Equal(t, script.attempts["engines"], 0)
	r.Budget = &retry.Budget{Metrics: metric.New()}
	for range 100 {
		_, _ = r.Run(t.Context(), r.request("x"), Observer{})
	}
	counts := r.Budget.Metrics.Counters()
	assert.Assert(t, counts["retry.status"] <= 20, "%d retries", counts["retry.status"])
	assert.Assert(t, counts["retry.refused.status"] > 0)
}

// recordLatency records enough latencies of all stages for hedges to be sent.
func (r *fixture) recordLatency(d time.Duration) {
	for i := range r.request("").Version.Stages {
		measured := r.latency.getOrCreate(newStageKey("answer", &r.request("").Version.Stages[i]))
		for range 2 * minRecords {
			measured.firstToken.Record(d, time.Now())
			measured.total.Record(d, time.Now())
		}
	}
}

// TestHedgeWinsAndLoserIsCanceled guards against a slow upstream that delays a request,
// a losing attempt that is not canceled, and one whose cost is not recorded.
func TestHedgeWinsAndLoserIsCanceled(t *testing.T) {
	r := newFixture(t, 4, []string{"127.0.0.1:1", "127.0.0.1:2"}, []string{"127.0.0.1:3", "127.0.0.1:4"})
	r.recordLatency(time.Millisecond)
	canceled := make(chan struct{}, 2)
	r.Send = (&scriptedSender{answer: func(ctx context.Context, _ api.GroupName, number int, attempt upstream.Attempt) error {
		if number == 1 {
			<-ctx.Done()
			canceled <- struct{}{}
			return &upstream.SendError{Reason: upstream.ReasonCanceled, Written: true, Cause: ctx.Err()}
		}
		return reply(attempt, 4)
	}}).send
	result, err := r.Run(t.Context(), r.request("x"), Observer{})
	assert.NilError(t, err)
	<-canceled
	<-canceled
	assert.Equal(t, result.Text, "t0 t1 t2 t3 ")
	assert.Equal(t, r.Budget.Metrics.Counters()["retry.hedge"], int64(2))
	for _, stage := range result.Stages {
		assert.Equal(t, stage.Attempts, 2)
		assert.Assert(t, stage.LostCost > 0 && stage.LostCost < stage.Cost, "%+v", stage)
	}
	// Six uncached prompt tokens and four generated ones; the loser has processed the same prompt.
	assert.Assert(t, result.Stages[1].Cost >= 16 && result.Stages[1].LostCost >= 6, "%+v", result.Stages[1])
}

// TestNoHedgeAfterFirstToken guards against a hedge of a stream whose first tokens the caller has received.
func TestNoHedgeAfterFirstToken(t *testing.T) {
	r := newFixture(t, 4, []string{"127.0.0.1:1"}, []string{"127.0.0.1:3", "127.0.0.1:4"})
	r.recordLatency(time.Millisecond)
	script := &scriptedSender{}
	script.answer = func(_ context.Context, group api.GroupName, _ int, attempt upstream.Attempt) error {
		if group == "encoders" {
			return reply(attempt, 0)
		}
		reader, writer := io.Pipe()
		go func() {
			defer writer.Close()
			for i := range 4 {
				fmt.Fprintf(writer, "data: {\"choices\":[{\"delta\":{\"content\":\"t%d \"}}]}\n\n", i)
				if i == 0 {
					time.Sleep(10 * minHedgeDelay)
				}
			}
			fmt.Fprint(writer, "data: {\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n")
		}()
		return attempt.Read(200, nil, reader)
	}
	r.Send = script.send
	_, err := r.Run(t.Context(), r.request("x"), Observer{OnToken: func(work.Token) error { return nil }})
	assert.NilError(t, err)
	assert.Equal(t, script.attempts["engines"], 1)
}

// TestLateResultStaysWithItsAttempt guards against a late response that is used for another request or blocks its sender.
func TestLateResultStaysWithItsAttempt(t *testing.T) {
	r := newFixture(t, 4, []string{"127.0.0.1:1", "127.0.0.1:2"}, []string{"127.0.0.1:3"})
	r.recordLatency(time.Millisecond)
	free := make(chan struct{})
	var late atomic.Int64
	r.Send = (&scriptedSender{answer: func(_ context.Context, group api.GroupName, number int, attempt upstream.Attempt) error {
		if group == "encoders" && number%2 == 1 {
			<-free // this sender ignores its cancellation
			late.Add(1)
			return attempt.Read(200, nil, strings.NewReader(`{"data":[{"embedding":[666]}]}`))
		}
		return reply(attempt, 4)
	}}).send
	for range 5 {
		result, err := r.Run(t.Context(), r.request("x"), Observer{OnLastStage: func(_ int, item work.State) error {
			assert.DeepEqual(t, item.Vector, []float64{1})
			return nil
		}})
		assert.NilError(t, err)
		assert.Assert(t, result.Stages[0].LostCost > 0)
	}
	close(free)
	for late.Load() < 5 {
		time.Sleep(time.Millisecond)
	}
}

// TestCallerDisconnectCancelsUpstream guards against a stream that continues at the upstream after its caller has disconnected.
func TestCallerDisconnectCancelsUpstream(t *testing.T) {
	server := &engine.Server{StepTime: time.Millisecond}
	encoders, _ := newServers(t, 1, func() *engine.Server { return &engine.Server{} })
	engines, _ := newServers(t, 1, func() *engine.Server { return server })
	r := newFixture(t, 100_000, encoders, engines)
	r.Send = upstream.NewSender().Do
	_, err := r.Run(t.Context(), r.request("x"), Observer{OnToken: func(work.Token) error { return errors.New("gone") }})
	assert.Equal(t, fault.KindOf(err), api.KindCallerGone)
	for server.Stats().Canceled == 0 {
		time.Sleep(time.Millisecond)
	}
}

// TestDeadlineLeavesTimeForLaterStages guards against a first stage that may use the
// whole deadline, and against one with less time than its own p95.
func TestDeadlineLeavesTimeForLaterStages(t *testing.T) {
	r := newFixture(t, 4, []string{"127.0.0.1:1"}, []string{"127.0.0.1:3"})
	r.recordLatency(time.Second)
	request := r.request("x")
	left := func(total time.Duration) time.Duration {
		ctx, cancel := context.WithTimeout(t.Context(), total)
		defer cancel()
		inner, cancelInner := r.newStage(&request, &runState{}, 0, request.Item).stageContext(ctx)
		defer cancelInner()
		outer, _ := ctx.Deadline()
		end, _ := inner.Deadline()
		return outer.Sub(end)
	}
	assert.Assert(t, left(time.Minute) > 800*time.Millisecond)
	assert.Equal(t, left(100*time.Millisecond), time.Duration(0))
	prediction := r.Predict(&request)
	assert.Assert(t, prediction.Duration > 1600*time.Millisecond && prediction.Duration < 2400*time.Millisecond)
	assert.Assert(t, prediction.Share > 0.4 && prediction.Share < 0.6)
}

// BenchmarkExecutor measures the executor without the network: two stages and four tokens.
func BenchmarkExecutor(b *testing.B) {
	r := newFixture(b, 4, []string{"127.0.0.1:1", "127.0.0.1:2"}, []string{"127.0.0.1:3", "127.0.0.1:4"})
	r.Send = func(_ context.Context, attempt upstream.Attempt) error { return reply(attempt, 4) }
	b.ReportAllocs()
	for b.Loop() {
		if _, err := r.Run(context.Background(), r.request("x"), Observer{}); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkCodec measures the share of the codecs in BenchmarkExecutor.
func BenchmarkCodec(b *testing.B) {
	r := newFixture(b, 4, []string{"127.0.0.1:1"}, []string{"127.0.0.1:3"})
	request := r.request("x")
	b.ReportAllocs()
	for b.Loop() {
		for i := range request.Version.Stages {
			stage := r.newStage(&request, &runState{}, i, request.Item)
			codec, err := kernel.CodecFor(stage.group)
			assert.NilError(b, err)
			attempt := upstream.Attempt{Instance: r.Table.AvailableInstances(stage.group.Name)[0], Read: func(_ int, _ http.Header, body io.Reader) error {
				_, err := codec.Read(body, stage.input, func(work.Token) error { return nil })
				return err
			}}
			if err := reply(attempt, 4); err != nil {
				b.Fatal(err)
			}
		}
	}
}

// TestUnbuildableRequestIsNotRetried guards against retries that use up the retry
// budget for a request that can't be built for any upstream.
func TestUnbuildableRequestIsNotRetried(t *testing.T) {
	r := newFixture(t, 4, []string{"127.0.0.1:1", "127.0.0.1:2"}, []string{"127.0.0.1:3"})
	script := &scriptedSender{answer: func(context.Context, api.GroupName, int, upstream.Attempt) error {
		return &upstream.SendError{Reason: upstream.ReasonBuild, Cause: errors.New("the input can't be encoded")}
	}}
	r.Send = script.send
	result, err := r.Run(t.Context(), r.request("x"), Observer{})
	assert.Assert(t, err != nil)
	assert.Equal(t, fault.RunStateOf(err), api.RunNo)
	assert.Equal(t, result.Stages[0].Attempts, 1)
}
