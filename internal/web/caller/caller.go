// Package caller serves the caller interface: the address list, pipelines and plain services.
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

	"redwingloft/internal/data/trace"
	"redwingloft/internal/helper/fault"
	"redwingloft/internal/helper/metric"
	"redwingloft/internal/helper/timer"
	"redwingloft/internal/helper/tracing"
	"redwingloft/internal/service/request"
	"redwingloft/pkg/api"
)

// Handler serves the caller interface.
type Handler struct {
	Service *request.Service
	// Addresses returns the hosts for callers in a data centre.
	Addresses func(api.DataCentre) api.AddressList
	// BodyBytes returns the bound of a request body.
	BodyBytes func() int64
	Metrics   *metric.Set
	Log       *log.Logger
	// Timer drives the signs of life; nil sends none.
	Timer *timer.Service
	// Record is told of every request that was not refused for its form, when it has
	// ended; nil is skipped.
	Record func(arrived time.Time, entry trace.Entry)

	pulse    pulse
	failures failureLog
}

// Routes returns the mux of the interface.
func (h *Handler) Routes() http.Handler {
	if h.Timer != nil {
		h.Timer.Every(PulsePeriod, h.pulse.beat)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+api.PathHosts, h.hosts)
	mux.HandleFunc("POST "+api.PathPipelines+"{pipeline}/run", h.run)
	mux.HandleFunc(api.PathServices+"{service}/{call}", h.call)
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		h.refuse(w, r, request.Caller{ID: requestID(r)}, fault.New(api.KindNotFound, "no %s %s", r.Method, r.URL.Path))
	})
	return mux
}

func (h *Handler) hosts(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, http.StatusOK, h.Addresses(api.DataCentre(r.URL.Query().Get("data_centre"))))
}

func (h *Handler) run(w http.ResponseWriter, r *http.Request) {
	caller, err := readCaller(r)
	if err != nil {
		h.refuse(w, r, caller, err)
		return
	}
	var body api.RunRequest
	if err := h.readJSON(w, r, &body); err != nil {
		h.refuse(w, r, caller, err)
		return
	}
	pipeline := api.PipelineName(r.PathValue("pipeline"))
	arrived := time.Now()
	live, end := h.pulse.add(w)
	defer end()
	if body.Stream {
		h.stream(live, r, caller, pipeline, body)
		return
	}
	answer, err := h.Service.RunPipeline(traced(r), caller, pipeline, body, request.Stream{})
	h.recordRun(arrived, caller, pipeline, body, answer, err)
	if err != nil {
		h.refuse(live, r, caller, err)
		return
	}
	h.logRun(caller, arrived, &answer.RunAnswer)
	writeJSON(live, http.StatusOK, answer.RunAnswer)
}

func (h *Handler) call(w http.ResponseWriter, r *http.Request) {
	caller, err := readCaller(r)
	if err != nil {
		h.refuse(w, r, caller, err)
		return
	}
	body, err := h.readBody(w, r)
	if err != nil {
		h.refuse(w, r, caller, err)
		return
	}
	service, name := api.ServiceName(r.PathValue("service")), api.CallName(r.PathValue("call"))
	arrived := time.Now()
	live, end := h.pulse.add(w)
	defer end()
	answer, err := h.Service.CallService(traced(r), caller, service, name, r.Header.Get(api.HeaderIdempotencyKey), body)
	h.recordCall(arrived, r, caller, body, answer, err)
	if err != nil {
		h.refuse(live, r, caller, err)
		return
	}
	h.logCall(caller, arrived, service, name, answer)
	writeJSON(live, http.StatusOK, answer)
}

// traced returns the context of r with the trace context that the caller sent.
func traced(r *http.Request) context.Context {
	return tracing.With(r.Context(), r.Header.Get(tracing.Header))
}

func requestID(r *http.Request) api.RequestID {
	if id := r.Header.Get(api.HeaderRequestID); id != "" && len(id) <= 128 {
		return api.RequestID(id)
	}
	return api.RequestID(uuid.NewString())
}

// readCaller checks the headers that come with every request.
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
		caller.Deadline = time.Duration(milliseconds) * time.Millisecond
	}
	return caller, nil
}

func (h *Handler) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, h.BodyBytes()))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, fault.New(api.KindTooLarge, "the body has more than %d bytes", tooLarge.Limit)
	case err != nil:
		return nil, fault.Wrap(api.KindBadRequest, err, "the body can't be read")
	}
	return body, nil
}

func (h *Handler) readJSON(w http.ResponseWriter, r *http.Request, into any) error {
	body, err := h.readBody(w, r)
	if err != nil {
		return err
	}
	decoder := json.NewDecoder(strings.NewReader(string(body)))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return fault.New(api.KindBadRequest, "the body is not valid: %v", err)
	}
	if _, err := decoder.Token(); err != io.EOF {
		return fault.New(api.KindBadRequest, "the body has data after its end")
	}
	return nil
}

// refuse answers with the error and counts it.
func (h *Handler) refuse(w http.ResponseWriter, r *http.Request, caller request.Caller, err error) {
	answer := h.failure(r, caller, err)
	if answer.RetryAfterMs > 0 {
		w.Header().Set("Retry-After", strconv.FormatInt((answer.RetryAfterMs+999)/1000, 10))
	}
	writeJSON(w, api.Kinds[answer.Kind].Status, answer)
}

// failure translates, counts and logs an error.
func (h *Handler) failure(r *http.Request, caller request.Caller, err error) *api.Error {
	answer := fault.ToAPI(err, caller.ID)
	h.Metrics.Counter(api.Kinds[answer.Kind].Counter).Inc(1)
	h.logFailure(r, caller, answer, err)
	return answer
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The client may have left; there is nobody to tell.
	_ = json.NewEncoder(w).Encode(body)
}
