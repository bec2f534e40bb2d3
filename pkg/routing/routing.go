// Package routing selects an engine or plain service for a request. It is pure:
// the caller passes the tables, the time and the random source.
package routing

import (
	"time"

	"github.com/redwingpath/redwingpath/pkg/engine"
	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/platform"
)

// Request is what routing knows of a request.
type Request struct {
	ID           model.RequestID
	Organisation model.OrganisationID
	Pool         model.PoolName
	// Kind of the pool; PoolService requests use only in-flight counts.
	Kind    model.PoolKind
	Adapter string
	Version string
	// PromptTokens and MaxTokens are estimates.
	PromptTokens int
	MaxTokens    int
	// Prefix holds the hashes of engine.PrefixHashes.
	Prefix []uint64
	// Resumable requests may go to preemptible backend servers.
	Resumable bool
	// Exclude lists backend servers that were already tried.
	Exclude []model.BackendID
	// Suspect is the digest of a request that was running when an engine crashed,
	// empty for others. It decides the engine, so that requests that were together
	// at one crash are not together at the next.
	Suspect string
	// KVFrom is the engine that holds the KV cache of the whole prompt after a
	// hand-over from prefill to decode. Empty for a request not yet prefilled.
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
	// drained, unhealthy or carries out an order.
	Available bool
	// Reason tells why it is not available.
	Reason   string
	Adapters []string
	Version  string
	Load     engine.LoadReport
	// LoadAt is the local time for which Load holds.
	LoadAt time.Time
}

// Decision is the result of a selection.
type Decision struct {
	Backend model.BackendID
	URL     string
	// Predicted time to first token.
	Predicted time.Duration
	// Waiting is the part of Predicted that is due to work ahead of the request.
	// The rest is its own prefill and the network.
	Waiting time.Duration
	// TokenGap is the predicted time between tokens. 0 when it is not known.
	TokenGap time.Duration
	// CachedTokens is the part of the prompt that is expected in the cache.
	CachedTokens int
	// HandOver is set when the engine only prefills: after the first token the
	// caller may export the KV cache and select again with KVFrom set.
	HandOver bool
	// Reason is shown by explain.
	Reason string
}

// Feedback reports what became of a decision.
type Feedback struct {
	Request Request
	Backend model.BackendID
	// Sent is zero when the request was selected for but never sent, such as
	// after a refusal by admission. Nothing is learned from it then.
	Sent time.Time
	// FirstToken is zero when none came.
	FirstToken   time.Time
	Done         time.Time
	CachedTokens int
	OutputTokens int
	Failed       bool
	Crashed      bool
}

// Router selects backend servers. Implementations are safe for concurrent use.
type Router interface {
	// Select picks a backend server and counts the request against it until
	// Done. It returns ErrNoBackend when none is available.
	Select(r *Request, now time.Time) (Decision, error)
	// FirstToken tells that the first token of a request has come.
	FirstToken(id model.RequestID, b model.BackendID, now time.Time)
	// Done ends the request on the backend server.
	Done(f *Feedback)
}
