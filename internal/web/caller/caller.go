// Package caller serves the caller interface: the address list, pipelines and HTTP services.
package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/phuslu/log"

	"redwingloft/internal/data/trace"
	"redwingloft/internal/helper/fault"
	"redwingloft/internal/helper/logging"
	"redwingloft/internal/helper/metric"
	"redwingloft/internal/helper/timer"
	"redwingloft/internal/helper/tracing"
	"redwingloft/internal/service/memory"
	"redwingloft/internal/service/request"
	"redwingloft/internal/web/guard"
	"redwingloft/pkg/api"
)

// Handler serves the caller interface.
type Handler struct {
	Service *request.Service
	// Addresses returns the list of hosts for callers in a data centre.
	Addresses func(api.DataCentre) api.AddressList
	// BodyBytes returns the maximum size of a request body.
	BodyBytes func() int64
	// Memory accounts for the bodies of requests; nil means no limit.
	Memory  *memory.Account
	Metrics *metric.Set
	Log     *log.Logger
	// Timer triggers the keepalives; no keepalives are sent if it is nil.
	Timer *timer.Service
	// Record is called when a well-formed request has ended; nil disables recording.
	Record func(arrived time.Time, entry trace.Entry)

	keepalives     keepalives
	failureLimiter logging.Limiter
}

// Routes returns the HTTP handler of the caller interface.
func (h *Handler) Routes() http.Handler {
	if h.Timer != nil {
		h.Timer.Every(KeepaliveInterval, h.keepalives.sendAll)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+api.PathHosts, h.listHosts)
	mux.HandleFunc("POST "+api.PathPipelines+"{pipeline}/run", h.runPipeline)
	mux.HandleFunc(api.PathServices+"{service}/{call}", h.callService)
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		h.writeError(w, r, request.Caller{ID: requestID(r)}, fault.New(api.KindNotFound, "no %s %s", r.Method, r.URL.Path))
	})
	return mux
}

func (h *Handler) listHosts(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, http.StatusOK, h.Addresses(api.DataCentre(r.URL.Query().Get("data_centre"))))
}

func (h *Handler) runPipeline(w http.ResponseWriter, r *http.Request) {
	caller, err := readCaller(r)
	if err != nil {
		h.writeError(w, r, caller, err)
		return
	}
	var body api.RunRequest
	holder, err := h.readJSON(w, r, caller, &body)
	defer holder.Release()
	if err != nil {
		h.refuse(w, r, caller, err)
		return
	}
	pipeline := api.PipelineName(r.PathValue("pipeline"))
	arrived := time.Now()
	kw, end := h.keepalives.add(w)
	defer end()
	if body.Stream {
		h.streamPipeline(kw, r, caller, pipeline, body)
		return
	}
	ctx, release := h.serviceContext(r)
	defer release()
	response, err := h.Service.RunPipeline(ctx, caller, pipeline, body, request.StreamCallbacks{})
	h.recordRun(arrived, caller, pipeline, body, response, err)
	if err != nil {
		h.writeError(kw, r, caller, err)
		return
	}
	h.logRun(caller, arrived, &response.RunAnswer)
	writeJSON(kw, http.StatusOK, response.RunAnswer)
}

func (h *Handler) callService(w http.ResponseWriter, r *http.Request) {
	caller, err := readCaller(r)
	if err != nil {
		h.writeError(w, r, caller, err)
		return
	}
	body, holder, err := h.readBody(w, r, caller)
	defer holder.Release()
	if err != nil {
		h.refuse(w, r, caller, err)
		return
	}
	service, name := api.ServiceName(r.PathValue("service")), api.CallName(r.PathValue("call"))
	arrived := time.Now()
	kw, end := h.keepalives.add(w)
	defer end()
	ctx, release := h.serviceContext(r)
	defer release()
	response, err := h.Service.CallService(ctx, caller, service, name, r.Header.Get(api.HeaderIdempotencyKey), body)
	h.recordCall(arrived, r, caller, body, response, err)
	if err != nil {
		h.writeError(kw, r, caller, err)
		return
	}
	h.logCall(caller, arrived, service, name, response)
	writeJSON(kw, http.StatusOK, response)
}

// serviceContext returns the context of r with the caller's trace context and a reservation of memory for responses of
// upstreams. The returned function ends the reservation.
func (h *Handler) serviceContext(r *http.Request) (ctx context.Context, release func()) {
	ctx = tracing.WithParent(r.Context(), r.Header.Get(tracing.Header))
	if h.Memory == nil {
		return ctx, func() {}
	}
	reservation := h.Memory.NewReservation()
	return memory.WithReservation(ctx, reservation), reservation.Release
}

func requestID(r *http.Request) api.RequestID {
	if id := r.Header.Get(api.HeaderRequestID); id != "" && len(id) <= 128 {
		return api.RequestID(id)
	}
	return api.RequestID(uuid.NewString())
}

// readCaller parses and checks the headers that are common to all requests.
func readCaller(r *http.Request) (request.Caller, error) {
	caller := request.Caller{
		ID:         requestID(r),
		Workspace:  api.WorkspaceName(r.Header.Get(api.HeaderWorkspace)),
		Credential: strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer "),
		Priority:   api.Priority(r.Header.Get(api.HeaderPriority)),
	}
	if !caller.Priority.Valid() {
		return caller, fault.New(api.KindBadRequest, "header %s: %q is not one of high, normal and low", api.HeaderPriority, caller.Priority)
	}
	if text := r.Header.Get(api.HeaderDeadline); text != "" {
		milliseconds, err := strconv.ParseInt(text, 10, 32)
		if err != nil || milliseconds <= 0 {
			return caller, fault.New(api.KindBadRequest, "header %s: %q is not a positive number of milliseconds", api.HeaderDeadline, text)
		}
		caller.Timeout = time.Duration(milliseconds) * time.Millisecond
	}
	return caller, nil
}

// bodyCopies is the number of bytes that are held for each byte of a body: the body itself, the buffer in which
// it is decoded, what is decoded, and the request to an upstream.
const bodyCopies = 4

// readBody reads the body of a request of a caller whose credential is valid. The holder is released when the
// body is not needed any more; it may be nil.
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request, caller request.Caller) ([]byte, *memory.Holder, error) {
	owner, err := h.Service.Owner(caller)
	if err != nil {
		guard.CloseUnread(w, r)
		return nil, nil, err
	}
	body, holder, err := guard.ReadBody(w, r, guard.BodyLimits{Bytes: h.BodyBytes(), Memory: h.Memory, Owner: string(owner), Copies: bodyCopies})
	if errors.Is(err, guard.ErrIncompleteBody) {
		err = fault.Wrap(api.KindBadRequest, err, "the body can't be read")
	}
	return body.Bytes(), holder, err
}

// refuse writes the error for a request whose body was not read to its end or is not valid.
func (h *Handler) refuse(w http.ResponseWriter, r *http.Request, caller request.Caller, err error) {
	h.writeError(w, r, caller, err)
	guard.DiscardBody(w, r)
}

func (h *Handler) readJSON(w http.ResponseWriter, r *http.Request, caller request.Caller, target any) (*memory.Holder, error) {
	body, holder, err := h.readBody(w, r, caller)
	if err != nil {
		return holder, err
	}
	return holder, decodeJSON(body, target)
}

func decodeJSON(body []byte, target any) error {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return fault.New(api.KindBadRequest, "the body is not valid: %v", err)
	}
	if _, err := decoder.Token(); err != io.EOF {
		return fault.New(api.KindBadRequest, "the body has data after its end")
	}
	return nil
}

// writeError counts and logs err and writes it as the response.
func (h *Handler) writeError(w http.ResponseWriter, r *http.Request, caller request.Caller, err error) {
	apiError := h.reportError(r, caller, err)
	if apiError.RetryAfterMs > 0 {
		w.Header().Set("Retry-After", strconv.FormatInt((apiError.RetryAfterMs+999)/1000, 10))
	}
	writeJSON(w, api.Kinds[apiError.Kind].Status, apiError)
}

// reportError counts and logs err and converts it to an API error.
func (h *Handler) reportError(r *http.Request, caller request.Caller, err error) *api.Error {
	apiError := fault.ToAPI(err, caller.ID)
	h.Metrics.Counter(api.Kinds[apiError.Kind].Counter).Inc(1)
	h.logFailure(r, caller, apiError, err)
	return apiError
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The client may have disconnected; a write error is ignored.
	_ = json.NewEncoder(w).Encode(body)
}
