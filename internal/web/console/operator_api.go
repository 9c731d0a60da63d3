package console

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"

	"redwingloft/internal/data/document"
	"redwingloft/internal/helper/fault"
	"redwingloft/pkg/api"
)

// Paths of the JSON API.
const (
	PathConfig      = "/operator/v1/config"
	PathHistory     = PathConfig + "/history"
	PathRevisions   = PathConfig + "/revisions/"
	PathValidate    = PathConfig + "/validate"
	PathStatus      = "/operator/v1/status"
	PathRemoveHosts = "/operator/v1/hosts/remove"
)

// maxHistoryLimit is the maximum number of revisions in a response of PathHistory.
const maxHistoryLimit = 1000

// ConfigResponse contains a revision and its document.
type ConfigResponse struct {
	HistoryEntry
	Document json.RawMessage `json:"document"`
}

// CommitRequest is a request to commit a document.
type CommitRequest struct {
	Document json.RawMessage `json:"document"`
	// Base is the revision on which the document is based; the commit fails if another one is active.
	Base    api.Revision `json:"base_revision"`
	Comment string       `json:"comment,omitempty"`
}

// CommitResponse contains the new revision.
type CommitResponse struct {
	Revision api.Revision `json:"revision"`
}

// HistoryResponse lists revisions, newest first.
type HistoryResponse struct {
	Revisions []HistoryEntry `json:"revisions"`
}

// ValidateRequest is a request to validate a document.
type ValidateRequest struct {
	Document json.RawMessage `json:"document"`
}

// ValidateResponse lists all faults of a document; it is empty for a valid one.
type ValidateResponse struct {
	Faults []api.Fault `json:"faults"`
}

// RemoveHostsRequest is a request to remove stopped hosts from the member list.
type RemoveHostsRequest struct {
	Hosts []api.HostID `json:"hosts"`
}

// RemoveHostsResponse lists the removed hosts.
type RemoveHostsResponse struct {
	Removed []api.HostID `json:"removed"`
}

// apiHandler handles a request of the JSON API and returns the response body.
type apiHandler func(r *http.Request, operator *document.Operator) (any, error)

func (h *Handler) routeAPI(mux *http.ServeMux) {
	mux.Handle("GET "+PathConfig, h.requireBasicAuth(h.readConfig))
	mux.Handle("POST "+PathConfig, h.requireBasicAuth(h.commitConfig))
	mux.Handle("GET "+PathHistory, h.requireBasicAuth(h.readHistory))
	mux.Handle("GET "+PathRevisions+"{revision}", h.requireBasicAuth(h.readRevision))
	mux.Handle("POST "+PathValidate, h.requireBasicAuth(h.validateConfig))
	mux.Handle("POST "+PathRemoveHosts, h.requireBasicAuth(h.removeHosts))
	mux.Handle("GET "+PathStatus, h.requireBasicAuth(func(*http.Request, *document.Operator) (any, error) { return h.Status(), nil }))
}

// requireBasicAuth requires HTTP basic authentication of an operator and encodes the result
// of next as JSON.
func (h *Handler) requireBasicAuth(next apiHandler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		name, password, ok := r.BasicAuth()
		if !ok {
			w.Header().Set("WWW-Authenticate", `Basic realm="redwingloft operators", charset="UTF-8"`)
			writeJSON(w, nil, fault.New(api.KindUnauthorized, "an operator name and password are required"))
			return
		}
		operator, refusal := h.authenticate(r, name, password)
		switch refusal {
		case "":
		case api.KindOverloaded:
			writeJSON(w, nil, fault.WithRetryAfter(fault.New(refusal, "too many sign-ins; wait %s after failed ones", failureWindow), failureWindow))
			return
		default:
			writeJSON(w, nil, fault.New(refusal, "name or password is wrong"))
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxJSON)
		result, err := next(r, operator)
		writeJSON(w, result, err)
	})
}

func writeJSON(w http.ResponseWriter, result any, err error) {
	status := http.StatusOK
	if err != nil {
		apiError := fault.ToAPI(err, "")
		status, result = api.Kinds[apiError.Kind].Status, apiError
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The client may have disconnected; a write error is ignored.
	_ = json.NewEncoder(w).Encode(result)
}

func (h *Handler) readConfig(r *http.Request, operator *document.Operator) (any, error) {
	doc, revision := h.activeDocument()
	if revision == 0 {
		return nil, fault.New(api.KindNotFound, "no configuration is active")
	}
	return newConfigResponse(doc, h.historyEntry(r.Context(), revision), operator)
}

// historyEntry returns the history entry of a revision. Author, time and comment are empty
// if the recent history lacks the revision or the key-value service is unavailable.
func (h *Handler) historyEntry(ctx context.Context, revision api.Revision) HistoryEntry {
	entries, err := h.Config.History(ctx, defaultHistoryLimit)
	if err == nil {
		for _, entry := range entries {
			if entry.Revision == revision {
				return entry
			}
		}
	}
	return HistoryEntry{Revision: revision}
}

func newConfigResponse(doc *document.Document, entry HistoryEntry, operator *document.Operator) (any, error) {
	encoded, err := json.Marshal(redactHashes(doc, operator))
	if err != nil {
		return nil, fault.Wrap(api.KindInternal, err, "encode the document")
	}
	return ConfigResponse{HistoryEntry: entry, Document: encoded}, nil
}

func (h *Handler) readRevision(r *http.Request, operator *document.Operator) (any, error) {
	revision, err := parseRevision(r.PathValue("revision"))
	if err != nil {
		return nil, err
	}
	doc, err := h.documentAt(r.Context(), revision)
	if err != nil {
		return nil, err
	}
	return newConfigResponse(doc, h.historyEntry(r.Context(), revision), operator)
}

func (h *Handler) readHistory(r *http.Request, _ *document.Operator) (any, error) {
	limit := defaultHistoryLimit
	if text := r.URL.Query().Get("limit"); text != "" {
		var err error
		if limit, err = strconv.Atoi(text); err != nil || limit < 1 || limit > maxHistoryLimit {
			return nil, fault.New(api.KindBadRequest, "limit must be between 1 and %d", maxHistoryLimit)
		}
	}
	entries, err := h.Config.History(r.Context(), limit)
	if err != nil {
		return nil, err
	}
	return HistoryResponse{Revisions: entries}, nil
}

func (h *Handler) commitConfig(r *http.Request, operator *document.Operator) (any, error) {
	if err := checkEditor(operator); err != nil {
		return nil, err
	}
	var request CommitRequest
	if err := decodeJSON(r, &request); err != nil {
		return nil, err
	}
	doc, err := document.Parse(request.Document)
	if err != nil {
		return nil, fault.Wrap(api.KindBadRequest, err, "%s", err.Error())
	}
	if faults := validate(doc); len(faults) > 0 {
		return nil, fault.WithFaults(fault.New(api.KindBadRequest, "the document has %d faults", len(faults)), faults)
	}
	revision, err := h.Config.Commit(r.Context(), doc, request.Base, operator.Name, request.Comment)
	if err != nil {
		return nil, err
	}
	h.Log.Info().Str("operator", operator.Name).Uint64("revision", uint64(revision)).Msg("configuration_committed")
	return CommitResponse{Revision: revision}, nil
}

func (h *Handler) removeHosts(r *http.Request, operator *document.Operator) (any, error) {
	if err := checkEditor(operator); err != nil {
		return nil, err
	}
	var request RemoveHostsRequest
	if err := decodeJSON(r, &request); err != nil {
		return nil, err
	}
	if len(request.Hosts) == 0 {
		return nil, fault.New(api.KindBadRequest, "hosts is empty")
	}
	if err := h.RemoveHosts(r.Context(), request.Hosts); err != nil {
		return nil, err
	}
	h.Log.Warn().Str("operator", operator.Name).Int("hosts", len(request.Hosts)).Msg("hosts_removed")
	return RemoveHostsResponse{Removed: request.Hosts}, nil
}

func (h *Handler) validateConfig(r *http.Request, _ *document.Operator) (any, error) {
	var request ValidateRequest
	if err := decodeJSON(r, &request); err != nil {
		return nil, err
	}
	doc, err := document.Parse(request.Document)
	if err != nil {
		return ValidateResponse{Faults: []api.Fault{{Message: err.Error()}}}, nil
	}
	return ValidateResponse{Faults: append([]api.Fault{}, validate(doc)...)}, nil
}

func decodeJSON(r *http.Request, target any) error {
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	err := decoder.Decode(target)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return fault.New(api.KindTooLarge, "the body is larger than %d bytes", tooLarge.Limit)
	}
	if err != nil {
		return fault.Wrap(api.KindBadRequest, err, "the body is not valid: %s", err.Error())
	}
	if _, err := decoder.Token(); err != io.EOF {
		return fault.New(api.KindBadRequest, "the body has data after its end")
	}
	return nil
}
