package settings

import (
	"time"

	"redwingloft/pkg/api"
)

// Host is the section [host].
type Host struct {
	// ID names the host; empty means that a random one is made at each start.
	ID         api.HostID
	DataCentre api.DataCentre
	// Drain is the time for which a draining host still serves callers that hold its address.
	Drain time.Duration
	// Shutdown bounds the wait for requests in progress after Drain.
	Shutdown time.Duration
	// MemoryLimit is the memory of the process in megabytes; 0 means that no limit is known.
	MemoryLimit int
}

func loadHost(s *section) Host {
	return Host{
		ID:          api.HostID(s.text("id", "")),
		DataCentre:  api.DataCentre(s.text("data_centre", "local")),
		Drain:       s.duration("drain", 10*time.Second, 0, 10*time.Minute),
		Shutdown:    s.duration("shutdown", 30*time.Second, time.Second, time.Hour),
		MemoryLimit: s.number("memory_limit", 0, 0, 1<<20),
	}
}
