package settings

import "time"

// watchShare is the part of the time within which a change has to be in force that a
// watch may stay silent. The rest is for reading all anew.
const watchShare = 0.75

// Store is the section [store].
type Store struct {
	// Kind names the plug-in. "memory" means that the host runs alone.
	Kind      string
	Endpoints []string
	// Prefix separates deployments that share a service.
	Prefix  string
	Timeout time.Duration
	// WatchWait bounds the wait of one call of a watch, where watches are such calls.
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
		s.faultf("endpoints", "kind %q needs at least one endpoint", st.Kind)
	}
	if bound := s.duration("in_force_within", 0, 0, time.Minute); bound > 0 {
		st.WatchWait = min(st.WatchWait, time.Duration(watchShare*float64(bound)))
	}
	return st
}

// HostList is the section [host_list].
type HostList struct {
	// Kind names the plug-in; "none" reads no list.
	Kind string
	URL  string
	// Period is the time between two reads.
	Period time.Duration
}

func loadHostList(s *section) HostList {
	h := HostList{
		Kind:   s.text("kind", "none"),
		URL:    s.text("url", ""),
		Period: s.duration("period", 5*time.Second, 100*time.Millisecond, 10*time.Minute),
	}
	if h.Kind != "none" && h.URL == "" {
		s.faultf("url", "kind %q needs a URL", h.Kind)
	}
	return h
}
