// Package planner plans the fleet: the roles of engines, the number and price
// class of backend servers, and the placement of models, versions and
// adapters. It does no I/O and reads no clock: it takes tables and a time and
// returns actions.
package planner

import (
	"fmt"
	"time"

	"github.com/redwingpath/redwingpath/pkg/engine"
	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/platform"
)

// PurposeKind is the reason why the planner drains an engine.
type PurposeKind string

// Kinds of purposes.
const (
	PurposeNone    PurposeKind = ""
	PurposeRelease PurposeKind = "release"
	PurposeRole    PurposeKind = "role"
	PurposeModel   PurposeKind = "model"
)

// Purpose is the change that an engine is drained for. The caller stores it
// with the drain and returns it in the engine's row, so that the planner keeps
// no state about changes in progress.
type Purpose struct {
	Kind    PurposeKind `json:"kind"`
	Role    engine.Role `json:"role,omitempty"`
	Model   string      `json:"model,omitempty"`
	Version string      `json:"version,omitempty"`
}

// Engine is a row of the engine table.
type Engine struct {
	ID         model.BackendID
	Pool       model.PoolName
	DataCentre model.DataCentreID
	Kind       platform.BackendKind
	Role       engine.Role
	Model      string
	Version    string
	Adapters   []string
	// Live is set while the engine serves; otherwise it is starting or leaving.
	Live bool
	// Starting is set while the engine is ordered and not live yet.
	Starting bool
	// Busy is set while the engine has an open intent or executes an order.
	Busy bool
	// Drain is set while the planner drains the engine.
	Drain Purpose
	// OperatorDrain is set while an operator drains the engine. The planner
	// starts no change on it.
	OperatorDrain bool
	// Requests is the number of requests running or queued on the engine.
	Requests int
}

// usable reports whether the engine takes new requests and can be given an
// order.
func (e *Engine) usable() bool {
	return e.Live && !e.Busy && !e.OperatorDrain && e.Drain.Kind == PurposeNone
}

// Profile is the speed of one engine of a pool.
type Profile struct {
	// PrefillTokensPerS is the prefill rate of an engine that does nothing else.
	PrefillTokensPerS float64
	// StepBaseMS and StepPerRunningMS give the duration of a decode step: the
	// base plus an increment for each running request.
	StepBaseMS       float64
	StepPerRunningMS float64
	MaxRunning       int
}

// Load is the load of a pool in tokens per second.
type Load struct {
	// PrefillTokens counts the prompt tokens that are not cached.
	PrefillTokens float64
	// LongTokens is the part of PrefillTokens in prompts with more uncached
	// tokens than Settings.LongPromptThreshold. Mixed engines are slow to
	// prefill them.
	LongTokens   float64
	OutputTokens float64
}

// addScaledNonNegative adds factor times the other load and raises negative
// results to 0.
func (l Load) addScaledNonNegative(other Load, factor float64) Load {
	return Load{
		PrefillTokens: max(0, l.PrefillTokens+factor*other.PrefillTokens),
		LongTokens:    max(0, l.LongTokens+factor*other.LongTokens),
		OutputTokens:  max(0, l.OutputTokens+factor*other.OutputTokens),
	}
}

// ShopLoad is the load that a shop generates while it is open.
type ShopLoad struct {
	Shop model.Shop
	Load Load
}

// Pool is a row of the pool table: the wanted configuration and the
// measurements.
type Pool struct {
	Config  model.Pool
	Profile Profile
	// Load is the load since the last tick, summed over all hosts.
	Load Load
	// LongPromptTokens is the typical number of uncached tokens of the prompts
	// in Load.LongTokens. 0 means twice Settings.LongPromptThreshold.
	LongPromptTokens float64
	// CachedShare is the share of the prompt tokens that engines found in their
	// caches.
	CachedShare float64
	// ResumableShare is the share of the load that may run on preemptible
	// servers.
	ResumableShare float64
	Shops          []ShopLoad
	// Model and Version are what the pool's engines should run. With an empty
	// Model, engines keep what they run.
	Model   string
	Version string
	// Adapters maps each adapter to the number of engines that should have it.
	Adapters map[string]int
}

// Input is the data that one tick plans from.
type Input struct {
	Now         time.Time
	Pools       []Pool
	Engines     []Engine
	DataCentres []model.DataCentreID
	// WithoutPreemptible holds the data centres that recently reclaimed their
	// preemptible servers or refuse orders for them.
	WithoutPreemptible map[model.DataCentreID]bool
	Weights            platform.WeightStoreStatus
}

type ActionKind string

// Kinds of actions.
const (
	ActionEngineOrder  ActionKind = "engine_order"
	ActionBackendOrder ActionKind = "backend_order"
	ActionDrain        ActionKind = "drain"
	ActionUndrain      ActionKind = "undrain"
)

// Action is one planned change. The caller fills in the order identifiers, the
// host and the fencing token.
type Action struct {
	Kind    ActionKind             `json:"kind"`
	Backend model.BackendID        `json:"backend,omitempty"`
	Engine  *engine.Order          `json:"engine,omitempty"`
	Order   *platform.BackendOrder `json:"order,omitempty"`
	Purpose Purpose                `json:"purpose,omitzero"`
	// Reason is shown to operators.
	Reason string `json:"reason"`
}

// String formats the action on one line.
func (a Action) String() string {
	return fmt.Sprintf("%s %s: %s", a.Kind, a.Backend, a.Reason)
}
