package request

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/joomcode/errorx"

	"redwingloft/internal/data/document"
	"redwingloft/internal/data/fleet"
	"redwingloft/internal/data/store"
	"redwingloft/internal/helper/fault"
	"redwingloft/internal/service/account"
	"redwingloft/internal/service/admission"
	"redwingloft/internal/service/memory"
	"redwingloft/internal/service/order"
	"redwingloft/internal/service/retry"
	"redwingloft/internal/service/route"
	"redwingloft/internal/service/upstream"
	"redwingloft/pkg/api"
)

const (
	// maxServiceResponse limits the response body of a service, in bytes.
	maxServiceResponse = 8 << 20
	// maxCallAttempts limits the attempts of a repeatable call.
	maxCallAttempts = 3
)

// CallService calls a service for a caller. Calls that must not be repeated go through the order coordinator.
func (s *Service) CallService(ctx context.Context, caller Caller, service api.ServiceName, name api.CallName, key string, body []byte) (*api.ServiceAnswer, error) {
	ctx, exit, err := s.tracker.enter(ctx)
	if err != nil {
		return nil, err
	}
	defer exit()
	answer, err := s.callService(ctx, caller, service, name, key, body)
	return answer, givenUpError(ctx, err)
}

func (s *Service) callService(ctx context.Context, caller Caller, service api.ServiceName, name api.CallName, key string, body []byte) (*api.ServiceAnswer, error) {
	prepared, err := s.prepareCall(s.Snapshot(), caller, service, name)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, effectiveDeadline(caller.Timeout, prepared.call.Deadline))
	defer cancel()
	outcome, err := s.runCall(ctx, caller, prepared, key, body)
	s.Accumulator.Add(prepared.key, nil, err)
	if err != nil {
		return nil, err
	}
	return &api.ServiceAnswer{RequestID: caller.ID, Status: outcome.Status, Body: jsonBody(outcome.Body), Replayed: outcome.Replayed}, nil
}

// preparedCall is a call that was validated against one configuration.
type preparedCall struct {
	key       account.Key
	snapshot  *document.Snapshot
	workspace *document.CompiledWorkspace
	service   *document.CompiledService
	call      *document.Call
}

// prepareCall validates a call against a configuration.
func (s *Service) prepareCall(snapshot *document.Snapshot, caller Caller, service api.ServiceName, name api.CallName) (*preparedCall, error) {
	workspace, err := s.authenticate(snapshot, caller)
	if err != nil {
		return nil, err
	}
	declared := snapshot.Services[service]
	if declared == nil || !workspace.AllowedServices[service] || declared.CallsByName[name] == nil {
		return nil, fault.New(api.KindNotFound, "call %q of service %q does not exist or is not allowed for workspace %q", name, service, caller.Workspace)
	}
	key := account.Key{Workspace: caller.Workspace, Service: service}
	return &preparedCall{key, snapshot, workspace, declared, declared.CallsByName[name]}, nil
}

func (s *Service) runCall(ctx context.Context, caller Caller, prepared *preparedCall, key string, body []byte) (order.Outcome, error) {
	if err := s.takeToken(ctx, prepared.workspace); err != nil {
		return order.Outcome{}, err
	}
	release, err := s.start(ctx, func() (*admission.Ticket, error) {
		next, err := s.prepareCall(s.Snapshot(), caller, prepared.service.Name, prepared.call.Name)
		if err != nil {
			return nil, err
		}
		*prepared = *next
		return &admission.Ticket{
			ID: caller.ID, Workspace: caller.Workspace, Service: prepared.service.Name, Priority: caller.Priority,
			Revision: prepared.snapshot.Revision, Weight: prepared.workspace.Weight, Group: prepared.service.Group,
		}, nil
	})
	if err != nil {
		return order.Outcome{}, err
	}
	defer func() { release(err) }()
	outcome, err := s.sendCall(ctx, caller, prepared, key, body)
	return outcome, err
}

func (s *Service) sendCall(ctx context.Context, caller Caller, prepared *preparedCall, key string, body []byte) (order.Outcome, error) {
	if prepared.call.Repeatable {
		return s.sendRepeatable(ctx, prepared, body)
	}
	placed := order.Order{
		Workspace: caller.Workspace, Service: prepared.service.Name, Call: prepared.call.Name, Key: key, Body: body,
		Fenced: prepared.snapshot.Groups[prepared.service.Group].Fencing == document.FencingChecked,
	}
	return s.Orders.Call(ctx, placed)
}

// SendOrder sends an order once; it is the Send function of the order coordinator.
func (s *Service) SendOrder(ctx context.Context, placed order.Order, fencing store.Version) (order.Outcome, error) {
	snapshot := s.Snapshot()
	declared := snapshot.Services[placed.Service]
	if declared == nil || declared.CallsByName[placed.Call] == nil {
		return order.Outcome{}, fault.New(api.KindNotFound, "call %q of service %q is no longer configured", placed.Call, placed.Service)
	}
	outcome, err := s.send(ctx, callAttempt{
		key:   account.Key{Workspace: placed.Workspace, Service: placed.Service},
		group: snapshot.Groups[declared.Group], call: declared.CallsByName[placed.Call],
		body: placed.Body, idempotencyKey: placed.Key, fencing: fencing,
	}, nil)
	if err != nil {
		return order.Outcome{}, callError(ctx, err, true)
	}
	return outcome, nil
}

// sendRepeatable sends a repeatable call and retries it at other upstreams within the retry budget.
func (s *Service) sendRepeatable(ctx context.Context, prepared *preparedCall, body []byte) (order.Outcome, error) {
	var tried []*upstream.Instance
	var last error
	sent := false
	s.Executor.Budget.RecordFirst(prepared.snapshot.Limits.RetryShare)
	for {
		outcome, err := s.send(ctx, callAttempt{
			key: prepared.key, group: prepared.snapshot.Groups[prepared.service.Group], call: prepared.call, body: body,
		}, &tried)
		if err == nil {
			return outcome, nil
		}
		sent = sent || !notSent(err)
		var failed *upstream.SendError
		retryable := errors.As(err, &failed) && ctx.Err() == nil && len(tried) < maxCallAttempts
		if failed != nil || last == nil {
			last = err // more specific than the error that no upstream is available
		}
		if retryable && s.Executor.Budget.Allow(retry.Reason(failed.Reason)) {
			continue
		}
		run := api.RunNo
		if sent {
			run = api.RunUnknown
		}
		return order.Outcome{}, fault.WithRunState(callError(ctx, last, false), run)
	}
}

// callAttempt is one attempt of a call.
type callAttempt struct {
	key   account.Key
	group *document.Group
	call  *document.Call
	body  []byte
	// idempotencyKey and fencing are set for orders.
	idempotencyKey string
	fencing        store.Version
}

// send sends a call once, to an instance that is not in tried if possible, and records
// its cost. It returns a *upstream.SendError or a no_upstream error.
func (s *Service) send(ctx context.Context, call callAttempt, tried *[]*upstream.Instance) (order.Outcome, error) {
	query := route.Query{DataCentre: s.DataCentre}
	if tried != nil {
		query.Avoid = *tried
	}
	instance := s.Router.Pick(s.Table.AvailableInstances(call.group.Name), query)
	if instance == nil {
		return order.Outcome{}, fault.New(api.KindNoUpstream, "no upstream of group %s is available", call.group.Name)
	}
	if tried != nil {
		*tried = append(*tried, instance)
	}
	var usage upstream.Usage
	var outcome order.Outcome
	err := s.Sender.Do(ctx, upstream.Attempt{
		Instance:  instance,
		Usage:     &usage,
		Exclusive: call.idempotencyKey != "",
		AnyStatus: true,
		Build: func(ctx context.Context, base string) (*http.Request, error) {
			return call.request(ctx, base)
		},
		Read: func(status int, _ http.Header, body io.Reader) error {
			data, err := readServiceResponse(body, memory.ReservationOf(ctx))
			outcome = order.Outcome{Status: status, Body: data}
			return err
		},
	})
	s.recordCost(call, usage.Elapsed, err)
	return outcome, err
}

// responseCopies is the number of bytes that are held for each byte of a response: the response itself, and the
// one to the caller with the buffer in which it is encoded.
const responseCopies = 3

// readServiceResponse reads a response body. A body above the limit is an error: a part of it
// would look complete to the caller.
func readServiceResponse(body io.Reader, reservation *memory.Reservation) ([]byte, error) {
	data, err := fleet.ReadBody(body, -1, maxServiceResponse, func(size int64) error { return reservation.Reserve(responseCopies * size) })
	if errors.Is(err, fleet.ErrBodyTooLarge) {
		return nil, fmt.Errorf("the response has more than %d bytes", maxServiceResponse)
	}
	return data.Bytes(), err
}

func (c callAttempt) request(ctx context.Context, base string) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, c.call.Method, base+c.call.Path, bytes.NewReader(c.body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	if c.idempotencyKey != "" {
		request.Header.Set(api.HeaderIdempotencyKey, c.idempotencyKey)
		request.Header.Set(api.HeaderFencing, strconv.FormatInt(int64(c.fencing), 10))
	}
	return request, nil
}

// recordCost records the cost of one attempt; one that did not reach the upstream is free.
func (s *Service) recordCost(call callAttempt, elapsed time.Duration, err error) {
	stage := api.StageCost{
		Stage: api.StageName(call.call.Name), Attempts: 1, DurationMs: float64(elapsed.Microseconds()) / 1000,
		Cost: elapsed.Seconds() * float64(call.group.CostPerSecond),
	}
	switch {
	case notSent(err):
		stage.Cost = 0
	case err != nil:
		stage.LostCost = stage.Cost
	}
	s.Accumulator.AddCost(call.key, stage)
}

// notSent reports whether the call certainly did not reach an upstream, given an error of send.
func notSent(err error) bool {
	return upstream.IsErrNotSent(err) || fault.Is(err, api.KindNoUpstream)
}

// callError maps the error of a failed attempt. The outcome of an order that may have reached the upstream is unknown.
func callError(ctx context.Context, err error, isOrder bool) *errorx.Error {
	switch {
	case notSent(err):
		return fault.WithRunState(contextError(ctx, api.KindNoUpstream, err), api.RunNo)
	case isOrder:
		return fault.Wrap(api.KindOrderOutcomeUnknown, err, "the order was sent, but no response was received")
	}
	return contextError(ctx, api.KindStageFailed, err)
}

// contextError returns the error of the caller's context if that has ended, or else one of the given kind.
func contextError(ctx context.Context, kind api.Kind, err error) *errorx.Error {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return fault.Wrap(api.KindDeadlineExceeded, err, "the deadline passed")
	case ctx.Err() != nil:
		return fault.Wrap(api.KindCallerGone, err, "the caller disconnected")
	}
	return fault.Wrap(kind, err, "no response was received from the service")
}

// jsonBody returns body itself if it is JSON, or else body as a JSON string.
func jsonBody(body []byte) json.RawMessage {
	if json.Valid(body) {
		return body
	}
	text, err := json.Marshal(string(body))
	if err != nil {
		return json.RawMessage("null")
	}
	return text
}
