// Package fleet runs the stand-ins of a deployment in one process and takes
// orders to fail from a control endpoint.
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

// Speed sets the times of the stand-ins.
type Speed struct {
	StepTime    time.Duration
	PrefillTime time.Duration
	StageTime   time.Duration
	ServiceTime time.Duration
	CacheTokens int
	// ReportLag is the age of the load that engines report.
	ReportLag time.Duration
}

// Fleet runs stand-ins. The zero value is empty.
type Fleet struct {
	Speed Speed

	mu        sync.Mutex
	servers   map[string]*http.Server
	injectors map[string]*injection.Injector
	histories map[string]*service.History
	engines   map[string]*engine.Server
	list      *hostlist.Server
}

// Start serves handler at address behind an injector.
func (f *Fleet) Start(address string, handler http.Handler) error {
	inner, err := net.Listen("tcp", address)
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
	go func() { _ = server.Serve(injector.Listener(inner)) }()
	return nil
}

// StartKeyValue starts a key-value service.
func (f *Fleet) StartKeyValue(address string) error {
	return f.Start(address, keyvalue.New().Routes())
}

// StartHostList starts the host list of the started upstreams.
func (f *Fleet) StartHostList(address string, lag time.Duration, doc *document.Document) error {
	f.list = &hostlist.Server{Lag: lag}
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
	f.list.Set(targets)
	return f.Start(address, f.list.Routes())
}

// StartUpstreams starts every upstream of a document.
func (f *Fleet) StartUpstreams(doc *document.Document) error {
	f.histories, f.engines = map[string]*service.History{}, map[string]*engine.Server{}
	for _, group := range doc.Groups {
		history := &service.History{}
		f.histories[string(group.Name)] = history
		for _, upstream := range group.Upstreams {
			handler := f.handler(group, upstream, history)
			if err := f.Start(string(upstream.Address), handler); err != nil {
				return fmt.Errorf("upstream %s: %w", upstream.ID, err)
			}
		}
	}
	return nil
}

func (f *Fleet) handler(group document.Group, upstream document.Upstream, history *service.History) http.Handler {
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

// Stop ends all servers.
func (f *Fleet) Stop() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, server := range f.servers {
		_ = server.Close()
	}
}

// Injector returns the injector of an address, or nil.
func (f *Fleet) Injector(address string) *injection.Injector {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.injectors[address]
}

// History returns the runs of a plain service's group.
func (f *Fleet) History(group string) *service.History { return f.histories[group] }

// Order is one order of the control endpoint.
type Order struct {
	// Address is the stand-in that fails.
	Address string `json:"address"`
	// Clear ends all faults of the address in place of adding one.
	Clear bool            `json:"clear,omitempty"`
	Fault injection.Fault `json:"fault"`
}

// Control returns the handler of the control endpoint.
func (f *Fleet) Control() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /faults", f.order)
	mux.HandleFunc("POST /host_list/leaving", func(w http.ResponseWriter, r *http.Request) {
		if f.list == nil {
			http.Error(w, "no host list runs here", http.StatusNotFound)
			return
		}
		f.list.Label(r.URL.Query().Get("address"), "state", "leaving")
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

func (f *Fleet) order(w http.ResponseWriter, r *http.Request) {
	var order Order
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := f.apply(order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
}

func (f *Fleet) apply(order Order) error {
	injector := f.Injector(order.Address)
	switch {
	case injector == nil:
		return errors.New("no stand-in at " + order.Address)
	case order.Clear:
		injector.Clear()
		return nil
	}
	return injector.Set(order.Fault)
}

// Wait waits for the end of ctx and stops all servers.
func (f *Fleet) Wait(ctx context.Context) {
	<-ctx.Done()
	f.Stop()
}
