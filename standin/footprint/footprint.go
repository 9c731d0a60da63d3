// Package footprint measures the resource usage of entry hosts: memory, CPU time, peer
// traffic and key-value service calls of idle hosts by document size, and the CPU time
// for each streamed token.
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

// clockTicks is the number of clock ticks per second in /proc, which Linux fixes at 100 for user space.
const clockTicks = 100

// settleDelay is the time between the start of a site and its measurement.
const settleDelay = 5 * time.Second

// Options configure the measurements.
type Options struct {
	// Binaries is the folder of the programs.
	Binaries string
	// Folder holds the example deployments.
	Folder string
	// Hosts is the number of entry hosts.
	Hosts int
	// Duration is the length of each measurement of an idle site.
	Duration time.Duration
	Out      io.Writer
}

// Result is the mean resource usage of one idle host of a site.
type Result struct {
	Workspaces int `json:"workspaces"`
	Upstreams  int `json:"upstreams"`
	Hosts      int `json:"hosts"`
	// RSS is the resident memory of a host in megabytes (2^20 bytes).
	RSS float64 `json:"rss_mb"`
	// CPU is the CPU time of a host in percent of one core.
	CPU float64 `json:"cpu_percent"`
	// PeerBytesPerSecond is the number of bytes per second that a host sends and receives in peer
	// exchanges, without HTTP overhead.
	PeerBytesPerSecond float64 `json:"peer_bytes_per_s"`
	// StoreCallsPerSecond is the number of key-value service calls per second by all hosts together.
	StoreCallsPerSecond float64 `json:"store_calls_per_s"`
}

// Report holds the results of all measurements.
type Report struct {
	Idle    []Result `json:"idle"`
	Serving Serving  `json:"serving"`
}

// Run measures idle sites with documents of several sizes and one site under load.
func Run(ctx context.Context, options Options) (*Report, error) {
	idle, err := measureIdle(ctx, options)
	if err != nil {
		return nil, err
	}
	serving, err := measureServing(ctx, options)
	if err != nil {
		return nil, err
	}
	return &Report{Idle: idle, Serving: serving}, nil
}

func measureIdle(ctx context.Context, options Options) ([]Result, error) {
	var results []Result
	small := load.Size{Workspaces: 5, Upstreams: 39, Models: 1, Pipelines: 3, DataCentres: 4}
	half := load.TargetSize
	half.Workspaces /= 2
	for _, size := range []load.Size{small, half, load.TargetSize} {
		result, err := measureSize(ctx, options, size)
		if err != nil {
			return nil, err
		}
		fmt.Fprintf(options.Out, "%5d workspaces, %4d upstreams, %d hosts: %.1f MB RSS, %.2f%% CPU, %.0f bytes/s of peer exchanges, %.2f store calls/s by all hosts\n",
			result.Workspaces, result.Upstreams, result.Hosts, result.RSS, result.CPU, result.PeerBytesPerSecond, result.StoreCallsPerSecond)
		results = append(results, result)
	}
	return results, nil
}

func measureSize(ctx context.Context, options Options, size load.Size) (Result, error) {
	folder, err := os.MkdirTemp("", "redwingloft-footprint")
	if err != nil {
		return Result{}, err
	}
	defer os.RemoveAll(folder)
	s, err := site.Start(site.Options{
		Binaries: options.Binaries, Document: load.NewDocument(size), Hosts: options.Hosts, Folder: folder, KeyValueOnly: true,
	})
	if err != nil {
		return Result{}, err
	}
	result, err := measureSite(ctx, s, options.Duration)
	result.Workspaces, result.Upstreams, result.Hosts = size.Workspaces, countUpstreams(s.Options.Document), options.Hosts
	return result, errors.Join(err, s.Stop())
}

func countUpstreams(doc *document.Document) int {
	count := 0
	for _, group := range doc.Groups {
		count += len(group.Upstreams)
	}
	return count
}

// counters holds the cumulative counters of a site at one time.
type counters struct {
	at time.Time
	// cpu is the CPU time of all hosts in seconds.
	cpu        float64
	peerBytes  int64
	storeCalls int64
}

func measureSite(ctx context.Context, s *site.Site, duration time.Duration) (Result, error) {
	if err := sleep(ctx, settleDelay); err != nil {
		return Result{}, err
	}
	before, err := readCounters(s)
	if err != nil {
		return Result{}, err
	}
	if err := sleep(ctx, duration); err != nil {
		return Result{}, err
	}
	after, err := readCounters(s)
	if err != nil {
		return Result{}, err
	}
	hosts, seconds := float64(len(s.Hosts)), after.at.Sub(before.at).Seconds()
	result := Result{
		CPU:                 100 * (after.cpu - before.cpu) / seconds / hosts,
		PeerBytesPerSecond:  float64(after.peerBytes-before.peerBytes) / seconds / hosts,
		StoreCallsPerSecond: float64(after.storeCalls-before.storeCalls) / seconds,
	}
	for _, host := range s.Hosts {
		kilobytes, err := residentMemory(host.PID())
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

func readCounters(s *site.Site) (counters, error) {
	r := counters{at: time.Now()}
	for _, host := range s.Hosts {
		seconds, err := cpuTime(host.PID())
		if err != nil {
			return r, err
		}
		r.cpu += seconds
		for _, name := range []string{"member_exchange_bytes_sent", "member_exchange_bytes_received"} {
			count, err := host.Counter(name)
			if err != nil {
				return r, err
			}
			r.peerBytes += count
		}
	}
	calls, err := readStoreCalls(s.KeyValueAddress)
	r.storeCalls = calls
	return r, err
}

func readStoreCalls(address string) (int64, error) {
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

// cpuTime returns the user and system CPU time of a process in seconds.
func cpuTime(pid int) (float64, error) {
	data, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "stat"))
	if err != nil {
		return 0, err
	}
	// The command name may contain spaces and ends with the last ")". The state is the field after it.
	fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
	if len(fields) < 13 {
		return 0, errors.New("process stat file is truncated")
	}
	user, err := strconv.ParseFloat(fields[11], 64)
	if err != nil {
		return 0, err
	}
	system, err := strconv.ParseFloat(fields[12], 64)
	return (user + system) / clockTicks, err
}

// residentMemory returns the resident set size of a process in kilobytes.
func residentMemory(pid int) (float64, error) {
	data, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "status"))
	if err != nil {
		return 0, err
	}
	for _, line := range strings.Split(string(data), "\n") {
		if value, found := strings.CutPrefix(line, "VmRSS:"); found {
			return strconv.ParseFloat(strings.Fields(value)[0], 64)
		}
	}
	return 0, errors.New("process status file has no VmRSS line")
}
