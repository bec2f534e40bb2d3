// Package routing selects an engine or plain service for a request. It does no
// I/O and reads no clock: the caller passes table updates, times and the seed
// of the random source.
package routing

import (
	"time"

	"github.com/redwingpath/redwingpath/pkg/engine"
	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/platform"
)

// Request holds the properties of a request that routing and admission use.
type Request struct {
	ID           model.RequestID
	Organisation model.OrganisationID
	Pool         model.PoolName
	// Kind is the kind of the pool. PoolService requests are balanced by
	// in-flight counts only.
	Kind    model.PoolKind
	Adapter string
	Version string
	// PromptTokens and MaxTokens are estimates.
	PromptTokens int
	MaxTokens    int
	// Prefix holds the block hashes of the prompt from engine.PrefixHashes.
	Prefix []uint64
	// Resumable requests may run on preemptible backend servers.
	Resumable bool
	// Exclude lists backend servers that were already tried.
	Exclude []model.BackendID
	// SuspectDigest is the digest of a request that was running when an engine
	// crashed, and empty for others. The engine of a suspect is chosen by this
	// digest, so that requests that shared a crashed engine are spread over
	// different engines.
	SuspectDigest string
	// KVFrom is the engine that holds the KV cache of the whole prompt when
	// decoding is handed over to another engine. It is empty for a request that
	// is not prefilled yet.
	KVFrom model.BackendID
}

// Backend is a backend server in the routing tables.
type Backend struct {
	ID         model.BackendID
	Pool       model.PoolName
	PoolKind   model.PoolKind
	DataCentre model.DataCentreID
	Kind       platform.BackendKind
	URL        string
	// Available is false while the backend server is starting, leaving,
	// drained, unhealthy or executing an order.
	Available bool
	// Reason explains why it is not available.
	Reason   string
	Adapters []string
	Version  string
	Load     engine.LoadReport
	// LoadAt is the local time at which Load was measured.
	LoadAt time.Time
}

// Decision is the result of a selection.
type Decision struct {
	Backend model.BackendID
	URL     string
	// Predicted is the predicted time to first token.
	Predicted time.Duration
	// Waiting is the part of Predicted that is caused by work queued ahead of
	// the request. The rest is its own prefill, the network delay and the transfer
	// of its KV cache.
	Waiting time.Duration
	// TokenGap is the predicted time between tokens, or 0 if unknown.
	TokenGap time.Duration
	// CachedTokens is the number of prompt tokens expected in the cache.
	CachedTokens int
	// HandOver is set when the engine only prefills: after the first token the
	// caller may export the KV cache and select again with KVFrom set.
	HandOver bool
	// Reason explains the selection to operators.
	Reason string
}

// Feedback reports the outcome of a decision.
type Feedback struct {
	Request Request
	Backend model.BackendID
	// Sent is zero when the request was never sent to the selected backend
	// server, for example after a rejection by admission. Estimates then stay
	// unchanged.
	Sent time.Time
	// FirstToken is zero when no token arrived.
	FirstToken   time.Time
	Done         time.Time
	CachedTokens int
	OutputTokens int
	Failed       bool
	Crashed      bool
}

// Router selects backend servers. Implementations are safe for concurrent use.
type Router interface {
	// Select picks a backend server and counts the request as in flight on it
	// until Done. It returns ErrNoBackend when none is available.
	Select(r *Request, now time.Time) (Decision, error)
	// FirstToken records that the first token of a request has arrived.
	FirstToken(id model.RequestID, b model.BackendID, now time.Time)
	// Done records the end of a request on its backend server.
	Done(f *Feedback)
}
