package check

import (
	"fmt"
	"math"
	"time"

	"github.com/redwingpath/redwingpath/pkg/logrec"
	"github.com/redwingpath/redwingpath/pkg/platform"
	"github.com/redwingpath/redwingpath/standin/record"
)

// RuleWorkWhileLeaving is the rule of P11.
const RuleWorkWhileLeaving Rule = "leaving backend server got new work"

// leavingPeriod is a time in which a backend server is leaving or drained.
type leavingPeriod struct {
	atNS int64
	// endNS is the time from which the server may get work again.
	endNS    int64
	evidence Evidence
}

// WorkForLeaving checks P11 for servers that the platform lists as leaving and
// for those that an operator drained.
func WorkForLeaving(r *Recording) []Violation {
	limit := r.Limits.withDefaults().Leaving.Nanoseconds()
	leaving := r.leavingPeriods()
	var found []Violation
	for _, e := range r.eventsWhere(isWork) {
		for _, d := range leaving[e.Component] {
			if e.TimeNS <= d.atNS+limit || e.TimeNS >= d.endNS {
				continue
			}
			message := fmt.Sprintf("%s received work %s after it began to leave", e.Component, time.Duration(e.TimeNS-d.atNS))
			found = append(found, Violation{P11, RuleWorkWhileLeaving, message, append([]Evidence{d.evidence}, eventEvidence(e)...)})
		}
	}
	return found
}

func (r *Recording) leavingPeriods() map[string][]leavingPeriod {
	leaving := map[string][]leavingPeriod{}
	for _, e := range r.eventsOfKind(record.BackendState) {
		if e.Detail == string(platform.BackendLeaving) {
			leaving[e.Component] = append(leaving[e.Component], leavingPeriod{e.TimeNS, math.MaxInt64, eventEvidence(e)[0]})
		}
	}
	for i := range r.Changes {
		c := &r.Changes[i]
		if c.Entity != logrec.EntityDrain || c.Deleted {
			continue
		}
		leaving[c.ID] = append(leaving[c.ID], leavingPeriod{c.AcceptedNS, r.drainEnd(c), changeEvidence(c)})
	}
	return leaving
}

// drainEnd returns the time at which the deletion of the drain was appended to the
// log, or the largest time if it was not. The log is used instead of the changes
// confirmed to operators because the planner ends its own drains. A change that
// expects a version that is not in force has no effect; one that replaces the drain
// extends it under a new version.
func (r *Recording) drainEnd(drain *Change) int64 {
	version := drain.Version
	for e, c := range r.appendedChanges() {
		inForce := c.Expect == version || c.Expect == logrec.AnyVersion
		if e.Offset <= drain.Version || c.Entity != logrec.EntityDrain || c.ID != drain.ID || !inForce {
			continue
		}
		if c.Delete {
			return e.TimeNS
		}
		version = e.Offset
	}
	return math.MaxInt64
}
