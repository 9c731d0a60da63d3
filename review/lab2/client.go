package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// channel is a client's channel to an entry host. It is kept for several requests.
type channel struct {
	net.Conn
	reader *bufio.Reader
}

// clientReader is the size of the client's own buffer.
const clientReader = 1 << 10

// openChannel opens a channel with a receive buffer of the given size, which the system doubles; 0
// leaves it as it is.
func openChannel(address string, buffer int) (*channel, error) {
	dialer := net.Dialer{Timeout: time.Second}
	if buffer > 0 {
		dialer.Control = func(_, _ string, raw syscall.RawConn) error {
			var optionErr error
			err := raw.Control(func(fd uintptr) {
				optionErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, buffer)
			})
			return errors.Join(err, optionErr)
		}
	}
	c, err := dialer.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	return &channel{c, bufio.NewReaderSize(c, clientReader)}, nil
}

// request is one client attempt.
type request struct {
	path, id string
	deadline time.Duration
	// fields are further header fields.
	fields map[string]string
}

// The host and the key of the clients.
const (
	clientHost = "pule25.example"
	clientKey  = "9dnn2ctnfzs989anu6ws"
)

// engineFields are the header fields of a request for a model worker.
var engineFields = map[string]string{
	"Redwingloft-Model": "m", "Redwingloft-Token-Usage": "715,600", "Redwingloft-Prompt-Prefix": "5c1e07a2:172,e4402b7d:543",
}

// send sends a request and reads the head of its answer.
func (ch *channel) send(q request) (*http.Response, error) {
	if err := ch.SetDeadline(time.Now().Add(q.deadline)); err != nil {
		return nil, err
	}
	var head strings.Builder
	fmt.Fprintf(&head, "POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nAuthorization: Bearer %s\r\n",
		q.path, clientHost, headerID, q.id, headerWaiting, q.deadline.Milliseconds(), clientKey)
	for name, value := range q.fields {
		fmt.Fprintf(&head, "%s: %s\r\n", name, value)
	}
	if _, err := fmt.Fprintf(ch, "%sContent-Length: 2\r\n\r\nhi", head.String()); err != nil {
		return nil, err
	}
	return http.ReadResponse(ch.reader, nil)
}

// readEvents reads a stream to its end. each is called with the id of every event. It returns the ids
// and an error if the channel ended before the answer was complete.
func readEvents(response *http.Response, each func(id int)) ([]int, error) {
	lines := bufio.NewReaderSize(response.Body, clientReader)
	var ids []int
	for {
		line, err := lines.ReadString('\n')
		if text, found := strings.CutPrefix(strings.TrimSpace(line), "id: "); found {
			id, numberErr := strconv.Atoi(text)
			if numberErr != nil {
				return ids, numberErr
			}
			ids = append(ids, id)
			each(id)
		}
		if errors.Is(err, io.EOF) {
			return ids, nil
		}
		if err != nil {
			return ids, err
		}
	}
}
