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
	MemoryLimit float64
}

const (
	// minMemoryLimit is the memory limit in megabytes below which a host can't start.
	minMemoryLimit = 16
	maxMemoryLimit = 1 << 20
)

func loadHost(s *section) Host {
	return Host{
		ID:              api.HostID(s.text("id", "")),
		DataCentre:      api.DataCentre(s.text("data_centre", "local")),
		DrainPeriod:     s.duration("drain", 10*time.Second, 0, 10*time.Minute),
		ShutdownTimeout: s.duration("shutdown", 30*time.Second, time.Second, time.Hour),
		MemoryLimit:     loadMemoryLimit(s),
	}
}

func loadMemoryLimit(s *section) float64 {
	limit := s.decimal("memory_limit", 0, 0, maxMemoryLimit)
	if limit > 0 && limit < minMemoryLimit {
		s.faultf("memory_limit", "%g is not 0 or between %d and %d", limit, minMemoryLimit, maxMemoryLimit)
	}
	return limit
}
