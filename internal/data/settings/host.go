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
	// DescriptorLimit is the limit of open descriptors of the process; 0 means unknown. The platform
	// may write it with a fraction or an exponent.
	DescriptorLimit float64
}

const (
	// minMemoryLimit is the memory limit in megabytes below which a host can't start.
	minMemoryLimit = 16
	maxMemoryLimit = 1 << 20
	// minDescriptorLimit is the descriptor limit below which a host can't start: it needs about 20
	// for its listeners, the store and other hosts.
	minDescriptorLimit = 32
	maxDescriptorLimit = 1 << 30
)

func loadHost(s *section) Host {
	return Host{
		ID:              api.HostID(s.text("id", "")),
		DataCentre:      api.DataCentre(s.text("data_centre", "local")),
		DrainPeriod:     s.duration("drain", 10*time.Second, 0, 10*time.Minute),
		ShutdownTimeout: s.duration("shutdown", 30*time.Second, time.Second, time.Hour),
		MemoryLimit:     s.optionalLimit("memory_limit", minMemoryLimit, maxMemoryLimit),
		DescriptorLimit: s.optionalLimit("descriptor_limit", minDescriptorLimit, maxDescriptorLimit),
	}
}

// optionalLimit returns a limit that is 0 if it is not known.
func (s *section) optionalLimit(key string, low, high float64) float64 {
	limit := s.decimal(key, 0, 0, high)
	if limit > 0 && limit < low {
		s.faultf(key, "%g is not 0 or between %.10g and %.10g", limit, low, high)
	}
	return limit
}
