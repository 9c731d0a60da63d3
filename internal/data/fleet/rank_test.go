package fleet

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestRankOrdersByWorkspaceThenRoute guards against routes that lose their priorities once their
// workspaces have one, and against a route that overtakes a more urgent workspace.
func TestRankOrdersByWorkspaceThenRoute(t *testing.T) {
	priority := func(p int) *Workspace { return &Workspace{Priority: &p} }
	route := func(p int) *Route { return &Route{Priority: p} }
	for _, test := range []struct {
		name                     string
		urgent, other            *Route
		urgentOwner, otherOwner  *Workspace
		differs, differsAtEngine bool
	}{
		{"routes of equal workspaces", route(0), route(1), priority(1), priority(1), true, true},
		{"the next routes of equal workspaces", route(1), route(2), priority(1), priority(1), true, true},
		{"workspaces", route(3), route(0), priority(0), priority(1), true, true},
		{"low workspaces", route(0), route(1), priority(2), priority(2), true, true},
		{"routes without workspaces", route(0), route(1), nil, nil, true, true},
		{"routes of workspaces without a priority", route(1), route(2), &Workspace{}, &Workspace{}, true, true},
		{"priorities beyond those that are distinguished", route(routeRanks), route(routeRanks + 5), priority(0), priority(0), false, false},
		{"negative priorities", route(-1), route(0), priority(-3), priority(0), false, false},
		{"the lowest ranks at engines", route(0), route(0), priority(5), priority(6), true, false},
	} {
		urgent, other := RankOf(test.urgent, test.urgentOwner), RankOf(test.other, test.otherOwner)
		assert.Equal(t, urgent < other, test.differs, "%s: %d, %d", test.name, urgent, other)
		assert.Assert(t, urgent <= other, test.name)
		assert.Equal(t, urgent.ForEngine() < other.ForEngine(), test.differsAtEngine, test.name)
		assert.Assert(t, urgent >= 0 && urgent.ForEngine() <= MaxEngineRank && other.ForEngine() <= MaxEngineRank)
	}
}
