package upstream

import (
	"context"
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"redwingloft/internal/kernel"
	"redwingloft/pkg/api"
)

// TestPollerAppliesHostList guards against a missing, late or incomplete host list that
// ends a draining state.
func TestPollerAppliesHostList(t *testing.T) {
	c := newFakeClock()
	table := newTable("self", c, 2)
	instance := table.All("llm")[0]
	var listed []kernel.HostListEntry
	var failure error
	poller := &Poller{Table: table, List: kernel.HostList{Fetch: func(context.Context) ([]kernel.HostListEntry, error) {
		return listed, failure
	}}}
	entry := func(state kernel.ListedState) []kernel.HostListEntry {
		return []kernel.HostListEntry{{Address: "127.0.0.1:1", State: state}, {Address: "127.0.0.1:77", State: state}}
	}
	for _, step := range []struct {
		name    string
		listed  []kernel.HostListEntry
		failure error
		act     func()
		want    State
	}{
		{"live", entry(kernel.ListedLive), nil, nil, StateHealthy},
		{"drain notice while the list shows live", entry(kernel.ListedLive), nil, func() { table.markDraining(instance, CauseDrainNotice, c.time) }, StateDraining},
		{"leaving", entry(kernel.ListedDraining), nil, nil, StateDraining},
		{"failed read", nil, errors.New("no list"), nil, StateDraining},
		{"entry missing", []kernel.HostListEntry{}, nil, nil, StateDraining},
		{"live again", entry(kernel.ListedLive), nil, nil, StateHealthy},
		{"leaving again", entry(kernel.ListedDraining), nil, nil, StateDraining},
		{"restart detected before the list is updated", entry(kernel.ListedDraining), nil, func() { table.markStarted(instance, CauseProbe) }, StateHealthy},
	} {
		if step.act != nil {
			step.act()
		}
		listed, failure = step.listed, step.failure
		assert.Equal(t, poller.Poll(context.Background()), step.failure, step.name)
		assert.Equal(t, table.State(instance), step.want, step.name)
	}
	assert.Equal(t, table.State(table.All("llm")[1]), StateHealthy)
}

// TestPollerIgnoresOvertakenReads guards against a slow read of an old list that is
// mistaken for a restart of the upstream.
func TestPollerIgnoresOvertakenReads(t *testing.T) {
	c := newFakeClock()
	table := newTable("self", c, 2)
	reading, release := make(chan struct{}), make(chan struct{})
	slow := true
	poller := &Poller{Table: table, List: kernel.HostList{Fetch: func(context.Context) ([]kernel.HostListEntry, error) {
		state := kernel.ListedDraining
		if slow {
			slow, state = false, kernel.ListedLive
			close(reading)
			<-release
		}
		return []kernel.HostListEntry{{Address: "127.0.0.1:1", State: state}}, nil
	}}}
	ended := make(chan error)
	go func() { ended <- poller.Poll(context.Background()) }()
	<-reading
	assert.NilError(t, poller.Poll(context.Background()))
	close(release)
	assert.NilError(t, <-ended)
	assert.Equal(t, table.State(table.All("llm")[0]), StateDraining)
	assert.DeepEqual(t, instanceIDs(table.AvailableInstances("llm")), []api.UpstreamID{"llm-1"})
}
