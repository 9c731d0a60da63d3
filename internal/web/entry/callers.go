// Package entry implements the HTTP handlers of an entry host: callers' requests, the
// address list, readiness, and the calls of other entry hosts.
package entry

import (
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"redwingloft/internal/data/fleet"
	"redwingloft/internal/helper/clock"
	"redwingloft/internal/helper/fault"
	"redwingloft/internal/helper/metric"
	"redwingloft/internal/service/directory"
	"redwingloft/internal/service/forward"
	"redwingloft/pkg/api"
	"redwingloft/platform"
)

const (
	// defaultMaxBodyBytes limits a request body until a routing document sets the limit.
	defaultMaxBodyBytes = 4 << 20
	// bodyTimeout limits the time for receiving a request body.
	bodyTimeout = 10 * time.Second
)

// CallerHandler is the HTTP handler of callers' requests.
type CallerHandler struct {
	Service *forward.Service
	View    func() *directory.View
	Log     *log.Logger
	Metrics *metric.Set
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
	body, err := h.readBody(w, r)
	if err != nil {
		h.writeError(w, r, err)
		return
	}
	request, err := platform.DecodeRequest(r, body, received)
	if err != nil {
		h.writeError(w, r, fault.Wrap(api.KindBadRequest, err, "invalid request"))
		return
	}
	if err := h.Service.Serve(r.Context(), request, w); err != nil {
		h.writeError(w, r, err)
	}
}

// errIncompleteBody means that the body did not arrive completely, so no response can be sent.
var errIncompleteBody = errors.New("incomplete request body")

func (h *CallerHandler) readBody(w http.ResponseWriter, r *http.Request) (fleet.Body, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	limit := int64(defaultMaxBodyBytes)
	if snapshot := h.View().Snapshot; snapshot != nil && snapshot.Limits.MaxBodyBytes > 0 {
		limit = snapshot.Limits.MaxBodyBytes
	}
	if r.ContentLength > limit {
		w.Header().Set("Connection", "close")
		return nil, fault.New(api.KindTooLarge, "the body has more than %d bytes", limit)
	}
	control := http.NewResponseController(w)
	if err := control.SetReadDeadline(time.Now().Add(bodyTimeout)); err != nil {
		return nil, fault.Wrap(api.KindInternal, err, "set the read timeout of the body")
	}
	body, err := fleet.ReadBody(r.Body, r.ContentLength, limit, func(int64) error { return nil })
	switch {
	case errors.Is(err, fleet.ErrBodyTooLarge):
		return nil, fault.New(api.KindTooLarge, "the body has more than %d bytes", limit)
	case err != nil:
		return nil, errors.Join(errIncompleteBody, err)
	}
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		return nil, fault.Wrap(api.KindInternal, err, "clear the read timeout of the body")
	}
	return body, nil
}

// writeError writes an error that was not returned by an upstream.
func (h *CallerHandler) writeError(w http.ResponseWriter, r *http.Request, err error) {
	kind := fault.KindOf(err)
	if errors.Is(err, errIncompleteBody) {
		h.Metrics.Counter("request.body_lost").Inc(1)
		panic(http.ErrAbortHandler)
	}
	if forward.IsAborted(err) || kind == api.KindCallerGone {
		// Abort the connection, so that the caller does not take the response as complete.
		panic(http.ErrAbortHandler)
	}
	info := api.Kinds[kind]
	h.Metrics.Counter(info.Counter).Inc(1)
	if wait := fault.RetryDelay(err); wait > 0 {
		platform.SetRetryAfter(w.Header(), wait)
	}
	writeJSON(w, info.Status, fault.ToAPI(err, api.RequestID(r.Header.Get(platform.HeaderRequestID))))
}
