package caller

import (
	"encoding/json"
	"fmt"
	"net/http"

	"redwingloft/internal/service/request"
	"redwingloft/pkg/api"
)

// eventWriter writes server-sent events and flushes each of them.
type eventWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
	// started is true once the header was written; an error after that is an event.
	started bool
}

func (e *eventWriter) start() {
	if e.started {
		return
	}
	e.started = true
	e.w.Header().Set("Content-Type", "text/event-stream")
	e.w.Header().Set("Cache-Control", "no-store")
	e.w.WriteHeader(http.StatusOK)
}

func (e *eventWriter) write(kind api.EventType, number uint64, data any) error {
	e.start()
	encoded, err := json.Marshal(data)
	if err != nil {
		return err
	}
	if number > 0 {
		if _, err := fmt.Fprintf(e.w, "id: %d\n", number); err != nil {
			return err
		}
	}
	if _, err := fmt.Fprintf(e.w, "event: %s\ndata: %s\n\n", kind, encoded); err != nil {
		return err
	}
	return e.control.Flush()
}

// stream answers a run with numbered events and one terminal event.
func (h *Handler) stream(w http.ResponseWriter, r *http.Request, caller request.Caller, pipeline api.PipelineName, body api.RunRequest) {
	events := &eventWriter{w: w, control: http.NewResponseController(w)}
	answer, err := h.Service.RunPipeline(r.Context(), caller, pipeline, body, request.Stream{
		Accepted: func(event api.AcceptedEvent) error { return events.write(api.EventAccepted, 0, event) },
		Token: func(number uint64, event api.TokenEvent) error {
			return events.write(api.EventToken, number, event)
		},
	})
	switch {
	case err != nil && !events.started:
		h.refuse(w, caller.ID, err)
	case err != nil:
		_ = events.write(api.EventError, 0, h.failure(caller.ID, err))
	default:
		_ = events.write(api.EventDone, 0, answer.Done())
	}
}
