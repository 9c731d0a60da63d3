// Package replay sends the requests of a recorded trace and compares the outcomes
// that callers received with the expected ones.
package replay

import (
	"context"
	"crypto/sha256"
	"crypto/tls"
	"encoding/hex"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"

	"redwingloft/internal/data/trace"
	"redwingloft/pkg/api"
	"redwingloft/pkg/client"
)

// Options holds the trace, the entry hosts and the client settings of a replay.
type Options struct {
	Trace *trace.Trace
	// Hosts are the addresses of one or more entry hosts.
	Hosts []api.Address
	// Scheme and TLS are passed to each client.
	Scheme string
	TLS    *tls.Config
	// Tokens maps each workspace to its credential.
	Tokens map[api.WorkspaceName]string
	// Speed is the factor by which the trace is sped up; 0 means 1.
	Speed float64
}

// EntryResult is the outcome of one trace entry as its caller received it.
type EntryResult struct {
	Index      int               `json:"index"`
	Workspace  api.WorkspaceName `json:"workspace"`
	DataCentre api.DataCentre    `json:"data_centre,omitempty"`
	// Key is the idempotency key of an order.
	Key     string        `json:"key,omitempty"`
	Outcome trace.Outcome `json:"outcome"`
	// Kind and Run are set if the request was refused or failed.
	Kind api.Kind     `json:"kind,omitempty"`
	Run  api.RunState `json:"run,omitempty"`
	// Mismatch describes how the outcome differs from the expected one, or is empty.
	Mismatch string `json:"fault,omitempty"`

	entry      *trace.Entry
	latency    time.Duration
	firstToken time.Duration
	gaps       []time.Duration
	response   *client.Answer
	status     int
}

// player replays one trace.
type player struct {
	options Options
	mu      sync.Mutex
	clients map[clientKey]*client.Client
	keys    map[string]string
}

type clientKey struct {
	workspace  api.WorkspaceName
	dataCentre api.DataCentre
}

// Run replays the trace with its original timing, adjusted by Speed, and returns the report.
func Run(ctx context.Context, options Options) (*Report, error) {
	if options.Speed <= 0 {
		options.Speed = 1
	}
	if len(options.Hosts) == 0 {
		return nil, errors.New("a replay needs the address of at least one entry host")
	}
	p := &player{options: options, clients: map[clientKey]*client.Client{}, keys: map[string]string{}}
	results := make([]EntryResult, len(options.Trace.Entries))
	start := time.Now()
	var wg sync.WaitGroup
	for i := range options.Trace.Entries {
		entry := &options.Trace.Entries[i]
		due := start.Add(time.Duration(float64(entry.AtMs)/options.Speed*1000) * time.Microsecond)
		if !waitUntil(ctx, due) {
			wg.Wait()
			return nil, ctx.Err()
		}
		wg.Go(func() { results[i] = p.send(ctx, i, entry) })
	}
	wg.Wait()
	return newReport(options.Trace, results, time.Since(start)), nil
}

func waitUntil(ctx context.Context, due time.Time) bool {
	remaining := time.Until(due)
	if remaining <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(remaining)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// client returns the client of a workspace in a data centre. Its requests share one
// address list and connection pool, as they would in one program.
func (p *player) client(entry *trace.Entry) *client.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	id := clientKey{entry.Workspace, entry.DataCentre}
	if p.clients[id] == nil {
		p.clients[id] = &client.Client{
			Hosts: p.options.Hosts, Scheme: p.options.Scheme, TLS: p.options.TLS, Workspace: entry.Workspace,
			Token: p.options.Tokens[entry.Workspace], DataCentre: entry.DataCentre,
		}
	}
	return p.clients[id]
}

// key returns the idempotency key of an order label, and a new key for an empty label.
func (p *player) key(label string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if label != "" && p.keys[label] != "" {
		return p.keys[label]
	}
	key := uuid.Must(uuid.NewV7()).String()
	if label != "" {
		p.keys[label] = key
	}
	return key
}

func (p *player) send(ctx context.Context, index int, entry *trace.Entry) EntryResult {
	t := EntryResult{Index: index, Workspace: entry.Workspace, DataCentre: entry.DataCentre, entry: entry}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(entry.DeadlineMs)*time.Millisecond)
	defer cancel()
	start := time.Now()
	var err error
	if entry.Pipeline != "" {
		err = p.run(ctx, &t, start)
	} else {
		err = p.call(ctx, &t)
	}
	t.latency = time.Since(start)
	t.setOutcome(err)
	t.Mismatch = t.checkExpected()
	return t
}

func (p *player) run(ctx context.Context, t *EntryResult, start time.Time) error {
	last := start
	request := api.RunRequest{Input: t.entry.Input, MaxTokens: t.entry.MaxTokens}
	response, err := p.client(t.entry).Stream(ctx, t.entry.Pipeline, request, func(api.TokenEvent) error {
		now := time.Now()
		if t.firstToken == 0 {
			t.firstToken = now.Sub(start)
		} else {
			t.gaps = append(t.gaps, now.Sub(last))
		}
		last = now
		return nil
	})
	t.response = response
	return err
}

func (p *player) call(ctx context.Context, t *EntryResult) error {
	t.Key = p.key(t.entry.OrderLabel)
	response, err := p.client(t.entry).Call(ctx, client.Order{
		Service: t.entry.Service, Call: t.entry.Call, Method: t.entry.Method, Body: t.entry.Body, Key: t.Key,
	})
	if err == nil {
		t.status = response.Status
	}
	return err
}

// setOutcome sets the outcome from the error of the request.
func (t *EntryResult) setOutcome(err error) {
	var apiErr *api.Error
	switch {
	case err == nil:
		t.Outcome = trace.OutcomeAnswered
	case errors.As(err, &apiErr) && apiErr.Run == api.RunNo:
		t.Outcome, t.Kind, t.Run = trace.OutcomeRefused, apiErr.Kind, apiErr.Run
	case errors.As(err, &apiErr):
		t.Outcome, t.Kind, t.Run = trace.OutcomeFailed, apiErr.Kind, apiErr.Run
	case errors.Is(err, context.DeadlineExceeded):
		t.Outcome, t.Kind, t.Run = trace.OutcomeFailed, api.KindDeadlineExceeded, api.RunUnknown
	default:
		t.Outcome, t.Kind, t.Run = trace.OutcomeFailed, api.KindInternal, api.RunUnknown
	}
}

// checkExpected returns how the outcome differs from the expected one, or an empty string.
func (t *EntryResult) checkExpected() string {
	expected := t.entry.Expect
	switch {
	case t.Outcome != expected.Outcome:
		return "the outcome is " + string(t.Outcome) + " (" + string(t.Kind) + "), expected " + string(expected.Outcome)
	case len(expected.Kinds) > 0 && !slices.Contains(expected.Kinds, t.Kind):
		return "unexpected error kind " + string(t.Kind)
	case expected.Status != 0 && t.status != expected.Status:
		return "the status of the service differs from the expected one"
	case expected.Tokens != 0 && (t.response == nil || t.response.Tokens != expected.Tokens):
		return "the number of tokens differs from the expected one"
	case expected.TextSHA256 != "" && (t.response == nil || digest(t.response.Text) != expected.TextSHA256):
		return "the text differs from the expected one"
	}
	return ""
}

func digest(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}

// IsOrder reports whether the entry is an order, a call that must not be repeated.
func (t *EntryResult) IsOrder() bool { return t.entry != nil && t.entry.OrderLabel != "" }
