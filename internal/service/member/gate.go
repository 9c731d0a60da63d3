package member

import (
	"math/rand/v2"
	"runtime"
	"sync/atomic"

	"redwingloft/internal/data/document"
	"redwingloft/internal/helper/fault"
	"redwingloft/pkg/api"
)

// view is the state that Gate checks at the start of a request. It is immutable.
type view struct {
	snapshot *document.Snapshot
	// held maps the pipelines that moved to another version to the revision of their last move.
	held map[pipelineKey]api.Revision
	// holdAllUntil is a revision; all pipelines are held until its handover is complete. The first
	// snapshot of a host sets it, and one that skips revisions, because their moves are unknown.
	holdAllUntil api.Revision
}

// pipelineKey identifies a pipeline of a workspace.
type pipelineKey struct {
	workspace api.WorkspaceName
	pipeline  api.PipelineName
}

// requiredRevision returns the revision whose handover must be complete before the pipeline may start.
func (v *view) requiredRevision(p pipelineKey) api.Revision {
	if p.pipeline == "" {
		return 0
	}
	return max(v.holdAllUntil, v.held[p])
}

// counterStripes is the number of cache lines among which request starts are counted.
const counterStripes = 16

// startCounter counts the request starts in progress, so that a change can wait for those
// that began before it. Each start counts in one of two sets; wait switches new starts
// to the other set, so that it ends even under constant load.
type startCounter struct {
	epoch atomic.Uint32
	sets  [2][counterStripes]paddedCounter
}

// paddedCounter is a counter that fills a cache line of its own.
type paddedCounter struct {
	atomic.Int64
	_ [56]byte
}

func (r *startCounter) enter() *paddedCounter {
	c := &r.sets[r.epoch.Load()&1][rand.Uint32()%counterStripes]
	c.Add(1)
	return c
}

// wait returns when every start that was in progress when it was called has ended.
func (r *startCounter) wait() {
	for range r.sets {
		set := &r.sets[(r.epoch.Add(1)-1)&1]
		for i := range set {
			for set[i].Load() != 0 {
				runtime.Gosched()
			}
		}
	}
}

// startResult is the result of one attempt to start a request.
type startResult int

const (
	startAllowed startResult = iota
	// startOutdated means that a newer revision is active.
	startOutdated
	// startRetry means that the view changed during the attempt.
	startRetry
	// startNotFresh means that the host is isolated or has no snapshot yet.
	startNotFresh
	// startHeld means that the request has to wait for a handover or for its snapshot.
	startHeld
	// startDraining means that the host starts no more requests.
	startDraining
)

// closedChannel returns the channel for a request that may be tried again at once.
func closedChannel() <-chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}

// Gate is called right before a request of a pipeline starts under a revision, and does not
// block. It returns nil if the request may start; it then runs under that revision to its end.
// Otherwise it returns an error, or a channel that is closed when the request may be
// tried again with the revision that is active by then. With an empty pipeline name the
// request waits for no handover.
func (s *Service) Gate(workspace api.WorkspaceName, name api.PipelineName, revision api.Revision) (wait <-chan struct{}, err error) {
	p := pipelineKey{workspace, name}
	for {
		switch s.tryStart(p, revision) {
		case startAllowed:
			return nil, nil
		case startOutdated:
			return closedChannel(), nil
		case startNotFresh:
			return nil, isolatedError()
		case startDraining:
			return nil, fault.New(api.KindDraining, "this host is draining")
		case startHeld:
			if changed := s.waitForChange(p, revision); changed != nil {
				return changed, nil
			}
		case startRetry:
		}
	}
}

// tryStart makes one attempt to start. While counted in activeStarts, it loads the view,
// checks it and loads it again. Apply stores the new view first, then waits for the
// counted starts, and acknowledges last. So a start that saw the old view has ended
// before the acknowledgement, and one that is counted later sees the new view.
func (s *Service) tryStart(p pipelineKey, revision api.Revision) startResult {
	c := s.activeStarts.enter()
	defer c.Add(-1)
	v := s.view.Load()
	switch {
	case s.closed.Load():
		return startDraining
	case v == nil:
		return startNotFresh
	case revision < v.snapshot.Revision:
		return startOutdated
	case revision > v.snapshot.Revision:
		// The snapshot is active, but Apply has not stored its view yet.
		return startHeld
	case s.Standalone:
		return startAllowed
	}
	waits := uint64(v.requiredRevision(p)) > s.complete.Load()
	// The clock is read last, so that a pause before it can't hide the end of freshness.
	fresh := s.isFresh()
	switch {
	case s.view.Load() != v:
		// The freshness just read may belong to the newer revision.
		return startRetry
	case !fresh:
		return startNotFresh
	case waits:
		return startHeld
	}
	return startAllowed
}

// waitForChange returns the channel that is closed at the next change of the gate, or nil
// if the start is no longer held.
func (s *Service) waitForChange(p pipelineKey, revision api.Revision) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.tryStart(p, revision) != startHeld {
		return nil
	}
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	s.Metrics.Counter("handover.waits").Inc(1)
	s.waitingSince = append(s.waitingSince, s.now())
	return s.changed
}

// Apply makes a snapshot the one that Gate checks, waits until no request can start under
// an older one, and acknowledges it.
func (s *Service) Apply(snapshot *document.Snapshot) {
	s.applyMu.Lock()
	defer s.applyMu.Unlock()
	old := s.view.Load()
	if old != nil && old.snapshot.Revision >= snapshot.Revision {
		return
	}
	s.view.Store(s.nextView(old, snapshot))
	s.activeStarts.wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.acked = max(s.acked, snapshot.Revision)
	s.promotePendingEvidence()
	s.updateHandover()
	s.notifyWaiters()
}

// nextView returns the view of a snapshot that follows old.
func (s *Service) nextView(old *view, snapshot *document.Snapshot) *view {
	v := &view{snapshot: snapshot, held: map[pipelineKey]api.Revision{}}
	if old == nil || snapshot.Revision != old.snapshot.Revision+1 {
		v.holdAllUntil = snapshot.Revision
		return v
	}
	v.holdAllUntil = old.holdAllUntil
	complete := api.Revision(s.complete.Load())
	for p, revision := range old.held {
		if revision > complete {
			v.held[p] = revision
		}
	}
	for _, p := range movedPipelines(old.snapshot, snapshot) {
		v.held[p] = snapshot.Revision
	}
	return v
}

// movedPipelines returns the pipelines whose serving version differs between the
// snapshots, or that only one of them has.
func movedPipelines(old, snapshot *document.Snapshot) []pipelineKey {
	var moved []pipelineKey
	for name, workspace := range snapshot.Workspaces {
		before := old.Workspaces[name]
		for pipeline, version := range workspace.Versions {
			if before == nil || before.Versions[pipeline] == nil || before.Versions[pipeline].Name != version.Name {
				moved = append(moved, pipelineKey{name, pipeline})
			}
		}
	}
	for name, workspace := range old.Workspaces {
		after := snapshot.Workspaces[name]
		for pipeline := range workspace.Versions {
			if after == nil || after.Versions[pipeline] == nil {
				moved = append(moved, pipelineKey{name, pipeline})
			}
		}
	}
	return moved
}
