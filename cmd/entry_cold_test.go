package cmd

import (
	"bufio"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingloft/pkg/api"
	wire "redwingloft/platform"
	"redwingloft/standin/platform"
)

const (
	// coldRate is the rate that a cold upstream tolerates, and coldBound the number of requests that it
	// may get in any one second: one and a half times the rate, and five more.
	coldRate  = 2
	coldBound = 1.5*coldRate + 5
	// coldDocument is the document of startSite with the cold service.
	coldDocument = `{"version":2,"routes":[
{"name":"book","host":"h","pathPrefix":"/book/","kind":"non_idempotent","timeoutMs":1000,"sloMs":150,"maxAttempts":1,"service":"plain"}],
"services":[{"name":"plain","coldS":60,"coldPerS":%d}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1000000,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"w","apiKeys":["k"]}]}`
)

// TestColdUpstreamsGetWhatTheyTolerate guards against a cold upstream that gets more requests in a second
// than it may, from several hosts of which one has just started, against refusals without a time, and
// against a limit that outlasts the cold time or is lost at the end of an evacuation.
func TestColdUpstreamsGetWhatTheyTolerate(t *testing.T) {
	s := startSiteWith(t, map[string]string{"bounds.evacuateMs": "2000", "bounds.coldExcess": "1.5", "bounds.coldSlack": "5"})
	var received arrivals
	s.plain.Close()
	cold := &platform.Upstream{Entry: s.plain.Entry, Handle: func(w *bufio.Writer, run platform.Request) bool {
		received.add()
		platform.WriteResponse(w, run.Header.Get(wire.HeaderRequestID), 200, "booked")
		return true
	}}
	assert.NilError(t, cold.Start())
	t.Cleanup(cold.Close)
	cold.Entry.ID = api.UpstreamID("cold")
	s.remove(t, wire.PrefixUpstream+string(s.plain.Entry.ID))
	s.write(t, wire.KeyDocument, fmt.Sprintf(coldDocument, coldRate))
	s.writeUpstreamIn(t, cold, "plain", "ready", "b", time.Minute)
	s.eventually(t, "the document and the upstream", func() bool {
		view := s.host.directory.View()
		return view.Snapshot.Revision == 2 && len(view.Ready("plain")) == 1 && view.Ready("plain")[0].ID == "cold"
	})

	stopped := make(chan error, 2)
	start := time.Now()
	var load sync.WaitGroup
	var mu sync.Mutex
	statuses, withoutTime := map[int]int{}, 0
	end := make(chan struct{})
	send := func(address string) {
		for i := 0; ; i++ {
			select {
			case <-end:
				return
			case <-time.After(2 * time.Millisecond):
			}
			status, _, header := callHost(t, address, "/book/1", fmt.Sprint(address, i), nil)
			mu.Lock()
			statuses[status]++
			if status == http.StatusServiceUnavailable && header.Get("Retry-After") == "" {
				withoutTime++
			}
			mu.Unlock()
		}
	}
	stopLoad := sync.OnceFunc(func() {
		close(end)
		load.Wait()
	})
	defer stopLoad()
	load.Go(func() { send(s.settings.Caller.Listen) })
	for i := range 2 {
		_, other := s.startHost(t, fmt.Sprint("host-", i+2), stopped)
		load.Go(func() { send(other.Caller.Listen) })
	}
	s.eventually(t, "requests to the cold upstream", func() bool { return received.since(start) > coldBound })
	assert.Assert(t, received.most(start, time.Second) <= coldBound, "%d requests in a second", received.most(start, time.Second))

	s.writeUpstreamIn(t, cold, "plain", "ready", "b", 0)
	s.eventually(t, "more requests to the warm upstream", func() bool { return received.most(start, time.Second) > 4*coldBound })

	s.write(t, wire.PrefixEvacuation+"b", "{}")
	s.eventually(t, "the evacuation", func() bool { return received.since(time.Now().Add(-time.Second)) == 0 })
	s.remove(t, wire.PrefixEvacuation+"b")
	returned := time.Now()
	s.eventually(t, "requests after the evacuation", func() bool { return received.since(returned) > coldBound })
	assert.Assert(t, received.most(returned, time.Second) <= coldBound, "%d requests in a second", received.most(returned, time.Second))
	stopLoad()
	assert.Equal(t, withoutTime, 0)
	assert.Assert(t, statuses[http.StatusServiceUnavailable] > 0)
	s.stop(t)
	<-stopped
	<-stopped
}
