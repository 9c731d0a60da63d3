package stage

import (
	"math"
	"time"

	"redwingloft/pkg/api"
)

const (
	// usualTime is the time constant of the usual demand of a workspace, which is much longer than a
	// burst.
	usualTime = 60 * time.Second
	// shareSlack is the factor by which a workspace may exceed its share of the accepted work before
	// its jobs give way, since arrivals are random.
	shareSlack = 1.25
	// minUsualShare is the usual demand that each workspace is assumed to have, as a share of the
	// mean, so that a new or small one gets at least a quarter of the rate at which all are served.
	minUsualShare = 0.25
	// shareMinJobs is the number of accepted jobs, in the decaying count, up to which a workspace is
	// within its share: a few jobs are no flood.
	shareMinJobs = 4
	// maxShares bounds the workspaces that are remembered.
	maxShares = 4096
)

// shareKey identifies the jobs of a workspace with one rank.
type shareKey struct {
	rank      int
	workspace api.WorkspaceName
}

// share is the demand and the accepted work of a workspace: seconds of the scarcest service that its
// jobs need, as decaying sums. jobs is the decaying number of accepted jobs.
type share struct {
	usual, accepted, jobs float64
	at                    time.Time
}

// decayed returns the share decayed to now.
func (s share) decayed(now time.Time) share {
	since := now.Sub(s.at).Seconds()
	short := math.Exp(-since / loadDecayTime.Seconds())
	return share{s.usual * math.Exp(-since/usualTime.Seconds()), s.accepted * short, s.jobs * short, now}
}

// shares holds the shares of workspaces and, by rank, their sums and the time of the last refusal.
type shares struct {
	byWorkspace map[shareKey]share
	totals      map[int]share
	counts      map[int]int
	refusedAt   map[int]time.Time
}

func newShares() *shares {
	return &shares{byWorkspace: map[shareKey]share{}, totals: map[int]share{}, counts: map[int]int{}, refusedAt: map[int]time.Time{}}
}

// contended reports whether jobs of a rank were refused lately.
func (s *shares) contended(rank int, now time.Time) bool {
	refused, found := s.refusedAt[rank]
	return found && now.Sub(refused) <= loadDecayTime
}

// demand counts the work of a new job. While jobs are refused, it does not count towards the usual
// demand, so that a flood does not raise its own share.
func (s *shares) demand(key shareKey, work float64, now time.Time) {
	known, found := s.byWorkspace[key]
	if !found {
		if len(s.byWorkspace) >= maxShares {
			s.prune(now)
		}
		s.counts[key.rank]++
	}
	known, total := known.decayed(now), s.totals[key.rank].decayed(now)
	if !s.contended(key.rank, now) {
		known.usual += work
		total.usual += work
	}
	s.byWorkspace[key], s.totals[key.rank] = known, total
}

// accept counts the work of an accepted job.
func (s *shares) accept(key shareKey, work float64, now time.Time) {
	known, total := s.byWorkspace[key].decayed(now), s.totals[key.rank].decayed(now)
	known.accepted += work
	known.jobs++
	total.accepted += work
	s.byWorkspace[key], s.totals[key.rank] = known, total
}

// exceeded reports whether a workspace has got more than its share of the work that was accepted for a
// rank while jobs of that rank are refused. Shares are in proportion to the usual demand, so that all
// keep the same rate in a burst of all, and one that sends many times its usual gets no more.
func (s *shares) exceeded(key shareKey, now time.Time) bool {
	if !s.contended(key.rank, now) || s.counts[key.rank] < 2 {
		return false
	}
	known, total := s.byWorkspace[key].decayed(now), s.totals[key.rank].decayed(now)
	if known.jobs < shareMinJobs || total.usual <= 0 {
		return false
	}
	usual := max(known.usual, minUsualShare*total.usual/float64(s.counts[key.rank]))
	return known.accepted > shareSlack*usual/total.usual*total.accepted
}

// prune forgets the workspaces with the least demand.
func (s *shares) prune(now time.Time) {
	var sum float64
	for _, known := range s.byWorkspace {
		sum += known.decayed(now).usual
	}
	mean := sum / float64(len(s.byWorkspace))
	for key, known := range s.byWorkspace {
		known = known.decayed(now)
		if known.usual > mean {
			continue
		}
		delete(s.byWorkspace, key)
		s.counts[key.rank]--
		total := s.totals[key.rank].decayed(now)
		total.usual -= known.usual
		s.totals[key.rank] = total
	}
}
