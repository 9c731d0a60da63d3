package console

import (
	"context"
	"net/http"
	"slices"
	"strings"

	"redwingloft/internal/data/document"
	"redwingloft/pkg/api"
)

// HostStatus is the status of an entry host as known to this host.
type HostStatus struct {
	Host       api.HostID     `json:"host"`
	DataCentre api.DataCentre `json:"data_centre"`
	Address    api.Address    `json:"address"`
	// Revision is the active revision of the host; 0 means that it is not known.
	Revision api.Revision `json:"revision,omitempty"`
	State    string       `json:"state,omitempty"`
}

// UpstreamStatus is the status of an upstream as known to this host.
type UpstreamStatus struct {
	Upstream api.UpstreamID `json:"upstream"`
	Group    api.GroupName  `json:"group"`
	State    string         `json:"state"`
	InFlight int64          `json:"in_flight"`
}

// StageStatus contains the attempts and costs of a stage over all requests of this host.
type StageStatus struct {
	Pipeline api.PipelineName `json:"pipeline"`
	Stage    api.StageName    `json:"stage"`
	Attempts int64            `json:"attempts"`
	Cost     float64          `json:"cost"`
	// LostCost is the part of Cost spent on attempts whose result was not used.
	LostCost float64 `json:"lost_cost"`
}

// PipelineStatus contains the request counts of a pipeline on this host.
type PipelineStatus struct {
	Pipeline api.PipelineName `json:"pipeline"`
	Requests int64            `json:"requests"`
	// Attained counts the requests with a complete response within their deadline.
	Attained int64 `json:"attained"`
}

// Attainment returns the attained share of the requests, or 0 if there are none.
func (p PipelineStatus) Attainment() float64 {
	if p.Requests == 0 {
		return 0
	}
	return float64(p.Attained) / float64(p.Requests)
}

// Status is the status of the site as shown on the overview page.
type Status struct {
	Host      api.HostID       `json:"host"`
	Revision  api.Revision     `json:"revision"`
	Hosts     []HostStatus     `json:"hosts"`
	Upstreams []UpstreamStatus `json:"upstreams"`
	Pipelines []PipelineStatus `json:"pipelines"`
	Stages    []StageStatus    `json:"stages"`
	// Counters contains the counters of refusals, failures and retries by name.
	Counters map[string]int64 `json:"counters"`
}

type counterView struct {
	Name  string
	Value int64
}

type overviewView struct {
	Status
	// Behind counts the hosts that report an older revision than this host's.
	Behind    int
	Unhealthy int
	Refusals  []counterView
	Retries   []counterView
}

func (h *Handler) overview(r *operatorRequest) {
	view := overviewView{Status: h.Status()}
	for _, host := range view.Hosts {
		if host.Revision != 0 && host.Revision < view.Revision {
			view.Behind++
		}
	}
	for _, upstream := range view.Upstreams {
		view.Unhealthy += 1 - healthRank(upstream)
	}
	// Unhealthy upstreams are listed first.
	slices.SortStableFunc(view.Upstreams, func(a, b UpstreamStatus) int {
		return healthRank(a) - healthRank(b)
	})
	for name, value := range view.Counters {
		switch {
		case value == 0:
		case strings.HasPrefix(name, "retry") || strings.HasPrefix(name, "hedge"):
			view.Retries = append(view.Retries, counterView{name, value})
		case strings.HasPrefix(name, "refused.") || strings.HasPrefix(name, "failed."):
			view.Refusals = append(view.Refusals, counterView{name, value})
		}
	}
	byName := func(a, b counterView) int { return strings.Compare(a.Name, b.Name) }
	slices.SortFunc(view.Refusals, byName)
	slices.SortFunc(view.Retries, byName)
	h.renderPage(r, http.StatusOK, "overview", "Overview", view)
}

// healthRank is 1 for a healthy upstream and 0 for others.
func healthRank(upstream UpstreamStatus) int {
	if upstream.State == "healthy" {
		return 1
	}
	return 0
}

type versionRow struct {
	document.Version
	// Workspaces counts the workspaces that use the version.
	Workspaces int
}

type pipelineRow struct {
	document.Pipeline
	Rows []versionRow
}

func (h *Handler) pipelines(r *operatorRequest) {
	doc, _ := h.activeDocument()
	workspaceCounts := map[document.PipelineVersion]int{}
	for _, workspace := range doc.Workspaces {
		for _, serve := range workspace.Serves {
			workspaceCounts[serve]++
		}
	}
	var rows []pipelineRow
	for _, pipeline := range doc.Pipelines {
		row := pipelineRow{Pipeline: pipeline}
		for _, version := range pipeline.Versions {
			row.Rows = append(row.Rows, versionRow{version, workspaceCounts[document.PipelineVersion{Pipeline: pipeline.Name, Version: version.Name}]})
		}
		rows = append(rows, row)
	}
	h.renderPage(r, http.StatusOK, "pipelines", "Pipelines", rows)
}

func (h *Handler) services(r *operatorRequest) {
	doc, _ := h.activeDocument()
	h.renderPage(r, http.StatusOK, "services", "Services", doc.Services)
}

func (h *Handler) groups(r *operatorRequest) {
	doc, _ := h.activeDocument()
	h.renderPage(r, http.StatusOK, "groups", "Upstreams", doc.Groups)
}

// maxListedWorkspaces is the maximum number of workspaces on the workspaces page.
const maxListedWorkspaces = 200

type workspacesView struct {
	Filter     string
	Matching   int
	Workspaces []document.Workspace
}

func (h *Handler) workspaces(r *operatorRequest) {
	doc, _ := h.activeDocument()
	view := workspacesView{Filter: r.URL.Query().Get(keyFilter)}
	matching := filterWorkspaces(doc.Workspaces, view.Filter)
	view.Matching = len(matching)
	view.Workspaces = matching[:min(len(matching), maxListedWorkspaces)]
	h.renderPage(r, http.StatusOK, "workspaces", "Workspaces", view)
}

func (h *Handler) operators(r *operatorRequest) {
	doc, _ := h.activeDocument()
	h.renderPage(r, http.StatusOK, "operators", "Operators", doc.Operators)
}

type historyView struct {
	Entries []HistoryEntry
	Base    api.Revision
	Fault   string
}

func (h *Handler) history(r *operatorRequest) {
	_, revision := h.activeDocument()
	view := historyView{Base: revision}
	var err error
	if view.Entries, err = h.Config.History(r.Context(), defaultHistoryLimit); err != nil {
		view.Fault = "The history can't be read: " + err.Error()
	}
	h.renderPage(r, http.StatusOK, "history", "History", view)
}

type historyDiffView struct {
	From, To api.Revision
	Changes  []document.Change
}

func (h *Handler) historyDiff(r *operatorRequest) {
	from, err := parseRevision(r.URL.Query().Get("from"))
	if err != nil {
		h.showError(r, http.StatusBadRequest, "Choose two revisions.")
		return
	}
	to, err := parseRevision(r.URL.Query().Get("to"))
	if err != nil {
		h.showError(r, http.StatusBadRequest, "Choose two revisions.")
		return
	}
	changes, err := h.diff(r.Context(), from, to)
	if err != nil {
		h.showError(r, http.StatusNotFound, "The revisions can't be read: "+err.Error())
		return
	}
	h.renderPage(r, http.StatusOK, "history_diff", "Difference", historyDiffView{from, to, changes})
}

func (h *Handler) diff(ctx context.Context, from, to api.Revision) ([]document.Change, error) {
	before, err := h.documentAt(ctx, from)
	if err != nil {
		return nil, err
	}
	after, err := h.documentAt(ctx, to)
	if err != nil {
		return nil, err
	}
	return document.Diff(before, after), nil
}
