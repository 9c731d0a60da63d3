package console

import (
	"context"
	"net/http"
	"slices"
	"strings"

	"redwingloft/internal/data/document"
	"redwingloft/pkg/api"
)

// HostStatus is one entry host as this host knows it.
type HostStatus struct {
	Host       api.HostID     `json:"host"`
	DataCentre api.DataCentre `json:"data_centre"`
	Address    api.Address    `json:"address"`
	// Revision is the revision in force on the host; 0 means that it is not known.
	Revision api.Revision `json:"revision,omitempty"`
	State    string       `json:"state,omitempty"`
}

// UpstreamStatus is one upstream as this host knows it.
type UpstreamStatus struct {
	Upstream api.UpstreamID `json:"upstream"`
	Group    api.GroupName  `json:"group"`
	State    string         `json:"state"`
	InFlight int64          `json:"in_flight"`
}

// StageStatus accounts for one stage over all requests of this host.
type StageStatus struct {
	Pipeline api.PipelineName `json:"pipeline"`
	Stage    api.StageName    `json:"stage"`
	Attempts int64            `json:"attempts"`
	Cost     float64          `json:"cost"`
	// LostCost is the part of Cost spent on attempts whose result was not used.
	LostCost float64 `json:"lost_cost"`
}

// PipelineStatus counts the requests of one pipeline on this host.
type PipelineStatus struct {
	Pipeline api.PipelineName `json:"pipeline"`
	Requests int64            `json:"requests"`
	// Attained counts the requests answered completely within their deadline.
	Attained int64 `json:"attained"`
}

// Attainment returns the attained share of the requests, or 0 where there is none.
func (p PipelineStatus) Attainment() float64 {
	if p.Requests == 0 {
		return 0
	}
	return float64(p.Attained) / float64(p.Requests)
}

// Status is what the overview shows.
type Status struct {
	Host      api.HostID       `json:"host"`
	Revision  api.Revision     `json:"revision"`
	Hosts     []HostStatus     `json:"hosts"`
	Upstreams []UpstreamStatus `json:"upstreams"`
	Pipelines []PipelineStatus `json:"pipelines"`
	Stages    []StageStatus    `json:"stages"`
	// Counters holds the counters of refusals, failures and retries by name.
	Counters map[string]int64 `json:"counters"`
}

type counterView struct {
	Name  string
	Value int64
}

type overviewView struct {
	Status
	// Behind counts the hosts that report an older revision than this one.
	Behind    int
	Unhealthy int
	Refusals  []counterView
	Retries   []counterView
}

func (h *Handler) overview(r *visit) {
	view := overviewView{Status: h.Status()}
	for _, host := range view.Hosts {
		if host.Revision != 0 && host.Revision < view.Revision {
			view.Behind++
		}
	}
	for _, upstream := range view.Upstreams {
		view.Unhealthy += 1 - healthRank(upstream)
	}
	// The upstreams that need attention come first.
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
	h.page(r, http.StatusOK, "overview", "Overview", view)
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
	// Workspaces counts the workspaces that the version serves.
	Workspaces int
}

type pipelineRow struct {
	document.Pipeline
	Rows []versionRow
}

func (h *Handler) pipelines(r *visit) {
	doc, _ := h.current()
	served := map[document.Serve]int{}
	for _, workspace := range doc.Workspaces {
		for _, serve := range workspace.Serves {
			served[serve]++
		}
	}
	var rows []pipelineRow
	for _, pipeline := range doc.Pipelines {
		row := pipelineRow{Pipeline: pipeline}
		for _, version := range pipeline.Versions {
			row.Rows = append(row.Rows, versionRow{version, served[document.Serve{Pipeline: pipeline.Name, Version: version.Name}]})
		}
		rows = append(rows, row)
	}
	h.page(r, http.StatusOK, "pipelines", "Pipelines", rows)
}

func (h *Handler) services(r *visit) {
	doc, _ := h.current()
	h.page(r, http.StatusOK, "services", "Services", doc.Services)
}

func (h *Handler) groups(r *visit) {
	doc, _ := h.current()
	h.page(r, http.StatusOK, "groups", "Upstreams", doc.Groups)
}

// workspacesPage is the number of workspaces that the list shows at once.
const workspacesPage = 200

type workspacesView struct {
	Filter     string
	Matching   int
	Workspaces []document.Workspace
}

func (h *Handler) workspaces(r *visit) {
	doc, _ := h.current()
	view := workspacesView{Filter: r.URL.Query().Get(keyFilter)}
	matching := filterWorkspaces(doc.Workspaces, view.Filter)
	view.Matching = len(matching)
	view.Workspaces = matching[:min(len(matching), workspacesPage)]
	h.page(r, http.StatusOK, "workspaces", "Workspaces", view)
}

func (h *Handler) operators(r *visit) {
	doc, _ := h.current()
	h.page(r, http.StatusOK, "operators", "Operators", doc.Operators)
}

type historyView struct {
	Entries []Entry
	Base    api.Revision
	Fault   string
}

func (h *Handler) history(r *visit) {
	_, revision := h.current()
	view := historyView{Base: revision}
	var err error
	if view.Entries, err = h.Config.History(r.Context(), historyLimit); err != nil {
		view.Fault = "The history can't be read now: " + err.Error()
	}
	h.page(r, http.StatusOK, "history", "History", view)
}

type historyDiffView struct {
	From, To api.Revision
	Changes  []document.Change
}

func (h *Handler) historyDiff(r *visit) {
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
	h.page(r, http.StatusOK, "history_diff", "Difference", historyDiffView{from, to, changes})
}

func (h *Handler) diff(ctx context.Context, from, to api.Revision) ([]document.Change, error) {
	before, err := h.at(ctx, from)
	if err != nil {
		return nil, err
	}
	after, err := h.at(ctx, to)
	if err != nil {
		return nil, err
	}
	return document.Diff(before, after), nil
}
