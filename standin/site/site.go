// Package site runs a whole deployment on loopback in separate processes: the
// stand-ins and the entry hosts. Demonstrations, benchmarks and failure tests use it.
package site

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"redwingloft/internal/data/document"
	"redwingloft/pkg/api"
)

// startTimeout bounds the wait for a process to become ready.
const startTimeout = 20 * time.Second

// Options describe a site.
type Options struct {
	// Binaries is the folder of the programs redwingloft and standin.
	Binaries string
	// Document is the configuration. Its upstream addresses are replaced by free ports.
	Document *document.Document
	// Hosts is the number of entry hosts; 0 means 2.
	Hosts int
	// StandinFlags are passed to "standin deployment".
	StandinFlags []string
	// Settings are extra lines by INI section for every host.
	Settings map[string][]string
	// HostSettings returns further lines by INI section for one host, or nil. Of a
	// key that appears twice the last line counts. It may be nil.
	HostSettings func(id string) map[string][]string
	// KeyValueOnly starts no upstreams, and keeps the addresses of the document.
	KeyValueOnly bool
	// Folder takes settings and logs; it must exist.
	Folder string
}

// Host is one entry host process.
type Host struct {
	ID         api.HostID
	DataCentre api.DataCentre
	Caller     string
	Peer       string
	Operator   string
	Admin      string
	*Process
}

// Site is a running deployment.
type Site struct {
	Options Options
	Hosts   []*Host
	// Upstreams is the process of all upstreams and the host list.
	Upstreams *Process
	// KeyValue is the process of the key-value service.
	KeyValue        *Process
	KeyValueAddress string
	// Control and KeyValueControl are the addresses of the stand-ins' control endpoints.
	Control         string
	KeyValueControl string
	HostList        string
	ports           ports
}

// PeerSecret is the peer secret of every site.
const PeerSecret = "loopback-only-peer-secret-0123456789"

// Start starts the stand-ins and the hosts, and waits until all are ready.
func Start(options Options) (*Site, error) {
	if options.Hosts == 0 {
		options.Hosts = 2
	}
	s := &Site{Options: options}
	if err := s.start(); err != nil {
		return nil, errors.Join(err, s.Stop())
	}
	return s, nil
}

func (s *Site) start() error {
	if !s.Options.KeyValueOnly {
		if err := relocate(s.Options.Document, &s.ports); err != nil {
			return err
		}
	}
	if err := s.startStandins(); err != nil {
		return err
	}
	for i := range s.Options.Hosts {
		if _, err := s.AddHost(fmt.Sprintf("host-%d", i+1)); err != nil {
			return err
		}
	}
	for _, host := range s.Hosts {
		if err := host.WaitReady(startTimeout); err != nil {
			return err
		}
	}
	return nil
}

// startStandins starts the key-value service and, unless it is to run alone, the upstreams.
func (s *Site) startStandins() error {
	addresses, err := s.ports.free(4)
	if err != nil {
		return err
	}
	s.KeyValueAddress, s.KeyValueControl, s.Control, s.HostList = addresses[0], addresses[1], addresses[2], addresses[3]
	encoded, err := s.Options.Document.Encode()
	if err != nil {
		return err
	}
	if err := os.WriteFile(s.path("document.json"), encoded, 0o600); err != nil {
		return err
	}
	if err := s.startKeyValue(); err != nil || s.Options.KeyValueOnly {
		return err
	}
	flags := append([]string{"deployment", "--document", s.path("document.json"), "--control", s.Control, "--host-list", s.HostList}, s.Options.StandinFlags...)
	if s.Upstreams, err = s.run("upstreams", "standin", flags...); err != nil {
		return err
	}
	return WaitDial(s.Control, startTimeout)
}

// startKeyValue starts an empty key-value service and waits until it listens.
func (s *Site) startKeyValue() (err error) {
	s.KeyValue, err = s.run("key_value", "standin", "key-value", "--listen", s.KeyValueAddress, "--control", s.KeyValueControl)
	if err != nil {
		return err
	}
	for _, address := range []string{s.KeyValueAddress, s.KeyValueControl} {
		if err := WaitDial(address, startTimeout); err != nil {
			return err
		}
	}
	return nil
}

// RestartKeyValue kills the key-value service and starts it again without data.
func (s *Site) RestartKeyValue() error {
	if err := s.KeyValue.Kill(); err != nil {
		return err
	}
	return s.startKeyValue()
}

// relocate gives every upstream of a document a free port.
func relocate(doc *document.Document, ports *ports) error {
	count := 0
	for _, group := range doc.Groups {
		count += len(group.Upstreams)
	}
	free, err := ports.free(count)
	if err != nil {
		return err
	}
	for i := range doc.Groups {
		for j := range doc.Groups[i].Upstreams {
			doc.Groups[i].Upstreams[j].Address = api.Address(free[0])
			free = free[1:]
		}
	}
	return nil
}

func (s *Site) path(name string) string { return filepath.Join(s.Options.Folder, name) }

// AddHost starts one more entry host. It does not wait until the host is ready.
func (s *Site) AddHost(id string) (*Host, error) {
	free, err := s.ports.free(4)
	if err != nil {
		return nil, err
	}
	centres := s.Options.Document.DataCentres()
	host := &Host{
		ID: api.HostID(id), DataCentre: centres[len(s.Hosts)%len(centres)],
		Caller: free[0], Peer: free[1], Operator: free[2], Admin: free[3],
	}
	if err := os.WriteFile(s.path(id+".ini"), []byte(s.settings(host)), 0o600); err != nil {
		return nil, err
	}
	host.Process, err = s.run(id, "redwingloft", "serve", "--settings", s.path(id+".ini"))
	if err != nil {
		return nil, err
	}
	s.Hosts = append(s.Hosts, host)
	return host, nil
}

func (s *Site) settings(host *Host) string {
	var seeds []string
	for _, other := range s.Hosts {
		seeds = append(seeds, other.Peer)
	}
	sections := []struct {
		name  string
		lines []string
	}{
		{"host", []string{"id = " + string(host.ID), "data_centre = " + string(host.DataCentre)}},
		{"caller", []string{"listen = " + host.Caller}},
		{"peer", []string{"listen = " + host.Peer, "secret = " + PeerSecret, "seeds = " + strings.Join(seeds, ",")}},
		{"operator", []string{"listen = " + host.Operator}},
		{"admin", []string{"listen = " + host.Admin}},
		{"store", []string{"kind = etcd", "endpoints = http://" + s.KeyValueAddress, "prefix = " + s.Options.Document.Deployment + "/"}},
		{"host_list", s.hostListSettings()},
		{"document", []string{"path = " + s.path("document.json")}},
		{"log", nil},
		{"trace", nil},
	}
	var own map[string][]string
	if s.Options.HostSettings != nil {
		own = s.Options.HostSettings(string(host.ID))
	}
	var text strings.Builder
	for _, section := range sections {
		lines := slices.Concat(section.lines, s.Options.Settings[section.name], own[section.name])
		fmt.Fprintf(&text, "[%s]\n%s\n", section.name, strings.Join(lines, "\n"))
	}
	return text.String()
}

func (s *Site) hostListSettings() []string {
	if s.Options.KeyValueOnly {
		return nil
	}
	return []string{"kind = http_sd", "url = http://" + s.HostList + "/targets", "period = 500ms"}
}

func (s *Site) run(name, program string, args ...string) (*Process, error) {
	out, err := os.Create(s.path(name + ".log"))
	if err != nil {
		return nil, err
	}
	command := exec.Command(filepath.Join(s.Options.Binaries, program), args...)
	command.Stdout, command.Stderr = out, out
	// The child ends with its parent, so that an aborted test leaves nothing behind.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return nil, errors.Join(err, out.Close())
	}
	process := &Process{Name: name, Log: s.path(name + ".log"), command: command, done: make(chan struct{})}
	go process.wait(out)
	return process, nil
}

// Stop kills every process of the site that still runs.
func (s *Site) Stop() error {
	var all []error
	for _, host := range s.Hosts {
		all = append(all, host.Kill())
	}
	for _, process := range []*Process{s.Upstreams, s.KeyValue} {
		if process != nil {
			all = append(all, process.Kill())
		}
	}
	return errors.Join(all...)
}

// Process is one child process.
type Process struct {
	Name string
	// Log is the path of its output.
	Log     string
	command *exec.Cmd
	done    chan struct{}
	err     error
}

func (p *Process) wait(out io.Closer) {
	p.err = p.command.Wait()
	_ = out.Close()
	close(p.done)
}

// Signal sends a signal.
func (p *Process) Signal(signal syscall.Signal) error { return p.command.Process.Signal(signal) }

// Kill ends the process at once and waits for its end. It is no error where the process has ended.
func (p *Process) Kill() error {
	select {
	case <-p.done:
		return nil
	default:
	}
	err := p.command.Process.Kill()
	<-p.done
	return err
}

// PID returns the process id.
func (p *Process) PID() int { return p.command.Process.Pid }

// Wait waits for the process to end by itself and returns its error.
func (p *Process) Wait(timeout time.Duration) error {
	select {
	case <-p.done:
		return p.err
	case <-time.After(timeout):
		return fmt.Errorf("process %s still runs after %s", p.Name, timeout)
	}
}

// WaitReady waits until the host reports itself ready.
func (h *Host) WaitReady(timeout time.Duration) error {
	end := time.Now().Add(timeout)
	for time.Now().Before(end) {
		if h.ready() {
			return nil
		}
		select {
		case <-h.done:
			return fmt.Errorf("host %s ended at start; see %s", h.ID, h.Log)
		case <-time.After(20 * time.Millisecond):
		}
	}
	return fmt.Errorf("host %s is not ready after %s; see %s", h.ID, timeout, h.Log)
}

func (h *Host) ready() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.Admin+"/readyz", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// The ports of sites lie below the range from which the kernel takes the ports of
// outgoing connections. A port from within that range can be taken by such a
// connection between its choice and the start of its listener.
const (
	firstPort = 12_000
	lastPort  = 32_000
)

// ports hands out addresses, each once. The zero value starts at a random port, so
// that sites that run side by side rarely try the same ports.
type ports struct {
	// next is the next port to try; 0 before the first.
	next int
}

// free returns n loopback addresses that no listener uses now.
func (p *ports) free(n int) ([]string, error) {
	if p.next == 0 {
		p.next = firstPort + rand.IntN(lastPort-firstPort)
	}
	var addresses []string
	for range lastPort - firstPort {
		if len(addresses) == n {
			return addresses, nil
		}
		address := fmt.Sprintf("127.0.0.1:%d", p.next)
		if p.next++; p.next == lastPort {
			p.next = firstPort
		}
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = listener.Close()
		addresses = append(addresses, address)
	}
	return nil, errors.New("no free port is left")
}

// FreeAddresses returns n loopback addresses that no listener uses now.
func FreeAddresses(n int) ([]string, error) { return (&ports{}).free(n) }

// WaitDial waits until a listener accepts connections at address.
func WaitDial(address string, timeout time.Duration) error {
	end := time.Now().Add(timeout)
	for {
		connection, err := net.DialTimeout("tcp", address, time.Second)
		if err == nil {
			return connection.Close()
		}
		if time.Now().After(end) {
			return fmt.Errorf("nothing listens at %s after %s: %w", address, timeout, err)
		}
		time.Sleep(10 * time.Millisecond)
	}
}
