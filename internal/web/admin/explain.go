package admin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"redwingloft/internal/data/fleet"
	"redwingloft/internal/helper/clock"
	"redwingloft/internal/helper/fault"
	"redwingloft/internal/service/forward"
	"redwingloft/pkg/api"
	"redwingloft/platform"
)

// PathExplain is the path of reports on where a request would go.
const PathExplain = "/explain"

// FixedRequestID is used for requests that are given without an id.
const FixedRequestID = "explain"

// Parameters of PathExplain.
const (
	ParamHost      = "host"
	ParamPath      = "path"
	ParamWorkspace = "workspace"
	ParamParts     = "parts"
	ParamTokens    = "tokens"
	ParamItems     = "items"
	ParamLeftMs    = "left_ms"
	ParamID        = "id"
)

// explainHeaders maps parameters to the fields with which callers send them, so that both are decoded by
// the same code.
var explainHeaders = map[string]string{
	ParamParts: platform.HeaderPrompt, ParamTokens: platform.HeaderTokenUsage, ParamItems: platform.HeaderItems,
	ParamLeftMs: platform.HeaderDeadline, ParamID: platform.HeaderRequestID,
}

// ExplainFunc reports where a request of a workspace would go.
type ExplainFunc func(ctx context.Context, request *fleet.Request, workspace api.WorkspaceName) (*forward.Explanation, error)

// explain serves PathExplain.
func (h *Handler) explain(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	request, err := decodeExplain(query)
	if err != nil {
		writeError(w, http.StatusBadRequest, api.KindBadRequest, err.Error())
		return
	}
	report, err := h.Explain(r.Context(), request, api.WorkspaceName(query.Get(ParamWorkspace)))
	if err != nil {
		apiErr := fault.ToAPI(err, "")
		writeError(w, api.Kinds[apiErr.Kind].Status, apiErr.Kind, apiErr.Message)
		return
	}
	report.FixedID = query.Get(ParamID) == ""
	w.Header().Set("Content-Type", "application/json")
	// The client may have disconnected; a write error is ignored.
	_ = json.NewEncoder(w).Encode(report)
}

// decodeExplain decodes the parameters of PathExplain as those of a caller's request.
func decodeExplain(query url.Values) (*fleet.Request, error) {
	for name, values := range query {
		if len(values) > 1 {
			return nil, fmt.Errorf("%s is given more than once", name)
		}
		if _, known := explainHeaders[name]; !known && name != ParamHost && name != ParamPath && name != ParamWorkspace {
			return nil, fmt.Errorf("unknown parameter %s", name)
		}
	}
	host, path := query.Get(ParamHost), query.Get(ParamPath)
	switch {
	case host == "":
		return nil, errors.New("the host is missing")
	case !strings.HasPrefix(path, "/"):
		return nil, fmt.Errorf("the path %q does not start with a slash", path)
	}
	target, err := url.ParseRequestURI(path)
	if err != nil {
		return nil, fmt.Errorf("invalid path %q", path)
	}
	r := &http.Request{Method: http.MethodPost, Host: host, RequestURI: path, URL: target, Header: http.Header{}}
	r.Header.Set(platform.HeaderRequestID, FixedRequestID)
	for name, header := range explainHeaders {
		if value := query.Get(name); value != "" {
			r.Header.Set(header, value)
		}
	}
	if left := query.Get(ParamLeftMs); left != "" {
		if ms, err := strconv.ParseFloat(left, 64); err != nil || !(ms > 0) {
			return nil, fmt.Errorf("the time left %q is not a positive number of milliseconds", left)
		}
	}
	request, err := platform.DecodeRequest(r, nil, clock.Now())
	if err != nil {
		return nil, err
	}
	if usage := query.Get(ParamTokens); usage != "" && strings.Count(usage, ",") != 1 {
		return nil, fmt.Errorf("the token usage %q is not the prompt tokens and the maximum output tokens", usage)
	}
	for _, part := range request.Prompt {
		if part.ID == "" {
			return nil, errors.New("a prompt part has no id")
		}
	}
	return request, nil
}

func writeError(w http.ResponseWriter, status int, kind api.Kind, message string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(api.Error{Kind: kind, Message: message, Run: api.RunNo})
}
