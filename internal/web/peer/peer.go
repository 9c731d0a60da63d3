// Package peer serves the HTTP interface for messages between hosts.
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

// Handler serves the messages between hosts. Except for Exchange, a message whose function
// is nil is not served.
type Handler struct {
	// Secret is the shared peer secret; if it is empty, all requests are refused.
	Secret   string
	Exchange func(member.Message) member.Message
	// Manifest returns the active manifest, or nil if there is none.
	Manifest func() json.RawMessage
	// Part returns the configuration part with the given digest, or nil if this host does
	// not have it.
	Part    func(digest string) []byte
	Grant   func(context.Context, member.GrantRequest) (member.Grant, error)
	Claims  func(context.Context, member.ClaimsRequest) (json.RawMessage, error)
	Metrics *metric.Set
	Log     *log.Logger
}

// digestPattern matches a SHA-256 digest in hex.
var digestPattern = regexp.MustCompile("^[0-9a-f]{64}$")

// Routes returns the HTTP handler of the peer interface.
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
		mux.HandleFunc("POST "+member.PathGrant, postHandler(h, member.MaxGrantRequest, h.Grant))
	}
	if h.Claims != nil {
		mux.HandleFunc("POST "+member.PathClaims, postHandler(h, member.MaxClaims, h.Claims))
	}
	return h.authenticate(mux)
}

// authenticate rejects requests without the peer secret.
func (h *Handler) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		provided := []byte(r.Header.Get(member.HeaderSecret))
		if h.Secret == "" || subtle.ConstantTimeCompare(provided, []byte(h.Secret)) != 1 {
			h.writeError(w, fault.New(api.KindUnauthorized, "the peer secret does not match"))
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
		h.writeError(w, err)
		return
	}
	if message.From.Host == "" {
		h.writeError(w, fault.New(api.KindBadRequest, "from.host is missing"))
		return
	}
	sent := h.writeJSON(w, h.Exchange(message))
	h.Metrics.Counter("member.exchange_bytes_sent").Inc(int64(sent))
}

func (h *Handler) manifest(w http.ResponseWriter, r *http.Request) {
	manifest := h.Manifest()
	if manifest == nil {
		h.writeError(w, fault.New(api.KindNotFound, "no configuration is active"))
		return
	}
	writeCompressed(w, r, "application/json", manifest)
}

func (h *Handler) part(w http.ResponseWriter, r *http.Request) {
	digest := r.PathValue("digest")
	if !digestPattern.MatchString(digest) {
		h.writeError(w, fault.New(api.KindBadRequest, "the digest is not a hex SHA-256"))
		return
	}
	part := h.Part(digest)
	if part == nil {
		h.writeError(w, fault.New(api.KindNotFound, "part %s does not exist", digest))
		return
	}
	writeCompressed(w, r, "application/octet-stream", part)
}

// writeCompressed writes body, compressed if the peer accepts gzip: manifests and parts
// are JSON and shrink to about two fifths of their size.
func writeCompressed(w http.ResponseWriter, r *http.Request, contentType string, body []byte) {
	w.Header().Set("Content-Type", contentType)
	if r.Header.Get("Accept-Encoding") != "gzip" {
		// The peer may have disconnected; it requests the body again.
		_, _ = w.Write(body)
		return
	}
	w.Header().Set("Content-Encoding", "gzip")
	compressed := gzip.NewWriter(w)
	_, _ = compressed.Write(body)
	_ = compressed.Close()
}

// postHandler returns a handler that decodes the request body, calls f and writes its result.
func postHandler[Request, Response any](h *Handler, limit int64, f func(context.Context, Request) (Response, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var request Request
		if _, err := decode(w, r, limit, &request); err != nil {
			h.writeError(w, err)
			return
		}
		response, err := f(r.Context(), request)
		if err != nil {
			h.writeError(w, err)
			return
		}
		h.writeJSON(w, response)
	}
}

// decode reads and decodes a body of at most limit bytes and returns its size. Unknown
// fields are ignored, so that hosts of two versions can run side by side.
func decode(w http.ResponseWriter, r *http.Request, limit int64, target any) (int, error) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return len(data), fault.New(api.KindTooLarge, "the body is larger than %d bytes", limit)
	case err != nil:
		return len(data), fault.Wrap(api.KindBadRequest, err, "the body can't be read")
	}
	if err := json.Unmarshal(data, target); err != nil {
		return len(data), fault.New(api.KindBadRequest, "the body is not valid: %v", err)
	}
	return len(data), nil
}

func (h *Handler) writeJSON(w http.ResponseWriter, body any) int {
	encoded, err := json.Marshal(body)
	if err != nil {
		h.writeError(w, fault.Wrap(api.KindInternal, err, "encode the response"))
		return 0
	}
	w.Header().Set("Content-Type", "application/json")
	// A nil value omits the Date header, which saves bytes in each exchange.
	w.Header()["Date"] = nil
	// The peer may have disconnected; it sends the request again.
	sent, _ := w.Write(encoded)
	return sent
}

func (h *Handler) writeError(w http.ResponseWriter, err error) {
	apiError := fault.ToAPI(err, "")
	h.Metrics.Counter("peer." + api.Kinds[apiError.Kind].Counter).Inc(1)
	h.Log.Warn().Str("kind", string(apiError.Kind)).Err(err).Msg("peer_message_refused")
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(api.Kinds[apiError.Kind].Status)
	// The peer may have disconnected; a write error is ignored.
	_ = json.NewEncoder(w).Encode(apiError)
}
