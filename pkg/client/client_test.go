package client

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingloft/pkg/api"
)

// testTimeout keeps a test from hanging; it is not a performance bound.
const testTimeout = 30 * time.Second

// fakeHosts is a group of servers with one handler each; every server returns the address list of all.
type fakeHosts struct {
	servers      []*httptest.Server
	listRequests atomic.Int64
}

func newFakeHosts(t *testing.T, handlers ...http.HandlerFunc) *fakeHosts {
	s := &fakeHosts{}
	for _, handler := range handlers {
		mux := http.NewServeMux()
		mux.HandleFunc("GET "+api.PathHosts, s.list)
		mux.HandleFunc("/", handler)
		server := httptest.NewServer(mux)
		t.Cleanup(server.CloseClientConnections)
		s.servers = append(s.servers, server)
	}
	return s
}

func (s *fakeHosts) address(i int) api.Address {
	return api.Address(strings.TrimPrefix(s.servers[i].URL, "http://"))
}

func (s *fakeHosts) list(w http.ResponseWriter, _ *http.Request) {
	s.listRequests.Add(1)
	list := api.AddressList{ValidForMs: 60_000}
	for i := range s.servers {
		list.Hosts = append(list.Hosts, api.HostAddress{Address: s.address(i)})
	}
	_ = json.NewEncoder(w).Encode(list)
}

func (s *fakeHosts) client() *Client {
	return &Client{Hosts: []api.Address{s.address(0)}, Workspace: "w", Token: "t", Silence: time.Second}
}

func respondWithError(kind api.Kind, run api.RunState) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		answer := api.Kinds[kind]
		w.WriteHeader(answer.Status)
		_ = json.NewEncoder(w).Encode(api.Error{Kind: kind, Run: run, Repeatable: answer.Repeatable})
	}
}

func respondOK(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(api.ServiceAnswer{Status: 200, Body: json.RawMessage(`"ok"`)})
}

// writeStream writes the token events from first to last, and the terminal event if complete is set.
func writeStream(w http.ResponseWriter, first, last int, complete bool) {
	w.Header().Set("Content-Type", "text/event-stream")
	fmt.Fprintf(w, "event: accepted\ndata: {\"resume_token\":\"sealed\",\"version\":\"new\"}\n\n")
	for i := first; i <= last; i++ {
		fmt.Fprintf(w, "id: %d\nevent: token\ndata: {\"text\":\"%d \",\"tokens\":1}\n\n", i, i)
	}
	if complete {
		var text strings.Builder
		for i := 1; i <= last; i++ {
			fmt.Fprintf(&text, "%d ", i)
		}
		sum := sha256.Sum256([]byte(text.String()))
		fmt.Fprintf(w, "event: done\ndata: {\"events\":%d,\"text_sha256\":\"%s\",\"tokens\":%d}\n\n", last, hex.EncodeToString(sum[:]), last)
	}
	_ = http.NewResponseController(w).Flush()
}

// TestStreamResumesOnAnotherHost guards against a gap or a duplicate token after
// the connection to a host is aborted in the middle of a stream.
func TestStreamResumesOnAnotherHost(t *testing.T) {
	var resumed api.RunRequest
	s := newFakeHosts(t,
		func(w http.ResponseWriter, _ *http.Request) {
			writeStream(w, 1, 3, false)
			panic(http.ErrAbortHandler)
		},
		func(w http.ResponseWriter, r *http.Request) {
			assert.Check(t, json.NewDecoder(r.Body).Decode(&resumed))
			writeStream(w, 4, 6, true)
		})
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	var received []string
	answer, err := s.client().Stream(ctx, "p", api.RunRequest{Input: "x"}, func(piece api.TokenEvent) error {
		received = append(received, piece.Text)
		return nil
	})
	assert.NilError(t, err)
	assert.Equal(t, answer.Text, "1 2 3 4 5 6 ")
	assert.Equal(t, strings.Join(received, ""), answer.Text)
	assert.Equal(t, answer.Resumed, 1)
	assert.DeepEqual(t, resumed.Resume, &api.ResumeRequest{Token: "sealed", LastEvent: 3, Text: "1 2 3 "})
}

// TestStalledConnectionFailsOver guards against a client that waits on a
// stalled connection although another host responds.
func TestStalledConnectionFailsOver(t *testing.T) {
	var release sync.WaitGroup
	release.Add(1)
	s := newFakeHosts(t,
		func(w http.ResponseWriter, _ *http.Request) {
			writeStream(w, 1, 2, false)
			release.Wait()
		},
		func(w http.ResponseWriter, _ *http.Request) { writeStream(w, 3, 4, true) })
	defer release.Done()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	var reasons []RepeatReason
	c := s.client()
	c.Observe = func(reason RepeatReason) { reasons = append(reasons, reason) }
	answer, err := c.Run(ctx, "p", api.RunRequest{Input: "x"})
	assert.NilError(t, err)
	assert.Equal(t, answer.Text, "1 2 3 4 ")
	assert.DeepEqual(t, reasons, []RepeatReason{RepeatSilent})
}

// TestTruncatedStreamIsRejected guards against a partial text that is returned as a
// complete response.
func TestTruncatedStreamIsRejected(t *testing.T) {
	s := newFakeHosts(t, func(w http.ResponseWriter, _ *http.Request) {
		writeStream(w, 1, 2, false)
		fmt.Fprintf(w, "event: done\ndata: {\"events\":3,\"text_sha256\":\"00\",\"tokens\":3}\n\n")
	})
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	_, err := s.client().Run(ctx, "p", api.RunRequest{Input: "x"})
	assert.ErrorContains(t, err, ErrIncomplete.Error())
}

// TestRetryKeepsIdempotencyKey guards against a retry under a new idempotency key,
// which would execute the call twice.
func TestRetryKeepsIdempotencyKey(t *testing.T) {
	var mu sync.Mutex
	keys := map[string]int{}
	recordKey := func(next http.HandlerFunc) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			mu.Lock()
			keys[r.Header.Get(api.HeaderIdempotencyKey)]++
			mu.Unlock()
			next(w, r)
		}
	}
	s := newFakeHosts(t, recordKey(respondWithError(api.KindOverloaded, api.RunNo)), recordKey(respondOK))
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	answer, err := s.client().Call(ctx, Order{Service: "bookings", Call: "book"})
	assert.NilError(t, err)
	assert.Equal(t, string(answer.Body), `"ok"`)
	assert.Equal(t, len(keys), 1)
}

// TestNotRunNeedsAllAttempts guards against a call that is reported as not
// executed although its first attempt failed after it was sent.
func TestNotRunNeedsAllAttempts(t *testing.T) {
	broken := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	s := newFakeHosts(t, broken, respondWithError(api.KindOrderKeyRequired, api.RunNo))
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	_, err := s.client().Call(ctx, Order{Service: "bookings", Call: "book"})
	answer, ok := err.(*api.Error)
	assert.Assert(t, ok, "%v", err)
	assert.Equal(t, answer.Run, api.RunUnknown)
}

// TestAddressListIsCached guards against a client that fetches the list with every request.
func TestAddressListIsCached(t *testing.T) {
	s := newFakeHosts(t, respondOK)
	c := s.client()
	now := time.Now()
	c.Clock = func() time.Time { return now }
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	for range 3 {
		_, err := c.Call(ctx, Order{Service: "s", Call: "c"})
		assert.NilError(t, err)
	}
	assert.Equal(t, s.listRequests.Load(), int64(1))
	now = now.Add(2 * time.Minute)
	_, err := c.Call(ctx, Order{Service: "s", Call: "c"})
	assert.NilError(t, err)
	assert.Equal(t, s.listRequests.Load(), int64(2))
}

// TestFrozenHostIsQueriedOnce guards against a client that queries a frozen host
// for the address list with every request although another host responds.
func TestFrozenHostIsQueriedOnce(t *testing.T) {
	var frozenRequests atomic.Int64
	var release sync.WaitGroup
	release.Add(1)
	frozen := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		frozenRequests.Add(1)
		release.Wait()
	}))
	defer frozen.CloseClientConnections()
	defer release.Done()
	s := newFakeHosts(t, respondOK)
	c := s.client()
	now := time.Now()
	c.Clock = func() time.Time { return now }
	c.list = []api.HostAddress{{Address: api.Address(strings.TrimPrefix(frozen.URL, "http://"))}, {Address: s.address(0)}}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	for range 3 {
		c.expireList()
		_, err := c.Call(ctx, Order{Service: "s", Call: "c"})
		assert.NilError(t, err)
	}
	assert.Equal(t, frozenRequests.Load(), int64(1))
}
