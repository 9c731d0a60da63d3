package throttle

import (
	"sync"
	"time"

	"redwingloft/internal/data/fleet"
)

// Statement is the rate limit that an upstream named.
type Statement struct {
	fleet.Incarnation
	// Rate is in requests a second; 0 means that the upstream no longer names a limit.
	Rate float64 `json:"rate"`
	// AgeMs is the time since the response that showed it, in milliseconds.
	AgeMs int64 `json:"age_ms"`
}

// Report holds the limits that a host has observed since its last report.
type Report struct {
	// Epoch and Version are those of the last update that the host received.
	Epoch      int64       `json:"epoch,omitempty"`
	Version    uint64      `json:"version,omitempty"`
	Statements []Statement `json:"statements,omitempty"`
}

// Update holds the limits that have changed since the version of a report.
type Update struct {
	// Epoch identifies the collecting host and its start.
	Epoch      int64       `json:"epoch"`
	Version    uint64      `json:"version"`
	Statements []Statement `json:"statements,omitempty"`
}

// Report returns the limits to send to the collecting host.
func (t *Table) Report(now time.Time) Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	report := Report{Epoch: t.epoch, Version: t.version}
	for incarnation, known := range t.limits {
		if known.unreported {
			report.Statements = append(report.Statements, Statement{incarnation, known.rate, now.Sub(known.observedAt).Milliseconds()})
		}
	}
	return report
}

// Apply applies the update that answers a report. A new collecting host gets all limits.
func (t *Table) Apply(report Report, update *Update, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, sent := range report.Statements {
		if known := t.limits[sent.Incarnation]; known != nil && known.rate == sent.Rate {
			known.unreported = false
		}
	}
	if update.Epoch != t.epoch {
		for _, known := range t.limits {
			known.unreported = true
		}
	}
	t.epoch, t.version = update.Epoch, update.Version
	for _, statement := range update.Statements {
		observedAt := now.Add(-time.Duration(statement.AgeMs) * time.Millisecond)
		known := t.limits[statement.Incarnation]
		if (known == nil && statement.Rate > 0) || (known != nil && observedAt.After(known.observedAt)) {
			t.set(statement.Incarnation, statement.Rate, observedAt)
		}
	}
}

// Collector merges the limits that all hosts observe. The zero value is ready to use.
type Collector struct {
	mu      sync.Mutex
	epoch   int64
	version uint64
	known   map[fleet.Incarnation]*merged
}

// merged is the latest statement of all hosts on an upstream.
type merged struct {
	rate       float64
	observedAt time.Time
	// version is that of the last change of rate.
	version uint64
}

// Exchange adds the limits of a report and returns those that have changed since its version.
func (c *Collector) Exchange(report Report, now time.Time) Update {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.epoch == 0 {
		c.epoch, c.known = now.UnixNano(), map[fleet.Incarnation]*merged{}
	}
	for _, statement := range report.Statements {
		c.merge(statement, now.Add(-time.Duration(statement.AgeMs)*time.Millisecond))
	}
	after := report.Version
	if report.Epoch != c.epoch {
		after = 0
	}
	update := Update{Epoch: c.epoch, Version: c.version}
	for incarnation, latest := range c.known {
		if latest.version > after {
			update.Statements = append(update.Statements, Statement{incarnation, latest.rate, now.Sub(latest.observedAt).Milliseconds()})
		}
	}
	return update
}

// merge applies a statement if it is the latest one. The caller holds mu.
func (c *Collector) merge(statement Statement, observedAt time.Time) {
	latest := c.known[statement.Incarnation]
	if latest == nil {
		latest = &merged{}
		c.known[statement.Incarnation] = latest
	}
	if !observedAt.After(latest.observedAt) {
		return
	}
	latest.observedAt = observedAt
	if latest.rate != statement.Rate {
		c.version++
		latest.rate, latest.version = statement.Rate, c.version
	}
}

// Sweep drops the limits of upstreams that are not in keep.
func (c *Collector) Sweep(keep func(fleet.Incarnation) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for incarnation := range c.known {
		if !keep(incarnation) {
			delete(c.known, incarnation)
		}
	}
}
