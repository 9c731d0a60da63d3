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
	// Ratio is the maximum ratio of retries to requests of a service, not negative.
	Ratio float64
	// Slack is the number of retries per service and window that are allowed in excess of
	// Ratio. It may have a fraction, because all hosts together share it.
	Slack float64
	// Window is the period over which requests and retries are counted.
	Window time.Duration
}

// Limits of the retry budget. A budget above them would allow any number of retries.
const (
	maxRetryRatio  = 100
	maxRetrySlack  = 1e9
	minRetryWindow = 100 * time.Millisecond
	maxRetryWindow = time.Hour
)

func loadRetry(s *section) Retry {
	return Retry{
		Ratio:  s.decimal("ratio", 0.1, 0, maxRetryRatio),
		Slack:  s.decimal("slack", 10, 0, maxRetrySlack),
		Window: s.duration("window", 10*time.Second, minRetryWindow, maxRetryWindow),
	}
}
