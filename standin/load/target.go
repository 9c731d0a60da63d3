package load

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"redwingloft/internal/data/document"
	"redwingloft/pkg/api"
)

// Size holds the numbers of objects in a generated document.
type Size struct {
	Workspaces  int
	Upstreams   int
	Models      int
	Pipelines   int
	DataCentres int
}

// TargetSize is the document size that the system is designed for.
var TargetSize = Size{Workspaces: 5100, Upstreams: 1500, Models: 35, Pipelines: 7, DataCentres: 9}

// NewDocument returns a document of the given size. Its upstreams have loopback addresses without
// a listener: it is meant for measurements of idle hosts, not for serving requests.
func NewDocument(size Size) *document.Document {
	doc := &document.Document{
		Format: document.Format, Deployment: "sized", Weights: document.Weights{Attainment: 0.6, Cost: 0.4},
	}
	doc.Groups = newGroups(size)
	for i := range size.Pipelines {
		doc.Pipelines = append(doc.Pipelines, newPipeline(size, i))
	}
	for i := range size.Workspaces {
		doc.Workspaces = append(doc.Workspaces, newWorkspace(size, i))
	}
	return doc
}

// newGroups distributes the upstreams over one group for each model and three groups for the other stages.
func newGroups(size Size) []document.Group {
	groups := []document.Group{
		{Name: "encoders", Kind: document.GroupEmbedding},
		{Name: "retrievers", Kind: document.GroupSearch},
		{Name: "rerankers", Kind: document.GroupRerank},
	}
	for i := range size.Models {
		groups = append(groups, document.Group{Name: modelGroupName(i), Kind: document.GroupChat, CostPerSecond: 1})
	}
	for i := range size.Upstreams {
		group := &groups[i%len(groups)]
		group.Upstreams = append(group.Upstreams, document.Upstream{
			ID:         api.UpstreamID(fmt.Sprintf("upstream-%d", i)),
			Address:    api.Address(fmt.Sprintf("127.1.%d.%d:9000", i/250, i%250+1)),
			DataCentre: dataCentreName(size, i), Slots: 8,
		})
	}
	return groups
}

func modelGroupName(i int) api.GroupName { return api.GroupName(fmt.Sprintf("model-%d", i)) }

func dataCentreName(size Size, i int) api.DataCentre {
	return api.DataCentre(fmt.Sprintf("centre-%d", i%size.DataCentres))
}

func newPipeline(size Size, i int) document.Pipeline {
	pipeline := document.Pipeline{Name: api.PipelineName(fmt.Sprintf("pipeline-%d", i)), Deadline: 7000}
	for j, name := range []api.VersionName{"old", "new"} {
		model := (2*i + j) % size.Models
		pipeline.Versions = append(pipeline.Versions, document.Version{Name: name, Stages: []document.Stage{
			{Name: "encode", Kind: document.StageEncode, Group: "encoders", Model: "encoder"},
			{Name: "retrieve", Kind: document.StageRetrieve, Group: "retrievers", Collection: "documents", TopK: 20},
			{Name: "rerank", Kind: document.StageRerank, Group: "rerankers", Model: "reranker", TopK: 5},
			{Name: "generate", Kind: document.StageGenerate, Group: modelGroupName(model), Model: api.ModelName(modelGroupName(model)), MaxTokens: 400},
		}})
	}
	return pipeline
}

func newWorkspace(size Size, i int) document.Workspace {
	name := fmt.Sprintf("workspace-%d", i)
	sum := sha256.Sum256([]byte(name))
	workspace := document.Workspace{
		Name: api.WorkspaceName(name), CredentialHashes: []string{hex.EncodeToString(sum[:])},
		RequestsPerSecond: 20, Burst: 40,
	}
	versions := []api.VersionName{"old", "new"}
	for j := range 2 {
		workspace.Serves = append(workspace.Serves, document.PipelineVersion{
			Pipeline: api.PipelineName(fmt.Sprintf("pipeline-%d", (i+j)%size.Pipelines)), Version: versions[i%2],
		})
	}
	return workspace
}
