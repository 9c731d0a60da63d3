package document

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"redwingloft/pkg/api"
)

func drawName(t *rapid.T, label string) string {
	return rapid.SampledFrom([]string{"a", "b", "c", "d.e", "f#2", ""}).Draw(t, label)
}

func drawSlice[T any](t *rapid.T, label string, f func(*rapid.T) T) []T {
	return rapid.SliceOfN(rapid.Custom(f), 0, 4).Draw(t, label)
}

func drawStage(t *rapid.T) Stage {
	return Stage{Name: api.StageName(drawName(t, "stage")), TopK: rapid.IntRange(0, 2).Draw(t, "top_k"), Prompt: drawName(t, "prompt")}
}

// drawDocument generates documents that may have empty and duplicate names, as operators can
// submit such documents.
func drawDocument(t *rapid.T) *Document {
	return &Document{
		Deployment: drawName(t, "deployment"),
		Weights:    Weights{Cost: float64(rapid.IntRange(0, 2).Draw(t, "cost"))},
		Pipelines: drawSlice(t, "pipelines", func(t *rapid.T) Pipeline {
			return Pipeline{Name: api.PipelineName(drawName(t, "pipeline")), Versions: drawSlice(t, "versions", func(t *rapid.T) Version {
				return Version{Name: api.VersionName(drawName(t, "version")), Stages: drawSlice(t, "stages", drawStage)}
			})}
		}),
		Services: drawSlice(t, "services", func(t *rapid.T) Service {
			return Service{Name: api.ServiceName(drawName(t, "service")), Calls: drawSlice(t, "calls", func(t *rapid.T) Call {
				return Call{Name: api.CallName(drawName(t, "call")), Repeatable: rapid.Bool().Draw(t, "repeatable")}
			})}
		}),
		Workspaces: drawSlice(t, "workspaces", func(t *rapid.T) Workspace {
			return Workspace{
				Name:             api.WorkspaceName(drawName(t, "workspace")),
				CredentialHashes: drawSlice(t, "hashes", func(t *rapid.T) string { return drawName(t, "hash") }),
				Services:         drawSlice(t, "services", func(t *rapid.T) api.ServiceName { return api.ServiceName(drawName(t, "service")) }),
			}
		}),
	}
}

// TestDiffProperties guards against changes that Diff misses or reports between equal documents,
// and against an Apply that doesn't reproduce the second document or modifies its input.
func TestDiffProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := drawDocument(t), drawDocument(t)
		if changes := Diff(a, a.Clone()); len(changes) != 0 {
			t.Fatalf("equal documents differ: %v", changes)
		}
		before, err := json.Marshal(a)
		if err != nil {
			t.Fatal(err)
		}
		applied, err := Apply(a, Diff(a, b))
		if err != nil {
			t.Fatal(err)
		}
		if remaining := Diff(applied, b); len(remaining) != 0 {
			t.Fatalf("documents still differ after Apply: %v", remaining)
		}
		if after, _ := json.Marshal(a); string(after) != string(before) {
			t.Fatal("Apply modified its input")
		}
	})
}

// TestRebaseProperties guards against a rebase that drops a change of one side without
// reporting a conflict.
func TestRebaseProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base, mine, theirs := drawDocument(t), drawDocument(t), drawDocument(t)
		result, conflicts, err := Rebase(base, mine, theirs)
		if err != nil {
			t.Fatal(err)
		}
		if len(conflicts) > 0 {
			return
		}
		inResult := map[string]bool{}
		for _, change := range Diff(base, result) {
			inResult[change.String()] = true
		}
		for _, change := range append(Diff(base, mine), Diff(base, theirs)...) {
			if !inResult[change.String()] {
				t.Fatalf("the rebase dropped %s", change)
			}
		}
	})
}

func sampleDocument() *Document {
	stage := func(name string) Stage { return Stage{Name: api.StageName(name), Group: "engines"} }
	return &Document{
		Pipelines: []Pipeline{{Name: "plan", Versions: []Version{{Name: "old", Stages: []Stage{stage("one"), stage("two")}}}}},
		Workspaces: []Workspace{
			{Name: "arima", CredentialHashes: []string{"0123abcd"}, Serves: []PipelineVersion{{"plan", "old"}}},
			{Name: "tobago"},
		},
		Operators: []Operator{{Name: "ada", PasswordHash: "$2a$secret", Role: RoleEditor}},
	}
}

// TestDiffMatchesByName guards against a moved or inserted list element that is reported as a
// change of every element after it.
func TestDiffMatchesByName(t *testing.T) {
	a, b := sampleDocument(), sampleDocument()
	b.Workspaces[0], b.Workspaces[1] = b.Workspaces[1], b.Workspaces[0]
	b.Workspaces[1].Serves[0].Version = "new"
	b.Workspaces = append([]Workspace{{Name: "new-one", Weight: 2}}, b.Workspaces...)
	changes := Diff(a, b)
	assert.Equal(t, len(changes), 2)
	assert.Equal(t, changes[0].String(), `~ workspaces[arima].serves[plan].version: "old" -> "new"`)
	assert.Equal(t, changes[1].String(), `+ workspaces[new-one]: name "new-one", weight 2`)
}

// TestDiffStageOrder guards against a changed order of stages that Diff doesn't report.
func TestDiffStageOrder(t *testing.T) {
	a, b := sampleDocument(), sampleDocument()
	stages := b.Pipelines[0].Versions[0].Stages
	stages[0], stages[1] = stages[1], stages[0]
	changes := Diff(a, b)
	assert.Equal(t, len(changes), 1)
	assert.Equal(t, changes[0].String(), "~ pipelines[plan].versions[old].stages: one, two -> two, one")
}

// TestDiffHidesHashes guards against credential and password hashes in console pages, logs and
// command output.
func TestDiffHidesHashes(t *testing.T) {
	b := sampleDocument()
	b.Workspaces[0].CredentialHashes[0] = "4567abcd"
	b.Operators[0].PasswordHash = "$2a$other"
	changes := append(Diff(sampleDocument(), b), Diff(nil, b)...)
	assert.Equal(t, changes[0].String(), "~ workspaces[arima].credential_hashes: changed")
	for _, change := range changes {
		assert.Assert(t, !strings.Contains(change.String(), "abcd") && !strings.Contains(change.String(), "$2a"), change.String())
	}
}

// TestRebase guards against missed conflicts and false conflicts.
func TestRebase(t *testing.T) {
	mine, theirs := sampleDocument(), sampleDocument()
	mine.Workspaces[0].Weight = 2
	theirs.Workspaces[0].Burst = 9
	result, conflicts, err := Rebase(sampleDocument(), mine, theirs)
	assert.NilError(t, err)
	assert.Equal(t, len(conflicts), 0)
	assert.Equal(t, result.Workspaces[0].Weight, 2.0)
	assert.Equal(t, result.Workspaces[0].Burst, 9.0)

	theirs.Workspaces = theirs.Workspaces[1:]
	_, conflicts, err = Rebase(sampleDocument(), mine, theirs)
	assert.NilError(t, err)
	assert.Equal(t, len(conflicts), 1)
	assert.Equal(t, conflicts[0].Path, "workspaces[arima].weight")
	assert.Equal(t, conflicts[0].Theirs.Path, "workspaces[arima]")

	_, conflicts, err = Rebase(sampleDocument(), theirs, theirs)
	assert.NilError(t, err)
	assert.Equal(t, len(conflicts), 0)
}

// fullScaleDocument returns a document of the target size: 7 pipelines, 35 models and 5,100
// workspaces.
func fullScaleDocument() *Document {
	doc := &Document{Format: Format, Deployment: "target", Weights: Weights{Attainment: 1}}
	doc.Groups = []Group{{Name: "engines", Kind: GroupChat}}
	for i := range 1500 {
		doc.Groups[0].Upstreams = append(doc.Groups[0].Upstreams, Upstream{
			ID:      api.UpstreamID(fmt.Sprintf("engine-%d", i)),
			Address: api.Address(fmt.Sprintf("10.0.%d.%d:8000", i/250, i%250)), DataCentre: "dc", Slots: 8,
		})
	}
	var serves []PipelineVersion
	for p := range 7 {
		pipeline := Pipeline{Name: api.PipelineName(fmt.Sprintf("pipeline-%d", p)), Deadline: 7000}
		for v := range 5 {
			stage := Stage{Name: "generate", Kind: StageGenerate, Group: "engines", Model: api.ModelName(fmt.Sprintf("model-%d", p*5+v))}
			pipeline.Versions = append(pipeline.Versions, Version{Name: api.VersionName(fmt.Sprintf("v%d", v)), Stages: []Stage{stage}})
		}
		doc.Pipelines = append(doc.Pipelines, pipeline)
		serves = append(serves, PipelineVersion{Pipeline: pipeline.Name, Version: "v0"})
	}
	for i := range 5100 {
		doc.Workspaces = append(doc.Workspaces, Workspace{
			Name:             api.WorkspaceName(fmt.Sprintf("workspace-%d", i)),
			CredentialHashes: []string{strings.Repeat("ab", 32)}, Serves: serves, RequestsPerSecond: 10,
		})
	}
	return doc
}

func BenchmarkCompile(b *testing.B) {
	doc := fullScaleDocument()
	for b.Loop() {
		if _, err := Compile(doc, 1); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkDiff(b *testing.B) {
	old, changed := fullScaleDocument(), fullScaleDocument()
	for i := range changed.Workspaces {
		changed.Workspaces[i].Burst = 20
	}
	for b.Loop() {
		if len(Diff(old, changed)) != len(old.Workspaces) {
			b.Fatal("unexpected number of changes")
		}
	}
}
