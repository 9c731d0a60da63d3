// The program of case 4 plays a part of a prompt that crashes each worker shortly after it has begun
// to write an answer on it.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"redwingloft/review/lab"
)

const (
	hostCount, workerCount = 3, 4
	clientsPerHost         = 5
	// share and poisonTime are those of { kind = "poison", share = 0.05, for_s = 22.0 }.
	share      = 0.05
	quietTime  = 6 * time.Second
	poisonTime = 22 * time.Second
	// downTime is how long a worker is down after a crash.
	downTime = 3 * time.Second
	// firstEventTime and eventGap are those of a worker: 3 tokens in an event, 5.23 ms and more a token.
	firstEventTime = 150 * time.Millisecond
	eventGap       = 16 * time.Millisecond
	eventCount     = 17
	clientPause    = 150 * time.Millisecond
	deadline       = 6 * time.Second
	// contactTime is contactMs of the site, from the fifth crash on.
	contactTime  = 3 * time.Second
	countedCrash = 5
	// allowedArrivals is that of the rule BUDGET: more than three requests.
	allowedArrivals = 3

	deadlyPart = "dead0001"
)

// crashEvents is the number of events that a worker has written when it crashes.
var crashEvents = 2

func main() {
	if text := os.Getenv("CRASH_EVENTS"); text != "" {
		crashEvents, _ = strconv.Atoi(text)
	}
	lab.Main("review/4", play)
}

var errUnserved = errors.New("fewer than 100 requests were served")

// beginning is a sound request at its first attempt.
type beginning struct {
	sent  time.Time
	began bool
}

type site struct {
	*lab.Env
	store *lab.Store
	hosts []*lab.Host

	mu sync.Mutex
	// crashes are the times of the crashes, arrivals those at which a request with the deadly part
	// reached a worker.
	crashes, arrivals []time.Time
	sound, broken     int
	// began holds, for each sound request, when it was sent and whether its stream began.
	began   []beginning
	deadly  bool
	stopped bool
}

func play(env *lab.Env) (bool, error) {
	store, err := lab.NewStore()
	if err != nil {
		return false, err
	}
	s := &site{Env: env, store: store}
	config := lab.Config{
		Version: 1, Limits: lab.Limits(), Tenants: []lab.Tenant{{Name: "garden", APIKeys: []string{"key-of-garden"}}},
		Routes: []lab.Route{{
			Name: "plan", Host: "plan.example", PathPrefix: "/plan/", Kind: "streaming", TimeoutMs: 6000, SloMs: 1400, Service: "models",
			MaxAttempts: 2, Sticky: true, Resumable: true, ItlTargetMs: 500,
		}},
		Services: []lab.Service{{Name: "models", HealthPath: "/health", MaxConns: 360, Protocol: "h1"}},
	}
	store.Put("op/config", config.Encode())
	for i := range workerCount {
		worker := &lab.Worker{ID: fmt.Sprintf("i-%d", i+1), Service: "models", Zone: "z0", Slots: 64, OnRun: s.recordRun, Work: s.work}
		if err := worker.Start(store); err != nil {
			return false, err
		}
	}
	addresses := make([]string, hostCount)
	for i := range addresses {
		addresses[i] = store.Address
	}
	if s.hosts, err = lab.StartHosts(env.Root, env.Temp, addresses); err != nil {
		lab.StopAll(s.hosts)
		return false, err
	}
	defer lab.StopAll(s.hosts)
	var clients sync.WaitGroup
	for _, h := range s.hosts {
		for range clientsPerHost {
			clients.Go(func() { s.call(h) })
		}
	}
	time.Sleep(quietTime)
	s.setDeadly(lab.Trouble())
	time.Sleep(poisonTime)
	s.setDeadly(false)
	time.Sleep(time.Second)
	s.mu.Lock()
	s.stopped = true
	s.mu.Unlock()
	clients.Wait()
	return s.judge()
}

func (s *site) setDeadly(deadly bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deadly = deadly
}

func (s *site) recordRun(run lab.Run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if strings.Contains(run.Prompt, deadlyPart) {
		s.arrivals = append(s.arrivals, run.At)
	}
	s.Line("%s runs %s, prompt %s", run.Worker, run.ID, run.Prompt)
}

// work writes a stream. A request with the deadly part crashes the worker, which is back after some
// seconds with nothing of before.
func (s *site) work(w *lab.Worker, out *bufio.Writer, r *http.Request, _ []byte) bool {
	deadly := strings.Contains(r.Header.Get("Redwingloft-Prompt-Prefix"), deadlyPart)
	first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	time.Sleep(firstEventTime)
	lab.StartEvents(out, r)
	for written := 0; first+written < eventCount; written++ {
		if deadly && written == crashEvents {
			s.crash(w)
			return false
		}
		if lab.Event(out, first+written+1) != nil {
			return false
		}
		time.Sleep(eventGap)
	}
	lab.EndEvents(out)
	return true
}

func (s *site) crash(w *lab.Worker) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !w.Up() {
		return
	}
	w.Crash()
	s.crashes = append(s.crashes, time.Now())
	s.Say("crash %d: %s", len(s.crashes), w.ID)
	time.AfterFunc(downTime, func() {
		if err := w.Start(s.store); err != nil {
			s.Say("%s could not start again: %v", w.ID, err)
		}
	})
}

// call sends one request after the other to a host until the case stops.
func (s *site) call(h *lab.Host) {
	channel := &lab.Channel{Address: h.Front}
	defer channel.Close()
	for {
		s.mu.Lock()
		stopped, deadly := s.stopped, s.deadly && rand.Float64() < share
		s.mu.Unlock()
		if stopped {
			return
		}
		id := lab.NewID()
		second := fmt.Sprintf("bb%06d", rand.IntN(20))
		if deadly {
			second = deadlyPart
		}
		o := channel.Send(lab.Request{
			ID: id, Method: http.MethodPost, Host: "plan.example", Path: "/plan/7", Key: "key-of-garden", Body: "plan", Deadline: deadline,
			Header: []string{"Redwingloft-Model: m", "Redwingloft-Token-Usage: 9190,51", "Redwingloft-Prompt-Prefix: aa000001:2520," + second + ":3780,cc" + id + ":2890"},
		})
		s.mu.Lock()
		if !deadly {
			s.sound++
			s.began = append(s.began, beginning{o.Sent, o.Status == http.StatusOK && o.Body != ""})
			if o.Status != http.StatusOK || o.Err != nil {
				s.broken++
			}
		}
		s.mu.Unlock()
		s.Line("%s answers %s with %d, deadly part %v, %d bytes, error %v", h.Name, id, o.Status, deadly, len(o.Body), o.Err)
		time.Sleep(clientPause)
	}
}

func (s *site) judge() (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sound-s.broken < 100 {
		return false, errUnserved
	}
	late := 0
	if len(s.crashes) >= countedCrash {
		from := s.crashes[countedCrash-1].Add(contactTime)
		for _, at := range s.arrivals {
			if at.After(from) {
				late++
			}
		}
	}
	s.Say("crashes: %d; requests with the deadly part that reached workers: %d, of these later than contactMs after the fifth crash: %d (allowed %d); sound requests: %d, of these not served whole: %d",
		len(s.crashes), len(s.arrivals), late, allowedArrivals, s.sound, s.broken)
	s.sayBeginnings()
	return late > allowedArrivals, nil
}

// sayBeginnings tells how often sound requests began before the first crash and from 2 x contactMs after
// the fifth one, while requests with the deadly part came.
func (s *site) sayBeginnings() {
	if len(s.crashes) < countedCrash {
		return
	}
	var before, beforeBegan, after, afterBegan int
	for _, b := range s.began {
		switch {
		case b.sent.Before(s.crashes[0].Add(-deadline / 6)):
			before++
			if b.began {
				beforeBegan++
			}
		case b.sent.After(s.crashes[countedCrash-1].Add(2*contactTime)) && b.sent.Before(s.arrivals[len(s.arrivals)-1]):
			after++
			if b.began {
				afterBegan++
			}
		}
	}
	s.Say("sound requests that began: %d of %d before the first crash, %d of %d from 2 x contactMs after the fifth crash", beforeBegan, before, afterBegan, after)
}
