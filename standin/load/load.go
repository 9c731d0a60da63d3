// Package load generates documents and request traces with the outcomes expected from the
// stand-ins, and audits orders against the upstreams' histories.
package load

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"redwingloft/internal/data/document"
	"redwingloft/internal/data/trace"
	"redwingloft/pkg/api"
	"redwingloft/standin/engine"
)

// Options configure the generation of a trace.
type Options struct {
	Document *document.Document
	Seed     uint64
	// Rate is the mean number of requests per second.
	Rate float64
	// Duration is the length of the trace.
	Duration time.Duration
	// ServiceShare is the share of requests that call HTTP services, between 0 and 1.
	ServiceShare float64
	// RepeatShare is the share of orders that a caller sends twice with the same idempotency key.
	RepeatShare float64
	// BurstFactor multiplies the rate in the middle fifth of the trace; 0 means 1.
	BurstFactor float64
	// Topics is the number of distinct inputs per pipeline and workspace; with few topics, prompt
	// prefixes repeat. 0 means 200.
	Topics int
}

// generator holds the state of the generation of one trace.
type generator struct {
	options     Options
	random      *rand.Rand
	dataCentres []api.DataCentre
	entries     []trace.Entry
	orderCount  int
}

// Generate generates a trace. The same options always give the same trace.
func Generate(options Options) *trace.Trace {
	if options.Topics == 0 {
		options.Topics = 200
	}
	g := &generator{options: options, random: rand.New(rand.NewPCG(options.Seed, 1))}
	g.dataCentres = options.Document.DataCentres()
	at := time.Duration(0)
	for {
		at += time.Duration(g.random.ExpFloat64() / g.rateAt(at) * float64(time.Second))
		if at >= options.Duration {
			break
		}
		g.addRequest(at)
	}
	return &trace.Trace{
		Header:  trace.Header{Format: trace.Format, Deployment: options.Document.Deployment},
		Entries: g.entries,
	}
}

func (g *generator) rateAt(at time.Duration) float64 {
	progress := float64(at) / float64(g.options.Duration)
	if g.options.BurstFactor > 0 && progress >= 0.4 && progress < 0.6 {
		return g.options.Rate * g.options.BurstFactor
	}
	return g.options.Rate
}

func (g *generator) addRequest(at time.Duration) {
	workspace := g.drawWorkspace()
	entry := trace.Entry{
		AtMs: at.Milliseconds(), Workspace: workspace.Name,
		DataCentre: g.dataCentres[g.random.IntN(len(g.dataCentres))],
		Expect:     trace.Expectation{Outcome: trace.OutcomeAnswered},
	}
	if g.random.Float64() < g.options.ServiceShare && len(workspace.Services) > 0 {
		g.addServiceCall(&entry, workspace)
		return
	}
	g.addPipelineRun(&entry, workspace)
}

// drawWorkspace returns a random workspace, drawn by weight.
func (g *generator) drawWorkspace() *document.Workspace {
	workspaces := g.options.Document.Workspaces
	total := 0.0
	for i := range workspaces {
		total += math.Max(workspaces[i].Weight, 1)
	}
	remaining := g.random.Float64() * total
	for i := range workspaces {
		remaining -= math.Max(workspaces[i].Weight, 1)
		if remaining < 0 {
			return &workspaces[i]
		}
	}
	return &workspaces[len(workspaces)-1]
}

func (g *generator) addPipelineRun(entry *trace.Entry, workspace *document.Workspace) {
	served := workspace.Serves[g.random.IntN(len(workspace.Serves))]
	for _, pipeline := range g.options.Document.Pipelines {
		if pipeline.Name != served.Pipeline {
			continue
		}
		entry.DeadlineMs = int64(pipeline.Deadline)
		for _, version := range pipeline.Versions {
			if version.Name == served.Version {
				entry.MaxTokens = version.Stages[len(version.Stages)-1].MaxTokens
			}
		}
	}
	entry.Pipeline = served.Pipeline
	entry.Input = fmt.Sprintf("%s of %s, topic %d", served.Pipeline, workspace.Name, g.random.IntN(g.options.Topics))
	sum := sha256.Sum256([]byte(engine.Text(entry.Input, entry.MaxTokens)))
	entry.Expect.Tokens, entry.Expect.TextSHA256 = entry.MaxTokens, hex.EncodeToString(sum[:])
	g.entries = append(g.entries, *entry)
}

func (g *generator) addServiceCall(entry *trace.Entry, workspace *document.Workspace) {
	name := workspace.Services[g.random.IntN(len(workspace.Services))]
	for _, service := range g.options.Document.Services {
		if service.Name != name {
			continue
		}
		call := service.Calls[g.random.IntN(len(service.Calls))]
		entry.Service, entry.Call, entry.Method, entry.DeadlineMs = name, call.Name, call.Method, int64(call.Deadline)
		entry.Expect.Status = 200
		if call.Method != "GET" {
			entry.Body = json.RawMessage(fmt.Sprintf(`{"visit":%d}`, g.random.IntN(10_000)))
		}
		if !call.Repeatable {
			g.orderCount++
			entry.OrderLabel = fmt.Sprintf("order-%d", g.orderCount)
		}
	}
	g.entries = append(g.entries, *entry)
	if entry.OrderLabel != "" && g.random.Float64() < g.options.RepeatShare {
		g.entries = append(g.entries, *entry)
	}
}
