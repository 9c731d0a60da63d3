package member

import (
	"context"
	"errors"
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
	retry
	stale
	held
	closing
)

// Gate waits until a request of the workspace and pipeline may start.
func (s *Service) Gate(ctx context.Context, workspace api.WorkspaceName, name api.PipelineName) error {
	_, err := s.Begin(ctx, workspace, name)
	return err
}

// Begin starts a request and returns the snapshot under which it runs to its end.
// It waits while the pipeline of the workspace is handed over between versions. An
// empty pipeline name waits for no handover.
func (s *Service) Begin(ctx context.Context, workspace api.WorkspaceName, name api.PipelineName) (*document.Snapshot, error) {
	p := pair{workspace, name}
	for {
		snapshot, result := s.try(p)
		switch result {
		case passed:
			return snapshot, nil
		case stale:
			return nil, isolated()
		case closing:
			return nil, fault.New(api.KindDraining, "this host is leaving")
		case held:
			if err := s.hold(ctx, p); err != nil {
				return nil, err
			}
		case retry:
		}
	}
}

// try makes one attempt to start. It loads the view, checks it, and loads it
// again, all while counted in starts; apply stores the new view first, then waits
// for the counted starts, and acknowledges last. A start that saw the old view has
// therefore ended before the acknowledgement, and one that is counted later sees
// the new view.
func (s *Service) try(p pair) (*document.Snapshot, verdict) {
	c := s.starts.enter()
	defer c.Add(-1)
	v := s.view.Load()
	switch {
	case s.closed.Load():
		return nil, closing
	case v == nil:
		return nil, stale
	case s.Alone:
		return v.snapshot, passed
	}
	waits := uint64(v.needs(p)) > s.complete.Load()
	// The clock is read last, so that a pause before it can't hide the end of freshness.
	fresh := s.isFresh()
	switch {
	case s.view.Load() != v:
		// The freshness just read may belong to the newer revision.
		return nil, retry
	case !fresh:
		return nil, stale
	case waits:
		return nil, held
	}
	return v.snapshot, passed
}

// hold waits for a change of the gate or the end of ctx.
func (s *Service) hold(ctx context.Context, p pair) error {
	s.Metrics.Counter("handover.waits").Inc(1)
	s.waiting.Add(1)
	start := s.now()
	defer func() {
		s.waiting.Add(-1)
		s.Metrics.Counter("handover.wait_ms").Inc((s.now() - start).Milliseconds())
	}()
	for {
		s.mu.Lock()
		if s.changed == nil {
			s.changed = make(chan struct{})
		}
		changed := s.changed
		s.mu.Unlock()
		if _, result := s.try(p); result != held {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return abandoned(ctx)
		}
	}
}

func abandoned(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return fault.New(api.KindHandover, "the workspace was being handed over between versions until the deadline")
	}
	return fault.WithRun(fault.New(api.KindCallerGone, "the caller left before the start"), api.RunNo)
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
