package pipeline

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"redwingloft/internal/data/document"
	"redwingloft/pkg/api"
)

// maxTrackedStages limits the stages with measurements, as configuration changes rename stages over time.
const maxTrackedStages = 1024

// stageKey identifies the measurements of a stage. Versions that share a stage share its measurements.
type stageKey struct {
	pipeline api.PipelineName
	stage    api.StageName
	group    api.GroupName
	model    api.ModelName
}

// stageLatency holds the latency histograms of a stage.
type stageLatency struct {
	// total is the time from the start of the stage to its accepted result.
	total histogram
	// firstToken is the time from the start of the accepted attempt to its first token,
	// or to its result without streaming. Attempts that lost to a hedge are not
	// recorded, as they are canceled early.
	firstToken histogram
}

// latencyTable holds the measurements of all stages in an immutable map. The zero value is empty.
type latencyTable struct {
	mu    sync.Mutex
	table atomic.Pointer[map[stageKey]*stageLatency]
}

func newStageKey(pipeline api.PipelineName, stage *document.Stage) stageKey {
	return stageKey{pipeline, stage.Name, stage.Group, stage.Model}
}

// find returns the measurements of a stage, or nil.
func (l *latencyTable) find(key stageKey) *stageLatency {
	if table := l.table.Load(); table != nil {
		return (*table)[key]
	}
	return nil
}

// getOrCreate returns the measurements of a stage and adds the stage if it is new.
func (l *latencyTable) getOrCreate(key stageKey) *stageLatency {
	if existing := l.find(key); existing != nil {
		return existing
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if existing := l.find(key); existing != nil {
		return existing
	}
	next := map[stageKey]*stageLatency{}
	if old := l.table.Load(); old != nil && len(*old) < maxTrackedStages {
		for k, v := range *old {
			next[k] = v
		}
	}
	next[key] = &stageLatency{}
	l.table.Store(&next)
	return next[key]
}

// p50 returns the median time of a stage, or 0 without measurements.
func (l *latencyTable) p50(pipeline api.PipelineName, stage *document.Stage) time.Duration {
	if measured := l.find(newStageKey(pipeline, stage)); measured != nil {
		return measured.total.P50()
	}
	return 0
}

// Prediction is the expected duration of a request and its most loaded group.
type Prediction struct {
	// Duration is the sum of the stages' median times; 0 without measurements.
	Duration time.Duration
	// Group is the group with the most expected time per slot.
	Group api.GroupName
	// Share is the fraction of Duration spent in Group, above 0 and at most 1.
	Share float64
}

// Predict returns the expected duration of a request, starting with Request.FirstStage.
func (x *Executor) Predict(request *Request) Prediction {
	stages := request.Version.Stages
	prediction := Prediction{Group: stages[len(stages)-1].Group, Share: 1}
	maxLoad, maxLoadTime := 0.0, time.Duration(0)
	for i := request.FirstStage; i < len(stages); i++ {
		prediction.Duration += x.latency.p50(request.Pipeline, &stages[i])
		groupTime := time.Duration(0)
		for j := request.FirstStage; j < len(stages); j++ {
			if stages[j].Group == stages[i].Group {
				groupTime += x.latency.p50(request.Pipeline, &stages[j])
			}
		}
		if load := float64(groupTime) / float64(max(request.Snapshot.GroupSlots[stages[i].Group], 1)); load > maxLoad {
			maxLoad, maxLoadTime, prediction.Group = load, groupTime, stages[i].Group
		}
	}
	if maxLoadTime > 0 {
		prediction.Share = float64(maxLoadTime) / float64(prediction.Duration)
	}
	return prediction
}

// stageContext sets the deadline of a stage to the remaining time less the median
// times of the later stages, but leaves at least its own p95.
func (r *stageRun) stageContext(ctx context.Context) (context.Context, context.CancelFunc) {
	deadline, bounded := ctx.Deadline()
	if !bounded {
		return context.WithCancel(ctx)
	}
	laterTime := time.Duration(0)
	stages := r.request.Version.Stages
	for i := r.index + 1; i < len(stages); i++ {
		laterTime += r.executor.latency.p50(r.request.Pipeline, &stages[i])
	}
	if laterTime == 0 {
		return context.WithCancel(ctx)
	}
	end := deadline.Add(-laterTime)
	if ownEnd := time.Now().Add(r.latency.total.P95()); end.Before(ownEnd) {
		end = ownEnd
	}
	return context.WithDeadline(ctx, end)
}

// hedgeDelay returns the time after which a hedge is sent, or 0 without enough
// measurements. It is the p95, but at most four times the median: a slow upstream
// with more than 5% of the attempts would otherwise raise the p95 to its own latency
// and never be hedged again. The delay grows with the cost weight of the deployment.
func (r *stageRun) hedgeDelay() time.Duration {
	delay := min(r.latency.firstToken.P95(), maxHedgeMedians*r.latency.firstToken.P50())
	if delay == 0 {
		return 0
	}
	weights := r.request.Snapshot.Document.Weights
	if sum := weights.Attainment + weights.Cost; sum > 0 {
		delay += time.Duration(float64(delay) * weights.Cost / sum)
	}
	return max(delay, minHedgeDelay)
}
