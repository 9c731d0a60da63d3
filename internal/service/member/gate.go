package member

import (
	"math/rand/v2"
	"runtime"
	"sync/atomic"

	"redwingloft/internal/data/document"
	"redwingloft/internal/helper/fault"
	"redwingloft/pkg/api"
)

// view is what a request start looks at. It is immutable.
type view struct {
	snapshot *document.Snapshot
	// held maps the pairs that moved to the revision of their last move.
	held map[pair]api.Revision
	// all holds every pair until the handover of that revision is complete. It is
	// the revision of the first snapshot of a host and of one that skips others,
	// whose moves are unknown here.
	all api.Revision
}

type pair struct {
	workspace api.WorkspaceName
	pipeline  api.PipelineName
}

// needs returns the revision whose handover has to be complete before the pair may start.
func (v *view) needs(p pair) api.Revision {
	if p.pipeline == "" {
		return 0
	}
	return max(v.all, v.held[p])
}

// stripes spreads the counters of readers over cache lines.
const stripes = 16

// readers counts the request starts in progress, so that a change can wait for
// those that began before it. Each start counts in one of two sets; a wait turns
// new starts to the other set, so that it ends under constant load.
type readers struct {
	epoch atomic.Uint32
	sets  [2][stripes]counter
}

type counter struct {
	atomic.Int64
	_ [56]byte
}

func (r *readers) enter() *counter {
	c := &r.sets[r.epoch.Load()&1][rand.Uint32()%stripes]
	c.Add(1)
	return c
}

// wait returns when every start that was in progress at its call has ended.
func (r *readers) wait() {
	for range r.sets {
		set := &r.sets[(r.epoch.Add(1)-1)&1]
		for i := range set {
			for set[i].Load() != 0 {
				runtime.Gosched()
			}
		}
	}
}

// verdict is the result of one attempt to start.
type verdict int

const (
	passed verdict = iota
	// outdated means that a newer revision is in force.
	outdated
	retry
	stale
	held
	closing
)

// atOnce returns a channel for a start that may try again without a wait.
func atOnce() <-chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}

// Gate is asked right before a request of a pipeline starts under a revision, and does
// not block. It returns nil where the request has started, and it then runs under
// that revision to its end. Otherwise it returns an error, or a channel that is
// closed when the request may try again, with the revision in force by then. An empty
// pipeline name waits for no handover.
func (s *Service) Gate(workspace api.WorkspaceName, name api.PipelineName, revision api.Revision) (wait <-chan struct{}, err error) {
	p := pair{workspace, name}
	for {
		switch s.try(p, revision) {
		case passed:
			return nil, nil
		case outdated:
			return atOnce(), nil
		case stale:
			return nil, isolated()
		case closing:
			return nil, fault.New(api.KindDraining, "this host is leaving")
		case held:
			if changed := s.hold(p, revision); changed != nil {
				return changed, nil
			}
		case retry:
		}
	}
}

// try makes one attempt to start. It loads the view, checks it, and loads it
// again, all while counted in starts; Apply stores the new view first, then waits
// for the counted starts, and acknowledges last. A start that saw the old view has
// therefore ended before the acknowledgement, and one that is counted later sees
// the new view.
func (s *Service) try(p pair, revision api.Revision) verdict {
	c := s.starts.enter()
	defer c.Add(-1)
	v := s.view.Load()
	switch {
	case s.closed.Load():
		return closing
	case v == nil:
		return stale
	case revision < v.snapshot.Revision:
		return outdated
	case revision > v.snapshot.Revision:
		// The snapshot is on its way from the holder to this view.
		return held
	case s.Alone:
		return passed
	}
	waits := uint64(v.needs(p)) > s.complete.Load()
	// The clock is read last, so that a pause before it can't hide the end of freshness.
	fresh := s.isFresh()
	switch {
	case s.view.Load() != v:
		// The freshness just read may belong to the newer revision.
		return retry
	case !fresh:
		return stale
	case waits:
		return held
	}
	return passed
}

// hold returns the channel that is closed at the next change of the gate, or nil
// where the start is no longer held.
func (s *Service) hold(p pair, revision api.Revision) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.try(p, revision) != held {
		return nil
	}
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	s.Metrics.Counter("handover.waits").Inc(1)
	s.holds = append(s.holds, s.now())
	return s.changed
}

// Apply puts a snapshot in force at the gate, waits until no request can start
// under an older one, and acknowledges it.
func (s *Service) Apply(snapshot *document.Snapshot) {
	s.applyMu.Lock()
	defer s.applyMu.Unlock()
	old := s.view.Load()
	if old != nil && old.snapshot.Revision >= snapshot.Revision {
		return
	}
	s.view.Store(s.next(old, snapshot))
	s.starts.wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.acked = max(s.acked, snapshot.Revision)
	s.promote()
	s.settle()
	s.notify()
}

// next returns the view of a snapshot that follows old.
func (s *Service) next(old *view, snapshot *document.Snapshot) *view {
	v := &view{snapshot: snapshot, held: map[pair]api.Revision{}}
	if old == nil || snapshot.Revision != old.snapshot.Revision+1 {
		v.all = snapshot.Revision
		return v
	}
	v.all = old.all
	complete := api.Revision(s.complete.Load())
	for p, revision := range old.held {
		if revision > complete {
			v.held[p] = revision
		}
	}
	for _, p := range moves(old.snapshot, snapshot) {
		v.held[p] = snapshot.Revision
	}
	return v
}

// moves returns the pairs that another version, or none, serves in the newer snapshot.
func moves(old, snapshot *document.Snapshot) []pair {
	var moved []pair
	for name, workspace := range snapshot.Workspaces {
		before := old.Workspaces[name]
		for pipeline, version := range workspace.Versions {
			if before == nil || before.Versions[pipeline] == nil || before.Versions[pipeline].Name != version.Name {
				moved = append(moved, pair{name, pipeline})
			}
		}
	}
	for name, workspace := range old.Workspaces {
		after := snapshot.Workspaces[name]
		for pipeline := range workspace.Versions {
			if after == nil || after.Versions[pipeline] == nil {
				moved = append(moved, pair{name, pipeline})
			}
		}
	}
	return moved
}
