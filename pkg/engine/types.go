// Package engine holds the wire types of model engines and an HTTP client for them.
package engine

import (
	"github.com/redwingpath/redwingpath/pkg/model"
)

// HTTP paths of an engine.
const (
	PathChat        = "/v1/chat/completions" // POST ChatRequest -> server-sent events of ChatChunk, or ChatResponse
	PathCancel      = "/v1/cancel"           // POST CancelRequest
	PathLoad        = "/v1/load"             // GET -> LoadReport; the report may be out of date
	PathCacheEvents = "/v1/cache/events"     // GET ?from= -> CacheEvents; events arrive late, and some are lost
	PathOrders      = "/v1/orders"           // POST Order -> OrderStatus; 409 for an old fencing token if the engine checks it
	PathOrderStatus = "/v1/orders/status"    // GET ?order_id= -> OrderStatus; 404 when unknown
	PathState       = "/v1/state"            // GET -> State, the current state
	PathKVExport    = "/v1/kv/export"        // POST KVExport -> KVBlob
	PathKVImport    = "/v1/kv/import"        // POST KVBlob
)

// Headers between a host and a backend server.
const (
	// HeaderRequestID carries the request ID; backend servers return it.
	HeaderRequestID = "X-Request-Id"
	// HeaderOrganisation carries the organisation, which replaces the caller's key.
	HeaderOrganisation = "X-Organisation"
	// HeaderPriority carries the priority; a larger number is served first.
	HeaderPriority = "X-Priority"
	// HeaderIdempotencyKey is forwarded to plain services.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// BlockTokens is the number of tokens in one block of an engine's prefix cache.
const BlockTokens = 2000

// Message is one chat message.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatRequest is a chat completions request.
type ChatRequest struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	MaxTokens int       `json:"max_tokens,omitempty"`
	Stream    bool      `json:"stream,omitempty"`
	// Adapter and Version must be loaded on the engine.
	Adapter string `json:"adapter,omitempty"`
	Version string `json:"version,omitempty"`
	// ResumeFrom is the number of output tokens that the caller has already
	// received, and ResumeText is their text. The engine continues with the next
	// token.
	ResumeFrom int    `json:"resume_from,omitempty"`
	ResumeText string `json:"resume_text,omitempty"`
}

// ChatChunk is one event of a streamed response.
type ChatChunk struct {
	// ID is the request ID.
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	Model   string        `json:"model"`
	Choices []ChunkChoice `json:"choices"`
	// Index is the position of this chunk's token in the output, from 0.
	Index int    `json:"token_index"`
	Usage *Usage `json:"usage,omitempty"`
}

// ChunkChoice is the only choice of a chunk.
type ChunkChoice struct {
	Index        int     `json:"index"`
	Delta        Delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

// Delta is the part of the message that a chunk adds.
type Delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// ChatResponse is a response that is not streamed.
type ChatResponse struct {
	ID      string           `json:"id"`
	Object  string           `json:"object"`
	Created int64            `json:"created"`
	Model   string           `json:"model"`
	Choices []ResponseChoice `json:"choices"`
	Usage   Usage            `json:"usage"`
}

// ResponseChoice is the only choice of a response.
type ResponseChoice struct {
	Index        int     `json:"index"`
	Message      Message `json:"message"`
	FinishReason string  `json:"finish_reason"`
}

// Usage holds the token counts of one request.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
	// CachedTokens is the number of prompt tokens served from the prefix cache.
	CachedTokens int `json:"cached_tokens"`
}

// CancelRequest cancels a running request.
type CancelRequest struct {
	RequestID model.RequestID `json:"request_id"`
}

// Role is the inference phase that an engine serves.
type Role string

// Roles of engines.
const (
	RoleMixed   Role = "mixed"
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)

// LoadReport is an engine's load at the time TimeMS, which lies in the past.
type LoadReport struct {
	Backend model.BackendID `json:"backend"`
	// TimeMS is when the load was measured, in Unix milliseconds of the engine's clock.
	TimeMS               int64   `json:"time_ms"`
	Role                 Role    `json:"role"`
	Running              int     `json:"running"`
	Queued               int     `json:"queued"`
	QueuedPrefillTokens  int     `json:"queued_prefill_tokens"`
	RunningTokens        int     `json:"running_tokens"`
	PrefillTokensPerS    float64 `json:"prefill_tokens_per_s"`
	DecodeStepMS         float64 `json:"decode_step_ms"`
	CacheBlocks          int     `json:"cache_blocks"`
	CacheBlocksLimit     int     `json:"cache_blocks_limit"`
	MaxRunning           int     `json:"max_running"`
	RoleChangeInProgress bool    `json:"role_change_in_progress,omitempty"`
}

// CacheEvent reports that a prefix block was stored or evicted.
type CacheEvent struct {
	Seq uint64 `json:"seq"`
	// Hash identifies the prefix that ends with this block; see PrefixHashes.
	Hash   uint64 `json:"hash"`
	Stored bool   `json:"stored"`
}

// CacheEvents is a batch of cache events. A gap in Seq means lost events.
type CacheEvents struct {
	Next   uint64       `json:"next"`
	Events []CacheEvent `json:"events"`
}

// OrderKind is the action that an order requests.
type OrderKind string

// Kinds of orders.
const (
	OrderSetRole       OrderKind = "set_role"
	OrderLoadModel     OrderKind = "load_model"
	OrderLoadAdapter   OrderKind = "load_adapter"
	OrderUnloadAdapter OrderKind = "unload_adapter"
)

// Order is an order to an engine.
type Order struct {
	OrderID string       `json:"order_id"`
	Host    model.HostID `json:"host"`
	Fence   model.Offset `json:"fence"`
	Kind    OrderKind    `json:"kind"`
	Role    Role         `json:"role,omitempty"`
	Model   string       `json:"model,omitempty"`
	Adapter string       `json:"adapter,omitempty"`
	Version string       `json:"version,omitempty"`
}

// OrderStatus is the processing state of an order on an engine.
type OrderStatus struct {
	Order  Order  `json:"order"`
	State  string `json:"state"` // accepted, done, failed, refused
	Reason string `json:"reason,omitempty"`
}

// State is the current role, model and adapters of an engine.
type State struct {
	Backend  model.BackendID `json:"backend"`
	Role     Role            `json:"role"`
	Model    string          `json:"model"`
	Version  string          `json:"version"`
	Adapters []string        `json:"adapters,omitempty"`
	// Fence is the highest fencing token seen.
	Fence model.Offset `json:"fence"`
	// Changing is true while the engine executes an order.
	Changing bool `json:"changing,omitempty"`
}

// KVExport requests the export of the KV cache of a running request.
type KVExport struct {
	RequestID model.RequestID `json:"request_id"`
}

// KVBlob is a reference to an exported KV cache; engines, including simulated
// ones, transfer the bytes directly between each other.
type KVBlob struct {
	RequestID model.RequestID `json:"request_id"`
	Source    string          `json:"source"`
	Hashes    []uint64        `json:"hashes"`
	Tokens    int             `json:"tokens"`
	Bytes     int64           `json:"bytes"`
}
