package lab

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// MemoryMegabytes is the memory of a machine on the small sites.
const MemoryMegabytes = 284

// Host is an entry host, a process of its own.
type Host struct {
	Name string
	// Front, Ready, Directory and Control are its addresses.
	Front, Ready, Directory, Control string

	command *exec.Cmd
	ended   chan struct{}
}

const (
	// firstPort and ports bound the ports of entry hosts. They lie below those that the system gives to
	// outgoing channels, which could take them between the check and the start.
	firstPort, ports = 18_000, 14_000
	portTries        = 1_000
)

// freeAddresses returns unused loopback addresses.
func freeAddresses(count int) ([]string, error) {
	var addresses []string
	for range portTries {
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(ports)))
		if err != nil {
			continue
		}
		defer listener.Close()
		if addresses = append(addresses, listener.Addr().String()); len(addresses) == count {
			return addresses, nil
		}
	}
	return nil, errors.New("no free ports")
}

var (
	section     = regexp.MustCompile(`(?s)\{\{#([a-zA-Z.]+)\}\}(.*?)\{\{/[a-zA-Z.]+\}\}`)
	placeholder = regexp.MustCompile(`\{\{([a-zA-Z0-9.]+)\}\}`)
)

// render fills the settings template in as the platform does.
func render(template string, values map[string]string) string {
	template = section.ReplaceAllStringFunc(template, func(text string) string {
		parts := section.FindStringSubmatch(text)
		value, present := values[parts[1]]
		if !present {
			return ""
		}
		return strings.ReplaceAll(parts[2], "{{.}}", value)
	})
	return placeholder.ReplaceAllStringFunc(template, func(text string) string { return values[text[2:len(text)-2]] })
}

// StartHosts starts entry hosts with the command of the deploy file in the folder root, with the
// bounds of the small sites, and waits until they are ready. storeAddresses holds the address of the
// store for each host.
func StartHosts(root, folder string, storeAddresses []string) ([]*Host, error) {
	template, err := os.ReadFile(filepath.Join(root, "deploy/entry.ini"))
	if err != nil {
		return nil, err
	}
	var hosts []*Host
	var admins, seeds []string
	const perHost = 5
	all, err := freeAddresses(perHost * len(storeAddresses))
	if err != nil {
		return nil, err
	}
	for i := range storeAddresses {
		free := all[perHost*i:]
		hosts = append(hosts, &Host{Name: fmt.Sprintf("frontend-%d", i+1), Front: free[0], Ready: free[1], Directory: free[2], Control: free[3]})
		admins, seeds = append(admins, free[4]), append(seeds, free[3])
	}
	for i, h := range hosts {
		_, adminPort, _ := net.SplitHostPort(admins[i])
		settings := render(string(template), map[string]string{
			"node": h.Name, "zone": "z" + strconv.Itoa(i%3), "ip": "127.0.0.1", "portRange.0": adminPort,
			"listen.front": h.Front, "listen.control": h.Control, "listen.directory": h.Directory, "listen.ready": h.Ready,
			"seeds": strings.Join(seeds, ","), "platform.address": storeAddresses[i], "limits.memoryMb": strconv.Itoa(MemoryMegabytes),
			"bounds.graceS": "8", "bounds.configMs": "2000", "bounds.drainMs": "2000", "bounds.revokeMs": "5000",
			"bounds.retryRatio": "0.2", "bounds.retrySlack": "54", "bounds.retryWindowS": "10",
		})
		path := filepath.Join(folder, h.Name+".ini")
		if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
			return nil, err
		}
		if err := h.start(root, folder, path); err != nil {
			return hosts, err
		}
	}
	return hosts, waitReady(hosts)
}

func (h *Host) start(root, folder, settings string) error {
	logFile, err := os.Create(filepath.Join(folder, h.Name+".log"))
	if err != nil {
		return err
	}
	defer logFile.Close()
	h.command = exec.Command("target/redwingloft", "entry")
	h.command.Dir = root
	h.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "REDWINGLOFT_SETTINGS=" + settings}
	h.command.Stdout, h.command.Stderr = logFile, logFile
	// The host ends with the case, whatever happens to the case.
	h.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := h.command.Start(); err != nil {
		h.command = nil
		return err
	}
	h.ended = make(chan struct{})
	go func() {
		_ = h.command.Wait()
		close(h.ended)
	}()
	return nil
}

// Running reports whether the process runs.
func (h *Host) Running() bool {
	if h.command == nil {
		return false
	}
	select {
	case <-h.ended:
		return false
	default:
		return true
	}
}

// Signal sends a signal to the process.
func (h *Host) Signal(s syscall.Signal) {
	if h.Running() {
		_ = h.command.Process.Signal(s)
	}
}

// Stop kills the process and waits for its end.
func (h *Host) Stop() {
	if h.command == nil {
		return
	}
	h.Signal(syscall.SIGKILL)
	<-h.ended
}

// StopAll stops hosts.
func StopAll(hosts []*Host) {
	for _, h := range hosts {
		h.Stop()
	}
}

// Megabytes returns the resident memory of the process, or 0 if it has ended.
func (h *Host) Megabytes() int {
	if !h.Running() {
		return 0
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.command.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(status), "\n") {
		if rest, found := strings.CutPrefix(line, "VmRSS:"); found {
			kilobytes, _ := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(rest), " kB"))
			return kilobytes >> 10
		}
	}
	return 0
}

// IsReady asks the host as the platform's check does.
func (h *Host) IsReady() bool {
	client := &http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + h.Ready + "/-/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func waitReady(hosts []*Host) error {
	limit := time.Now().Add(15 * time.Second)
	for _, h := range hosts {
		for !h.IsReady() {
			if time.Now().After(limit) || !h.Running() {
				return fmt.Errorf("%s did not become ready", h.Name)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}
