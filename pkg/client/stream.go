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

// maxEvent bounds one line of an event stream. The resume token holds the input of the last stage.
const maxEvent = 64 << 20

// Answer is the whole answer of a pipeline.
type Answer struct {
	RequestID api.RequestID
	Version   api.VersionName
	// Text is the whole text; its digest matched that of the terminal event.
	Text   string
	Tokens int
	Stages []api.StageCost
	// Resumed counts how often the stream was continued, on this or another host.
	Resumed int
}

// ErrIncomplete is returned for a stream whose text does not match its terminal event.
var ErrIncomplete = errors.New("the answer is not whole")

// Run runs a pipeline and returns its whole answer. It fails over and resumes until ctx ends.
func (c *Client) Run(ctx context.Context, pipeline api.PipelineName, request api.RunRequest) (*Answer, error) {
	return c.Stream(ctx, pipeline, request, nil)
}

// Stream runs a pipeline and calls token with each piece of the answer in order,
// without gaps or repeats over all tries. It returns the whole answer; an error
// means that the pieces passed to token are not the whole answer.
func (c *Client) Stream(ctx context.Context, pipeline api.PipelineName, request api.RunRequest, token func(api.TokenEvent) error) (*Answer, error) {
	s := &stream{request: request, token: token}
	s.request.Stream = true
	id := newID()
	path := api.PathPipelines + url.PathEscape(string(pipeline)) + "/run"
	err := c.repeat(ctx, func(address api.Address) error {
		body, err := json.Marshal(s.next())
		if err != nil {
			return err
		}
		m := message{method: http.MethodPost, path: path, body: body, id: id}
		return c.attempt(ctx, address, m, s.read)
	})
	if err != nil {
		return nil, err
	}
	s.answer.RequestID = id
	return &s.answer, nil
}

// stream is the state of one streamed answer over all its tries.
type stream struct {
	request api.RunRequest
	token   func(api.TokenEvent) error
	text    strings.Builder
	// last is the number of the last token event that was passed on.
	last uint64
	// resume is the resume token, or empty before the first accepted event.
	resume string
	answer Answer
	tries  int
}

// next returns the request of the next try.
func (s *stream) next() api.RunRequest {
	request := s.request
	if s.resume != "" {
		request.Resume = &api.ResumeRequest{Token: s.resume, LastEvent: s.last, Text: s.text.String()}
		s.answer.Resumed++
	}
	s.tries++
	return request
}

// read reads the events of one try up to the terminal event.
func (s *stream) read(body io.Reader) error {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, 4096), maxEvent)
	event := rawEvent{}
	for scanner.Scan() {
		line := scanner.Bytes()
		if len(line) > 0 {
			event.add(line)
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

// rawEvent is one server-sent event.
type rawEvent struct {
	kind api.EventType
	id   string
	data []byte
}

func (e *rawEvent) add(line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "event":
		e.kind = api.EventType(value)
	case "id":
		e.id = string(value)
	case "data":
		e.data = append(e.data, value...)
	}
}

// handle applies one event and reports whether it was the end of a whole answer.
func (s *stream) handle(event rawEvent) (bool, error) {
	switch event.kind {
	case api.EventAccepted:
		var accepted api.AcceptedEvent
		if err := json.Unmarshal(event.data, &accepted); err != nil {
			return false, err
		}
		s.resume, s.answer.Version = accepted.ResumeToken, accepted.Version
		return false, nil
	case api.EventToken:
		return false, s.piece(event)
	case api.EventError:
		answer := &api.Error{}
		if err := json.Unmarshal(event.data, answer); err != nil {
			return false, err
		}
		return false, &failure{reason: RepeatRefused, sent: true, answer: answer}
	case api.EventDone:
		return true, s.finish(event.data)
	}
	return false, nil
}

func (s *stream) piece(event rawEvent) error {
	number, err := strconv.ParseUint(event.id, 10, 64)
	if err != nil || number != s.last+1 {
		return fmt.Errorf("event %q follows event %d", event.id, s.last)
	}
	var piece api.TokenEvent
	if err := json.Unmarshal(event.data, &piece); err != nil {
		return err
	}
	s.last = number
	s.text.WriteString(piece.Text)
	if s.token == nil {
		return nil
	}
	if err := s.token(piece); err != nil {
		// The failure of the caller's own function ends the call.
		return &failure{reason: RepeatBroken, sent: true, answer: &api.Error{
			Kind: api.KindCallerGone, Message: err.Error(), Run: api.RunYes,
		}}
	}
	return nil
}

func (s *stream) finish(data []byte) error {
	var done api.DoneEvent
	if err := json.Unmarshal(data, &done); err != nil {
		return err
	}
	sum := sha256.Sum256([]byte(s.text.String()))
	if done.Events != s.last || done.TextSHA256 != hex.EncodeToString(sum[:]) {
		return &failure{reason: RepeatBroken, sent: true, answer: &api.Error{
			Kind: api.KindStreamCut, Message: ErrIncomplete.Error(), Run: api.RunYes,
		}}
	}
	s.answer.Text, s.answer.Tokens, s.answer.Stages = s.text.String(), done.Tokens, done.Stages
	return nil
}
