package console

import (
	"bytes"
	"context"
	"fmt"
	"html"
	"mime/multipart"
	"net/http"
	"net/http/httptest"
	"net/url"
	"os"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingloft/internal/data/document"
	"redwingloft/internal/helper/fault"
	"redwingloft/internal/helper/logging"
	"redwingloft/internal/helper/secret"
	"redwingloft/pkg/api"
)

const (
	examplePassword = "for-local-use-only"
	// lowCostHash is a bcrypt hash of examplePassword at the lowest cost: with the race
	// detector, the usual cost takes more than a second.
	lowCostHash = "$2a$04$Z5xgscSFjM.sClmg2b5uZupXwkBAJxtqZauiBmo9L97/keGbaLTrK"
)

// testSite keeps revisions in memory and serves a console for them.
type testSite struct {
	t       testing.TB
	handler *Handler
	routes  http.Handler
	holder  document.SnapshotHolder

	mu        sync.Mutex
	documents []*document.Document
	entries   []HistoryEntry
	now       time.Time
	// commitError, if not nil, is returned by commit.
	commitError error
}

func newSite(t *testing.T) *testSite { return newSiteFor(t, "greenhand") }

func newSiteFor(t testing.TB, deployment string) *testSite {
	data, err := os.ReadFile("../../../deployments/" + deployment + "/document.json")
	assert.NilError(t, err)
	doc, err := document.Parse(data)
	assert.NilError(t, err)
	for i := range doc.Operators {
		doc.Operators[i].PasswordHash = lowCostHash
	}
	s := &testSite{t: t, now: time.Unix(1_800_000_000, 0)}
	_, err = s.commit(t.Context(), doc, 0, "settings", "first document")
	assert.NilError(t, err)
	s.handler = &Handler{
		Config:          Configuration{Snapshot: s.holder.Load, DocumentAt: s.documentAt, History: s.history, Commit: s.commit},
		Status:          exampleStatus,
		SessionKey:      []byte("seal-key-of-the-test"),
		SessionLifetime: time.Hour, SecureCookie: true, Log: logging.Discard(), Clock: func() time.Time { return s.now },
	}
	s.routes = s.handler.Routes()
	return s
}

func exampleStatus() Status {
	return Status{
		Host: "host-1", Revision: 4,
		Hosts:     []HostStatus{{Host: "host-1", Revision: 4}, {Host: "host-2", Revision: 3, State: "draining"}, {Host: "host-3"}},
		Upstreams: []UpstreamStatus{{Upstream: "encoder-1", State: "ejected", InFlight: 5}, {Upstream: "encoder-2", State: "healthy"}},
		Pipelines: []PipelineStatus{{Pipeline: "visit-plan", Requests: 8, Attained: 7}, {Pipeline: "care-note"}},
		Stages:    []StageStatus{{Pipeline: "visit-plan", Stage: "rerank", Attempts: 9, Cost: 1.25, LostCost: 0.5}},
		Counters:  map[string]int64{"refused.overloaded": 7, "failed.internal": 0, "retry.dial_failed": 3},
	}
}

// TestOverview guards against status values that are missing from the overview.
func TestOverview(t *testing.T) {
	status, body := newSite(t).browser("viewer").get("/")
	assert.Equal(t, status, http.StatusOK)
	for _, want := range []string{
		"3</strong> hosts, 1 behind", "2</strong> upstreams, 1 not healthy", "not known", "draining", `class="state ejected"`,
		"87.50\u00a0%", ">1.2500<", ">0.5000<", "refused.overloaded</code></th><td class=\"num\">7", "retry.dial_failed</code></th><td class=\"num\">3",
	} {
		assert.Assert(t, strings.Contains(body, want), "%q is not in %s", want, body)
	}
	assert.Assert(t, !strings.Contains(body, "failed.internal"))
}

func (s *testSite) commit(_ context.Context, doc *document.Document, base api.Revision, author, comment string) (api.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.commitError != nil {
		return 0, s.commitError
	}
	if int(base) != len(s.documents) {
		return 0, fault.New(api.KindConflict, "revision %d is active", len(s.documents))
	}
	snapshot, err := document.Compile(doc, base+1)
	if err != nil {
		return 0, fault.Wrap(api.KindBadRequest, err, "not valid")
	}
	s.documents = append(s.documents, doc)
	s.entries = append([]HistoryEntry{{Revision: base + 1, Author: author, Comment: comment, Time: s.now}}, s.entries...)
	s.holder.Store(snapshot)
	return base + 1, nil
}

func (s *testSite) documentAt(_ context.Context, revision api.Revision) (*document.Document, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if revision == 0 || int(revision) > len(s.documents) {
		return nil, fault.New(api.KindNotFound, "revision %d does not exist", revision)
	}
	return s.documents[revision-1], nil
}

func (s *testSite) history(_ context.Context, limit int) ([]HistoryEntry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entries[:min(limit, len(s.entries))], nil
}

func (s *testSite) revision() api.Revision { return s.holder.Load().Revision }

func (s *testSite) workspace(name api.WorkspaceName) *document.CompiledWorkspace {
	return s.holder.Load().Workspaces[name]
}

// browser is the session of a signed-in operator.
type browser struct {
	*testSite
	cookie string
	// header is added to each request.
	header map[string]string
}

func (s *testSite) send(r *http.Request) *httptest.ResponseRecorder {
	recorder := httptest.NewRecorder()
	s.routes.ServeHTTP(recorder, r)
	return recorder
}

func (s *testSite) signIn(name, password string) *httptest.ResponseRecorder {
	form := url.Values{"name": {name}, "password": {password}, "next": {"/history"}}
	r := httptest.NewRequest(http.MethodPost, "/sign-in", strings.NewReader(form.Encode()))
	r.Header.Set("Content-Type", "application/x-www-form-urlencoded")
	return s.send(r)
}

func (s *testSite) browser(name string) *browser {
	response := s.signIn(name, examplePassword)
	assert.Equal(s.t, response.Code, http.StatusSeeOther, response.Body.String())
	return &browser{testSite: s, cookie: strings.Split(response.Header().Get("Set-Cookie"), ";")[0]}
}

func (b *browser) get(path string) (int, string) {
	r := httptest.NewRequest(http.MethodGet, path, nil)
	r.Header.Set("Cookie", b.cookie)
	response := b.send(r)
	return response.Code, response.Body.String()
}

func (b *browser) post(path string, values url.Values) (int, string) {
	r := httptest.NewRequest(http.MethodPost, path, strings.NewReader(values.Encode()))
	r.Header.Set("Content-Type", "application/x-www-form-urlencoded")
	r.Header.Set("Cookie", b.cookie)
	for name, value := range b.header {
		r.Header.Set(name, value)
	}
	response := b.send(r)
	return response.Code, response.Body.String()
}

var (
	formPattern   = regexp.MustCompile(`(?s)<form[^>]*method="post" action="([^"]*)".*?</form>`)
	inputPattern  = regexp.MustCompile(`<input type="(\w+)"([^>]*)>`)
	selectPattern = regexp.MustCompile(`(?s)<select[^>]*name="([^"]*)"[^>]*>(.*?)</select>`)
	optionPattern = regexp.MustCompile(`<option value="([^"]*)"( selected)?`)
	areaPattern   = regexp.MustCompile(`(?s)<textarea[^>]*name="([^"]*)"[^>]*>\n?(.*?)</textarea>`)
	namePattern   = regexp.MustCompile(`name="([^"]*)"`)
	valuePattern  = regexp.MustCompile(`value="([^"]*)"`)
)

func match(pattern *regexp.Regexp, text string) string {
	if found := pattern.FindStringSubmatch(text); found != nil {
		return html.UnescapeString(found[1])
	}
	return ""
}

// submittedValues returns the values that a browser would submit for the form with the given action.
func submittedValues(t testing.TB, page, action string) url.Values {
	t.Helper()
	for _, form := range formPattern.FindAllStringSubmatch(page, -1) {
		if form[1] != action {
			continue
		}
		values := url.Values{}
		for _, input := range inputPattern.FindAllStringSubmatch(form[0], -1) {
			name, value := match(namePattern, input[2]), match(valuePattern, input[2])
			choice := input[1] == "checkbox" || input[1] == "radio"
			if name == "" || input[1] == "file" || choice && !strings.Contains(input[2], " checked") {
				continue
			}
			if choice && value == "" {
				value = "on"
			}
			values.Add(name, value)
		}
		for _, list := range selectPattern.FindAllStringSubmatch(form[0], -1) {
			for i, option := range optionPattern.FindAllStringSubmatch(list[2], -1) {
				if i == 0 || option[2] != "" {
					values.Set(html.UnescapeString(list[1]), html.UnescapeString(option[1]))
				}
			}
		}
		for _, area := range areaPattern.FindAllStringSubmatch(form[0], -1) {
			values.Set(html.UnescapeString(area[1]), html.UnescapeString(area[2]))
		}
		return values
	}
	t.Fatalf("the page has no form for %s: %s", action, page)
	return nil
}

// openForm opens a page and returns the values of its form with the given edits.
func (b *browser) openForm(page, action string, edits ...string) url.Values {
	b.t.Helper()
	status, body := b.get(page)
	assert.Equal(b.t, status, http.StatusOK, body)
	values := submittedValues(b.t, body, action)
	for i := 0; i < len(edits); i += 2 {
		values.Set(edits[i], edits[i+1])
	}
	return values
}

// submit submits a form with one of its buttons and checks the status of the response.
func (b *browser) submit(action string, values url.Values, button string, want int) string {
	b.t.Helper()
	values.Set("action", button)
	status, body := b.post(action, values)
	assert.Equal(b.t, status, want, body)
	return body
}

// reviewAndCommit submits a form for review and commits it.
func (b *browser) reviewAndCommit(action string, values url.Values) string {
	b.t.Helper()
	review := b.submit(action, values, "review", http.StatusOK)
	confirmed := submittedValues(b.t, review, action)
	confirmed.Set("comment", "the reason")
	return b.submit(action, confirmed, "commit", http.StatusOK)
}

// TestRoles guards against a viewer who can change the configuration or read hashes.
func TestRoles(t *testing.T) {
	s := newSite(t)
	viewer := s.browser("viewer")
	for _, path := range []string{"/", "/pipelines", "/serving", "/services", "/groups", "/workspaces", "/history", "/document", "/document.json"} {
		status, body := viewer.get(path)
		assert.Equal(t, status, http.StatusOK, path)
		assert.Assert(t, !strings.Contains(body, "$2a$") && !strings.Contains(body, s.workspace("arima").CredentialHashes[0]), path)
		assert.Assert(t, !strings.Contains(body, "Review"), path)
	}
	_, page := viewer.get("/")
	token := submittedValues(t, page, "/sign-out").Get("token")
	for _, f := range s.handler.forms() {
		if f.hasPage {
			status, _ := viewer.get(f.path)
			assert.Equal(t, status, http.StatusForbidden, f.path)
		}
		status, _ := viewer.post(f.path, url.Values{"token": {token}, "base": {"1"}, "action": {"commit"}, "deployment": {"other"}})
		assert.Equal(t, status, http.StatusForbidden, f.path)
	}
	status, _ := viewer.get("/operators")
	assert.Equal(t, status, http.StatusForbidden)
	assert.Equal(t, s.revision(), api.Revision(1))
}

// TestSessionEnds guards against cookies that are accepted after their expiry, after a
// password change, after the operator's removal, or after tampering.
func TestSessionEnds(t *testing.T) {
	s := newSite(t)
	editor := s.browser("editor")
	status, _ := editor.get("/")
	assert.Equal(t, status, http.StatusOK)

	altered := *editor
	altered.cookie = editor.cookie[:len(editor.cookie)-2] + "xx"
	status, _ = altered.get("/")
	assert.Equal(t, status, http.StatusSeeOther)

	viewer := s.browser("viewer")
	values := editor.openForm("/operators/edit?name=viewer", "/operators/edit", "password", "another password")
	editor.reviewAndCommit("/operators/edit", values)
	status, _ = viewer.get("/")
	assert.Equal(t, status, http.StatusSeeOther)

	form := editor.openForm("/site", "/site", "deployment", "other")
	s.now = s.now.Add(time.Hour + time.Second)
	status, _ = editor.get("/")
	assert.Equal(t, status, http.StatusSeeOther)
	editor.submit("/site", form, "commit", http.StatusUnauthorized)
	assert.Equal(t, s.revision(), api.Revision(2))
}

// TestAnyHostAcceptsTheSession guards against operators who have to sign in again on each host.
func TestAnyHostAcceptsTheSession(t *testing.T) {
	first, second := newSite(t), newSite(t)
	b := &browser{testSite: second, cookie: first.browser("editor").cookie}
	b.reviewAndCommit("/site", b.openForm("/site", "/site", "deployment", "other"))
	assert.Equal(t, second.revision(), api.Revision(2))
	otherSite := newSite(t)
	otherSite.handler.SessionKey = []byte("the key of another site")
	otherSite.routes = otherSite.handler.Routes()
	b.testSite = otherSite
	status, _ := b.get("/")
	assert.Equal(t, status, http.StatusSeeOther)
}

// TestRebaseReportsFaults guards against a rebase that commits an invalid document because
// the combined changes are valid only separately.
func TestRebaseReportsFaults(t *testing.T) {
	s := newSite(t)
	first, second := s.browser("editor"), s.browser("editor")
	mine := first.openForm("/workspaces/edit?name=tobago", "/workspaces/edit", "serves[care-note]", "third")
	second.reviewAndCommit("/versions/edit", second.openForm("/versions/edit?pipeline=care-note&copy=old", "/versions/edit", "name", "third"))
	mine.Set("base", "2")
	removal := second.openForm("/versions/edit?pipeline=care-note&name=third", "/versions/edit")
	second.reviewAndCommit("/versions/edit", url.Values{
		"token": removal["token"], "base": {"2"}, "item": {"third"}, "pipeline": {"care-note"}, "remove": {"yes"},
	})
	body := first.submit("/workspaces/edit", mine, "commit", http.StatusConflict)
	body = first.submit("/workspaces/edit", submittedValues(t, body, "/workspaces/edit"), "rebase", http.StatusUnprocessableEntity)
	assert.Assert(t, strings.Contains(body, "has no version"), body)
	assert.Equal(t, s.revision(), api.Revision(3))
}

// TestCookieAndHeaders guards against a cookie that is exposed to scripts, other sites or
// plain HTTP, against pages that load external content, and against open redirects.
func TestCookieAndHeaders(t *testing.T) {
	s := newSite(t)
	response := s.signIn("editor", examplePassword)
	cookie := response.Header().Get("Set-Cookie")
	for _, attribute := range []string{"HttpOnly", "Secure", "SameSite=Strict", "Path=/"} {
		assert.Assert(t, strings.Contains(cookie, attribute), cookie)
	}
	assert.Equal(t, response.Header().Get("Location"), "/history")
	assert.Assert(t, strings.HasPrefix(response.Header().Get("Content-Security-Policy"), "default-src 'none'; style-src 'self'"))
	assert.Equal(t, response.Header().Get("X-Content-Type-Options"), "nosniff")
	for _, next := range []string{"//evil.example", "https://evil.example/", `/\evil.example`, "evil"} {
		assert.Equal(t, localPath(next), "/", next)
	}
}

// TestFailedSignInsAreLimited guards against password guessing through the page or the JSON API.
func TestFailedSignInsAreLimited(t *testing.T) {
	s := newSite(t)
	for range failuresPerName {
		assert.Equal(t, s.signIn("editor", "wrong").Code, http.StatusUnauthorized)
	}
	assert.Equal(t, s.signIn("editor", examplePassword).Code, http.StatusTooManyRequests)
	assert.Equal(t, s.signIn("viewer", examplePassword).Code, http.StatusSeeOther)
	r := httptest.NewRequest(http.MethodGet, PathConfig, nil)
	r.SetBasicAuth("editor", examplePassword)
	assert.Equal(t, s.send(r).Code, http.StatusServiceUnavailable)
	s.now = s.now.Add(failureWindow + time.Second)
	assert.Equal(t, s.signIn("editor", examplePassword).Code, http.StatusSeeOther)
}

// TestBusySignInIsNotAFailure guards against a flood of sign-ins that locks out an operator with the right password.
func TestBusySignInIsNotAFailure(t *testing.T) {
	s := newSite(t)
	var releases []func()
	for range maxConcurrentHashes {
		release, ok := s.handler.signInLimiter.acquireHashSlot(t.Context())
		assert.Assert(t, ok)
		releases = append(releases, release)
	}
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	for range failuresPerName + 1 {
		r := httptest.NewRequestWithContext(canceled, http.MethodGet, PathConfig, nil)
		r.SetBasicAuth("editor", examplePassword)
		assert.Equal(t, s.send(r).Code, http.StatusServiceUnavailable)
	}
	for _, release := range releases {
		release()
	}
	assert.Equal(t, s.signIn("editor", examplePassword).Code, http.StatusSeeOther)
}

// TestCrossSitePosts guards against other sites that post with the operator's cookie.
func TestCrossSitePosts(t *testing.T) {
	s := newSite(t)
	editor := s.browser("editor")
	values := editor.openForm("/site", "/site", "deployment", "other")
	for _, header := range []map[string]string{{"Origin": "https://evil.example"}, {"Origin": "null"}, {"Sec-Fetch-Site": "cross-site"}} {
		editor.header = header
		editor.submit("/site", values, "commit", http.StatusForbidden)
	}
	editor.header = map[string]string{"Origin": "https://example.com"}
	other := s.browser("editor").openForm("/site", "/site")
	values.Set("token", other.Get("token"))
	body := editor.submit("/site", values, "commit", http.StatusForbidden)
	assert.Equal(t, s.revision(), api.Revision(1))
	// A form of an ended session is shown again with the entered values.
	again := submittedValues(t, body, "/site")
	assert.Equal(t, again.Get("deployment"), "other")
	editor.reviewAndCommit("/site", again)
	assert.Equal(t, s.revision(), api.Revision(2))
}

// TestFaultsKeepTheForm guards against a form that shows only its first fault or loses the entered values.
func TestFaultsKeepTheForm(t *testing.T) {
	s := newSite(t)
	editor := s.browser("editor")
	values := editor.openForm("/versions/edit?pipeline=visit-plan&name=new", "/versions/edit",
		"stages[0].group", "rerankers", "stages[1].top_k", "many", "stages[3].prompt", "Line one\r\nline <two>")
	body := editor.submit("/versions/edit", values, "review", http.StatusUnprocessableEntity)
	assert.Assert(t, strings.Contains(body, "2 faults"), body)
	assert.Assert(t, strings.Contains(body, `pipelines[visit-plan].versions[1].stages[0].group`))
	assert.Assert(t, strings.Contains(body, `href="#f-stages-1-top_k"`) && strings.Contains(body, `id="f-stages-1-top_k"`))
	again := submittedValues(t, body, "/versions/edit")
	assert.Equal(t, again.Get("stages[1].top_k"), "many")
	assert.Equal(t, again.Get("stages[0].group"), "rerankers")
	assert.Equal(t, strings.ReplaceAll(again.Get("stages[3].prompt"), "\r\n", "\n"), "Line one\nline <two>")
	again.Set("stages[0].group", "encoders")
	again.Set("stages[1].top_k", "9")
	editor.reviewAndCommit("/versions/edit", again)
	stages := s.holder.Load().Version("visit-plan", "new").Stages
	assert.Equal(t, len(stages), 4)
	assert.Equal(t, stages[1].TopK, 9)
	assert.Equal(t, stages[3].Prompt, "Line one\nline <two>")
}

// TestStageRows guards against errors in adding, moving and removing rows.
func TestStageRows(t *testing.T) {
	s := newSite(t)
	editor := s.browser("editor")
	values := editor.openForm("/versions/edit?pipeline=visit-plan&copy=old", "/versions/edit", "name", "third",
		"stages[2].remove_row", "on", "stages[4].name", "draft", "stages[4].kind", "generate", "stages[4].group", "loft-models", "stages[4].position", "3.5")
	body := editor.submit("/versions/edit", values, "more", http.StatusOK)
	editor.reviewAndCommit("/versions/edit", submittedValues(t, body, "/versions/edit"))
	var order []string
	for _, stage := range s.holder.Load().Version("visit-plan", "third").Stages {
		order = append(order, string(stage.Name))
	}
	assert.DeepEqual(t, order, []string{"encode", "retrieve", "draft", "generate"})
	editor.reviewAndCommit("/pipelines/edit", editor.openForm("/pipelines/edit", "/pipelines/edit", "name", "short", "versions[0].name", "v1",
		"versions[0].stages[0].name", "answer", "versions[0].stages[0].kind", "generate", "versions[0].stages[0].group", "loft-models"))
	assert.Equal(t, len(s.holder.Load().Version("short", "v1").Stages), 1)
}

// TestTwoOperators guards against a change that silently overwrites a concurrent one.
func TestTwoOperators(t *testing.T) {
	s := newSite(t)
	first, second := s.browser("editor"), s.browser("editor")
	mine := first.openForm("/workspaces/edit?name=arima", "/workspaces/edit", "weight", "3")
	conflicting := first.openForm("/workspaces/edit?name=tobago", "/workspaces/edit", "burst", "7")
	second.reviewAndCommit("/workspaces/edit", second.openForm("/workspaces/edit?name=tobago", "/workspaces/edit", "burst", "500"))

	body := first.submit("/workspaces/edit", mine, "commit", http.StatusConflict)
	assert.Equal(t, s.revision(), api.Revision(2))
	assert.Assert(t, strings.Contains(body, "workspaces[tobago].burst") && strings.Contains(body, "the reason"))
	review := first.submit("/workspaces/edit", submittedValues(t, body, "/workspaces/edit"), "rebase", http.StatusOK)
	first.submit("/workspaces/edit", submittedValues(t, review, "/workspaces/edit"), "commit", http.StatusOK)
	assert.Equal(t, s.workspace("arima").Weight, 3.0)
	assert.Equal(t, s.workspace("tobago").Burst, 500.0)

	body = first.submit("/workspaces/edit", conflicting, "commit", http.StatusConflict)
	assert.Assert(t, !strings.Contains(body, `value="rebase"`))
	body = first.submit("/workspaces/edit", submittedValues(t, body, "/workspaces/edit"), "rebase", http.StatusConflict)
	body = first.submit("/workspaces/edit", submittedValues(t, body, "/workspaces/edit"), "restart", http.StatusOK)
	again := submittedValues(t, body, "/workspaces/edit")
	assert.Equal(t, again.Get("burst"), "7")
	first.reviewAndCommit("/workspaces/edit", again)
	assert.Equal(t, s.workspace("tobago").Burst, 7.0)
}

// TestCommitFailureKeepsTheChange guards against a change that is lost if the key-value service is unavailable.
func TestCommitFailureKeepsTheChange(t *testing.T) {
	s := newSite(t)
	editor := s.browser("editor")
	s.commitError = fault.New(api.KindStoreUnavailable, "the commit was not applied")
	values := editor.openForm("/site", "/site", "limits.queue_length", "77")
	values.Set("comment", "shorter queue")
	body := editor.submit("/site", values, "commit", http.StatusServiceUnavailable)
	again := submittedValues(t, body, "/site")
	assert.Equal(t, again.Get("limits.queue_length"), "77")
	assert.Equal(t, again.Get("comment"), "shorter queue")
	s.commitError = nil
	editor.submit("/site", again, "commit", http.StatusOK)
	assert.Equal(t, s.holder.Load().Limits.QueueLength, 77)
	assert.Equal(t, s.entries[0].Comment, "shorter queue")
}

// TestNewWorkspace guards against a credential that is not accepted, is shown before the
// commit, or is stored in plain text.
func TestNewWorkspace(t *testing.T) {
	s := newSite(t)
	editor := s.browser("editor")
	values := editor.openForm("/workspaces/edit", "/workspaces/edit", "name", "couva", "serves[visit-plan]", "new")
	review := editor.submit("/workspaces/edit", values, "review", http.StatusOK)
	assert.Assert(t, !strings.Contains(review, `class="token"`))
	body := editor.submit("/workspaces/edit", submittedValues(t, review, "/workspaces/edit"), "commit", http.StatusOK)
	token := match(regexp.MustCompile(`<code class="token">(\w+)</code>`), body)
	workspace := s.workspace("couva")
	assert.Equal(t, len(workspace.CredentialHashes), 1)
	assert.Assert(t, secret.TokenMatches(token, workspace.CredentialHashes[0]))
	assert.Equal(t, string(workspace.Versions["visit-plan"].Name), "new")

	values = editor.openForm("/workspaces/edit?name=couva", "/workspaces/edit", "drop_credentials", fingerprint(workspace.CredentialHashes[0]), "new_credential", "on")
	editor.reviewAndCommit("/workspaces/edit", values)
	assert.Equal(t, len(s.workspace("couva").CredentialHashes), 1)
	assert.Assert(t, !secret.TokenMatches(token, s.workspace("couva").CredentialHashes[0]))
}

// TestBulkMove guards against a bulk change of too few or too many workspaces.
func TestBulkMove(t *testing.T) {
	s := newSite(t)
	editor := s.browser("editor")
	version := func(name api.WorkspaceName) string { return string(s.workspace(name).Versions["care-note"].Name) }
	values := editor.openForm("/serving?filter=o", "/serving", "bulk", "care-note/new", "scope", "filter")
	editor.reviewAndCommit("/serving", values)
	assert.Equal(t, version("tobago"), "new")
	assert.Equal(t, version("chaguanas"), "old")
	values = editor.openForm("/serving", "/serving", "cell/tobago/care-note", "old")
	editor.reviewAndCommit("/serving", values)
	assert.Equal(t, version("tobago"), "old")
	assert.Equal(t, version("port-of-spain"), "new")
	values = editor.openForm("/serving", "/serving", "bulk", "care-note/new")
	editor.submit("/serving", values, "review", http.StatusUnprocessableEntity)
}

// TestLastEditor guards against a change that removes the last editor, after which nobody
// could change the configuration.
func TestLastEditor(t *testing.T) {
	s := newSite(t)
	editor := s.browser("editor")
	body := editor.submit("/operators/edit", editor.openForm("/operators/edit?name=editor", "/operators/edit"), "remove", http.StatusUnprocessableEntity)
	assert.Assert(t, strings.Contains(body, "must be an editor"))
	for password, want := range map[string]string{"": "a new operator needs a password", "short": "a password has 12 to 72 bytes"} {
		body = editor.submit("/operators/edit", editor.openForm("/operators/edit", "/operators/edit", "name", "ada", "password", password), "review", http.StatusUnprocessableEntity)
		assert.Assert(t, strings.Contains(body, want) && !strings.Contains(body, "bcrypt"), body)
	}
	body = editor.submit("/operators/edit", editor.openForm("/operators/edit", "/operators/edit", "name", "ada", "role", "editor", "password", "twelve letters"), "review", http.StatusOK)
	assert.Assert(t, !strings.Contains(body, "twelve letters"))
	editor.submit("/operators/edit", submittedValues(t, body, "/operators/edit"), "commit", http.StatusOK)
	assert.Equal(t, s.signIn("ada", "twelve letters").Code, http.StatusSeeOther)
}

// TestRestoreAndDocument guards against a restore that lowers the revision number, and
// against a pasted text that is lost if it has a fault.
func TestRestoreAndDocument(t *testing.T) {
	s := newSite(t)
	editor := s.browser("editor")
	editor.reviewAndCommit("/site", editor.openForm("/site", "/site", "limits.queue_length", "5"))
	_, body := editor.get("/history/diff?from=1&to=2")
	assert.Assert(t, strings.Contains(body, "limits.queue_length"))
	editor.reviewAndCommit("/history/restore", editor.openForm("/history", "/history/restore", "revision", "1"))
	assert.Equal(t, s.revision(), api.Revision(3))
	assert.Equal(t, len(document.Diff(s.documents[0], s.documents[2])), 0)

	text := "{\"format\": 1,\n \"deployment\": <b>"
	values := editor.openForm("/document/edit", "/document/edit", "text", text)
	body = editor.submit("/document/edit", values, "review", http.StatusUnprocessableEntity)
	assert.Equal(t, submittedValues(t, body, "/document/edit").Get("text"), text)
	assert.Assert(t, strings.Contains(body, "at line 2"))
}

// TestUpload guards against an uploaded file that is ignored or truncated.
func TestUpload(t *testing.T) {
	s := newSite(t)
	editor := s.browser("editor")
	values := editor.openForm("/document/edit", "/document/edit", "action", "review")
	var body bytes.Buffer
	form := multipart.NewWriter(&body)
	for key := range values {
		assert.NilError(t, form.WriteField(key, values.Get(key)))
	}
	file, err := form.CreateFormFile("upload", "document.json")
	assert.NilError(t, err)
	_, err = file.Write([]byte(strings.Replace(values.Get("text"), `"deadline_ms": 7000`, `"deadline_ms": 6000`, 1)))
	assert.NilError(t, err)
	assert.NilError(t, form.Close())
	r := httptest.NewRequest(http.MethodPost, "/document/edit", &body)
	r.Header.Set("Content-Type", form.FormDataContentType())
	r.Header.Set("Cookie", editor.cookie)
	response := editor.send(r)
	assert.Equal(t, response.Code, http.StatusOK, response.Body.String())
	editor.submit("/document/edit", submittedValues(t, response.Body.String(), "/document/edit"), "commit", http.StatusOK)
	assert.Equal(t, s.holder.Load().Pipelines["visit-plan"].Deadline, document.Milliseconds(6000))
}

// TestLargeGroup guards against a form that can't hold the 1,500 upstreams of the target size.
func TestLargeGroup(t *testing.T) {
	s := newSite(t)
	doc := s.holder.Load().Document.Clone()
	for i := range 1500 {
		doc.Groups[0].Upstreams = append(doc.Groups[0].Upstreams, document.Upstream{
			ID: api.UpstreamID(fmt.Sprintf("more-%d", i)), DataCentre: "dc", Slots: 8,
			Address: api.Address(fmt.Sprintf("10.1.%d.%d:8000", i/250, i%250)),
		})
	}
	_, err := s.commit(t.Context(), doc, 1, "test", "")
	assert.NilError(t, err)
	editor := s.browser("editor")
	path := "/groups/edit?name=" + string(doc.Groups[0].Name)
	editor.reviewAndCommit("/groups/edit", editor.openForm(path, "/groups/edit", "cost_per_second", "7"))
	group := s.holder.Load().Groups[doc.Groups[0].Name]
	assert.Equal(t, group.CostPerSecond, document.Cost(7))
	assert.Equal(t, len(group.Upstreams), len(doc.Groups[0].Upstreams))
}

// TestUnchangedFormsChangeNothing guards against a form that drops or rewrites a field when
// it is submitted without edits.
func TestUnchangedFormsChangeNothing(t *testing.T) {
	for _, deployment := range []string{"greenhand", "blue_mountain"} {
		s := newSiteFor(t, deployment)
		editor := s.browser("editor")
		links := map[string]bool{"/site": true, "/serving": true, "/document/edit": true}
		for _, page := range []string{"/pipelines", "/services", "/groups", "/workspaces", "/operators"} {
			_, body := editor.get(page)
			for _, link := range regexp.MustCompile(`href="(/\w+/edit\?[^"]*name=[^"]*)"`).FindAllStringSubmatch(body, -1) {
				links[html.UnescapeString(link[1])] = true
			}
		}
		assert.Assert(t, len(links) > 25, "%d links", len(links))
		for link := range links {
			action, _, _ := strings.Cut(link, "?")
			body := editor.submit(action, editor.openForm(link, action), "review", http.StatusOK)
			assert.Assert(t, strings.Contains(body, "The form changes nothing."), "%s: %s", link, body)
		}
	}
}

// BenchmarkBulkReview measures the review of a bulk change of all workspaces at the target size.
func BenchmarkBulkReview(b *testing.B) {
	s := newSiteFor(b, "greenhand")
	doc := s.holder.Load().Document.Clone()
	for i := range 5100 - len(doc.Workspaces) {
		workspace := doc.Workspaces[0]
		workspace.Name = api.WorkspaceName(fmt.Sprintf("workspace-%d", i))
		doc.Workspaces = append(doc.Workspaces, workspace)
	}
	_, err := s.commit(b.Context(), doc, 1, "benchmark", "")
	assert.NilError(b, err)
	editor := s.browser("editor")
	values := editor.openForm("/serving", "/serving", "bulk", "care-note/new", "scope", "all")
	for b.Loop() {
		editor.submit("/serving", values, "review", http.StatusOK)
	}
}

// TestLongNamesAreNotRemembered guards against failed sign-ins whose names use the memory of a host.
func TestLongNamesAreNotRemembered(t *testing.T) {
	var limiter signInLimiter
	now := time.Unix(1_700_000_000, 0)
	for i := range 100 {
		limiter.countFailure(now, fmt.Sprint(i, strings.Repeat("x", 10_000)), fmt.Sprint("192.0.2.", i))
	}
	total := 0
	for key := range limiter.counts {
		total += len(key)
	}
	assert.Assert(t, total < 100*100, "%d bytes", total)
	limiter.uncountFailure(strings.Repeat("x", 10_000), "192.0.2.1")
	assert.Equal(t, limiter.counts["192.0.2.1"].count, 0)
}
