package main

import (
	"fmt"
	"io"
	"net"
	"time"
)

// tricklePause is the time between two chunks of one byte.
const tricklePause = 400 * time.Millisecond

// trickleHead is the head of a request with a chunked body, without a key.
const trickleHead = "POST /book/1 HTTP/1.1\r\nHost: " + virtualHost + "\r\nTransfer-Encoding: chunked\r\n\r\n"

// playTrickle has clients whose chunked bodies arrive in very small chunks.
func playTrickle(r *run) (bool, error) {
	return playCrowd(r, fmt.Sprintf("chunked bodies, a byte in each %s", tricklePause), trickle)
}

// trickle sends a body in chunks of one byte until the host closes the channel.
func trickle(address string, stop <-chan struct{}) (opened time.Time) {
	c, err := net.DialTimeout("tcp", address, connectTime)
	if err != nil {
		return time.Time{}
	}
	defer c.Close()
	opened = time.Now()
	if _, err := io.WriteString(c, trickleHead); err != nil {
		return opened
	}
	gone := make(chan struct{})
	go func() {
		defer close(gone)
		_, _ = io.Copy(io.Discard, c)
	}()
	for {
		select {
		case <-stop:
			return opened
		case <-gone:
			return opened
		case <-time.After(tricklePause):
		}
		if _, err := io.WriteString(c, "1\r\nx\r\n"); err != nil {
			return opened
		}
	}
}
