// Package site runs a deployment on loopback in separate processes: the stand-ins
// and the entry hosts. Demonstrations, benchmarks and failure tests use it.
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

// startTimeout is how long a process may take to become ready.
const startTimeout = 20 * time.Second

// Options configure a site.
type Options struct {
	// Binaries is the folder of the programs redwingloft and standin.
	Binaries string
	// Document is the configuration. Start replaces its upstream addresses with free loopback addresses.
	Document *document.Document
	// Hosts is the number of entry hosts; 0 means 2.
	Hosts int
	// StandinFlags are extra flags of "standin deployment".
	StandinFlags []string
	// Settings are extra settings lines for every host, by INI section.
	Settings map[string][]string
	// HostSettings returns extra settings lines for one host, by INI section, or nil. They
	// override earlier lines with the same key. HostSettings may be nil.
	HostSettings func(id string) map[string][]string
	// KeyValueOnly starts no upstreams and no host list, and keeps the addresses of the document.
	KeyValueOnly bool
	// Folder is an existing folder for settings and logs.
	Folder string
}

// Host is one entry host process.
type Host struct {
	ID              api.HostID
	DataCentre      api.DataCentre
	CallerAddress   string
	PeerAddress     string
	OperatorAddress string
	AdminAddress    string
	*Process
}

// Site is a deployment that runs on loopback.
type Site struct {
	Options Options
	Hosts   []*Host
	// Upstreams is the process that serves all upstreams and the host list.
	Upstreams *Process
	// KeyValue is the process that serves the key-value service.
	KeyValue        *Process
	KeyValueAddress string
	// ControlAddress and KeyValueControlAddress are the addresses of the control endpoints of both processes.
	ControlAddress         string
	KeyValueControlAddress string
	HostListAddress        string
	ports                  portAllocator
}

// PeerSecret is the peer secret in the settings of all hosts.
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
		if err := assignFreePorts(s.Options.Document, &s.ports); err != nil {
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

// startStandins starts the key-value service and, unless KeyValueOnly is set, the upstreams.
func (s *Site) startStandins() error {
	addresses, err := s.ports.allocate(4)
	if err != nil {
		return err
	}
	s.KeyValueAddress, s.KeyValueControlAddress, s.ControlAddress, s.HostListAddress = addresses[0], addresses[1], addresses[2], addresses[3]
	encoded, err := s.Options.Document.Encode()
	if err != nil {
		return err
	}
	if err := os.WriteFile(s.filePath("document.json"), encoded, 0o600); err != nil {
		return err
	}
	if err := s.startKeyValue(); err != nil || s.Options.KeyValueOnly {
		return err
	}
	flags := append([]string{"deployment", "--document", s.filePath("document.json"), "--control", s.ControlAddress, "--host-list", s.HostListAddress}, s.Options.StandinFlags...)
	if s.Upstreams, err = s.startProcess("upstreams", "standin", flags...); err != nil {
		return err
	}
	return WaitListening(s.ControlAddress, startTimeout)
}

// startKeyValue starts an empty key-value service and waits until it listens.
func (s *Site) startKeyValue() (err error) {
	s.KeyValue, err = s.startProcess("key_value", "standin", "key-value", "--listen", s.KeyValueAddress, "--control", s.KeyValueControlAddress)
	if err != nil {
		return err
	}
	for _, address := range []string{s.KeyValueAddress, s.KeyValueControlAddress} {
		if err := WaitListening(address, startTimeout); err != nil {
			return err
		}
	}
	return nil
}

// RestartKeyValue kills the key-value service and starts it again, empty.
func (s *Site) RestartKeyValue() error {
	if err := s.KeyValue.Kill(); err != nil {
		return err
	}
	return s.startKeyValue()
}

// assignFreePorts sets the address of every upstream of a document to a free port.
func assignFreePorts(doc *document.Document, allocator *portAllocator) error {
	count := 0
	for _, group := range doc.Groups {
		count += len(group.Upstreams)
	}
	addresses, err := allocator.allocate(count)
	if err != nil {
		return err
	}
	for i := range doc.Groups {
		for j := range doc.Groups[i].Upstreams {
			doc.Groups[i].Upstreams[j].Address = api.Address(addresses[0])
			addresses = addresses[1:]
		}
	}
	return nil
}

func (s *Site) filePath(name string) string { return filepath.Join(s.Options.Folder, name) }

// AddHost starts another entry host without waiting until it is ready.
func (s *Site) AddHost(id string) (*Host, error) {
	addresses, err := s.ports.allocate(4)
	if err != nil {
		return nil, err
	}
	dataCentres := s.Options.Document.DataCentres()
	host := &Host{
		ID: api.HostID(id), DataCentre: dataCentres[len(s.Hosts)%len(dataCentres)],
		CallerAddress: addresses[0], PeerAddress: addresses[1], OperatorAddress: addresses[2], AdminAddress: addresses[3],
	}
	if err := os.WriteFile(s.filePath(id+".ini"), []byte(s.renderSettings(host)), 0o600); err != nil {
		return nil, err
	}
	host.Process, err = s.startProcess(id, "redwingloft", "serve", "--settings", s.filePath(id+".ini"))
	if err != nil {
		return nil, err
	}
	s.Hosts = append(s.Hosts, host)
	return host, nil
}

func (s *Site) renderSettings(host *Host) string {
	var seeds []string
	for _, other := range s.Hosts {
		seeds = append(seeds, other.PeerAddress)
	}
	sections := []struct {
		name  string
		lines []string
	}{
		{"host", []string{"id = " + string(host.ID), "data_centre = " + string(host.DataCentre)}},
		{"caller", []string{"listen = " + host.CallerAddress}},
		{"peer", []string{"listen = " + host.PeerAddress, "secret = " + PeerSecret, "seeds = " + strings.Join(seeds, ",")}},
		{"operator", []string{"listen = " + host.OperatorAddress}},
		{"admin", []string{"listen = " + host.AdminAddress}},
		{"store", []string{"kind = etcd", "endpoints = http://" + s.KeyValueAddress, "prefix = " + s.Options.Document.Deployment + "/"}},
		{"host_list", s.hostListSettings()},
		{"document", []string{"path = " + s.filePath("document.json")}},
		{"log", nil},
		{"trace", nil},
	}
	var hostLines map[string][]string
	if s.Options.HostSettings != nil {
		hostLines = s.Options.HostSettings(string(host.ID))
	}
	var text strings.Builder
	for _, section := range sections {
		lines := slices.Concat(section.lines, s.Options.Settings[section.name], hostLines[section.name])
		fmt.Fprintf(&text, "[%s]\n%s\n", section.name, strings.Join(lines, "\n"))
	}
	return text.String()
}

func (s *Site) hostListSettings() []string {
	if s.Options.KeyValueOnly {
		return nil
	}
	return []string{"kind = http_sd", "url = http://" + s.HostListAddress + "/targets", "period = 500ms"}
}

func (s *Site) startProcess(name, program string, args ...string) (*Process, error) {
	logFile, err := os.Create(s.filePath(name + ".log"))
	if err != nil {
		return nil, err
	}
	command := exec.Command(filepath.Join(s.Options.Binaries, program), args...)
	command.Stdout, command.Stderr = logFile, logFile
	// The kernel kills the child when its parent exits, so that an aborted test leaves no processes.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return nil, errors.Join(err, logFile.Close())
	}
	process := &Process{Name: name, Log: s.filePath(name + ".log"), command: command, done: make(chan struct{})}
	go process.wait(logFile)
	return process, nil
}

// Stop kills all running processes of the site.
func (s *Site) Stop() error {
	var errs []error
	for _, host := range s.Hosts {
		errs = append(errs, host.Kill())
	}
	for _, process := range []*Process{s.Upstreams, s.KeyValue} {
		if process != nil {
			errs = append(errs, process.Kill())
		}
	}
	return errors.Join(errs...)
}

// Process is a child process.
type Process struct {
	Name string
	// Log is the path of the file with its stdout and stderr.
	Log     string
	command *exec.Cmd
	done    chan struct{}
	err     error
}

func (p *Process) wait(logFile io.Closer) {
	p.err = p.command.Wait()
	_ = logFile.Close()
	close(p.done)
}

// Signal sends a signal to the process.
func (p *Process) Signal(signal syscall.Signal) error { return p.command.Process.Signal(signal) }

// Kill kills the process and waits for its exit. Returns nil if it has already exited.
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

// PID returns the process ID.
func (p *Process) PID() int { return p.command.Process.Pid }

// Wait waits for the process to exit and returns the error of its exit status.
func (p *Process) Wait(timeout time.Duration) error {
	select {
	case <-p.done:
		return p.err
	case <-time.After(timeout):
		return fmt.Errorf("process %s is still running after %s", p.Name, timeout)
	}
}

// WaitReady waits until the readiness check of the host succeeds.
func (h *Host) WaitReady(timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for time.Now().Before(deadline) {
		if h.ready() {
			return nil
		}
		select {
		case <-h.done:
			return fmt.Errorf("host %s exited before it was ready; see %s", h.ID, h.Log)
		case <-time.After(20 * time.Millisecond):
		}
	}
	return fmt.Errorf("host %s is not ready after %s; see %s", h.ID, timeout, h.Log)
}

func (h *Host) ready() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.AdminAddress+"/readyz", nil)
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

// The ports of sites are below the kernel's ephemeral port range. A port within that range
// could be taken by an outgoing connection between its allocation and the start of its listener.
// endPort is the first port that is not used.
const (
	firstPort = 12_000
	endPort   = 32_000
)

// portAllocator allocates loopback addresses, each once. The zero value starts at a random
// port, so that sites that run in parallel rarely try the same ports.
type portAllocator struct {
	// nextPort is the next port to try; 0 before the first allocation.
	nextPort int
}

// allocate returns n loopback addresses without a listener.
func (p *portAllocator) allocate(n int) ([]string, error) {
	if p.nextPort == 0 {
		p.nextPort = firstPort + rand.IntN(endPort-firstPort)
	}
	var addresses []string
	for range endPort - firstPort {
		if len(addresses) == n {
			return addresses, nil
		}
		address := fmt.Sprintf("127.0.0.1:%d", p.nextPort)
		if p.nextPort++; p.nextPort == endPort {
			p.nextPort = firstPort
		}
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = listener.Close()
		addresses = append(addresses, address)
	}
	return nil, errors.New("no free port left")
}

// FreeAddresses returns n loopback addresses without a listener.
func FreeAddresses(n int) ([]string, error) { return (&portAllocator{}).allocate(n) }

// WaitListening waits until a connection to address can be established.
func WaitListening(address string, timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for {
		connection, err := net.DialTimeout("tcp", address, time.Second)
		if err == nil {
			return connection.Close()
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("no listener at %s after %s: %w", address, timeout, err)
		}
		time.Sleep(10 * time.Millisecond)
	}
}
