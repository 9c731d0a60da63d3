package admission

import (
	"context"
	"sync"
	"time"

	"redwingloft/internal/helper/fault"
	"redwingloft/pkg/api"
)

const (
	// grantPeriod is how long one grant should last, so that a host requests only a few grants
	// a second.
	grantPeriod = 200 * time.Millisecond
	// grantTimeout bounds a request to the home host, which is at most one region away.
	grantTimeout = 250 * time.Millisecond
	// refusalBackoff is the delay before the next request after a refused grant.
	refusalBackoff = 50 * time.Millisecond
	// fallbackPeriod is the delay before the next request to an unreachable home host.
	fallbackPeriod = time.Second
	// grantLifetime is the time after which an unused grant expires.
	grantLifetime = 2 * time.Second
	// minSweepBuckets is the number of buckets below which idle ones are kept.
	minSweepBuckets = 8192
)

// Quota limits the request rate of each workspace across all hosts. The home host of a
// workspace holds its token bucket; other hosts request small grants from it. The zero value
// limits this host alone.
type Quota struct {
	// Grant requests tokens from the home host of a workspace and returns the number granted.
	Grant func(ctx context.Context, workspace api.WorkspaceName, want float64) (float64, error)
	// IsHome reports whether this host is the home host of a workspace; nil means that it is the
	// only host.
	IsHome func(api.WorkspaceName) bool
	// Hosts returns the number of live hosts; nil means 1.
	Hosts func() int
	// Limit returns the configured rate per second and burst of a workspace, from which grants
	// to other hosts are made; a rate of 0 means no limit. If nil, nothing is granted.
	Limit func(api.WorkspaceName) (rate, burst float64)
	// Clock returns the current time; nil means time.Now.
	Clock func() time.Time

	mu        sync.Mutex
	buckets   map[api.WorkspaceName]*quotaBucket
	nextSweep int
}

// bucket is a token bucket.
type bucket struct {
	tokens     float64
	refilledAt time.Time
}

// refill adds the tokens since the last refill. A bucket that was never used is full.
func (b *bucket) refill(now time.Time, rate, burst float64) {
	if b.refilledAt.IsZero() {
		b.tokens = burst
	} else {
		b.tokens = min(b.tokens+rate*max(now.Sub(b.refilledAt).Seconds(), 0), burst)
	}
	b.refilledAt = now
}

func (b *bucket) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// quotaBucket is the state that this host keeps for one workspace.
type quotaBucket struct {
	mu sync.Mutex
	// lastUsed is the time of the last use, by which idle buckets are found.
	lastUsed time.Time
	// home is the bucket of the whole workspace, used if this host is its home host.
	home bucket
	// fallback is this host's share, used while the home host is unreachable.
	fallback bucket
	// granted is the number of unused tokens granted by the home host.
	granted   float64
	grantedAt time.Time
	// waiters counts the requests that wait for a grant.
	waiters int
	// grantDone is closed when the current grant request ends; nil if there is none.
	grantDone chan struct{}
	// No grant is requested before refusedUntil and fallbackUntil.
	refusedUntil, fallbackUntil time.Time
}

// Take takes one token of a workspace or returns a workspace_limit error. A rate of 0 means no
// limit; a burst of 0 means the tokens of one second.
func (q *Quota) Take(ctx context.Context, workspace api.WorkspaceName, rate, burst float64) error {
	if rate <= 0 {
		return nil
	}
	burst = effectiveBurst(rate, burst)
	b := q.bucket(workspace)
	if q.IsHome == nil || q.IsHome(workspace) || q.Grant == nil {
		return q.takeResult(workspace, rate, b.takeHome(q.now(), rate, burst))
	}
	for {
		taken, wait, request := b.takeGranted(q.now(), rate, burst, q.hosts())
		switch {
		case request != nil:
			q.request(ctx, workspace, b, rate, request)
		case wait != nil:
			select {
			case <-wait:
			case <-ctx.Done():
				return contextError(ctx.Err())
			}
		default:
			return q.takeResult(workspace, rate, taken)
		}
	}
}

// IssueGrant handles a grant request on the home host: it takes up to want tokens of a workspace
// and returns how many it took.
func (q *Quota) IssueGrant(workspace api.WorkspaceName, want float64) float64 {
	if q.Limit == nil || want <= 0 {
		return 0
	}
	rate, burst := q.Limit(workspace)
	if rate <= 0 {
		return 0
	}
	burst = effectiveBurst(rate, burst)
	b := q.bucket(workspace)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.home.refill(q.now(), rate, burst)
	granted := min(want, max(b.home.tokens, 0))
	b.home.tokens -= granted
	return granted
}

// effectiveBurst returns the burst to apply; a bucket smaller than one token would admit
// nothing.
func effectiveBurst(rate, burst float64) float64 {
	if burst <= 0 {
		burst = rate
	}
	return max(burst, 1)
}

func (q *Quota) takeResult(workspace api.WorkspaceName, rate float64, taken bool) error {
	if taken {
		return nil
	}
	err := fault.New(api.KindWorkspaceLimit, "workspace %q exceeds its limit of %g requests per second", workspace, rate)
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

// bucket returns the bucket of a workspace, creating it if needed.
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
	b.lastUsed = now
	return b
}

// bucketIdleTime is the time after which an unused bucket may be removed. Most have refilled
// by then.
const bucketIdleTime = 10 * time.Minute

// sweep removes buckets that have been idle for bucketIdleTime.
func (q *Quota) sweep(now time.Time) {
	if len(q.buckets) < max(q.nextSweep, minSweepBuckets) {
		return
	}
	for name, b := range q.buckets {
		if now.Sub(b.lastUsed) >= bucketIdleTime {
			delete(q.buckets, name)
		}
	}
	q.nextSweep = 2 * len(q.buckets)
}

func (b *quotaBucket) takeHome(now time.Time, rate, burst float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.home.refill(now, rate, burst)
	return b.home.take()
}

// takeGranted takes a token of the last grant. Without one it returns a channel to wait for,
// or the channel of a new grant request, which the caller must make.
func (b *quotaBucket) takeGranted(now time.Time, rate, burst, hosts float64) (taken bool, wait <-chan struct{}, request chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Sub(b.grantedAt) > grantLifetime {
		b.granted = 0
	}
	switch {
	case b.granted >= 1:
		b.granted--
		return true, nil, nil
	case now.Before(b.fallbackUntil):
		b.fallback.refill(now, rate/hosts, max(burst/hosts, 1))
		return b.fallback.take(), nil, nil
	case b.grantDone != nil:
		b.waiters++
		return false, b.grantDone, nil
	case now.Before(b.refusedUntil):
		return false, nil, nil
	}
	b.grantDone = make(chan struct{})
	return false, nil, b.grantDone
}

// request asks the home host for enough tokens for the waiting requests and the next
// grantPeriod. It holds no lock while it waits for the response, and each workspace has at
// most one grant request in flight.
func (q *Quota) request(ctx context.Context, workspace api.WorkspaceName, b *quotaBucket, rate float64, done chan struct{}) {
	b.mu.Lock()
	want := max(rate/q.hosts()*grantPeriod.Seconds(), float64(b.waiters+1))
	b.waiters = 0
	b.mu.Unlock()
	// The grant also serves other requests, so it must not end with this caller's context.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), grantTimeout)
	defer cancel()
	tokens, err := q.Grant(ctx, workspace, want)
	now := q.now()
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case err != nil:
		b.fallbackUntil = now.Add(fallbackPeriod)
	default:
		b.granted, b.grantedAt = b.granted+tokens, now
		if b.granted < 1 {
			b.refusedUntil = now.Add(refusalBackoff)
		}
	}
	b.grantDone = nil
	close(done)
}
