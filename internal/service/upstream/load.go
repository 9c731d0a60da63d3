package upstream

import (
	"encoding/json"
	"math"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// loadHeader is the response header of ORCA load reports.
	loadHeader = "endpoint-load-metrics"
	// maxLoadHeaderBytes is the size above which a load header is ignored.
	maxLoadHeaderBytes = 4 << 10
	// maxUtilization limits a reported utilization, so that a wrong report can't divert
	// work from an upstream for long.
	maxUtilization = 10
	// loadHalfLife is the age at which the weight of a report is halved. Without decay,
	// old reports would direct every host to the same upstream that was idle earlier.
	loadHalfLife = 2 * time.Second
)

// loadReport is the last load report of an upstream, excluding the attempts of this
// host. The fields are stored separately and may come from two different reports,
// which is accurate enough to choose an upstream.
type loadReport struct {
	// otherSlots holds the bits of a float64: the slots in use by other hosts.
	otherSlots atomic.Uint64
	// receivedAt is the Unix time of the report in nanoseconds; 0 means no report.
	receivedAt atomic.Int64
}

// RecordLoad records a utilization reported by the upstream; 1 means that all slots are in use.
func (i *Instance) RecordLoad(utilization float64, now time.Time) {
	otherSlots := max(0, utilization*float64(i.Slots)-float64(i.inFlight.Load()))
	i.loadReport.otherSlots.Store(math.Float64bits(otherSlots))
	i.loadReport.receivedAt.Store(now.UnixNano())
}

// Load returns the estimated number of slots in use at now: the attempts of this
// host plus the reported load of other hosts, which decays with age.
func (i *Instance) Load(now time.Time) float64 {
	own := float64(i.inFlight.Load())
	receivedAt := i.loadReport.receivedAt.Load()
	if receivedAt == 0 {
		return own
	}
	age := max(0, now.UnixNano()-receivedAt)
	return own + math.Float64frombits(i.loadReport.otherSlots.Load())*math.Exp2(-float64(age)/float64(loadHalfLife))
}

// parseLoad parses the JSON form of an ORCA report. It falls back to
// cpu_utilization if the report has no application_utilization.
func parseLoad(header http.Header) (utilization float64, ok bool) {
	text := header.Get(loadHeader)
	if len(text) > maxLoadHeaderBytes {
		return 0, false
	}
	body, isJSON := strings.CutPrefix(text, "JSON ")
	if !isJSON {
		return 0, false
	}
	var report struct {
		Application *float64 `json:"application_utilization"`
		CPU         *float64 `json:"cpu_utilization"`
	}
	if err := json.Unmarshal([]byte(body), &report); err != nil {
		return 0, false
	}
	value := report.Application
	if value == nil {
		value = report.CPU
	}
	if value == nil || *value < 0 {
		return 0, false
	}
	return min(*value, maxUtilization), true
}

// cacheMissAverage is the moving average of the share of expected prompt cache hits
// that were misses. It holds the bits of a float64; zero means no misses.
type cacheMissAverage struct{ bits atomic.Uint64 }

// cacheMissWeight is the weight of one response in the moving average.
const cacheMissWeight = 0.2

// CacheHitRate returns the share of expected prompt cache hits that occur, between 0 and 1.
func (i *Instance) CacheHitRate() float64 { return 1 - math.Float64frombits(i.cacheMisses.bits.Load()) }

// ObserveCacheHits records how many of the expected cached prompt tokens of a response were cached.
func (i *Instance) ObserveCacheHits(expected, cached int) {
	if expected <= 0 {
		return
	}
	missRatio := 1 - min(1, float64(max(0, cached))/float64(expected))
	for {
		old := i.cacheMisses.bits.Load()
		average := math.Float64frombits(old)
		average += cacheMissWeight * (missRatio - average)
		if i.cacheMisses.bits.CompareAndSwap(old, math.Float64bits(average)) {
			return
		}
	}
}
