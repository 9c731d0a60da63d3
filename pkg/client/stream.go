package client

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"redwingloft/pkg/api"
)

// maxHeaderBytes limits the header of a response.
const maxHeaderBytes = 64 << 10

// maxEventBytes limits one event of a stream. The resume token contains the input of the last stage.
const maxEventBytes = 64 << 20

// Answer is the complete response of a pipeline.
type Answer struct {
	RequestID api.RequestID
	Version   api.VersionName
	// Text is the complete text, verified against the digest of the terminal event.
	Text   string
	Tokens int
	Stages []api.StageCost
	// Resumed counts how often the stream was resumed, on the same or another host.
	Resumed int
}

// ErrIncomplete is returned for a stream whose text does not match its terminal event.
var ErrIncomplete = errors.New("the response is incomplete")

// Run runs a pipeline and returns its complete response. It fails over and resumes until ctx ends.
func (c *Client) Run(ctx context.Context, pipeline api.PipelineName, request api.RunRequest) (*Answer, error) {
	return c.Stream(ctx, pipeline, request, nil)
}

// Stream runs a pipeline and calls onToken with each token event of the response in
// order, without gaps or duplicates across attempts. It returns the complete response;
// an error means that the events passed to onToken are not the complete response.
func (c *Client) Stream(ctx context.Context, pipeline api.PipelineName, request api.RunRequest, onToken func(api.TokenEvent) error) (*Answer, error) {
	s := &stream{request: request, onToken: onToken}
	s.request.Stream = true
	id := newID()
	path := api.PathPipelines + url.PathEscape(string(pipeline)) + "/run"
	err := c.retry(ctx, func(address api.Address) error {
		body, err := json.Marshal(s.nextRequest())
		if err != nil {
			return err
		}
		out := outgoingRequest{method: http.MethodPost, path: path, body: body, id: id}
		return c.attempt(ctx, address, out, s.read)
	})
	if err != nil {
		return nil, err
	}
	s.result.RequestID = id
	return &s.result, nil
}

// stream is the state of one streamed response across all attempts.
type stream struct {
	request api.RunRequest
	onToken func(api.TokenEvent) error
	text    strings.Builder
	// lastEvent is the number of the last token event that was received.
	lastEvent uint64
	// resumeToken is empty before the first accepted event.
	resumeToken string
	result      Answer
	attempts    int
}

// nextRequest returns the request of the next attempt.
func (s *stream) nextRequest() api.RunRequest {
	request := s.request
	if s.resumeToken != "" {
		request.Resume = &api.ResumeRequest{Token: s.resumeToken, LastEvent: s.lastEvent, Text: s.text.String()}
		s.result.Resumed++
	}
	s.attempts++
	return request
}

// read reads the events of one attempt up to the terminal event.
func (s *stream) read(body io.Reader) error {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, 4096), maxEventBytes)
	event := rawEvent{}
	for scanner.Scan() {
		line := scanner.Bytes()
		if len(line) > 0 {
			if event.addLine(line); len(event.data) > maxEventBytes {
				return errEventTooLong
			}
			continue
		}
		done, err := s.handle(event)
		if done || err != nil {
			return err
		}
		event = rawEvent{}
	}
	if err := scanner.Err(); err != nil {
		return err
	}
	return io.ErrUnexpectedEOF
}

// errEventTooLong is returned for an event of more than maxEventBytes.
var errEventTooLong = fmt.Errorf("an event of the stream has more than %d bytes", maxEventBytes)

// rawEvent is one server-sent event.
type rawEvent struct {
	eventType api.EventType
	id        string
	data      []byte
}

func (e *rawEvent) addLine(line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "event":
		e.eventType = api.EventType(value)
	case "id":
		e.id = string(value)
	case "data":
		e.data = append(e.data, value...)
	}
}

// handle applies one event and reports whether it completed the response.
func (s *stream) handle(event rawEvent) (bool, error) {
	switch event.eventType {
	case api.EventAccepted:
		var accepted api.AcceptedEvent
		if err := json.Unmarshal(event.data, &accepted); err != nil {
			return false, err
		}
		s.resumeToken, s.result.Version = accepted.ResumeToken, accepted.Version
		return false, nil
	case api.EventToken:
		return false, s.handleToken(event)
	case api.EventError:
		apiErr := &api.Error{}
		if err := json.Unmarshal(event.data, apiErr); err != nil {
			return false, err
		}
		return false, &failure{reason: RepeatRefused, sent: true, apiError: apiErr}
	case api.EventDone:
		return true, s.handleDone(event.data)
	}
	return false, nil
}

func (s *stream) handleToken(event rawEvent) error {
	number, err := strconv.ParseUint(event.id, 10, 64)
	if err != nil || number != s.lastEvent+1 {
		return fmt.Errorf("event number %q is out of sequence after event %d", event.id, s.lastEvent)
	}
	var token api.TokenEvent
	if err := json.Unmarshal(event.data, &token); err != nil {
		return err
	}
	s.lastEvent = number
	s.text.WriteString(token.Text)
	if s.onToken == nil {
		return nil
	}
	if err := s.onToken(token); err != nil {
		// An error of the caller's function ends the call without a retry.
		return &failure{reason: RepeatBroken, sent: true, apiError: &api.Error{
			Kind: api.KindCallerGone, Message: err.Error(), Run: api.RunYes,
		}}
	}
	return nil
}

func (s *stream) handleDone(data []byte) error {
	var done api.DoneEvent
	if err := json.Unmarshal(data, &done); err != nil {
		return err
	}
	sum := sha256.Sum256([]byte(s.text.String()))
	if done.Events != s.lastEvent || done.TextSHA256 != hex.EncodeToString(sum[:]) {
		return &failure{reason: RepeatBroken, sent: true, apiError: &api.Error{
			Kind: api.KindStreamCut, Message: ErrIncomplete.Error(), Run: api.RunYes,
		}}
	}
	s.result.Text, s.result.Tokens, s.result.Stages = s.text.String(), done.Tokens, done.Stages
	return nil
}
