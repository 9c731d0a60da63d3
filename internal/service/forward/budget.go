package forward

import (
	"sync"
	"time"

	"redwingloft/pkg/api"
)

const (
	// budgetSteps is the number of steps of a window, so that any window is covered to a tenth.
	budgetSteps = 10
	// budgetShare is the part of the fleet's bound that hosts plan with. The rest is for
	// hosts that join or that count others as gone.
	budgetShare = 0.7
)

// Budget bounds the repeated attempts for each service. Each host takes its share of
// the slack and the ratio of its own requests, so that all hosts together keep the
// bound without talking to each other. Set the exported fields before use.
type Budget struct {
	Ratio  float64
	Slack  int
	Window time.Duration
	// Hosts returns the number of hosts that share the slack.
	Hosts func() int

	mu       sync.Mutex
	services map[api.ServiceName]*budgetWindow
}

// budgetWindow counts in steps of the window. The slot of a step is reused a window later.
type budgetWindow struct {
	first, repeats [budgetSteps + 1]int
	step           [budgetSteps + 1]int64
}

// First notes the first attempt of a request.
func (b *Budget) First(service api.ServiceName, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w, slot := b.window(service, now)
	w.first[slot]++
}

// Take reports whether count more attempts may be made, and takes them.
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

// window returns the counts of a service with steps that are over cleared. The caller holds mu.
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
