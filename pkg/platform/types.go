// Package platform defines the interfaces of the platform, their wire types and
// an HTTP client for them.
package platform

import (
	"time"

	"github.com/redwingpath/redwingpath/pkg/model"
)

// HTTP paths of the platform's interfaces. All bodies are JSON.
const (
	PathLogAppend      = "/v1/log/append"      // POST AppendRequest -> AppendResponse; 429 over the append rate; 503 outage
	PathLogRead        = "/v1/log/read"        // GET ?from=&max=&wait_ms= -> ReadResponse; 410 with ReadResponse.First when from was dropped
	PathBackends       = "/v1/backends"        // GET -> BackendList; may be out of date
	PathBackendOrder   = "/v1/backends/order"  // POST BackendOrder -> BackendOrderStatus; idempotent by order ID
	PathBackendStatus  = "/v1/backends/status" // GET ?order_id= -> BackendOrderStatus; 404 when the order is unknown
	PathHosts          = "/v1/hosts"           // GET -> HostList; may be out of date
	PathUsageReport    = "/v1/usage/report"    // POST UsageReport -> 200; 409 when the window was reported with other figures or the fencing token is old
	PathUsageStatus    = "/v1/usage/status"    // GET ?report_id= -> UsageReport; 404 when unknown
	PathWeights        = "/v1/weights"         // GET -> WeightStoreStatus
	PathWeightsFetch   = "/v1/weights/fetch"   // POST WeightFetch by engines -> 200; 429 over the rate
	MaxLogEntryBytes   = 256 * 1024            // size limit of one log entry
	MaxReadWait        = 10 * time.Second      // longest wait of one log read
	HeaderFencingToken = "X-Platform-Fence"    // fencing token of an order or report
)

// AppendRequest appends one entry to the log.
type AppendRequest struct {
	Data []byte `json:"data"`
}

// AppendResponse holds the offset of the appended entry.
type AppendResponse struct {
	Offset model.Offset `json:"offset"`
}

// LogEntry is one entry of the log.
type LogEntry struct {
	Offset model.Offset `json:"offset"`
	// TimeMS is the platform's wall clock at the append, in Unix milliseconds.
	TimeMS int64  `json:"time_ms"`
	Data   []byte `json:"data"`
}

// ReadResponse holds entries in offset order.
type ReadResponse struct {
	// First is the oldest retained offset; Next is the offset of the next append.
	First   model.Offset `json:"first"`
	Next    model.Offset `json:"next"`
	Entries []LogEntry   `json:"entries"`
}

// BackendKind is the price class of a backend server.
type BackendKind string

// Price classes. Preemptible backend servers may be reclaimed at a few seconds' notice.
const (
	Ordinary    BackendKind = "ordinary"
	Preemptible BackendKind = "preemptible"
)

// BackendState is the lifecycle state of a backend server.
type BackendState string

// States of a backend server.
const (
	BackendStarting BackendState = "starting"
	BackendLive     BackendState = "live"
	BackendLeaving  BackendState = "leaving"
	BackendGone     BackendState = "gone"
)

// Backend is one backend server as the platform lists it.
type Backend struct {
	ID         model.BackendID    `json:"id"`
	Pool       model.PoolName     `json:"pool"`
	PoolKind   model.PoolKind     `json:"pool_kind"`
	Region     model.RegionID     `json:"region"`
	DataCentre model.DataCentreID `json:"data_centre"`
	Kind       BackendKind        `json:"kind"`
	// URL is the base address, http://ip:port.
	URL   string       `json:"url"`
	State BackendState `json:"state"`
	// LeavesAtMS is the time in Unix milliseconds at which a leaving backend server stops. 0 means not known.
	LeavesAtMS int64 `json:"leaves_at_ms,omitempty"`
	// OrderID is the order that created the backend server. Empty for backend
	// servers that existed at the start.
	OrderID string `json:"order_id,omitempty"`
}

// BackendList is a list of backend servers, which may be out of date.
type BackendList struct {
	// AsOfMS is the time of the list in Unix milliseconds.
	AsOfMS   int64     `json:"as_of_ms"`
	Backends []Backend `json:"backends"`
}

// BackendAction is the action that a backend server order requests.
type BackendAction string

// Actions of backend server orders.
const (
	ActionAdd     BackendAction = "add"
	ActionRelease BackendAction = "release"
)

// BackendOrder adds or releases backend servers in a data centre.
type BackendOrder struct {
	// OrderID makes the order idempotent.
	OrderID    string             `json:"order_id"`
	Host       model.HostID       `json:"host"`
	Fence      model.Offset       `json:"fence"`
	Action     BackendAction      `json:"action"`
	Pool       model.PoolName     `json:"pool"`
	DataCentre model.DataCentreID `json:"data_centre"`
	Kind       BackendKind        `json:"kind"`
	// Count of backend servers to add.
	Count int `json:"count,omitempty"`
	// Backend to release.
	Backend model.BackendID `json:"backend,omitempty"`
}

// BackendOrderStatus is the platform's current record of an order.
type BackendOrderStatus struct {
	Order    BackendOrder      `json:"order"`
	Accepted bool              `json:"accepted"`
	Reason   string            `json:"reason,omitempty"`
	Backends []model.BackendID `json:"backends,omitempty"`
}

// HostEntry is one entry host in a HostList.
type HostEntry struct {
	ID      model.HostID `json:"id"`
	Leaving bool         `json:"leaving,omitempty"`
}

// HostList is a list of live and leaving entry hosts, which may be out of date.
type HostList struct {
	AsOfMS int64       `json:"as_of_ms"`
	Hosts  []HostEntry `json:"hosts"`
}

// UsageLine is the usage of one organisation and pool in a window.
type UsageLine struct {
	Organisation model.OrganisationID `json:"organisation"`
	Pool         model.PoolName       `json:"pool"`
	Requests     int64                `json:"requests"`
	PromptTokens int64                `json:"prompt_tokens"`
	CachedTokens int64                `json:"cached_tokens"`
	OutputTokens int64                `json:"output_tokens"`
}

// UsageReport reports one sealed window of one usage shard.
type UsageReport struct {
	// ReportID is derived from shard and window, so that duplicates are recognised.
	ReportID string          `json:"report_id"`
	Shard    model.ShardName `json:"shard"`
	// WindowStartMS is in Unix milliseconds.
	WindowStartMS int64        `json:"window_start_ms"`
	Host          model.HostID `json:"host"`
	Fence         model.Offset `json:"fence"`
	Lines         []UsageLine  `json:"lines"`
}

// WeightFetch asks the weight store for a model, adapter or version.
type WeightFetch struct {
	Backend model.BackendID `json:"backend"`
	Model   model.PoolName  `json:"model"`
	Adapter string          `json:"adapter,omitempty"`
	Version string          `json:"version,omitempty"`
}

// WeightStoreStatus holds the weight store's rate limit and the fetches that may
// start now.
type WeightStoreStatus struct {
	FetchesPerMinute float64 `json:"fetches_per_minute"`
	AvailableNow     float64 `json:"available_now"`
}
