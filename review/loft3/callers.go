package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	wire "redwingloft/platform"
	"redwingloft/standin/platform"
)

// document routes bookings, which run once, to a buffered service, with the limits of the pages' example.
const document = `{"version":1,"routes":[
{"name":"book","host":"pule25.example","pathPrefix":"/book/","kind":"non_idempotent","timeoutMs":1000,"sloMs":150,"priority":2,"maxAttempts":1,"service":"bookings","public":false}],
"services":[{"name":"bookings","healthPath":"/health","maxConns":100}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"bozi300","apiKeys":["9dnn2ctnfzs989anu6ws"]}]}`

const (
	// workTime is the work of a booking on the sheet.
	workTime = 30 * time.Millisecond
	// callerTime is the deadline of a booking on the sheet; connectTime is how long clients allow a new channel.
	callerTime  = time.Second
	connectTime = time.Second
)

// startBookings starts a site with a service of bookings and the named hosts.
func startBookings(s *site, names ...string) error {
	if err := s.start(); err != nil {
		return err
	}
	for i := range 4 {
		if _, err := s.addWorker(fmt.Sprintf("i-book-%d", i), "bookings", 6, book); err != nil {
			return err
		}
	}
	for _, name := range names {
		if _, err := s.addHost(name); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	return nil
}

func book(w *bufio.Writer, r platform.Request) bool {
	time.Sleep(workTime)
	platform.WriteResponse(w, r.Header.Get(wire.HeaderRequestID), http.StatusOK, "booked")
	return true
}

// outcome is what an ordinary client saw of a request on a new channel.
type outcome struct {
	at time.Time
	// status is 0 if the channel was not established or ended without an answer.
	status int
	text   string
}

// sendFunc sends one request on a new channel.
type sendFunc func(h *host, id string) outcome

// sendOrdinary sends one small proper request to the callers' address.
func sendOrdinary(h *host, id string) outcome {
	return exchange(h.address, fmt.Sprintf("POST /book/1 HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nAuthorization: Bearer %s\r\nContent-Length: 4\r\n\r\ngate",
		virtualHost, wire.HeaderRequestID, id, wire.HeaderDeadline, callerTime.Milliseconds(), apiKey))
}

// askDirectory asks for the addresses to connect to.
func askDirectory(h *host, _ string) outcome {
	return exchange(h.directory, fmt.Sprintf("GET %s?name=%s&region=r&zone=a HTTP/1.1\r\nHost: %s\r\n\r\n", wire.PathAddresses, virtualHost, h.directory))
}

// exchange sends a request on a new channel, and reads the answer also where the host has sent it before the
// request, or has reset the channel since.
func exchange(address, request string) outcome {
	o := outcome{at: time.Now()}
	c, err := net.DialTimeout("tcp", address, connectTime)
	if err != nil {
		o.text = shortError(err)
		return o
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(callerTime))
	_, writeErr := io.WriteString(c, request)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		o.text = shortError(errors.Join(err, writeErr))
		return o
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		o.text = shortError(err)
		return o
	}
	o.status, o.text = response.StatusCode, string(body[:min(len(body), 80)])
	return o
}

// shortError returns an error without the addresses.
func shortError(err error) string {
	var failed *net.OpError
	if errors.As(err, &failed) {
		err = failed.Err
	}
	for next := errors.Unwrap(err); next != nil; next = errors.Unwrap(err) {
		err = next
	}
	return err.Error()
}

// ordinary sends requests at a steady pace from a number of clients until stop is closed.
type ordinary struct {
	mu       sync.Mutex
	outcomes []outcome
	group    sync.WaitGroup
}

func (o *ordinary) start(r *run, h *host, send sendFunc, clients int, pause time.Duration, stop <-chan struct{}) {
	for c := range clients {
		o.group.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(pause):
				}
				id := fmt.Sprintf("%s-%d-%d", h.name, c, i)
				seen := send(h, id)
				r.note("ordinary %s: %d %s", id, seen.status, seen.text)
				o.mu.Lock()
				o.outcomes = append(o.outcomes, seen)
				o.mu.Unlock()
			}
		})
	}
}

// tried returns the times of all requests, and answered those that got an answer of any status, the host's
// refusal of the channel included.
func (o *ordinary) tried() []time.Time {
	return o.timesOf(func(outcome) bool { return true })
}

func (o *ordinary) answered() []time.Time {
	return o.timesOf(func(seen outcome) bool { return seen.status != 0 })
}

func (o *ordinary) timesOf(matches func(outcome) bool) []time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	var times []time.Time
	for _, seen := range o.outcomes {
		if matches(seen) {
			times = append(times, seen.at)
		}
	}
	return times
}

// counts returns the number of requests and of those that were served.
func (o *ordinary) counts() (sent, served int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, seen := range o.outcomes {
		if seen.status == http.StatusOK {
			served++
		}
	}
	return len(o.outcomes), served
}
