// Package account aggregates attainment and cost by workspace, pipeline version and stage.
package account

import (
	"sort"
	"sync"
	"time"

	"redwingloft/internal/helper/fault"
	"redwingloft/pkg/api"
)

const (
	// maxLines limits the lines; it fits the workspaces of the target size with three
	// pipelines each.
	maxLines = 16384
	// lineIdleTime is how long a line must be unused before it may be merged into the overflow
	// line.
	lineIdleTime = time.Hour
)

// Key identifies what a line aggregates. The zero key is the overflow line.
type Key struct {
	Workspace api.WorkspaceName `json:"workspace,omitempty"`
	Pipeline  api.PipelineName  `json:"pipeline,omitempty"`
	Version   api.VersionName   `json:"version,omitempty"`
	// Service is set for calls of an HTTP service, which have no pipeline.
	Service api.ServiceName `json:"service,omitempty"`
}

// Line holds the totals of one key.
type Line struct {
	Key
	// Requests counts all requests except those that failed through a fault of the caller or
	// were canceled by it.
	Requests int64 `json:"requests"`
	// Attained counts the requests that were answered completely within their deadline.
	Attained int64 `json:"attained"`
	// Attainment is Attained divided by Requests; 1 without requests.
	Attainment float64 `json:"attainment"`
	// Cost and LostCost are sums over the stages, in the cost unit of the document.
	Cost     float64 `json:"cost"`
	LostCost float64 `json:"lost_cost"`
	// Missed counts the requests without a complete answer by error kind.
	Missed map[api.Kind]int64 `json:"missed,omitempty"`
	// Stages is in the order in which the stages were first recorded.
	Stages []Stage `json:"stages,omitempty"`
}

// Stage holds the totals of one stage.
type Stage struct {
	Stage api.StageName `json:"stage"`
	// Runs counts the requests that reached the stage.
	Runs     int64 `json:"runs"`
	Attempts int64 `json:"attempts"`
	// DurationMs is the sum over all runs.
	DurationMs float64 `json:"duration_ms"`
	Cost       float64 `json:"cost"`
	// LostCost is the part of Cost spent on attempts whose result was not used.
	LostCost float64 `json:"lost_cost"`
}

// Summary holds the totals of a host since its start.
type Summary struct {
	Since time.Time `json:"since"`
	Total Line      `json:"total"`
	// Versions has one line for each pipeline version and each service, over all workspaces.
	Versions []Line `json:"versions"`
	// Lines has one line for each workspace and pipeline version or service.
	Lines []Line `json:"lines"`
}

// Accumulator aggregates the requests of a host. The zero value is empty.
type Accumulator struct {
	// Clock returns the current time; nil means time.Now.
	Clock func() time.Time

	mu    sync.Mutex
	since time.Time
	lines map[Key]*lineEntry
}

type lineEntry struct {
	Line
	lastUsed time.Time
}

// Add records one request with the stages that it reached; err is nil if it was answered. It
// takes the lock once for all its updates. A nil receiver does nothing.
func (a *Accumulator) Add(key Key, stages []api.StageCost, err error) {
	if a == nil {
		return
	}
	now := a.now()
	a.mu.Lock()
	defer a.mu.Unlock()
	e := a.line(key, now)
	e.countResult(err)
	for i := range stages {
		e.addCost(&stages[i])
	}
}

// AddCost records the cost of a stage independently of the end of its request. A nil receiver
// does nothing.
func (a *Accumulator) AddCost(key Key, stage api.StageCost) {
	if a == nil {
		return
	}
	now := a.now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.line(key, now).addCost(&stage)
}

// line returns the line of a key and marks it as used.
func (a *Accumulator) line(key Key, now time.Time) *lineEntry {
	if a.lines == nil {
		a.lines, a.since = map[Key]*lineEntry{}, now
	}
	e := a.lines[key]
	if e == nil {
		e = a.addLine(key, now)
	}
	e.lastUsed = now
	return e
}

func (a *Accumulator) now() time.Time {
	if a.Clock != nil {
		return a.Clock()
	}
	return time.Now()
}

// addLine adds a line. At maxLines it merges idle lines into the overflow line, and returns
// the overflow line if none is idle.
func (a *Accumulator) addLine(key Key, now time.Time) *lineEntry {
	if len(a.lines) >= maxLines {
		a.foldIdle(now)
	}
	if len(a.lines) >= maxLines {
		return a.overflow()
	}
	e := &lineEntry{Line: Line{Key: key}}
	a.lines[key] = e
	return e
}

func (a *Accumulator) overflow() *lineEntry {
	if a.lines[Key{}] == nil {
		a.lines[Key{}] = &lineEntry{}
	}
	return a.lines[Key{}]
}

func (a *Accumulator) foldIdle(now time.Time) {
	overflow := a.overflow()
	for key, e := range a.lines {
		if e != overflow && now.Sub(e.lastUsed) >= lineIdleTime {
			overflow.merge(&e.Line)
			delete(a.lines, key)
		}
	}
}

// Summary returns a copy of the totals, with lines sorted by key.
func (a *Accumulator) Summary() Summary {
	a.mu.Lock()
	defer a.mu.Unlock()
	summary := Summary{Since: a.since, Versions: []Line{}, Lines: []Line{}}
	versions := map[Key]*Line{}
	for key, e := range a.lines {
		copied := Line{Key: key}
		copied.merge(&e.Line)
		summary.Lines = append(summary.Lines, copied)
		summary.Total.merge(&e.Line)
		key.Workspace = ""
		if versions[key] == nil {
			versions[key] = &Line{Key: key}
		}
		versions[key].merge(&e.Line)
	}
	for _, line := range versions {
		summary.Versions = append(summary.Versions, *line)
	}
	summary.Total.computeAttainment()
	finishLines(summary.Versions)
	finishLines(summary.Lines)
	return summary
}

// finishLines sorts lines by key and sets their attainment.
func finishLines(lines []Line) {
	for i := range lines {
		lines[i].computeAttainment()
	}
	sort.Slice(lines, func(i, j int) bool { return lines[i].less(lines[j].Key) })
}

func (k Key) less(other Key) bool {
	switch {
	case k.Pipeline != other.Pipeline:
		return k.Pipeline < other.Pipeline
	case k.Version != other.Version:
		return k.Version < other.Version
	case k.Service != other.Service:
		return k.Service < other.Service
	}
	return k.Workspace < other.Workspace
}

// callerErrorKinds holds the error kinds that are caused by the caller and do not count
// against the service.
var callerErrorKinds = map[api.Kind]bool{
	api.KindBadRequest: true, api.KindForbidden: true, api.KindNotFound: true, api.KindTooLarge: true,
	api.KindResumeInvalid: true, api.KindOrderKeyRequired: true, api.KindOrderKeyExpired: true,
	api.KindOrderKeyReused: true, api.KindCallerGone: true,
}

func (l *Line) countResult(err error) {
	if err == nil {
		l.Requests++
		l.Attained++
		return
	}
	kind := fault.KindOf(err)
	if !callerErrorKinds[kind] {
		l.Requests++
	}
	if l.Missed == nil {
		l.Missed = map[api.Kind]int64{}
	}
	l.Missed[kind]++
}

func (l *Line) stage(name api.StageName) *Stage {
	for i := range l.Stages {
		if l.Stages[i].Stage == name {
			return &l.Stages[i]
		}
	}
	l.Stages = append(l.Stages, Stage{Stage: name})
	return &l.Stages[len(l.Stages)-1]
}

func (l *Line) addCost(stage *api.StageCost) {
	l.stage(stage.Stage).add(Stage{
		Runs: 1, Attempts: int64(stage.Attempts), DurationMs: stage.DurationMs, Cost: stage.Cost, LostCost: stage.LostCost,
	})
	l.Cost += stage.Cost
	l.LostCost += stage.LostCost
}

// merge adds the totals of another line.
func (l *Line) merge(other *Line) {
	l.Requests += other.Requests
	l.Attained += other.Attained
	l.Cost += other.Cost
	l.LostCost += other.LostCost
	for kind, count := range other.Missed {
		if l.Missed == nil {
			l.Missed = map[api.Kind]int64{}
		}
		l.Missed[kind] += count
	}
	for _, stage := range other.Stages {
		l.stage(stage.Stage).add(stage)
	}
}

func (l *Line) computeAttainment() {
	l.Attainment = 1
	if l.Requests > 0 {
		l.Attainment = float64(l.Attained) / float64(l.Requests)
	}
}

// add adds the totals of another stage.
func (s *Stage) add(other Stage) {
	s.Runs += other.Runs
	s.Attempts += other.Attempts
	s.DurationMs += other.DurationMs
	s.Cost += other.Cost
	s.LostCost += other.LostCost
}
