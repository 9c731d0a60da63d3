// Package keyvalue is a stand-in of the platform's key-value service. It serves
// the part of the etcd version 3 JSON gateway that redwingloft uses.
package keyvalue

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"redwingloft/internal/data/store"
	"redwingloft/internal/plugin/memory"
)

// Server serves the gateway over an in-memory store.
type Server struct {
	Store *memory.Store

	mu    sync.Mutex
	calls map[string]int64
}

// New returns a server with an empty store.
func New() *Server {
	return &Server{Store: memory.New(), calls: map[string]int64{}}
}

// Calls returns the number of calls for each path.
func (s *Server) Calls() map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	copied := map[string]int64{}
	for path, count := range s.calls {
		copied[path] = count
	}
	return copied
}

// Routes returns the HTTP handler of the gateway.
func (s *Server) Routes() http.Handler {
	mux := http.NewServeMux()
	handle(s, mux, "/v3/kv/range", s.rangeKeys)
	handle(s, mux, "/v3/kv/txn", s.txn)
	handle(s, mux, "/v3/lease/grant", s.grant)
	handle(s, mux, "/v3/lease/keepalive", s.keepAlive)
	handle(s, mux, "/v3/lease/revoke", s.revoke)
	mux.HandleFunc("POST /v3/watch", s.watch)
	mux.HandleFunc("GET /calls", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Calls()) })
	return mux
}

func (s *Server) countCall(path string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[path]++
}

func handle[Request any](s *Server, mux *http.ServeMux, path string, handler func(context.Context, Request) (any, error)) {
	mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		s.countCall(path)
		var request Request
		if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		response, err := handler(r.Context(), request)
		if err != nil {
			writeError(w, err)
			return
		}
		writeJSON(w, response)
	})
}

// writeError responds with the status and message that the gateway uses for err.
func writeError(w http.ResponseWriter, err error) {
	status, message := http.StatusBadRequest, err.Error()
	if store.IsErrLeaseNotFound(err) {
		status, message = http.StatusNotFound, "etcdserver: requested lease not found"
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]string{"error": message, "message": message})
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

func (s *Server) rangeKeys(ctx context.Context, request rangeRequest) (any, error) {
	response := rangeResponse{}
	if len(request.RangeEnd) == 0 {
		entry, err := s.Store.Get(ctx, string(request.Key))
		if err != nil || entry == nil {
			return response, err
		}
		response.Kvs = append(response.Kvs, newKeyValue(*entry))
		return response, nil
	}
	entries, err := s.Store.List(ctx, commonPrefix(request.Key, request.RangeEnd), string(request.Key), 0)
	if err != nil {
		return nil, err
	}
	for _, entry := range entries {
		if entry.Key >= string(request.RangeEnd) || (request.Limit > 0 && len(response.Kvs) == int(request.Limit)) {
			break
		}
		response.Kvs = append(response.Kvs, newKeyValue(entry))
	}
	return response, nil
}

// commonPrefix returns the longest common prefix of a and b, which all keys between them share.
func commonPrefix(a, b []byte) string {
	n := 0
	for n < len(a) && n < len(b) && a[n] == b[n] {
		n++
	}
	return string(a[:n])
}

func (s *Server) txn(ctx context.Context, request txnRequest) (any, error) {
	if err := request.validate(); err != nil {
		return nil, err
	}
	result, err := s.Store.Txn(ctx, request.storeTxn())
	if err != nil {
		return nil, err
	}
	response := txnResponse{Succeeded: result.Applied}
	response.Header.Revision = int64(result.Version)
	found := map[string]store.Entry{}
	for _, entry := range result.Entries {
		found[entry.Key] = entry
	}
	if !result.Applied {
		for _, operation := range request.Failure {
			response.Responses = append(response.Responses, newResponseOp(operation, found))
		}
	}
	return response, nil
}

func (s *Server) grant(ctx context.Context, request leaseRequest) (any, error) {
	id, err := s.Store.Grant(ctx, time.Duration(request.TTL)*time.Second)
	return leaseResponse{ID: int64(id), TTL: request.TTL}, err
}

func (s *Server) keepAlive(ctx context.Context, request leaseRequest) (any, error) {
	response := struct {
		Result leaseResponse `json:"result"`
	}{leaseResponse{ID: request.ID, TTL: 1}}
	// As in the gateway, the response for an expired lease has a TTL of 0.
	if err := s.Store.KeepAlive(ctx, store.LeaseID(request.ID)); err != nil {
		response.Result.TTL = 0
	}
	return response, nil
}

func (s *Server) revoke(ctx context.Context, request leaseRequest) (any, error) {
	return struct{}{}, s.Store.Revoke(ctx, store.LeaseID(request.ID))
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	s.countCall("/v3/watch")
	var request watchRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	control := http.NewResponseController(w)
	encoder := json.NewEncoder(w)
	_ = encoder.Encode(newWatchResponse(nil))
	_ = control.Flush()
	from := store.Version(request.Create.StartRevision)
	err := s.Store.Watch(r.Context(), string(request.Create.Key), from, func(events []store.Event) {
		_ = encoder.Encode(newWatchResponse(events))
		_ = control.Flush()
	})
	if err != nil && r.Context().Err() == nil {
		canceled := newWatchResponse(nil)
		canceled.Result.Canceled, canceled.Result.CancelReason = true, err.Error()
		if store.IsErrCompacted(err) {
			canceled.Result.CompactRevision = int64(s.Store.Version())
		}
		_ = encoder.Encode(canceled)
	}
}
