package cmd

import (
	"context"

	"redwingloft/internal/data/fleet"
	"redwingloft/internal/service/forward"
	"redwingloft/internal/service/stage"
	"redwingloft/internal/service/throttle"
	"redwingloft/pkg/api"
)

// explain reports where a request would go now.
func (e *entryHost) explain(ctx context.Context, request *fleet.Request, workspace api.WorkspaceName) (*forward.Explanation, error) {
	explainStages := func(work *forward.StageWork, limits *throttle.Table) (*forward.StageReport, error) {
		return e.stages.Explain(work, limits, e.peekScheduler)
	}
	report, err := e.callerHandler.Service.Explain(ctx, request, workspace, explainStages)
	if err != nil {
		return nil, err
	}
	report.Host = e.settings.Host.ID
	return report, nil
}

// peekScheduler returns this host's scheduler for a group, or a new one that is not kept.
func (e *entryHost) peekScheduler(group stage.Group) *stage.Scheduler {
	e.schedulersMu.Lock()
	defer e.schedulersMu.Unlock()
	if existing := e.schedulers[group]; existing != nil {
		return existing
	}
	return e.newScheduler(group)
}
