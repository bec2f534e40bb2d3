package state

import (
	"github.com/redwingpath/redwingpath/pkg/logrec"
	"github.com/redwingpath/redwingpath/pkg/model"
)

// Reason is why a record is void, that is, has no effect.
type Reason string

// Reasons for which records are void.
const (
	ReasonDuplicate      Reason = "duplicate_id"
	ReasonStaleID        Reason = "stale_id"
	ReasonUnknownVersion Reason = "unknown_version"
	ReasonUnknownKind    Reason = "unknown_kind"
	ReasonMalformed      Reason = "malformed"
	ReasonNotMember      Reason = "not_member"
	ReasonNotHolder      Reason = "not_holder"
	ReasonSuperseded     Reason = "superseded"
	ReasonConflict       Reason = "version_conflict"
	ReasonReference      Reason = "reference"
	ReasonInvalid        Reason = "invalid"
	ReasonIntentOpen     Reason = "engine_has_open_intent"
	ReasonNoIntent       Reason = "no_open_intent"
	ReasonClaimed        Reason = "key_already_claimed"
	ReasonNoClaim        Reason = "no_claim"
	ReasonSequence       Reason = "sequence"
	ReasonWindow         Reason = "window_already_sealed"
)

// Winner identifies the record that took precedence over a void record. Only
// the fields that are known are set.
type Winner struct {
	Offset   model.Offset  `json:"offset"`
	TimeMS   int64         `json:"time_ms"`
	RecordID string        `json:"record_id,omitempty"`
	Host     model.HostID  `json:"host,omitempty"`
	Operator string        `json:"operator,omitempty"`
	Change   logrec.Change `json:"change,omitzero"`
}

// Result is the outcome of replaying a record.
type Result struct {
	RecordID string       `json:"record_id"`
	Kind     logrec.Kind  `json:"kind"`
	Offset   model.Offset `json:"offset"`
	Applied  bool         `json:"applied"`
	// Reason and Detail are set when the record is void.
	Reason Reason `json:"reason,omitempty"`
	Detail string `json:"detail,omitempty"`
	// Winner is set if another record took precedence.
	Winner *Winner `json:"winner,omitempty"`
}

// void describes why a record has no effect; nil means that it was applied.
type void struct {
	reason Reason
	detail string
	winner *Winner
}

func newVoid(reason Reason, detail string) *void { return &void{reason: reason, detail: detail} }

// Counters counts entries and records since the owner was set. They are not
// part of the replicated state.
type Counters struct {
	Entries   uint64            `json:"entries"`
	Applied   uint64            `json:"applied"`
	Malformed uint64            `json:"malformed"`
	Void      map[Reason]uint64 `json:"void"`
}

// maxOwnerResults limits how many results of the owner's records are kept for
// lookup.
const maxOwnerResults = 4096

// resultCache keeps the results of the most recent records of the owner. Once
// it is full, order is a ring buffer and next its oldest element.
type resultCache struct {
	byID  map[string]Result
	order []string
	next  int
}

func (o *resultCache) add(r Result) {
	if _, ok := o.byID[r.RecordID]; ok {
		// Only the first copy of a record can be applied; later copies are duplicates.
		return
	}
	if len(o.order) < maxOwnerResults {
		o.order = append(o.order, r.RecordID)
	} else {
		delete(o.byID, o.order[o.next])
		o.order[o.next] = r.RecordID
		o.next = (o.next + 1) % maxOwnerResults
	}
	o.byID[r.RecordID] = r
}
