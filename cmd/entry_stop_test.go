package cmd

import (
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
