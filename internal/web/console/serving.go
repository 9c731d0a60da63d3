package console

import (
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"redwingloft/internal/data/document"
	"redwingloft/pkg/api"
)

// Path, page size and keys of the serving form.
const (
	servingPath = "/serving"
	// workspacesPerPage is the number of workspaces on one page of the table.
	workspacesPerPage = 50
	// cellPrefix is the prefix of the key of a table cell: cell/WORKSPACE/PIPELINE.
	cellPrefix = "cell/"

	keyFilter = "filter"
	keyPage   = "page"
	keyChosen = "chosen"
	// keyBulk is the pipeline and version of a bulk change, separated by a slash.
	keyBulk  = "bulk"
	keyScope = "scope"
)

// Workspaces to which a bulk change applies.
const (
	scopeChosen = "chosen"
	scopeFilter = "filter"
	scopeAll    = "all"
	// notServed is the version in a bulk change that removes the pipeline.
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
	Hidden    []hiddenField
}

func (h *Handler) serving(r *operatorRequest) {
	doc, revision := h.activeDocument()
	query := r.URL.Query()
	values := url.Values{keyFilter: {query.Get(keyFilter)}, keyPage: {query.Get(keyPage)}, keyBase: {formatRevision(revision)}}
	h.showServing(r, http.StatusOK, doc, values, formNotes{})
}

// showServing shows the version of each pipeline that serves each workspace.
func (h *Handler) showServing(r *operatorRequest, status int, doc *document.Document, values url.Values, notes formNotes) {
	filter := values.Get(keyFilter)
	matching := filterWorkspaces(doc.Workspaces, filter)
	page, _ := strconv.Atoi(values.Get(keyPage)) // an invalid number means the first page
	page = max(0, min(page, (len(matching)-1)/workspacesPerPage))
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
	end := min(len(matching), (page+1)*workspacesPerPage)
	if end < len(matching) {
		view.Next = link(page + 1)
	}
	visibleKeys := map[string]bool{keyChosen: true, keyBulk: true, keyScope: true, keyComment: true}
	chosen := map[string]bool{}
	for _, name := range values[keyChosen] {
		chosen[name] = true
	}
	for _, workspace := range matching[page*workspacesPerPage : end] {
		row := servingRow{Workspace: string(workspace.Name), Chosen: chosen[string(workspace.Name)]}
		for _, pipeline := range doc.Pipelines {
			cell := newCell(workspace, pipeline, values)
			visibleKeys[cell.Key] = true
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
	view.Hidden = hiddenFields(values, func(key string) bool { return visibleKeys[key] })
	h.renderPage(r, status, "serving", "Serving", view)
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
		cell.Current = firstValue(entered)
	}
	for _, version := range append([]string{""}, names(pipeline.Versions, versionName, nil)...) {
		cell.Versions = append(cell.Versions, option{version, version == cell.Current})
	}
	return cell
}

func servingForm() *form {
	return &form{
		path: servingPath, title: "Serving", listPath: servingPath,
		layout: func(*document.Document, url.Values) layout { return layout{} },
		apply: func(_ *operatorRequest, doc *document.Document, values url.Values, _ layout) applyResult {
			index := make(map[string]*document.Workspace, len(doc.Workspaces))
			for i := range doc.Workspaces {
				index[string(doc.Workspaces[i].Name)] = &doc.Workspaces[i]
			}
			for key, value := range values {
				workspace, pipeline, isCell := strings.Cut(strings.TrimPrefix(key, cellPrefix), "/")
				if isCell && strings.HasPrefix(key, cellPrefix) && index[workspace] != nil {
					setVersion(index[workspace], pipeline, firstValue(value))
				}
			}
			return applyBulk(doc, index, values)
		},
	}
}

// applyBulk sets the same version of a pipeline for several workspaces.
func applyBulk(doc *document.Document, index map[string]*document.Workspace, values url.Values) applyResult {
	if values.Get(keyBulk) == "" {
		return applyResult{}
	}
	pipeline, version, found := strings.Cut(values.Get(keyBulk), "/")
	if !found {
		return applyResult{faults: []api.Fault{{Path: keyBulk, Message: "choose a pipeline and a version"}}}
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
		return applyResult{faults: []api.Fault{{Path: keyChosen, Message: "the bulk change applies to no workspace: select some rows or another scope"}}}
	}
	for _, name := range targets {
		if workspace := index[name]; workspace != nil {
			setVersion(workspace, pipeline, version)
		}
	}
	return applyResult{}
}
