// Package enginesim simulates a model engine: continuous batching with separate
// prefill and decode cost, a prefix cache, priorities, resume, orders and faults.
package enginesim

import (
	"time"

	"github.com/redwingpath/redwingpath/pkg/engine"
	"github.com/redwingpath/redwingpath/pkg/model"
)

// Config holds the settings of one simulated engine. Zero values mean the defaults.
type Config struct {
	// Address to listen on. Default 127.0.0.1:0.
	Address string `json:"address,omitempty"`
	// PrefillTokensPerS is the prefill speed in tokens per second. Default 20000.
	PrefillTokensPerS float64 `json:"prefill_tokens_per_s,omitempty"`
	// DecodeStepMS is the time of one decode step in milliseconds. Default 10.
	DecodeStepMS float64 `json:"decode_step_ms,omitempty"`
	// PrefillChunkTokens bounds the prompt tokens in one step of a mixed engine. Default 2000.
	PrefillChunkTokens int `json:"prefill_chunk_tokens,omitempty"`
	// MaxRunning bounds the requests in one batch. Default 32.
	MaxRunning int `json:"max_running,omitempty"`
	// MaxQueued bounds the waiting requests; more are rejected with 429. Default 1000.
	MaxQueued int `json:"max_queued,omitempty"`
	// CacheBlocks is the size of the prefix cache in blocks of engine.BlockTokens. Default 200.
	CacheBlocks int `json:"cache_blocks,omitempty"`
	// KVBytesPerToken is the size of the KV cache per token in bytes. Default 131072.
	KVBytesPerToken int64 `json:"kv_bytes_per_token,omitempty"`
	// KVBytesPerS is the speed of a KV import. Default 10 GB/s.
	KVBytesPerS float64 `json:"kv_bytes_per_s,omitempty"`
	// LoadLagMS is the age of load reports in milliseconds. Default 300.
	LoadLagMS int64 `json:"load_lag_ms,omitempty"`
	// EventLagMS is the delay of cache events in milliseconds. Default 500.
	EventLagMS int64 `json:"event_lag_ms,omitempty"`
	// EventLoss is the probability that a cache event is lost, 0 to 1. Default 0.
	EventLoss float64 `json:"event_loss,omitempty"`
	// ChecksFencing makes the engine refuse orders with an old fencing token.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
	// RoleChangeMS is how long the engine is out of service for a role change, in milliseconds. Default 3000.
	RoleChangeMS int64 `json:"role_change_ms,omitempty"`
	// LoadModelMS is the time to load a model or version once its weights are fetched, in milliseconds. Default 3000.
	LoadModelMS int64 `json:"load_model_ms,omitempty"`
	// LoadAdapterMS is the time to load an adapter in milliseconds; the engine keeps serving meanwhile. Default 500.
	LoadAdapterMS int64 `json:"load_adapter_ms,omitempty"`
	// RestartMS is the time in milliseconds from a crash until the engine listens again.
	// 0 means the default of 2000; a negative value means that it never restarts.
	RestartMS int64 `json:"restart_ms,omitempty"`
	// CrashMarker in a request text crashes the engine when it starts to run the request. Default "CRASH-ENGINE".
	CrashMarker string `json:"crash_marker,omitempty"`
	// Role of the engine at its start. Default mixed.
	Role engine.Role `json:"role,omitempty"`
	// Version of the model at the start.
	Version string `json:"version,omitempty"`
	// Adapters loaded at the start.
	Adapters []string `json:"adapters,omitempty"`
	// Seed of the generator for random faults.
	Seed uint64 `json:"seed,omitempty"`
}

// Identity identifies an engine's backend server and its model.
type Identity struct {
	Backend model.BackendID
	Model   model.PoolName
	// WeightStoreURL is the platform's base URL. If it is empty, models and
	// adapters are loaded without a fetch.
	WeightStoreURL string
	// FetchAtStart fetches the model from the weight store before the engine serves requests.
	FetchAtStart bool
}

// Defaults of Config.
const (
	defaultAddress            = "127.0.0.1:0"
	defaultPrefillTokensPerS  = 20_000
	defaultDecodeStepMS       = 10
	defaultPrefillChunkTokens = 2000
	defaultMaxRunning         = 32
	defaultMaxQueued          = 1000
	defaultCacheBlocks        = 200
	defaultKVBytesPerToken    = 128 * 1024
	defaultKVBytesPerS        = 10e9
	defaultLoadLagMS          = 300
	defaultEventLagMS         = 500
	defaultRoleChangeMS       = 3000
	defaultLoadModelMS        = 3000
	defaultLoadAdapterMS      = 500
	defaultRestartMS          = 2000
	defaultCrashMarker        = "CRASH-ENGINE"
)

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

func (c *Config) setDefaults() {
	setDefault(&c.Address, defaultAddress)
	setDefault(&c.PrefillTokensPerS, defaultPrefillTokensPerS)
	setDefault(&c.DecodeStepMS, defaultDecodeStepMS)
	setDefault(&c.PrefillChunkTokens, defaultPrefillChunkTokens)
	setDefault(&c.MaxRunning, defaultMaxRunning)
	setDefault(&c.MaxQueued, defaultMaxQueued)
	setDefault(&c.CacheBlocks, defaultCacheBlocks)
	setDefault(&c.KVBytesPerToken, defaultKVBytesPerToken)
	setDefault(&c.KVBytesPerS, defaultKVBytesPerS)
	setDefault(&c.LoadLagMS, defaultLoadLagMS)
	setDefault(&c.EventLagMS, defaultEventLagMS)
	setDefault(&c.RoleChangeMS, defaultRoleChangeMS)
	setDefault(&c.LoadModelMS, defaultLoadModelMS)
	setDefault(&c.LoadAdapterMS, defaultLoadAdapterMS)
	setDefault(&c.RestartMS, defaultRestartMS)
	setDefault(&c.CrashMarker, defaultCrashMarker)
	setDefault(&c.Role, engine.RoleMixed)
}

// Faults selects the faults to inject into an engine. The zero value means no fault.
type Faults struct {
	// LateMS delays every computed response, in milliseconds.
	LateMS int64 `json:"late_ms,omitempty"`
	// MismatchProbability is the probability, 0 to 1, that a response carries the
	// ID and text of another request.
	MismatchProbability float64 `json:"mismatch_probability,omitempty"`
	// RefuseChat responds to every chat request with 503 and does not run it.
	RefuseChat bool `json:"refuse_chat,omitempty"`
	// DropReports responds to load and cache event reads with 503.
	DropReports bool `json:"drop_reports,omitempty"`
	// OrderDelayMS delays orders before they are accepted or refused, in milliseconds.
	OrderDelayMS int64 `json:"order_delay_ms,omitempty"`
	// LoseOrderAnswers drops the responses to the next n orders after the engine accepted or refused them.
	LoseOrderAnswers int `json:"lose_order_answers,omitempty"`
}

func milliseconds(n int64) time.Duration {
	return time.Duration(n) * time.Millisecond
}
