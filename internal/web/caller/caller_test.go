package caller

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"net/textproto"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingloft/internal/data/document"
	"redwingloft/internal/helper/logging"
	"redwingloft/internal/helper/metric"
	"redwingloft/internal/helper/timer"
	"redwingloft/internal/service/memory"
	"redwingloft/internal/service/request"
	"redwingloft/pkg/api"
)

// newHandler returns a handler whose service has no configuration.
func newHandler() *Handler {
	return &Handler{
		Service:   &request.Service{Snapshot: func() *document.Snapshot { return nil }},
		Addresses: func(api.DataCentre) api.AddressList { return api.AddressList{ValidForMs: 1} },
		BodyBytes: func() int64 { return 1024 },
		Metrics:   metric.New(),
		Log:       logging.Discard(),
	}
}

func serve(t *testing.T, h *Handler, r *http.Request) (*httptest.ResponseRecorder, api.Error) {
	t.Helper()
	w := httptest.NewRecorder()
	h.Routes().ServeHTTP(w, r)
	var apiError api.Error
	assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &apiError), w.Body.String())
	return w, apiError
}

// TestMalformedInputIsRefusedAsNotRun guards against malformed input that is accepted,
// causes a panic, or gets a response without a defined error kind.
func TestMalformedInputIsRefusedAsNotRun(t *testing.T) {
	run := api.PathPipelines + "p/run"
	for name, c := range map[string]struct {
		method, path, body, header, value string
		want                              api.Kind
	}{
		"not JSON":          {"POST", run, "{", "", "", api.KindBadRequest},
		"unknown key":       {"POST", run, `{"inputt":"x"}`, "", "", api.KindBadRequest},
		"two objects":       {"POST", run, `{}{}`, "", "", api.KindBadRequest},
		"wrong type":        {"POST", run, `{"input":1}`, "", "", api.KindBadRequest},
		"too large":         {"POST", run, `{"input":"` + strings.Repeat("x", 2000) + `"}`, "", "", api.KindTooLarge},
		"bad deadline":      {"POST", run, `{}`, api.HeaderDeadline, "soon", api.KindBadRequest},
		"negative deadline": {"POST", run, `{}`, api.HeaderDeadline, "-1", api.KindBadRequest},
		"bad priority":      {"POST", run, `{}`, api.HeaderPriority, "urgent", api.KindBadRequest},
		"unknown path":      {"GET", "/v2/hosts", "", "", "", api.KindNotFound},
		"no configuration":  {"POST", run, `{}`, "", "", api.KindHostIsolated},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHandler()
			r := httptest.NewRequest(c.method, c.path, strings.NewReader(c.body))
			if c.header != "" {
				r.Header.Set(c.header, c.value)
			}
			w, apiError := serve(t, h, r)
			assert.Equal(t, apiError.Kind, c.want)
			assert.Equal(t, apiError.Run, api.RunNo)
			assert.Equal(t, w.Code, api.Kinds[c.want].Status)
			assert.Equal(t, h.Metrics.Counter(api.Kinds[c.want].Counter).Count(), int64(1))
		})
	}
}

// TestKeepalivesBeforeTheHeader guards against a caller that treats a host as stalled
// while it is still processing the request.
func TestKeepalivesBeforeTheHeader(t *testing.T) {
	var k keepalives
	entered, release := make(chan struct{}), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		kw, end := k.add(w)
		defer end()
		close(entered)
		<-release
		writeJSON(kw, http.StatusOK, "done")
	}))
	defer server.Close()
	var count atomic.Int64
	trace := &httptrace.ClientTrace{Got1xxResponse: func(code int, _ textproto.MIMEHeader) error {
		if code == http.StatusProcessing && count.Add(1) == 3 {
			close(release)
		}
		return nil
	}}
	go func() {
		<-entered
		for count.Load() < 3 {
			k.sendAll(time.Time{})
			time.Sleep(time.Millisecond)
		}
	}()
	r, err := http.NewRequestWithContext(httptrace.WithClientTrace(context.Background(), trace), http.MethodGet, server.URL, nil)
	assert.NilError(t, err)
	response, err := http.DefaultClient.Do(r)
	assert.NilError(t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Equal(t, strings.TrimSpace(string(body)), `"done"`)
}

// TestKeepalivesDoNotReadTheResponseHeader guards against a crash with "concurrent map
// iteration and map write" if the handler sets a header while a keepalive is being sent.
func TestKeepalivesDoNotReadTheResponseHeader(t *testing.T) {
	w, k := httptest.NewRecorder(), keepalives{}
	kw, end := k.add(w)
	defer end()
	kw.Header().Set("Retry-After", "1")
	assert.Equal(t, len(w.Header()), 0)
	kw.WriteHeader(http.StatusServiceUnavailable)
	assert.Equal(t, w.Header().Get("Retry-After"), "1")
}

// TestKeepalivesDoNotSplitEvents guards against a comment line in the middle of an event.
func TestKeepalivesDoNotSplitEvents(t *testing.T) {
	var k keepalives
	const events = 200
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		kw, end := k.add(w)
		defer end()
		out := &eventWriter{w: kw}
		for i := range uint64(events) {
			if out.write(api.EventToken, i+1, api.TokenEvent{Text: "x", Tokens: 1}) != nil {
				return
			}
			k.sendAll(time.Time{})
		}
	}))
	defer server.Close()
	response, err := http.Get(server.URL)
	assert.NilError(t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	count := 0
	for _, block := range strings.Split(strings.TrimSpace(string(body)), "\n\n") {
		if block == ": alive" {
			continue
		}
		count++
		lines := strings.Split(block, "\n")
		assert.Equal(t, len(lines), 3, "%q", block)
	}
	assert.Equal(t, count, events)
}

// TestTimerSendsKeepalives guards against a handler that is not subscribed to the timer.
func TestTimerSendsKeepalives(t *testing.T) {
	h := newHandler()
	now := time.Now()
	h.Timer = &timer.Service{Clock: func() time.Time { return now }}
	h.Routes()
	w := httptest.NewRecorder()
	kw, end := h.keepalives.add(w)
	defer end()
	kw.startStream()
	now = now.Add(KeepaliveInterval)
	h.Timer.Tick()
	body := func() string {
		kw.mu.Lock()
		defer kw.mu.Unlock()
		return w.Body.String()
	}
	// The keepalive is sent by another goroutine; the limit prevents a hanging test.
	for range 10_000 {
		if body() != "" {
			break
		}
		time.Sleep(time.Millisecond)
	}
	assert.Equal(t, body(), ": alive\n\n")
}

// TestBodiesAreAccounted guards against bodies that together exceed the memory of a host, and against a
// refusal that leaves memory reserved.
func TestBodiesAreAccounted(t *testing.T) {
	h := newHandler()
	h.BodyBytes = func() int64 { return 1 << 20 }
	h.Memory = &memory.Account{Limit: 1 << 20, StallTime: time.Second}
	kept := h.Memory.Open("w", time.Now(), nil)
	assert.NilError(t, kept.Grow(200<<10, time.Now()))
	assert.NilError(t, kept.Complete())
	run := func(size int) (*httptest.ResponseRecorder, api.Error) {
		r := httptest.NewRequest("POST", api.PathPipelines+"p/run", strings.NewReader(`{"input":"`+strings.Repeat("x", size)+`"}`))
		r.Header.Set(api.HeaderWorkspace, "w")
		return serve(t, h, r)
	}
	w, refused := run(400 << 10)
	assert.Equal(t, refused.Kind, api.KindMemoryFull)
	assert.Assert(t, w.Header().Get("Retry-After") != "" && refused.Run == api.RunNo)
	_, served := run(40 << 10)
	assert.Equal(t, served.Kind, api.KindHostIsolated)
	assert.Equal(t, h.Memory.Used(), int64(200<<10))
}

// endlessBody is a body without an end. It counts what is read of it.
type endlessBody struct{ read int }

func (b *endlessBody) Read(p []byte) (int, error) {
	b.read += len(p)
	return len(p), nil
}

// TestCredentialIsCheckedBeforeTheBody guards against callers without a valid credential that use the memory of a
// host, each under a name of no workspace.
func TestCredentialIsCheckedBeforeTheBody(t *testing.T) {
	h := newHandler()
	h.Memory = &memory.Account{Limit: 1 << 20, StallTime: time.Second}
	h.Service.Snapshot = func() *document.Snapshot { return &document.Snapshot{} }
	for _, path := range []string{api.PathPipelines + "p/run", api.PathServices + "s/c"} {
		body := &endlessBody{}
		r := httptest.NewRequest("POST", path, body)
		r.Header.Set(api.HeaderWorkspace, "unknown")
		_, refused := serve(t, h, r)
		assert.Equal(t, refused.Kind, api.KindUnauthorized)
		assert.Equal(t, refused.Run, api.RunNo)
		assert.Equal(t, body.read, 0)
	}
}

// TestRefusedCredentialKeepsConnection guards against a connection that is closed although nothing is left to be
// read on it.
func TestRefusedCredentialKeepsConnection(t *testing.T) {
	h := newHandler()
	h.Service.Snapshot = func() *document.Snapshot { return &document.Snapshot{} }
	for body, closes := range map[string]bool{"": false, "{}": true} {
		r := httptest.NewRequest("GET", api.PathServices+"s/c", strings.NewReader(body))
		w, refused := serve(t, h, r)
		assert.Equal(t, refused.Kind, api.KindUnauthorized)
		assert.Equal(t, w.Header().Get("Connection") == "close", closes, "%q", body)
	}
	r := httptest.NewRequest("GET", api.PathServices+"s/c", strings.NewReader("{}"))
	r.ProtoMajor = 2
	w, _ := serve(t, h, r)
	assert.Equal(t, w.Header().Get("Connection"), "")
}

func FuzzRun(f *testing.F) {
	f.Add([]byte(`{"input":"x","stream":true}`), "1000", "high")
	f.Add([]byte(`{"resume":{"token":"a.b","last_event":1,"text":""}}`), "", "")
	f.Fuzz(func(t *testing.T, body []byte, deadline, priority string) {
		h := newHandler()
		r := httptest.NewRequest(http.MethodPost, api.PathPipelines+"p/run", strings.NewReader(string(body)))
		r.Header.Set(api.HeaderDeadline, deadline)
		r.Header.Set(api.HeaderPriority, priority)
		w := httptest.NewRecorder()
		h.Routes().ServeHTTP(w, r)
		var apiError api.Error
		if err := json.Unmarshal(w.Body.Bytes(), &apiError); err != nil {
			t.Fatalf("the response is not JSON: %v", err)
		}
		if api.Kinds[apiError.Kind].Status != w.Code || apiError.Run != api.RunNo {
			t.Fatalf("response %+v with status %d", apiError, w.Code)
		}
	})
}
