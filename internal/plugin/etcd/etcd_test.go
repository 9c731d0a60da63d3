package etcd

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"

	"redwingloft/internal/data/store"
	"redwingloft/internal/kernel"
	"redwingloft/standin/injection"
	"redwingloft/standin/keyvalue"
)

func newClient(t *testing.T, endpoints ...string) *Client {
	t.Helper()
	client, err := New(kernel.StoreOptions{Endpoints: endpoints, Timeout: 5 * time.Second})
	assert.NilError(t, err)
	t.Cleanup(client.http.CloseIdleConnections)
	return client
}

func startServer(t *testing.T, status int, body string) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}))
	t.Cleanup(server.Close)
	return server.URL
}

var putTxn = store.Txn{Puts: []store.Put{{Key: "k", Value: []byte("v")}}}

// TestClassification guards against a write that may have been applied and is
// reported as not applied, so that a claim could be made twice.
func TestClassification(t *testing.T) {
	for _, c := range []struct {
		status  int
		body    string
		unknown bool
	}{
		{400, `{"error":"too many operations"}`, false},
		{404, `{"error":"etcdserver: requested lease not found"}`, false},
		{429, `{}`, false},
		{408, `{}`, true},
		{499, `{}`, true},
		{500, `{}`, true},
		{503, `{}`, true},
		{307, ``, true},
		{200, `{"succeeded":true`, true},
		{200, `{"succeeded":true}`, true},
		{200, `[]`, true},
	} {
		_, err := newClient(t, startServer(t, c.status, c.body)).Txn(context.Background(), putTxn)
		assert.Equal(t, store.IsErrUnknownOutcome(err), c.unknown, "%d %s: %v", c.status, c.body, err)
		assert.Equal(t, store.IsErrUnavailable(err), !c.unknown, "%d %s: %v", c.status, c.body, err)
		assert.Equal(t, store.IsErrLeaseNotFound(err), c.status == 404)
	}
}

// TestFailover guards against a client that keeps using an unreachable endpoint, and
// against one that retries a write after a lost response.
func TestFailover(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, closed.Close())
	gateway, injector := keyvalue.New(), &injection.Injector{}
	server := httptest.NewServer(injector.Handler(gateway.Routes()))
	t.Cleanup(server.Close)
	client := newClient(t, "http://"+closed.Addr().String(), server.URL, server.URL)
	_, err = client.Txn(context.Background(), putTxn)
	assert.NilError(t, err)
	assert.NilError(t, injector.Set(injection.Fault{Mode: injection.ModeDropReply, Path: "/v3/kv/txn", Count: 1}))
	before := gateway.Store.Version()
	_, err = client.Txn(context.Background(), putTxn)
	assert.Assert(t, store.IsErrUnknownOutcome(err), "%v", err)
	assert.Equal(t, gateway.Store.Version(), before+1)
	_, err = client.Get(context.Background(), "k")
	assert.NilError(t, err)
}

// TestLimits guards against a stand-in that accepts what the service rejects, and against
// a client that reports a rejected write as an unknown outcome.
func TestLimits(t *testing.T) {
	server := httptest.NewServer(keyvalue.New().Routes())
	t.Cleanup(server.Close)
	client := newClient(t, server.URL)
	many, twice := store.Txn{}, store.Txn{Puts: []store.Put{{Key: "k"}, {Key: "k"}}}
	for i := range store.MaxOperations + 1 {
		many.Puts = append(many.Puts, store.Put{Key: fmt.Sprint(i)})
	}
	expired := store.Txn{Puts: []store.Put{{Key: "k", Lease: 99}}}
	for _, txn := range []store.Txn{many, twice, expired} {
		_, err := client.Txn(context.Background(), txn)
		assert.Assert(t, store.IsErrUnavailable(err), "%v", err)
	}
	many.Puts = many.Puts[:store.MaxOperations]
	_, err := client.Txn(context.Background(), many)
	assert.NilError(t, err)
	// A key that is added under a prefix makes its compare fail.
	result, err := client.Txn(context.Background(), store.Txn{If: []store.Compare{{Key: "1", Prefix: true}}})
	assert.NilError(t, err)
	assert.Assert(t, !result.Applied)
	result, err = client.Txn(context.Background(), store.Txn{If: []store.Compare{{Key: "1", Prefix: true, Version: 1}}})
	assert.NilError(t, err)
	assert.Assert(t, result.Applied)
}

// TestWatch guards against lost events, and against a compacted revision that is reported
// as another error.
func TestWatch(t *testing.T) {
	gateway := keyvalue.New()
	server := httptest.NewServer(gateway.Routes())
	t.Cleanup(server.Close)
	client := newClient(t, server.URL)
	ctx, cancel := context.WithCancel(context.Background())
	for range 3 {
		_, err := client.Txn(ctx, putTxn)
		assert.NilError(t, err)
	}
	_, err := client.Txn(ctx, store.Txn{Deletes: []string{"k"}})
	assert.NilError(t, err)
	var received []store.Version
	err = client.Watch(ctx, "k", 2, func(events []store.Event) {
		for _, event := range events {
			received = append(received, event.Version)
			if event.Deleted {
				cancel()
			}
		}
	})
	assert.Assert(t, err != nil)
	assert.DeepEqual(t, received, []store.Version{2, 3, 4})
	gateway.Store.Compact(2)
	err = client.Watch(context.Background(), "k", 2, func([]store.Event) {})
	assert.Assert(t, store.IsErrCompacted(err), "%v", err)
}

// FuzzDecode guards against a response that makes a decoder panic or return an entry
// without key or revision.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"header":{"revision":"7"},"kvs":[{"key":"aw==","value":"dg==","create_revision":"1","mod_revision":"7"}]}`))
	f.Add([]byte(`{"header":{"revision":"7"},"succeeded":true}`))
	f.Add([]byte(`{"header":{"revision":"7"},"responses":[{"response_range":{"kvs":[{"key":"aw==","create_revision":"1","mod_revision":"7"}]}}]}`))
	f.Add([]byte(`{"responses":[{}]}`))
	f.Add([]byte(`{"ID":"5","TTL":"60"}`))
	f.Add([]byte(`{"result":{"events":[{"type":"DELETE","kv":{"key":"aw==","mod_revision":"9"}}]}}{"result":{"canceled":true,"compact_revision":"3"}}`))
	f.Add([]byte(`{"error":{"grpc_code":14,"message":"unavailable"}}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		check := func(entries []store.Entry) {
			for _, entry := range entries {
				if entry.Key == "" || entry.Version <= 0 {
					t.Fatalf("entry %+v from %q", entry, body)
				}
			}
		}
		entries, _ := decodeRange(body)
		check(entries)
		result, err := decodeTxn(body, 1)
		if err == nil && result.Applied && result.Version <= 0 {
			t.Fatalf("applied without a revision: %q", body)
		}
		check(result.Entries)
		if id, err := decodeGrant(body); err == nil && id <= 0 {
			t.Fatalf("lease %d from %q", id, body)
		}
		_ = decodeKeepAlive(body, 1)
		err = readWatch(strings.NewReader(string(body)), func(events []store.Event) {
			for _, event := range events {
				check([]store.Entry{event.Entry})
			}
		})
		if !store.IsErrUnavailable(err) {
			t.Fatalf("a watch that ended gave %v", err)
		}
	})
}

// casInput is a compare-and-swap on the version of a key that reads the key on failure.
type casInput struct{ compare store.Version }

type casOutput struct {
	applied, unknown bool
	version          store.Version
}

// keyState is the state of the key: its version, or, after a write without a response,
// an unobserved higher version. No client can compare with an unobserved version.
type keyState struct {
	version    store.Version
	unobserved bool
}

func (s keyState) step(in casInput, out casOutput) []any {
	matches := !s.unobserved && s.version == in.compare
	switch {
	case out.unknown && matches:
		return []any{s, keyState{s.version, true}}
	case out.unknown:
		return []any{s}
	case out.applied && matches && out.version > s.version:
		return []any{keyState{version: out.version}}
	case !out.applied && s.unobserved && out.version > s.version && out.version != in.compare:
		return []any{keyState{version: out.version}}
	case !out.applied && !s.unobserved && !matches && out.version == s.version:
		return []any{s}
	}
	return nil
}

// TestLinearizable guards against reads and writes through the gateway that are not
// linearizable. Claims and commits depend on their order.
func TestLinearizable(t *testing.T) {
	injector := &injection.Injector{}
	server := httptest.NewServer(injector.Handler(keyvalue.New().Routes()))
	t.Cleanup(server.Close)
	assert.NilError(t, injector.Set(injection.Fault{Mode: injection.ModeDropReply, Path: "/v3/kv/txn", Count: 5}))
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{keyState{}} },
		Step: func(state, input, output any) []any {
			return state.(keyState).step(input.(casInput), output.(casOutput))
		},
	}
	const clients, operations = 6, 60
	var mu sync.Mutex
	var history []porcupine.Operation
	var wait sync.WaitGroup
	start := time.Now()
	for id := range clients {
		client := newClient(t, server.URL)
		random := rand.New(rand.NewPCG(1, uint64(id)))
		wait.Go(func() {
			observed := store.Version(0)
			for range operations {
				in := casInput{observed}
				if random.IntN(4) == 0 {
					in.compare = 0
				}
				called := time.Since(start).Nanoseconds()
				out := compareAndSwap(client, in)
				returned := time.Since(start).Nanoseconds()
				if out.unknown {
					// A write without a response may take effect at any later time.
					returned = int64(time.Hour)
				} else {
					observed = out.version
				}
				mu.Lock()
				history = append(history, porcupine.Operation{ClientId: id, Input: in, Call: called, Output: out, Return: returned})
				mu.Unlock()
			}
		})
	}
	wait.Wait()
	assert.Equal(t, porcupine.CheckOperationsTimeout(model.ToModel(), history, time.Minute), porcupine.Ok)
}

func compareAndSwap(client *Client, in casInput) casOutput {
	result, err := client.Txn(context.Background(), store.Txn{
		If:   []store.Compare{{Key: "r", Version: in.compare}},
		Puts: []store.Put{{Key: "r", Value: []byte("x")}}, ReadElse: []string{"r"},
	})
	switch {
	case err != nil:
		return casOutput{unknown: true}
	case result.Applied:
		return casOutput{applied: true, version: result.Version}
	case len(result.Entries) == 0:
		return casOutput{}
	}
	return casOutput{version: result.Entries[0].Version}
}
