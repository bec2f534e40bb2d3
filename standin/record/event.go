// Package record records what the simulated components receive and do. Checkers
// know the behaviour of the components only from these events.
package record

import (
	"encoding/json"
	"net/http"

	"github.com/redwingpath/redwingpath/pkg/model"
)

// Kind is the type of an event.
type Kind string

// Kinds of events. A Received event holds all headers of a request and precedes
// every other event about that request.
const (
	Received       Kind = "received"        // an HTTP request arrived
	Answered       Kind = "answered"        // the handler of a request returned; Status and Detail describe the result
	RunStarted     Kind = "run_started"     // an engine began to compute a request
	RunEnded       Kind = "run_ended"       // an engine ended a request; Detail is one of the End constants
	Executed       Kind = "executed"        // a plain service executed a call; Detail names the operation
	OrderAccepted  Kind = "order_accepted"  // an engine accepted an order; Body is engine.Order
	OrderApplied   Kind = "order_applied"   // an engine began to execute an order; Body is engine.Order
	OrderEnded     Kind = "order_ended"     // an engine ended an order; Body is engine.Order, Detail its state
	OrderRefused   Kind = "order_refused"   // an engine refused an order; Body is engine.Order
	BackendOrdered Kind = "backend_ordered" // the platform accepted an order or refused it, with the reason in Detail; Body is platform.BackendOrder
	UsageAccepted  Kind = "usage_accepted"  // the platform accepted a usage report; Body is platform.UsageReport
	UsageRefused   Kind = "usage_refused"   // the platform refused a usage report for the reason in Detail; Body is platform.UsageReport
	Appended       Kind = "appended"        // a log entry was appended; Offset is set and Body holds the entry
	BackendState   Kind = "backend_state"   // a backend server changed its state; Body is platform.Backend
	Crashed        Kind = "crashed"         // a backend server crashed
	FaultSet       Kind = "fault_set"       // a fault was injected or cleared; Path and Body are those of the admin request
)

// Ends of a run, in Event.Detail.
const (
	EndComplete  = "complete"  // all output tokens were produced
	EndCancelled = "cancelled" // the client cancelled the request or disconnected
	EndCut       = "cut"       // a crash, a role change, a model load or the stop of the engine ended it
)

// Event describes one thing that a component received or did.
type Event struct {
	// Seq counts the events of a deployment from 1.
	Seq uint64 `json:"seq"`
	// TimeNS is the time in Unix nanoseconds.
	TimeNS int64 `json:"time_ns"`
	Kind   Kind  `json:"kind"`
	// Component is "platform" or the identifier of a backend server.
	Component string      `json:"component"`
	Method    string      `json:"method,omitempty"`
	Path      string      `json:"path,omitempty"`
	Query     string      `json:"query,omitempty"`
	Header    http.Header `json:"header,omitempty"`
	// RequestID and Organisation are the values of the request's headers.
	RequestID    model.RequestID      `json:"request_id,omitempty"`
	Organisation model.OrganisationID `json:"organisation,omitempty"`
	// CallTag is the client's tag in the request text; see the function CallTag.
	CallTag string `json:"call_tag,omitempty"`
	// IdempotencyKey is the value of the request's header.
	IdempotencyKey string          `json:"idempotency_key,omitempty"`
	Status         int             `json:"status,omitempty"`
	Offset         model.Offset    `json:"offset,omitempty"`
	Body           json.RawMessage `json:"body,omitempty"`
	// From and To delimit the output tokens that a run produced: from position
	// From up to but not including To.
	From   int    `json:"from,omitempty"`
	To     int    `json:"to,omitempty"`
	Detail string `json:"detail,omitempty"`
}
