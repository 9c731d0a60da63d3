package console

import (
	"net/http"

	"redwingloft/internal/data/document"
	"redwingloft/pkg/api"
)

// maxConflictEntries is the maximum number of revisions listed on a conflict page.
const maxConflictEntries = 20

type reviewView struct {
	Form    *resubmitForm
	Changes []document.Change
	Comment string
	Onto    api.Revision
	Rebased bool
	Fault   string
	List    string
}

type conflictView struct {
	Form *resubmitForm
	// Base is the revision on which the form is based, Current the active one.
	Base      api.Revision
	Current   api.Revision
	Entries   []HistoryEntry
	Theirs    []document.Change
	Mine      []document.Change
	Conflicts []document.Conflict
	Comment   string
	Message   string
}

// showReview shows the changes that a commit would make and asks for a comment.
func (h *Handler) showReview(r *operatorRequest, s *submission, changes []document.Change, failure string) {
	status := http.StatusOK
	if failure != "" {
		status = http.StatusServiceUnavailable
	}
	h.renderPageIn(r, s.form.listPath, status, "review", "Review the change", reviewView{
		Form: newResubmitForm(s), Changes: changes, Comment: s.values.Get(keyComment),
		Onto: s.onto, Rebased: s.onto != s.base, Fault: failure, List: s.form.listPath,
	})
}

// showConflict shows the changes that others committed since the base revision of a form,
// and whether the form's change can be rebased.
func (h *Handler) showConflict(r *operatorRequest, s *submission, message string) {
	view := conflictView{Form: newResubmitForm(s), Base: s.base, Comment: s.values.Get(keyComment), Message: message}
	current, revision := h.activeDocument()
	if revision <= s.onto {
		// The commit conflicts with a revision that this host has not applied yet.
		if entries, err := h.Config.History(r.Context(), 1); err == nil && len(entries) > 0 {
			if newest, err := h.documentAt(r.Context(), entries[0].Revision); err == nil {
				current, revision = newest, entries[0].Revision
			}
		}
	}
	view.Current = revision
	view.Theirs = document.Diff(s.baseDoc, current)
	view.Mine = document.Diff(s.baseDoc, s.editedDoc)
	_, conflicts, err := document.Rebase(s.baseDoc, s.editedDoc, current)
	if err != nil {
		h.showFailure(r, s, err)
		return
	}
	view.Conflicts = conflicts
	if entries, err := h.Config.History(r.Context(), maxConflictEntries); err == nil {
		for _, entry := range entries {
			if entry.Revision > s.base {
				view.Entries = append(view.Entries, entry)
			}
		}
	}
	h.renderPageIn(r, s.form.listPath, http.StatusConflict, "conflict", "Another change came first", view)
}
