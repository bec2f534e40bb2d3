// Package logrec defines the records that hosts append to the platform's log:
// the envelope, the bodies and their encoding. One log entry holds a batch of
// records of one host.
package logrec

import (
	"encoding/json"

	"github.com/rotisserie/eris"

	"github.com/redwingpath/redwingpath/pkg/model"
)

// SchemaVersion is the newest record version that this binary writes and reads.
// Records with a newer version are skipped and counted on replay, so that an
// older binary does not misread them during a rolling upgrade.
const SchemaVersion = 1

// Kind is the kind of a record and determines the type of its body.
type Kind string

// Kinds of records, with the types of their bodies. A record under authority is
// valid only if its writer holds the shard that the record names.
const (
	KindJoin               Kind = "join"                // Join
	KindLeave              Kind = "leave"               // Leave
	KindClaim              Kind = "claim"               // Claim
	KindRelease            Kind = "release"             // Release, under authority
	KindConfig             Kind = "config"              // ConfigChange
	KindIntent             Kind = "intent"              // Intent, under authority
	KindOutcome            Kind = "outcome"             // Outcome
	KindUsageBatch         Kind = "usage_batch"         // UsageBatch
	KindUsageSeal          Kind = "usage_seal"          // UsageSeal, under authority
	KindUsageReported      Kind = "usage_reported"      // UsageReported
	KindIdempotencyClaim   Kind = "idempotency_claim"   // IdempotencyClaim
	KindIdempotencyOutcome Kind = "idempotency_outcome" // IdempotencyOutcome
	KindCrash              Kind = "crash"               // Crash
	KindCheckpointChunk    Kind = "checkpoint_chunk"    // CheckpointChunk, under authority
	KindCheckpointDone     Kind = "checkpoint_done"     // CheckpointDone, under authority
)

// Record is one record of the log.
type Record struct {
	Version int `json:"v"`
	// ID is a ULID that is unique over all records. Records with an id that was
	// already read are ignored on replay.
	ID          string            `json:"id"`
	Kind        Kind              `json:"kind"`
	Host        model.HostID      `json:"host"`
	Incarnation model.Incarnation `json:"inc"`
	// Shard and Fence are set on records written under authority: the shard
	// and the offset of the claim by which the writer holds it.
	Shard model.ShardName `json:"shard,omitempty"`
	Fence model.Offset    `json:"fence,omitempty"`
	Body  json.RawMessage `json:"body"`
}

// Join makes the writer a member.
type Join struct {
	PeerAddress string             `json:"peer_address"`
	Region      model.RegionID     `json:"region"`
	DataCentre  model.DataCentreID `json:"data_centre"`
}

// Leave ends the membership of Host. A host writes its own record on a graceful
// shutdown. Another host writes it for a host that the platform lists as gone.
type Leave struct {
	Host        model.HostID      `json:"host"`
	Incarnation model.Incarnation `json:"inc"`
}

// Claim claims a shard. It replaces the claim at offset Supersedes, which is 0
// if the shard was never claimed.
type Claim struct {
	Shard      model.ShardName `json:"shard"`
	Supersedes model.Offset    `json:"supersedes"`
}

// Release ends the writer's authority over a shard.
type Release struct{}

// EntityKind names a configuration table.
type EntityKind string

// Configuration tables.
const (
	EntityOrganisation EntityKind = "organisation"
	EntityKey          EntityKind = "key"
	EntityShop         EntityKind = "shop"
	EntityOffer        EntityKind = "offer"
	EntityRoute        EntityKind = "route"
	EntityPool         EntityKind = "pool"
	EntityDrain        EntityKind = "drain"
)

// Change writes or deletes one configuration entity.
type Change struct {
	Entity EntityKind `json:"entity"`
	ID     string     `json:"id"`
	// Expect is the version (offset of the last change) of the entity that the
	// operator edited, 0 for a new entity. AnyVersion disables the check.
	Expect model.Offset `json:"expect"`
	Delete bool         `json:"delete,omitempty"`
	// Value is the entity as JSON, absent on delete.
	Value json.RawMessage `json:"value,omitempty"`
}

// AnyVersion in Change.Expect matches any version.
const AnyVersion = ^model.Offset(0)

// ConfigChange applies all its changes, or none of them if any is invalid or
// conflicts.
type ConfigChange struct {
	Operator string   `json:"operator"`
	Changes  []Change `json:"changes"`
}

// Intent announces an order before it is sent.
type Intent struct {
	// OrderID is the id that the order itself carries.
	OrderID string `json:"order_id"`
	// Backend is the engine that the order is for, empty for orders to the platform.
	Backend model.BackendID `json:"backend,omitempty"`
	// Order is the order as JSON: engine.Order or platform.BackendOrder.
	Order json.RawMessage `json:"order"`
	// Reason is shown by the operator command explain.
	Reason string `json:"reason,omitempty"`
}

// OrderResult is how an order ended.
type OrderResult string

// Results of orders.
const (
	ResultDone    OrderResult = "done"
	ResultRefused OrderResult = "refused"
	ResultNotSent OrderResult = "not_sent"
	ResultUnknown OrderResult = "unknown"
)

// Outcome records the result of an order and, unless that is unknown, ends its
// intent.
type Outcome struct {
	OrderID string      `json:"order_id"`
	Result  OrderResult `json:"result"`
	Detail  string      `json:"detail,omitempty"`
}

// UsageLine is the usage of one organisation and pool.
type UsageLine struct {
	Organisation model.OrganisationID `json:"org"`
	Pool         model.PoolName       `json:"pool"`
	Requests     int64                `json:"n"`
	PromptTokens int64                `json:"p"`
	CachedTokens int64                `json:"c"`
	OutputTokens int64                `json:"o"`
}

// UsageBatch is the usage of the writer since its previous batch. Sequence
// numbers the batches of one incarnation from 1; a batch that is not the next
// in sequence is ignored.
type UsageBatch struct {
	Sequence uint64      `json:"seq"`
	Lines    []UsageLine `json:"lines"`
}

// UsageSeal closes the window of a usage shard at this record's offset: all
// batches before it and after the previous seal belong to the window.
type UsageSeal struct {
	WindowStartMS int64 `json:"window_start_ms"`
}

// UsageReported records that the platform has accepted a report.
type UsageReported struct {
	ReportID string `json:"report_id"`
}

// IdempotencyClaim claims an idempotency key of an organisation. The first
// claim in the log wins; the key is free again once its call is known not to
// have run.
type IdempotencyClaim struct {
	Organisation model.OrganisationID `json:"org"`
	Key          string               `json:"key"`
	RequestID    model.RequestID      `json:"request_id"`
	// Digest covers method, path and body, to detect a key that is reused for
	// another call.
	Digest string `json:"digest"`
}

// IdempotencyOutcome records the response to the request whose claim won the key.
type IdempotencyOutcome struct {
	Organisation model.OrganisationID `json:"org"`
	Key          string               `json:"key"`
	RequestID    model.RequestID      `json:"request_id"`
	Ran          model.Ran            `json:"ran"`
	Status       int                  `json:"status,omitempty"`
	ContentType  string               `json:"content_type,omitempty"`
	// Body is the response body, of at most MaxOutcomeBody bytes.
	Body []byte `json:"body,omitempty"`
	// Truncated is set if the body was too large to keep.
	Truncated bool `json:"truncated,omitempty"`
}

// MaxOutcomeBody is the size in bytes of the largest response body that is
// kept, to respond to later calls with the same key.
const MaxOutcomeBody = 16 * 1024

// Crash records that a backend server crashed while it ran a request with the
// digest.
type Crash struct {
	Digest    string          `json:"digest"`
	RequestID model.RequestID `json:"request_id"`
	Backend   model.BackendID `json:"backend"`
}

// CheckpointChunk is one part of an encoded checkpoint.
type CheckpointChunk struct {
	CheckpointID string `json:"checkpoint_id"`
	Index        int    `json:"index"`
	Data         []byte `json:"data"`
}

// CheckpointDone completes a checkpoint.
type CheckpointDone struct {
	CheckpointID string `json:"checkpoint_id"`
	// AsOf is the last offset that the checkpoint covers.
	AsOf   model.Offset `json:"as_of"`
	Chunks int          `json:"chunks"`
	// Digest is the hexadecimal SHA-256 digest of the joined chunks.
	Digest string `json:"digest"`
}

// Encode encodes a batch of records as one log entry.
func Encode(records []Record) ([]byte, error) {
	data, err := json.Marshal(records)
	return data, eris.Wrap(err, "encode log entry")
}

// Decode decodes one log entry. It returns the records that could be decoded
// and the number of malformed records.
func Decode(data []byte) (records []Record, malformed int) {
	var raw []json.RawMessage
	if err := json.Unmarshal(data, &raw); err != nil {
		return nil, 1
	}
	for _, item := range raw {
		var r Record
		if err := json.Unmarshal(item, &r); err != nil || r.ID == "" || r.Kind == "" {
			malformed++
			continue
		}
		records = append(records, r)
	}
	return records, malformed
}

// DecodeBody decodes the body of a record.
func DecodeBody[T any](r *Record) (T, error) {
	var body T
	err := json.Unmarshal(r.Body, &body)
	return body, eris.Wrapf(err, "body of record %s (%s)", r.ID, r.Kind)
}

func marshalBody(kind Kind, body any) (json.RawMessage, error) {
	data, err := json.Marshal(body)
	return data, eris.Wrapf(err, "encode %s record", kind)
}
