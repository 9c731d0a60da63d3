package pipeline

import (
	"redwingloft/internal/data/document"
	"redwingloft/internal/data/work"
	"redwingloft/internal/kernel"
	"redwingloft/internal/service/route"
	"redwingloft/internal/service/upstream"
)

// affinity routes one stage of a request by the prompt prefixes that the
// upstreams have cached.
type affinity struct {
	executor *Executor
	chain    route.HashChain
}

// newAffinity returns an affinity without a hash chain if the codec has no prompt
// cache or the router tracks no prefixes.
func (x *Executor) newAffinity(codec kernel.Codec, input work.Input) affinity {
	if codec.PromptParts == nil || x.Router.Prefixes == nil {
		return affinity{executor: x}
	}
	return affinity{executor: x, chain: route.HashPrompt(input.Stage.Group, input.Stage.Model, codec.PromptParts(input)...)}
}

// query returns the routing query of an attempt that avoids the given instances.
func (a affinity) query(snapshot *document.Snapshot, avoid []*upstream.Instance) route.Query {
	return route.Query{
		Avoid: avoid, Weights: snapshot.Document.Weights, Prefix: a.chain, DataCentre: a.executor.DataCentre,
	}
}

// recordRoute records the selected upstream. The returned function records the
// prompt and cached token counts of a complete response.
func (a affinity) recordRoute(instance *upstream.Instance) (recordResponse func(work.Output)) {
	prefixes := a.executor.Router.Prefixes
	expected := prefixes.RecordRoute(instance, a.chain)
	return func(output work.Output) {
		prefixes.RecordResponse(instance, a.chain, expected, output.PromptTokens, output.CachedTokens)
	}
}
