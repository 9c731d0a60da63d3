package console

import (
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"redwingloft/internal/data/document"
	"redwingloft/pkg/api"
)

const (
	servingPath = "/serving"
	// servingPage is the number of workspaces that the table shows at once.
	servingPage = 50
	// cellPrefix starts the key of the choice of one workspace and pipeline: cell/WORKSPACE/PIPELINE.
	cellPrefix = "cell/"

	keyFilter = "filter"
	keyPage   = "page"
	keyChosen = "chosen"
	// keyBulk is the pipeline and the version, separated by a slash, for many workspaces.
	keyBulk  = "bulk"
	keyScope = "scope"
)

// The workspaces for which a bulk choice holds.
const (
	scopeChosen = "chosen"
	scopeFilter = "filter"
	scopeAll    = "all"
	// notServed is the version in a bulk choice that withdraws a pipeline.
	notServed = "-"
)

type cellView struct {
	Key      string
	Pipeline string
	Label    string
	Current  string
	Versions []option
}

type servingRow struct {
	Workspace string
	Chosen    bool
	Cells     []cellView
}

type servingView struct {
	Base      string
	Filter    string
	Pipelines []string
	Rows      []servingRow
	Bulk      []option
	Scope     string
	Matching  int
	All       int
	Page      int
	Previous  string
	Next      string
	Notice    string
	Faults    []faultView
	Hidden    []hidden
}

func (h *Handler) serving(r *visit) {
	doc, revision := h.current()
	query := r.URL.Query()
	values := url.Values{keyFilter: {query.Get(keyFilter)}, keyPage: {query.Get(keyPage)}, keyBase: {formatRevision(revision)}}
	h.showServing(r, http.StatusOK, doc, values, formNotes{})
}

// showServing shows which version of each pipeline serves which workspace.
func (h *Handler) showServing(r *visit, status int, doc *document.Document, values url.Values, notes formNotes) {
	filter := values.Get(keyFilter)
	matching := filterWorkspaces(doc.Workspaces, filter)
	page, _ := strconv.Atoi(values.Get(keyPage)) // anything else is the first page
	page = max(0, min(page, (len(matching)-1)/servingPage))
	view := servingView{
		Base: values.Get(keyBase), Filter: filter, Pipelines: names(doc.Pipelines, pipelineName, nil),
		Scope: values.Get(keyScope), Matching: len(matching), All: len(doc.Workspaces), Page: page,
		Notice: notes.Notice, Faults: faultViews(doc, notes, nil),
	}
	link := func(page int) string {
		return servingPath + "?" + url.Values{keyFilter: {filter}, keyPage: {strconv.Itoa(page)}}.Encode()
	}
	if page > 0 {
		view.Previous = link(page - 1)
	}
	end := min(len(matching), (page+1)*servingPage)
	if end < len(matching) {
		view.Next = link(page + 1)
	}
	shown := map[string]bool{keyChosen: true, keyBulk: true, keyScope: true, keyComment: true}
	chosen := map[string]bool{}
	for _, name := range values[keyChosen] {
		chosen[name] = true
	}
	for _, workspace := range matching[page*servingPage : end] {
		row := servingRow{Workspace: string(workspace.Name), Chosen: chosen[string(workspace.Name)]}
		for _, pipeline := range doc.Pipelines {
			cell := newCell(workspace, pipeline, values)
			shown[cell.Key] = true
			row.Cells = append(row.Cells, cell)
		}
		view.Rows = append(view.Rows, row)
	}
	for _, pipeline := range doc.Pipelines {
		for _, version := range append(names(pipeline.Versions, versionName, nil), notServed) {
			value := string(pipeline.Name) + "/" + version
			view.Bulk = append(view.Bulk, option{value, value == values.Get(keyBulk)})
		}
	}
	view.Hidden = hiddenValues(values, func(key string) bool { return shown[key] })
	h.page(r, status, "serving", "Serving", view)
}

func filterWorkspaces(workspaces []document.Workspace, filter string) []document.Workspace {
	var matching []document.Workspace
	for _, workspace := range workspaces {
		if strings.Contains(string(workspace.Name), strings.TrimSpace(filter)) {
			matching = append(matching, workspace)
		}
	}
	return matching
}

func newCell(workspace document.Workspace, pipeline document.Pipeline, values url.Values) cellView {
	cell := cellView{
		Key:      cellPrefix + string(workspace.Name) + "/" + string(pipeline.Name),
		Pipeline: string(pipeline.Name),
		Label:    "Version of " + string(pipeline.Name) + " for " + string(workspace.Name),
	}
	for _, serve := range workspace.Serves {
		if serve.Pipeline == pipeline.Name {
			cell.Current = string(serve.Version)
		}
	}
	if entered, posted := values[cell.Key]; posted {
		cell.Current = first(entered)
	}
	for _, version := range append([]string{""}, names(pipeline.Versions, versionName, nil)...) {
		cell.Versions = append(cell.Versions, option{version, version == cell.Current})
	}
	return cell
}

func servingForm() *form {
	return &form{
		path: servingPath, title: "Serving", list: servingPath,
		layout: func(*document.Document, url.Values) layout { return layout{} },
		apply: func(_ *visit, doc *document.Document, values url.Values, _ layout) outcome {
			index := make(map[string]*document.Workspace, len(doc.Workspaces))
			for i := range doc.Workspaces {
				index[string(doc.Workspaces[i].Name)] = &doc.Workspaces[i]
			}
			for key, value := range values {
				workspace, pipeline, isCell := strings.Cut(strings.TrimPrefix(key, cellPrefix), "/")
				if isCell && strings.HasPrefix(key, cellPrefix) && index[workspace] != nil {
					setServe(index[workspace], pipeline, first(value))
				}
			}
			return applyBulk(doc, index, values)
		},
	}
}

// applyBulk gives many workspaces one version.
func applyBulk(doc *document.Document, index map[string]*document.Workspace, values url.Values) outcome {
	if values.Get(keyBulk) == "" {
		return outcome{}
	}
	pipeline, version, found := strings.Cut(values.Get(keyBulk), "/")
	if !found {
		return outcome{faults: []api.Fault{{Path: keyBulk, Message: "choose a pipeline and a version"}}}
	}
	if version == notServed {
		version = ""
	}
	var targets []string
	switch values.Get(keyScope) {
	case scopeAll:
		targets = names(doc.Workspaces, workspaceName, nil)
	case scopeFilter:
		targets = names(filterWorkspaces(doc.Workspaces, values.Get(keyFilter)), workspaceName, nil)
	default:
		targets = values[keyChosen]
	}
	if len(targets) == 0 {
		return outcome{faults: []api.Fault{{Path: keyChosen, Message: "the bulk choice names no workspace: mark some rows or choose another range"}}}
	}
	for _, name := range targets {
		if workspace := index[name]; workspace != nil {
			setServe(workspace, pipeline, version)
		}
	}
	return outcome{}
}
