package settings

import (
	"time"

	"github.com/redwingpath/redwingpath/pkg/model"
)

// Scheduling holds the targets and weights of routing, admission and planning.
type Scheduling struct {
	// FirstTokenTarget is the time to first token that 95% of requests must
	// meet. Unit: duration. Default: 740ms.
	FirstTokenTarget time.Duration `json:"first_token_target"`
	// TokenGapTarget is the time between two tokens that 95% of requests must
	// meet. Unit: duration. Default: 28ms.
	TokenGapTarget time.Duration `json:"token_gap_target"`
	// Weights holds the relative weight of each metric. They are validated but
	// not yet used; see docs/status.md.
	Weights Weights `json:"weights"`
	// Work holds the cost of a request in work units.
	Work Work `json:"work"`
	// Distances lists the one-way latencies between data centres. They are
	// validated but not yet used: routing uses DefaultDistance. Default: none.
	Distances []Distance `json:"distances"`
	// DefaultDistance is the one-way latency between two data centres that are
	// not listed. Unit: duration. Default: 1ms.
	DefaultDistance time.Duration `json:"default_distance"`
	// LoadPoll is the period of load queries to each engine. Unit: duration. Default: 200ms.
	LoadPoll time.Duration `json:"load_poll"`
	// CachePoll is the period of cache event queries to each engine. Unit: duration. Default: 500ms.
	CachePoll time.Duration `json:"cache_poll"`
	// FleetPoll is the period of queries for the platform's lists of backend
	// servers and hosts. Unit: duration. Default: 500ms.
	FleetPoll time.Duration `json:"fleet_poll"`
	// PlanInterval is the period of the planner. Unit: duration. Default: 1s.
	PlanInterval time.Duration `json:"plan_interval"`
	// PlanHorizon is the time over which the gain of a planned change must exceed
	// its cost. Unit: duration. Default: 5m.
	PlanHorizon time.Duration `json:"plan_horizon"`
	// RoleChangesPerHorizon bounds the role changes of a pool in one horizon.
	// Unit: changes. Default: 4.
	RoleChangesPerHorizon int `json:"role_changes_per_horizon"`
	// OrderLeadTime is the time from the order of a backend server until it
	// accepts requests. Unit: duration. Default: 30s.
	OrderLeadTime time.Duration `json:"order_lead_time"`
	// ReleaseHold is how long backend servers must be surplus before they are
	// released. Unit: duration. Default: 1m30s.
	ReleaseHold time.Duration `json:"release_hold"`
	// StreamGapFactor times TokenGapTarget, and at least StreamGapMinimum, is
	// the gap after which a stream is resumed on a new connection. Unit:
	// factor. Default: 20.
	StreamGapFactor float64 `json:"stream_gap_factor"`
	// StreamGapMinimum is the shortest gap after which a stream counts as lost.
	// Unit: duration. Default: 2s.
	StreamGapMinimum time.Duration `json:"stream_gap_minimum"`
}

// Weights holds the relative weight of each metric in decisions. Only the ratios
// matter. Unit: factor.
type Weights struct {
	// Goodput is the goodput during workload shifts. Default: 1.
	Goodput float64 `json:"goodput"`
	// RoleChanges counts changes of engine roles. Default: 1.
	RoleChanges float64 `json:"role_changes"`
	// WorstServed is the service level of the worst-served organisation. Default: 1.
	WorstServed float64 `json:"worst_served"`
	// Cost is the cost of backend servers relative to the service. Default: 1.
	Cost float64 `json:"cost"`
	// UsageReports counts late or wrong usage reports. Default: 1.
	UsageReports float64 `json:"usage_reports"`
	// PreemptibleShare is the share of work on preemptible backend servers. Default: 1.
	PreemptibleShare float64 `json:"preemptible_share"`
	// WrongRejections counts requests rejected although within the rate. Default: 1.
	WrongRejections float64 `json:"wrong_rejections"`
}

// Work holds the cost of a request in work units, which count against the rate
// of its organisation.
type Work struct {
	// PerRequest is the cost of any request. Unit: work units. Default: 1.
	PerRequest float64 `json:"per_request"`
	// PerPromptToken is the extra cost of a prompt token. Unit: work units. Default: 0.
	PerPromptToken float64 `json:"per_prompt_token"`
	// PerOutputToken is the extra cost of an output token. Unit: work units. Default: 0.
	PerOutputToken float64 `json:"per_output_token"`
	// OutputWeight is the engine time of an output token relative to that of a
	// prompt token, for fair sharing. Unit: factor. Default: 12.
	OutputWeight float64 `json:"output_weight"`
}

// Distance is the latency between two data centres, the same in both directions.
type Distance struct {
	// From is one data centre. Required.
	From model.DataCentreID `json:"from"`
	// To is the other data centre. Required.
	To model.DataCentreID `json:"to"`
	// Milliseconds is the one-way latency. Unit: ms. Default: 0.
	Milliseconds float64 `json:"ms"`
}

func defaultScheduling() Scheduling {
	return Scheduling{
		FirstTokenTarget: 740 * time.Millisecond,
		TokenGapTarget:   28 * time.Millisecond,
		Weights: Weights{
			Goodput: 1, RoleChanges: 1, WorstServed: 1, Cost: 1,
			UsageReports: 1, PreemptibleShare: 1, WrongRejections: 1,
		},
		Work:                  Work{PerRequest: 1, OutputWeight: 12},
		DefaultDistance:       time.Millisecond,
		LoadPoll:              200 * time.Millisecond,
		CachePoll:             500 * time.Millisecond,
		FleetPoll:             500 * time.Millisecond,
		PlanInterval:          time.Second,
		PlanHorizon:           5 * time.Minute,
		RoleChangesPerHorizon: 4,
		OrderLeadTime:         30 * time.Second,
		ReleaseHold:           90 * time.Second,
		StreamGapFactor:       20,
		StreamGapMinimum:      2 * time.Second,
	}
}

// Latency returns the one-way latency between two data centres.
func (s *Scheduling) Latency(a, b model.DataCentreID) time.Duration {
	if a == b {
		return 0
	}
	for _, d := range s.Distances {
		if (d.From == a && d.To == b) || (d.From == b && d.To == a) {
			return time.Duration(d.Milliseconds * float64(time.Millisecond))
		}
	}
	return s.DefaultDistance
}

// StreamGap returns the time without a token after which a stream is resumed on
// a new connection.
func (s *Scheduling) StreamGap() time.Duration {
	expected := time.Duration(s.StreamGapFactor * float64(s.TokenGapTarget))
	return max(s.StreamGapMinimum, expected)
}

// Cost returns the work units of a request with these token counts.
func (w *Work) Cost(promptTokens, outputTokens int) float64 {
	return w.PerRequest +
		w.PerPromptToken*float64(promptTokens) +
		w.PerOutputToken*float64(outputTokens)
}
