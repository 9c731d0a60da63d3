package guard

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"

	"redwingloft/internal/helper/fault"
	"redwingloft/pkg/api"
)

const (
	// unfinishedShare is the part of all connections, 1/unfinishedShare, that may wait for a request
	// head while idle connections give way to new ones. Ordinary callers send it at once.
	unfinishedShare = 4
	// refusedShare is the part of all connections, 1/refusedShare, that may wait for the caller to read
	// a refusal. Further ones are closed without a response.
	refusedShare = 16
	// crowdedShare is the part of all connections, 1/crowdedShare, that connections with pipelined requests leave
	// to others.
	crowdedShare = 8
	// backlogShare is the part of all connections, 1/backlogShare, that may wait to be accepted besides.
	backlogShare = 4
	minBacklog   = 16
	// leavingShare is the part of all connections, 1/leavingShare, that may be open besides until those that
	// give way are closed.
	leavingShare = 8
	// refusalTime is how long a refused connection stays open, so that its caller gets the response.
	refusalTime = 500 * time.Millisecond
	// connRetryDelay is the time to retry of a refused connection. Most requests take less than a second.
	connRetryDelay = time.Second
)

// LeavingConns returns the number of connections that may be open besides a limit, until those that give way are
// closed.
func LeavingConns(limit int) int { return limit/leavingShare + 1 }

// Backlog returns the number of connections that may wait to be accepted; 0 means that it is not bounded. What
// callers send on them is in the kernel, although no connection of the host is in use.
func (g *Guard) Backlog() int {
	if g.MaxConns <= 0 {
		return 0
	}
	return max(g.MaxConns/backlogShare, minBacklog)
}

// Listener returns a listener whose connections are tracked and bounded. Track must be the ConnState
// callback of its server, and ConnContext its callback of that name.
func (g *Guard) Listener(l net.Listener) net.Listener { return &guardedListener{l, g} }

type guardedListener struct {
	net.Listener
	guard *Guard
}

// Accept implements net.Listener.
func (l *guardedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		tracked := &Conn{Conn: c, memory: l.guard.Memory, mayMultiplex: l.guard.mayMultiplex(), headSince: time.Now()}
		if l.guard.admit(tracked) {
			return tracked, nil
		}
		l.guard.refuse(c)
	}
}

// isCrowded reports whether nearly all connections are in use.
func (g *Guard) isCrowded() bool {
	return g.MaxConns > 0 && g.Open() >= g.MaxConns-g.MaxConns/crowdedShare
}

// Open returns the number of open connections.
func (g *Guard) Open() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.open) + g.refused
}

// admit adds a connection. If there are too many, another one gives way to it; if none can, admit
// returns false.
func (g *Guard) admit(c *Conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.open == nil {
		g.open = map[*Conn]struct{}{}
	}
	own := len(g.open) + g.refused
	shared := g.Total.acquire(own < g.Guaranteed)
	full := g.MaxConns > 0 && own >= g.MaxConns
	if (!shared || full) && !g.makeRoom(!shared) {
		if shared {
			g.Total.release()
		}
		return false
	}
	if !shared {
		// A connection of this guard was closed.
		g.Total.acquire(true)
	}
	g.open[c] = struct{}{}
	return true
}

// remove removes a connection that is closed. The caller holds mu.
func (g *Guard) remove(c *Conn) {
	if _, found := g.open[c]; found {
		delete(g.open, c)
		g.Total.release()
	}
}

// candidate is a connection that may give way.
type candidate struct {
	conn  *Conn
	since time.Time
}

// makeRoom makes a connection give way. It reports whether there is room for another one: a connection that
// is refused before it is closed still has its descriptor. If mustClose is set, or too many are about to be
// closed, there is room only once a connection is closed. The caller holds mu.
func (g *Guard) makeRoom(mustClose bool) bool {
	now := time.Now()
	oldest, leaving, unfinished := g.candidates(now)
	total := len(g.open) + g.refused
	limit := g.MaxConns + LeavingConns(g.MaxConns)
	mustClose = mustClose || total >= limit
	if !mustClose && total-leaving < g.MaxConns {
		return true
	}
	order := []standing{standingIdle, standingUnfinished, standingRefused, standingBody}
	stalled := g.Stall > 0 && unfinished > 0 && now.Sub(oldest[standingUnfinished].since) >= g.Stall
	if stalled || unfinished > g.MaxConns/unfinishedShare {
		order[0], order[1] = standingUnfinished, standingIdle
	}
	for _, as := range order {
		found, ok := oldest[as]
		if !ok {
			continue
		}
		leaves, closed := found.conn.giveWay(as, found.since, mustClose)
		if !leaves {
			continue
		}
		if closed {
			g.remove(found.conn)
		}
		g.Metrics.Counter("clients.closed_" + string(as)).Inc(1)
		g.Refusals.Report(g.Name, found.conn.RemoteAddr().String(), "connection_"+string(as), nil)
		return true
	}
	return false
}

// candidates returns the oldest connection of each standing that may give way, the number of those that are
// about to be closed, and of those without a complete request head.
func (g *Guard) candidates(now time.Time) (oldest map[standing]candidate, leaving, unfinished int) {
	oldest = map[standing]candidate{}
	for c := range g.open {
		as, since := c.state()
		switch as {
		case standingLeaving:
			leaving++
			continue
		case standingUnfinished:
			unfinished++
		case standingBody:
			if now.Sub(since) < g.Stall {
				continue
			}
		case standingBusy:
			continue
		}
		if found, ok := oldest[as]; !ok || since.Before(found.since) {
			oldest[as] = candidate{c, since}
		}
	}
	return oldest, leaving, unfinished
}

// refuse responds to a connection for which there is no room and closes it.
func (g *Guard) refuse(c net.Conn) {
	err := fault.AddRetryAfter(fault.New(api.KindConnectionsFull, "the host serves as many connections as it may"), connRetryDelay)
	info := api.Kinds[api.KindConnectionsFull]
	g.Metrics.Counter(info.Counter).Inc(1)
	g.Refusals.Report(g.Name, c.RemoteAddr().String(), string(api.KindConnectionsFull), nil)
	g.mu.Lock()
	if g.Encrypted || g.refused >= g.MaxConns/refusedShare || !g.Total.acquire(false) {
		g.mu.Unlock()
		_ = c.Close()
		return
	}
	g.refused++
	g.mu.Unlock()
	_, _ = c.Write(g.refusal(info.Status, err))
	if half, ok := c.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	time.AfterFunc(refusalTime, func() {
		_ = c.Close()
		g.mu.Lock()
		defer g.mu.Unlock()
		g.refused--
		g.Total.release()
	})
}

// refusal returns a whole response with an error.
func (g *Guard) refusal(status int, err error) []byte {
	// The error has no values that can't be encoded.
	body, _ := json.Marshal(fault.ToAPI(err, ""))
	header := http.Header{}
	g.SetRetryAfter(header, fault.RetryDelay(err))
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nConnection: close\r\nRetry-After: %s\r\nContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), header.Get("Retry-After"), len(body), body)
}
