package fleet

// Rank is the urgency of a request; 0 is the highest. It orders requests by the priority of their
// workspace first, and by that of their route among those of equal workspaces.
type Rank int

// routeRanks is the number of route priorities that a rank distinguishes within a workspace priority.
// Lower ones count as the lowest of them.
const routeRanks = 4

// MaxEngineRank is the lowest rank that engines distinguish.
const MaxEngineRank = 9

// RankOf returns the rank of the requests of a route for a workspace, which is nil for public routes.
// A workspace without a priority of its own has that of the route.
func RankOf(route *Route, workspace *Workspace) Rank {
	routePriority := max(route.Priority, 0)
	priority := routePriority
	if workspace != nil && workspace.Priority != nil {
		priority = max(*workspace.Priority, 0)
	}
	return Rank(routeRanks*priority + min(routePriority, routeRanks-1))
}

// ForEngine returns the rank as engines take it.
func (r Rank) ForEngine() int { return min(int(r), MaxEngineRank) }
