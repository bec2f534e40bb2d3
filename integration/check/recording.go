// Package check finds violations of the promises of the design document in the
// recording of a run. A recording holds only what the simulated components, the
// load generator's clients and the harness observed, never what an entry host
// reports about itself. All checkers are pure functions.
package check

import (
	"time"

	"github.com/redwingpath/redwingpath/pkg/logrec"
	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/standin/record"
)

// Recording is what was recorded during one run.
type Recording struct {
	// Events of the simulated components in order of Seq.
	Events []record.Event `json:"events"`
	// Calls of the load generator's clients. A call that was sent several times
	// has one entry for each time.
	Calls []Call `json:"calls"`
	// Actions of the harness on processes and connections, in time order.
	Actions []Action `json:"actions"`
	// Changes that were confirmed to an operator or to the harness as accepted, in
	// time order.
	Changes []Change `json:"changes"`
	// Probes are versions of entities that clients read from the operator interface.
	Probes        []Probe              `json:"probes"`
	Keys          []Key                `json:"keys"`
	Organisations []model.Organisation `json:"organisations"`
	Limits        Limits               `json:"limits"`
}

// Limits are the delays after which a change must have taken effect, and the
// cost of a call.
type Limits struct {
	// Revocation is the time after which a revoked key must be rejected. Default
	// 5 s: the freshness time of 3 s and the dissemination time.
	Revocation time.Duration `json:"revocation"`
	// Leaving is the time after which a leaving backend server must receive no new
	// work. Default 5 s: the freshness time of 3 s and the lag of the platform's list.
	Leaving time.Duration `json:"leaving"`
	// Configuration is the time after which a change must be in force. Default 5 s.
	Configuration time.Duration `json:"configuration"`
	// UnitsPerCall is the cost of one call in work units. Default 1.
	UnitsPerCall float64 `json:"units_per_call"`
}

const (
	defaultLimit        = 5 * time.Second
	defaultUnitsPerCall = 1
)

// withDefaults returns the limits with zero values replaced by their defaults.
func (l Limits) withDefaults() Limits {
	for _, d := range []*time.Duration{&l.Revocation, &l.Leaving, &l.Configuration} {
		if *d == 0 {
			*d = defaultLimit
		}
	}
	if l.UnitsPerCall == 0 {
		l.UnitsPerCall = defaultUnitsPerCall
	}
	return l
}

// Outcome is how a call ended for its client.
type Outcome string

// Outcomes of calls.
const (
	// Complete means that the client read a successful response to its end.
	Complete Outcome = "complete"
	// Rejected means that the client received an error response before any part of
	// a result.
	Rejected Outcome = "refused"
	// Interrupted means that a response began and was cut off.
	Interrupted Outcome = "interrupted"
	// NoResponse means that the connection failed before a response began.
	NoResponse Outcome = "no_answer"
	// NotConnected means that no connection was established, so that the host
	// cannot have received the call.
	NotConnected Outcome = "not_connected"
	// NotSent means that the client wrote its call too late, as happens on an
	// overloaded test machine, so that the host was allowed to close the connection.
	NotSent Outcome = "not_sent"
	// Abandoned means that the client cancelled the call or its time limit passed.
	Abandoned Outcome = "abandoned"
)

// Call is one attempt of a client to send a call to a host.
type Call struct {
	// Tag identifies the call and is part of its text; repeats share it.
	Tag  string       `json:"tag"`
	Host model.HostID `json:"host"`
	// Operation is "chat" or an operation of the plain service.
	Operation string `json:"operation"`
	// KeyID is the key that was sent with the call; empty means none.
	KeyID model.KeyID `json:"key_id,omitempty"`
	// Public is set for calls to a route that needs no key.
	Public         bool            `json:"public,omitempty"`
	Idempotent     bool            `json:"idempotent,omitempty"`
	IdempotencyKey string          `json:"idempotency_key,omitempty"`
	SentNS         int64           `json:"sent_ns"`
	FirstByteNS    int64           `json:"first_byte_ns,omitempty"`
	EndNS          int64           `json:"end_ns"`
	Outcome        Outcome         `json:"outcome"`
	Status         int             `json:"status,omitempty"`
	Code           model.ErrorCode `json:"code,omitempty"`
	Ran            model.Ran       `json:"ran,omitempty"`
	RequestID      model.RequestID `json:"request_id,omitempty"`
	// RetryAfter reports whether the response had a Retry-After header.
	RetryAfter bool `json:"retry_after,omitempty"`
	// Expected and Received are set for a Complete call whose response text is known
	// in advance.
	Expected string `json:"expected,omitempty"`
	Received string `json:"received,omitempty"`
	Error    string `json:"error,omitempty"`
}

// ActionKind is the kind of an action of the harness.
type ActionKind string

// Kinds of actions.
const (
	ActionStart  ActionKind = "start"  // a host process was started
	ActionStop   ActionKind = "stop"   // SIGTERM, a planned stop
	ActionExit   ActionKind = "exit"   // a host process exited
	ActionKill   ActionKind = "kill"   // SIGKILL
	ActionFreeze ActionKind = "freeze" // SIGSTOP
	ActionResume ActionKind = "resume" // SIGCONT
	ActionCut    ActionKind = "cut"    // connections were cut
	ActionHeal   ActionKind = "heal"   // connections were restored
)

// Action is one action of the harness on a host.
type Action struct {
	TimeNS int64        `json:"time_ns"`
	Kind   ActionKind   `json:"kind"`
	Host   model.HostID `json:"host"`
	Detail string       `json:"detail,omitempty"`
}

// Change is a configuration change that was confirmed as accepted.
type Change struct {
	AcceptedNS int64             `json:"accepted_ns"`
	Entity     logrec.EntityKind `json:"entity"`
	ID         string            `json:"id"`
	// Version is the offset of the change in the log.
	Version model.Offset `json:"version"`
	Deleted bool         `json:"deleted,omitempty"`
	// Revoked is set for keys that must be rejected after the change.
	Revoked bool `json:"revoked,omitempty"`
}

// Probe is one read of an entity's version from a host. Version 0 means that the
// host did not have the entity.
type Probe struct {
	SentNS     int64             `json:"sent_ns"`
	ResponseNS int64             `json:"answer_ns"`
	Host       model.HostID      `json:"host"`
	Entity     logrec.EntityKind `json:"entity"`
	ID         string            `json:"id"`
	Version    model.Offset      `json:"version"`
}

// Key is an API key that the clients use.
type Key struct {
	ID           model.KeyID          `json:"id"`
	Secret       string               `json:"secret"`
	Organisation model.OrganisationID `json:"organisation"`
	// Unknown is set for keys that were never granted.
	Unknown bool `json:"unknown,omitempty"`
}
