// Package peer serves the messages between hosts.
package peer

import (
	"compress/gzip"
	"context"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"regexp"

	"github.com/phuslu/log"

	"redwingloft/internal/helper/fault"
	"redwingloft/internal/helper/metric"
	"redwingloft/internal/service/member"
	"redwingloft/pkg/api"
)

// Handler serves the messages between hosts. A nil function means that this host does not serve the message.
type Handler struct {
	// Secret is the shared peer secret; an empty one matches no request.
	Secret   string
	Exchange func(member.Message) member.Message
	// Manifest returns the manifest in force, or nil where there is none.
	Manifest func() json.RawMessage
	// Part returns a configuration part, or nil where this host has none of that digest.
	Part    func(digest string) []byte
	Grant   func(context.Context, member.GrantRequest) (member.Grant, error)
	Claims  func(context.Context, member.ClaimsRequest) (json.RawMessage, error)
	Metrics *metric.Set
	Log     *log.Logger
}

// digestForm is the form of a hex SHA-256 digest.
var digestForm = regexp.MustCompile("^[0-9a-f]{64}$")

// Routes returns the mux of the interface.
func (h *Handler) Routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+member.PathExchange, h.exchange)
	if h.Manifest != nil {
		mux.HandleFunc("GET "+member.PathManifest, h.manifest)
	}
	if h.Part != nil {
		mux.HandleFunc("GET "+member.PathParts+"{digest}", h.part)
	}
	if h.Grant != nil {
		mux.HandleFunc("POST "+member.PathGrant, post(h, member.MaxGrantRequest, h.Grant))
	}
	if h.Claims != nil {
		mux.HandleFunc("POST "+member.PathClaims, post(h, member.MaxClaims, h.Claims))
	}
	return h.authenticate(mux)
}

// authenticate refuses requests without the peer secret.
func (h *Handler) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		given := []byte(r.Header.Get(member.HeaderSecret))
		if h.Secret == "" || subtle.ConstantTimeCompare(given, []byte(h.Secret)) != 1 {
			h.refuse(w, fault.New(api.KindUnauthorized, "the peer secret does not match"))
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (h *Handler) exchange(w http.ResponseWriter, r *http.Request) {
	var message member.Message
	size, err := decode(w, r, member.MaxExchange, &message)
	h.Metrics.Counter("member.exchange_bytes_received").Inc(int64(size))
	if err != nil {
		h.refuse(w, err)
		return
	}
	if message.From.Host == "" {
		h.refuse(w, fault.New(api.KindBadRequest, "from.host is missing"))
		return
	}
	sent := h.answer(w, h.Exchange(message))
	h.Metrics.Counter("member.exchange_bytes_sent").Inc(int64(sent))
}

func (h *Handler) manifest(w http.ResponseWriter, r *http.Request) {
	manifest := h.Manifest()
	if manifest == nil {
		h.refuse(w, fault.New(api.KindNotFound, "no configuration is in force"))
		return
	}
	zip(w, r, "application/json", manifest)
}

func (h *Handler) part(w http.ResponseWriter, r *http.Request) {
	digest := r.PathValue("digest")
	if !digestForm.MatchString(digest) {
		h.refuse(w, fault.New(api.KindBadRequest, "the digest is not a hex SHA-256"))
		return
	}
	part := h.Part(digest)
	if part == nil {
		h.refuse(w, fault.New(api.KindNotFound, "no part %s", digest))
		return
	}
	zip(w, r, "application/octet-stream", part)
}

// zip answers with a compressed body where the peer takes one: manifests and parts
// are JSON and shrink to about two fifths.
func zip(w http.ResponseWriter, r *http.Request, kind string, body []byte) {
	w.Header().Set("Content-Type", kind)
	if r.Header.Get("Accept-Encoding") != "gzip" {
		// The peer may have left; it asks again.
		_, _ = w.Write(body)
		return
	}
	w.Header().Set("Content-Encoding", "gzip")
	compressed := gzip.NewWriter(w)
	_, _ = compressed.Write(body)
	_ = compressed.Close()
}

// post returns a handler that decodes a body, calls f and answers its result.
func post[Request, Answer any](h *Handler, limit int64, f func(context.Context, Request) (Answer, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var request Request
		if _, err := decode(w, r, limit, &request); err != nil {
			h.refuse(w, err)
			return
		}
		answer, err := f(r.Context(), request)
		if err != nil {
			h.refuse(w, err)
			return
		}
		h.answer(w, answer)
	}
}

// decode reads a bounded body and returns its size. Unknown fields are accepted, so
// that hosts of two program versions can run side by side.
func decode(w http.ResponseWriter, r *http.Request, limit int64, into any) (int, error) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return len(data), fault.New(api.KindTooLarge, "the body has more than %d bytes", limit)
	case err != nil:
		return len(data), fault.Wrap(api.KindBadRequest, err, "the body can't be read")
	}
	if err := json.Unmarshal(data, into); err != nil {
		return len(data), fault.New(api.KindBadRequest, "the body is not valid: %v", err)
	}
	return len(data), nil
}

func (h *Handler) answer(w http.ResponseWriter, body any) int {
	encoded, err := json.Marshal(body)
	if err != nil {
		h.refuse(w, fault.Wrap(api.KindInternal, err, "encode the answer"))
		return 0
	}
	w.Header().Set("Content-Type", "application/json")
	// A nil value leaves the header out, which saves bytes in each exchange.
	w.Header()["Date"] = nil
	// The peer may have left; it asks again.
	sent, _ := w.Write(encoded)
	return sent
}

func (h *Handler) refuse(w http.ResponseWriter, err error) {
	answer := fault.ToAPI(err, "")
	h.Metrics.Counter("peer." + api.Kinds[answer.Kind].Counter).Inc(1)
	h.Log.Warn().Str("kind", string(answer.Kind)).Err(err).Msg("peer_message_refused")
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(api.Kinds[answer.Kind].Status)
	// The peer may have left; there is nobody to tell.
	_ = json.NewEncoder(w).Encode(answer)
}
