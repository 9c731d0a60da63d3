package main

import (
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// crowdClients is the number of clients at the callers' address that the site does not control, and
	// directoryClients that at the directory. A host of the site takes 1,213 and 151 channels there.
	crowdClients     = 1700
	directoryClients = 200
	crowdTime        = 30 * time.Second
	// takenTime is how long a channel of such a client has to stay open to count as taken.
	takenTime = time.Second
	// tryingClients is the number of ordinary clients; the rule needs seven.
	tryingClients = 10
	// contactTime is the bound contactMs of the site.
	contactTime = 3 * time.Second
)

// holdFunc opens a channel and uses it until the host closes it. It returns the time at which it was open; zero if
// it was not.
type holdFunc func(address string, stop <-chan struct{}) (opened time.Time)

// crowdPlan is what clients that the site does not control do, while ordinary clients try new channels.
type crowdPlan struct {
	what    string
	clients int
	// hold is how each of them uses its channels, again and again, at the given address.
	hold    holdFunc
	address func(*host) string
	// send is what ordinary clients do.
	send sendFunc
}

// playCrowd plays a plan at one host.
func playCrowd(r *run, plan crowdPlan) (bool, error) {
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
	callers.start(r, h, plan.send, tryingClients, 200*time.Millisecond, stop)
	var notReady atomic.Int64
	group.Go(func() { watchReadiness(r, h, &notReady, stop) })
	time.Sleep(contactTime)
	var crowd takenChannels
	if r.trouble {
		r.note("%d clients at once: %s", plan.clients, plan.what)
		for range plan.clients {
			group.Go(func() { crowd.repeat(plan.address(h), plan.hold, stop) })
		}
	}
	time.Sleep(crowdTime)
	close(stop)
	group.Wait()
	callers.group.Wait()
	sent, served := callers.counts()
	r.note("ordinary requests on new channels: %d sent, %d served; readiness checks without a 200: %d", sent, served, notReady.Load())
	longest, tries := longestWithout(callers.tried(), append(callers.answered(), crowd.times...))
	text := fmt.Sprintf("longest time in which no new channel was taken: %.1f s, with %d tries of ordinary clients", longest.Seconds(), tries)
	r.note("%s", text)
	fmt.Printf("%s; %d of %d served\n", text, served, sent)
	if !r.trouble && served == 0 {
		return false, fmt.Errorf("no ordinary request was served")
	}
	return longest >= contactTime && tries >= tryingClients && notReady.Load() == 0, nil
}

func callersAddress(h *host) string { return h.address }

// takenChannels holds the times at which the host took channels of the crowd.
type takenChannels struct {
	mu    sync.Mutex
	times []time.Time
}

func (t *takenChannels) repeat(address string, hold holdFunc, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		if opened := hold(address, stop); !opened.IsZero() && time.Since(opened) >= takenTime {
			t.mu.Lock()
			t.times = append(t.times, opened)
			t.mu.Unlock()
		}
	}
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

// longestWithout returns the longest time between two channels that were taken, and the number of tries in it.
func longestWithout(tries, taken []time.Time) (longest time.Duration, count int) {
	slices.SortFunc(tries, time.Time.Compare)
	slices.SortFunc(taken, time.Time.Compare)
	if len(tries) > 0 {
		taken = append(taken, tries[len(tries)-1])
	}
	for i := 1; i < len(taken); i++ {
		between := taken[i].Sub(taken[i-1])
		if between <= longest {
			continue
		}
		longest, count = between, 0
		for _, at := range tries {
			if at.After(taken[i-1]) && at.Before(taken[i]) {
				count++
			}
		}
	}
	return longest, count
}
