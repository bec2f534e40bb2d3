package planner

import "time"

// Settings of a Planner. Zero fields take their defaults.
type Settings struct {
	// TokenGapLimit is the target for the time between tokens. Default 28 ms.
	TokenGapLimit time.Duration
	// FirstTokenLimit is the target for the time to first token. Default 740 ms.
	FirstTokenLimit time.Duration
	// LongPromptThreshold is the number of uncached tokens from which a prompt
	// counts as long. Default 3000.
	LongPromptThreshold float64
	// TargetUtilisation is the target utilisation that the fleet is sized for. The
	// remainder absorbs queueing and forecast errors. Default 0.72.
	TargetUtilisation float64
	// MaxPrefillUtilisation bounds the utilisation that prefill engines are
	// expected to reach, since a prompt that queues misses its target.
	// Default 0.7.
	MaxPrefillUtilisation float64
	// LevelTimeConstant is the smoothing time constant of the load estimate.
	// Default 8 s.
	LevelTimeConstant time.Duration
	// TrendTimeConstant is the smoothing time constant of the load trend.
	// Default 25 s.
	TrendTimeConstant time.Duration
	// RoleChangeLead is the time until a role change takes effect. Default 8 s.
	RoleChangeLead time.Duration
	// RoleChangeCost is the time for which a role change takes an engine out of
	// service, including the drain before it. Default 20 s.
	RoleChangeCost time.Duration
	// RoleHorizon is the time over which the gain of a change must exceed its
	// cost, and within which at most MaxRoleChanges changes start. Defaults 120 s
	// and 6.
	RoleHorizon    time.Duration
	MaxRoleChanges int
	// SufficientInTime is the sufficient share of load in time: roles are changed
	// only if a smaller share is estimated to meet its targets. Default 0.85.
	SufficientInTime float64
	// OrderLead is the time from an order to a live backend server.
	// Default 150 s.
	OrderLead time.Duration
	// ReleaseHold is how long servers must be surplus before they are released.
	// Default 90 s.
	ReleaseHold time.Duration
	// MaxOrdersPerTick bounds the backend servers of a pool that are added or
	// drained for release in one tick. Default 4.
	MaxOrdersPerTick int
	// PreemptiblePrice is the price of a preemptible server relative to an
	// ordinary one. Default 0.35.
	PreemptiblePrice float64
	// MinOrdinaryShare is the least share of the needed servers that are
	// ordinary; work that is not resumable may raise it. Default 0.25.
	MinOrdinaryShare float64
	// MaxModelChangeShare bounds the share of a pool's engines that change model
	// or version at once; one engine is always allowed. Default 0.15.
	MaxModelChangeShare float64
}

func orDefault[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}

func (s Settings) withDefaults() Settings {
	orDefault(&s.TokenGapLimit, 28*time.Millisecond)
	orDefault(&s.FirstTokenLimit, 740*time.Millisecond)
	orDefault(&s.LongPromptThreshold, 3000)
	orDefault(&s.TargetUtilisation, 0.72)
	orDefault(&s.MaxPrefillUtilisation, 0.7)
	orDefault(&s.LevelTimeConstant, 8*time.Second)
	orDefault(&s.TrendTimeConstant, 25*time.Second)
	orDefault(&s.RoleChangeLead, 8*time.Second)
	orDefault(&s.RoleChangeCost, 20*time.Second)
	orDefault(&s.RoleHorizon, 120*time.Second)
	orDefault(&s.MaxRoleChanges, 6)
	orDefault(&s.SufficientInTime, 0.85)
	orDefault(&s.OrderLead, 150*time.Second)
	orDefault(&s.ReleaseHold, 90*time.Second)
	orDefault(&s.MaxOrdersPerTick, 4)
	orDefault(&s.PreemptiblePrice, 0.35)
	orDefault(&s.MinOrdinaryShare, 0.25)
	orDefault(&s.MaxModelChangeShare, 0.15)
	return s
}
