// Package console serves the operator interface: HTML pages with forms, and a JSON API for
// the command line. Both produce complete documents and commit them by compare-and-swap on
// the revision on which they are based.
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

// Limits of one request.
const (
	// requestTimeout limits the processing of a request, including calls of the key-value service.
	requestTimeout = 10 * time.Second
	// writeTimeout limits the time to send a response to a slow browser.
	writeTimeout = time.Minute
	// maxForm is the maximum size of a form. Form encoding can grow a document to three times its size.
	maxForm = 3*document.MaxSize + 1<<20
	// maxSignIn is the maximum size of the sign-in form, which is read before authentication.
	maxSignIn = 16 << 10
	// maxJSON is the maximum size of a request body of the JSON API.
	maxJSON = document.MaxSize + 64<<10
)

// defaultHistoryLimit is the default number of revisions on a page or in a response.
const defaultHistoryLimit = 50

// HistoryEntry describes a revision in the history.
type HistoryEntry struct {
	Revision api.Revision `json:"revision"`
	Author   string       `json:"author"`
	Time     time.Time    `json:"time"`
	Comment  string       `json:"comment,omitempty"`
}

// Configuration reads and changes the configuration of the site.
type Configuration struct {
	// Snapshot returns the active snapshot of this host, or nil if there is none.
	Snapshot func() *document.Snapshot
	// DocumentAt returns the document of a revision, or an error of kind not_found.
	DocumentAt func(ctx context.Context, revision api.Revision) (*document.Document, error)
	// History returns at most limit revisions, newest first.
	History func(ctx context.Context, limit int) ([]HistoryEntry, error)
	// Commit commits and activates a document if base is still the newest revision.
	Commit func(ctx context.Context, doc *document.Document, base api.Revision, author, comment string) (api.Revision, error)
}

// Handler serves the operator listener.
type Handler struct {
	Config Configuration
	// Status returns the status of the site as known to this host.
	Status func() Status
	// RemoveHosts removes stopped hosts from the member list.
	RemoveHosts func(context.Context, []api.HostID) error
	// SessionKey is the secret that seals the sessions, shared by all hosts of a site.
	SessionKey []byte
	// SessionLifetime is the lifetime of a session.
	SessionLifetime time.Duration
	// SecureCookie restricts the cookie to TLS connections.
	SecureCookie bool
	Log          *log.Logger
	// Clock returns the current time; nil means time.Now.
	Clock func() time.Time

	signInLimiter signInLimiter
	// sealKey is derived from Key by Routes.
	sealKey []byte
}

func (h *Handler) now() time.Time {
	if h.Clock != nil {
		return h.Clock()
	}
	return time.Now()
}

// Routes returns the HTTP handler of the operator interface.
func (h *Handler) Routes() http.Handler {
	h.sealKey = secret.Derive(h.SessionKey, "operator sessions")
	mux := http.NewServeMux()
	mux.HandleFunc("GET /style.css", serveStyle)
	mux.HandleFunc("GET /sign-in", h.showSignIn)
	mux.HandleFunc("POST /sign-in", h.signIn)
	mux.Handle("POST /sign-out", h.requireSignIn(h.signOut))
	mux.Handle("GET /{$}", h.requireSignIn(h.overview))
	mux.Handle("GET /pipelines", h.requireSignIn(h.pipelines))
	mux.Handle("GET /services", h.requireSignIn(h.services))
	mux.Handle("GET /groups", h.requireSignIn(h.groups))
	mux.Handle("GET /workspaces", h.requireSignIn(h.workspaces))
	mux.Handle("GET /operators", h.requireEditor(h.operators))
	mux.Handle("GET /history", h.requireSignIn(h.history))
	mux.Handle("GET /history/diff", h.requireSignIn(h.historyDiff))
	mux.Handle("GET /serving", h.requireSignIn(h.serving))
	mux.Handle("GET /document", h.requireSignIn(h.document))
	mux.Handle("GET /document.json", h.requireSignIn(h.download))
	for _, f := range h.forms() {
		if f.hasPage {
			mux.Handle("GET "+f.path, h.requireEditor(func(r *operatorRequest) { h.showForm(r, f) }))
		}
		mux.Handle("POST "+f.path, h.requireEditor(func(r *operatorRequest) { h.submit(r, f) }))
	}
	h.routeAPI(mux)
	return h.protect(http.NewCrossOriginProtection().Handler(mux))
}

// protect limits the duration of each request and sets the security headers.
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
		if h.SecureCookie {
			header.Set("Strict-Transport-Security", "max-age=31536000")
		}
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

// readForm parses a form of at most limit bytes. On failure it writes an error response
// and returns false.
func readForm(w http.ResponseWriter, r *http.Request, limit int64) bool {
	r.Body = http.MaxBytesReader(w, r.Body, limit)
	// For other content types ParseMultipartForm hides the errors of ParseForm, so a form
	// truncated at the limit would be accepted.
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

// activeDocument returns the active document and its revision. Before the first commit it
// returns an empty document and revision 0.
func (h *Handler) activeDocument() (*document.Document, api.Revision) {
	if snapshot := h.Config.Snapshot(); snapshot != nil {
		return snapshot.Document, snapshot.Revision
	}
	return &document.Document{Format: document.Format}, 0
}

// documentAt returns the document of a revision. The active one is returned from memory, so
// that pages work while the key-value service is unavailable.
func (h *Handler) documentAt(ctx context.Context, revision api.Revision) (*document.Document, error) {
	if doc, current := h.activeDocument(); revision == current {
		return doc, nil
	}
	return h.Config.DocumentAt(ctx, revision)
}

// validate returns the faults of a document. A document without an editor is a fault too,
// because no further change could be made through the console.
func validate(doc *document.Document) []api.Fault {
	faults := doc.Validate()
	for _, operator := range doc.Operators {
		if operator.Role == document.RoleEditor {
			return faults
		}
	}
	return append(faults, api.Fault{Path: "operators", Message: "at least one operator must be an editor"})
}

// checkEditor returns an error of kind forbidden for viewers.
func checkEditor(operator *document.Operator) error {
	if operator.Role != document.RoleEditor {
		return fault.New(api.KindForbidden, "operator %q is a viewer and can't change the configuration", operator.Name)
	}
	return nil
}

// redactHashes returns a document with the hashes hidden unless the operator is an editor,
// because hashes can be attacked by guessing.
func redactHashes(doc *document.Document, operator *document.Operator) *document.Document {
	if operator.Role == document.RoleEditor {
		return doc
	}
	redacted := doc.Clone()
	for i := range redacted.Workspaces {
		for j := range redacted.Workspaces[i].CredentialHashes {
			redacted.Workspaces[i].CredentialHashes[j] = "hidden"
		}
	}
	for i := range redacted.Operators {
		redacted.Operators[i].PasswordHash = "hidden"
	}
	return redacted
}
