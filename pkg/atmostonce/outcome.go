// Package atmostonce prevents non-idempotent requests from running twice. It has
// the state machine for the outcome of a request, the rules of idempotency keys,
// and the counts of requests suspected of crashing backend servers. It does no
// I/O and reads no clock: callers pass the tables and the time.
package atmostonce

import (
	"errors"
	"sync/atomic"

	"github.com/redwingpath/redwingpath/pkg/model"
)

// State is what is known about the latest attempt of a request.
type State int32

// States of an attempt.
const (
	// NotSent: no byte of the request has been written.
	NotSent State = iota
	// MaybeSent: bytes may have been written and no response has arrived.
	MaybeSent
	// KnownRun: the backend server responded to the request.
	KnownRun
	// KnownNotRun: the backend server stated that it did not run the request.
	KnownNotRun
)

var stateNames = [...]string{"not_sent", "maybe_sent", "known_run", "known_not_run"}

// String implements fmt.Stringer.
func (s State) String() string {
	if s < 0 || int(s) >= len(stateNames) {
		return "invalid"
	}
	return stateNames[s]
}

// Event changes the state of an attempt.
type Event int32

// Events of an attempt.
const (
	// EventSend: after this event the caller may write the first byte.
	EventSend Event = iota
	// EventResponse: a response to the request, identified by its ID, arrived.
	EventResponse
	// EventRefusal: the backend server stated that it did not run the request.
	EventRefusal
	// EventRetry: another attempt starts.
	EventRetry
)

var eventNames = [...]string{"send", "response", "refusal", "retry"}

// String implements fmt.Stringer.
func (e Event) String() string {
	if e < 0 || int(e) >= len(eventNames) {
		return "invalid"
	}
	return eventNames[e]
}

// ErrTransition means that an event is not possible in a state.
var ErrTransition = errors.New("event is not possible in this state of the request")

// Next returns the state after an event. It allows EventRetry in every state;
// MayRetry decides whether a retry is safe.
func Next(s State, e Event) (State, error) {
	switch {
	case e == EventSend && (s == NotSent || s == MaybeSent):
		// net/http may use a second connection for one attempt of an idempotent call.
		return MaybeSent, nil
	case e == EventResponse && (s == MaybeSent || s == KnownRun):
		return KnownRun, nil
	case e == EventRefusal && s == MaybeSent:
		return KnownNotRun, nil
	case e == EventRetry:
		return NotSent, nil
	}
	return s, ErrTransition
}

// MayRetry reports whether a request in this state may be sent to another backend
// server.
func MayRetry(s State, idempotent bool) bool {
	return idempotent || s == NotSent || s == KnownNotRun
}

// Outcome is the state of a request over all its attempts. Only one goroutine may
// change it; others may read it concurrently.
type Outcome struct {
	state atomic.Int32
	// earlier is what is known about the attempts before the latest.
	earlier atomic.Int32
}

// What is known about whether attempts ran the request. Over several attempts the
// largest value holds.
const (
	certainlyNotRun int32 = iota
	possiblyRun
	certainlyRun
)

// State returns the state of the latest attempt.
func (o *Outcome) State() State { return State(o.state.Load()) }

// Apply applies an event other than EventRetry.
func (o *Outcome) Apply(e Event) error {
	if e == EventRetry {
		return ErrTransition
	}
	next, err := Next(o.State(), e)
	if err != nil {
		return err
	}
	o.state.Store(int32(next))
	return nil
}

// SetUnknown records that the request may have run, for a caller that has lost track of
// an attempt. No later event undoes it.
func (o *Outcome) SetUnknown() {
	o.earlier.Store(max(o.earlier.Load(), possiblyRun))
	if o.State() != KnownRun {
		o.state.Store(int32(MaybeSent))
	}
}

// MayRetry reports whether the request may be sent to another backend server.
func (o *Outcome) MayRetry(idempotent bool) bool {
	return MayRetry(o.State(), idempotent) && (idempotent || o.Ran() == model.NotRun)
}

// Retry starts another attempt, unless that could run a non-idempotent request
// twice. It reports whether the attempt may start.
func (o *Outcome) Retry(idempotent bool) bool {
	state := o.State()
	if !o.MayRetry(idempotent) {
		return false
	}
	o.earlier.Store(max(o.earlier.Load(), certainty(state)))
	o.state.Store(int32(NotSent))
	return true
}

// Ran returns what an error response may state about whether the request ran.
func (o *Outcome) Ran() model.Ran {
	switch max(o.earlier.Load(), certainty(o.State())) {
	case certainlyRun:
		return model.WasRun
	case possiblyRun:
		return model.RanUnknown
	}
	return model.NotRun
}

func certainty(s State) int32 {
	switch s {
	case KnownRun:
		return certainlyRun
	case MaybeSent:
		return possiblyRun
	}
	return certainlyNotRun
}
