package replay

import (
	"fmt"
	"io"
	"sort"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"redwingloft/internal/data/trace"
	"redwingloft/pkg/api"
)

// Range, in nanoseconds, and precision of the latency histograms.
const (
	lowestLatency     = int64(time.Microsecond)
	highestLatency    = int64(10 * time.Minute)
	significantDigits = 3
)

// Report is the result of a replay.
type Report struct {
	Deployment string `json:"deployment"`
	// DurationMs is the duration of the replay.
	DurationMs float64 `json:"duration_ms"`
	Total      Summary `json:"total"`
	// Workspaces is keyed by name.
	Workspaces map[api.WorkspaceName]*Summary `json:"workspaces"`
	// Stages is keyed by pipeline, version and stage as "pipeline/version/stage".
	Stages map[string]*StageSummary `json:"stages"`
	// FirstToken and BetweenTokens cover all streamed responses.
	FirstToken    Quantiles `json:"first_token"`
	BetweenTokens Quantiles `json:"between_tokens"`
	// Refusals counts the refused and failed requests by error kind.
	Refusals map[api.Kind]int `json:"refusals"`
	// Resumed is the number of streams that were resumed after an interruption.
	Resumed int `json:"resumed"`
	// Mismatches lists the entries whose outcome differs from the expected one.
	Mismatches []EntryResult `json:"faults"`
	// Orders lists the outcome of each order, for comparison with the counts of the upstreams.
	Orders []EntryResult `json:"orders"`

	results []EntryResult
}

// AttainmentFrom returns the fraction of requests with a complete response within
// their deadline among those that the trace sends at the given time or later.
func (r *Report) AttainmentFrom(at time.Duration) float64 {
	requests, answered := 0, 0
	for i := range r.results {
		if r.results[i].entry.AtMs < at.Milliseconds() {
			continue
		}
		requests++
		if r.results[i].Outcome == trace.OutcomeAnswered {
			answered++
		}
	}
	if requests == 0 {
		return 0
	}
	return float64(answered) / float64(requests)
}

// Summary holds the outcome counts, cost and latency of a set of requests.
type Summary struct {
	Requests int `json:"requests"`
	Answered int `json:"answered"`
	Refused  int `json:"refused"`
	Failed   int `json:"failed"`
	// Attainment is the fraction of requests with a complete response within their deadline.
	Attainment float64   `json:"attainment"`
	Cost       float64   `json:"cost"`
	Latency    Quantiles `json:"latency"`

	histogram *hdrhistogram.Histogram
}

// StageSummary sums up the attempts and cost of one stage over all requests.
type StageSummary struct {
	Runs     int     `json:"runs"`
	Attempts int     `json:"attempts"`
	Cost     float64 `json:"cost"`
	LostCost float64 `json:"lost_cost"`
	MeanMs   float64 `json:"mean_ms"`
}

// Quantiles holds quantiles of a duration in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50Ms float64 `json:"p50_ms"`
	P95Ms float64 `json:"p95_ms"`
	P99Ms float64 `json:"p99_ms"`
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestLatency, highestLatency, significantDigits)
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / float64(time.Millisecond) }
	return Quantiles{Count: h.TotalCount(), P50Ms: at(50), P95Ms: at(95), P99Ms: at(99)}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	// The value is clamped to the range of the histogram, so recording can't fail.
	_ = h.RecordValue(min(max(int64(d), lowestLatency), highestLatency))
}

func newReport(t *trace.Trace, results []EntryResult, duration time.Duration) *Report {
	r := &Report{
		Deployment: t.Deployment, DurationMs: float64(duration.Milliseconds()),
		Total:      Summary{histogram: newHistogram()},
		Workspaces: map[api.WorkspaceName]*Summary{}, Stages: map[string]*StageSummary{}, Refusals: map[api.Kind]int{},
		Mismatches: []EntryResult{}, Orders: []EntryResult{}, results: results,
	}
	firstToken, betweenTokens := newHistogram(), newHistogram()
	for i := range results {
		r.add(&results[i], firstToken, betweenTokens)
	}
	r.FirstToken, r.BetweenTokens = quantiles(firstToken), quantiles(betweenTokens)
	r.Total.finalize()
	for _, group := range r.Workspaces {
		group.finalize()
	}
	for _, stage := range r.Stages {
		stage.MeanMs /= float64(stage.Runs)
	}
	return r
}

func (r *Report) add(t *EntryResult, firstToken, betweenTokens *hdrhistogram.Histogram) {
	group := r.Workspaces[t.Workspace]
	if group == nil {
		group = &Summary{histogram: newHistogram()}
		r.Workspaces[t.Workspace] = group
	}
	cost := r.addStages(t)
	r.Total.add(t, cost)
	group.add(t, cost)
	if t.Outcome != trace.OutcomeAnswered {
		r.Refusals[t.Kind]++
	}
	if t.firstToken > 0 {
		record(firstToken, t.firstToken)
	}
	for _, gap := range t.gaps {
		record(betweenTokens, gap)
	}
	if t.Mismatch != "" {
		r.Mismatches = append(r.Mismatches, *t)
	}
	if t.IsOrder() {
		r.Orders = append(r.Orders, *t)
	}
}

// addStages adds the stages of a response and returns its cost.
func (r *Report) addStages(t *EntryResult) float64 {
	if t.response == nil {
		return 0
	}
	if t.response.Resumed > 0 {
		r.Resumed++
	}
	cost := 0.0
	for _, stageCost := range t.response.Stages {
		name := fmt.Sprintf("%s/%s/%s", t.entry.Pipeline, t.response.Version, stageCost.Stage)
		stage := r.Stages[name]
		if stage == nil {
			stage = &StageSummary{}
			r.Stages[name] = stage
		}
		stage.Runs++
		stage.Attempts += stageCost.Attempts
		stage.Cost += stageCost.Cost
		stage.LostCost += stageCost.LostCost
		stage.MeanMs += stageCost.DurationMs
		cost += stageCost.Cost
	}
	return cost
}

func (g *Summary) add(t *EntryResult, cost float64) {
	g.Requests++
	g.Cost += cost
	switch t.Outcome {
	case trace.OutcomeAnswered:
		g.Answered++
		record(g.histogram, t.latency)
	case trace.OutcomeRefused:
		g.Refused++
	default:
		g.Failed++
	}
}

func (g *Summary) finalize() {
	if g.Requests > 0 {
		g.Attainment = float64(g.Answered) / float64(g.Requests)
	}
	g.Latency = quantiles(g.histogram)
}

// Write writes the report as text tables.
func (r *Report) Write(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "deployment %s\n\n", r.Deployment)
	fmt.Fprintln(table, "WORKSPACE\tREQUESTS\tANSWERED\tREFUSED\tFAILED\tATTAINMENT\tCOST\tP50 MS\tP95 MS")
	for _, name := range sortedKeys(r.Workspaces) {
		r.Workspaces[name].writeRow(table, string(name))
	}
	r.Total.writeRow(table, "total")
	fmt.Fprintln(table, "\nSTAGE\tRUNS\tATTEMPTS\tCOST\tLOST COST\tMEAN MS")
	for _, name := range sortedKeys(r.Stages) {
		s := r.Stages[name]
		fmt.Fprintf(table, "%s\t%d\t%d\t%.4f\t%.4f\t%.1f\n", name, s.Runs, s.Attempts, s.Cost, s.LostCost, s.MeanMs)
	}
	fmt.Fprintln(table, "\nTOKENS\tCOUNT\tP50 MS\tP95 MS\tP99 MS")
	for _, line := range []struct {
		name string
		q    Quantiles
	}{{"first token", r.FirstToken}, {"between tokens", r.BetweenTokens}} {
		fmt.Fprintf(table, "%s\t%d\t%.1f\t%.1f\t%.1f\n", line.name, line.q.Count, line.q.P50Ms, line.q.P95Ms, line.q.P99Ms)
	}
	if len(r.Refusals) > 0 {
		fmt.Fprintln(table, "\nNOT ANSWERED\tCOUNT")
		for _, kind := range sortedKeys(r.Refusals) {
			fmt.Fprintf(table, "%s\t%d\n", kind, r.Refusals[kind])
		}
	}
	fmt.Fprintf(table, "\nresumed streams: %d\noutcomes that did not hold: %d\n", r.Resumed, len(r.Mismatches))
	for _, fault := range r.Mismatches {
		fmt.Fprintf(table, "  entry %d of workspace %s: %s\n", fault.Index, fault.Workspace, fault.Mismatch)
	}
	return table.Flush()
}

func (g *Summary) writeRow(out io.Writer, name string) {
	fmt.Fprintf(out, "%s\t%d\t%d\t%d\t%d\t%.4f\t%.4f\t%.1f\t%.1f\n", name, g.Requests, g.Answered, g.Refused,
		g.Failed, g.Attainment, g.Cost, g.Latency.P50Ms, g.Latency.P95Ms)
}

func sortedKeys[K ~string, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i] < keys[j] })
	return keys
}
