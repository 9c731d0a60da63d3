package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	wire "redwingloft/platform"
)

// playAsterisk has a client that sends a request whose path no route matches. It is the asterisk of a request
// for the options of the server as a whole, or without the disruption a path that never existed.
func playAsterisk(r *run) (bool, error) {
	s := &site{program: "target/redwingloft", template: "deploy/entry.ini", document: document}
	defer s.close()
	if err := startBookings(s, "frontend-1"); err != nil {
		return false, err
	}
	path := "/never/"
	if r.trouble {
		path = "*"
	}
	broken := 0
	for i := range 10 {
		id := fmt.Sprintf("options-%d", i)
		response, body, err := sendOptions(s.hosts[0], path, id)
		if err != nil {
			return false, err
		}
		seal := response.Header.Get(wire.HeaderDigest)
		r.note("OPTIONS %s of %s: %d, seal %q, %d bytes", path, id, response.StatusCode, seal, len(body))
		if response.StatusCode/100 == 2 && seal == "" {
			broken++
		}
	}
	runs := 0
	for _, w := range s.workers {
		runs += len(w.Requests())
	}
	r.note("successes without a seal: %d of 10; requests that reached a worker: %d", broken, runs)
	fmt.Printf("successes without a seal: %d of 10; requests that reached a worker: %d\n", broken, runs)
	return broken > 0, nil
}

func sendOptions(h *host, path, id string) (*http.Response, []byte, error) {
	c, err := net.DialTimeout("tcp", h.address, connectTime)
	if err != nil {
		return nil, nil, err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(callerTime))
	if _, err := fmt.Fprintf(c, "OPTIONS %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nAuthorization: Bearer %s\r\n\r\n",
		path, virtualHost, wire.HeaderRequestID, id, wire.HeaderDeadline, callerTime.Milliseconds(), apiKey); err != nil {
		return nil, nil, err
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return nil, nil, err
	}
	body, err := io.ReadAll(response.Body)
	return response, body, err
}
