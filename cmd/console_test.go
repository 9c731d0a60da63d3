package cmd

import (
	"testing"

	"gotest.tools/v3/assert"

	"redwingloft/internal/service/account"
	"redwingloft/internal/web/console"
	"redwingloft/pkg/api"
)

// TestStatusAddsUpVersions guards against an overview that shows one version's
// part as the whole pipeline, or an HTTP service as a pipeline.
func TestStatusAddsUpVersions(t *testing.T) {
	var accumulator account.Accumulator
	stages := []api.StageCost{{Stage: "generate", Attempts: 2, Cost: 3, LostCost: 1}}
	for _, version := range []api.VersionName{"old", "new"} {
		accumulator.Add(account.Key{Workspace: "w", Pipeline: "plan", Version: version}, stages, nil)
	}
	accumulator.Add(account.Key{Workspace: "w", Service: "desk"}, nil, nil)
	var status console.Status
	addPipelineTotals(&status, accumulator.Summary())
	assert.DeepEqual(t, status.Pipelines, []console.PipelineStatus{{Pipeline: "plan", Requests: 2, Attained: 2}})
	assert.DeepEqual(t, status.Stages, []console.StageStatus{{Pipeline: "plan", Stage: "generate", Attempts: 4, Cost: 6, LostCost: 2}})
}
