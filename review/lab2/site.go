package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// entryHost is a process of the program under test.
type entryHost struct {
	name                        string
	front, control, list, ready string
	// admin is the port of the host's own interface.
	admin    string
	settings string
	command  *exec.Cmd
	log      *os.File
}

// site is a small deployment: a store, workers and entry hosts on loopback addresses.
type site struct {
	folder string
	store  *kvStore
	hosts  []*entryHost
	// values are those of the settings that all hosts share.
	values map[string]string
}

// newSite returns a site without hosts. Its bounds are those of the sheet of greenhand-tt.
func newSite() (*site, error) {
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	store, err := newStore()
	if err != nil {
		return nil, err
	}
	return &site{folder: folder, store: store, values: map[string]string{
		"zone": "tt-south-a", "ip": "127.0.0.1", "bounds.graceS": "8", "bounds.configMs": "2000", "bounds.drainMs": "2000",
		"bounds.revokeMs": "5000", "bounds.retryRatio": "0.2", "bounds.retrySlack": "54", "bounds.retryWindowS": "10",
		"limits.memoryMb": "284", "limits.maxFds": "4100", "platform.address": store.address,
	}}, nil
}

// Ports of hosts are below those that the system gives to outgoing channels.
const (
	firstPort = 20_000
	portCount = 10_000
	portTries = 100
)

// freeAddress returns a loopback address whose port is free.
func freeAddress() (string, error) {
	var err error
	for range portTries {
		var listener net.Listener
		if listener, err = net.Listen("tcp", fmt.Sprint("127.0.0.1:", firstPort+rand.IntN(portCount))); err == nil {
			defer listener.Close()
			return listener.Addr().String(), nil
		}
	}
	return "", err
}

// addHost prepares an entry host and writes its settings.
func (s *site) addHost(name string) (*entryHost, error) {
	h := &entryHost{name: name, settings: filepath.Join(s.folder, name+".ini")}
	var admin string
	for _, address := range []*string{&h.front, &h.control, &h.list, &h.ready, &admin} {
		var err error
		if *address, err = freeAddress(); err != nil {
			return nil, err
		}
	}
	h.admin = strings.TrimPrefix(admin, "127.0.0.1:")
	s.hosts = append(s.hosts, h)
	return h, s.writeSettings(h)
}

// writeSettings writes the settings of a host. Its seeds are the hosts that have been added so far.
func (s *site) writeSettings(h *entryHost) error {
	var seeds []string
	for _, other := range s.hosts {
		seeds = append(seeds, other.control)
	}
	values := map[string]string{
		"node": h.name, "listen.front": h.front, "listen.control": h.control, "listen.directory": h.list, "listen.ready": h.ready,
		"portRange.0": h.admin, "seeds": strings.Join(seeds[:min(len(seeds), maxSeeds)], ","),
	}
	for key, value := range s.values {
		values[key] = value
	}
	template, err := os.ReadFile("deploy/entry.ini")
	if err != nil {
		return err
	}
	return os.WriteFile(h.settings, []byte(render(string(template), values)), 0o600)
}

// maxSeeds is the number of seeds that the platform names at most.
const maxSeeds = 3

var section = regexp.MustCompile(`(?s)\{\{#([a-zA-Z.]+)\}\}(.*?)\{\{/[a-zA-Z.]+\}\}`)

// render fills in a template as the platform does.
func render(template string, values map[string]string) string {
	template = section.ReplaceAllStringFunc(template, func(text string) string {
		parts := section.FindStringSubmatch(text)
		value, found := values[parts[1]]
		if !found {
			return ""
		}
		return strings.ReplaceAll(parts[2], "{{.}}", value)
	})
	for key, value := range values {
		template = strings.ReplaceAll(template, "{{"+key+"}}", value)
	}
	return template
}

// program is the program that the deploy file builds and runs.
const program = "target/redwingloft"

// start starts the process of a host and waits until it is ready.
func (h *entryHost) start() error {
	h.command = exec.Command(program, "entry")
	h.command.Env = []string{"REDWINGLOFT_SETTINGS=" + h.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	var err error
	if h.log, err = os.OpenFile(h.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
		return err
	}
	h.command.Stdout, h.command.Stderr = h.log, h.log
	// The process ends with this one, however that ends.
	h.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := h.command.Start(); err != nil {
		h.command = nil
		return err
	}
	return h.awaitReady()
}

// startTime is how long a host may take to become ready.
const startTime = 10 * time.Second

func (h *entryHost) awaitReady() error {
	for end := time.Now().Add(startTime); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		response, err := http.Get("http://" + h.ready + "/-/readiness")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("host %s is not ready after %s", h.name, startTime)
}

func (h *entryHost) signal(sig syscall.Signal) error { return h.command.Process.Signal(sig) }

// addWorker starts a worker and registers it.
func (s *site) addWorker(w *worker, slots int) error {
	if err := w.start(); err != nil {
		return err
	}
	s.store.put("servers/"+w.id, w.entry("ready", time.Now(), slots))
	return nil
}

// startHosts adds entry hosts and starts them.
func (s *site) startHosts(names ...string) error {
	for _, name := range names {
		if _, err := s.addHost(name); err != nil {
			return err
		}
	}
	for _, h := range s.hosts {
		if err := h.start(); err != nil {
			return err
		}
	}
	return nil
}

// close ends the processes that the site has started and removes its folder.
func (s *site) close() {
	for _, h := range s.hosts {
		if h.command != nil {
			_ = h.command.Process.Kill()
			_ = h.command.Wait()
		}
		if h.log != nil {
			_ = h.log.Close()
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.folder)
	} else {
		fmt.Println("kept:", s.folder)
	}
}
