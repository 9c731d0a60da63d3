package pipeline

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"redwingloft/internal/data/document"
	"redwingloft/pkg/api"
)

// maxMeasured bounds the measured stages; configuration changes rename stages in the course of time.
const maxMeasured = 1024

// stageKey identifies what is measured together. Versions that share a stage share its measurement.
type stageKey struct {
	pipeline api.PipelineName
	stage    api.StageName
	group    api.GroupName
	model    api.ModelName
}

// stageLatency holds the measurements of a stage.
type stageLatency struct {
	// whole is the time from the start of the stage to its accepted result.
	whole histogram
	// first is the time from the start of the accepted attempt to its first token,
	// or to its result where it does not stream. Attempts that lost to a hedge are
	// not in it: their time is cut short.
	first histogram
}

// latencies holds the measurements of all stages. Readers load one immutable map. The zero value is empty.
type latencies struct {
	mu    sync.Mutex
	table atomic.Pointer[map[stageKey]*stageLatency]
}

func keyOf(pipeline api.PipelineName, stage *document.Stage) stageKey {
	return stageKey{pipeline, stage.Name, stage.Group, stage.Model}
}

// find returns the measurements of a stage, or nil.
func (l *latencies) find(key stageKey) *stageLatency {
	if table := l.table.Load(); table != nil {
		return (*table)[key]
	}
	return nil
}

// get returns the measurements of a stage and adds it where it is new.
func (l *latencies) get(key stageKey) *stageLatency {
	if known := l.find(key); known != nil {
		return known
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if known := l.find(key); known != nil {
		return known
	}
	next := map[stageKey]*stageLatency{}
	if old := l.table.Load(); old != nil && len(*old) < maxMeasured {
		for k, v := range *old {
			next[k] = v
		}
	}
	next[key] = &stageLatency{}
	l.table.Store(&next)
	return next[key]
}

// p50 returns the median time of a stage, or 0 where it was not measured.
func (l *latencies) p50(pipeline api.PipelineName, stage *document.Stage) time.Duration {
	if known := l.find(keyOf(pipeline, stage)); known != nil {
		return known.whole.P50()
	}
	return 0
}

// Prediction is the expected work of a request.
type Prediction struct {
	// Time is the sum of the stages' median times; 0 where none was measured.
	Time time.Duration
	// Group is the group that the request loads most in relation to its slots.
	Group api.GroupName
	// Share is the share of Time spent in Group, above 0 and at most 1.
	Share float64
}

// Predict returns the expected work of a request from its first stage on.
func (x *Executor) Predict(request *Request) Prediction {
	stages := request.Version.Stages
	prediction := Prediction{Group: stages[len(stages)-1].Group, Share: 1}
	most, loaded := 0.0, time.Duration(0)
	for i := request.First; i < len(stages); i++ {
		prediction.Time += x.latency.p50(request.Pipeline, &stages[i])
		inGroup := time.Duration(0)
		for j := request.First; j < len(stages); j++ {
			if stages[j].Group == stages[i].Group {
				inGroup += x.latency.p50(request.Pipeline, &stages[j])
			}
		}
		if load := float64(inGroup) / float64(max(request.Snapshot.Slots[stages[i].Group], 1)); load > most {
			most, loaded, prediction.Group = load, inGroup, stages[i].Group
		}
	}
	if loaded > 0 {
		prediction.Share = float64(loaded) / float64(prediction.Time)
	}
	return prediction
}

// stageContext bounds a stage: it gets the time left less the median time of the
// later stages, and at least its own p95.
func (r *stageRun) stageContext(ctx context.Context) (context.Context, context.CancelFunc) {
	deadline, bounded := ctx.Deadline()
	if !bounded {
		return context.WithCancel(ctx)
	}
	later := time.Duration(0)
	stages := r.request.Version.Stages
	for i := r.index + 1; i < len(stages); i++ {
		later += r.executor.latency.p50(r.request.Pipeline, &stages[i])
	}
	if later == 0 {
		return context.WithCancel(ctx)
	}
	end := deadline.Add(-later)
	if own := time.Now().Add(r.measured.whole.P95()); end.Before(own) {
		end = own
	}
	return context.WithDeadline(ctx, end)
}

// hedgeDelay returns the time after which a hedge is sent, or 0 where too little
// was measured. It is the p95, bounded by four times the median: a straggler that
// serves over 5% of the attempts would otherwise raise the p95 to its own time and
// never be hedged again. The cost weight of the deployment stretches it.
func (r *stageRun) hedgeDelay() time.Duration {
	delay := min(r.measured.first.P95(), maxHedgeMedians*r.measured.first.P50())
	if delay == 0 {
		return 0
	}
	weights := r.request.Snapshot.Document.Weights
	if sum := weights.Attainment + weights.Cost; sum > 0 {
		delay += time.Duration(float64(delay) * weights.Cost / sum)
	}
	return max(delay, minHedgeDelay)
}
