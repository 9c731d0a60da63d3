package settings

import (
	"math"
	"time"
)

// watchWaitFraction is the fraction of MaxAge that a watch call may wait without a
// reply. The rest is reserved for reading the complete state again.
const watchWaitFraction = 0.75

// Store holds the settings of section [store].
type Store struct {
	// Kind is the name of the plug-in. "memory" is for a single host without peers.
	Kind      string
	Endpoints []string
	// Prefix is the key prefix, which separates deployments that share a key-value service.
	Prefix  string
	Timeout time.Duration
	// WatchWait is the maximum wait of one watch call, for services that use long polling.
	WatchWait time.Duration
	// MaxAge is the time within which a host must know each change; 0 means no limit.
	MaxAge time.Duration
	// EvacuatedWithin is the time within which a host must send nothing more to the upstreams of an
	// evacuated data centre; 0 means no limit.
	EvacuatedWithin time.Duration
	// Retention is how long order records are kept.
	Retention time.Duration
}

func loadStore(s *section) Store {
	st := Store{
		Kind:      s.text("kind", "memory"),
		Endpoints: s.list("endpoints"),
		Prefix:    s.text("prefix", "redwingloft/"),
		Timeout:   s.duration("timeout", time.Second, 10*time.Millisecond, time.Minute),
		WatchWait: s.duration("watch_wait", 10*time.Second, 100*time.Millisecond, time.Minute),
		Retention: s.duration("retention", 24*time.Hour, time.Hour, 31*24*time.Hour),
	}
	if st.Kind != "memory" && len(st.Endpoints) == 0 {
		s.faultf("endpoints", "kind %q requires at least one endpoint", st.Kind)
	}
	limits := loadChangeLimits(s)
	st.MaxAge, st.EvacuatedWithin = shortest(limits), limits[keyEvacuatedWithin]
	if st.MaxAge > 0 {
		st.WatchWait = min(st.WatchWait, time.Duration(watchWaitFraction*float64(st.MaxAge)))
	}
	return st
}

// minMaxAge is the shortest time within which a change can be required to take effect. Parts
// of it are used as wait times.
const minMaxAge = time.Millisecond

// Cold holds the settings of section [cold], the limit of cold upstreams: they get no more requests in
// any one second from all hosts together than Excess times the rate that they tolerate, and Slack more.
type Cold struct {
	// Excess is positive; 0 means that there is no limit.
	Excess float64
	Slack  float64
}

const (
	maxColdExcess = 1000
	maxColdSlack  = 1e6
)

func loadCold(s *section) Cold {
	return Cold{Excess: s.decimal("excess", 0, 0, maxColdExcess), Slack: s.decimal("slack", 0, 0, maxColdSlack)}
}

// Bound returns the number of requests that a cold upstream that tolerates rate requests a second may
// get in any one second, and false if there is no limit.
func (c Cold) Bound(rate float64) (bound int, limited bool) {
	if c.Excess <= 0 || !(rate > 0) {
		return 0, false
	}
	return int(min(rate*c.Excess+c.Slack, math.MaxInt32)), true
}

// keyEvacuatedWithin is the key of Store.EvacuatedWithin.
const keyEvacuatedWithin = "evacuated_within"

// loadChangeLimits returns the times within which changes must take effect, by key; 0 means no limit.
func loadChangeLimits(s *section) map[string]time.Duration {
	limits := map[string]time.Duration{}
	for _, key := range []string{"in_force_within", "drained_within", "revoked_within", keyEvacuatedWithin} {
		limits[key] = s.duration(key, 0, 0, time.Hour)
		if limits[key] != 0 && limits[key] < minMaxAge {
			s.faultf(key, "%s is not 0 or between %s and %s", limits[key], minMaxAge, time.Hour)
		}
	}
	return limits
}

// shortest returns the shortest limit, or 0 if there is none.
func shortest(limits map[string]time.Duration) time.Duration {
	least := time.Duration(0)
	for _, limit := range limits {
		if limit > 0 && (least == 0 || limit < least) {
			least = limit
		}
	}
	return least
}

// HostList holds the settings of section [host_list].
type HostList struct {
	// Kind is the name of the plug-in; "none" disables the host list.
	Kind string
	URL  string
	// PollInterval is the polling interval.
	PollInterval time.Duration
}

func loadHostList(s *section) HostList {
	h := HostList{
		Kind:         s.text("kind", "none"),
		URL:          s.text("url", ""),
		PollInterval: s.duration("period", 5*time.Second, 100*time.Millisecond, 10*time.Minute),
	}
	if h.Kind != "none" && h.URL == "" {
		s.faultf("url", "kind %q requires a URL", h.Kind)
	}
	return h
}
