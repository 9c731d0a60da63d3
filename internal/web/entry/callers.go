// Package entry serves the platform's side of an entry host: callers' requests, the
// address list, readiness, and the calls of other entry hosts.
package entry

import (
	"errors"
	"io"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"redwingloft/internal/helper/clock"
	"redwingloft/internal/helper/fault"
	"redwingloft/internal/helper/metric"
	"redwingloft/internal/service/directory"
	"redwingloft/internal/service/forward"
	"redwingloft/pkg/api"
	"redwingloft/platform"
)

const (
	// defaultBodyBytes bounds a body until a routing document names the limit.
	defaultBodyBytes = 4 << 20
	// bodyTimeout bounds the arrival of a body.
	bodyTimeout = 10 * time.Second
)

// Callers serves callers' requests.
type Callers struct {
	Service *forward.Service
	View    func() *directory.View
	Log     *log.Logger
	Metrics *metric.Set
	// Closing reports whether connections are closed after their answer.
	Closing func() bool
	// InProgress counts the requests.
	InProgress atomic.Int64
}

// ServeHTTP serves one request.
func (h *Callers) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	received := clock.Now()
	h.InProgress.Add(1)
	defer h.InProgress.Add(-1)
	if h.Closing() {
		w.Header().Set("Connection", "close")
	}
	body, err := h.readBody(w, r)
	if err != nil {
		h.answer(w, r, err)
		return
	}
	request, err := platform.DecodeRequest(r, body, received)
	if err != nil {
		h.answer(w, r, fault.Wrap(api.KindBadRequest, err, "the request can't be read"))
		return
	}
	if err := h.Service.Serve(r.Context(), request, w); err != nil {
		h.answer(w, r, err)
	}
}

// errBodyLost tells that a body did not arrive whole, so that there is nobody to answer.
var errBodyLost = errors.New("the body broke off")

func (h *Callers) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	limit := int64(defaultBodyBytes)
	if snapshot := h.View().Snapshot; snapshot != nil && snapshot.Limits.MaxBodyBytes > 0 {
		limit = snapshot.Limits.MaxBodyBytes
	}
	if r.ContentLength > limit {
		w.Header().Set("Connection", "close")
		return nil, fault.New(api.KindTooLarge, "the body has more than %d bytes", limit)
	}
	control := http.NewResponseController(w)
	if err := control.SetReadDeadline(time.Now().Add(bodyTimeout)); err != nil {
		return nil, fault.Wrap(api.KindInternal, err, "bound the arrival of the body")
	}
	body, err := readUpTo(r, limit)
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, errBodyLost
	case err != nil:
		return nil, err
	}
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		return nil, fault.Wrap(api.KindInternal, err, "lift the bound of the body")
	}
	return body, nil
}

func readUpTo(r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength > 0 {
		body := make([]byte, r.ContentLength)
		if _, err := io.ReadFull(r.Body, body); err != nil {
			return nil, errors.Join(errBodyLost, err)
		}
		return body, nil
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		return nil, errors.Join(errBodyLost, err)
	}
	if int64(len(body)) > limit {
		return nil, fault.New(api.KindTooLarge, "the body has more than %d bytes", limit)
	}
	return body, nil
}

// answer sends an error of the system's own.
func (h *Callers) answer(w http.ResponseWriter, r *http.Request, err error) {
	kind := fault.KindOf(err)
	if errors.Is(err, errBodyLost) {
		h.Metrics.Counter("request.body_lost").Inc(1)
		panic(http.ErrAbortHandler)
	}
	if forward.IsAborted(err) || kind == api.KindCallerGone {
		// Without the end of the body the answer does not look complete.
		panic(http.ErrAbortHandler)
	}
	answer := api.Kinds[kind]
	h.Metrics.Counter(answer.Counter).Inc(1)
	if wait := fault.Wait(err); wait > 0 {
		platform.SetRetryAfter(w.Header(), wait)
	}
	writeJSON(w, answer.Status, fault.ToAPI(err, api.RequestID(r.Header.Get(platform.HeaderRequestID))))
}
