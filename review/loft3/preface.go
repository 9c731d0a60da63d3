package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// prefaceClients is the number of clients whose head does not end. A host of the site takes 1,213
	// channels of callers.
	prefaceClients = 1700
	// prefaceStart is the start of their head.
	prefaceStart = "PRI * HTTP/2.0\r\n"
	prefaceTime  = 30 * time.Second
	// tryingClients is the number of ordinary clients; the rule needs seven.
	tryingClients = 10
	// contactTime is the bound contactMs of the site.
	contactTime = 3 * time.Second
)

// playPreface lets clients at a host begin a head with the first line of an HTTP/2 connection and not end it,
// while ordinary clients try new channels.
func playPreface(r *run) (bool, error) {
	s := &site{program: "target/redwingloft", template: "deploy/entry.ini", document: document}
	defer s.close()
	if err := startBookings(s, "frontend-1"); err != nil {
		return false, err
	}
	h := s.hosts[0]
	r.note("the host is ready")
	stop := make(chan struct{})
	var callers ordinary
	var group sync.WaitGroup
	callers.start(r, h, tryingClients, 200*time.Millisecond, stop)
	var notReady atomic.Int64
	group.Go(func() { watchReadiness(r, h, &notReady, stop) })
	time.Sleep(contactTime)
	if r.trouble {
		r.note("%d clients send the start of a head, %q, and keep their channels open", prefaceClients, prefaceStart)
		for range prefaceClients {
			group.Go(func() {
				for {
					select {
					case <-stop:
						return
					case <-time.After(20 * time.Millisecond):
					}
					holdChannel(h.address, prefaceStart, prefaceTime, stop)
				}
			})
		}
	}
	time.Sleep(prefaceTime)
	close(stop)
	group.Wait()
	callers.group.Wait()
	sent, served := callers.counts()
	r.note("ordinary requests on new channels: %d sent, %d served; readiness checks without a 200: %d", sent, served, notReady.Load())
	longest, tries := callers.longestWithoutAnswer()
	text := fmt.Sprintf("longest time in which no ordinary client got an answer: %.1f s with %d tries", longest.Seconds(), tries)
	r.note("%s", text)
	fmt.Printf("%s; %d of %d served\n", text, served, sent)
	if !r.trouble && served == 0 {
		return false, fmt.Errorf("no ordinary request was served")
	}
	return longest >= contactTime && tries >= tryingClients && notReady.Load() == 0, nil
}

// watchReadiness asks the readiness question once a second.
func watchReadiness(r *run, h *host, notReady *atomic.Int64, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Second):
		}
		ready := h.isReady()
		r.note("readiness: %v", ready)
		if !ready {
			notReady.Add(1)
		}
	}
}

// longestWithoutAnswer returns the longest time in which no request on a new channel got an answer of any
// status, the host's refusal of the channel included, and the number of tries in it.
func (o *ordinary) longestWithoutAnswer() (longest time.Duration, tries int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	var since time.Time
	count := 0
	for _, seen := range o.outcomes {
		count++
		if since.IsZero() {
			since = seen.at
		}
		if d := seen.at.Sub(since); d > longest {
			longest, tries = d, count
		}
		if seen.status != 0 {
			since, count = seen.at, 0
		}
	}
	return longest, tries
}
