package console

import (
	"bytes"
	"embed"
	"fmt"
	"html/template"
	"net/http"
	"net/url"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"redwingloft/internal/data/document"
	"redwingloft/internal/helper/fault"
	"redwingloft/pkg/api"
)

//go:embed templates
var templateFiles embed.FS

var pageNames = []string{
	"sign_in", "overview", "pipelines", "services", "groups", "workspaces", "operators", "history",
	"history_diff", "serving", "document", "form", "review", "conflict", "committed", "error",
}

// pageTemplates contains the template of each page. It is read-only.
var pageTemplates = parsePages()

func parsePages() map[string]*template.Template {
	functions := template.FuncMap{
		"time":    func(t time.Time) string { return t.UTC().Format("2006-01-02 15:04:05 UTC") },
		"percent": func(share float64) string { return fmt.Sprintf("%.2f\u00a0%%", 100*share) },
		// Four decimals, because the stages before the model cost some ten-thousandths of it.
		"amount": func(amount float64) string { return strconv.FormatFloat(amount, 'f', 4, 64) },
		"number": func(value float64) string { return strconv.FormatFloat(value, 'g', -1, 64) },
	}
	all := make(map[string]*template.Template, len(pageNames))
	for _, name := range pageNames {
		all[name] = template.Must(template.New("layout.html").Funcs(functions).
			ParseFS(templateFiles, "templates/layout.html", "templates/parts.html", "templates/"+name+".html"))
	}
	return all
}

// pageData is the data of the layout template.
type pageData struct {
	Title    string
	Operator *document.Operator
	Token    string
	Site     string
	Revision api.Revision
	Nav      []navItem
	View     any
}

// Editor reports whether the operator is allowed to change the configuration.
func (p pageData) Editor() bool { return p.Operator != nil && p.Operator.Role == document.RoleEditor }

type navItem struct {
	Path, Label string
	Current     bool
}

func serveStyle(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Cache-Control", "max-age=3600")
	http.ServeFileFS(w, r, templateFiles, "templates/style.css")
}

func navigation(operator *document.Operator, path string) []navItem {
	items := []navItem{
		{Path: "/", Label: "Overview"},
		{Path: "/pipelines", Label: "Pipelines"},
		{Path: "/serving", Label: "Serving"},
		{Path: "/services", Label: "Services"},
		{Path: "/groups", Label: "Upstreams"},
		{Path: "/workspaces", Label: "Workspaces"},
		{Path: "/history", Label: "History"},
		{Path: "/document", Label: "Document"},
	}
	if operator.Role == document.RoleEditor {
		items = append(items, navItem{Path: "/operators", Label: "Operators"}, navItem{Path: "/site", Label: "Site"})
	}
	for i := range items {
		items[i].Current = items[i].Path == path || items[i].Path != "/" && strings.HasPrefix(path, items[i].Path+"/")
	}
	return items
}

// renderPage renders a page for a signed-in operator.
func (h *Handler) renderPage(r *operatorRequest, status int, name, title string, view any) {
	h.renderPageIn(r, r.URL.Path, status, name, title, view)
}

// renderPageIn renders a page and marks the navigation item with the given path as current.
func (h *Handler) renderPageIn(r *operatorRequest, path string, status int, name, title string, view any) {
	doc, revision := h.activeDocument()
	h.renderTemplate(r.w, status, name, pageData{
		Title: title, Operator: r.operator, Token: r.token, Site: doc.Deployment, Revision: revision,
		Nav: navigation(r.operator, path), View: view,
	})
}

// renderSignedOut renders a page for a user who is not signed in.
func (h *Handler) renderSignedOut(w http.ResponseWriter, status int, name string, view any) {
	doc, _ := h.activeDocument()
	h.renderTemplate(w, status, name, pageData{Title: "Sign in", Site: doc.Deployment, View: view})
}

func (h *Handler) renderTemplate(w http.ResponseWriter, status int, name string, data pageData) {
	var out bytes.Buffer
	if err := pageTemplates[name].Execute(&out, data); err != nil {
		h.Log.Error().Err(err).Str("page", name).Msg("page_failed")
		http.Error(w, "the page can't be shown", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	w.WriteHeader(status)
	// The browser may have disconnected; a write error is ignored.
	_, _ = w.Write(out.Bytes())
}

type signInView struct{ Name, Next, Fault string }

type errorView struct {
	Message string
	// Form, if not nil, resubmits the form with all entered values.
	Form *resubmitForm
}

type documentView struct {
	Revision api.Revision
	Text     string
}

type committedView struct {
	Revision   api.Revision
	Changes    []document.Change
	Credential string
	List       string
}

func (h *Handler) showError(r *operatorRequest, status int, message string) {
	h.renderPage(r, status, "error", http.StatusText(status), errorView{Message: message})
}

// showFailure shows an error and lets the operator resubmit the same form.
func (h *Handler) showFailure(r *operatorRequest, s *submission, err error) {
	apiError := fault.ToAPI(err, "")
	status := api.Kinds[apiError.Kind].Status
	h.renderPage(r, status, "error", http.StatusText(status), errorView{Message: apiError.Message, Form: newResubmitForm(s)})
}

// hiddenField is a hidden input of a form.
type hiddenField struct{ Key, Value string }

// resubmitForm is a form with all values of another form as hidden fields.
type resubmitForm struct {
	Path   string
	Hidden []hiddenField
}

func newResubmitForm(s *submission) *resubmitForm {
	return &resubmitForm{Path: s.form.path, Hidden: hiddenFields(s.values, func(key string) bool { return key == keyComment })}
}

func hiddenFields(values url.Values, skip func(string) bool) []hiddenField {
	var all []hiddenField
	for key, list := range values {
		if skip(key) {
			continue
		}
		for _, value := range list {
			all = append(all, hiddenField{key, value})
		}
	}
	slices.SortStableFunc(all, func(a, b hiddenField) int { return strings.Compare(a.Key, b.Key) })
	return all
}

// formNotes contains the messages and options for displaying a form.
type formNotes struct {
	Notice string
	faults []api.Fault
	// prefix is the path of the edited element; faults below it are assigned to fields.
	prefix string
	// moreRows requests additional blank rows.
	moreRows bool
}

type option struct {
	Value    string
	Selected bool
}

type fieldView struct {
	field
	ID      string
	Name    string
	Value   string
	Options []option
	Faults  []string
}

type rowView struct {
	Title    string
	Key      string
	Position int
	Ordered  bool
	Spare    bool
	Fields   []fieldView
}

type faultView struct{ Path, Message, ID string }

type formView struct {
	Path      string
	List      string
	Item      string
	Base      string
	Removable bool
	// Upload selects multipart encoding. It is used only for file uploads, because Go accepts
	// at most 1000 parts, fewer than the form of a group with 250 upstreams has.
	Upload    bool
	Notice    string
	Faults    []faultView
	Fields    []fieldView
	RowsLabel string
	Rows      []rowView
	Hidden    []hiddenField
}

var invalidIDChars = regexp.MustCompile(`[^a-z0-9_-]+`)

func fieldID(key string) string {
	return "f-" + invalidIDChars.ReplaceAllString(strings.ToLower(key), "-")
}

// renderForm renders a form with the given values.
func (h *Handler) renderForm(r *operatorRequest, f *form, status int, doc *document.Document, values url.Values, notes formNotes) {
	values.Del(keyRemove)
	if f.path == servingPath {
		h.showServing(r, status, doc, values, notes)
		return
	}
	l := f.layout(doc, values)
	rows := renumberRows(values, l.Rows)
	byKey := faultsByKey(notes)
	view := formView{
		Path: f.path, List: f.listPath, Item: values.Get(keyItem), Base: values.Get(keyBase), Notice: notes.Notice,
		Removable: f.removable && values.Get(keyItem) != "",
	}
	fieldIDs := map[string]string{}
	for _, formField := range l.Fields {
		view.Upload = view.Upload || formField.Kind == fieldFile
		view.Fields = append(view.Fields, newFieldView(formField, formField.Key, values, byKey, fieldIDs))
	}
	if l.Rows != nil {
		view.RowsLabel = l.Rows.Label
		spare := spareRows
		if notes.moreRows {
			spare = 4 * spareRows
		}
		fieldIDs[l.Rows.Key] = fieldID(rowKey(l.Rows, 0, l.Rows.Columns[0].Key))
		for i := range rows + spare {
			view.Rows = append(view.Rows, newRowView(l.Rows, i, i >= rows, values, byKey, fieldIDs))
		}
	}
	view.Faults = faultViews(doc, notes, fieldIDs)
	view.Hidden = hiddenFields(values, func(key string) bool { _, ok := fieldIDs[key]; return ok && key != "name" || key == keyComment })
	h.renderPageIn(r, f.listPath, status, "form", formTitle(f, values), view)
}

// formTitle returns the title of a form, including the name of the edited element.
func formTitle(f *form, values url.Values) string {
	title := f.title
	if item := values.Get(keyItem); item != "" {
		title += " " + item
	} else if f.removable {
		title = "New " + strings.ToLower(title)
	}
	if pipeline := values.Get(keyPipeline); pipeline != "" {
		title += " of " + pipeline
	}
	return title
}

// faultsByKey returns the fault messages by field key.
func faultsByKey(notes formNotes) map[string][]string {
	byKey := map[string][]string{}
	for _, f := range notes.faults {
		key := strings.TrimPrefix(f.Path, notes.prefix)
		byKey[key] = append(byKey[key], f.Message)
	}
	return byKey
}

func faultViews(doc *document.Document, notes formNotes, fieldIDs map[string]string) []faultView {
	var views []faultView
	for _, f := range notes.faults {
		views = append(views, faultView{
			Path: namedPath(doc, f.Path), Message: f.Message, ID: fieldIDs[strings.TrimPrefix(f.Path, notes.prefix)],
		})
	}
	return views
}

func newRowView(set *rowSet, i int, spare bool, values url.Values, faults map[string][]string, fieldIDs map[string]string) rowView {
	view := rowView{
		Title: fmt.Sprintf("%s %d", set.Item, i+1), Key: fmt.Sprintf("%s[%d]", set.Key, i),
		Position: i + 1, Ordered: set.Ordered, Spare: spare,
	}
	if spare {
		view.Title = "New " + strings.ToLower(set.Item)
	}
	for _, column := range set.Columns {
		view.Fields = append(view.Fields, newFieldView(column, rowKey(set, i, column.Key), values, faults, fieldIDs))
	}
	// A fault of the row itself is shown at its first field.
	view.Fields[0].Faults = append(view.Fields[0].Faults, faults[view.Key]...)
	fieldIDs[view.Key] = view.Fields[0].ID
	return view
}

func newFieldView(f field, key string, values url.Values, faults map[string][]string, fieldIDs map[string]string) fieldView {
	view := fieldView{field: f, ID: fieldID(key), Name: key, Value: values.Get(key), Faults: faults[key]}
	options := f.Options
	if f.Kind == fieldSelect && view.Value != "" && !slices.Contains(options, view.Value) {
		// A value that is no longer available stays selected, so that the operator sees it.
		options = append(slices.Clone(options), view.Value)
	}
	for _, value := range options {
		view.Options = append(view.Options, option{value, slices.Contains(values[key], value)})
	}
	fieldIDs[key] = view.ID
	return view
}

var indexPattern = regexp.MustCompile(`^(pipelines|groups|services|workspaces|operators)\[(\d+)\]`)

// namedPath replaces the index of an element in a path by the element's name.
func namedPath(doc *document.Document, path string) string {
	match := indexPattern.FindStringSubmatch(path)
	if match == nil {
		return path
	}
	i, _ := strconv.Atoi(match[2]) // the pattern matches only digits
	lists := map[string][]string{
		"pipelines": names(doc.Pipelines, pipelineName, nil), "groups": names(doc.Groups, groupName, nil),
		"services": names(doc.Services, serviceName, nil), "workspaces": names(doc.Workspaces, workspaceName, nil),
		"operators": names(doc.Operators, operatorName, nil),
	}
	if list := lists[match[1]]; i < len(list) && list[i] != "" {
		return match[1] + "[" + list[i] + "]" + strings.TrimPrefix(path, match[0])
	}
	return path
}
