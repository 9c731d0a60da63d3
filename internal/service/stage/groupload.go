package stage

import (
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// forecastMaxAge is the age up to which the forecast of a group can exclude it. A wrong exclusion
	// costs a request, a wrong try some milliseconds; a burst changes a forecast by its own length.
	forecastMaxAge = 300 * time.Millisecond
	// forecastKept is the age from which forecasts are forgotten.
	forecastKept = 5 * time.Second
	// forecastFloor is added to forecasts when groups are weighed, so that all hosts don't choose one.
	forecastFloor = 100 * time.Millisecond
)

// GroupForecast is the last forecast of a group for a kind of job. Its age is sent in place of a time,
// because the hosts' clocks differ.
type GroupForecast struct {
	Group    Group `json:"group"`
	OnTimeMs int64 `json:"on_time_ms"`
	LateMs   int64 `json:"late_ms"`
	AgeMs    int64 `json:"age_ms"`
}

// jobKind returns the kind of a job: jobs of one kind have the same rank and stages, so that they get
// similar forecasts.
func jobKind(rank int, stages []Spec) string {
	var kind strings.Builder
	kind.WriteString(strconv.Itoa(rank))
	for i := range stages {
		kind.WriteByte('/')
		kind.WriteString(string(stages[i].Service))
	}
	return kind.String()
}

// GroupForecasts holds the last known forecast of each group for each kind of job. A nil table knows
// nothing.
type GroupForecasts struct {
	mu     sync.Mutex
	byKind map[string]map[Group]datedForecast
}

type datedForecast struct {
	onTimeMs, lateMs int64
	at               time.Time
}

// Learn adds forecasts that are newer than those that are known.
func (g *GroupForecasts) Learn(kind string, list []GroupForecast, now time.Time) {
	if g == nil || len(list) == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.byKind == nil {
		g.byKind = map[string]map[Group]datedForecast{}
	}
	if g.byKind[kind] == nil {
		g.byKind[kind] = map[Group]datedForecast{}
	}
	for _, f := range list {
		at := now.Add(-time.Duration(max(f.AgeMs, 0)) * time.Millisecond)
		if at.After(g.byKind[kind][f.Group].at) {
			g.byKind[kind][f.Group] = datedForecast{f.OnTimeMs, f.LateMs, at}
		}
	}
}

// Known returns the forecasts for a kind of job that are not too old.
func (g *GroupForecasts) Known(kind string, now time.Time) []GroupForecast {
	if g == nil {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for group, f := range g.byKind[kind] {
		if now.Sub(f.at) > forecastKept {
			delete(g.byKind[kind], group)
		}
	}
	return g.known(kind, now)
}

// known is like Known and changes nothing. The caller holds mu.
func (g *GroupForecasts) known(kind string, now time.Time) []GroupForecast {
	var list []GroupForecast
	for group, f := range g.byKind[kind] {
		if age := now.Sub(f.at); age <= forecastKept {
			list = append(list, GroupForecast{group, f.onTimeMs, f.lateMs, age.Milliseconds()})
		}
	}
	return list
}

// peek is like Known and changes nothing.
func (g *GroupForecasts) peek(kind string, now time.Time) []GroupForecast {
	if g == nil {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.known(kind, now)
}

// refuses reports whether a group is known to refuse a job with the given time to its target and its
// deadline.
func (f *GroupForecast) refuses(target, left time.Duration) bool {
	if time.Duration(f.AgeMs)*time.Millisecond > forecastMaxAge {
		return false
	}
	onTime := time.Duration(f.OnTimeMs)*time.Millisecond + firstEventTime
	return onTime > target && float64(f.LateMs) > lateDeadlineShare*float64(left.Milliseconds())
}

// chooseGroup chooses a group for a job: at random, with weights by their known forecasts, among the
// groups that are not known to refuse it. draw lies in [0, 1). It reports whether there is one.
func chooseGroup(groups []Group, known []GroupForecast, target, left time.Duration, draw float64) (Group, bool) {
	var candidates []Group
	var weights []float64
	var sum float64
	for _, group := range groups {
		wait := max(target/2, 0)
		refuses := false
		for i := range known {
			if known[i].Group == group {
				wait, refuses = time.Duration(known[i].OnTimeMs)*time.Millisecond, known[i].refuses(target, left)
			}
		}
		if refuses {
			continue
		}
		weight := 1 / (wait + forecastFloor).Seconds()
		candidates, weights = append(candidates, group), append(weights, weight)
		sum += weight
	}
	draw *= sum
	for i, weight := range weights {
		if draw -= weight; draw < 0 || i == len(weights)-1 {
			return candidates[i], true
		}
	}
	return "", false
}
