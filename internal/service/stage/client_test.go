package stage

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingloft/internal/data/fleet"
	"redwingloft/internal/helper/clock"
	"redwingloft/internal/helper/fault"
	"redwingloft/internal/helper/logging"
	"redwingloft/internal/helper/metric"
	"redwingloft/internal/service/directory"
	"redwingloft/internal/service/forward"
	"redwingloft/pkg/api"
)

func testWork() *forward.StageWork {
	return &forward.StageWork{
		Request:  &fleet.Request{ID: "r", Items: []int{1}, Received: clock.Now()},
		Route:    &fleet.Route{Objective: time.Second, Stages: []fleet.Stage{{Service: "s"}}},
		Deadline: clock.Now().Add(5 * time.Second),
	}
}

func newTestClient(view *directory.View) *Client {
	return &Client{
		Self: "nobody", View: func() *directory.View { return view }, HTTP: &http.Client{Timeout: time.Second}, Log: logging.Discard(),
		Metrics: metric.New(), Local: func(Group) *Scheduler { return nil },
	}
}

func viewWithPeers(t *testing.T, peers ...string) *directory.View {
	t.Helper()
	view := groupView(t, len(peers), nil)
	ranked := RankHosts(view.Hosts, GroupAll)
	for i, peer := range peers {
		for k := range view.Hosts {
			if view.Hosts[k].ID == ranked[i].ID {
				view.Hosts[k].PeerAddress = api.Address(peer)
			}
		}
	}
	return view
}

// TestConnectionResetRetriesSameHost guards against a second scheduling host beside one that only
// lost a connection, and against a host that is kept despite repeated resets.
func TestConnectionResetRetriesSameHost(t *testing.T) {
	var calls, resets atomic.Int64
	resets.Store(1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if calls.Add(1) <= resets.Load() {
			panic(http.ErrAbortHandler)
		}
		assert.Check(t, json.NewEncoder(w).Encode(Reply{Stored: []StoredResults{{Upstream: "u", Items: []StoredResult{{Result: "first"}}}}}))
	}))
	defer server.Close()
	second := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		assert.Check(t, json.NewEncoder(w).Encode(Reply{Stored: []StoredResults{{Upstream: "u", Items: []StoredResult{{Result: "second"}}}}}))
	}))
	defer second.Close()
	view := viewWithPeers(t, strings.TrimPrefix(server.URL, "http://"), strings.TrimPrefix(second.URL, "http://"))
	prepared, err := newTestClient(view).Prepare(context.Background(), testWork())
	assert.NilError(t, err)
	assert.DeepEqual(t, prepared.Inputs, []fleet.ResultRef{"first"})

	resets.Store(100)
	client := newTestClient(view)
	prepared, err = client.Prepare(context.Background(), testWork())
	assert.NilError(t, err)
	assert.DeepEqual(t, prepared.Inputs, []fleet.ResultRef{"second"})
	before := calls.Load()
	_, err = client.Prepare(context.Background(), testWork())
	assert.NilError(t, err)
	assert.Equal(t, calls.Load(), before, "the host is called again at once")
}

// TestRefusalIsForwarded guards against a refusal by the scheduling host that is treated as a
// failure of that host, which loses the caller's retry delay.
func TestRefusalIsForwarded(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		assert.Check(t, json.NewEncoder(w).Encode(Reply{Error: &api.Error{Kind: api.KindDeadlineUnreachable, Run: api.RunNo, RetryAfterMs: 700}}))
	}))
	defer server.Close()
	_, err := newTestClient(viewWithPeers(t, strings.TrimPrefix(server.URL, "http://"))).Prepare(context.Background(), testWork())
	assert.ErrorContains(t, err, string(api.KindDeadlineUnreachable))
}

// TestFailoverKeepsResults guards against recomputed results and untracked capacity when the
// scheduling host fails: the submitting host passes the known results to the next one.
func TestFailoverKeepsResults(t *testing.T) {
	progress := []StoredResults{{Upstream: "u", Started: 7, RemainingMs: 3000, Items: []StoredResult{{0, 0, "u/1"}, {0, 1, "u/2"}}}}
	first := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		assert.Check(t, json.NewEncoder(w).Encode(Reply{Progress: progress}))
		assert.Check(t, http.NewResponseController(w).Flush())
		time.Sleep(20 * time.Millisecond)
		panic(http.ErrAbortHandler)
	}))
	defer first.Close()
	messages := make(chan Message, 1)
	second := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var message Message
		assert.Check(t, json.NewDecoder(r.Body).Decode(&message))
		messages <- message
		assert.Check(t, json.NewEncoder(w).Encode(Reply{Stored: progress}))
	}))
	defer second.Close()
	client := newTestClient(viewWithPeers(t, strings.TrimPrefix(first.URL, "http://"), strings.TrimPrefix(second.URL, "http://")))
	prepared, err := client.Prepare(context.Background(), testWork())
	assert.NilError(t, err)
	assert.DeepEqual(t, prepared.Inputs, []fleet.ResultRef{"u/1", "u/2"})
	message := <-messages
	assert.Assert(t, message.Pinned, "the job would be handed back to the host that failed")
	assert.Equal(t, len(message.Stored), 1)
	assert.Equal(t, message.Stored[0].Started, int64(7))
	assert.Equal(t, len(message.Stored[0].Items), 2)
	assert.Assert(t, message.Stored[0].RemainingMs < 3000 && message.Stored[0].RemainingMs > 1000, "%d ms are left", message.Stored[0].RemainingMs)
}

// TestHandedBackJobIsPinned guards against a job that is passed back and forth between hosts with
// different host lists.
func TestHandedBackJobIsPinned(t *testing.T) {
	var pinned []bool
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var message Message
		assert.Check(t, json.NewDecoder(r.Body).Decode(&message))
		pinned = append(pinned, message.Pinned)
		reply := Reply{HandedBack: true}
		if message.Pinned {
			reply = Reply{Stored: []StoredResults{{Upstream: "u", Items: []StoredResult{{0, 0, "r"}}}}}
		}
		assert.Check(t, json.NewEncoder(w).Encode(reply))
	}))
	defer server.Close()
	prepared, err := newTestClient(viewWithPeers(t, strings.TrimPrefix(server.URL, "http://"))).Prepare(context.Background(), testWork())
	assert.NilError(t, err)
	assert.DeepEqual(t, prepared.Inputs, []fleet.ResultRef{"r"})
	assert.DeepEqual(t, pinned, []bool{false, true})
}

// TestReleaseGoesToSchedulingHost guards against results that stay allocated because the host that
// scheduled their job has failed since.
func TestReleaseGoesToSchedulingHost(t *testing.T) {
	released := make(chan ReleaseMessage, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == PathRelease {
			var message ReleaseMessage
			assert.Check(t, json.NewDecoder(r.Body).Decode(&message))
			released <- message
			return
		}
		assert.Check(t, json.NewEncoder(w).Encode(Reply{Stored: []StoredResults{{Upstream: "u", Items: []StoredResult{{0, 0, "r"}}}}}))
	}))
	defer server.Close()
	failed := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		assert.Check(t, json.NewEncoder(w).Encode(Reply{Stored: []StoredResults{{Upstream: "u", Items: []StoredResult{{0, 0, "r"}}}}}))
	}))
	client := newTestClient(viewWithPeers(t, strings.TrimPrefix(failed.URL, "http://"), strings.TrimPrefix(server.URL, "http://")))
	prepared, err := client.Prepare(context.Background(), testWork())
	assert.NilError(t, err)
	failed.Close()
	client.markFailed(client.View().Hosts[hostIndex(client, failed.URL)], "r", nil)
	prepared.Release()
	message := <-released
	assert.DeepEqual(t, resultRefs(message.Results), []fleet.ResultRef{"r"})
}

func hostIndex(c *Client, url string) int {
	return slices.IndexFunc(c.View().Hosts, func(h fleet.Host) bool { return "http://"+string(h.PeerAddress) == url })
}

// TestJobMovesToNewGroup guards against a job that is submitted repeatedly to a group that no
// longer exists.
func TestJobMovesToNewGroup(t *testing.T) {
	var groups []Group
	view := atomic.Pointer[directory.View]{}
	all := map[string][]api.ServiceName{"dc0": {"s", "t"}}
	large := groupView(t, maxSingleGroupHosts+1, all)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var message Message
		assert.Check(t, json.NewDecoder(r.Body).Decode(&message))
		groups = append(groups, message.Group)
		reply := Reply{HandedBack: true}
		if message.Group == "dc0" {
			reply = Reply{Stored: []StoredResults{{Upstream: "u", Items: []StoredResult{{0, 0, "r"}}}}}
		}
		view.Store(large)
		assert.Check(t, json.NewEncoder(w).Encode(reply))
	}))
	defer server.Close()
	small := groupView(t, maxSingleGroupHosts, all)
	for _, v := range []*directory.View{small, large} {
		for i := range v.Hosts {
			v.Hosts[i].PeerAddress = api.Address(strings.TrimPrefix(server.URL, "http://"))
		}
	}
	view.Store(small)
	client := newTestClient(small)
	client.View = view.Load
	_, err := client.Prepare(context.Background(), testWork())
	assert.NilError(t, err)
	assert.DeepEqual(t, groups, []Group{GroupAll, "dc0"})
}

// TestRepeatedGroupChange guards against an error without a kind, which callers would treat as a
// fault of the host.
func TestRepeatedGroupChange(t *testing.T) {
	all := map[string][]api.ServiceName{"dc0": {"s", "t"}}
	small, large := groupView(t, maxSingleGroupHosts, all), groupView(t, maxSingleGroupHosts+1, all)
	view := atomic.Pointer[directory.View]{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var message Message
		assert.Check(t, json.NewDecoder(r.Body).Decode(&message))
		if message.Group == GroupAll {
			view.Store(large)
		} else {
			view.Store(small)
		}
		assert.Check(t, json.NewEncoder(w).Encode(Reply{HandedBack: true}))
	}))
	defer server.Close()
	for _, v := range []*directory.View{small, large} {
		for i := range v.Hosts {
			v.Hosts[i].PeerAddress = api.Address(strings.TrimPrefix(server.URL, "http://"))
		}
	}
	view.Store(small)
	client := newTestClient(small)
	client.View = view.Load
	_, err := client.Prepare(context.Background(), testWork())
	assert.Assert(t, fault.Is(err, api.KindNoUpstream), "%v", err)
}
