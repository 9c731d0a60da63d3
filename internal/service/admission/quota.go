package admission

import (
	"context"
	"sync"
	"time"

	"redwingloft/internal/helper/fault"
	"redwingloft/pkg/api"
)

const (
	// grantTime is the use that one grant covers, so that hosts ask a few times a second at most.
	grantTime = 200 * time.Millisecond
	// grantTimeout bounds the question to the home host, which is at most a region away.
	grantTimeout = 250 * time.Millisecond
	// refusedTime is the time for which a refused grant is not asked for again.
	refusedTime = 50 * time.Millisecond
	// fallbackTime is the time for which an unreachable home host is not asked again.
	fallbackTime = time.Second
	// keptGrant is the time after which an unused grant lapses.
	keptGrant = 2 * time.Second
	// sweepBuckets is the number of buckets from which unneeded ones are dropped.
	sweepBuckets = 8192
)

// Quota limits the requests of each workspace over all hosts. The home host of a
// workspace keeps its token bucket; other hosts ask it for small grants. The zero
// value limits this host alone.
type Quota struct {
	// Grant asks the home host of a workspace for tokens and returns those it gave.
	Grant func(ctx context.Context, workspace api.WorkspaceName, want float64) (float64, error)
	// Home reports whether this host is the home of a workspace; nil means that it is alone.
	Home func(api.WorkspaceName) bool
	// Hosts returns the number of live hosts; nil means 1.
	Hosts func() int
	// Limit returns the configured rate a second and burst of a workspace, for
	// Serve; a rate of 0 means no limit. Nil means that Serve grants nothing.
	Limit func(api.WorkspaceName) (rate, burst float64)
	// Clock returns the current time; nil means time.Now.
	Clock func() time.Time

	mu      sync.Mutex
	buckets map[api.WorkspaceName]*quotaBucket
	sweepAt int
}

// bucket holds tokens that refill with time.
type bucket struct {
	tokens float64
	filled time.Time
}

// refill adds the tokens since the last refill. An unused bucket is full.
func (b *bucket) refill(now time.Time, rate, burst float64) {
	if b.filled.IsZero() {
		b.tokens = burst
	} else {
		b.tokens = min(b.tokens+rate*max(now.Sub(b.filled).Seconds(), 0), burst)
	}
	b.filled = now
}

func (b *bucket) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// quotaBucket is what this host keeps of one workspace.
type quotaBucket struct {
	mu sync.Mutex
	// used is the time of the last use, by which unneeded buckets are found.
	used time.Time
	// home is the whole workspace's bucket, where this host is its home.
	home bucket
	// fallback is this host's part while the home host can't be reached.
	fallback bucket
	// granted is the tokens from the home host that are left.
	granted   float64
	grantedAt time.Time
	// waiting counts the requests that wait for a grant.
	waiting int
	// asking is closed when the question under way ends; nil while there is none.
	asking chan struct{}
	// refusedUntil and fallbackUntil hold off the next question.
	refusedUntil, fallbackUntil time.Time
}

// Take takes one token of a workspace or returns a workspace_limit error. A rate of
// 0 means no limit; a burst of 0 means one second's worth.
func (q *Quota) Take(ctx context.Context, workspace api.WorkspaceName, rate, burst float64) error {
	if rate <= 0 {
		return nil
	}
	burst = burstOf(rate, burst)
	b := q.bucket(workspace)
	if q.Home == nil || q.Home(workspace) || q.Grant == nil {
		return q.verdict(workspace, rate, b.takeHome(q.now(), rate, burst))
	}
	for {
		taken, wait, ask := b.takeGranted(q.now(), rate, burst, q.hosts())
		switch {
		case ask != nil:
			q.ask(ctx, workspace, b, rate, ask)
		case wait != nil:
			select {
			case <-wait:
			case <-ctx.Done():
				return ended(ctx.Err())
			}
		default:
			return q.verdict(workspace, rate, taken)
		}
	}
}

// Serve is the home host's side: it takes up to want tokens of a workspace and
// returns how many it took.
func (q *Quota) Serve(workspace api.WorkspaceName, want float64) float64 {
	if q.Limit == nil || want <= 0 {
		return 0
	}
	rate, burst := q.Limit(workspace)
	if rate <= 0 {
		return 0
	}
	burst = burstOf(rate, burst)
	b := q.bucket(workspace)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.home.refill(q.now(), rate, burst)
	given := min(want, max(b.home.tokens, 0))
	b.home.tokens -= given
	return given
}

// burstOf returns the burst in force; a bucket below one token would admit nothing.
func burstOf(rate, burst float64) float64 {
	if burst <= 0 {
		burst = rate
	}
	return max(burst, 1)
}

func (q *Quota) verdict(workspace api.WorkspaceName, rate float64, taken bool) error {
	if taken {
		return nil
	}
	err := fault.New(api.KindWorkspaceLimit, "workspace %q has used up its %g requests per second", workspace, rate)
	return fault.WithRetryAfter(err, time.Duration(float64(time.Second)/rate))
}

func (q *Quota) now() time.Time {
	if q.Clock != nil {
		return q.Clock()
	}
	return time.Now()
}

func (q *Quota) hosts() float64 {
	if q.Hosts == nil {
		return 1
	}
	return float64(max(q.Hosts(), 1))
}

// bucket returns the bucket of a workspace.
func (q *Quota) bucket(workspace api.WorkspaceName) *quotaBucket {
	now := q.now()
	q.mu.Lock()
	defer q.mu.Unlock()
	b := q.buckets[workspace]
	if b == nil {
		q.sweep(now)
		if q.buckets == nil {
			q.buckets = map[api.WorkspaceName]*quotaBucket{}
		}
		b = &quotaBucket{}
		q.buckets[workspace] = b
	}
	b.used = now
	return b
}

// idleTime is the time after which a bucket counts as unneeded. Most have refilled by then.
const idleTime = 10 * time.Minute

// sweep drops buckets that were not used for long.
func (q *Quota) sweep(now time.Time) {
	if len(q.buckets) < max(q.sweepAt, sweepBuckets) {
		return
	}
	for name, b := range q.buckets {
		if now.Sub(b.used) >= idleTime {
			delete(q.buckets, name)
		}
	}
	q.sweepAt = 2 * len(q.buckets)
}

func (b *quotaBucket) takeHome(now time.Time, rate, burst float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.home.refill(now, rate, burst)
	return b.home.take()
}

// takeGranted takes a token of the last grant. Without one it returns a channel to
// wait for, or the channel of a question that the caller must ask and then close.
func (b *quotaBucket) takeGranted(now time.Time, rate, burst, hosts float64) (taken bool, wait <-chan struct{}, ask chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Sub(b.grantedAt) > keptGrant {
		b.granted = 0
	}
	switch {
	case b.granted >= 1:
		b.granted--
		return true, nil, nil
	case now.Before(b.fallbackUntil):
		b.fallback.refill(now, rate/hosts, max(burst/hosts, 1))
		return b.fallback.take(), nil, nil
	case b.asking != nil:
		b.waiting++
		return false, b.asking, nil
	case now.Before(b.refusedUntil):
		return false, nil, nil
	}
	b.asking = make(chan struct{})
	return false, nil, b.asking
}

// ask asks the home host for enough tokens for the waiting requests and the near
// future, without a lock. One question of a workspace is under way at a time.
func (q *Quota) ask(ctx context.Context, workspace api.WorkspaceName, b *quotaBucket, rate float64, asked chan struct{}) {
	b.mu.Lock()
	want := max(rate/q.hosts()*grantTime.Seconds(), float64(b.waiting+1))
	b.waiting = 0
	b.mu.Unlock()
	// The grant serves other requests too, so it outlives the caller that asks.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), grantTimeout)
	defer cancel()
	given, err := q.Grant(ctx, workspace, want)
	now := q.now()
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case err != nil:
		b.fallbackUntil = now.Add(fallbackTime)
	default:
		b.granted, b.grantedAt = b.granted+given, now
		if b.granted < 1 {
			b.refusedUntil = now.Add(refusedTime)
		}
	}
	b.asking = nil
	close(asked)
}
