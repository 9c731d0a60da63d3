package cmd

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	wire "redwingloft/platform"
	"redwingloft/standin/platform"
)

// stopLoad sends requests on kept and on new connections until the host no longer accepts any,
// and records those that ended without an answer after they had reached the host.
type stopLoad struct {
	site     *site
	mu       sync.Mutex
	cut      map[string]error
	answered atomic.Int64
}

// refusedBeforeRead reports whether a request can't have been read by the host.
func refusedBeforeRead(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED)
}

// run sends requests one after another. With kept true they share a connection.
func (l *stopLoad) run(worker int, path string, kept bool) {
	transport := &http.Transport{DisableKeepAlives: !kept, MaxIdleConnsPerHost: 1}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: 10 * time.Second}
	for i := 0; ; i++ {
		id := fmt.Sprintf("%d-%d", worker, i)
		request, err := http.NewRequest(http.MethodPost, "http://"+l.site.settings.Caller.Listen+path, strings.NewReader("x"))
		if err != nil {
			return
		}
		// A body without GetBody is not sent again by net/http on another connection.
		request.GetBody = nil
		request.Host = "h"
		for name, value := range map[string]string{
			wire.HeaderRequestID: id, wire.HeaderDeadline: "5000", "Authorization": "Bearer k", wire.HeaderItems: "1,1", wire.HeaderItemKey: "k",
		} {
			request.Header.Set(name, value)
		}
		response, err := client.Do(request)
		if err == nil {
			_, err = io.ReadAll(response.Body)
			response.Body.Close()
		}
		switch {
		case err == nil:
			l.answered.Add(1)
			if response.StatusCode == http.StatusServiceUnavailable {
				time.Sleep(20 * time.Millisecond)
			}
		case refusedBeforeRead(err):
			return
		default:
			l.mu.Lock()
			l.cut[id] = err
			l.mu.Unlock()
		}
	}
}

// TestPlannedStopUnderLoad guards against requests that the host has read, or even passed to an
// upstream, and that end without an answer when the host is told to stop: once, twice, or during
// a reload.
func TestPlannedStopUnderLoad(t *testing.T) {
	for name, stop := range map[string]func(t *testing.T, s *site){
		"one signal": func(t *testing.T, s *site) { s.signal(t) },
		"two signals": func(t *testing.T, s *site) {
			s.signal(t)
			time.Sleep(200 * time.Millisecond)
			s.signal(t)
		},
		"during a reload": func(t *testing.T, s *site) {
			assert.NilError(t, syscall.Kill(syscall.Getpid(), syscall.SIGHUP))
			s.signal(t)
			assert.NilError(t, syscall.Kill(syscall.Getpid(), syscall.SIGHUP))
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := startSite(t)
			load := &stopLoad{site: s, cut: map[string]error{}}
			var running sync.WaitGroup
			for worker := range 12 {
				path := []string{"/book/1", "/plan/1", "/book" + slowPath}[worker%3]
				running.Go(func() { load.run(worker, path, worker%2 == 0) })
			}
			s.eventually(t, "load", func() bool { return load.answered.Load() > 50 })
			stop(t, s)
			s.awaitStop(t)
			running.Wait()
			reached := map[string]bool{}
			for _, upstream := range []interface{ RequestIDs() []string }{s.plain, s.engine} {
				for _, id := range upstream.RequestIDs() {
					reached[id] = true
				}
			}
			for id, err := range load.cut {
				assert.Check(t, !reached[id], "%s was passed on and got no answer: %v", id, err)
				// Each request that the host has read ends with a line in its log. Callers may
				// repeat one that it has not read.
				assert.Check(t, !s.log.contains("request="+id+" "), "%s was read and got no answer: %v", id, err)
			}
			t.Logf("%d answered, %d crossed the close", load.answered.Load(), len(load.cut))
		})
	}
}

// TestStopAmongReloads guards against a signal to stop that is dropped because signals to reload
// arrive faster than the settings are read.
func TestStopAmongReloads(t *testing.T) {
	s := startSite(t)
	reload := func() { assert.NilError(t, syscall.Kill(syscall.Getpid(), syscall.SIGHUP)) }
	for range 200 {
		reload()
		time.Sleep(20 * time.Microsecond)
	}
	s.signal(t)
	for range 10 {
		reload()
	}
	s.awaitStop(t)
}

// TestLateRequestsOfPlannedStop guards against requests that a draining host takes although they
// may not end within its grace period, and that are cut at its end, with short and long grace
// periods.
func TestLateRequestsOfPlannedStop(t *testing.T) {
	const orderTime = 1500 * time.Millisecond
	for _, grace := range []time.Duration{2500 * time.Millisecond, 4 * time.Second, 8 * time.Second} {
		t.Run(grace.String(), func(t *testing.T) {
			s := startSiteWith(t, map[string]string{"bounds.graceS": fmt.Sprint(grace.Seconds())})
			orders := s.startUpstreamAs(t, "orders", "orders", func(w *bufio.Writer, run platform.Request) bool {
				time.Sleep(orderTime)
				platform.WriteResponse(w, run.Header.Get(wire.HeaderRequestID), 200, "done")
				return true
			})
			s.write(t, wire.KeyDocument, `{"version":2,"routes":[
{"name":"order","host":"h","pathPrefix":"/order/","kind":"non_idempotent","timeoutMs":6000,"sloMs":1500,"maxAttempts":1,"service":"orders"},
{"name":"look","host":"h","pathPrefix":"/look/","kind":"idempotent","timeoutMs":6000,"sloMs":1500,"maxAttempts":2,"service":"orders"}],
"services":[{"name":"orders"}],"tenants":[{"name":"w","apiKeys":["k"]}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1000000,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`)
			s.eventually(t, "the new version", func() bool {
				status, _, _ := s.call(t, "/order/1", "first", nil)
				return status == http.StatusOK
			})
			load := &stopLoad{site: s, cut: map[string]error{}}
			var running sync.WaitGroup
			for worker := range 16 {
				path := []string{"/order/1", "/look/1"}[worker%2]
				running.Go(func() {
					time.Sleep(time.Duration(worker) * orderTime / 16)
					load.run(worker, path, worker%4 < 2)
				})
			}
			s.eventually(t, "load", func() bool { return load.answered.Load() > 16 })
			s.signal(t)
			s.awaitStop(t)
			running.Wait()
			reached := map[string]bool{}
			for _, id := range orders.RequestIDs() {
				reached[id] = true
			}
			for id, err := range load.cut {
				assert.Check(t, !reached[id], "%s was passed on and got no answer: %v", id, err)
			}
		})
	}
}
