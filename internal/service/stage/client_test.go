package stage

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingloft/internal/data/fleet"
	"redwingloft/internal/helper/clock"
	"redwingloft/internal/helper/logging"
	"redwingloft/internal/helper/metric"
	"redwingloft/internal/service/directory"
	"redwingloft/internal/service/forward"
	"redwingloft/pkg/api"
)

func clientWork() *forward.Work {
	return &forward.Work{
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

func viewOfPeers(t *testing.T, peers ...string) *directory.View {
	t.Helper()
	view := groupView(t, len(peers), nil)
	ranked := Ranked(view.Hosts, GroupAll)
	for i, peer := range peers {
		for k := range view.Hosts {
			if view.Hosts[k].ID == ranked[i].ID {
				view.Hosts[k].Peer = api.Address(peer)
			}
		}
	}
	return view
}

// TestResetConnectionKeepsHost guards against a second gathering host beside one that
// only lost a connection, and against a host that is never left.
func TestResetConnectionKeepsHost(t *testing.T) {
	var calls atomic.Int64
	var resets int64 = 1
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if calls.Add(1) <= resets {
			panic(http.ErrAbortHandler)
		}
		assert.Check(t, json.NewEncoder(w).Encode(Reply{Results: []fleet.ResultRef{"first"}}))
	}))
	defer server.Close()
	second := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		assert.Check(t, json.NewEncoder(w).Encode(Reply{Results: []fleet.ResultRef{"second"}}))
	}))
	defer second.Close()
	view := viewOfPeers(t, strings.TrimPrefix(server.URL, "http://"), strings.TrimPrefix(second.URL, "http://"))
	prepared, err := newTestClient(view).Prepare(context.Background(), clientWork())
	assert.NilError(t, err)
	assert.DeepEqual(t, prepared.Inputs, []fleet.ResultRef{"first"})

	resets = 100
	client := newTestClient(view)
	prepared, err = client.Prepare(context.Background(), clientWork())
	assert.NilError(t, err)
	assert.DeepEqual(t, prepared.Inputs, []fleet.ResultRef{"second"})
	before := calls.Load()
	_, err = client.Prepare(context.Background(), clientWork())
	assert.NilError(t, err)
	assert.Equal(t, calls.Load(), before, "the host is asked again at once")
}

// TestRefusalIsPassedOn guards against a refusal of the gathering host that is taken
// for its failure, and loses the time after which the caller may come back.
func TestRefusalIsPassedOn(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		assert.Check(t, json.NewEncoder(w).Encode(Reply{Error: &api.Error{Kind: api.KindDeadlineUnreachable, Run: api.RunNo, RetryAfterMs: 700}}))
	}))
	defer server.Close()
	_, err := newTestClient(viewOfPeers(t, strings.TrimPrefix(server.URL, "http://"))).Prepare(context.Background(), clientWork())
	assert.ErrorContains(t, err, string(api.KindDeadlineUnreachable))
}
