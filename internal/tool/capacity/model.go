package main

import "fmt"

// The target size of a deployment.
const (
	hosts                 = 350
	dataCentres           = 9
	controlBudget         = 5000.0 // bytes per second of control traffic on one host
	requestRate           = 820.0
	tokenRate             = 310_000.0
	workspaces            = 5100
	upstreams             = 1500
	changesPerSecond      = 2300.0 / 86400
	replacementsPerSecond = 139.0 / 86400 // 130 replaced and 9 failed per day
)

// Assumptions; the page gives the reason for each.
const (
	orderShare           = 0.15
	exchangeInterval     = 1.0  // seconds between exchange rounds at the target
	peersPerRound        = 2    // as in internal/service/member
	callersPerWorkspace  = 2.0  // caller processes of a workspace at the peak
	addressListTTL       = 60.0 // seconds for which callers cache the address list at the target
	orderShards          = 16
	claimInterval        = 0.05 // seconds between transactions of a shard
	bytesPerMember       = 120.0
	writesPerReplacement = 4 // registration, voter, mark for removal, removal
)

// model computes the figures of the page.
type model struct {
	slopes struct {
		Go     string
		CPU    string
		Values map[string]map[string]float64
	}
	footprint struct {
		Idle []struct {
			Workspaces int     `json:"workspaces"`
			Upstreams  int     `json:"upstreams"`
			RSS        float64 `json:"rss_mb"`
			CPU        float64 `json:"cpu_percent"`
			PeerBytes  float64 `json:"peer_bytes_per_s"`
			StoreCalls float64 `json:"store_calls_per_s"`
		} `json:"idle"`
		Serving struct {
			CPUPerToken float64 `json:"cpu_us_per_token"`
			RSS         float64 `json:"rss_mb"`
		} `json:"serving"`
	}
	missing []string
}

// slope returns a benchmark result, or records it as missing.
func (m *model) slope(name, unit string) float64 {
	value, found := m.slopes.Values[name][unit]
	if !found {
		m.missing = append(m.missing, name+" "+unit)
	}
	return value
}

// figures maps the names in the template to formatted values.
type figures map[string]string

func (f figures) set(name, format string, value float64) { f[name] = fmt.Sprintf(format, value) }

func (m *model) figures() figures {
	f := figures{"go": m.slopes.Go, "cpu": m.slopes.CPU}
	m.setTraffic(f)
	m.setCPU(f)
	m.setMemory(f)
	m.setStoreCalls(f)
	return f
}

// setTraffic computes the bytes per second of one host, in both directions together.
func (m *model) setTraffic(f figures) {
	wire := m.slope("internal/web/peer/BenchmarkWire/350", "bytes/op")
	exchange := 2 * peersPerRound * wire / exchangeInterval
	change := m.slope("internal/service/configuration/BenchmarkOffer", "gzip_bytes/change")
	configuration := 2 * change * changesPerSecond
	document := bytesPerMember * hosts / dataCentres
	membership := 2 * document * writesPerReplacement * replacementsPerSecond
	quiet := exchange + configuration + membership
	rolling := exchange + configuration + 2*document*writesPerReplacement*0.1
	lost := exchange + configuration + 2*document
	f.set("wire", "%.0f", wire)
	f.set("exchange", "%.0f", exchange)
	f.set("change", "%.0f", change)
	f.set("change_raw", "%.0f", m.slope("internal/service/configuration/BenchmarkOffer", "bytes/change"))
	f.set("configuration", "%.0f", configuration)
	f.set("membership", "%.0f", membership)
	f.set("quiet", "%.0f", quiet)
	f.set("quiet_half", "%.0f", quiet/2)
	f.set("rolling", "%.0f", rolling)
	f.set("lost", "%.0f", lost)
	wireSmall := m.slope("internal/web/peer/BenchmarkWire/7", "bytes/op")
	f.set("wire_small", "%.0f", wireSmall)
	// Six peers, twice per second, as the sender and as the receiver of the request.
	f.set("small_site", "%.0f", 6*2*2*wireSmall)
	perMember := (wire - m.slope("internal/web/peer/BenchmarkWire/7", "bytes/op")) / (hosts - 7)
	// The exchange may use what the other traffic leaves of the budget.
	left := (controlBudget - configuration - membership) * exchangeInterval / (2 * peersPerRound)
	f.set("per_member", "%.2f", perMember)
	f.set("members_bound", "%.0f", hosts+(left-wire)/perMember)
	f.set("small_interval", "%.0f", exchange*exchangeInterval/0.5)
	f.set("fresh_up", "%.3f", m.slope("internal/service/member/BenchmarkFreshness/down=false/interval=1s/freshness=5s/350", "fresh/host"))
	f.set("fresh_down", "%.3f", m.slope("internal/service/member/BenchmarkFreshness/down=true/interval=1s/freshness=5s/350", "fresh/host"))
	f.set("fresh_down3", "%.3f", m.slope("internal/service/member/BenchmarkFreshness/down=true/interval=1s/freshness=3s/350", "fresh/host"))
	f.set("announce", "%.0f", m.slope("internal/service/member/BenchmarkAnnounce", "most_rounds"))
}

// setCPU computes the percentage of a core that control uses on one host.
func (m *model) setCPU(f figures) {
	exchange := m.slope("internal/web/peer/BenchmarkWire/350", "ns/op") + m.slope("internal/service/member/BenchmarkExchange/350", "ns/op")
	exchanges := 2 * peersPerRound / exchangeInterval * exchange / 2 // the benchmarks measure both hosts together
	check := 20 * m.slope("internal/service/member/BenchmarkCheck/350", "ns/op")
	offer := changesPerSecond * m.slope("internal/service/configuration/BenchmarkOffer", "ns/op")
	lists := workspaces * callersPerWorkspace / addressListTTL / hosts
	addresses := lists * m.slope("internal/service/member/BenchmarkAddresses/350", "ns/op")
	quota := requestRate / hosts * m.slope("internal/service/admission/BenchmarkQuota", "ns/op")
	gate := requestRate / hosts * m.slope("internal/service/member/BenchmarkGate", "ns/op")
	percent := func(ns float64) float64 { return ns / 1e9 * 100 }
	f.set("cpu_exchange", "%.3f", percent(exchanges))
	f.set("cpu_check", "%.4f", percent(check))
	f.set("cpu_offer", "%.3f", percent(offer))
	f.set("cpu_addresses", "%.4f", percent(addresses))
	f.set("cpu_request", "%.5f", percent(quota+gate))
	f.set("cpu_control", "%.3f", percent(exchanges+check+offer+addresses+quota+gate))
	f.set("lists", "%.2f", lists)
	f.set("ns_gate", "%.0f", m.slope("internal/service/member/BenchmarkGate", "ns/op"))
	f.set("ns_pick", "%.0f", m.slope("internal/service/route/BenchmarkPick", "ns/op"))
	f.set("allocs_pick", "%.0f", m.slope("internal/service/route/BenchmarkPick", "allocs/op"))
	f.set("ns_enter", "%.0f", m.slope("internal/service/admission/BenchmarkEnter", "ns/op"))
	f.set("ns_refuse", "%.0f", m.slope("internal/service/admission/BenchmarkRefuse", "ns/op"))
	f.set("ns_quota", "%.0f", m.slope("internal/service/admission/BenchmarkQuota", "ns/op"))
	f.set("ns_book", "%.0f", m.slope("internal/service/account/BenchmarkAdd", "ns/op"))
	f.set("us_executor", "%.0f", m.slope("internal/service/pipeline/BenchmarkExecutor", "ns/op")/1000)
	f.set("ms_offer", "%.1f", m.slope("internal/service/configuration/BenchmarkOffer", "ns/op")/1e6)
	f.set("ms_commit", "%.1f", m.slope("internal/service/configuration/BenchmarkCommit", "ns/op")/1e6)
	f.set("ms_compile", "%.1f", m.slope("internal/data/document/BenchmarkCompile", "ns/op")/1e6)
	f.set("us_addresses", "%.1f", m.slope("internal/service/member/BenchmarkAddresses/350", "ns/op")/1000)
	f.set("ms_review", "%.0f", m.slope("internal/web/console/BenchmarkBulkReview", "ns/op")/1e6)
	f.set("us_token", "%.0f", m.footprint.Serving.CPUPerToken)
	f.set("tokens_host", "%.0f", tokenRate/hosts)
	f.set("cpu_serving", "%.1f", tokenRate/hosts*m.footprint.Serving.CPUPerToken/1e6*100)
	f.set("requests_host", "%.2f", requestRate/hosts)
}

// setMemory sets the resident memory measured on real hosts and its growth per workspace.
func (m *model) setMemory(f figures) {
	if len(m.footprint.Idle) < 3 {
		m.missing = append(m.missing, "docs/footprint.json idle")
		return
	}
	small, half, full := m.footprint.Idle[0], m.footprint.Idle[1], m.footprint.Idle[2]
	f.set("rss_small", "%.1f", small.RSS)
	f.set("rss_full", "%.1f", full.RSS)
	f.set("rss_serving", "%.1f", m.footprint.Serving.RSS)
	f.set("rss_workspace", "%.2f", (full.RSS-half.RSS)*1024/float64(full.Workspaces-half.Workspaces))
	f.set("idle_small", "%.2f", small.CPU)
	f.set("idle_full", "%.2f", full.CPU)
	f.set("idle_bytes", "%.0f", full.PeerBytes)
	f.set("idle_calls", "%.1f", full.StoreCalls)
	f.set("heap_compile", "%.1f", m.slope("internal/data/document/BenchmarkCompile", "B/op")/(1<<20))
	f.set("heap_offer", "%.1f", m.slope("internal/service/configuration/BenchmarkOffer", "B/op")/(1<<20))
}

// setStoreCalls computes the calls per second to the key-value service by cause.
func (m *model) setStoreCalls(f figures) {
	const (
		readersPerCentre = 2
		readPeriod       = 5.0 / 3 // a third of the freshness of 5 s
		pollPeriod       = 30.0
	)
	readers := float64(readersPerCentre * dataCentres)
	orders := requestRate * orderShare
	perShard := orders / orderShards
	batches := orderShards / (claimInterval + 1/perShard)
	writes := 2*batches + changesPerSecond*4 + replacementsPerSecond*writesPerReplacement + hosts/3600.0
	reads := readers/readPeriod + readers/pollPeriod + changesPerSecond*(readers+4) + replacementsPerSecond*4
	f.set("readers", "%.0f", readers)
	f.set("reads_members", "%.1f", readers/readPeriod)
	f.set("reads_poll", "%.1f", readers/pollPeriod)
	f.set("reads_changes", "%.2f", changesPerSecond*(readers+4))
	f.set("writes_changes", "%.2f", changesPerSecond*4)
	f.set("writes_members", "%.4f", replacementsPerSecond*writesPerReplacement)
	f.set("writes_leases", "%.2f", hosts/3600.0)
	f.set("orders", "%.0f", orders)
	f.set("writes_orders", "%.0f", 2*batches)
	f.set("writes_bound", "%.0f", 2*orderShards/claimInterval)
	f.set("writes", "%.0f", writes)
	f.set("reads", "%.1f", reads)
	f.set("txns_direct", "%.2f", m.slope("internal/service/order/BenchmarkHosts/hosts=64/aggregator=false", "txns/order"))
	f.set("txns_aggregated", "%.2f", m.slope("internal/service/order/BenchmarkHosts/hosts=64/aggregator=true", "txns/order"))
	f.set("orders_gb", "%.1f", orders/3*86400*300/1e9)
}
