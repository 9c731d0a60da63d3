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

// Names of the fields that all forms have in common.
const (
	keyToken  = "token"
	keyAction = "action"
	// keyBase is the revision on which the form is based.
	keyBase = "base"
	// keyOnto is the revision onto which the change is rebased, if it differs from the base.
	keyOnto = "onto"
	// keyItem is the name of the edited element; it is empty for a new one.
	keyItem    = "item"
	keyRemove  = "remove"
	keyComment = "comment"
)

// Actions of a form, selected by its buttons.
const (
	actionReview = "review"
	actionCommit = "commit"
	// actionEdit shows the form again with the entered values.
	actionEdit   = "edit"
	actionMore   = "more"
	actionRemove = "remove"
	// actionRebase rebases the change onto the active revision and shows it for review.
	actionRebase = "rebase"
	// actionRestart shows the form again, based on the active revision.
	actionRestart = "restart"
)

// applyResult is the result of applying a form to a document.
type applyResult struct {
	// prefix is the path of the edited element with a trailing separator. Faults below it are
	// assigned to fields.
	prefix string
	faults []api.Fault
	// credential is a new token, which is shown once after the commit.
	credential string
}

// form describes a type of form. Its functions receive the document of the base revision.
type form struct {
	path  string
	title string
	// listPath is the path of the page to which the form belongs.
	listPath string
	// hasPage is set if the form has its own page at path.
	hasPage   bool
	removable bool
	layout    func(doc *document.Document, values url.Values) layout
	// fill returns the initial values, or false if the element does not exist.
	fill func(doc *document.Document, query url.Values) (url.Values, bool)
	// apply changes doc.
	apply func(r *operatorRequest, doc *document.Document, values url.Values, l layout) applyResult
}

// showForm shows a form with the values of the active document.
func (h *Handler) showForm(r *operatorRequest, f *form) {
	doc, revision := h.activeDocument()
	query := r.URL.Query()
	values, found := f.fill(doc, query)
	if !found {
		h.showError(r, http.StatusNotFound, "There is no such element in revision "+formatRevision(revision)+".")
		return
	}
	values.Set(keyBase, formatRevision(revision))
	h.renderForm(r, f, http.StatusOK, doc, values, formNotes{})
}

// submission is a submitted form with the documents derived from it.
type submission struct {
	form   *form
	values url.Values
	base   api.Revision
	// onto is the revision on top of which the result is committed.
	onto    api.Revision
	baseDoc *document.Document
	ontoDoc *document.Document
	// editedDoc is the base document with the change, resultDoc the same change applied to
	// the document of onto.
	editedDoc   *document.Document
	resultDoc   *document.Document
	applyResult applyResult
}

// submit handles a submitted form: it validates the change and shows or commits it.
func (h *Handler) submit(r *operatorRequest, f *form) {
	s := &submission{form: f, values: formValues(r.PostForm)}
	action := r.PostForm.Get(keyAction)
	if action == actionRemove {
		s.values.Set(keyRemove, "yes")
	}
	if r.MultipartForm != nil && len(r.MultipartForm.File["upload"]) > 0 {
		if err := readUpload(r, s.values); err != nil {
			h.showError(r, http.StatusBadRequest, err.Error())
			return
		}
	}
	if action == actionRestart {
		_, revision := h.activeDocument()
		s.values.Set(keyBase, formatRevision(revision))
		s.values.Del(keyOnto)
	}
	if err := h.loadRevisions(r, s); err != nil {
		h.showFailure(r, s, err)
		return
	}
	switch {
	case r.invalidToken:
		h.renderForm(r, f, http.StatusForbidden, s.baseDoc, s.values, formNotes{Notice: "The form belongs to another session. Check it and submit it again."})
		return
	case action == actionEdit || action == actionMore || action == actionRestart:
		s.values.Del(keyRemove)
		h.renderForm(r, f, http.StatusOK, s.baseDoc, s.values, formNotes{moreRows: action == actionMore})
		return
	}
	h.process(r, s, action)
}

// formValues returns the posted values without the session token and the action.
func formValues(posted url.Values) url.Values {
	values := url.Values{}
	for key, value := range posted {
		if key != keyToken && key != keyAction {
			values[key] = value
		}
	}
	return values
}

// loadRevisions loads the base revision of a form and the one onto which it is rebased.
func (h *Handler) loadRevisions(r *operatorRequest, s *submission) error {
	var err error
	if s.base, err = parseRevision(s.values.Get(keyBase)); err != nil {
		return err
	}
	s.onto = s.base
	if text := s.values.Get(keyOnto); text != "" {
		if s.onto, err = parseRevision(text); err != nil {
			return err
		}
	}
	if s.baseDoc, err = h.documentAt(r.Context(), s.base); err != nil {
		return err
	}
	s.ontoDoc, err = h.documentAt(r.Context(), s.onto)
	return err
}

// process applies the form, validates the resulting document, and shows or commits it.
func (h *Handler) process(r *operatorRequest, s *submission, action string) {
	if faults := h.applyForm(r, s); len(faults) > 0 {
		h.renderForm(r, s.form, http.StatusUnprocessableEntity, s.baseDoc, s.values, formNotes{faults: faults, prefix: s.applyResult.prefix})
		return
	}
	current, revision := h.activeDocument()
	if action == actionRebase && revision > s.onto {
		s.onto, s.ontoDoc = revision, current
		s.values.Set(keyOnto, formatRevision(revision))
	}
	conflicts, faults, err := s.rebase()
	if err != nil {
		h.showFailure(r, s, fault.Wrap(api.KindInternal, err, "the change can't be rebased"))
		return
	}
	changes := document.Diff(s.ontoDoc, s.resultDoc)
	switch {
	case len(conflicts) > 0 || revision > s.onto:
		h.showConflict(r, s, "")
	case len(faults) > 0:
		h.renderForm(r, s.form, http.StatusUnprocessableEntity, s.baseDoc, s.values, formNotes{faults: faults})
	case len(changes) == 0:
		h.renderForm(r, s.form, http.StatusOK, s.baseDoc, s.values, formNotes{Notice: "The form changes nothing."})
	case action == actionCommit:
		h.commit(r, s, changes)
	default:
		h.showReview(r, s, changes, "")
	}
}

// rebase sets the resulting document of a valid change. The rebased document may still have
// faults, such as a stage whose group another operator removed.
func (s *submission) rebase() ([]document.Conflict, []api.Fault, error) {
	if s.onto == s.base {
		s.resultDoc = s.editedDoc
		return nil, nil, nil
	}
	var conflicts []document.Conflict
	var err error
	if s.resultDoc, conflicts, err = document.Rebase(s.baseDoc, s.editedDoc, s.ontoDoc); err != nil {
		return nil, nil, err
	}
	return conflicts, validate(s.resultDoc), nil
}

// applyForm applies the form to the base document and returns all faults of the result.
func (h *Handler) applyForm(r *operatorRequest, s *submission) []api.Fault {
	s.editedDoc = s.baseDoc.Clone()
	l := s.form.layout(s.baseDoc, s.values)
	renumberRows(s.values, l.Rows)
	s.applyResult = s.form.apply(r, s.editedDoc, s.values, l)
	return mergeFaults(s.applyResult, validate(s.editedDoc))
}

// mergeFaults adds the faults of the document to those of the form. A field that could not
// be parsed is missing from the document, so only the form's fault is kept for its path.
func mergeFaults(result applyResult, docFaults []api.Fault) []api.Fault {
	var all []api.Fault
	unreadable := map[string]bool{}
	for _, f := range result.faults {
		f.Path = result.prefix + f.Path
		unreadable[f.Path] = true
		all = append(all, f)
	}
	for _, f := range docFaults {
		if !unreadable[f.Path] {
			all = append(all, f)
		}
	}
	return all
}

func (h *Handler) commit(r *operatorRequest, s *submission, changes []document.Change) {
	revision, err := h.Config.Commit(r.Context(), s.resultDoc, s.onto, r.operator.Name, strings.TrimSpace(s.values.Get(keyComment)))
	switch {
	case err == nil:
		h.Log.Info().Str("operator", r.operator.Name).Uint64("revision", uint64(revision)).Int("changes", len(changes)).Msg("configuration_committed")
		h.renderPageIn(r, s.form.listPath, http.StatusOK, "committed", "Committed", committedView{Revision: revision, Changes: changes, Credential: s.applyResult.credential, List: s.form.listPath})
	case fault.Is(err, api.KindConflict):
		h.showConflict(r, s, fault.ToAPI(err, "").Message)
	default:
		h.Log.Warn().Err(err).Str("operator", r.operator.Name).Msg("configuration_commit_failed")
		h.showReview(r, s, changes, fault.ToAPI(err, "").Message)
	}
}

// editElement adds, changes or removes the element of a list that the form refers to by name.
func editElement[T any](list *[]T, name func(T) string, path string, values url.Values, l layout) applyResult {
	item := values.Get(keyItem)
	i := slices.IndexFunc(*list, func(candidate T) bool { return item != "" && name(candidate) == item })
	if item != "" && i < 0 {
		return applyResult{faults: []api.Fault{{Path: path, Message: strconv.Quote(item) + " does not exist in the base revision"}}}
	}
	if values.Get(keyRemove) != "" && i >= 0 {
		*list = slices.Delete(*list, i, i+1)
		return applyResult{}
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
	return applyResult{prefix: path + "[" + strconv.Itoa(i) + "].", faults: faults}
}

// fillElement returns the form values of the named element, or those of blank if item is empty.
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
