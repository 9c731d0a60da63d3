// Package footprint measures what an idle entry host costs by the size of its
// document: memory, processor time, messages between hosts and calls of the
// key-value service.
package footprint

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"redwingloft/internal/data/document"
	"redwingloft/standin/load"
	"redwingloft/standin/site"
)

// clockTicks is the unit of processor times under /proc, which Linux fixes at 100 a second for user space.
const clockTicks = 100

// settleTime passes between the start of a site and its measurement.
const settleTime = 5 * time.Second

// Options describe a measurement.
type Options struct {
	Binaries string
	// Folder holds the example deployments.
	Folder string
	// Hosts is the number of entry hosts.
	Hosts int
	// Duration is the length of the measurement.
	Duration time.Duration
	Out      io.Writer
}

// Result is the cost of one idle host, as the mean over the hosts of a site.
type Result struct {
	Workspaces int `json:"workspaces"`
	Upstreams  int `json:"upstreams"`
	Hosts      int `json:"hosts"`
	// RSS is the resident memory of a host in megabytes (2^20 bytes).
	RSS float64 `json:"rss_mb"`
	// CPU is the processor time of a host in percent of a core.
	CPU float64 `json:"cpu_percent"`
	// PeerBytes are the bytes a second that a host sends and receives in exchanges, without HTTP.
	PeerBytes float64 `json:"peer_bytes_per_s"`
	// StoreCalls are the calls a second of the key-value service by all hosts together.
	StoreCalls float64 `json:"store_calls_per_s"`
}

// Report is the result of all measurements.
type Report struct {
	Idle    []Result `json:"idle"`
	Serving Serving  `json:"serving"`
}

// Run measures idle sites with documents of several sizes, and one that serves.
func Run(ctx context.Context, options Options) (*Report, error) {
	idle, err := runIdle(ctx, options)
	if err != nil {
		return nil, err
	}
	serving, err := runServing(ctx, options)
	if err != nil {
		return nil, err
	}
	return &Report{Idle: idle, Serving: serving}, nil
}

func runIdle(ctx context.Context, options Options) ([]Result, error) {
	var results []Result
	small := load.Size{Workspaces: 5, Upstreams: 39, Models: 1, Pipelines: 3, Centres: 4}
	half := load.Target
	half.Workspaces /= 2
	for _, size := range []load.Size{small, half, load.Target} {
		result, err := measure(ctx, options, size)
		if err != nil {
			return nil, err
		}
		fmt.Fprintf(options.Out, "%5d workspaces, %4d upstreams, %d hosts: %.1f MB, %.2f%% of a core, %.0f bytes/s of exchanges, %.2f store calls/s of all hosts\n",
			result.Workspaces, result.Upstreams, result.Hosts, result.RSS, result.CPU, result.PeerBytes, result.StoreCalls)
		results = append(results, result)
	}
	return results, nil
}

func measure(ctx context.Context, options Options, size load.Size) (Result, error) {
	folder, err := os.MkdirTemp("", "redwingloft-footprint")
	if err != nil {
		return Result{}, err
	}
	defer os.RemoveAll(folder)
	s, err := site.Start(site.Options{
		Binaries: options.Binaries, Document: load.Sized(size), Hosts: options.Hosts, Folder: folder, KeyValueOnly: true,
	})
	if err != nil {
		return Result{}, err
	}
	result, err := sample(ctx, s, options.Duration)
	result.Workspaces, result.Upstreams, result.Hosts = size.Workspaces, upstreams(s.Options.Document), options.Hosts
	return result, errors.Join(err, s.Stop())
}

func upstreams(doc *document.Document) int {
	count := 0
	for _, group := range doc.Groups {
		count += len(group.Upstreams)
	}
	return count
}

// reading is the state of the counters at one time.
type reading struct {
	at    time.Time
	cpu   float64
	bytes int64
	calls int64
}

func sample(ctx context.Context, s *site.Site, duration time.Duration) (Result, error) {
	if err := sleep(ctx, settleTime); err != nil {
		return Result{}, err
	}
	before, err := read(s)
	if err != nil {
		return Result{}, err
	}
	if err := sleep(ctx, duration); err != nil {
		return Result{}, err
	}
	after, err := read(s)
	if err != nil {
		return Result{}, err
	}
	hosts, seconds := float64(len(s.Hosts)), after.at.Sub(before.at).Seconds()
	result := Result{
		CPU:        100 * (after.cpu - before.cpu) / seconds / hosts,
		PeerBytes:  float64(after.bytes-before.bytes) / seconds / hosts,
		StoreCalls: float64(after.calls-before.calls) / seconds,
	}
	for _, host := range s.Hosts {
		kilobytes, err := resident(host.PID())
		if err != nil {
			return Result{}, err
		}
		result.RSS += kilobytes / 1024 / hosts
	}
	return result, nil
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func read(s *site.Site) (reading, error) {
	r := reading{at: time.Now()}
	for _, host := range s.Hosts {
		seconds, err := processorTime(host.PID())
		if err != nil {
			return r, err
		}
		r.cpu += seconds
		for _, name := range []string{"member_exchange_bytes_sent", "member_exchange_bytes_received"} {
			count, err := host.Counter(name)
			if err != nil {
				return r, err
			}
			r.bytes += count
		}
	}
	calls, err := storeCalls(s.KeyValueAddress)
	r.calls = calls
	return r, err
}

func storeCalls(address string) (int64, error) {
	response, err := http.Get("http://" + address + "/calls")
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	counts := map[string]int64{}
	if err := json.NewDecoder(response.Body).Decode(&counts); err != nil {
		return 0, err
	}
	sum := int64(0)
	for _, count := range counts {
		sum += count
	}
	return sum, nil
}

// processorTime returns the user and system time of a process in seconds.
func processorTime(pid int) (float64, error) {
	data, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "stat"))
	if err != nil {
		return 0, err
	}
	// The fields after the command, which ends with the last ")", start with the state.
	fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
	if len(fields) < 13 {
		return 0, errors.New("the process status is cut short")
	}
	user, err := strconv.ParseFloat(fields[11], 64)
	if err != nil {
		return 0, err
	}
	system, err := strconv.ParseFloat(fields[12], 64)
	return (user + system) / clockTicks, err
}

// resident returns the resident memory of a process in kilobytes.
func resident(pid int) (float64, error) {
	data, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "status"))
	if err != nil {
		return 0, err
	}
	for _, line := range strings.Split(string(data), "\n") {
		if value, found := strings.CutPrefix(line, "VmRSS:"); found {
			return strconv.ParseFloat(strings.Fields(value)[0], 64)
		}
	}
	return 0, errors.New("the process status has no VmRSS")
}
