package forward

import (
	"redwingloft/internal/data/fleet"
	"redwingloft/pkg/api"
)

// Explanation reports where a request would go at a moment, and why. Times are in milliseconds.
type Explanation struct {
	Host       api.HostID     `json:"host"`
	DataCentre api.DataCentre `json:"data_centre"`
	Request    api.RequestID  `json:"request"`
	// FixedID is true if the caller gave no request id.
	FixedID bool `json:"fixed_id"`
	// Suspended is true if the host was suspended and waits for a confirmation of what it knows.
	Suspended  bool              `json:"suspended,omitempty"`
	Route      RouteReport       `json:"route"`
	Workspace  api.WorkspaceName `json:"workspace,omitempty"`
	Rank       int               `json:"rank"`
	EngineRank int               `json:"engine_rank"`
	LeftMs     int64             `json:"left_ms"`
	Admission  AdmissionReport   `json:"admission"`
	// Stages is nil if no stage of the request would be run.
	Stages *StageReport `json:"stages,omitempty"`
	// Engines is nil for requests that are not streams.
	Engines *EngineForecastReport `json:"engines,omitempty"`
	// PreferredDataCentre is the data centre that is assumed to hold the results of the stages.
	PreferredDataCentre api.DataCentre    `json:"preferred_data_centre,omitempty"`
	Candidates          []CandidateReport `json:"candidates"`
	Choice              api.UpstreamID    `json:"choice,omitempty"`
	RunnerUp            api.UpstreamID    `json:"runner_up,omitempty"`
}

// RouteReport describes the route that matches.
type RouteReport struct {
	Name       fleet.RouteName `json:"name"`
	Revision   fleet.Revision  `json:"revision"`
	Host       string          `json:"host"`
	PathPrefix string          `json:"path_prefix"`
	Kind       fleet.Kind      `json:"kind"`
	Public     bool            `json:"public"`
	Service    api.ServiceName `json:"service"`
	// Services is the number of services among which the request id chooses.
	Services int `json:"services"`
}

// Verdict is the outcome of the admission.
type Verdict string

// The outcomes of the admission.
const (
	VerdictRun     Verdict = "run"
	VerdictRefused Verdict = "refused"
	// VerdictOther means that another host decides.
	VerdictOther Verdict = "decided by another host"
)

// AdmissionReport tells whether a request would be run.
type AdmissionReport struct {
	Verdict      Verdict  `json:"verdict"`
	Kind         api.Kind `json:"kind,omitempty"`
	Reason       string   `json:"reason,omitempty"`
	RetryAfterMs int64    `json:"retry_after_ms,omitempty"`
}

// StageReport is what a host knows of the admission of the stages.
type StageReport struct {
	Group string `json:"group"`
	// Scheduler is the host that would be asked, and Local is true if it is this host.
	Scheduler api.HostID `json:"scheduler"`
	Local     bool       `json:"local"`
	// Accepted, OnTimeMs, LateMs and Reason are the decision of this host; Accepted is nil if it does not
	// schedule the group.
	Accepted *bool  `json:"accepted,omitempty"`
	Reason   string `json:"reason,omitempty"`
	OnTimeMs int64  `json:"on_time_ms,omitempty"`
	LateMs   int64  `json:"late_ms,omitempty"`
	TargetMs int64  `json:"target_ms"`
	LeftMs   int64  `json:"left_ms"`
	// Forecasts came with replies of scheduling hosts.
	Forecasts []StageForecastReport `json:"forecasts"`
	// Other is the report of the group that would be asked after a refusal; nil if there is none.
	Other *StageReport `json:"other,omitempty"`
}

// StageForecastReport is a forecast of a group that came with a reply.
type StageForecastReport struct {
	Group    string `json:"group"`
	OnTimeMs int64  `json:"on_time_ms"`
	LateMs   int64  `json:"late_ms"`
	AgeMs    int64  `json:"age_ms"`
	// Refuses is true if the forecast is recent and says that the group would refuse the request.
	Refuses bool `json:"refuses"`
}

// EngineForecastReport is the forecast of the time to the first event with its inputs.
type EngineForecastReport struct {
	// Samples is the number of responses in the last WindowMs, Late the number of those that would be too late for the
	// request, from LateEngines candidates.
	Samples     int   `json:"samples"`
	WindowMs    int64 `json:"window_ms"`
	Late        int   `json:"late"`
	LateEngines int   `json:"late_engines"`
	// NewestMs is the age of the newest response.
	NewestMs     int64 `json:"newest_ms"`
	ReadMs       int64 `json:"read_ms"`
	PrepareMs    int64 `json:"prepare_ms"`
	WaitMs       int64 `json:"wait_ms"`
	FirstEventMs int64 `json:"first_event_ms"`
	LeftMs       int64 `json:"left_ms"`
	Refuses      bool  `json:"refuses"`
}

// CandidateReport describes one registered upstream of the service.
type CandidateReport struct {
	Upstream   api.UpstreamID `json:"upstream"`
	DataCentre api.DataCentre `json:"data_centre"`
	State      fleet.State    `json:"state"`
	// LeftOut is why the upstream gets no request now; empty if it may get one.
	LeftOut []Obstacle `json:"left_out,omitempty"`
	// LastResort is why the upstream is chosen only if no other one is left; empty if there is no reason.
	LastResort []Obstacle `json:"last_resort,omitempty"`
	Running    int        `json:"running"`
	// EntryAgeMs is the age of the entry as this host learned it. OutcomeAgeMs, LoadAgeMs and PaceAgeMs
	// are the ages of the last response, load report and pace; nil if there are none.
	EntryAgeMs   *int64 `json:"entry_age_ms,omitempty"`
	OutcomeAgeMs *int64 `json:"outcome_age_ms,omitempty"`
	LoadAgeMs    *int64 `json:"load_age_ms,omitempty"`
	PaceAgeMs    *int64 `json:"pace_age_ms,omitempty"`
	// ColdLeftMs is the time for which the upstream stays cold, and ColdSlots the number of requests that
	// this host may send it in each ColdIntervalMs; 0 and nil if it is warm or tolerates any rate.
	ColdLeftMs     int64 `json:"cold_left_ms,omitempty"`
	ColdSlots      *int  `json:"cold_slots,omitempty"`
	ColdIntervalMs int64 `json:"cold_interval_ms,omitempty"`
	// RateLimit is the rate limit that the upstream names, and RateShare the part of this host, in requests
	// a second; nil if it names none.
	RateLimit *float64 `json:"rate_limit,omitempty"`
	RateShare *float64 `json:"rate_share,omitempty"`
	// Terms are the terms of the cost in the order in which they are combined; Cost is the lowest for the
	// choice. Both are empty for upstreams that the choice does not consider.
	Terms []Term   `json:"terms,omitempty"`
	Cost  *float64 `json:"cost,omitempty"`
}

// Obstacle is a reason why an upstream gets no request, and the time until it ends; 0 if that is unknown.
type Obstacle struct {
	Reason string `json:"reason"`
	LeftMs int64  `json:"left_ms,omitempty"`
}

// Reasons why an upstream is left out or is a last resort.
const (
	reasonLeaving    = "leaving"
	reasonEvacuated  = "evacuated data centre"
	reasonSuspended  = "host was suspended"
	reasonPaused     = "paused"
	reasonCold       = "cold limit used up"
	reasonRate       = "rate limit used up"
	reasonShared     = "rate limit shared by other hosts"
	reasonCooldown   = "cooldown"
	reasonLossy      = "recent losses, request may run once"
	reasonQuarantine = "quarantine of a prompt part"
)

// Term is one term of a cost.
type Term struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	// Unit is "ms", or empty for counts and factors.
	Unit string `json:"unit,omitempty"`
}
