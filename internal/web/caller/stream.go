package caller

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"redwingloft/internal/service/request"
	"redwingloft/pkg/api"
)

// eventWriter writes server-sent events.
type eventWriter struct {
	w *liveWriter
	// started is true once the header was written; an error after that is an event.
	started bool
}

func (e *eventWriter) write(kind api.EventType, number uint64, data any) error {
	encoded, err := json.Marshal(data)
	if err != nil {
		return err
	}
	if !e.started {
		e.started = true
		e.w.startStream()
	}
	event := make([]byte, 0, len(encoded)+64)
	if number > 0 {
		event = fmt.Appendf(event, "id: %d\n", number)
	}
	event = fmt.Appendf(event, "event: %s\ndata: %s\n\n", kind, encoded)
	return e.w.writeEvent(event)
}

// stream answers a run with numbered events and one terminal event.
func (h *Handler) stream(w *liveWriter, r *http.Request, caller request.Caller, pipeline api.PipelineName, body api.RunRequest) {
	arrived := time.Now()
	events := &eventWriter{w: w}
	answer, err := h.Service.RunPipeline(traced(r), caller, pipeline, body, request.Stream{
		Accepted: func(event api.AcceptedEvent) error { return events.write(api.EventAccepted, 0, event) },
		Token: func(number uint64, event api.TokenEvent) error {
			return events.write(api.EventToken, number, event)
		},
	})
	h.recordRun(arrived, caller, pipeline, body, answer, err)
	switch {
	case err != nil && !events.started:
		h.refuse(w, r, caller, err)
	case err != nil:
		// The caller may have left; there is nobody to tell.
		_ = events.write(api.EventError, 0, h.failure(r, caller, err))
	default:
		h.logRun(caller, arrived, &answer.RunAnswer)
		_ = events.write(api.EventDone, 0, answer.Done())
	}
}
