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
	// loadHeader is the ORCA response header.
	loadHeader = "endpoint-load-metrics"
	// maxLoadHeader bounds the header that is parsed.
	maxLoadHeader = 4 << 10
	// maxUtilization bounds a report, so that a wrong one can't hide an upstream for long.
	maxUtilization = 10
	// loadHalfLife is the age at which a report counts half. Old reports
	// send every host to the same upstream that was idle a while ago.
	loadHalfLife = 2 * time.Second
)

// load is the last load report of an upstream, without the work of this host.
// The two fields may belong to two reports, which a choice can tolerate.
type load struct {
	// others holds the bits of a float64: slots in use by other hosts.
	others atomic.Uint64
	// at is the Unix time of the report in nanoseconds; 0 means none.
	at atomic.Int64
}

// Report takes over a utilization, where 1 means that all slots are in use.
func (i *Instance) Report(utilization float64, now time.Time) {
	others := max(0, utilization*float64(i.Slots)-float64(i.inFlight.Load()))
	i.load.others.Store(math.Float64bits(others))
	i.load.at.Store(now.UnixNano())
}

// Load returns the predicted number of slots in use at now: the attempts of this
// host and the reported work of others, which counts less with age.
func (i *Instance) Load(now time.Time) float64 {
	own := float64(i.inFlight.Load())
	at := i.load.at.Load()
	if at == 0 {
		return own
	}
	age := max(0, now.UnixNano()-at)
	return own + math.Float64frombits(i.load.others.Load())*math.Exp2(-float64(age)/float64(loadHalfLife))
}

// parseLoad reads the JSON form of an ORCA report. A report without
// application_utilization counts with its cpu_utilization.
func parseLoad(header http.Header) (utilization float64, ok bool) {
	text := header.Get(loadHeader)
	if len(text) > maxLoadHeader {
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

// cacheDoubt is the share of expected prompt cache hits that did not happen,
// averaged over answers. It holds the bits of a float64; zero is full trust.
type cacheDoubt struct{ bits atomic.Uint64 }

// cacheDoubtStep is the weight of one answer.
const cacheDoubtStep = 0.2

// CacheTrust returns the share of expected prompt cache hits that happen, between 0 and 1.
func (i *Instance) CacheTrust() float64 { return 1 - math.Float64frombits(i.cache.bits.Load()) }

// ObserveCache compares the cached prompt tokens of an answer with the expected number.
func (i *Instance) ObserveCache(expected, cached int) {
	if expected <= 0 {
		return
	}
	missed := 1 - min(1, float64(max(0, cached))/float64(expected))
	for {
		old := i.cache.bits.Load()
		average := math.Float64frombits(old)
		average += cacheDoubtStep * (missed - average)
		if i.cache.bits.CompareAndSwap(old, math.Float64bits(average)) {
			return
		}
	}
}
