package main

import (
	"fmt"
	"io"
	"net"
	"time"

	wire "redwingloft/platform"
)

// tricklePause is the time between two chunks of one byte.
const tricklePause = 400 * time.Millisecond

// trickleHead is the head of a request with a chunked body, without a key.
const trickleHead = "POST /book/1 HTTP/1.1\r\nHost: " + virtualHost + "\r\nTransfer-Encoding: chunked\r\n\r\n"

// directoryHead is the head of a question to the directory with a chunked body.
const directoryHead = "GET " + wire.PathAddresses + "?name=" + virtualHost + "&region=r&zone=a HTTP/1.1\r\nHost: " + virtualHost +
	"\r\nTransfer-Encoding: chunked\r\n\r\n"

// playTrickle has clients whose chunked bodies arrive in very small chunks.
func playTrickle(r *run) (bool, error) {
	return playCrowd(r, crowdPlan{
		what: fmt.Sprintf("chunked bodies, a byte in each %s", tricklePause), clients: crowdClients, address: callersAddress, send: sendOrdinary,
		hold: func(address string, stop <-chan struct{}) time.Time { return trickle(address, trickleHead, stop) },
	})
}

// playDirectory has such clients at the directory.
func playDirectory(r *run) (bool, error) {
	return playCrowd(r, crowdPlan{
		what: fmt.Sprintf("chunked bodies at the directory, a byte in each %s", tricklePause), clients: directoryClients, send: askDirectory,
		address: func(h *host) string { return h.directory },
		hold:    func(address string, stop <-chan struct{}) time.Time { return trickle(address, directoryHead, stop) },
	})
}

// trickle sends a head and then a body in chunks of one byte until the host closes the channel.
func trickle(address, head string, stop <-chan struct{}) (opened time.Time) {
	c, err := net.DialTimeout("tcp", address, connectTime)
	if err != nil {
		return time.Time{}
	}
	defer c.Close()
	opened = time.Now()
	if _, err := io.WriteString(c, head); err != nil {
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
