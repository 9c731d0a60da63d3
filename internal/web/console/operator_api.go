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

// Paths of the JSON interface.
const (
	PathConfig    = "/operator/v1/config"
	PathHistory   = PathConfig + "/history"
	PathRevisions = PathConfig + "/revisions/"
	PathValidate  = PathConfig + "/validate"
	PathStatus    = "/operator/v1/status"
	PathRemove    = "/operator/v1/hosts/remove"
)

// maxHistory bounds an answer of PathHistory.
const maxHistory = 1000

// ConfigAnswer is one revision with its document.
type ConfigAnswer struct {
	Entry
	Document json.RawMessage `json:"document"`
}

// CommitRequest asks to put a document in force.
type CommitRequest struct {
	Document json.RawMessage `json:"document"`
	// Base is the revision from which the document was made; the commit fails where another one is in force.
	Base    api.Revision `json:"base_revision"`
	Comment string       `json:"comment,omitempty"`
}

// CommitAnswer names the new revision.
type CommitAnswer struct {
	Revision api.Revision `json:"revision"`
}

// HistoryAnswer lists revisions, the newest first.
type HistoryAnswer struct {
	Revisions []Entry `json:"revisions"`
}

// ValidateRequest asks for the faults of a document.
type ValidateRequest struct {
	Document json.RawMessage `json:"document"`
}

// ValidateAnswer lists all faults; a valid document has none.
type ValidateAnswer struct {
	Faults []api.Fault `json:"faults"`
}

// RemoveRequest asks to take hosts that have ended off the list of members.
type RemoveRequest struct {
	Hosts []api.HostID `json:"hosts"`
}

// RemoveAnswer names the removed hosts.
type RemoveAnswer struct {
	Removed []api.HostID `json:"removed"`
}

// action answers one request of the JSON interface.
type action func(r *http.Request, operator *document.Operator) (any, error)

func (h *Handler) routeAPI(mux *http.ServeMux) {
	mux.Handle("GET "+PathConfig, h.basic(h.readConfig))
	mux.Handle("POST "+PathConfig, h.basic(h.commitConfig))
	mux.Handle("GET "+PathHistory, h.basic(h.readHistory))
	mux.Handle("GET "+PathRevisions+"{revision}", h.basic(h.readRevision))
	mux.Handle("POST "+PathValidate, h.basic(h.validateConfig))
	mux.Handle("POST "+PathRemove, h.basic(h.removeHosts))
	mux.Handle("GET "+PathStatus, h.basic(func(*http.Request, *document.Operator) (any, error) { return h.Status(), nil }))
}

// basic admits operators by HTTP basic authentication and encodes the answer.
func (h *Handler) basic(next action) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		name, password, given := r.BasicAuth()
		if !given {
			w.Header().Set("WWW-Authenticate", `Basic realm="redwingloft operators", charset="UTF-8"`)
			answerJSON(w, nil, fault.New(api.KindUnauthorized, "an operator name and password are needed"))
			return
		}
		operator, refusal := h.authenticate(r, name, password)
		switch refusal {
		case "":
		case api.KindOverloaded:
			answerJSON(w, nil, fault.WithRetryAfter(fault.New(refusal, "too many sign-ins; wait %s after failed ones", failureWindow), failureWindow))
			return
		default:
			answerJSON(w, nil, fault.New(refusal, "name or password is wrong"))
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxJSON)
		result, err := next(r, operator)
		answerJSON(w, result, err)
	})
}

func answerJSON(w http.ResponseWriter, result any, err error) {
	status := http.StatusOK
	if err != nil {
		answer := fault.ToAPI(err, "")
		status, result = api.Kinds[answer.Kind].Status, answer
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The client may have left; there is nobody to tell.
	_ = json.NewEncoder(w).Encode(result)
}

func (h *Handler) readConfig(r *http.Request, operator *document.Operator) (any, error) {
	doc, revision := h.current()
	if revision == 0 {
		return nil, fault.New(api.KindNotFound, "no configuration is in force")
	}
	return configAnswer(doc, h.entry(r.Context(), revision), operator)
}

// entry describes a revision. Author, time and comment are left out where the
// recent history does not have them, or while the key-value service is out.
func (h *Handler) entry(ctx context.Context, revision api.Revision) Entry {
	entries, err := h.Config.History(ctx, historyLimit)
	if err == nil {
		for _, found := range entries {
			if found.Revision == revision {
				return found
			}
		}
	}
	return Entry{Revision: revision}
}

func configAnswer(doc *document.Document, entry Entry, operator *document.Operator) (any, error) {
	encoded, err := json.Marshal(visible(doc, operator))
	if err != nil {
		return nil, fault.Wrap(api.KindInternal, err, "encode the document")
	}
	return ConfigAnswer{Entry: entry, Document: encoded}, nil
}

func (h *Handler) readRevision(r *http.Request, operator *document.Operator) (any, error) {
	revision, err := parseRevision(r.PathValue("revision"))
	if err != nil {
		return nil, err
	}
	doc, err := h.at(r.Context(), revision)
	if err != nil {
		return nil, err
	}
	return configAnswer(doc, h.entry(r.Context(), revision), operator)
}

func (h *Handler) readHistory(r *http.Request, _ *document.Operator) (any, error) {
	limit := historyLimit
	if text := r.URL.Query().Get("limit"); text != "" {
		var err error
		if limit, err = strconv.Atoi(text); err != nil || limit < 1 || limit > maxHistory {
			return nil, fault.New(api.KindBadRequest, "limit is not between 1 and %d", maxHistory)
		}
	}
	entries, err := h.Config.History(r.Context(), limit)
	if err != nil {
		return nil, err
	}
	return HistoryAnswer{Revisions: entries}, nil
}

func (h *Handler) commitConfig(r *http.Request, operator *document.Operator) (any, error) {
	if err := mustBeEditor(operator); err != nil {
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
	if faults := check(doc); len(faults) > 0 {
		return nil, fault.WithFaults(fault.New(api.KindBadRequest, "the document has %d faults", len(faults)), faults)
	}
	revision, err := h.Config.Commit(r.Context(), doc, request.Base, operator.Name, request.Comment)
	if err != nil {
		return nil, err
	}
	h.Log.Info().Str("operator", operator.Name).Uint64("revision", uint64(revision)).Msg("configuration_committed")
	return CommitAnswer{Revision: revision}, nil
}

func (h *Handler) removeHosts(r *http.Request, operator *document.Operator) (any, error) {
	if err := mustBeEditor(operator); err != nil {
		return nil, err
	}
	var request RemoveRequest
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
	return RemoveAnswer{Removed: request.Hosts}, nil
}

func (h *Handler) validateConfig(r *http.Request, _ *document.Operator) (any, error) {
	var request ValidateRequest
	if err := decodeJSON(r, &request); err != nil {
		return nil, err
	}
	doc, err := document.Parse(request.Document)
	if err != nil {
		return ValidateAnswer{Faults: []api.Fault{{Message: err.Error()}}}, nil
	}
	return ValidateAnswer{Faults: append([]api.Fault{}, check(doc)...)}, nil
}

func decodeJSON(r *http.Request, into any) error {
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	err := decoder.Decode(into)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return fault.New(api.KindTooLarge, "the body is larger than %d bytes", tooLarge.Limit)
	}
	if err != nil {
		return fault.Wrap(api.KindBadRequest, err, "the body is not valid: %s", err.Error())
	}
	if _, err := decoder.Token(); err != io.EOF {
		return fault.New(api.KindBadRequest, "data after the end of the body")
	}
	return nil
}
