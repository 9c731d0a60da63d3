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
	w *keepaliveWriter
	// started is true after the header was written; later errors are sent as events.
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

// streamPipeline runs a pipeline and streams numbered events and one terminal event.
func (h *Handler) streamPipeline(w *keepaliveWriter, r *http.Request, caller request.Caller, pipeline api.PipelineName, body api.RunRequest) {
	arrived := time.Now()
	events := &eventWriter{w: w}
	ctx, release := h.serviceContext(r)
	defer release()
	response, err := h.Service.RunPipeline(ctx, caller, pipeline, body, request.StreamCallbacks{
		OnAccepted: func(event api.AcceptedEvent) error { return events.write(api.EventAccepted, 0, event) },
		OnToken: func(number uint64, event api.TokenEvent) error {
			return events.write(api.EventToken, number, event)
		},
	})
	h.recordRun(arrived, caller, pipeline, body, response, err)
	switch {
	case err != nil && !events.started:
		h.writeError(w, r, caller, err)
	case err != nil:
		// The caller may have disconnected; a write error is ignored.
		_ = events.write(api.EventError, 0, h.reportError(r, caller, err))
	default:
		h.logRun(caller, arrived, &response.RunAnswer)
		_ = events.write(api.EventDone, 0, response.DoneEvent())
	}
}
