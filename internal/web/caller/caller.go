// Package caller serves the caller interface: the address list, pipelines and HTTP services.
package caller

import (
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

	"redwingloft/internal/data/fleet"
	"redwingloft/internal/data/trace"
	"redwingloft/internal/helper/fault"
	"redwingloft/internal/helper/logging"
	"redwingloft/internal/helper/metric"
	"redwingloft/internal/helper/timer"
	"redwingloft/internal/helper/tracing"
	"redwingloft/internal/service/memory"
	"redwingloft/internal/service/request"
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
	holder := h.holder(w, caller)
	defer holder.Release()
	if err := h.readJSON(w, r, holder, &body); err != nil {
		h.writeError(w, r, caller, err)
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
	response, err := h.Service.RunPipeline(traceContext(r), caller, pipeline, body, request.StreamCallbacks{})
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
	holder := h.holder(w, caller)
	defer holder.Release()
	body, err := h.readBody(w, r, holder)
	if err != nil {
		h.writeError(w, r, caller, err)
		return
	}
	service, name := api.ServiceName(r.PathValue("service")), api.CallName(r.PathValue("call"))
	arrived := time.Now()
	kw, end := h.keepalives.add(w)
	defer end()
	response, err := h.Service.CallService(traceContext(r), caller, service, name, r.Header.Get(api.HeaderIdempotencyKey), body)
	h.recordCall(arrived, r, caller, body, response, err)
	if err != nil {
		h.writeError(kw, r, caller, err)
		return
	}
	h.logCall(caller, arrived, service, name, response)
	writeJSON(kw, http.StatusOK, response)
}

// traceContext returns the context of r with the caller's trace context.
func traceContext(r *http.Request) context.Context {
	return tracing.WithParent(r.Context(), r.Header.Get(tracing.Header))
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

// holder returns an empty holder for the body of a request. A workspace is counted as it is named,
// before its credential is checked.
func (h *Handler) holder(w http.ResponseWriter, caller request.Caller) *memory.Holder {
	account := h.Memory
	if account == nil {
		account = &memory.Account{}
	}
	control := http.NewResponseController(w)
	return account.Open(string(caller.Workspace), time.Now(), func() { _ = control.SetReadDeadline(time.Unix(1, 0)) })
}

func (h *Handler) readBody(w http.ResponseWriter, r *http.Request, holder *memory.Holder) ([]byte, error) {
	limit := h.BodyBytes()
	body, err := fleet.ReadBody(http.MaxBytesReader(w, r.Body, limit), -1, limit, func(size int64) error { return holder.Grow(size, time.Now()) })
	if lost := holder.Complete(); lost != nil {
		err = lost
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, fault.New(api.KindTooLarge, "the body is larger than %d bytes", tooLarge.Limit)
	case errors.Is(err, memory.ErrStalled):
		return nil, fault.Wrap(api.KindBodyStalled, err, "the body did not arrive in time")
	case errors.Is(err, memory.ErrFull), errors.Is(err, memory.ErrEvicted):
		return nil, fault.AddRetryAfter(fault.Wrap(api.KindMemoryFull, err, "the host has no memory for the body"), h.Memory.RetryDelay(limit, time.Now()))
	case err != nil:
		return nil, fault.Wrap(api.KindBadRequest, err, "the body can't be read")
	}
	return body.Bytes(), nil
}

func (h *Handler) readJSON(w http.ResponseWriter, r *http.Request, holder *memory.Holder, target any) error {
	body, err := h.readBody(w, r, holder)
	if err != nil {
		return err
	}
	decoder := json.NewDecoder(strings.NewReader(string(body)))
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
