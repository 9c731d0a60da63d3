package console

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"redwingloft/internal/data/document"
	"redwingloft/internal/helper/secret"
	"redwingloft/pkg/api"
)

const cookieName = "redwingloft_session"

// unknownPasswordHash is compared for unknown operators, so that the response time does not
// reveal which names exist. No known password matches it.
const unknownPasswordHash = "$2a$10$FzjMM74tZfnJnqbUuY78wOECx90wizr7eDcRowP784bxOSKC4p/s."

// Limits of failed sign-ins.
const (
	// failuresPerName is the maximum number of failures for one operator from one address.
	failuresPerName = 5
	// failuresPerAddress is the maximum number of failures for all operators from one address.
	failuresPerAddress = 20
	failureWindow      = 15 * time.Minute
	// maxTrackedKeys limits the memory of the limiter.
	maxTrackedKeys = 10_000
	// maxConcurrentHashes limits concurrent bcrypt comparisons; one takes about 60 ms of CPU time.
	maxConcurrentHashes = 2
)

// session is the content of the sealed cookie.
type session struct {
	ID       string    `json:"id"`
	Operator string    `json:"operator"`
	Expires  time.Time `json:"expires"`
	// PasswordDigest is a digest of the password hash, so that a new password ends old sessions.
	PasswordDigest string `json:"password"`
}

// operatorRequest is a request of a signed-in operator.
type operatorRequest struct {
	*http.Request
	w        http.ResponseWriter
	operator *document.Operator
	session  session
	// token is the form token of this session, which protects against cross-site requests.
	token string
	// invalidToken is set if a submitted form lacks the token of this session. Such a form
	// changes nothing but may be shown again.
	invalidToken bool
}

// signInLimiter limits failed sign-ins. The zero value is ready to use.
type signInLimiter struct {
	mu        sync.Mutex
	counts    map[string]failureCount
	hashSlots chan struct{}
}

type failureCount struct {
	count   int
	expires time.Time
}

// countFailure counts a sign-in as failed before the password is compared, so that concurrent
// sign-ins can't exceed the limit. It returns false if a limit is reached.
func (l *signInLimiter) countFailure(now time.Time, name, address string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.counts == nil || len(l.counts) > maxTrackedKeys {
		l.counts = l.unexpired(now)
	}
	byName, byAddress := failureKey(address, name), address
	if l.get(byName, now).count >= failuresPerName || l.get(byAddress, now).count >= failuresPerAddress {
		return false
	}
	for _, key := range []string{byName, byAddress} {
		failures := l.get(key, now)
		failures.count++
		l.counts[key] = failures
	}
	return true
}

// failureKey returns the key of the failures for an operator from an address. Names that no operator can have
// share one key.
func failureKey(address, name string) string {
	if len(name) > document.MaxNameLength {
		name = ""
	}
	return address + " " + name
}

func (l *signInLimiter) get(key string, now time.Time) failureCount {
	failures := l.counts[key]
	if now.After(failures.expires) {
		return failureCount{expires: now.Add(failureWindow)}
	}
	return failures
}

// unexpired returns the counts that have not expired. If there are too many, it returns an
// empty map.
func (l *signInLimiter) unexpired(now time.Time) map[string]failureCount {
	kept := map[string]failureCount{}
	for key, failures := range l.counts {
		if now.Before(failures.expires) {
			kept[key] = failures
		}
	}
	if len(kept) > maxTrackedKeys {
		return map[string]failureCount{}
	}
	return kept
}

// uncountFailure reverts countFailure.
func (l *signInLimiter) uncountFailure(name, address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, key := range []string{failureKey(address, name), address} {
		if failures, exists := l.counts[key]; exists && failures.count > 0 {
			failures.count--
			l.counts[key] = failures
		}
	}
}

// acquireHashSlot waits for a slot to compare a password and returns the function that
// releases it, or false if the context is canceled first.
func (l *signInLimiter) acquireHashSlot(ctx context.Context) (func(), bool) {
	l.mu.Lock()
	if l.hashSlots == nil {
		l.hashSlots = make(chan struct{}, maxConcurrentHashes)
	}
	slots := l.hashSlots
	l.mu.Unlock()
	select {
	case slots <- struct{}{}:
		return func() { <-slots }, true
	case <-ctx.Done():
		return nil, false
	}
}

// authenticate returns the operator, or the error kind if the sign-in is refused.
func (h *Handler) authenticate(r *http.Request, name, password string) (*document.Operator, api.Kind) {
	address, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		address = r.RemoteAddr
	}
	if !h.signInLimiter.countFailure(h.now(), name, address) {
		h.Log.Warn().Str("operator", name).Str("address", address).Msg("sign_in_limited")
		return nil, api.KindOverloaded
	}
	operator := h.operator(name)
	hash := unknownPasswordHash
	if operator != nil {
		hash = operator.PasswordHash
	}
	release, ok := h.signInLimiter.acquireHashSlot(r.Context())
	if !ok {
		h.signInLimiter.uncountFailure(name, address)
		return nil, api.KindOverloaded
	}
	matches := secret.PasswordMatches(password, hash)
	release()
	if operator == nil || !matches {
		h.Log.Warn().Str("operator", name).Str("address", address).Msg("sign_in_refused")
		return nil, api.KindUnauthorized
	}
	h.signInLimiter.uncountFailure(name, address)
	return operator, ""
}

// operator returns the named operator of the active document, or nil if there is none.
func (h *Handler) operator(name string) *document.Operator {
	if snapshot := h.Config.Snapshot(); snapshot != nil {
		return snapshot.Operators[name]
	}
	return nil
}

func (h *Handler) showSignIn(w http.ResponseWriter, r *http.Request) {
	h.renderSignedOut(w, http.StatusOK, "sign_in", signInView{Next: localPath(r.URL.Query().Get("next"))})
}

func (h *Handler) signIn(w http.ResponseWriter, r *http.Request) {
	if !readForm(w, r, maxSignIn) {
		return
	}
	name, next := r.PostForm.Get("name"), localPath(r.PostForm.Get("next"))
	operator, refusal := h.authenticate(r, name, r.PostForm.Get("password"))
	switch refusal {
	case "":
		h.setSessionCookie(w, operator)
		http.Redirect(w, r, next, http.StatusSeeOther)
	case api.KindOverloaded:
		h.renderSignedOut(w, http.StatusTooManyRequests, "sign_in", signInView{Name: name, Next: next, Fault: "Too many sign-ins. Wait 15 minutes after failed ones, or try again."})
	default:
		h.renderSignedOut(w, http.StatusUnauthorized, "sign_in", signInView{Name: name, Next: next, Fault: "Name or password is wrong."})
	}
}

// localPath returns path if it refers to this site, and "/" otherwise.
func localPath(path string) string {
	parsed, err := url.Parse(path)
	if err != nil || parsed.Host != "" || parsed.Scheme != "" || !strings.HasPrefix(path, "/") ||
		strings.HasPrefix(path, "//") || strings.ContainsAny(path, "\\\r\n\t") {
		return "/"
	}
	return path
}

func (h *Handler) setSessionCookie(w http.ResponseWriter, operator *document.Operator) {
	s := session{
		ID: uuid.NewString(), Operator: operator.Name,
		Expires: h.now().Add(h.SessionLifetime), PasswordDigest: secret.HashToken(operator.PasswordHash),
	}
	payload, err := json.Marshal(s)
	if err != nil {
		panic(err) // can't happen: all fields are encodable
	}
	http.SetCookie(w, h.newCookie(secret.Seal(h.sealKey, payload), s.Expires))
}

func (h *Handler) newCookie(value string, expires time.Time) *http.Cookie {
	return &http.Cookie{
		Name: cookieName, Value: value, Path: "/", Expires: expires,
		HttpOnly: true, Secure: h.SecureCookie, SameSite: http.SameSiteStrictMode,
	}
}

func (h *Handler) signOut(r *operatorRequest) {
	if r.invalidToken {
		h.showError(r, http.StatusForbidden, "The form does not belong to this session. Open the page again.")
		return
	}
	http.SetCookie(r.w, h.newCookie("", time.Unix(1, 0)))
	http.Redirect(r.w, r.Request, "/sign-in", http.StatusSeeOther)
}

// openSession returns the session and operator of a request if the session is valid: sealed
// by this site, not expired, and of an operator who still exists with the same password.
func (h *Handler) openSession(r *http.Request) (session, *document.Operator) {
	cookie, err := r.Cookie(cookieName)
	if err != nil {
		return session{}, nil
	}
	payload, err := secret.Open(h.sealKey, cookie.Value)
	if err != nil {
		return session{}, nil
	}
	var s session
	if err := json.Unmarshal(payload, &s); err != nil || h.now().After(s.Expires) {
		return session{}, nil
	}
	operator := h.operator(s.Operator)
	if operator == nil || secret.HashToken(operator.PasswordHash) != s.PasswordDigest {
		return session{}, nil
	}
	return s, operator
}

// requireSignIn requires a valid session, and checks the session token of submitted forms.
func (h *Handler) requireSignIn(next func(*operatorRequest)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s, operator := h.openSession(r)
		if operator == nil {
			h.promptSignIn(w, r)
			return
		}
		request := &operatorRequest{Request: r, w: w, operator: operator, session: s, token: secret.Seal(h.sealKey, []byte("form "+s.ID))}
		if r.Method == http.MethodPost {
			if !readForm(w, r, maxForm) {
				return
			}
			request.invalidToken = subtle.ConstantTimeCompare([]byte(r.PostForm.Get("token")), []byte(request.token)) != 1
		}
		next(request)
	})
}

// promptSignIn redirects to the sign-in page. For a submitted form it shows the page at the
// form's URL instead: after a sign-in in another tab, resubmitting the form shows it with
// the entered values.
func (h *Handler) promptSignIn(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		http.Redirect(w, r, "/sign-in?next="+url.QueryEscape(r.URL.RequestURI()), http.StatusSeeOther)
		return
	}
	h.renderSignedOut(w, http.StatusUnauthorized, "sign_in", signInView{
		Next:  "/",
		Fault: "Your session has ended. Sign in in another tab, then reload this page: the form is shown again with your entries.",
	})
}

// requireEditor requires a signed-in editor.
func (h *Handler) requireEditor(next func(*operatorRequest)) http.Handler {
	return h.requireSignIn(func(r *operatorRequest) {
		if err := checkEditor(r.operator); err != nil {
			h.showError(r, http.StatusForbidden, "This page is for editors. You are signed in as a viewer.")
			return
		}
		next(r)
	})
}
