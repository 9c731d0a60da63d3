package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["handover"] = playHandover }

// The dose of the case.
const (
	// firstGap and againGap are the times between two requests with the part, before and after the
	// restart, and quickGap that between two sound ones.
	firstGap = 1500 * time.Millisecond
	againGap = 2 * time.Second
	quickGap = 50 * time.Millisecond
	// quietTime is how long no request with the part comes after the restart.
	quietTime     = 7200 * time.Millisecond
	againRequests = 4
	// maxFirst is the number of requests with the part before the restart at most.
	maxFirst = 12
	// downTime is how long the store is silent.
	downTime = 8 * time.Second
	// tellTime is the time from the first refusal until the other machines are asked.
	tellTime = time.Second
	// calmTime is how long there are only sound requests at first.
	calmTime = 8 * time.Second
)

// playHandover restarts the machine that has decided to keep a part away, while the store is silent, so
// that the decision is not in the store yet.
func playHandover(r *record, trouble bool) (bool, error) {
	s, err := newSite()
	if err != nil {
		return false, err
	}
	defer s.close()
	d := &dripSite{site: s, r: r, deadly: deadlyPart}
	for range 2 * dripWorkers {
		if err := d.addEngine(); err != nil {
			return false, err
		}
	}
	s.store.put("op/config", dripConfig)
	names := []string{"frontend-tt-south-a-1", "frontend-tt-south-b-1", "frontend-tt-south-c-1"}
	if err := s.startHosts(names...); err != nil {
		return false, err
	}
	first := s.hosts[0]
	// The seeds of the first machine name the others too.
	if err := s.writeSettings(first); err != nil {
		return false, err
	}
	var answered, failed atomic.Int64
	stop := make(chan struct{})
	var clients sync.WaitGroup
	clients.Go(func() { d.sendQuick(stop, &answered, &failed) })
	defer clients.Wait()
	defer close(stop)
	time.Sleep(calmTime)
	if trouble {
		r.printf("the store is silent for %s", downTime)
		s.store.silence(downTime)
	}
	if err := d.askUntilRefused(first); err != nil {
		return false, err
	}
	time.Sleep(tellTime)
	for i, h := range s.hosts[1:] {
		r.printf("client: other%d at %s: %v", i, h.name, ask(h.front, fmt.Sprint("other", i), promptOf(deadlyPart, 50+i)))
	}
	if trouble {
		r.printf("%s is killed and starts again", first.name)
		_ = first.signal(syscall.SIGKILL)
		_ = first.command.Wait()
		if err := first.start(); err != nil {
			return false, err
		}
		r.printf("%s is ready", first.name)
	}
	time.Sleep(quietTime)
	for i := range againRequests {
		id := fmt.Sprint("again", i)
		r.printf("client: %s at %s: %v", id, first.name, ask(first.front, id, promptOf(deadlyPart, 100+i)))
		time.Sleep(againGap)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	r.printf("sound requests: %d answered, %d not", answered.Load(), failed.Load())
	r.printf("%d crashes; %d requests with the part reached workers later than %s after the fifth", d.crashes, d.late, contactTime)
	return d.late <= maxDeadly, nil
}

// errNotRefused is returned if a part that crashes workers is never refused.
var errNotRefused = errors.New("the part is never refused")

// askUntilRefused sends requests with the part to a machine until it refuses one.
func (d *dripSite) askUntilRefused(h *entryHost) error {
	for i := range maxFirst {
		err := ask(h.front, fmt.Sprint("deadly", i), promptOf(deadlyPart, i))
		d.r.printf("client: deadly%d at %s: %v", i, h.name, err)
		if err != nil && strings.HasSuffix(err.Error(), strconv.Itoa(http.StatusServiceUnavailable)) {
			return nil
		}
		time.Sleep(firstGap)
	}
	return errNotRefused
}

// sendQuick sends sound requests, each on a channel of its own, until stop is closed.
func (d *dripSite) sendQuick(stop chan struct{}, answered, failed *atomic.Int64) {
	var clients sync.WaitGroup
	defer clients.Wait()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(quickGap):
		}
		clients.Go(func() {
			h := d.hosts[i%len(d.hosts)]
			err := ask(h.front, fmt.Sprint("sound", i), promptOf(fmt.Sprintf("b325%x", i%20), 1000+i))
			var opening *net.OpError
			switch {
			case err == nil:
				answered.Add(1)
			case errors.As(err, &opening) && opening.Op == "dial":
				// The machine is not there.
			default:
				failed.Add(1)
			}
		})
	}
}
