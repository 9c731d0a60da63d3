package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"redwingloft/internal/data/store"
	"redwingloft/internal/helper/clock"
	"redwingloft/internal/helper/fault"
	"redwingloft/internal/service/directory"
	"redwingloft/internal/service/memory"
	"redwingloft/internal/service/outlier"
	"redwingloft/internal/service/stage"
	"redwingloft/internal/web/guard"
	"redwingloft/pkg/api"
)

// pathUpdates returns the changes of the directory after a given revision.
const pathUpdates = "/v1/updates"

const (
	// maxMessageBytes limits the request body of a call of another host.
	maxMessageBytes = 1 << 20
	// messageCopies is the number of bytes that are held for each byte of a message: the message and what is
	// decoded.
	messageCopies = 2
	// messageOwner is the owner of messages in the account.
	messageOwner = "other hosts"
)

// PeerHandler holds the HTTP handlers of the calls of other hosts.
type PeerHandler struct {
	// Scheduler returns the scheduler of a group on this host.
	Scheduler func(group stage.Group) *stage.Scheduler
	// Directory supplies the changes that other hosts follow.
	Directory *directory.Service
	// Outliers collects the observations of upstreams from all hosts.
	Outliers *outlier.Collector
	// Memory accounts for the messages; nil means no limit.
	Memory *memory.Account
	// updates encodes the changes of the directory.
	updates updateEncoder
	// InProgress is the number of jobs of other hosts in progress.
	InProgress atomic.Int64
}

// Routes returns the handler of all paths.
func (p *PeerHandler) Routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+stage.PathJobs, p.handleJob)
	mux.HandleFunc("POST "+stage.PathRelease, p.handleRelease)
	mux.HandleFunc("POST "+stage.PathDeadlines, p.handleDeadlines)
	mux.HandleFunc("POST "+outlier.Path, p.handleOutliers)
	mux.HandleFunc("GET "+pathUpdates, p.handleUpdates)
	return mux
}

// decodeBody decodes the message of another host. If it returns false, it has written an error. The message is
// released when the function returned with it is called.
func (p *PeerHandler) decodeBody(w http.ResponseWriter, r *http.Request, value any) (release func(), ok bool) {
	body, holder, err := guard.ReadBody(w, r, guard.BodyLimits{Bytes: maxMessageBytes, Memory: p.Memory, Owner: messageOwner, Copies: messageCopies})
	status := http.StatusBadRequest
	if err == nil {
		err = json.Unmarshal(body.Bytes(), value)
	} else if !errors.Is(err, guard.ErrIncompleteBody) {
		status = api.Kinds[fault.KindOf(err)].Status
	}
	if err != nil {
		holder.Release()
		http.Error(w, err.Error(), status)
		guard.DiscardBody(w, r)
		return nil, false
	}
	return holder.Release, true
}

// handleJob runs a job of another host and writes its progress and outcome.
func (p *PeerHandler) handleJob(w http.ResponseWriter, r *http.Request) {
	var message stage.Message
	release, ok := p.decodeBody(w, r, &message)
	if !ok {
		return
	}
	defer release()
	p.InProgress.Add(1)
	defer p.InProgress.Add(-1)
	encoder := json.NewEncoder(w)
	control := http.NewResponseController(w)
	// If the other host disconnects, r.Context() is canceled, so errors are ignored.
	report := func(stored []stage.StoredResults) {
		if encoder.Encode(stage.Reply{Progress: stored}) == nil {
			_ = control.Flush()
		}
	}
	w.Header().Set("Content-Type", "application/json")
	outcome, err := p.Scheduler(message.Group).Submit(r.Context(), message.Job(clock.Now()), report)
	if r.Context().Err() != nil {
		return
	}
	reply := stage.Reply{Stored: outcome.Stored, Home: outcome.Home, Known: outcome.Known}
	switch {
	case errors.Is(err, stage.ErrHandedBack):
		reply.HandedBack = true
	case err != nil:
		reply.Error = fault.ToAPI(err, message.Request)
	}
	// A write error is ignored: the other host has disconnected.
	_ = encoder.Encode(reply)
}

func (p *PeerHandler) handleRelease(w http.ResponseWriter, r *http.Request) {
	var message stage.ReleaseMessage
	release, ok := p.decodeBody(w, r, &message)
	if !ok {
		return
	}
	defer release()
	p.Scheduler(message.Group).Release(message.Results)
}

func (p *PeerHandler) handleDeadlines(w http.ResponseWriter, r *http.Request) {
	var message stage.DeadlineMessage
	release, ok := p.decodeBody(w, r, &message)
	if !ok {
		return
	}
	defer release()
	p.Scheduler(message.Group).ShortenDeadlines(message.Jobs)
}

func (p *PeerHandler) handleOutliers(w http.ResponseWriter, r *http.Request) {
	var message outlier.Message
	if release, ok := p.decodeBody(w, r, &message); ok {
		defer release()
		writeJSON(w, http.StatusOK, p.Outliers.Exchange(&message, clock.Now()))
	}
}

func (p *PeerHandler) handleUpdates(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, afterErr := strconv.ParseInt(query.Get("after"), 10, 64)
	holdMs, holdErr := strconv.ParseInt(query.Get("hold_ms"), 10, 64)
	if err := errors.Join(afterErr, holdErr); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	update, sent := p.Directory.Updates(r.Context(), store.Version(after), time.Duration(holdMs)*time.Millisecond)
	if update == nil {
		http.Error(w, "too many hosts are being sent the whole state", http.StatusServiceUnavailable)
		return
	}
	defer sent()
	data, err := p.updates.encode(store.Version(after), update)
	if err != nil {
		http.Error(w, "the update can't be encoded", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	// A write error means that the other host has disconnected.
	_, _ = w.Write(data)
}

// FetchUpdate returns a function that requests the changes of the directory of another host.
func FetchUpdate(client *http.Client) func(ctx context.Context, peer api.Address, after store.Version, hold time.Duration) (*directory.Update, error) {
	return func(ctx context.Context, peer api.Address, after store.Version, hold time.Duration) (*directory.Update, error) {
		target := fmt.Sprintf("http://%s%s?after=%d&hold_ms=%d", peer, pathUpdates, after, hold.Milliseconds())
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
		if err != nil {
			return nil, err
		}
		response, err := client.Do(request)
		if err != nil {
			return nil, err
		}
		defer response.Body.Close()
		if response.StatusCode != http.StatusOK {
			return nil, fmt.Errorf("the other host returned status %d", response.StatusCode)
		}
		return decodeUpdate(response.Body)
	}
}
