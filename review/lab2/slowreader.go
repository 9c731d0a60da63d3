package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["slow-reader"] = playSlowReader }

// The dose of the case.
const (
	readers = 6
	// readPause is how long a client reads nothing, once in its stream.
	readPause = 3 * time.Second
	// pauseAfter is the event after which it pauses.
	pauseAfter = 10
	// readerBuffer is the receive buffer that a client asks for.
	readerBuffer = 4 << 10
	// noteEvents, noteBytes and noteGap make a stream of the kind care-note within its sheet, which has
	// 231 events of 270 bytes at most.
	noteEvents = 200
	noteBytes  = 180
	noteGap    = 10 * time.Millisecond
	// noteDeadline is that of care-note.
	noteDeadline = 20 * time.Second
	// inTouch is how long nothing happens before the requests that are judged.
	inTouch = 4 * time.Second
	// maxLost is the number of channels that a machine may close without an answer.
	maxLost = 3
)

// smallConfig routes a stream that may run once, and a short request, to the same workers.
const smallConfig = `{"version":3,"routes":[
{"name":"note","host":"pule25.example","pathPrefix":"/note/","kind":"streaming","timeoutMs":20000,"sloMs":1900,"itlTargetMs":500,"priority":2,"maxAttempts":2,"service":"models","resumable":false,"sticky":true},
{"name":"look","host":"pule25.example","pathPrefix":"/look/","kind":"idempotent","timeoutMs":1000,"sloMs":150,"priority":2,"maxAttempts":2,"service":"models"}],
"services":[{"name":"models","healthPath":"/health","maxConns":360,"protocol":"h1","tls":false,"engine":{"slots":64,"kvCapacity":370466}}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"bozi300","apiKeys":["9dnn2ctnfzs989anu6ws"],"priority":1}]}`

// startSmallSite starts a site with two sound workers, which run streams as stream does, and one host.
func startSmallSite(stream func(c net.Conn, q *http.Request) bool) (*site, error) {
	s, err := newSite()
	if err != nil {
		return nil, err
	}
	for i := range 2 {
		w := &worker{id: fmt.Sprint("i-7f3a91c", i), service: "models", zone: "tt-south-a"}
		w.serve = func(c net.Conn, q *http.Request) bool {
			if strings.HasPrefix(q.URL.Path, "/look/") {
				return answerPlain(c, q)
			}
			return stream(c, q)
		}
		if err := s.addWorker(w, 64); err != nil {
			s.close()
			return nil, err
		}
	}
	s.store.put("op/config", smallConfig)
	if err := s.startHosts("frontend-tt-south-a-1"); err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

// playSlowReader lets clients read nothing for a while in the middle of a stream.
func playSlowReader(r *record, trouble bool) (bool, error) {
	run := &streamRun{size: noteBytes, gap: noteGap}
	for n := range noteEvents {
		run.ids = append(run.ids, n+1)
	}
	var whole, lost atomic.Int64
	s, err := startSmallSite(func(c net.Conn, q *http.Request) bool {
		done := run.answer(r, c, q)
		if done {
			whole.Add(1)
		}
		return done
	})
	if err != nil {
		return false, err
	}
	defer s.close()
	h := s.hosts[0]
	time.Sleep(inTouch)
	if err := h.signal(syscall.SIGHUP); err != nil {
		return false, err
	}
	r.printf("SIGHUP to %s: planned work", h.name)
	var clients sync.WaitGroup
	for i := range readers {
		clients.Go(func() {
			if err := readSlowly(r, h.front, fmt.Sprint("a", i), trouble); err != nil {
				lost.Add(1)
				r.printf("client a%d: no complete answer: %v", i, err)
			}
		})
	}
	clients.Wait()
	r.printf("%d runs were whole at their workers; %d of %d kept channels ended without the complete answer", whole.Load(), lost.Load(), readers)
	return lost.Load() <= maxLost, nil
}

// readSlowly sends a short request and then one for a stream on the same channel. It returns an error
// if an answer is not complete.
func readSlowly(r *record, address, id string, pause bool) error {
	ch, err := openChannel(address, readerBuffer)
	if err != nil {
		return err
	}
	defer ch.Close()
	if err := sendFirst(r, ch, id); err != nil {
		return err
	}
	response, err := ch.send(request{path: "/note/1", id: id, deadline: noteDeadline, fields: engineFields})
	if err != nil {
		return err
	}
	r.printf("client %s: status %d, sent %s before its deadline", id, response.StatusCode, noteDeadline)
	ids, err := readEvents(response, func(event int) {
		if pause && event == pauseAfter {
			r.printf("client %s: reads nothing for %s after event %d", id, readPause, event)
			time.Sleep(readPause)
			r.printf("client %s: reads on", id)
		}
	})
	if err == nil && len(ids) != noteEvents {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return fmt.Errorf("after %d of %d events: %w", len(ids), noteEvents, err)
	}
	r.printf("client %s: complete, %d events", id, len(ids))
	return nil
}

// sendFirst sends a short request, so that the channel is a kept one for the next.
func sendFirst(r *record, ch *channel, id string) error {
	response, err := ch.send(request{path: "/look/1", id: id + "-look", deadline: time.Second})
	if err != nil {
		return err
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return err
	}
	r.printf("client %s: the first request of the channel is answered %d", id, response.StatusCode)
	return nil
}
