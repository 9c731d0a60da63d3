// Command loft3 plays the cases 11 to 15 of the review: it starts entry hosts with the command of the
// deploy file as separate processes on loopback, with stand-ins for the platform's store, workers and
// clients, and judges what clients and workers see.
package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"redwingloft/internal/data/fleet"
	"redwingloft/internal/data/store"
	"redwingloft/pkg/api"
	wire "redwingloft/platform"
	"redwingloft/standin/platform"
)

const (
	virtualHost = "pule25.example"
	apiKey      = "9dnn2ctnfzs989anu6ws"
	// memoryMb and maxFds are those of a machine of greenhand-tt.
	memoryMb  = 284
	maxFds    = 4100
	startTime = 15 * time.Second
	stopTime  = 10 * time.Second
)

// site is a platform on loopback with entry hosts.
type site struct {
	// program is the entry host's program, template its settings template.
	program, template string
	// document is the operator's document.
	document string
	memoryMb int

	folder        string
	store         *platform.Store
	storeListener net.Listener
	workers       []*platform.Upstream
	hosts         []*host
}

// host is an entry host in a process of its own.
type host struct {
	address, peer, directory, ready, admin string

	name, settings, log string
	program             string

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
}

// handler answers one request at a worker.
type handler = func(w *bufio.Writer, r platform.Request) (keep bool)

// start starts the store and writes the document.
func (s *site) start() error {
	var err error
	if s.folder, err = os.MkdirTemp("", "loft3-"); err != nil {
		return err
	}
	s.store = platform.NewStore()
	if s.storeListener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return err
	}
	go func() { _ = (&http.Server{Handler: s.store, ReadHeaderTimeout: time.Second}).Serve(s.storeListener) }()
	return s.put(wire.KeyDocument, s.document)
}

func (s *site) put(key, value string) error {
	_, err := s.store.Inner.Txn(context.Background(), store.Txn{Puts: []store.Put{{Key: key, Value: []byte(value)}}})
	return err
}

// addWorker starts a worker of a service and registers it.
func (s *site) addWorker(id, service string, slots int, handle handler) (*platform.Upstream, error) {
	u := &platform.Upstream{Handle: handle, Entry: fleet.Upstream{ID: api.UpstreamID(id)}}
	if err := u.Start(); err != nil {
		return nil, err
	}
	s.workers = append(s.workers, u)
	return u, s.register(u, service, slots, "ready")
}

func (s *site) register(u *platform.Upstream, service string, slots int, state string) error {
	return s.put(wire.PrefixUpstream+string(u.Entry.ID), fmt.Sprintf(
		`{"service":%q,"address":%q,"zone":"a","version":"v1","slots":%d,"state":%q,"coldLeftMs":0,"callSeq":1,"born":1}`, service, u.Entry.Address, slots, state))
}

// freeAddresses returns loopback addresses whose ports are free.
func freeAddresses(count int) ([]string, error) {
	var list []string
	for range count {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		list = append(list, l.Addr().String())
	}
	return list, nil
}

// addHost starts an entry host and waits until it is ready.
func (s *site) addHost(name string) (*host, error) {
	template, err := os.ReadFile(s.template)
	if err != nil {
		return nil, err
	}
	addresses, err := freeAddresses(5)
	if err != nil {
		return nil, err
	}
	h := &host{address: addresses[0], peer: addresses[1], directory: addresses[2], ready: addresses[3], admin: addresses[4]}
	if s.memoryMb == 0 {
		s.memoryMb = memoryMb
	}
	var seeds []string
	for _, other := range append(s.hosts, h) {
		seeds = append(seeds, other.peer)
	}
	text := platform.Render(string(template), map[string]string{
		"node": name, "zone": "a", "bounds.graceS": "8", "bounds.configMs": "2000", "bounds.drainMs": "2000", "bounds.revokeMs": "5000",
		"limits.memoryMb": strconv.Itoa(s.memoryMb), "limits.maxFds": strconv.Itoa(maxFds), "listen.front": h.address, "listen.control": h.peer,
		"seeds": strings.Join(seeds[:min(len(seeds), 3)], ","), "ip": "127.0.0.1", "portRange.0": strings.TrimPrefix(h.admin, "127.0.0.1:"),
		"listen.directory": h.directory, "listen.ready": h.ready, "platform.address": s.storeListener.Addr().String(),
		"bounds.retryRatio": "0.2", "bounds.retrySlack": "54", "bounds.retryWindowS": "10",
	})
	h.name, h.program = name, s.program
	h.settings, h.log = filepath.Join(s.folder, name+".ini"), filepath.Join(s.folder, name+".log")
	if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	s.hosts = append(s.hosts, h)
	if err := h.launch(); err != nil {
		return nil, err
	}
	return h, h.awaitReady()
}

// launch starts the process with the command of the deploy file.
func (h *host) launch() error {
	log, err := os.OpenFile(h.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command, exited := exec.Command(h.program, "entry"), make(chan struct{})
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + filepath.Dir(h.settings), "REDWINGLOFT_SETTINGS=" + h.settings}
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return errors.Join(err, log.Close())
	}
	h.mu.Lock()
	h.command, h.exited = command, exited
	h.mu.Unlock()
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(exited)
	}()
	return nil
}

// process returns the present process and the channel that is closed at its end.
func (h *host) process() (*os.Process, <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.command == nil {
		return nil, nil
	}
	return h.command.Process, h.exited
}

func (h *host) awaitReady() error {
	for end := time.Now().Add(startTime); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if h.hasEnded() {
			return errors.New("the entry host ended at its start")
		}
		if h.isReady() {
			return nil
		}
	}
	return errors.New("the entry host does not become ready")
}

// isReady asks the readiness question of the platform.
func (h *host) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + h.ready + wire.PathReadiness)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (h *host) hasEnded() bool {
	process, exited := h.process()
	if process == nil {
		return true
	}
	select {
	case <-exited:
		return true
	default:
		return false
	}
}

// residentMb returns the resident memory of the process in megabytes; 0 if it has ended.
func (h *host) residentMb() float64 {
	process, _ := h.process()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			kilobytes, _ := strconv.ParseFloat(fields[1], 64)
			return kilobytes / 1024
		}
	}
	return 0
}

func (h *host) signal(number syscall.Signal) {
	if process, _ := h.process(); process != nil && !h.hasEnded() {
		_ = process.Signal(number)
	}
}

// kill ends the process and waits until it has ended.
func (h *host) kill() {
	h.signal(syscall.SIGCONT)
	h.signal(syscall.SIGKILL)
	if _, exited := h.process(); exited != nil {
		select {
		case <-exited:
		case <-time.After(stopTime):
		}
	}
}

// close ends all processes that the site started, and its stand-ins.
func (s *site) close() {
	for _, h := range s.hosts {
		h.kill()
	}
	for _, w := range s.workers {
		w.Close()
	}
	if s.storeListener != nil {
		_ = s.storeListener.Close()
	}
	if s.folder != "" {
		_ = os.RemoveAll(s.folder)
	}
}
