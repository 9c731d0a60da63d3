package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["drip"] = playDrip }

// The dose of the case: a request with the deadly part every dripGap, beside soundRate others a second
// of the same route, caller and first part.
const (
	dripRequests = 6
	dripGap      = 16 * time.Second
	soundGap     = 800 * time.Millisecond
	dripWorkers  = 6
	// backAfter is how long a worker that crashed is away.
	backAfter = 3 * time.Second
	// crashesKnown is the number of crashes after which, and contactTime later, a part is to be kept away.
	crashesKnown = 5
	// maxDeadly is the number of requests that may reach workers after that.
	maxDeadly  = 3
	deadlyPart = "914a3c3305c1"
	dripEvents = 20
)

const dripConfig = `{"version":3,"routes":[
{"name":"plan","host":"pule25.example","pathPrefix":"/plan/","kind":"streaming","timeoutMs":6000,"sloMs":1400,"itlTargetMs":500,"priority":1,"maxAttempts":2,"service":"models","resumable":true,"sticky":true}],
"services":[{"name":"models","healthPath":"/health","maxConns":360,"protocol":"h1","tls":false,"engine":{"slots":64,"kvCapacity":370466}}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"bozi300","apiKeys":["9dnn2ctnfzs989anu6ws"],"priority":1}]}`

// dripSite is a site whose workers crash when they begin an answer on the deadly part.
type dripSite struct {
	*site
	r      *record
	deadly string

	mu      sync.Mutex
	started int
	// fifth is the time of the crash that is the crashesKnown-th; zero before.
	crashes int
	fifth   time.Time
	late    int
}

// playDrip sends a request with a deadly part from time to time. Without trouble the part is sound.
func playDrip(r *record, trouble bool) (bool, error) {
	s, err := newSite()
	if err != nil {
		return false, err
	}
	defer s.close()
	d := &dripSite{site: s, r: r}
	if trouble {
		d.deadly = deadlyPart
	}
	for range dripWorkers {
		if err := d.addEngine(); err != nil {
			return false, err
		}
	}
	s.store.put("op/config", dripConfig)
	if err := s.startHosts("frontend-tt-south-a-1", "frontend-tt-south-b-1"); err != nil {
		return false, err
	}
	time.Sleep(inTouch)
	var answered, failed atomic.Int64
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		d.sendSound(stop, &answered, &failed)
	}()
	for i := range dripRequests {
		id := fmt.Sprint("deadly", i)
		err := ask(s.hosts[i%len(s.hosts)].front, id, promptOf(deadlyPart, i))
		r.printf("client: %s with part %s: %v", id, deadlyPart, err)
		if i < dripRequests-1 {
			time.Sleep(dripGap)
		}
	}
	time.Sleep(time.Second)
	close(stop)
	<-done
	d.mu.Lock()
	defer d.mu.Unlock()
	r.printf("sound requests: %d answered, %d not", answered.Load(), failed.Load())
	r.printf("%d crashes; %d requests with the part reached workers later than %s after the fifth", d.crashes, d.late, contactTime)
	return d.late <= maxDeadly, nil
}

// addEngine starts and registers a worker with a new id.
func (d *dripSite) addEngine() error {
	d.mu.Lock()
	d.started++
	w := &worker{id: fmt.Sprintf("i-7f3a91%02d", d.started), service: "models", zone: "tt-south-a"}
	d.mu.Unlock()
	run := &streamRun{size: idBytes, gap: idGap}
	for n := range dripEvents {
		run.ids = append(run.ids, n+1)
	}
	w.serve = func(c net.Conn, q *http.Request) bool {
		if d.deadly == "" || !strings.Contains(q.Header.Get("Redwingloft-Prompt-Prefix"), d.deadly) {
			return run.answer(d.r, c, q)
		}
		d.crash(w, q)
		return false
	}
	return d.addWorker(w, 64)
}

// crash ends a worker that begins an answer on the deadly part. Another one takes its place.
func (d *dripSite) crash(w *worker, q *http.Request) {
	d.mu.Lock()
	now := time.Now()
	if !d.fifth.IsZero() && now.Sub(d.fifth) > contactTime {
		d.late++
	}
	if d.crashes++; d.crashes == crashesKnown {
		d.fifth = now
	}
	d.r.printf("worker: %s begins an answer to %s and crashes, crash %d", w.id, q.Header.Get(headerID), d.crashes)
	d.mu.Unlock()
	w.crash()
	time.AfterFunc(backAfter, func() {
		d.store.drop("servers/" + w.id)
		if err := d.addEngine(); err != nil {
			d.r.printf("no worker comes back: %v", err)
		}
	})
}

// promptOf returns the header fields of a request with a part between the first and its own.
func promptOf(part string, number int) map[string]string {
	return map[string]string{
		"Redwingloft-Model": "m", "Redwingloft-Token-Usage": "800,80",
		"Redwingloft-Prompt-Prefix": fmt.Sprintf("5c1e07a2:500,%s:200,e440%x:100", part, number),
	}
}

// ask sends a request on a channel of its own and returns an error if it is not answered in full.
func ask(address, id string, fields map[string]string) error {
	ch, err := openChannel(address, 0)
	if err != nil {
		return err
	}
	defer ch.Close()
	response, err := ch.send(request{path: "/plan/1", id: id, deadline: 6 * time.Second, fields: fields})
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	_, err = readEvents(response, func(int) {})
	return err
}

// sendSound sends sound requests until stop is closed.
func (d *dripSite) sendSound(stop chan struct{}, answered, failed *atomic.Int64) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(soundGap):
		}
		if err := ask(d.hosts[i%len(d.hosts)].front, fmt.Sprint("sound", i), promptOf(fmt.Sprintf("b325%x", i%5), 1000+i)); err != nil {
			failed.Add(1)
			continue
		}
		answered.Add(1)
	}
}
