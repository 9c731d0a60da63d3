package console

import (
	"net/http"

	"redwingloft/internal/data/document"
	"redwingloft/pkg/api"
)

// shownEntries bounds the revisions that a conflict page names.
const shownEntries = 20

type reviewView struct {
	Form    *resend
	Changes []document.Change
	Comment string
	Onto    api.Revision
	Rebased bool
	Fault   string
	List    string
}

type conflictView struct {
	Form *resend
	// Base is the revision from which the form was made, Current the one in force.
	Base      api.Revision
	Current   api.Revision
	Entries   []Entry
	Theirs    []document.Change
	Mine      []document.Change
	Conflicts []document.Conflict
	Comment   string
	Message   string
}

// showReview shows what a commit would change and asks for a comment.
func (h *Handler) showReview(r *visit, c *change, changes []document.Change, failure string) {
	status := http.StatusOK
	if failure != "" {
		status = http.StatusServiceUnavailable
	}
	h.pageOf(r, c.form.list, status, "review", "Review the change", reviewView{
		Form: newResend(c), Changes: changes, Comment: c.values.Get(keyComment),
		Onto: c.onto, Rebased: c.onto != c.base, Fault: failure, List: c.form.list,
	})
}

// showConflict shows what others committed since the base of a form, and
// whether the change can be rebased.
func (h *Handler) showConflict(r *visit, c *change, message string) {
	view := conflictView{Form: newResend(c), Base: c.base, Comment: c.values.Get(keyComment), Message: message}
	current, revision := h.current()
	if revision <= c.onto {
		// The commit lost against a revision that this host has not yet applied.
		if entries, err := h.Config.History(r.Context(), 1); err == nil && len(entries) > 0 {
			if newest, err := h.at(r.Context(), entries[0].Revision); err == nil {
				current, revision = newest, entries[0].Revision
			}
		}
	}
	view.Current = revision
	view.Theirs = document.Diff(c.baseDoc, current)
	view.Mine = document.Diff(c.baseDoc, c.mine)
	_, conflicts, err := document.Rebase(c.baseDoc, c.mine, current)
	if err != nil {
		h.showFailure(r, c, err)
		return
	}
	view.Conflicts = conflicts
	if entries, err := h.Config.History(r.Context(), shownEntries); err == nil {
		for _, entry := range entries {
			if entry.Revision > c.base {
				view.Entries = append(view.Entries, entry)
			}
		}
	}
	h.pageOf(r, c.form.list, http.StatusConflict, "conflict", "Another change came first", view)
}
