package outlier

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingloft/internal/data/fleet"
	"redwingloft/internal/helper/logging"
	"redwingloft/internal/helper/metric"
	"redwingloft/internal/service/directory"
	"redwingloft/internal/service/forward"
	"redwingloft/internal/service/quarantine"
	"redwingloft/internal/service/throttle"
	"redwingloft/pkg/api"
)

func observation(id string, ok, failed int) forward.Observation {
	return forward.Observation{Incarnation: fleet.Incarnation{ID: api.UpstreamID(id)}, OK: ok, Failed: failed}
}

// TestCollectorFindsFailingUpstream guards against a failing upstream that is not detected
// because each of eighty hosts sees only one request. It also checks that the upstream is
// no longer reported later, and that a single lost response is not.
func TestCollectorFindsFailingUpstream(t *testing.T) {
	c := &Collector{}
	now := time.Unix(1000, 0)
	var reply *Reply
	for host := range 80 {
		id := fmt.Sprint("u", host%5)
		if host%5 == 3 {
			reply = c.Exchange(&Message{Observations: []forward.Observation{observation(id, 0, 1)}}, now)
		} else {
			reply = c.Exchange(&Message{Observations: []forward.Observation{observation(id, 1, 0)}}, now)
		}
	}
	assert.Equal(t, len(reply.Rates), 1)
	assert.Equal(t, reply.Rates[0].ID, api.UpstreamID("u3"))
	later := c.Exchange(&Message{}, now.Add(20*time.Second))
	assert.Equal(t, len(later.Rates), 0, "old failures still count")
	single := (&Collector{}).Exchange(&Message{Observations: []forward.Observation{observation("u", 0, 1)}}, now)
	assert.Equal(t, len(single.Rates), 0, "one lost response counts as a failing upstream")
}

// TestSharedFailuresAffectChoice guards against a host that sends a request to an upstream
// at which the requests of all other hosts failed.
func TestSharedFailuresAffectChoice(t *testing.T) {
	health := &forward.HealthTable{}
	collector := &Collector{}
	now := time.Now()
	bad := &fleet.Upstream{ID: "bad", Slots: 6}
	good := &fleet.Upstream{ID: "good", Slots: 6}
	collector.Exchange(&Message{Observations: []forward.Observation{{Incarnation: bad.Incarnation(), Failed: 9}}}, now)
	health.Begin(good, 0)
	health.End(good, forward.OutcomeAnswered, 80*time.Millisecond, now)
	e := &Exchanger{Health: health, Prompts: &quarantine.Tracker{}, Throttle: &throttle.Table{}, Collector: collector, View: func() *directory.View { return &directory.View{} }, Log: logging.Discard(), Metrics: metric.New()}
	e.Run(now)
	for i := range 50 {
		candidates := []forward.Candidate{{Upstream: bad, Health: health.Get(bad)}, {Upstream: good, Health: health.Get(good)}}
		chosen := forward.LeastLoaded(candidates, api.RequestID(fmt.Sprint(i)), nil, time.Now())
		assert.Equal(t, chosen.ID, good.ID)
	}
}
