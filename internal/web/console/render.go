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
var files embed.FS

var pageNames = []string{
	"sign_in", "overview", "pipelines", "services", "groups", "workspaces", "operators", "history",
	"history_diff", "serving", "document", "form", "review", "conflict", "committed", "error",
}

// pages maps each page to its template. It is read-only.
var pages = parsePages()

func parsePages() map[string]*template.Template {
	functions := template.FuncMap{
		"time":    func(t time.Time) string { return t.UTC().Format("2006-01-02 15:04:05 UTC") },
		"percent": func(share float64) string { return fmt.Sprintf("%.2f\u00a0%%", 100*share) },
		// The stages before the model cost some ten-thousandths of it.
		"amount": func(amount float64) string { return strconv.FormatFloat(amount, 'f', 4, 64) },
		"number": func(value float64) string { return strconv.FormatFloat(value, 'g', -1, 64) },
	}
	all := make(map[string]*template.Template, len(pageNames))
	for _, name := range pageNames {
		all[name] = template.Must(template.New("layout.html").Funcs(functions).
			ParseFS(files, "templates/layout.html", "templates/parts.html", "templates/"+name+".html"))
	}
	return all
}

// frame is what the layout shows around a page.
type frame struct {
	Title    string
	Operator *document.Operator
	Token    string
	Site     string
	Revision api.Revision
	Nav      []navItem
	View     any
}

// Editor reports whether the operator may change the configuration.
func (f frame) Editor() bool { return f.Operator != nil && f.Operator.Role == document.RoleEditor }

type navItem struct {
	Path, Label string
	Current     bool
}

func serveStyle(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Cache-Control", "max-age=3600")
	http.ServeFileFS(w, r, files, "templates/style.css")
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

// page renders a page for a signed-in operator.
func (h *Handler) page(r *visit, status int, name, title string, view any) {
	h.pageOf(r, r.URL.Path, status, name, title, view)
}

// pageOf renders a page that belongs to the entry of the navigation with the given path.
func (h *Handler) pageOf(r *visit, path string, status int, name, title string, view any) {
	doc, revision := h.current()
	h.execute(r.w, status, name, frame{
		Title: title, Operator: r.operator, Token: r.token, Site: doc.Deployment, Revision: revision,
		Nav: navigation(r.operator, path), View: view,
	})
}

// render renders a page for a visitor who is not signed in.
func (h *Handler) render(w http.ResponseWriter, status int, name string, view any) {
	doc, _ := h.current()
	h.execute(w, status, name, frame{Title: "Sign in", Site: doc.Deployment, View: view})
}

func (h *Handler) execute(w http.ResponseWriter, status int, name string, f frame) {
	var out bytes.Buffer
	if err := pages[name].Execute(&out, f); err != nil {
		h.Log.Error().Err(err).Str("page", name).Msg("page_failed")
		http.Error(w, "the page can't be shown", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	w.WriteHeader(status)
	// The browser may have left; there is nobody to tell.
	_, _ = w.Write(out.Bytes())
}

type signInView struct{ Name, Next, Fault string }

type errorView struct {
	Message string
	// Form, where not nil, leads back to the form with everything that was entered.
	Form *resend
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

func (h *Handler) showError(r *visit, status int, message string) {
	h.page(r, status, "error", http.StatusText(status), errorView{Message: message})
}

// showFailure shows an error that stopped a form and offers to send the same form again.
func (h *Handler) showFailure(r *visit, c *change, err error) {
	answer := fault.ToAPI(err, "")
	status := api.Kinds[answer.Kind].Status
	h.page(r, status, "error", http.StatusText(status), errorView{Message: answer.Message, Form: newResend(c)})
}

// hidden is one value that a form carries without showing it.
type hidden struct{ Key, Value string }

// resend is a form that carries all values of another one.
type resend struct {
	Path   string
	Hidden []hidden
}

func newResend(c *change) *resend {
	return &resend{Path: c.form.path, Hidden: hiddenValues(c.values, func(key string) bool { return key == keyComment })}
}

func hiddenValues(values url.Values, shown func(string) bool) []hidden {
	var all []hidden
	for key, list := range values {
		if shown(key) {
			continue
		}
		for _, value := range list {
			all = append(all, hidden{key, value})
		}
	}
	slices.SortStableFunc(all, func(a, b hidden) int { return strings.Compare(a.Key, b.Key) })
	return all
}

// formNotes is what a form shows beside its fields.
type formNotes struct {
	Notice string
	faults []api.Fault
	// prefix is the path of the edited element, below which faults belong to fields.
	prefix string
	// more asks for additional blank rows.
	more bool
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
	// Upload asks for the encoding of files. It is used only where it is needed,
	// because Go admits at most 1000 parts in it, fewer than a group of 250 upstreams has.
	Upload    bool
	Notice    string
	Faults    []faultView
	Fields    []fieldView
	RowsLabel string
	Rows      []rowView
	Hidden    []hidden
}

var unsafeID = regexp.MustCompile(`[^a-z0-9_-]+`)

func fieldID(key string) string { return "f-" + unsafeID.ReplaceAllString(strings.ToLower(key), "-") }

// renderForm shows a form filled in with values.
func (h *Handler) renderForm(r *visit, f *form, status int, doc *document.Document, values url.Values, notes formNotes) {
	values.Del(keyRemove)
	if f.path == servingPath {
		h.showServing(r, status, doc, values, notes)
		return
	}
	l := f.layout(doc, values)
	rows := compact(values, l.Rows)
	byKey := faultsByKey(notes)
	view := formView{
		Path: f.path, List: f.list, Item: values.Get(keyItem), Base: values.Get(keyBase), Notice: notes.Notice,
		Removable: f.removable && values.Get(keyItem) != "",
	}
	shown := map[string]string{}
	for _, declared := range l.Fields {
		view.Upload = view.Upload || declared.Kind == fieldFile
		view.Fields = append(view.Fields, newFieldView(declared, declared.Key, values, byKey, shown))
	}
	if l.Rows != nil {
		view.RowsLabel = l.Rows.Label
		spare := spareRows
		if notes.more {
			spare = 4 * spareRows
		}
		shown[l.Rows.Key] = fieldID(rowKey(l.Rows, 0, l.Rows.Columns[0].Key))
		for i := range rows + spare {
			view.Rows = append(view.Rows, newRowView(l.Rows, i, i >= rows, values, byKey, shown))
		}
	}
	view.Faults = faultViews(doc, notes, shown)
	view.Hidden = hiddenValues(values, func(key string) bool { _, is := shown[key]; return is && key != "name" || key == keyComment })
	h.pageOf(r, f.list, status, "form", formTitle(f, values), view)
}

// formTitle names the element that a form edits.
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

// faultsByKey maps the keys of fields to the messages of their faults.
func faultsByKey(notes formNotes) map[string][]string {
	byKey := map[string][]string{}
	for _, f := range notes.faults {
		key := strings.TrimPrefix(f.Path, notes.prefix)
		byKey[key] = append(byKey[key], f.Message)
	}
	return byKey
}

func faultViews(doc *document.Document, notes formNotes, shown map[string]string) []faultView {
	var views []faultView
	for _, f := range notes.faults {
		views = append(views, faultView{
			Path: namedPath(doc, f.Path), Message: f.Message, ID: shown[strings.TrimPrefix(f.Path, notes.prefix)],
		})
	}
	return views
}

func newRowView(set *rowSet, i int, spare bool, values url.Values, faults map[string][]string, shown map[string]string) rowView {
	view := rowView{
		Title: fmt.Sprintf("%s %d", set.Item, i+1), Key: fmt.Sprintf("%s[%d]", set.Key, i),
		Position: i + 1, Ordered: set.Ordered, Spare: spare,
	}
	if spare {
		view.Title = "New " + strings.ToLower(set.Item)
	}
	for _, column := range set.Columns {
		view.Fields = append(view.Fields, newFieldView(column, rowKey(set, i, column.Key), values, faults, shown))
	}
	// A fault of the row as a whole is shown at its first field.
	view.Fields[0].Faults = append(view.Fields[0].Faults, faults[view.Key]...)
	shown[view.Key] = view.Fields[0].ID
	return view
}

func newFieldView(f field, key string, values url.Values, faults map[string][]string, shown map[string]string) fieldView {
	view := fieldView{field: f, ID: fieldID(key), Name: key, Value: values.Get(key), Faults: faults[key]}
	options := f.Options
	if f.Kind == fieldSelect && view.Value != "" && !slices.Contains(options, view.Value) {
		// A value that is no longer offered stays chosen, so that the operator sees it.
		options = append(slices.Clone(options), view.Value)
	}
	for _, value := range options {
		view.Options = append(view.Options, option{value, slices.Contains(values[key], value)})
	}
	shown[key] = view.ID
	return view
}

var indexPattern = regexp.MustCompile(`^(pipelines|groups|services|workspaces|operators)\[(\d+)\]`)

// namedPath puts the name of an element in the place of its number.
func namedPath(doc *document.Document, path string) string {
	match := indexPattern.FindStringSubmatch(path)
	if match == nil {
		return path
	}
	i, _ := strconv.Atoi(match[2]) // the pattern admits digits only
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
