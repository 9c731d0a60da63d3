package settings

import "time"

// Directory is the section [directory].
type Directory struct {
	// Listen is the address that answers which hosts callers should use; empty turns it off.
	Listen string
	// ReadyListen is the address of the platform's readiness checks; empty turns it off.
	ReadyListen string
}

func loadDirectory(s *section) Directory {
	return Directory{Listen: s.address("listen", ""), ReadyListen: s.address("ready_listen", "")}
}

// Retry is the section [retry]: the bound of repeated attempts that all hosts keep together.
type Retry struct {
	// Ratio is the share of the requests for a service that may be repeated, between 0 and 1.
	Ratio float64
	// Slack is the number of repeats for a service in a window above the ratio.
	Slack int
	// Window is the time over which both are counted.
	Window time.Duration
}

func loadRetry(s *section) Retry {
	return Retry{
		Ratio:  s.fraction("ratio", 0.1),
		Slack:  s.number("slack", 10, 0, 1_000_000),
		Window: s.duration("window", 10*time.Second, time.Second, 10*time.Minute),
	}
}
