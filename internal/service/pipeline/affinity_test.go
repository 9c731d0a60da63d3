package pipeline

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"redwingloft/internal/data/document"
	"redwingloft/internal/data/work"
	_ "redwingloft/internal/plugin/openai"
	"redwingloft/internal/service/route"
	"redwingloft/internal/service/upstream"
	"redwingloft/pkg/api"
	"redwingloft/standin/engine"
)

// TestSharedPromptUsesCachedEngine guards against requests with the same long prompt
// prefix that are spread over engines, each of which has to recompute it.
func TestSharedPromptUsesCachedEngine(t *testing.T) {
	engines := make([]*engine.Server, 6)
	group := document.Group{Name: "llm", Kind: document.GroupChat}
	for i := range engines {
		engines[i] = &engine.Server{CacheTokens: 10_000}
		server := httptest.NewServer(engines[i].Routes())
		t.Cleanup(server.Close)
		group.Upstreams = append(group.Upstreams, document.Upstream{
			ID: api.UpstreamID(fmt.Sprintf("llm-%d", i)), DataCentre: "a", Slots: 8,
			Address: api.Address(strings.TrimPrefix(server.URL, "http://")),
		})
	}
	stage := document.Stage{
		Name: "answer", Kind: document.StageGenerate, Group: "llm", MaxTokens: 2,
		Prompt: strings.Repeat("answer in plain words. ", 100),
	}
	snapshot := &document.Snapshot{
		Document: &document.Document{Weights: document.Weights{Attainment: 0.5, Cost: 0.5}},
		Groups:   map[api.GroupName]*document.Group{"llm": &group},
	}
	x := &Executor{Table: &upstream.Table{}, Router: &route.Router{Prefixes: route.NewPrefixTable(0)}, Send: upstream.NewSender().Do}
	x.Table.Apply(snapshot)
	for i := range 20 {
		_, err := x.Run(context.Background(), Request{
			Snapshot: snapshot, Version: &document.Version{Stages: []document.Stage{stage}},
			Item: work.State{Input: fmt.Sprintf("question %d", i)},
		}, Observer{})
		assert.NilError(t, err)
	}
	most := int64(0)
	for _, e := range engines {
		most = max(most, e.Stats().Requests)
	}
	assert.Equal(t, most, int64(20))
}
