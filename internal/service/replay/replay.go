// Package replay sends the requests of a recorded trace and compares what the
// callers were told with the stated outcomes.
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

// Options configure a replay.
type Options struct {
	Trace *trace.Trace
	// Hosts are addresses of some entry hosts.
	Hosts []api.Address
	// Scheme and TLS are those of the client.
	Scheme string
	TLS    *tls.Config
	// Tokens maps each workspace to its credential.
	Tokens map[api.WorkspaceName]string
	// Speed multiplies the pace of the trace; 0 means 1.
	Speed float64
}

// Told is what one caller was told.
type Told struct {
	Index      int               `json:"index"`
	Workspace  api.WorkspaceName `json:"workspace"`
	DataCentre api.DataCentre    `json:"data_centre,omitempty"`
	// Key is the idempotency key of an order.
	Key     string        `json:"key,omitempty"`
	Outcome trace.Outcome `json:"outcome"`
	// Kind and Run are set where the request was not answered.
	Kind api.Kind     `json:"kind,omitempty"`
	Run  api.RunState `json:"run,omitempty"`
	// Fault tells how the outcome differs from the stated one, or is empty.
	Fault string `json:"fault,omitempty"`

	entry      *trace.Entry
	latency    time.Duration
	firstToken time.Duration
	gaps       []time.Duration
	answer     *client.Answer
	status     int
}

// player replays one trace.
type player struct {
	options Options
	mu      sync.Mutex
	clients map[identity]*client.Client
	keys    map[string]string
}

type identity struct {
	workspace  api.WorkspaceName
	dataCentre api.DataCentre
}

// Run replays the trace at its pace and returns the report.
func Run(ctx context.Context, options Options) (*Report, error) {
	if options.Speed <= 0 {
		options.Speed = 1
	}
	if len(options.Hosts) == 0 {
		return nil, errors.New("a replay needs the address of at least one entry host")
	}
	p := &player{options: options, clients: map[identity]*client.Client{}, keys: map[string]string{}}
	told := make([]Told, len(options.Trace.Entries))
	start := time.Now()
	var all sync.WaitGroup
	for i := range options.Trace.Entries {
		entry := &options.Trace.Entries[i]
		due := start.Add(time.Duration(float64(entry.AtMs)/options.Speed*1000) * time.Microsecond)
		if !waitUntil(ctx, due) {
			all.Wait()
			return nil, ctx.Err()
		}
		all.Go(func() { told[i] = p.send(ctx, i, entry) })
	}
	all.Wait()
	return newReport(options.Trace, told, time.Since(start)), nil
}

func waitUntil(ctx context.Context, due time.Time) bool {
	left := time.Until(due)
	if left <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// client returns the one client of a workspace in a data centre, so that its
// address list and connections are shared as they would be in one program.
func (p *player) client(entry *trace.Entry) *client.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	id := identity{entry.Workspace, entry.DataCentre}
	if p.clients[id] == nil {
		p.clients[id] = &client.Client{
			Hosts: p.options.Hosts, Scheme: p.options.Scheme, TLS: p.options.TLS, Workspace: entry.Workspace,
			Token: p.options.Tokens[entry.Workspace], DataCentre: entry.DataCentre,
		}
	}
	return p.clients[id]
}

// key returns the idempotency key of an order label.
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

func (p *player) send(ctx context.Context, index int, entry *trace.Entry) Told {
	t := Told{Index: index, Workspace: entry.Workspace, DataCentre: entry.DataCentre, entry: entry}
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
	t.settle(err)
	t.Fault = t.compare()
	return t
}

func (p *player) run(ctx context.Context, t *Told, start time.Time) error {
	last := start
	request := api.RunRequest{Input: t.entry.Input, MaxTokens: t.entry.MaxTokens}
	answer, err := p.client(t.entry).Stream(ctx, t.entry.Pipeline, request, func(api.TokenEvent) error {
		now := time.Now()
		if t.firstToken == 0 {
			t.firstToken = now.Sub(start)
		} else {
			t.gaps = append(t.gaps, now.Sub(last))
		}
		last = now
		return nil
	})
	t.answer = answer
	return err
}

func (p *player) call(ctx context.Context, t *Told) error {
	t.Key = p.key(t.entry.Order)
	answer, err := p.client(t.entry).Call(ctx, client.Order{
		Service: t.entry.Service, Call: t.entry.Call, Method: t.entry.Method, Body: t.entry.Body, Key: t.Key,
	})
	if err == nil {
		t.status = answer.Status
	}
	return err
}

// settle fills in the outcome.
func (t *Told) settle(err error) {
	var answer *api.Error
	switch {
	case err == nil:
		t.Outcome = trace.OutcomeAnswered
	case errors.As(err, &answer) && answer.Run == api.RunNo:
		t.Outcome, t.Kind, t.Run = trace.OutcomeRefused, answer.Kind, answer.Run
	case errors.As(err, &answer):
		t.Outcome, t.Kind, t.Run = trace.OutcomeFailed, answer.Kind, answer.Run
	case errors.Is(err, context.DeadlineExceeded):
		t.Outcome, t.Kind, t.Run = trace.OutcomeFailed, api.KindDeadlineExceeded, api.RunUnknown
	default:
		t.Outcome, t.Kind, t.Run = trace.OutcomeFailed, api.KindInternal, api.RunUnknown
	}
}

// compare returns how the outcome differs from the stated one.
func (t *Told) compare() string {
	want := t.entry.Expect
	switch {
	case t.Outcome != want.Outcome:
		return "the outcome is " + string(t.Outcome) + " (" + string(t.Kind) + "), stated is " + string(want.Outcome)
	case len(want.Kinds) > 0 && !slices.Contains(want.Kinds, t.Kind):
		return "the error kind is " + string(t.Kind)
	case want.Status != 0 && t.status != want.Status:
		return "the service gave another status than stated"
	case want.Tokens != 0 && (t.answer == nil || t.answer.Tokens != want.Tokens):
		return "the number of tokens differs from the stated one"
	case want.TextSHA256 != "" && (t.answer == nil || digest(t.answer.Text) != want.TextSHA256):
		return "the text differs from the stated one"
	}
	return ""
}

func digest(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}

// IsOrder reports whether the entry is a call that may not be repeated.
func (t *Told) IsOrder() bool { return t.entry != nil && t.entry.Order != "" }
