// Package fleet runs the stand-ins of a deployment in one process, with a control
// endpoint for fault injection.
package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"redwingloft/internal/data/document"
	"redwingloft/standin/engine"
	"redwingloft/standin/hostlist"
	"redwingloft/standin/injection"
	"redwingloft/standin/keyvalue"
	"redwingloft/standin/service"
)

// Speed holds the processing times, cache size and report lag of the stand-ins.
type Speed struct {
	// StepTime is the time of a decoding step.
	StepTime time.Duration
	// PrefillTime is the time for a thousand uncached prompt tokens.
	PrefillTime time.Duration
	// StageTime is the time of an embedding, search or rerank.
	StageTime time.Duration
	// ServiceTime is the time of a call of an HTTP service.
	ServiceTime time.Duration
	// CacheTokens is the size of each engine's prefix cache.
	CacheTokens int
	// ReportLag is the age of the load reported by engines.
	ReportLag time.Duration
}

// Fleet runs stand-ins. The zero value runs none.
type Fleet struct {
	Speed Speed

	mu        sync.Mutex
	servers   map[string]*http.Server
	injectors map[string]*injection.Injector
	histories map[string]*service.History
	engines   map[string]*engine.Server
	hostList  *hostlist.Server
}

// Start serves handler at address, with fault injection.
func (f *Fleet) Start(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	injector := &injection.Injector{}
	server := &http.Server{Handler: injector.Handler(handler), ReadHeaderTimeout: 10 * time.Second}
	f.mu.Lock()
	if f.servers == nil {
		f.servers, f.injectors = map[string]*http.Server{}, map[string]*injection.Injector{}
	}
	f.servers[address], f.injectors[address] = server, injector
	f.mu.Unlock()
	go func() { _ = server.Serve(injector.Listener(listener)) }()
	return nil
}

// StartKeyValue starts an empty key-value service.
func (f *Fleet) StartKeyValue(address string) error {
	return f.Start(address, keyvalue.New().Routes())
}

// StartHostList starts a host list of the upstreams of a document.
func (f *Fleet) StartHostList(address string, lag time.Duration, doc *document.Document) error {
	f.hostList = &hostlist.Server{Lag: lag}
	var targets []hostlist.Target
	for _, group := range doc.Groups {
		for _, upstream := range group.Upstreams {
			targets = append(targets, hostlist.Target{
				Targets: []string{string(upstream.Address)},
				Labels: map[string]string{
					"state": "live", "group": string(group.Name), "data_centre": string(upstream.DataCentre),
				},
			})
		}
	}
	f.hostList.Set(targets)
	return f.Start(address, f.hostList.Routes())
}

// StartUpstreams starts all upstreams of a document.
func (f *Fleet) StartUpstreams(doc *document.Document) error {
	f.histories, f.engines = map[string]*service.History{}, map[string]*engine.Server{}
	for _, group := range doc.Groups {
		history := &service.History{}
		f.histories[string(group.Name)] = history
		for _, upstream := range group.Upstreams {
			handler := f.newHandler(group, upstream, history)
			if err := f.Start(string(upstream.Address), handler); err != nil {
				return fmt.Errorf("upstream %s: %w", upstream.ID, err)
			}
		}
	}
	return nil
}

func (f *Fleet) newHandler(group document.Group, upstream document.Upstream, history *service.History) http.Handler {
	if group.Kind == document.GroupHTTP {
		server := &service.Server{
			History: history, Time: f.Speed.ServiceTime, ReportLoad: true,
			CheckFencing: group.Fencing == document.FencingChecked,
		}
		return server.Routes()
	}
	server := &engine.Server{
		Slots: upstream.Slots, StepTime: f.Speed.StepTime, PrefillTime: f.Speed.PrefillTime,
		StageTime: f.Speed.StageTime, ReportLoad: true, ReportLag: f.Speed.ReportLag, CacheTokens: f.Speed.CacheTokens,
	}
	f.engines[string(upstream.Address)] = server
	return server.Routes()
}

// Stop closes all servers.
func (f *Fleet) Stop() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, server := range f.servers {
		_ = server.Close()
	}
}

// Injector returns the fault injector of the stand-in at address, or nil.
func (f *Fleet) Injector(address string) *injection.Injector {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.injectors[address]
}

// History returns the call history of a group of HTTP service upstreams, or nil.
func (f *Fleet) History(group string) *service.History { return f.histories[group] }

// FaultRequest is the body of a request to the control endpoint that injects or clears faults.
type FaultRequest struct {
	// Address is that of the stand-in.
	Address string `json:"address"`
	// Clear clears all faults of the stand-in instead of injecting Fault.
	Clear bool            `json:"clear,omitempty"`
	Fault injection.Fault `json:"fault"`
}

// ControlHandler returns the handler of the control endpoint.
func (f *Fleet) ControlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /faults", f.handleFault)
	mux.HandleFunc("POST /host_list/leaving", func(w http.ResponseWriter, r *http.Request) {
		if f.hostList == nil {
			http.Error(w, "no host list is running", http.StatusNotFound)
			return
		}
		f.hostList.SetLabel(r.URL.Query().Get("address"), "state", "leaving")
	})
	mux.HandleFunc("GET /runs/{group}", func(w http.ResponseWriter, r *http.Request) {
		history := f.History(r.PathValue("group"))
		if history == nil {
			http.NotFound(w, r)
			return
		}
		_ = json.NewEncoder(w).Encode(history.Runs())
	})
	return mux
}

func (f *Fleet) handleFault(w http.ResponseWriter, r *http.Request) {
	var request FaultRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := f.applyFault(request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
}

func (f *Fleet) applyFault(request FaultRequest) error {
	injector := f.Injector(request.Address)
	switch {
	case injector == nil:
		return errors.New("no stand-in at address " + request.Address)
	case request.Clear:
		injector.Clear()
		return nil
	}
	return injector.Set(request.Fault)
}

// Wait waits until ctx is canceled and stops all servers.
func (f *Fleet) Wait(ctx context.Context) {
	<-ctx.Done()
	f.Stop()
}
