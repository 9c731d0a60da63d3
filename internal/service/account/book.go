// Package account keeps attainment and cost by stage.
package account

import (
	"sort"
	"sync"
	"time"

	"redwingloft/internal/helper/fault"
	"redwingloft/pkg/api"
)

const (
	// maxLines bounds the lines: the workspaces of the target size with three pipelines each.
	maxLines = 16384
	// idleTime is the time after which a line may be folded into the line of all others.
	idleTime = time.Hour
)

// Key tells whose requests a line accounts for. The zero key is the line of all others.
type Key struct {
	Workspace api.WorkspaceName `json:"workspace,omitempty"`
	Pipeline  api.PipelineName  `json:"pipeline,omitempty"`
	Version   api.VersionName   `json:"version,omitempty"`
	// Service is set for calls of a plain service, which have no pipeline.
	Service api.ServiceName `json:"service,omitempty"`
}

// Line is the account of one key.
type Line struct {
	Key
	// Requests counts all requests except those whose caller was at fault or left.
	Requests int64 `json:"requests"`
	// Attained counts the requests that were answered completely within their deadline.
	Attained int64 `json:"attained"`
	// Attainment is Attained over Requests; 1 without requests.
	Attainment float64 `json:"attainment"`
	// Cost and LostCost are sums over the stages, in the cost unit of the document.
	Cost     float64 `json:"cost"`
	LostCost float64 `json:"lost_cost"`
	// Missed counts the requests without a complete answer by error kind.
	Missed map[api.Kind]int64 `json:"missed,omitempty"`
	// Stages is in the order in which the stages were first seen.
	Stages []Stage `json:"stages,omitempty"`
}

// Stage is the account of one stage.
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

// Summary is the account of a host since its start.
type Summary struct {
	Since time.Time `json:"since"`
	Total Line      `json:"total"`
	// Versions has one line for each version of a pipeline and each service, over all workspaces.
	Versions []Line `json:"versions"`
	// Lines has one line for each workspace and version or service.
	Lines []Line `json:"lines"`
}

// Book holds the account of a host. The zero value is empty.
type Book struct {
	// Clock returns the current time; nil means time.Now.
	Clock func() time.Time

	mu    sync.Mutex
	since time.Time
	lines map[Key]*entry
}

type entry struct {
	Line
	used time.Time
}

// Add accounts for one request with the stages that it reached; err is nil where
// it was answered. It takes one lock for some additions. A nil book does nothing.
func (b *Book) Add(key Key, stages []api.StageCost, err error) {
	if b == nil {
		return
	}
	now := b.now()
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.line(key, now)
	e.count(err)
	for i := range stages {
		e.spend(&stages[i])
	}
}

// Spend accounts for the cost of a stage apart from the end of its request. A nil book does nothing.
func (b *Book) Spend(key Key, stage api.StageCost) {
	if b == nil {
		return
	}
	now := b.now()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.line(key, now).spend(&stage)
}

// line returns the line of a key.
func (b *Book) line(key Key, now time.Time) *entry {
	if b.lines == nil {
		b.lines, b.since = map[Key]*entry{}, now
	}
	e := b.lines[key]
	if e == nil {
		e = b.open(key, now)
	}
	e.used = now
	return e
}

func (b *Book) now() time.Time {
	if b.Clock != nil {
		return b.Clock()
	}
	return time.Now()
}

// open adds a line. A full book folds idle lines into the line of all others, and
// counts a new key there where no line is idle.
func (b *Book) open(key Key, now time.Time) *entry {
	if len(b.lines) >= maxLines {
		b.fold(now)
	}
	if len(b.lines) >= maxLines {
		return b.others()
	}
	e := &entry{Line: Line{Key: key}}
	b.lines[key] = e
	return e
}

func (b *Book) others() *entry {
	if b.lines[Key{}] == nil {
		b.lines[Key{}] = &entry{}
	}
	return b.lines[Key{}]
}

func (b *Book) fold(now time.Time) {
	others := b.others()
	for key, e := range b.lines {
		if e != others && now.Sub(e.used) >= idleTime {
			others.merge(&e.Line)
			delete(b.lines, key)
		}
	}
}

// Summary returns a copy of the account, lines sorted by key.
func (b *Book) Summary() Summary {
	b.mu.Lock()
	defer b.mu.Unlock()
	summary := Summary{Since: b.since, Versions: []Line{}, Lines: []Line{}}
	versions := map[Key]*Line{}
	for key, e := range b.lines {
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
	summary.Total.rate()
	finish(summary.Versions)
	finish(summary.Lines)
	return summary
}

// finish sorts lines by key and fills in their attainment.
func finish(lines []Line) {
	for i := range lines {
		lines[i].rate()
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

// callersFault holds the kinds of refusals that say nothing about the service given.
var callersFault = map[api.Kind]bool{
	api.KindBadRequest: true, api.KindForbidden: true, api.KindNotFound: true, api.KindTooLarge: true,
	api.KindResumeInvalid: true, api.KindOrderKeyRequired: true, api.KindOrderKeyExpired: true,
	api.KindOrderKeyReused: true, api.KindCallerGone: true,
}

func (l *Line) count(err error) {
	if err == nil {
		l.Requests++
		l.Attained++
		return
	}
	kind := fault.KindOf(err)
	if !callersFault[kind] {
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

func (l *Line) spend(stage *api.StageCost) {
	l.stage(stage.Stage).add(Stage{
		Runs: 1, Attempts: int64(stage.Attempts), DurationMs: stage.DurationMs, Cost: stage.Cost, LostCost: stage.LostCost,
	})
	l.Cost += stage.Cost
	l.LostCost += stage.LostCost
}

// merge adds the sums of another line.
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

func (l *Line) rate() {
	l.Attainment = 1
	if l.Requests > 0 {
		l.Attainment = float64(l.Attained) / float64(l.Requests)
	}
}

// add adds the sums of another stage.
func (s *Stage) add(other Stage) {
	s.Runs += other.Runs
	s.Attempts += other.Attempts
	s.DurationMs += other.DurationMs
	s.Cost += other.Cost
	s.LostCost += other.LostCost
}
