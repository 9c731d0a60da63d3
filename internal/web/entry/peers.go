package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"

	"redwingloft/internal/data/store"
	"redwingloft/internal/helper/clock"
	"redwingloft/internal/helper/fault"
	"redwingloft/internal/service/directory"
	"redwingloft/internal/service/outlier"
	"redwingloft/internal/service/stage"
	"redwingloft/pkg/api"
)

// pathState is the path of the call for a newer state.
const pathState = "/v1/state"

const (
	// maxMessage bounds the body of a call of another host.
	maxMessage = 1 << 20
	// maxDump bounds a whole state.
	maxDump = 64 << 20
)

// Peers serves the calls of other hosts.
type Peers struct {
	// Scheduler returns this host's scheduler of a group.
	Scheduler func(group stage.Group) *stage.Scheduler
	// Dump returns the state where it is newer than a version, or nil.
	Dump func(version store.Version) *directory.Dump
	// Outliers adds up what hosts see of upstreams.
	Outliers *outlier.Collector
	// InProgress counts the jobs of other hosts.
	InProgress atomic.Int64
}

// Routes returns the mux of the interface.
func (p *Peers) Routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+stage.PathJobs, p.job)
	mux.HandleFunc("POST "+stage.PathRelease, p.release)
	mux.HandleFunc("POST "+outlier.Path, p.outliers)
	mux.HandleFunc("GET "+pathState, p.state)
	return mux
}

func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxMessage)).Decode(into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// job runs a job of another host and answers with its outcome.
func (p *Peers) job(w http.ResponseWriter, r *http.Request) {
	var message stage.Message
	if !decode(w, r, &message) {
		return
	}
	p.InProgress.Add(1)
	defer p.InProgress.Add(-1)
	answer := json.NewEncoder(w)
	control := http.NewResponseController(w)
	// A caller that can't be reached is told by the end of its context.
	report := func(made []stage.StoredResults) {
		if answer.Encode(stage.Reply{Progress: made}) == nil {
			_ = control.Flush()
		}
	}
	w.Header().Set("Content-Type", "application/json")
	outcome, err := p.Scheduler(message.Group).Submit(r.Context(), message.Job(clock.Now()), report)
	if r.Context().Err() != nil {
		return
	}
	reply := stage.Reply{Stored: outcome.Stored, Home: outcome.Home}
	switch {
	case errors.Is(err, stage.ErrHandedBack):
		reply.HandedBack = true
	case err != nil:
		reply.Error = fault.ToAPI(err, message.Request)
	}
	// As above: the other host sees an answer without its end.
	_ = answer.Encode(reply)
}

func (p *Peers) release(w http.ResponseWriter, r *http.Request) {
	var message stage.ReleaseMessage
	if !decode(w, r, &message) {
		return
	}
	p.Scheduler(message.Group).Release(message.Results)
}

func (p *Peers) outliers(w http.ResponseWriter, r *http.Request) {
	var message outlier.Message
	if decode(w, r, &message) {
		writeJSON(w, http.StatusOK, p.Outliers.Exchange(&message, clock.Now()))
	}
}

func (p *Peers) state(w http.ResponseWriter, r *http.Request) {
	version, err := strconv.ParseInt(r.URL.Query().Get("version"), 10, 64)
	if err != nil {
		http.Error(w, "version is not a number", http.StatusBadRequest)
		return
	}
	dump := p.Dump(store.Version(version))
	if dump == nil {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	writeJSON(w, http.StatusOK, dump)
}

// FetchState returns a function that asks another host for a newer state.
func FetchState(client *http.Client) func(ctx context.Context, peer api.Address, version store.Version) (*directory.Dump, error) {
	return func(ctx context.Context, peer api.Address, version store.Version) (*directory.Dump, error) {
		target := fmt.Sprintf("http://%s%s?version=%d", peer, pathState, version)
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
		if err != nil {
			return nil, err
		}
		response, err := client.Do(request)
		if err != nil {
			return nil, err
		}
		defer response.Body.Close()
		switch response.StatusCode {
		case http.StatusNoContent:
			return nil, nil
		case http.StatusOK:
		default:
			return nil, fmt.Errorf("the other host answered %d", response.StatusCode)
		}
		var dump directory.Dump
		if err := json.NewDecoder(io.LimitReader(response.Body, maxDump)).Decode(&dump); err != nil {
			return nil, err
		}
		return &dump, nil
	}
}
