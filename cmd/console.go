package cmd

import (
	"context"
	"slices"

	"redwingloft/internal/service/account"
	"redwingloft/internal/web/console"
	"redwingloft/pkg/api"
)

// newConsoleHandler returns the handler of the operator listener.
func (h *host) newConsoleHandler() *console.Handler {
	return &console.Handler{
		Config: console.Configuration{
			Snapshot: h.snapshots.Load, DocumentAt: h.configuration.DocumentAt, History: h.history, Commit: h.configuration.Commit,
		},
		Status: h.status, RemoveHosts: h.members.Remove, SessionKey: sealKey(h.settings.Peer.Secret), SessionLifetime: h.settings.Operator.SessionLifetime,
		SecureCookie: h.settings.Operator.TLS.CertFile != "", Log: h.log,
	}
}

// status returns the status of the site as observed by this host.
func (h *host) status() console.Status {
	status := console.Status{Host: h.settings.Host.ID, Counters: h.metrics.Counters()}
	snapshot := h.snapshots.Load()
	if snapshot == nil {
		return status
	}
	status.Revision = snapshot.Revision
	for _, member := range h.members.Report() {
		status.Hosts = append(status.Hosts, console.HostStatus{
			Host: member.Host, DataCentre: member.DataCentre, Address: member.Caller,
			Revision: member.Revision, State: string(member.State),
		})
	}
	table := h.upstreams.Table
	for _, group := range snapshot.Document.Groups {
		for _, instance := range table.All(group.Name) {
			status.Upstreams = append(status.Upstreams, console.UpstreamStatus{
				Upstream: instance.ID, Group: group.Name, State: string(table.State(instance)), InFlight: instance.InFlight(),
			})
		}
	}
	addPipelineTotals(&status, h.requests.Accumulator.Summary())
	return status
}

// addPipelineTotals adds attainment and cost by pipeline, summed over all versions and workspaces.
func addPipelineTotals(status *console.Status, summary account.Summary) {
	for _, line := range summary.Versions {
		if line.Pipeline == "" {
			continue // a service call, which belongs to no pipeline
		}
		pipelines := &status.Pipelines
		if n := len(*pipelines); n == 0 || (*pipelines)[n-1].Pipeline != line.Pipeline {
			*pipelines = append(*pipelines, console.PipelineStatus{Pipeline: line.Pipeline})
		}
		last := &(*pipelines)[len(*pipelines)-1]
		last.Requests += line.Requests
		last.Attained += line.Attained
		for _, stage := range line.Stages {
			addStageTotals(status, line.Pipeline, stage)
		}
	}
}

func addStageTotals(status *console.Status, pipeline api.PipelineName, stage account.Stage) {
	index := slices.IndexFunc(status.Stages, func(existing console.StageStatus) bool {
		return existing.Pipeline == pipeline && existing.Stage == stage.Stage
	})
	if index < 0 {
		index = len(status.Stages)
		status.Stages = append(status.Stages, console.StageStatus{Pipeline: pipeline, Stage: stage.Stage})
	}
	status.Stages[index].Attempts += stage.Attempts
	status.Stages[index].Cost += stage.Cost
	status.Stages[index].LostCost += stage.LostCost
}

// history returns at most limit revisions, newest first.
func (h *host) history(ctx context.Context, limit int) ([]console.HistoryEntry, error) {
	manifests, err := h.configuration.History(ctx, limit)
	if err != nil {
		return nil, err
	}
	list := make([]console.HistoryEntry, 0, len(manifests))
	for _, m := range manifests {
		list = append(list, console.HistoryEntry{Revision: m.Revision, Author: m.Author, Time: m.Time, Comment: m.Comment})
	}
	return list, nil
}
