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

	"redwingloft/internal/helper/clock"
	"redwingloft/internal/helper/fault"
	"redwingloft/pkg/api"
)

// TestChooseGroup guards against a second try at a group that is known to refuse the job, against an
// old forecast that excludes a group, and against all hosts choosing the same group.
func TestChooseGroup(t *testing.T) {
	groups := []Group{"a", "b"}
	full := GroupForecast{"a", 3000, 20000, 100}
	for _, c := range []struct {
		name  string
		known []GroupForecast
		share float64
		found bool
	}{
		{"nothing known", nil, 0.5, true},
		{"one full", []GroupForecast{full}, 0, true},
		{"both full", []GroupForecast{full, {"b", 3000, 20000, 0}}, 0, false},
		{"both full a while ago", []GroupForecast{{"a", 3000, 20000, 2000}, {"b", 3000, 20000, 2000}}, 0.5, true},
		{"late work is taken", []GroupForecast{{"a", 3000, 3000, 0}, {"b", 3000, 20000, 0}}, 1, true},
		{"one has less to do", []GroupForecast{{"a", 200, 200, 0}, {"b", 500, 500, 0}}, 2.0 / 3, true},
	} {
		const draws = 300
		count := 0
		found := false
		for i := range draws {
			group, ok := chooseGroup(groups, c.known, 1500*time.Millisecond, 6*time.Second, (float64(i)+0.5)/draws)
			found = found || ok
			if ok && group == "a" {
				count++
			}
		}
		assert.Equal(t, found, c.found, c.name)
		assert.Equal(t, count, int(c.share*draws), c.name)
	}
}

// TestForecastsTravelWithReplies guards against a request that tries a second group although that is
// known to refuse it.
func TestForecastsTravelWithReplies(t *testing.T) {
	var tried []Group
	var known []GroupForecast
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var message Message
		assert.Check(t, json.NewDecoder(r.Body).Decode(&message))
		tried, known = append(tried, message.Group), message.Known
		list := []GroupForecast{{"dc0", 9000, 90000, 10}, {"dc1", 9000, 90000, 20}, {"dc2", 9000, 90000, 30}}
		reply := Reply{Error: fault.ToAPI(fault.New(api.KindDeadlineUnreachable, "full"), "r"), Known: list}
		assert.Check(t, json.NewEncoder(w).Encode(reply))
	}))
	defer server.Close()
	view := groupView(t, maxSingleGroupHosts+1, map[string][]api.ServiceName{"dc0": {"s", "t"}, "dc1": {"s", "t"}, "dc2": {"s", "t"}})
	for i := range view.Hosts {
		view.Hosts[i].PeerAddress = api.Address(strings.TrimPrefix(server.URL, "http://"))
	}
	client := newTestClient(view)
	client.Forecasts = &GroupForecasts{}
	work := testWork()
	work.Target = clock.Now().Add(time.Second)
	_, err := client.Prepare(context.Background(), work)
	assert.Assert(t, fault.Is(err, api.KindDeadlineUnreachable))
	assert.Equal(t, len(tried), 1)
	_, err = client.Prepare(context.Background(), work)
	assert.Assert(t, fault.Is(err, api.KindDeadlineUnreachable))
	assert.Equal(t, len(tried), 2)
	assert.Equal(t, len(known), 3)
	client.Forecasts = nil
	_, err = client.Prepare(context.Background(), work)
	assert.Assert(t, fault.Is(err, api.KindDeadlineUnreachable))
	assert.Equal(t, len(tried), 4)
}
