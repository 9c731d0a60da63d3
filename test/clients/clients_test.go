// Package clients tests hosts, in processes of their own, against groups of clients that send and read
// as they should not. The tests bound memory and descriptors, and so run one at a time and apart from
// other packages.
package clients

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
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
)

const (
	// memoryMegabytes is the memory limit in the settings of a host, and the bound of its resident memory
	// with the bytes that it has received and not read.
	memoryMegabytes = 128
	// maxDescriptors is the descriptor limit in the settings of a host, and the bound of its open
	// descriptors.
	maxDescriptors = 256
	// maxBodyBytes is the limit of the documents.
	maxBodyBytes = 4 << 20
	// senders is the number of clients that send bodies or read responses: their bodies of
	// maxBodyBytes have twice the memory of the host.
	senders = 2 * memoryMegabytes / 4
	// connectors is the number of clients that only hold connections, more than the descriptors.
	connectors = 400
	// crowd is the number of clients that hold connections on all listeners of a host.
	crowd = 600
	// sendTime bounds the time in which a client sends, so that a test ends if the host reads nothing, and
	// floodTime that of clients that never stop.
	sendTime  = 8 * time.Second
	floodTime = 3 * time.Second
	// pauseTime bounds the time for which a host is stopped.
	pauseTime = 2 * time.Second
	// answerTime bounds the wait for the response to the ordinary request.
	answerTime = 30 * time.Second
	// memoryInterval and descriptorInterval are the intervals at which the memory and the number of descriptors
	// of a host are read.
	memoryInterval     = 20 * time.Millisecond
	descriptorInterval = time.Millisecond
)

// binaries is the folder of the programs under test. They are built without the race detector, which
// multiplies the memory of a process.
var binaries string

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "redwingloft-clients")
	if err != nil {
		panic(err)
	}
	binaries = folder
	build := exec.Command("go", "build", "-o", folder, "redwingloft", "redwingloft/standin")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "failed to build the programs:", err)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(folder)
	os.Exit(code)
}

// process is a host under test.
type process struct {
	pid int
	// exited is closed when the process has ended.
	exited <-chan struct{}
	// memoryLimit is in megabytes.
	memoryLimit float64
	// listeners are the addresses on which the process accepts connections.
	listeners []string
	// ordinary returns a small request that has to be served, and isWhole reports whether the body of a response is
	// complete.
	ordinary func() (*http.Request, error)
	isWhole  func(body []byte) bool

	mu sync.Mutex
	// descriptors is the largest number of open descriptors that was seen.
	descriptors int
	// memory is the largest sum in megabytes of the resident memory and of the bytes that were received and
	// not read, and unread are those bytes at that time.
	memory, unread float64
}

// watch records the memory and descriptors of the process until it ends.
func (p *process) watch() {
	go p.watchDescriptors()
	for {
		entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.pid))
		unread := p.unreadMegabytes(entries)
		if resident, err := p.megabytes("VmRSS"); err == nil {
			p.mu.Lock()
			if resident+unread > p.memory {
				p.memory, p.unread = resident+unread, unread
			}
			p.mu.Unlock()
		}
		select {
		case <-p.exited:
			return
		case <-time.After(memoryInterval):
		}
	}
}

func (p *process) watchDescriptors() {
	for {
		entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.pid))
		p.mu.Lock()
		p.descriptors = max(p.descriptors, len(entries))
		p.mu.Unlock()
		select {
		case <-p.exited:
			return
		case <-time.After(descriptorInterval):
		}
	}
}

// unreadMegabytes returns the size of what the kernel has received for the process: on its sockets and
// on connections that it has not accepted yet.
func (p *process) unreadMegabytes(descriptors []os.DirEntry) float64 {
	sockets := map[string]bool{}
	for _, entry := range descriptors {
		target, _ := os.Readlink(fmt.Sprintf("/proc/%d/fd/%s", p.pid, entry.Name()))
		if inode, found := strings.CutPrefix(target, "socket:["); found {
			sockets[strings.TrimSuffix(inode, "]")] = true
		}
	}
	accepting := map[string]bool{}
	for _, address := range p.listeners {
		_, port, _ := net.SplitHostPort(address)
		number, _ := strconv.Atoi(port)
		accepting[fmt.Sprintf("%04X", number)] = true
	}
	total := int64(0)
	for _, table := range []string{"/proc/net/tcp", "/proc/net/tcp6"} {
		data, _ := os.ReadFile(table)
		for _, line := range strings.Split(string(data), "\n") {
			const local, state, queues, inode, listening = 1, 3, 4, 9, "0A"
			fields := strings.Fields(line)
			if len(fields) <= inode || fields[state] == listening {
				continue
			}
			_, port, _ := strings.Cut(fields[local], ":")
			if !sockets[fields[inode]] && !(fields[inode] == "0" && accepting[port]) {
				continue
			}
			_, received, _ := strings.Cut(fields[queues], ":")
			size, _ := strconv.ParseInt(received, 16, 64)
			total += size
		}
	}
	return float64(total) / (1 << 20)
}

// megabytes returns a field of the status of the process, in megabytes.
func (p *process) megabytes(field string) (float64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.pid))
	if err != nil {
		return 0, err
	}
	for _, line := range strings.Split(string(data), "\n") {
		if text, found := strings.CutPrefix(line, field+":"); found {
			kilobytes, err := strconv.Atoi(strings.Fields(text)[0])
			return float64(kilobytes) / 1024, err
		}
	}
	return 0, fmt.Errorf("the status has no field %s", field)
}

// check checks that the process lives, that it has stayed within its bounds, and that it serves an
// ordinary request.
func (p *process) check(t *testing.T) {
	t.Helper()
	select {
	case <-p.exited:
		t.Fatal("the host has ended")
	default:
	}
	status, err := p.sendOrdinary()
	peak, peakErr := p.megabytes("VmHWM")
	now, nowErr := p.megabytes("VmRSS")
	p.mu.Lock()
	defer p.mu.Unlock()
	t.Logf("memory: %.0f MB resident at its peak, %.0f MB now, %.0f MB with %.1f MB unread (bound %g); descriptors: %d (bound %d); ordinary request: %d, %v",
		peak, now, p.memory, p.unread, p.memoryLimit, p.descriptors, maxDescriptors, status, err)
	assert.Check(t, peakErr)
	assert.Check(t, nowErr)
	assert.Check(t, err)
	assert.Check(t, status == http.StatusOK, "the ordinary request got status %d", status)
	assert.Check(t, max(peak, p.memory) <= p.memoryLimit, "%.0f MB", max(peak, p.memory))
	assert.Check(t, p.descriptors <= maxDescriptors, "%d descriptors", p.descriptors)
}

// sendOrdinary sends a small request and returns the status of the response.
func (p *process) sendOrdinary() (int, error) {
	request, err := p.ordinary()
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), answerTime)
	defer cancel()
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(request.WithContext(ctx))
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode == http.StatusOK && !p.isWhole(body) {
		err = errors.New("the body of the response is incomplete")
	}
	return response.StatusCode, err
}

// connectWhilePaused runs a group of clients that connect while the process is stopped, as when its machine
// freezes, so that it accepts all their connections at once. The process goes on after pauseTime at the latest,
// since the kernel may let fewer connections wait.
func (p *process) connectWhilePaused(t *testing.T, address string, size int, behave client) {
	t.Helper()
	assert.NilError(t, syscall.Kill(p.pid, syscall.SIGSTOP))
	connected, resumed := make(chan struct{}, size), make(chan struct{})
	go func() {
		defer close(resumed)
		timeout := time.After(pauseTime)
		for waiting := size; waiting > 0; waiting-- {
			select {
			case <-connected:
			case <-timeout:
				waiting = 0
			}
		}
		_ = syscall.Kill(p.pid, syscall.SIGCONT)
	}()
	run(t, address, size, func(i int, c net.Conn) {
		connected <- struct{}{}
		<-resumed
		behave(i, c)
	})
}

// checkListener checks that a listener on which callers send no requests still responds.
func checkListener(t *testing.T, address, path string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), answerTime)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	assert.NilError(t, err)
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(request)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	assert.Check(t, response.StatusCode < http.StatusInternalServerError, "status %d", response.StatusCode)
}

// client is the behaviour of one client of a group on its connection.
type client func(index int, c net.Conn)

// run runs a group of clients at once on an address. Their connections stay open until the end of the
// test. It returns when all have ended, also if the host refused them.
func run(t *testing.T, address string, size int, behave client) {
	t.Helper()
	var group sync.WaitGroup
	conns := make([]net.Conn, size)
	t.Cleanup(func() {
		for _, c := range conns {
			if c != nil {
				_ = c.Close()
			}
		}
	})
	for i := range size {
		group.Go(func() {
			c, err := net.DialTimeout("tcp", address, sendTime)
			if err != nil {
				return
			}
			conns[i] = c
			_ = c.SetDeadline(time.Now().Add(sendTime))
			behave(i, c)
		})
	}
	group.Wait()
}

// printLog prints the end of the log of a process.
func printLog(t *testing.T, path string) {
	data, _ := os.ReadFile(path)
	lines := strings.Split(string(data), "\n")
	t.Logf("end of the log:\n%s", strings.Join(lines[max(0, len(lines)-10):], "\n"))
}

// program returns the path of a program under test.
func program(name string) string { return filepath.Join(binaries, name) }
