package forward

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"

	"redwingloft/internal/data/fleet"
	"redwingloft/pkg/api"
)

// Codec translates attempts to the protocol of upstreams and their answers back.
type Codec struct {
	// WriteHead writes the request line and the header fields of an attempt.
	WriteHead func(w *bufio.Writer, a *fleet.Attempt) error
	// DecodeReply returns what the head of an answer says.
	DecodeReply func(response *http.Response) fleet.Reply
	// AnswerHeader copies the end-to-end fields of an answer.
	AnswerHeader func(to, from http.Header)
	// WriteCall writes a whole call of the system's own at an upstream.
	WriteCall func(w *bufio.Writer, upstream *fleet.Upstream, path string, body []byte) error
}

const (
	// maxForeign bounds the answers of other requests that are skipped on a connection.
	maxForeign = 2
	// maxForeignBody bounds the body of a skipped answer.
	maxForeignBody = 1 << 20
	// inlineBody is the size up to which a body is written before the answer is read. A
	// longer one may be answered before it is in.
	inlineBody = 2 << 10
)

// Sent tells how much of a request an upstream may have got.
type Sent string

// The values of Sent.
const (
	// SentNothing: no connection was opened, so that nothing ran.
	SentNothing Sent = "nothing"
	// SentSome: the upstream may have run the request.
	SentSome Sent = "some"
)

var (
	errTooLong = errors.New("the answer is longer than allowed")
	errForeign = errors.New("only answers of other requests arrived")
)

// exchange is one attempt whose answer has begun.
type exchange struct {
	pool     *Pool
	conn     *conn
	response *http.Response
	reply    fleet.Reply
	// written tells that the whole request is out.
	written atomic.Bool
	// doubtful connections carried bytes that belong to no request.
	doubtful bool
	stop     func() bool
}

// attemptError is the failure of an attempt without a usable answer.
type attemptError struct {
	sent  Sent
	cause error
}

func (e *attemptError) Error() string { return fmt.Sprintf("sent %s: %v", e.sent, e.cause) }

func (e *attemptError) Unwrap() error { return e.cause }

// start sends an attempt and reads the head of its answer. The end of ctx closes the connection.
func (p *Pool) start(ctx context.Context, codec *Codec, a *fleet.Attempt, reuse bool) (*exchange, error) {
	c, err := p.open(ctx, a.Upstream, reuse)
	if err != nil {
		return nil, &attemptError{SentNothing, err}
	}
	x := &exchange{pool: p, conn: c, stop: context.AfterFunc(ctx, func() { c.Close() })}
	write := func(w *bufio.Writer) error { return codec.WriteHead(w, a) }
	if err := x.send(write, a.Request.Body); err != nil {
		x.close()
		return nil, &attemptError{SentSome, err}
	}
	if err := x.readHead(codec, a.Request.Method, a.Request.ID); err != nil {
		x.close()
		return nil, &attemptError{SentSome, err}
	}
	return x, nil
}

// send writes the head and the body. A long body is written while the answer is awaited.
func (x *exchange) send(head func(*bufio.Writer) error, body []byte) error {
	w := bufio.NewWriterSize(x.conn, bufferSize)
	if err := head(w); err != nil {
		return err
	}
	if len(body) <= inlineBody {
		if _, err := w.Write(body); err != nil {
			return err
		}
		if err := w.Flush(); err != nil {
			return err
		}
		x.written.Store(true)
		return nil
	}
	if err := w.Flush(); err != nil {
		return err
	}
	go func() {
		if _, err := x.conn.Write(body); err == nil {
			x.written.Store(true)
		}
		// A failed write shows in the answer, which may have come before.
	}()
	return nil
}

// readHead reads the head of the answer to the request of the given id. Answers of
// other requests are skipped; their ids tell.
func (x *exchange) readHead(codec *Codec, method string, id api.RequestID) error {
	for foreign := 0; foreign <= maxForeign; {
		response, err := http.ReadResponse(x.conn.reader, &http.Request{Method: method})
		if err != nil {
			return fmt.Errorf("read the answer: %w", err)
		}
		if response.StatusCode >= 100 && response.StatusCode < 200 {
			continue
		}
		x.response, x.reply = response, codec.DecodeReply(response)
		if id == "" || x.reply.ID == id || (x.reply.ID == "" && !x.conn.used) {
			return nil
		}
		x.doubtful = true
		foreign++
		if err := drain(response.Body, maxForeignBody); err != nil {
			return fmt.Errorf("skip the answer of another request: %w", err)
		}
	}
	return errForeign
}

// readAll reads the whole body of at most limit bytes. An answer without a length
// is whole only if its connection was closed, not reset.
func (x *exchange) readAll(limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(x.response.Body, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(data)) > limit {
		return nil, errTooLong
	}
	return data, nil
}

// finish ends an exchange whose body was read to its end and keeps the connection where nothing speaks against it.
func (x *exchange) finish() {
	unstopped := x.stop()
	if !unstopped || x.doubtful || x.response.Close || !x.written.Load() {
		x.conn.Close()
		return
	}
	x.pool.put(x.conn, x.reply.IdleTimeout)
}

// close ends an exchange whose connection is not used again.
func (x *exchange) close() {
	x.stop()
	x.conn.Close()
}

// maxCallAnswer bounds the answer to a call of the system's own.
const maxCallAnswer = 1 << 20

// Call makes a call of the system's own at an upstream and returns the answer's
// status and body. Its answer names no request, so that a late extra answer on a kept
// connection could be taken for it: only calls whose answers do not matter may reuse one.
func (p *Pool) Call(ctx context.Context, codec *Codec, upstream *fleet.Upstream, path string, body []byte, reuse bool) (*CallAnswer, error) {
	c, err := p.open(ctx, upstream, reuse)
	if err != nil {
		return nil, &attemptError{SentNothing, err}
	}
	x := &exchange{pool: p, conn: c, stop: context.AfterFunc(ctx, func() { c.Close() })}
	keep := false
	defer func() {
		if !keep {
			x.close()
		}
	}()
	w := bufio.NewWriterSize(c, bufferSize)
	if err := codec.WriteCall(w, upstream, path, body); err != nil {
		return nil, &attemptError{SentSome, err}
	}
	if err := w.Flush(); err != nil {
		return nil, &attemptError{SentSome, err}
	}
	if err := x.readHead(codec, http.MethodPost, ""); err != nil {
		return nil, &attemptError{SentSome, err}
	}
	data, err := x.readAll(maxCallAnswer)
	if err != nil {
		return nil, &attemptError{SentSome, err}
	}
	if reuse {
		keep = true
		x.written.Store(true)
		x.finish()
	}
	return &CallAnswer{Status: x.response.StatusCode, Reply: x.reply, Body: data}, nil
}

// CallAnswer is the answer to a call of the system's own.
type CallAnswer struct {
	Status int
	Reply  fleet.Reply
	Body   []byte
}

// NotSent reports whether err tells that nothing reached the upstream.
func NotSent(err error) bool {
	var failed *attemptError
	return errors.As(err, &failed) && failed.sent == SentNothing
}
