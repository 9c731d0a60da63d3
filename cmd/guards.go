package cmd

import (
	"net/http"
	"time"

	"github.com/phuslu/log"

	"redwingloft/internal/data/settings"
	"redwingloft/internal/helper/metric"
	"redwingloft/internal/helper/timer"
	"redwingloft/internal/service/memory"
	"redwingloft/internal/web/guard"
)

const (
	// accountRatio is the part of the host's memory limit that may be held on behalf of callers. The
	// heap grows to 1.5 times what is live before it is collected, and connections, code and the
	// directory need the rest.
	accountRatio = 0.4
	// connDescriptorRatio is the part of the descriptors that callers' connections may use. A request
	// in progress needs another one to its upstream, and the store and other hosts need some.
	connDescriptorRatio = 0.4
	// connMemoryRatio is the part of the memory limit that callers' connections may use at connBytes
	// each: 32 KB for the buffers of net/http, the stacks of two goroutines and the head of a request,
	// and 64 KB that the kernel has received.
	connMemoryRatio = 0.4
	connBytes       = 96 << 10
	// ownDescriptors are those of a host without any connections of others: listeners, the store, and the log.
	ownDescriptors = 20
	// guaranteedAuxiliary and guaranteedPeer are the numbers of connections that a listener without requests of
	// callers, and the one for other hosts, may have in any case.
	guaranteedAuxiliary = 2
	guaranteedPeer      = 4
	// auxiliaryConnShare is the part of the callers' connections, 1/auxiliaryConnShare, that each listener without
	// requests of callers may have besides.
	auxiliaryConnShare = 8
	// minAuxiliaryConns is the least bound of such a listener: checks of several kinds keep a connection each.
	minAuxiliaryConns = 2
	// peerDescriptorRatio is the part of the descriptors that connections of other hosts may use. Each host
	// has one or two.
	peerDescriptorRatio = 0.2
)

// listenerGuards holds the guards of all listeners of a host, and the account that they share.
type listenerGuards struct {
	settings *settings.Settings
	metrics  *metric.Set
	memory   *memory.Account
	refusals *guard.RefusalLog
	// setRetryAfter sets the time to retry in the header of a refusal.
	setRetryAfter func(http.Header, time.Duration)

	// others bounds the connections on all listeners but that of callers.
	others guard.Total
	list   []*guard.Guard
}

func newListenerGuards(s *settings.Settings, metrics *metric.Set, logger *log.Logger, setRetryAfter func(http.Header, time.Duration)) *listenerGuards {
	g := &listenerGuards{
		settings: s, metrics: metrics, setRetryAfter: setRetryAfter, refusals: &guard.RefusalLog{Log: logger},
		memory: &memory.Account{Limit: accountLimit(s), StallTime: s.Clients.Stall},
	}
	g.others.Limit = otherConns(s)
	metrics.GaugeFunc("clients.memory_bytes", g.memory.Used)
	return g
}

// add returns a new guard of a listener with the given bound of its connections.
func (g *listenerGuards) add(name string, limit int) *guard.Guard {
	added := &guard.Guard{
		Name: name, Metrics: g.metrics, MaxConns: limit, Stall: g.settings.Clients.Stall, Memory: g.memory, Refusals: g.refusals,
		SetRetryAfter: g.setRetryAfter,
	}
	g.list = append(g.list, added)
	g.metrics.GaugeFunc("connections.open."+name, func() int64 { return int64(added.Open()) })
	return added
}

// addCaller returns the guard of the callers' listener.
func (g *listenerGuards) addCaller() *guard.Guard {
	added := g.add(guard.Caller, maxCallerConns(g.settings))
	g.metrics.GaugeFunc("clients.connections", func() int64 { return int64(added.Open()) })
	return added
}

// addAuxiliary returns the guard of a listener on which callers send no requests.
func (g *listenerGuards) addAuxiliary(name string) *guard.Guard {
	added := g.add(name, auxiliaryConns(g.settings))
	added.Total, added.Guaranteed = &g.others, guaranteedAuxiliary
	return added
}

// addPeer returns the guard of the listener for other hosts.
func (g *listenerGuards) addPeer() *guard.Guard {
	added := g.add("peer", peerConns(g.settings))
	added.Total, added.Guaranteed = &g.others, guaranteedPeer
	return added
}

// start subscribes the checks of all guards to the timer.
func (g *listenerGuards) start(timer *timer.Service) {
	for _, guard := range g.list {
		timer.Every(sweepInterval, guard.Sweep)
	}
}

// accountLimit returns the bytes that may be held on behalf of callers; 0 means no limit.
func accountLimit(s *settings.Settings) int64 {
	if s.Clients.Memory > 0 {
		return int64(s.Clients.Memory * megabyte)
	}
	return int64(accountRatio * s.Host.MemoryLimit * megabyte)
}

// maxCallerConns returns the largest number of callers' connections; 0 means no limit.
func maxCallerConns(s *settings.Settings) int {
	if s.Clients.Connections > 0 {
		return s.Clients.Connections
	}
	limit := 0
	if s.Host.DescriptorLimit > 0 {
		limit = int(connDescriptorRatio * s.Host.DescriptorLimit)
	}
	if s.Host.MemoryLimit > 0 {
		if fit := int(connMemoryRatio * s.Host.MemoryLimit * megabyte / connBytes); limit == 0 || fit < limit {
			limit = fit
		}
	}
	return limit
}

// auxiliaryConns returns the largest number of connections of a listener on which callers send no requests; 0
// means no limit.
func auxiliaryConns(s *settings.Settings) int {
	limit := maxCallerConns(s)
	if limit == 0 {
		return 0
	}
	return max(limit/auxiliaryConnShare, minAuxiliaryConns)
}

// peerConns returns the largest number of connections of other hosts: those that fit the memory if the
// descriptors are not known; 0 means no limit.
func peerConns(s *settings.Settings) int {
	if s.Host.DescriptorLimit > 0 {
		return int(peerDescriptorRatio * s.Host.DescriptorLimit)
	}
	return maxCallerConns(s)
}

// otherConns returns the largest number of connections on all listeners but that of callers, besides those that
// are guaranteed; 0 means no limit. It is what callers' connections and those to their upstreams leave.
func otherConns(s *settings.Settings) int64 {
	if s.Host.DescriptorLimit <= 0 {
		return 0
	}
	callers := maxCallerConns(s)
	used := 2*callers + guard.LeavingConns(callers) + ownDescriptors + 3*guaranteedAuxiliary + guaranteedPeer
	return max(int64(s.Host.DescriptorLimit)-int64(used), 1)
}
