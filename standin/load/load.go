// Package load makes traces with stated outcomes for the stand-ins of a deployment.
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

// Options describe a trace.
type Options struct {
	Document *document.Document
	Seed     uint64
	// Rate is the mean number of requests a second.
	Rate float64
	// Duration is the length of the trace.
	Duration time.Duration
	// ServiceShare is the share of calls of plain services, between 0 and 1.
	ServiceShare float64
	// RepeatShare is the share of orders that a caller sends a second time under the same key.
	RepeatShare float64
	// BurstFactor multiplies the rate in the middle fifth of the trace; 0 means 1.
	BurstFactor float64
	// Topics is the number of different inputs; few topics repeat the same prompt prefix. 0 means 200.
	Topics int
}

// generator makes one trace.
type generator struct {
	options Options
	random  *rand.Rand
	centres []api.DataCentre
	entries []trace.Entry
	orders  int
}

// Generate returns the same trace for the same options.
func Generate(options Options) *trace.Trace {
	if options.Topics == 0 {
		options.Topics = 200
	}
	g := &generator{options: options, random: rand.New(rand.NewPCG(options.Seed, 1))}
	g.centres = options.Document.DataCentres()
	at := time.Duration(0)
	for {
		at += time.Duration(g.random.ExpFloat64() / g.rate(at) * float64(time.Second))
		if at >= options.Duration {
			break
		}
		g.add(at)
	}
	return &trace.Trace{
		Header:  trace.Header{Format: trace.Format, Deployment: options.Document.Deployment},
		Entries: g.entries,
	}
}

func (g *generator) rate(at time.Duration) float64 {
	share := float64(at) / float64(g.options.Duration)
	if g.options.BurstFactor > 0 && share >= 0.4 && share < 0.6 {
		return g.options.Rate * g.options.BurstFactor
	}
	return g.options.Rate
}

func (g *generator) add(at time.Duration) {
	workspace := g.workspace()
	entry := trace.Entry{
		AtMs: at.Milliseconds(), Workspace: workspace.Name,
		DataCentre: g.centres[g.random.IntN(len(g.centres))],
		Expect:     trace.Expectation{Outcome: trace.OutcomeAnswered},
	}
	if g.random.Float64() < g.options.ServiceShare && len(workspace.Services) > 0 {
		g.service(&entry, workspace)
		return
	}
	g.pipeline(&entry, workspace)
}

// workspace draws a workspace by weight.
func (g *generator) workspace() *document.Workspace {
	all := g.options.Document.Workspaces
	total := 0.0
	for i := range all {
		total += math.Max(all[i].Weight, 1)
	}
	drawn := g.random.Float64() * total
	for i := range all {
		drawn -= math.Max(all[i].Weight, 1)
		if drawn < 0 {
			return &all[i]
		}
	}
	return &all[len(all)-1]
}

func (g *generator) pipeline(entry *trace.Entry, workspace *document.Workspace) {
	serve := workspace.Serves[g.random.IntN(len(workspace.Serves))]
	for _, pipeline := range g.options.Document.Pipelines {
		if pipeline.Name != serve.Pipeline {
			continue
		}
		entry.DeadlineMs = int64(pipeline.Deadline)
		for _, version := range pipeline.Versions {
			if version.Name == serve.Version {
				entry.MaxTokens = version.Stages[len(version.Stages)-1].MaxTokens
			}
		}
	}
	entry.Pipeline = serve.Pipeline
	entry.Input = fmt.Sprintf("%s of %s, topic %d", serve.Pipeline, workspace.Name, g.random.IntN(g.options.Topics))
	sum := sha256.Sum256([]byte(engine.Text(entry.Input, entry.MaxTokens)))
	entry.Expect.Tokens, entry.Expect.TextSHA256 = entry.MaxTokens, hex.EncodeToString(sum[:])
	g.entries = append(g.entries, *entry)
}

func (g *generator) service(entry *trace.Entry, workspace *document.Workspace) {
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
			g.orders++
			entry.Order = fmt.Sprintf("order-%d", g.orders)
		}
	}
	g.entries = append(g.entries, *entry)
	if entry.Order != "" && g.random.Float64() < g.options.RepeatShare {
		g.entries = append(g.entries, *entry)
	}
}
