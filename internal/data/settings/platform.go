package settings

import "time"

// watchWaitFraction is the fraction of in_force_within that a watch call may wait without a
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
	if maxDelay := s.duration("in_force_within", 0, 0, time.Minute); maxDelay > 0 {
		st.WatchWait = min(st.WatchWait, time.Duration(watchWaitFraction*float64(maxDelay)))
	}
	return st
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
