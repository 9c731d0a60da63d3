package settings

import "time"

// Clients holds the settings of section [clients]: limits on callers that don't send or read as they
// should. The serve command uses Memory, Connections and Stall only.
type Clients struct {
	// Memory is what may be held on behalf of callers, in megabytes; 0 means a part of the memory limit.
	Memory float64
	// Connections is the number of callers' connections; 0 means a part of the descriptor limit.
	Connections int
	// BodyTimeout limits the time for receiving a request body.
	BodyTimeout time.Duration
	// Stall is the time without further bytes after which a body is the first to lose its memory.
	Stall time.Duration
	// WriteStall is the time in which a caller reads nothing of a response, after which it is cut off.
	WriteStall time.Duration
}

// Limits of the limits. A caller whose request or response takes a second is not to be cut off.
const (
	maxClientMemory      = 1 << 20
	maxClientConnections = 1 << 20
	minBodyTimeout       = time.Second
	minStall             = 100 * time.Millisecond
	minWriteStall        = time.Second
	maxClientTimeout     = 10 * time.Minute
)

func loadClients(s *section) Clients {
	return Clients{
		Memory:      s.decimal("memory", 0, 0, maxClientMemory),
		Connections: s.number("connections", 0, 0, maxClientConnections),
		BodyTimeout: s.duration("body_timeout", 10*time.Second, minBodyTimeout, maxClientTimeout),
		Stall:       s.duration("stall", time.Second, minStall, maxClientTimeout),
		WriteStall:  s.duration("write_stall", 5*time.Second, minWriteStall, maxClientTimeout),
	}
}
