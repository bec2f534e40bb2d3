// Package placement decides which backend server runs a request. For engines it predicts
// the time to the first event from the work that all hosts have sent, the parts of the
// prompt that an engine has cached, and the ways to obtain the rest: prefilling it on a
// decode engine, fetching it from another engine's cache, or prefilling it on a prefill
// engine and transferring the KV cache. The package reads no clock and does no I/O; callers
// pass the time.
package placement

import (
	"time"

	"github.com/redwingpath/redwingpath/pkg/model"
)

// Stage is the phase of inference that an engine performs.
type Stage int

// Stages. Servers of plain services, which have no engines, use StageNone.
const (
	StageNone Stage = iota
	StagePrefill
	StageDecode
)

// String implements fmt.Stringer.
func (s Stage) String() string {
	switch s {
	case StagePrefill:
		return "prefill"
	case StageDecode:
		return "decode"
	}
	return ""
}

// Backend is a backend server as described by its registration.
type Backend struct {
	ID model.BackendID
	// Incarnation tells the lives of a server with the same ID apart.
	Incarnation int64
	Service     model.PoolName
	Address     string
	DataCentre  model.DataCentreID
	Stage       Stage
	Slots       int
	// Spot servers are cheap and may be reclaimed.
	Spot bool
	// Leaving servers get no new work.
	Leaving bool
	// Engine is nil for plain services.
	Engine *EngineTraits
	// Start is nil for servers that are sent requests at any rate from their start on.
	Start *StartTraits
}

// StartTraits describes how a server that has started or recovered may be used.
type StartTraits struct {
	// ColdPerSecond is the rate that the server tolerates while it is cold, 0 for no bound.
	// Unit: requests per second.
	ColdPerSecond float64
	// FindPace is set if hosts find from the server's answers how fast its share of the
	// requests may grow.
	FindPace bool
}

// EngineTraits describes an engine.
type EngineTraits struct {
	// CacheTokens is the capacity of the KV cache. Unit: tokens.
	CacheTokens int
	// TransferTokensPerMS is the rate of KV cache transfers. Unit: tokens per millisecond.
	TransferTokensPerMS float64
	// LimitMemory is set if requests are placed where they fit in the memory of CacheTokens.
	LimitMemory bool
}

// Part is a segment of a prompt that several requests may share.
type Part struct {
	ID     uint64
	Tokens int
}

// Request is a request to be placed.
type Request struct {
	Service model.PoolName
	// Parts are the segments of the prompt in order. The last one is specific to the
	// request.
	Parts        []Part
	PromptTokens int
	// OutputTokens is the maximum number of output tokens, 0 if not stated.
	OutputTokens int
	// MaxEventGap is the maximum gap between events of a response, 0 if there is no limit.
	// Running responses of other requests are assumed to have the same limit.
	MaxEventGap time.Duration
	// Exclude lists servers that have already failed the request.
	Exclude []model.BackendID
	// Only is the only server that may get the request, empty for no such restriction.
	Only model.BackendID
	// ExcludePrefill excludes plans that use a prefill engine.
	ExcludePrefill bool
	// IgnorePace is set if the request would be refused because of the servers' paces.
	IgnorePace bool
	// trace collects what the decision compares, nil except in Explain.
	trace *trace
}

// Plan describes how a request is served.
type Plan struct {
	// Run is the server that runs the request.
	Run Backend
	// Prefill is the prefill engine that processes the prompt first, or nil.
	Prefill *Backend
	// Fetch is the engine from whose cache missing parts of the prompt are fetched, or nil.
	Fetch *Backend
	// Predicted is the predicted time to the first event.
	Predicted time.Duration
	// Waiting is the part of Predicted that is spent waiting for queued work.
	Waiting time.Duration
	// Prefilled is the part of Predicted until the prompt is prefilled.
	Prefilled time.Duration
	// Uncached is the number of prompt tokens to prefill.
	Uncached int
	// HeldBack is set if servers may have been left out because of their paces.
	HeldBack bool
	// prefillWork is the time that the prefill keeps its engine busy.
	prefillWork time.Duration
	// kvTransfer is the time to transfer the prompt's KV cache from the prefill engine to
	// the engine that runs the request.
	kvTransfer time.Duration
}

// Prefiller returns the server that prefills the prompt.
func (p *Plan) Prefiller() *Backend {
	if p.Prefill != nil {
		return p.Prefill
	}
	return &p.Run
}

// Settings are the parameters of the cost model.
type Settings struct {
	// DataCentre is the host's own data centre.
	DataCentre model.DataCentreID
	// CrossDataCentre is the cost of a call to another data centre, for the round trip and
	// for the request's bytes on the links between data centres. Unit: duration. Default:
	// 6ms.
	CrossDataCentre time.Duration
	// FirstEventDelay is the initial estimate of the time from the end of prefill to the
	// first event. Unit: duration. Default: 60ms.
	FirstEventDelay time.Duration
	// PrefillOverhead is the initial estimate of the part of a prefill call's duration that
	// does not depend on the prompt's length. Unit: duration. Default: 15ms.
	PrefillOverhead time.Duration
	// TransferSetup is the fixed time of a cache transfer. Unit: duration. Default: 6ms.
	TransferSetup time.Duration
	// PrefillRate and DecodeRate are the initial estimates of the prefill rates on prefill
	// and decode engines. Unit: tokens per millisecond. Defaults: 100 and 35.
	PrefillRate, DecodeRate float64
	// WorkWeight is the cost of a millisecond of engine time relative to a millisecond of
	// waiting; engine time delays later requests. Default: 0.7.
	WorkWeight float64
	// DecodeWorkWeight is the same for prefill on a decode engine, which also slows down
	// all running responses. Default: 2.
	DecodeWorkWeight float64
	// EventGapShare is the share of the maximum gap between events that prefill on a decode
	// engine may take without StallPenalty; the rest is for the decode steps themselves.
	// Unit: share. Default: 0.6.
	EventGapShare float64
	// StallPenalty is the cost of each running response on a decode engine where prefill
	// takes more than EventGapShare. Unit: duration. Default: 100ms.
	StallPenalty time.Duration
	// TransferWeight is the cost of a millisecond of copying between caches, in addition to
	// the wait for it, relative to a millisecond of waiting. Default: 1.
	TransferWeight float64
	// HomeShare is the share of the cost of prefilling the shared parts that is subtracted
	// from the cost of their home engine while it is not known to have cached any of them.
	// See homeEngine. Default: 0.5.
	HomeShare float64
	// FailurePenalty is the cost of a server that fails all its requests. Unit: duration.
	// Default: 2s.
	FailurePenalty time.Duration
	// HopPenalty is the cost of the second call that a plan with a prefill engine needs.
	// Unit: duration. Default: 8ms.
	HopPenalty time.Duration
	// Preference is the maximum cost of an engine that other hosts prefer. It stands for
	// the wait due to their requests that this host has not heard of. Unit: duration.
	// Default: 60ms.
	Preference time.Duration
	// PreferenceHosts is the number of other hosts in the data centre from which Preference
	// applies in full; below that it is scaled in proportion. Default: 6.
	PreferenceHosts float64
	// PreferenceReach is the number of hosts between this host and an engine, on the ring of
	// updatePreferences, from which Preference applies in full. Default: 4.
	PreferenceReach float64
	// ColdOvershoot and ColdSlack bound the requests that all hosts together send a cold
	// server in any second: the factor times its rate plus the slack. Defaults: 1, 0.
	ColdOvershoot, ColdSlack float64
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{
		CrossDataCentre:  6 * time.Millisecond,
		FirstEventDelay:  60 * time.Millisecond,
		PrefillOverhead:  15 * time.Millisecond,
		TransferSetup:    6 * time.Millisecond,
		PrefillRate:      100,
		DecodeRate:       35,
		WorkWeight:       0.7,
		DecodeWorkWeight: 2,
		EventGapShare:    0.6,
		StallPenalty:     100 * time.Millisecond,
		TransferWeight:   1,
		HomeShare:        0.5,
		FailurePenalty:   2 * time.Second,
		HopPenalty:       8 * time.Millisecond,
		Preference:       60 * time.Millisecond,
		PreferenceReach:  4,
		PreferenceHosts:  6,
		ColdOvershoot:    1,
	}
}
