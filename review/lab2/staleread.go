package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["stale-read"] = playStaleRead }

// The times of the case.
const (
	// cutBefore is the time from the beginning of the cut to the restart, and cutAfter that from the
	// restart to the last read that begins in the cut.
	cutBefore = 300 * time.Millisecond
	cutAfter  = 1500 * time.Millisecond
	// leaveAfter is the time from the arrival of that read at the store until a worker leaves, and
	// healAfter the time from then until the cut ends.
	leaveAfter = 50 * time.Millisecond
	healAfter  = 300 * time.Millisecond
	// serveOn is how long the worker that leaves serves on; drainMs of it are certain.
	serveOn     = 9 * time.Second
	drainTime   = 2 * time.Second
	contactTime = 3 * time.Second
	// askGap is the time between two requests of the client at the machine.
	askGap = 25 * time.Millisecond
)

const deskConfig = `{"version":3,"routes":[
{"name":"book","host":"pule25.example","pathPrefix":"/book/","kind":"non_idempotent","timeoutMs":1000,"sloMs":150,"priority":2,"maxAttempts":1,"service":"bookings"}],
"services":[{"name":"bookings","healthPath":"/health","maxConns":100,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"bozi300","apiKeys":["9dnn2ctnfzs989anu6ws"],"priority":1}]}`

// arrival is a request at the worker that leaves.
type arrival struct {
	id string
	at time.Time
}

// playStaleRead restarts a machine that is cut off from the store in one direction, and lets a worker
// leave just before the cut ends.
func playStaleRead(r *record, trouble bool) (bool, error) {
	s, err := newSite()
	if err != nil {
		return false, err
	}
	defer s.close()
	var mu sync.Mutex
	var arrivals []arrival
	for i := range 4 {
		w := &worker{id: fmt.Sprint("i-02d9e6b", i), service: "bookings", zone: "tt-south-a"}
		w.serve = func(c net.Conn, q *http.Request) bool {
			if w.id == leaver {
				mu.Lock()
				arrivals = append(arrivals, arrival{q.Header.Get(headerID), time.Now()})
				mu.Unlock()
			}
			time.Sleep(10 * time.Millisecond)
			return answerPlain(c, q)
		}
		if err := s.addWorker(w, 6); err != nil {
			return false, err
		}
	}
	s.store.put("op/config", deskConfig)
	reads := make(chan struct{}, 100)
	link, err := startProxy(s.store.address, func(data []byte) {
		if bytes.Contains(data, []byte("GET /-/kv-range")) {
			select {
			case reads <- struct{}{}:
			default:
			}
		}
	})
	if err != nil {
		return false, err
	}
	if err := s.startHosts("frontend-tt-south-a-1", "frontend-tt-south-b-1"); err != nil {
		return false, err
	}
	// The third machine reaches the store over the link.
	s.values["platform.address"] = link.address
	h, err := s.addHost("frontend-tt-south-c-1")
	if err != nil {
		return false, err
	}
	if err := h.start(); err != nil {
		return false, err
	}
	time.Sleep(inTouch)
	if trouble {
		r.printf("the link from the store to %s is cut, the other direction is open", h.name)
		link.setCut(true)
		time.Sleep(cutBefore)
		r.printf("%s is killed and starts again", h.name)
		_ = h.signal(syscall.SIGKILL)
		_ = h.command.Wait()
		if err := h.start(); err != nil {
			return false, err
		}
		r.printf("%s is ready", h.name)
		time.Sleep(cutAfter)
		for len(reads) > 0 {
			<-reads
		}
		<-reads
		r.printf("a read of %s arrives at the store", h.name)
		time.Sleep(leaveAfter)
	}
	left := time.Now()
	s.store.drop("servers/" + leaver)
	r.printf("the store accepts that the entry of %s is removed; it serves on for %s", leaver, serveOn)
	healed := left
	if trouble {
		time.Sleep(healAfter)
		link.setCut(false)
		healed = time.Now()
		r.printf("the cut ends")
	}
	sent := askUntil(r, h.front, left.Add(serveOn))
	mu.Lock()
	defer mu.Unlock()
	return judgeLeaver(r, arrivals, sent, left, healed), nil
}

// leaver is the id of the worker that leaves without a word.
const leaver = "i-02d9e6b1"

// askUntil sends requests one after the other until a time, and returns when each was sent.
func askUntil(r *record, address string, end time.Time) map[string]time.Time {
	sent, answers := map[string]time.Time{}, map[string]int{}
	var ch *channel
	for i := 0; time.Now().Before(end); i++ {
		time.Sleep(askGap)
		var err error
		if ch == nil {
			if ch, err = openChannel(address, 0); err != nil {
				answers[err.Error()]++
				ch = nil
				continue
			}
		}
		id := fmt.Sprint("c", i)
		sent[id] = time.Now()
		response, err := ch.send(request{path: "/book/1", id: id, deadline: time.Second})
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
		}
		if err != nil {
			answers[err.Error()]++
			_ = ch.Close()
			ch = nil
			continue
		}
		answers[response.Status]++
	}
	r.printf("client: %d requests, answered %v", len(sent), answers)
	return sent
}

// judgeLeaver reports whether no request reached the worker that had left, later than drainTime after
// that, from a machine in touch.
func judgeLeaver(r *record, arrivals []arrival, sent map[string]time.Time, left, healed time.Time) bool {
	late := 0
	for _, a := range arrivals {
		at := sent[a.id]
		if at.Before(left.Add(drainTime)) || at.Before(healed.Add(contactTime)) {
			continue
		}
		if late++; late <= 5 {
			r.printf("%s was sent %.2f s after %s had left, %.2f s after the cut had ended, and reached it", a.id, at.Sub(left).Seconds(), leaver, at.Sub(healed).Seconds())
		}
	}
	r.printf("%d requests reached %s in all, %d of them too late", len(arrivals), leaver, late)
	return late == 0
}
