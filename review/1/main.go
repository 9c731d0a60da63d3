// The program of case 1 takes the keys of a deployment's only tenant away, one after the other.
package main

import (
	"bufio"
	"errors"
	"net/http"
	"sync"
	"time"

	"redwingloft/review/lab"
)

const (
	hostCount = 2
	quietTime = 3 * time.Second
	// The keys are taken away as by { kind = "revoke", count = 2, gap_s = 1.5 } of the site.
	revokeGap = 1500 * time.Millisecond
	watchTime = 15 * time.Second
	// revokeTime is revokeMs of the site, configTime its configMs. A key counts as taken away after
	// the longer one.
	revokeTime = 5 * time.Second
	configTime = 2 * time.Second
	probeGap   = 200 * time.Millisecond
	deadline   = time.Second

	firstKey, lastKey, unknownKey = "key-one-of-garden", "key-two-of-garden", "key-that-no-config-ever-held"
)

func main() { lab.Main("review/1", play) }

func config(version int, keys []string) []byte {
	c := lab.Config{
		Version: version, Limits: lab.Limits(), Tenants: []lab.Tenant{{Name: "garden", APIKeys: keys}},
		Routes:   []lab.Route{{Name: "book", Host: "book.example", PathPrefix: "/book/", Kind: "non_idempotent", TimeoutMs: 1000, SloMs: 150, Service: "bookings", MaxAttempts: 1}},
		Services: []lab.Service{{Name: "bookings", HealthPath: "/health", MaxConns: 100, Protocol: "h1"}},
	}
	return c.Encode()
}

var errUnserved = errors.New("fewer than 20 requests were served")

// probe is a request of a client with what became of it.
type probe struct {
	host, key string
	sent      time.Time
	status    int
	ran       bool
	// tenant is the one that the worker was told.
	tenant string
}

type site struct {
	*lab.Env
	hosts []*lab.Host

	mu      sync.Mutex
	ran     map[string]lab.Run
	probes  []probe
	stopped bool
}

func play(env *lab.Env) (bool, error) {
	store, err := lab.NewStore()
	if err != nil {
		return false, err
	}
	s := &site{Env: env, ran: map[string]lab.Run{}}
	store.Put("op/config", config(1, []string{firstKey, lastKey}))
	for _, id := range []string{"i-1", "i-2"} {
		worker := &lab.Worker{ID: id, Service: "bookings", Zone: "z0", Slots: 6, OnRun: s.recordRun, Work: func(_ *lab.Worker, out *bufio.Writer, r *http.Request, _ []byte) bool {
			time.Sleep(30 * time.Millisecond)
			lab.Answer(out, r, "booked")
			return true
		}}
		if err := worker.Start(store); err != nil {
			return false, err
		}
	}
	if s.hosts, err = lab.StartHosts(env.Root, env.Temp, []string{store.Address, store.Address}[:hostCount]); err != nil {
		lab.StopAll(s.hosts)
		return false, err
	}
	defer lab.StopAll(s.hosts)
	var clients sync.WaitGroup
	for _, h := range s.hosts {
		for _, key := range []string{firstKey, lastKey, unknownKey, ""} {
			clients.Go(func() { s.probe(h, key) })
		}
	}
	removedAt := map[string]time.Time{unknownKey: time.Now(), "": time.Now()}
	time.Sleep(quietTime)
	store.Put("op/config", config(4, []string{lastKey}))
	removedAt[firstKey] = time.Now()
	s.Say("the first key is taken away, acknowledged")
	time.Sleep(revokeGap)
	if lab.Trouble() {
		store.Put("op/config", config(6, []string{}))
		removedAt[lastKey] = time.Now()
		s.Say("the last key is taken away, acknowledged")
	}
	time.Sleep(watchTime)
	s.mu.Lock()
	s.stopped = true
	s.mu.Unlock()
	clients.Wait()
	return s.judge(removedAt)
}

func (s *site) recordRun(run lab.Run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ran[run.ID] = run
	s.Line("%s runs %s for tenant %q", run.Worker, run.ID, run.Tenant)
}

// probe sends requests with a key to a host until the case stops.
func (s *site) probe(h *lab.Host, key string) {
	channel := &lab.Channel{Address: h.Front}
	defer channel.Close()
	for {
		s.mu.Lock()
		stopped := s.stopped
		s.mu.Unlock()
		if stopped {
			return
		}
		id := lab.NewID()
		o := channel.Send(lab.Request{ID: id, Method: http.MethodPost, Host: "book.example", Path: "/book/7", Key: key, Body: "gate", Deadline: deadline})
		s.mu.Lock()
		run, ran := s.ran[id]
		s.probes = append(s.probes, probe{h.Name, key, o.Sent, o.Status, ran, run.Tenant})
		s.mu.Unlock()
		s.Line("%s answers %s with key %q: %d, ran %v, error %v", h.Name, id, key, o.Status, ran, o.Err)
		time.Sleep(probeGap)
	}
}

// judge applies ROUTE (a request runs whose key no config ever held) and CONFIG (a request that is sent
// later than configMs after the ack runs with a dropped key), the latter with the longer bound.
func (s *site) judge(removedAt map[string]time.Time) (bool, error) {
	served, unknown, removed, sent := 0, 0, 0, 0
	for _, p := range s.probes {
		if p.status == http.StatusOK {
			served++
		}
		at, gone := removedAt[p.key]
		if !gone || !p.sent.After(at.Add(max(revokeTime, configTime))) && p.key != unknownKey && p.key != "" {
			continue
		}
		sent++
		switch {
		case !p.ran:
		case p.key == unknownKey || p.key == "":
			unknown++
		default:
			removed++
		}
	}
	if served < 20 {
		return false, errUnserved
	}
	s.Say("requests without a key of the config: %d; ROUTE: run with a key that no config ever held, or none: %d; CONFIG: run with a key that was taken away over %v before: %d", sent, unknown, max(revokeTime, configTime), removed)
	return unknown+removed > 0, nil
}
