package forward

import (
	"sync"
	"time"

	"redwingloft/pkg/api"
)

const (
	// windowBuckets is the number of buckets in a window, so that counts expire a tenth of
	// the window at a time.
	windowBuckets = 10
	// usableShare is the part of the bound for all hosts that is handed out. The rest covers
	// hosts that are joining or that count other hosts as gone.
	usableShare = 0.7
)

// Budget limits the retries of each service. Each host uses its share of the slack plus
// the ratio of its own requests, so that all hosts together stay within the limit without
// coordination. Set the exported fields before use.
type Budget struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
	// Hosts returns the number of hosts that share the slack.
	Hosts func() int

	mu       sync.Mutex
	services map[api.ServiceName]*slidingWindow
}

// slidingWindow counts attempts per bucket of the window. The bucket field holds the bucket
// number of each slot; a slot is reused one window later.
type slidingWindow struct {
	firsts, retries [windowBuckets + 1]int
	bucket          [windowBuckets + 1]int64
}

// RecordFirst counts the first attempt of a request.
func (b *Budget) RecordFirst(service api.ServiceName, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w, slot := b.window(service, now)
	w.firsts[slot]++
}

// Allow reports whether count more attempts fit into the budget and, if so, counts them.
func (b *Budget) Allow(service api.ServiceName, count int, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w, slot := b.window(service, now)
	firsts, retries := 0, 0
	for i := range w.bucket {
		firsts += w.firsts[i]
		retries += w.retries[i]
	}
	hosts := 1
	if b.Hosts != nil {
		hosts = max(b.Hosts(), 1)
	}
	allowed := usableShare * (b.Ratio*float64(firsts) + b.Slack/float64(hosts))
	if float64(retries+count) > allowed {
		return false
	}
	w.retries[slot] += count
	return true
}

// Refund returns attempts that Allow has counted at chargedAt and that were not made. They are
// returned to the bucket that holds them: a negative count would allow other attempts later.
func (b *Budget) Refund(service api.ServiceName, count int, chargedAt, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w, _ := b.window(service, now)
	bucket := b.bucketAt(chargedAt)
	if slot := slotOf(bucket); w.bucket[slot] == bucket {
		w.retries[slot] -= count
	}
}

// window returns the counts of a service, with expired buckets cleared, and the current
// slot. b.mu must be held.
func (b *Budget) window(service api.ServiceName, now time.Time) (*slidingWindow, int) {
	if b.services == nil {
		b.services = map[api.ServiceName]*slidingWindow{}
	}
	w := b.services[service]
	if w == nil {
		w = &slidingWindow{}
		b.services[service] = w
	}
	current := b.bucketAt(now)
	for i := range w.bucket {
		if current-w.bucket[i] > windowBuckets {
			w.firsts[i], w.retries[i], w.bucket[i] = 0, 0, 0
		}
	}
	slot := slotOf(current)
	if w.bucket[slot] != current {
		w.firsts[slot], w.retries[slot], w.bucket[slot] = 0, 0, current
	}
	return w, slot
}

// bucketAt returns the number of the bucket that holds a time.
func (b *Budget) bucketAt(at time.Time) int64 {
	return at.UnixNano() / int64(max(b.Window/windowBuckets, time.Millisecond))
}

// slotOf returns the slot of a bucket.
func slotOf(bucket int64) int { return int(bucket % (windowBuckets + 1)) }
