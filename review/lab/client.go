package lab

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// Channel is a client's channel to an entry host.
type Channel struct {
	Address string

	conn   net.Conn
	reader *bufio.Reader
	// served is the number of answers that this channel has carried.
	served int
}

// Request is one request of a client.
type Request struct {
	ID, Method, Host, Path, Key string
	// Header holds further lines, without the end of the line.
	Header   []string
	Body     string
	Deadline time.Duration
	// Chunked sends the body in chunks instead of with a length.
	Chunked bool
}

// Outcome is what a client saw of a request.
type Outcome struct {
	Sent, Ended time.Time
	// Kept is true if the channel had carried an answer before.
	Kept bool
	// Status is 0 if the channel ended without a status line.
	Status     int
	RetryAfter string
	Body       string
	// Err is the reason why there is no whole answer.
	Err error
}

// Closed reports whether the other side ended the channel before a whole answer.
func (o *Outcome) Closed() bool {
	var timeout net.Error
	return o.Err != nil && !(errors.As(o.Err, &timeout) && timeout.Timeout())
}

var lastID atomic.Int64

// NewID returns a new id of a client attempt.
func NewID() string { return fmt.Sprintf("%08x%08x", time.Now().Unix(), lastID.Add(1)) }

// Close closes the channel.
func (c *Channel) Close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// Send sends a request, on a new channel if there is none, and reads the answer.
func (c *Channel) Send(r Request) Outcome {
	o := Outcome{Sent: time.Now(), Kept: c.conn != nil && c.served > 0}
	o.Err = c.exchange(r, &o)
	o.Ended = time.Now()
	if o.Err != nil {
		c.Close()
	}
	return o
}

func (c *Channel) exchange(r Request, o *Outcome) error {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.Address, time.Second)
		if err != nil {
			return err
		}
		c.conn, c.reader, c.served = conn, bufio.NewReader(conn), 0
	}
	if err := c.conn.SetDeadline(time.Now().Add(r.Deadline)); err != nil {
		return err
	}
	length, before, after := fmt.Sprintf("Content-Length: %d", len(r.Body)), "", ""
	if r.Chunked {
		length, before, after = "Transfer-Encoding: chunked", fmt.Sprintf("%x\r\n", len(r.Body)), "\r\n0\r\n\r\n"
	}
	lines := append([]string{
		r.Method + " " + r.Path + " HTTP/1.1", "Host: " + r.Host, "Redwingloft-Attempt-Id: " + r.ID,
		fmt.Sprintf("Redwingloft-Deadline-Ms: %d", r.Deadline.Milliseconds()), length,
	}, r.Header...)
	if r.Key != "" {
		lines = append(lines, "Authorization: Bearer "+r.Key)
	}
	for _, part := range []string{strings.Join(lines, "\r\n") + "\r\n\r\n" + before, r.Body, after} {
		if _, err := io.WriteString(c.conn, part); err != nil {
			return err
		}
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
	if err != nil {
		return err
	}
	defer response.Body.Close()
	o.Status, o.RetryAfter = response.StatusCode, response.Header.Get("Retry-After")
	body, err := io.ReadAll(response.Body)
	o.Body = string(body)
	if err != nil {
		return err
	}
	c.served++
	if response.Close {
		c.Close()
	}
	return nil
}
