package console

import (
	"net/http"
	"net/url"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"redwingloft/internal/data/document"
	"redwingloft/internal/helper/fault"
	"redwingloft/pkg/api"
)

// Names of the fields that every form carries.
const (
	keyToken  = "token"
	keyAction = "action"
	// keyBase is the revision from which the form was made.
	keyBase = "base"
	// keyOnto is the revision onto which the change is rebased, where that is another one.
	keyOnto = "onto"
	// keyItem names the element that is edited; it is empty for a new one.
	keyItem    = "item"
	keyRemove  = "remove"
	keyComment = "comment"
)

// The actions of a form.
const (
	actionReview = "review"
	actionCommit = "commit"
	// actionEdit shows the form again, filled in.
	actionEdit   = "edit"
	actionMore   = "more"
	actionRemove = "remove"
	// actionRebase rebases the change onto the revision in force and shows it for review.
	actionRebase = "rebase"
	// actionRestart shows the form again on top of the revision in force.
	actionRestart = "restart"
)

// outcome is what a form made of a document.
type outcome struct {
	// prefix is the path of the edited element with its final separator; the faults below it belong to fields.
	prefix string
	faults []api.Fault
	// credential is a new token that is shown once, after the commit.
	credential string
}

// form is one kind of change. Its functions get the document of the base revision.
type form struct {
	path  string
	title string
	// list is the page to which the form belongs.
	list string
	// get tells that the form has a page of its own at path.
	get       bool
	removable bool
	layout    func(doc *document.Document, values url.Values) layout
	// fill returns the first values; false means that the element does not exist.
	fill func(doc *document.Document, query url.Values) (url.Values, bool)
	// apply changes doc.
	apply func(r *visit, doc *document.Document, values url.Values, l layout) outcome
}

// showForm shows a form filled from the document in force.
func (h *Handler) showForm(r *visit, f *form) {
	doc, revision := h.current()
	query := r.URL.Query()
	values, found := f.fill(doc, query)
	if !found {
		h.showError(r, http.StatusNotFound, "There is no such element in revision "+formatRevision(revision)+".")
		return
	}
	values.Set(keyBase, formatRevision(revision))
	h.renderForm(r, f, http.StatusOK, doc, values, formNotes{})
}

// change is a posted form with what was made of it.
type change struct {
	form   *form
	values url.Values
	base   api.Revision
	// onto is the revision on which the result is committed.
	onto    api.Revision
	baseDoc *document.Document
	ontoDoc *document.Document
	// mine is the base with the change; result is that on top of onto.
	mine    *document.Document
	result  *document.Document
	outcome outcome
}

// submit checks a posted form and leads through review to the commit.
func (h *Handler) submit(r *visit, f *form) {
	c := &change{form: f, values: formValues(r.PostForm)}
	action := r.PostForm.Get(keyAction)
	if action == actionRemove {
		c.values.Set(keyRemove, "yes")
	}
	if r.MultipartForm != nil && len(r.MultipartForm.File["upload"]) > 0 {
		if err := readUpload(r, c.values); err != nil {
			h.showError(r, http.StatusBadRequest, err.Error())
			return
		}
	}
	if action == actionRestart {
		_, revision := h.current()
		c.values.Set(keyBase, formatRevision(revision))
		c.values.Del(keyOnto)
	}
	if err := h.load(r, c); err != nil {
		h.showFailure(r, c, err)
		return
	}
	switch {
	case r.stale:
		h.renderForm(r, f, http.StatusForbidden, c.baseDoc, c.values, formNotes{Notice: "The form was made for another session. Check it and send it again."})
		return
	case action == actionEdit || action == actionMore || action == actionRestart:
		c.values.Del(keyRemove)
		h.renderForm(r, f, http.StatusOK, c.baseDoc, c.values, formNotes{more: action == actionMore})
		return
	}
	h.advance(r, c, action)
}

// formValues returns the posted values without those of the step that was taken.
func formValues(posted url.Values) url.Values {
	values := url.Values{}
	for key, value := range posted {
		if key != keyToken && key != keyAction {
			values[key] = value
		}
	}
	return values
}

// load reads the revisions that a form names.
func (h *Handler) load(r *visit, c *change) error {
	var err error
	if c.base, err = parseRevision(c.values.Get(keyBase)); err != nil {
		return err
	}
	c.onto = c.base
	if text := c.values.Get(keyOnto); text != "" {
		if c.onto, err = parseRevision(text); err != nil {
			return err
		}
	}
	if c.baseDoc, err = h.at(r.Context(), c.base); err != nil {
		return err
	}
	c.ontoDoc, err = h.at(r.Context(), c.onto)
	return err
}

// advance makes the document, checks it whole, and shows or commits it.
func (h *Handler) advance(r *visit, c *change, action string) {
	if faults := h.make(r, c); len(faults) > 0 {
		h.renderForm(r, c.form, http.StatusUnprocessableEntity, c.baseDoc, c.values, formNotes{faults: faults, prefix: c.outcome.prefix})
		return
	}
	current, revision := h.current()
	if action == actionRebase && revision > c.onto {
		c.onto, c.ontoDoc = revision, current
		c.values.Set(keyOnto, formatRevision(revision))
	}
	conflicts, faults, err := c.rebase()
	if err != nil {
		h.showFailure(r, c, fault.Wrap(api.KindInternal, err, "the change can't be rebased"))
		return
	}
	changes := document.Diff(c.ontoDoc, c.result)
	switch {
	case len(conflicts) > 0 || revision > c.onto:
		h.showConflict(r, c, "")
	case len(faults) > 0:
		h.renderForm(r, c.form, http.StatusUnprocessableEntity, c.baseDoc, c.values, formNotes{faults: faults})
	case len(changes) == 0:
		h.renderForm(r, c.form, http.StatusOK, c.baseDoc, c.values, formNotes{Notice: "The form changes nothing."})
	case action == actionCommit:
		h.commit(r, c, changes)
	default:
		h.showReview(r, c, changes, "")
	}
}

// rebase makes the result of a change whose own document is valid. The rebased
// document may still have faults, such as a stage whose group the other operator removed.
func (c *change) rebase() ([]document.Conflict, []api.Fault, error) {
	if c.onto == c.base {
		c.result = c.mine
		return nil, nil, nil
	}
	var conflicts []document.Conflict
	var err error
	if c.result, conflicts, err = document.Rebase(c.baseDoc, c.mine, c.ontoDoc); err != nil {
		return nil, nil, err
	}
	return conflicts, check(c.result), nil
}

// make applies the form to the base and returns all faults of the whole result.
func (h *Handler) make(r *visit, c *change) []api.Fault {
	c.mine = c.baseDoc.Clone()
	l := c.form.layout(c.baseDoc, c.values)
	compact(c.values, l.Rows)
	c.outcome = c.form.apply(r, c.mine, c.values, l)
	return mergeFaults(c.outcome, check(c.mine))
}

// mergeFaults adds the faults of the document to those of the form. A field that
// could not be read is left out of the document, so only the first fault of its path counts.
func mergeFaults(o outcome, of []api.Fault) []api.Fault {
	var all []api.Fault
	unread := map[string]bool{}
	for _, f := range o.faults {
		f.Path = o.prefix + f.Path
		unread[f.Path] = true
		all = append(all, f)
	}
	for _, f := range of {
		if !unread[f.Path] {
			all = append(all, f)
		}
	}
	return all
}

func (h *Handler) commit(r *visit, c *change, changes []document.Change) {
	revision, err := h.Config.Commit(r.Context(), c.result, c.onto, r.operator.Name, strings.TrimSpace(c.values.Get(keyComment)))
	switch {
	case err == nil:
		h.Log.Info().Str("operator", r.operator.Name).Uint64("revision", uint64(revision)).Int("changes", len(changes)).Msg("configuration_committed")
		h.pageOf(r, c.form.list, http.StatusOK, "committed", "Committed", committedView{Revision: revision, Changes: changes, Credential: c.outcome.credential, List: c.form.list})
	case fault.Is(err, api.KindConflict):
		h.showConflict(r, c, fault.ToAPI(err, "").Message)
	default:
		h.Log.Warn().Err(err).Str("operator", r.operator.Name).Msg("configuration_commit_failed")
		h.showReview(r, c, changes, fault.ToAPI(err, "").Message)
	}
}

// element edits one element of a list that the document holds by name.
func element[T any](list *[]T, name func(T) string, path string, values url.Values, l layout) outcome {
	item := values.Get(keyItem)
	i := slices.IndexFunc(*list, func(candidate T) bool { return item != "" && name(candidate) == item })
	if item != "" && i < 0 {
		return outcome{faults: []api.Fault{{Path: path, Message: strconv.Quote(item) + " does not exist in the base revision"}}}
	}
	if values.Get(keyRemove) != "" && i >= 0 {
		*list = slices.Delete(*list, i, i+1)
		return outcome{}
	}
	if i < 0 {
		var blank T
		*list = append(*list, blank)
		i = len(*list) - 1
	}
	rows := 0
	if l.Rows != nil {
		rows = len(readRows(values, l.Rows))
	}
	faults := decodeValues(l, values, rows, reflect.ValueOf(&(*list)[i]).Elem())
	return outcome{prefix: path + "[" + strconv.Itoa(i) + "].", faults: faults}
}

// fillElement fills a form from the element that the query names.
func fillElement[T any](list []T, name func(T) string, item string, l layout, blank T) (url.Values, bool) {
	if item == "" {
		return fillValues(l, reflect.ValueOf(blank)), true
	}
	i := slices.IndexFunc(list, func(candidate T) bool { return name(candidate) == item })
	if i < 0 {
		return nil, false
	}
	values := fillValues(l, reflect.ValueOf(list[i]))
	values.Set(keyItem, item)
	return values, true
}

func formatRevision(revision api.Revision) string { return strconv.FormatUint(uint64(revision), 10) }

func parseRevision(text string) (api.Revision, error) {
	number, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, fault.New(api.KindBadRequest, "%q is not a revision", text)
	}
	return api.Revision(number), nil
}
