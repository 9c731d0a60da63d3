package settings

import "time"

// Directory holds the settings of section [directory].
type Directory struct {
	// Listen is the listen address of the endpoint that returns the hosts callers should use;
	// empty disables it.
	Listen string
	// ReadyListen is the listen address for the platform's readiness checks; empty disables it.
	ReadyListen string
}

func loadDirectory(s *section) Directory {
	return Directory{Listen: s.address("listen", ""), ReadyListen: s.address("ready_listen", "")}
}

// Retry holds the settings of section [retry], the retry budget shared by all hosts.
type Retry struct {
	// Ratio is the maximum ratio of retries to requests of a service, between 0 and 1.
	Ratio float64
	// Slack is the number of retries per service and window that are allowed in excess of Ratio.
	Slack int
	// Window is the period over which requests and retries are counted.
	Window time.Duration
}

func loadRetry(s *section) Retry {
	return Retry{
		Ratio:  s.fraction("ratio", 0.1),
		Slack:  s.number("slack", 10, 0, 1_000_000),
		Window: s.duration("window", 10*time.Second, time.Second, 10*time.Minute),
	}
}
