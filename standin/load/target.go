package load

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"redwingloft/internal/data/document"
	"redwingloft/pkg/api"
)

// Size is the size of a document.
type Size struct {
	Workspaces int
	Upstreams  int
	Models     int
	Pipelines  int
	Centres    int
}

// Target is the size that the system is designed for.
var Target = Size{Workspaces: 5100, Upstreams: 1500, Models: 35, Pipelines: 7, Centres: 9}

// Sized returns a document of a size. Its upstreams have loopback addresses at
// which nothing listens: it serves to measure what a host keeps, not to run requests.
func Sized(size Size) *document.Document {
	doc := &document.Document{
		Format: document.Format, Deployment: "sized", Weights: document.Weights{Attainment: 0.6, Cost: 0.4},
	}
	doc.Groups = sizedGroups(size)
	for i := range size.Pipelines {
		doc.Pipelines = append(doc.Pipelines, sizedPipeline(size, i))
	}
	for i := range size.Workspaces {
		doc.Workspaces = append(doc.Workspaces, sizedWorkspace(size, i))
	}
	return doc
}

// sizedGroups spreads the upstreams over one group for each model and three for the other stages.
func sizedGroups(size Size) []document.Group {
	groups := []document.Group{
		{Name: "encoders", Kind: document.GroupEmbedding},
		{Name: "retrievers", Kind: document.GroupSearch},
		{Name: "rerankers", Kind: document.GroupRerank},
	}
	for i := range size.Models {
		groups = append(groups, document.Group{Name: modelGroup(i), Kind: document.GroupChat, CostPerSecond: 1})
	}
	for i := range size.Upstreams {
		group := &groups[i%len(groups)]
		group.Upstreams = append(group.Upstreams, document.Upstream{
			ID:         api.UpstreamID(fmt.Sprintf("upstream-%d", i)),
			Address:    api.Address(fmt.Sprintf("127.1.%d.%d:9000", i/250, i%250+1)),
			DataCentre: sizedCentre(size, i), Slots: 8,
		})
	}
	return groups
}

func modelGroup(i int) api.GroupName { return api.GroupName(fmt.Sprintf("model-%d", i)) }

func sizedCentre(size Size, i int) api.DataCentre {
	return api.DataCentre(fmt.Sprintf("centre-%d", i%size.Centres))
}

func sizedPipeline(size Size, i int) document.Pipeline {
	pipeline := document.Pipeline{Name: api.PipelineName(fmt.Sprintf("pipeline-%d", i)), Deadline: 7000}
	for j, name := range []api.VersionName{"old", "new"} {
		model := (2*i + j) % size.Models
		pipeline.Versions = append(pipeline.Versions, document.Version{Name: name, Stages: []document.Stage{
			{Name: "encode", Kind: document.StageEncode, Group: "encoders", Model: "encoder"},
			{Name: "retrieve", Kind: document.StageRetrieve, Group: "retrievers", Collection: "documents", TopK: 20},
			{Name: "rerank", Kind: document.StageRerank, Group: "rerankers", Model: "reranker", TopK: 5},
			{Name: "generate", Kind: document.StageGenerate, Group: modelGroup(model), Model: api.ModelName(modelGroup(model)), MaxTokens: 400},
		}})
	}
	return pipeline
}

func sizedWorkspace(size Size, i int) document.Workspace {
	name := fmt.Sprintf("workspace-%d", i)
	sum := sha256.Sum256([]byte(name))
	workspace := document.Workspace{
		Name: api.WorkspaceName(name), CredentialHashes: []string{hex.EncodeToString(sum[:])},
		RequestsPerSecond: 20, Burst: 40,
	}
	versions := []api.VersionName{"old", "new"}
	for j := range 2 {
		workspace.Serves = append(workspace.Serves, document.Serve{
			Pipeline: api.PipelineName(fmt.Sprintf("pipeline-%d", (i+j)%size.Pipelines)), Version: versions[i%2],
		})
	}
	return workspace
}
