package forward

import (
	"sync"
	"time"

	"redwingloft/pkg/api"
)

const (
	// windowBuckets is the number of buckets in a window, so that counts expire a tenth of
	// the window at a time.
	budgetSteps = 10
	// usableShare is the part of the bound for all hosts that is handed out. The rest covers
	// hosts that are joining or that count other hosts as gone.
	budgetShare = 0.7
)

// Budget limits the retries of each service. Each host uses its share of the slack plus
// the ratio of its own requests, so that all hosts together stay within the limit without
// coordination. Set the exported fields before use.
type Budget struct {
	Ratio  float64
	Slack  int
	Window time.Duration
	// Hosts returns the number of hosts that share the slack.
	Hosts func() int

	mu       sync.Mutex
	services map[api.ServiceName]*budgetWindow
}

// slidingWindow counts attempts per bucket of the window. A slot is reused one window later.
type budgetWindow struct {
	first, repeats [budgetSteps + 1]int
	step           [budgetSteps + 1]int64
}

// First counts the first attempt of a request.
func (b *Budget) First(service api.ServiceName, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w, slot := b.window(service, now)
	w.first[slot]++
}

// Take reports whether count more attempts fit into the budget and, if so, counts them.
func (b *Budget) Take(service api.ServiceName, count int, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w, slot := b.window(service, now)
	first, repeats := 0, 0
	for i := range w.step {
		first += w.first[i]
		repeats += w.repeats[i]
	}
	hosts := 1
	if b.Hosts != nil {
		hosts = max(b.Hosts(), 1)
	}
	allowed := budgetShare * (b.Ratio*float64(first) + float64(b.Slack)/float64(hosts))
	if float64(repeats+count) > allowed {
		return false
	}
	w.repeats[slot] += count
	return true
}

// window returns the counts of a service, with expired buckets cleared, and the current
// slot. b.mu must be held.
func (b *Budget) window(service api.ServiceName, now time.Time) (*budgetWindow, int) {
	if b.services == nil {
		b.services = map[api.ServiceName]*budgetWindow{}
	}
	w := b.services[service]
	if w == nil {
		w = &budgetWindow{}
		b.services[service] = w
	}
	length := max(b.Window/budgetSteps, time.Millisecond)
	current := now.UnixNano() / int64(length)
	for i := range w.step {
		if current-w.step[i] > budgetSteps {
			w.first[i], w.repeats[i], w.step[i] = 0, 0, 0
		}
	}
	slot := int(current % (budgetSteps + 1))
	if w.step[slot] != current {
		w.first[slot], w.repeats[slot], w.step[slot] = 0, 0, current
	}
	return w, slot
}
