package settings

import (
	"time"

	"redwingloft/pkg/api"
)

// Host holds the settings of section [host].
type Host struct {
	// ID is the host id; if empty, a random one is generated at each start.
	ID         api.HostID
	DataCentre api.DataCentre
	// DrainPeriod is how long a draining host still accepts requests of callers that have cached its
	// address.
	DrainPeriod time.Duration
	// ShutdownTimeout is the timeout for requests in progress after Drain.
	ShutdownTimeout time.Duration
	// MemoryLimit is the memory limit of the process in megabytes; 0 means unknown.
	MemoryLimit int
}

func loadHost(s *section) Host {
	return Host{
		ID:              api.HostID(s.text("id", "")),
		DataCentre:      api.DataCentre(s.text("data_centre", "local")),
		DrainPeriod:     s.duration("drain", 10*time.Second, 0, 10*time.Minute),
		ShutdownTimeout: s.duration("shutdown", 30*time.Second, time.Second, time.Hour),
		MemoryLimit:     s.number("memory_limit", 0, 0, 1<<20),
	}
}
