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

// unknownPasswordHash is compared for unknown operators, so that the time of an
// answer doesn't tell which names exist. No known password matches it.
const unknownPasswordHash = "$2a$10$FzjMM74tZfnJnqbUuY78wOECx90wizr7eDcRowP784bxOSKC4p/s."

// Limits of failed sign-ins.
const (
	// failuresPerName bounds the failures for one operator from one address.
	failuresPerName = 5
	// failuresPerAddress bounds the failures for all operators from one address.
	failuresPerAddress = 20
	failureWindow      = 15 * time.Minute
	// maxTracked bounds the memory of the limiter.
	maxTracked = 10_000
	// maxHashing bounds the bcrypt comparisons at once; one takes some 60 ms of a core.
	maxHashing = 2
)

// session is the content of the sealed cookie.
type session struct {
	ID       string    `json:"id"`
	Operator string    `json:"operator"`
	Expires  time.Time `json:"expires"`
	// Password is a digest of the password hash: a new password ends old sessions.
	Password string `json:"password"`
}

// visit is one request of a signed-in operator.
type visit struct {
	*http.Request
	w        http.ResponseWriter
	operator *document.Operator
	session  session
	// token proves that a form was made for this session.
	token string
	// stale tells that a posted form carries no token of this session. Such a form
	// changes nothing; it may be shown again.
	stale bool
}

// attempts counts failed sign-ins. The zero value works.
type attempts struct {
	mu      sync.Mutex
	counts  map[string]attempt
	hashing chan struct{}
}

type attempt struct {
	count int
	end   time.Time
}

// begin counts a sign-in as failed in advance, so that sign-ins at the same time
// can't pass the limit. It returns false where a limit is reached.
func (a *attempts) begin(now time.Time, name, address string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.counts == nil || len(a.counts) > maxTracked {
		a.counts = a.live(now)
	}
	byName, byAddress := address+" "+name, address
	if a.get(byName, now).count >= failuresPerName || a.get(byAddress, now).count >= failuresPerAddress {
		return false
	}
	for _, key := range []string{byName, byAddress} {
		found := a.get(key, now)
		found.count++
		a.counts[key] = found
	}
	return true
}

func (a *attempts) get(key string, now time.Time) attempt {
	found := a.counts[key]
	if now.After(found.end) {
		return attempt{end: now.Add(failureWindow)}
	}
	return found
}

// live returns the counts whose window has not ended. Where these are too many,
// it starts afresh.
func (a *attempts) live(now time.Time) map[string]attempt {
	kept := map[string]attempt{}
	for key, found := range a.counts {
		if now.Before(found.end) {
			kept[key] = found
		}
	}
	if len(kept) > maxTracked {
		return map[string]attempt{}
	}
	return kept
}

// undo takes back the count of begin.
func (a *attempts) undo(name, address string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, key := range []string{address + " " + name, address} {
		if found, exists := a.counts[key]; exists && found.count > 0 {
			found.count--
			a.counts[key] = found
		}
	}
}

// slot waits for the right to compare a password and returns its release, or
// false where the request ends first.
func (a *attempts) slot(ctx context.Context) (func(), bool) {
	a.mu.Lock()
	if a.hashing == nil {
		a.hashing = make(chan struct{}, maxHashing)
	}
	hashing := a.hashing
	a.mu.Unlock()
	select {
	case hashing <- struct{}{}:
		return func() { <-hashing }, true
	case <-ctx.Done():
		return nil, false
	}
}

// authenticate returns the operator, or the kind of the refusal.
func (h *Handler) authenticate(r *http.Request, name, password string) (*document.Operator, api.Kind) {
	address, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		address = r.RemoteAddr
	}
	if !h.attempts.begin(h.now(), name, address) {
		h.Log.Warn().Str("operator", name).Str("address", address).Msg("sign_in_limited")
		return nil, api.KindOverloaded
	}
	operator := h.operator(name)
	hash := unknownPasswordHash
	if operator != nil {
		hash = operator.PasswordHash
	}
	release, ok := h.attempts.slot(r.Context())
	if !ok {
		h.attempts.undo(name, address)
		return nil, api.KindOverloaded
	}
	matches := secret.PasswordMatches(password, hash)
	release()
	if operator == nil || !matches {
		h.Log.Warn().Str("operator", name).Str("address", address).Msg("sign_in_refused")
		return nil, api.KindUnauthorized
	}
	h.attempts.undo(name, address)
	return operator, ""
}

// operator returns the operator in the document in force, or nil.
func (h *Handler) operator(name string) *document.Operator {
	if snapshot := h.Config.Snapshot(); snapshot != nil {
		return snapshot.Operators[name]
	}
	return nil
}

func (h *Handler) showSignIn(w http.ResponseWriter, r *http.Request) {
	h.render(w, http.StatusOK, "sign_in", signInView{Next: localPath(r.URL.Query().Get("next"))})
}

func (h *Handler) signIn(w http.ResponseWriter, r *http.Request) {
	if !readForm(w, r, maxSignIn) {
		return
	}
	name, next := r.PostForm.Get("name"), localPath(r.PostForm.Get("next"))
	operator, refusal := h.authenticate(r, name, r.PostForm.Get("password"))
	switch refusal {
	case "":
		h.setCookie(w, operator)
		http.Redirect(w, r, next, http.StatusSeeOther)
	case api.KindOverloaded:
		h.render(w, http.StatusTooManyRequests, "sign_in", signInView{Name: name, Next: next, Fault: "Too many sign-ins. Wait 15 minutes after failed ones, or try again."})
	default:
		h.render(w, http.StatusUnauthorized, "sign_in", signInView{Name: name, Next: next, Fault: "Name or password is wrong."})
	}
}

// localPath returns path where it stays on this listener, and "/" otherwise.
func localPath(path string) string {
	parsed, err := url.Parse(path)
	if err != nil || parsed.Host != "" || parsed.Scheme != "" || !strings.HasPrefix(path, "/") ||
		strings.HasPrefix(path, "//") || strings.ContainsAny(path, "\\\r\n\t") {
		return "/"
	}
	return path
}

func (h *Handler) setCookie(w http.ResponseWriter, operator *document.Operator) {
	s := session{
		ID: uuid.NewString(), Operator: operator.Name,
		Expires: h.now().Add(h.Session), Password: secret.HashToken(operator.PasswordHash),
	}
	payload, err := json.Marshal(s)
	if err != nil {
		panic(err) // the type holds only plain values
	}
	http.SetCookie(w, h.cookie(secret.Seal(h.sealKey, payload), s.Expires))
}

func (h *Handler) cookie(value string, expires time.Time) *http.Cookie {
	return &http.Cookie{
		Name: cookieName, Value: value, Path: "/", Expires: expires,
		HttpOnly: true, Secure: h.Secure, SameSite: http.SameSiteStrictMode,
	}
}

func (h *Handler) signOut(r *visit) {
	if r.stale {
		h.showError(r, http.StatusForbidden, "The form was not made for this session. Open the page again.")
		return
	}
	http.SetCookie(r.w, h.cookie("", time.Unix(1, 0)))
	http.Redirect(r.w, r.Request, "/sign-in", http.StatusSeeOther)
}

// open returns the session of a request where it is valid: sealed by this site,
// not expired, and of an operator who still exists with the same password.
func (h *Handler) open(r *http.Request) (session, *document.Operator) {
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
	if operator == nil || secret.HashToken(operator.PasswordHash) != s.Password {
		return session{}, nil
	}
	return s, operator
}

// signedIn admits operators with a valid session. Forms must carry the token of the session.
func (h *Handler) signedIn(next func(*visit)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s, operator := h.open(r)
		if operator == nil {
			h.askSignIn(w, r)
			return
		}
		v := &visit{Request: r, w: w, operator: operator, session: s, token: secret.Seal(h.sealKey, []byte("form "+s.ID))}
		if r.Method == http.MethodPost {
			if !readForm(w, r, maxForm) {
				return
			}
			v.stale = subtle.ConstantTimeCompare([]byte(r.PostForm.Get("token")), []byte(v.token)) != 1
		}
		next(v)
	})
}

// askSignIn leads to the sign-in page. Where a form was sent, it keeps the
// browser on the form's address: after a sign-in in another tab, sending the
// form again shows it filled in.
func (h *Handler) askSignIn(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		http.Redirect(w, r, "/sign-in?next="+url.QueryEscape(r.URL.RequestURI()), http.StatusSeeOther)
		return
	}
	h.render(w, http.StatusUnauthorized, "sign_in", signInView{
		Next:  "/",
		Fault: "Your session has ended. Sign in in another tab, then reload this page: your form comes back filled in.",
	})
}

// editor admits editors only.
func (h *Handler) editor(next func(*visit)) http.Handler {
	return h.signedIn(func(r *visit) {
		if err := mustBeEditor(r.operator); err != nil {
			h.showError(r, http.StatusForbidden, "This page is for editors. You are signed in as a viewer.")
			return
		}
		next(r)
	})
}
