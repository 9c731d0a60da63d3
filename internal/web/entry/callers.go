// Package entry implements the HTTP handlers of an entry host: callers' requests, the
// address list, readiness, and the calls of other entry hosts.
package entry

import (
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"redwingloft/internal/helper/clock"
	"redwingloft/internal/helper/fault"
	"redwingloft/internal/helper/metric"
	"redwingloft/internal/service/directory"
	"redwingloft/internal/service/forward"
	"redwingloft/internal/service/memory"
	"redwingloft/internal/web/guard"
	"redwingloft/pkg/api"
	"redwingloft/platform"
)

// CallerHandler is the HTTP handler of callers' requests.
type CallerHandler struct {
	Service *forward.Service
	View    func() *directory.View
	Log     *log.Logger
	Metrics *metric.Set
	// Memory accounts for the bodies of requests.
	Memory *memory.Account
	// BodyTimeout limits the time for receiving a request body.
	BodyTimeout time.Duration
	// Refusals logs callers that are refused because of what they send or don't read.
	Refusals *guard.RefusalLog
	// Closing reports whether connections are closed after the response.
	Closing func() bool
	// InProgress is the number of requests in progress.
	InProgress atomic.Int64
}

// ServeHTTP reads, decodes and forwards one request.
func (h *CallerHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	received := clock.Now()
	h.InProgress.Add(1)
	defer h.InProgress.Add(-1)
	if h.Closing() {
		w.Header().Set("Connection", "close")
	}
	body, holder, err := h.readBody(w, r)
	if err != nil {
		if holder != nil {
			holder.Release()
		}
		h.writeError(w, r, err)
		guard.DiscardBody(w, r)
		return
	}
	if holder != nil {
		defer holder.Release()
	}
	request, err := platform.DecodeRequest(r, body, received)
	if err != nil {
		h.writeError(w, r, fault.Wrap(api.KindBadRequest, err, "invalid request"))
		return
	}
	release, err := h.reserveItems(request)
	if err != nil {
		h.writeError(w, r, err)
		return
	}
	defer release()
	if err := h.Service.Serve(r.Context(), request, w); err != nil {
		h.writeError(w, r, err)
	}
}

// writeError writes an error that was not returned by an upstream.
func (h *CallerHandler) writeError(w http.ResponseWriter, r *http.Request, err error) {
	kind := fault.KindOf(err)
	if errors.Is(err, guard.ErrIncompleteBody) {
		h.Metrics.Counter("request.body_lost").Inc(1)
		panic(http.ErrAbortHandler)
	}
	if forward.IsUnread(err) {
		h.Refusals.Report(guard.Caller, r.RemoteAddr, "unread_response", err)
	}
	if forward.IsAborted(err) || kind == api.KindCallerGone {
		// Abort the connection, so that the caller does not take the response as complete.
		panic(http.ErrAbortHandler)
	}
	if guard.RefusesClient(kind) {
		h.Refusals.Report(guard.Caller, r.RemoteAddr, string(kind), err)
	}
	info := api.Kinds[kind]
	h.Metrics.Counter(info.Counter).Inc(1)
	if wait := fault.RetryDelay(err); wait > 0 {
		platform.SetRetryAfter(w.Header(), wait)
	}
	writeJSON(w, info.Status, fault.ToAPI(err, api.RequestID(r.Header.Get(platform.HeaderRequestID))))
}
