package clients

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingloft/internal/data/fleet"
	"redwingloft/internal/data/store"
	"redwingloft/internal/service/stage"
	"redwingloft/pkg/api"
	wire "redwingloft/platform"
	"redwingloft/standin/platform"
	"redwingloft/standin/site"
)

const (
	// workTime is how long the upstream takes, so that the host holds many bodies at once.
	workTime = 400 * time.Millisecond
	// largeResponse is the size of a response to a path with the suffix /large; it is within what a host accepts.
	largeResponse = 7 << 20
	// eventCount and eventBytes are the number and size of the events of a stream.
	eventCount = 2000
	eventBytes = 10 << 10
	// brokenEngines is the number of engines that break off each response.
	brokenEngines = 4
	// promptSenders is the number of clients that send prompts, each of promptParts parts.
	promptSenders = 32
	promptParts   = 700
)

const routingDocument = `{"version":1,"routes":[
{"name":"book","host":"h","pathPrefix":"/book/","kind":"non_idempotent","timeoutMs":6000,"sloMs":1400,"maxAttempts":1,"service":"plain"},
{"name":"plan","host":"h","pathPrefix":"/plan/","kind":"streaming","timeoutMs":6000,"sloMs":1400,"maxAttempts":2,"service":"engine","resumable":true},
{"name":"break","host":"h","pathPrefix":"/break/","kind":"streaming","timeoutMs":6000,"sloMs":1400,"maxAttempts":1,"service":"broken"},
{"name":"short","host":"h","pathPrefix":"/short/","kind":"streaming","timeoutMs":6000,"sloMs":1400,"maxAttempts":1,"service":"short"}],
"services":[{"name":"plain"},{"name":"engine"},{"name":"broken"},{"name":"short"}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"w","apiKeys":["k"]}]}`

// host is an entry host with stand-ins for the platform's store and upstreams.
type host struct {
	*process
	// address, directory, ready, peer and admin are the addresses of the listeners.
	address, directory, ready, peer, admin string
}

// hostOptions change the limits of an entry host.
type hostOptions struct {
	// memory is the memory limit in megabytes; 0 means memoryMegabytes.
	memory int
	// env holds additional variables of the environment.
	env []string
}

func startHost(t *testing.T) *host {
	t.Helper()
	return startHostWith(t, hostOptions{})
}

func startHostWith(t *testing.T, options hostOptions) *host {
	t.Helper()
	if options.memory == 0 {
		options.memory = memoryMegabytes
	}
	kv := platform.NewStore()
	server := httptest.NewServer(kv)
	t.Cleanup(server.Close)
	put := func(key, value string) {
		_, err := kv.Inner.Txn(context.Background(), store.Txn{Puts: []store.Put{{Key: key, Value: []byte(value)}}})
		assert.NilError(t, err)
	}
	put(wire.KeyDocument, routingDocument)
	type handler = func(*bufio.Writer, platform.Request) bool
	upstreams := map[string]handler{"plain": answer, "engine": stream, "short": streamShort}
	for i := range brokenEngines {
		upstreams[fmt.Sprint("broken-", i)] = breakOff
	}
	for id, handle := range upstreams {
		name, _, _ := strings.Cut(id, "-")
		u := &platform.Upstream{Handle: handle, Entry: fleet.Upstream{ID: api.UpstreamID("i-" + id)}}
		assert.NilError(t, u.Start())
		t.Cleanup(u.Close)
		put(wire.PrefixUpstream+string(u.Entry.ID), fmt.Sprintf(
			`{"service":%q,"address":%q,"zone":"a","version":"v1","slots":200,"state":"ready","coldLeftMs":0,"callSeq":1,"born":1}`, name, u.Entry.Address))
	}
	// Another process may take one of the addresses before the host does, which then ends.
	for range 5 {
		if h := launchHost(t, strings.TrimPrefix(server.URL, "http://"), options); h != nil {
			return h
		}
	}
	t.Fatal("the host does not start")
	return nil
}

// launchHost starts the program and waits until it is ready. It returns nil if the program ends before.
func launchHost(t *testing.T, storeAddress string, options hostOptions) *host {
	t.Helper()
	template, err := os.ReadFile("../../deploy/entry.ini")
	assert.NilError(t, err)
	addresses, err := site.FreeAddresses(5)
	assert.NilError(t, err)
	h := &host{address: addresses[0], directory: addresses[1], ready: addresses[2], peer: addresses[3], admin: addresses[4]}
	text := platform.Render(string(template), map[string]string{
		"node": "host-1", "zone": "a", "bounds.graceS": "8", "bounds.configMs": "2000", "limits.memoryMb": strconv.Itoa(options.memory),
		"limits.maxFds": strconv.Itoa(maxDescriptors), "listen.front": h.address, "listen.control": h.peer, "seeds": "", "ip": "127.0.0.1",
		"portRange.0": strings.TrimPrefix(h.admin, "127.0.0.1:"), "listen.directory": h.directory, "listen.ready": h.ready,
		"platform.address": storeAddress, "bounds.retryRatio": "0.2", "bounds.retrySlack": "54", "bounds.retryWindowS": "10",
	})
	path, logPath := filepath.Join(t.TempDir(), "entry.ini"), filepath.Join(t.TempDir(), "log")
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	log, err := os.Create(logPath)
	assert.NilError(t, err)
	command := exec.Command(program("redwingloft"), "entry", "--settings", path)
	command.Env = append(os.Environ(), options.env...)
	command.Stdout, command.Stderr = log, log
	assert.NilError(t, command.Start())
	exited := make(chan struct{})
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(exited)
	}()
	t.Cleanup(func() {
		_ = command.Process.Signal(syscall.SIGKILL)
		<-exited
		if t.Failed() {
			printLog(t, logPath)
		}
	})
	h.process = &process{
		pid: command.Process.Pid, exited: exited, memoryLimit: float64(options.memory), listeners: addresses, ordinary: h.newOrdinary,
		isWhole: func(body []byte) bool { return string(body) == "booked" },
	}
	for end := time.Now().Add(answerTime); ; time.Sleep(20 * time.Millisecond) {
		select {
		case <-exited:
			printLog(t, logPath)
			return nil
		default:
		}
		response, err := http.Get("http://" + h.ready + wire.PathReadiness)
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				break
			}
		}
		assert.Assert(t, time.Now().Before(end), "the host does not become ready")
	}
	go h.watch()
	return h
}

// newOrdinary returns a small request that a caller may send.
func (h *host) newOrdinary() (*http.Request, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+h.address+"/book/1", strings.NewReader("ordinary"))
	if err != nil {
		return nil, err
	}
	request.Host = "h"
	request.Header.Set(wire.HeaderRequestID, "ordinary")
	request.Header.Set("Authorization", "Bearer k")
	return request, nil
}

// run runs a group of clients at the callers' address.
func (h *host) run(t *testing.T, size int, behave client) {
	t.Helper()
	run(t, h.address, size, behave)
}

func answer(w *bufio.Writer, run platform.Request) bool {
	time.Sleep(workTime)
	body := "booked"
	if strings.HasSuffix(run.Path, "/large") {
		body = strings.Repeat("r", largeResponse)
	}
	platform.WriteResponse(w, run.Header.Get(wire.HeaderRequestID), 200, body)
	return true
}

func stream(w *bufio.Writer, run platform.Request) bool {
	return streamEvents(w, run, eventCount, eventBytes)
}

func streamShort(w *bufio.Writer, run platform.Request) bool { return streamEvents(w, run, 3, 16) }

func streamEvents(w *bufio.Writer, run platform.Request, count, size int) bool {
	fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: 1.2.3\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		wire.HeaderRequestID, run.Header.Get(wire.HeaderRequestID), wire.HeaderDigest)
	data := strings.Repeat("e", size)
	for i := range count {
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", i+1, data)
		fmt.Fprintf(w, "%x\r\n%s\r\n", len(event), event)
		if w.Flush() != nil {
			return false
		}
	}
	fmt.Fprint(w, "0\r\n\r\n")
	return true
}

// breakOff sends a part of an event and closes the connection.
func breakOff(w *bufio.Writer, run platform.Request) bool {
	fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: 1.2.3\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n20\r\nid: 1\ndata:",
		wire.HeaderRequestID, run.Header.Get(wire.HeaderRequestID), wire.HeaderDigest)
	_ = w.Flush()
	return false
}

// head returns the header of a request without its framing.
func head(index int, path string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer k\r\n%s: client-%d\r\n", path, wire.HeaderRequestID, index)
}

// writeChunks writes chunks with a total of the given size, without the final one. It stops at the
// first error, as the host may close the connection.
func writeChunks(w *bufio.Writer, total int, next func() int) {
	data := strings.Repeat("x", min(total, 1<<20))
	for total > 0 {
		size := min(next(), total, len(data))
		if _, err := fmt.Fprintf(w, "%x\r\n%s\r\n", size, data[:size]); err != nil {
			return
		}
		total -= size
	}
	_ = w.Flush()
}

// sendChunked sends a body in chunks and reads until the connection ends.
func sendChunked(c net.Conn, index, total int, end string, next func() int) {
	w := bufio.NewWriterSize(c, 64<<10)
	_, _ = w.WriteString(head(index, "/book/1") + "Connection: close\r\n" + chunked)
	writeChunks(w, total, next)
	_, _ = w.WriteString(end)
	_ = w.Flush()
	_, _ = io.Copy(io.Discard, c)
}

// TestLargeChunks guards against a host that runs out of memory because many bodies arrive at once.
func TestLargeChunks(t *testing.T) {
	h := startHost(t)
	h.run(t, senders, func(i int, c net.Conn) {
		sendChunked(c, i, maxBodyBytes, "0\r\n\r\n", func() int { return 1 << 20 })
	})
	h.check(t)
}

// TestSmallChunks guards against chunks of few bytes whose framing costs a host more than its memory.
func TestSmallChunks(t *testing.T) {
	h := startHost(t)
	// The body is encoded before, as the clients must not be slower than the host.
	random := rand.New(rand.NewPCG(1, 2))
	data := strings.Repeat("x", 16)
	var body []byte
	for left := maxBodyBytes; left > 0; {
		size := min(1+random.IntN(16), left)
		body = append(strconv.AppendInt(body, int64(size), 16), "\r\n"...)
		body = append(append(body, data[:size]...), "\r\n"...)
		left -= size
	}
	body = append(body, "0\r\n\r\n"...)
	h.run(t, senders, func(i int, c net.Conn) {
		_, _ = io.WriteString(c, head(i, "/book/1")+"Connection: close\r\n"+chunked)
		_, _ = c.Write(body)
		_, _ = io.Copy(io.Discard, c)
	})
	h.check(t)
}

// TestBodiesOneByteShort guards against bodies that never end and hold the memory of a host.
func TestBodiesOneByteShort(t *testing.T) {
	h := startHost(t)
	h.run(t, senders, func(i int, c net.Conn) {
		w := bufio.NewWriterSize(c, 64<<10)
		if i%2 == 0 {
			_, _ = w.WriteString(head(i, "/book/1") + chunked)
			writeChunks(w, maxBodyBytes-1, func() int { return 64 << 10 })
			return
		}
		_, _ = fmt.Fprintf(w, "%sContent-Length: %d\r\n\r\n%s", head(i, "/book/1"), maxBodyBytes, strings.Repeat("x", maxBodyBytes-1))
		_ = w.Flush()
	})
	h.check(t)
}

// TestAnnouncedOverLimit guards against a host that reserves memory for what a header announces, or
// reads on after its refusal.
func TestAnnouncedOverLimit(t *testing.T) {
	h := startHost(t)
	h.run(t, senders, func(i int, c net.Conn) {
		_, _ = fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n", head(i, "/book/1"), int64(1)<<40)
		_, _ = io.Copy(c, strings.NewReader(strings.Repeat("x", 2*maxBodyBytes)))
		_, _ = io.Copy(io.Discard, c)
	})
	h.check(t)
}

// TestGrowPastLimit guards against a host that holds bodies of more than the limit.
func TestGrowPastLimit(t *testing.T) {
	h := startHost(t)
	h.run(t, senders, func(i int, c net.Conn) {
		sendChunked(c, i, 4*maxBodyBytes, "0\r\n\r\n", func() int { return 64 << 10 })
	})
	h.check(t)
}

// TestSlowHeads guards against request heads that arrive byte by byte and use up the descriptors.
func TestSlowHeads(t *testing.T) {
	h := startHost(t)
	h.run(t, connectors, func(i int, c net.Conn) {
		// Half of the clients first send a long part of the head.
		if i%2 == 0 {
			_, _ = io.WriteString(c, head(i, "/book/1")+"Padding: "+strings.Repeat("x", 12<<10))
		}
		for _, b := range []byte(head(i, "/book/1")[:50]) {
			if _, err := c.Write([]byte{b}); err != nil {
				return
			}
			time.Sleep(100 * time.Millisecond)
		}
	})
	h.check(t)
}

// TestSilentConnections guards against connections without a request that use up the descriptors.
func TestSilentConnections(t *testing.T) {
	h := startHost(t)
	h.run(t, connectors, func(int, net.Conn) { time.Sleep(time.Second) })
	h.check(t)
}

// TestSlowReaders guards against responses and streams that their callers do not read and that pile up
// in the memory of a host.
func TestSlowReaders(t *testing.T) {
	h := startHost(t)
	h.run(t, senders, func(i int, c net.Conn) {
		path := "/book/large"
		if i%2 == 0 {
			path = "/plan/1"
		}
		_ = c.(*net.TCPConn).SetReadBuffer(4 << 10)
		_, _ = io.WriteString(c, head(i, path)+"Content-Length: 1\r\n\r\nx")
		if i%4 < 2 {
			time.Sleep(sendTime)
			return
		}
		buffer := make([]byte, 16)
		for {
			if _, err := c.Read(buffer); err != nil {
				return
			}
			time.Sleep(50 * time.Millisecond)
		}
	})
	h.check(t)
}

// TestPipelinedRequests guards against a host that reads requests ahead of those that it serves.
func TestPipelinedRequests(t *testing.T) {
	h := startHost(t)
	h.run(t, 1, func(i int, c net.Conn) {
		request := head(i, "/book/1") + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", 64<<10, strings.Repeat("x", 64<<10))
		for {
			if _, err := io.WriteString(c, request); err != nil {
				return
			}
		}
	})
	h.check(t)
}

// TestHeadsThatStopShort guards against connections that are not counted any more although they are
// still open. On one processor, they are closed later.
func TestHeadsThatStopShort(t *testing.T) {
	h := startHostWith(t, hostOptions{env: []string{"GOMAXPROCS=1"}})
	h.connectWhilePaused(t, h.address, crowd, headThatStopsShort(head(0, "/book/1")))
	h.check(t)
}

// TestSilentConnectionsOnEachListener guards against a listener without a bound of its connections.
func TestSilentConnectionsOnEachListener(t *testing.T) {
	for name, address := range map[string]func(*host) string{
		"callers":   func(h *host) string { return h.address },
		"directory": func(h *host) string { return h.directory },
		"readiness": func(h *host) string { return h.ready },
		"peer":      func(h *host) string { return h.peer },
		"admin":     func(h *host) string { return h.admin },
	} {
		t.Run(name, func(t *testing.T) {
			h := startHost(t)
			run(t, address(h), crowd, silent)
			h.check(t)
		})
	}
}

// TestKinds guards against a host that collects or reads without end what does not belong to a request
// within the limits.
func TestKinds(t *testing.T) {
	for name, behave := range kinds {
		t.Run(name, func(t *testing.T) {
			h := startHost(t)
			h.run(t, crowd, behave(head(0, "/book/1")))
			h.check(t)
		})
	}
}

// TestKindsOnOtherListeners is the same for the listeners on which callers send no requests, with clients
// of all kinds at once.
func TestKindsOnOtherListeners(t *testing.T) {
	for name, listener := range map[string]struct {
		address func(*host) string
		path    string
	}{
		"directory": {func(h *host) string { return h.directory }, wire.PathAddresses},
		"readiness": {func(h *host) string { return h.ready }, wire.PathReadiness},
		"peer":      {func(h *host) string { return h.peer }, stage.PathJobs},
		"admin":     {func(h *host) string { return h.admin }, "/metrics"},
	} {
		t.Run(name, func(t *testing.T) {
			h := startHost(t)
			run(t, listener.address(h), crowd, allKinds(head(0, listener.path)))
			h.check(t)
			checkListener(t, listener.address(h), listener.path)
		})
	}
}

// TestAllListenersAtOnce guards against listeners that keep their own bounds and together use up the
// descriptors, while callers' requests need connections to upstreams.
func TestAllListenersAtOnce(t *testing.T) {
	h := startHost(t)
	var group sync.WaitGroup
	for _, address := range []string{h.directory, h.ready, h.peer, h.admin} {
		group.Go(func() { run(t, address, crowd/4, silent) })
	}
	group.Go(func() { h.run(t, crowd, pipeline(head(0, "/book/1")+"Content-Length: 1\r\n\r\nx")) })
	group.Wait()
	h.check(t)
}

// TestLongMessagesOfPeers guards against messages of other hosts that are not accounted for.
func TestLongMessagesOfPeers(t *testing.T) {
	h := startHost(t)
	run(t, h.peer, crowd, func(_ int, c net.Conn) {
		_, _ = fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n{\"request\":\"%s", head(0, stage.PathJobs), 1<<20, strings.Repeat("x", 1<<20-100))
		time.Sleep(time.Second)
	})
	h.check(t)
}

// TestUnreadPipelines guards against connections on which requests are sent without end and no response
// is read. They hold their places and keep new callers out.
func TestUnreadPipelines(t *testing.T) {
	for _, size := range []int{1, 64 << 10} {
		t.Run(fmt.Sprint("bodies of ", size), func(t *testing.T) {
			h := startHostWith(t, hostOptions{memory: memoryMegabytes / 2, env: []string{"GOMAXPROCS=1"}})
			h.run(t, crowd, pipeline(fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head(0, "/book/1"), size, strings.Repeat("x", size))))
			h.check(t)
		})
	}
}

// TestNewPrompts guards against a host that remembers each prompt that a client makes up.
func TestNewPrompts(t *testing.T) {
	for name, c := range map[string]struct {
		path           string
		parts, idBytes int
	}{
		"many parts, broken responses": {"/break/1", promptParts, 8},
		"long parts, whole responses":  {"/short/1", 2, 6 << 10},
	} {
		t.Run(name, func(t *testing.T) {
			h := startHost(t)
			h.sendPrompts(t, c.path, c.parts, c.idBytes)
			h.check(t)
		})
	}
}

// sendPrompts sends prompts of so many parts, each with an id of so many bytes that no other part has.
func (h *host) sendPrompts(t *testing.T, path string, parts, idBytes int) {
	t.Helper()
	end := time.Now().Add(sendTime)
	h.run(t, promptSenders, func(i int, first net.Conn) {
		_ = first.Close()
		random := rand.New(rand.NewPCG(1, uint64(i)))
		for time.Now().Before(end) {
			c, err := net.DialTimeout("tcp", h.address, sendTime)
			if err != nil {
				return
			}
			_ = c.SetDeadline(end)
			ids := make([]string, parts)
			for j := range ids {
				ids[j] = fmt.Sprintf("%0*x:2", idBytes, random.Uint32())
			}
			_, _ = fmt.Fprintf(c, "%s%s: m\r\n%s: %d,80\r\n%s: %s\r\nConnection: close\r\nContent-Length: 1\r\n\r\nx", head(i, path),
				wire.HeaderModel, wire.HeaderTokenUsage, 2*parts, wire.HeaderPrompt, strings.Join(ids, ","))
			_, _ = io.Copy(io.Discard, c)
			_ = c.Close()
		}
	})
}
