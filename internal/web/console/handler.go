// Package console serves the operators: pages with forms, and a JSON interface
// for the command line. Both produce whole documents and commit them by
// compare-and-swap on the revision from which they were made.
package console

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/phuslu/log"

	"redwingloft/internal/data/document"
	"redwingloft/internal/helper/fault"
	"redwingloft/internal/helper/secret"
	"redwingloft/pkg/api"
)

// Bounds of one request.
const (
	// requestTimeout bounds the work on one request, calls of the key-value service included.
	requestTimeout = 10 * time.Second
	// writeTimeout bounds the sending of an answer to a slow browser.
	writeTimeout = time.Minute
	// maxForm bounds a form. A document may grow to three times its size when a form encodes it.
	maxForm = 3*document.MaxSize + 1<<20
	// maxSignIn bounds a form that is read before anyone is signed in.
	maxSignIn = 16 << 10
	// maxJSON bounds a body of the JSON interface.
	maxJSON = document.MaxSize + 64<<10
)

// historyLimit is the number of revisions that a page or an answer lists by default.
const historyLimit = 50

// Entry describes one revision.
type Entry struct {
	Revision api.Revision `json:"revision"`
	Author   string       `json:"author"`
	Time     time.Time    `json:"time"`
	Comment  string       `json:"comment,omitempty"`
}

// Configuration reads and changes the configuration of the site.
type Configuration struct {
	// Snapshot returns the snapshot in force on this host, or nil.
	Snapshot func() *document.Snapshot
	// At returns an earlier revision, or an error of kind not_found.
	At func(ctx context.Context, revision api.Revision) (*document.Document, error)
	// History returns at most limit revisions, the newest first.
	History func(ctx context.Context, limit int) ([]Entry, error)
	// Commit puts a document in force where base is still the newest revision.
	Commit func(ctx context.Context, doc *document.Document, base api.Revision, author, comment string) (api.Revision, error)
}

// Handler serves the operator listener.
type Handler struct {
	Config Configuration
	// Status reports on the site as this host sees it.
	Status func() Status
	// RemoveHosts takes hosts that have ended off the list of members.
	RemoveHosts func(context.Context, []api.HostID) error
	// Key seals the sessions. All hosts of a site share it.
	Key []byte
	// Session is the life of a session.
	Session time.Duration
	// Secure marks the cookie for TLS only.
	Secure bool
	Log    *log.Logger
	// Clock is the time source; nil means time.Now.
	Clock func() time.Time

	attempts attempts
	// sealKey is derived from Key by Routes.
	sealKey []byte
}

func (h *Handler) now() time.Time {
	if h.Clock != nil {
		return h.Clock()
	}
	return time.Now()
}

// Routes returns the handler of the listener.
func (h *Handler) Routes() http.Handler {
	h.sealKey = secret.Derive(h.Key, "operator sessions")
	mux := http.NewServeMux()
	mux.HandleFunc("GET /style.css", serveStyle)
	mux.HandleFunc("GET /sign-in", h.showSignIn)
	mux.HandleFunc("POST /sign-in", h.signIn)
	mux.Handle("POST /sign-out", h.signedIn(h.signOut))
	mux.Handle("GET /{$}", h.signedIn(h.overview))
	mux.Handle("GET /pipelines", h.signedIn(h.pipelines))
	mux.Handle("GET /services", h.signedIn(h.services))
	mux.Handle("GET /groups", h.signedIn(h.groups))
	mux.Handle("GET /workspaces", h.signedIn(h.workspaces))
	mux.Handle("GET /operators", h.editor(h.operators))
	mux.Handle("GET /history", h.signedIn(h.history))
	mux.Handle("GET /history/diff", h.signedIn(h.historyDiff))
	mux.Handle("GET /serving", h.signedIn(h.serving))
	mux.Handle("GET /document", h.signedIn(h.document))
	mux.Handle("GET /document.json", h.signedIn(h.download))
	for _, f := range h.forms() {
		if f.get {
			mux.Handle("GET "+f.path, h.editor(func(r *visit) { h.showForm(r, f) }))
		}
		mux.Handle("POST "+f.path, h.editor(func(r *visit) { h.submit(r, f) }))
	}
	h.routeAPI(mux)
	return h.protect(http.NewCrossOriginProtection().Handler(mux))
}

// protect bounds each request and sets the security headers.
func (h *Handler) protect(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
		defer cancel()
		// Test recorders have no write deadline.
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
		header := w.Header()
		header.Set("Content-Security-Policy", "default-src 'none'; style-src 'self'; form-action 'self'; frame-ancestors 'none'; base-uri 'none'")
		header.Set("X-Content-Type-Options", "nosniff")
		header.Set("X-Frame-Options", "DENY")
		// With no-referrer, browsers send "Origin: null" with forms, which the cross-origin check refuses.
		header.Set("Referrer-Policy", "same-origin")
		header.Set("Cache-Control", "no-store")
		if h.Secure {
			header.Set("Strict-Transport-Security", "max-age=31536000")
		}
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

// readForm parses a form within limit. It answers and returns false on a fault.
func readForm(w http.ResponseWriter, r *http.Request, limit int64) bool {
	r.Body = http.MaxBytesReader(w, r.Body, limit)
	// For other bodies ParseMultipartForm hides the errors of ParseForm, and a form cut off at the limit would pass.
	err := r.ParseForm()
	if err == nil && strings.HasPrefix(r.Header.Get("Content-Type"), "multipart/form-data") {
		err = r.ParseMultipartForm(limit)
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		http.Error(w, "the form is too large", http.StatusRequestEntityTooLarge)
		return false
	case err != nil:
		http.Error(w, "the form can't be read", http.StatusBadRequest)
		return false
	}
	return true
}

// current returns the document in force with its revision. Before the first
// commit it is an empty document with revision 0.
func (h *Handler) current() (*document.Document, api.Revision) {
	if snapshot := h.Config.Snapshot(); snapshot != nil {
		return snapshot.Document, snapshot.Revision
	}
	return &document.Document{Format: document.Format}, 0
}

// at returns a revision, from memory where it is the one in force, so that
// pages work while the key-value service is out.
func (h *Handler) at(ctx context.Context, revision api.Revision) (*document.Document, error) {
	if doc, current := h.current(); revision == current {
		return doc, nil
	}
	return h.Config.At(ctx, revision)
}

// check returns the faults of a document, the loss of the last editor included:
// without one no further change can be made through the console.
func check(doc *document.Document) []api.Fault {
	faults := doc.Validate()
	for _, operator := range doc.Operators {
		if operator.Role == document.RoleEditor {
			return faults
		}
	}
	return append(faults, api.Fault{Path: "operators", Message: "at least one operator must be an editor"})
}

// mustBeEditor returns an error of kind forbidden for viewers.
func mustBeEditor(operator *document.Operator) error {
	if operator.Role != document.RoleEditor {
		return fault.New(api.KindForbidden, "operator %q is a viewer and can't change the configuration", operator.Name)
	}
	return nil
}

// visible returns what an operator may see of a document: hashes, which could be
// attacked by guessing, are for editors only.
func visible(doc *document.Document, operator *document.Operator) *document.Document {
	if operator.Role == document.RoleEditor {
		return doc
	}
	shown := doc.Clone()
	for i := range shown.Workspaces {
		for j := range shown.Workspaces[i].CredentialHashes {
			shown.Workspaces[i].CredentialHashes[j] = "hidden"
		}
	}
	for i := range shown.Operators {
		shown.Operators[i].PasswordHash = "hidden"
	}
	return shown
}
