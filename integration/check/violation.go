package check

import (
	"fmt"
	"strings"
	"time"

	"github.com/redwingpath/redwingpath/standin/record"
)

// Promise is the number of a promise in docs/promises.md.
type Promise string

// Promises and what their checkers look for. The design document has the full
// wording.
const (
	P1  Promise = "P1"  // conflicting orders to an engine
	P2  Promise = "P2"  // requests interrupted without an unplanned failure
	P3  Promise = "P3"  // orders and reports without authority
	P4  Promise = "P4"  // exposed keys, work for the wrong organisation
	P5  Promise = "P5"  // concurrent leaders of the fleet
	P6  Promise = "P6"  // conflicting usage reports
	P7  Promise = "P7"  // work above an organisation's rate and burst
	P8  Promise = "P8"  // wrong or truncated responses
	P9  Promise = "P9"  // requests reported as not run that ran
	P10 Promise = "P10" // repeated executions of non-idempotent calls
	P11 Promise = "P11" // new work for leaving backend servers
	P12 Promise = "P12" // requests interrupted by a planned stop of their host
	P13 Promise = "P13" // configuration that is late or reverts
)

// Rule is the condition of a promise that was violated.
type Rule string

// Violation is a violated promise with the evidence for it.
type Violation struct {
	Promise  Promise    `json:"promise"`
	Rule     Rule       `json:"rule"`
	Message  string     `json:"message"`
	Evidence []Evidence `json:"evidence"`
}

// Error implements error.
func (v Violation) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s: %s", v.Promise, v.Rule, v.Message)
	for _, e := range v.Evidence {
		fmt.Fprintf(&b, "\n\t%s %s", time.Unix(0, e.TimeNS).UTC().Format("15:04:05.000"), e.Text)
	}
	return b.String()
}

// Evidence is one recorded fact behind a violation.
type Evidence struct {
	TimeNS int64  `json:"time_ns"`
	Text   string `json:"text"`
}

func eventEvidence(events ...*record.Event) []Evidence {
	var list []Evidence
	for _, e := range events {
		text := fmt.Sprintf("event %d: %s at %s %s request=%s tag=%s org=%s %s %s",
			e.Seq, e.Kind, e.Component, e.Path, e.RequestID, e.CallTag, e.Organisation, e.Detail, truncate(string(e.Body)))
		list = append(list, Evidence{TimeNS: e.TimeNS, Text: text})
	}
	return list
}

func callEvidence(calls ...*Call) []Evidence {
	var list []Evidence
	for _, c := range calls {
		text := fmt.Sprintf("call %s: %s at host %s key=%s ended as %s after %s, status %d code=%s ran=%s request=%s %s",
			c.Tag, c.Operation, c.Host, c.KeyID, c.Outcome, time.Duration(c.EndNS-c.SentNS).Round(time.Millisecond),
			c.Status, c.Code, c.Ran, c.RequestID, c.Error)
		list = append(list, Evidence{TimeNS: c.SentNS, Text: text})
	}
	return list
}

func actionEvidence(a *Action) Evidence {
	return Evidence{TimeNS: a.TimeNS, Text: fmt.Sprintf("action: %s host %s %s", a.Kind, a.Host, a.Detail)}
}

func changeEvidence(c *Change) Evidence {
	text := fmt.Sprintf("change accepted: %s %s version %d deleted=%t revoked=%t", c.Entity, c.ID, c.Version, c.Deleted, c.Revoked)
	return Evidence{TimeNS: c.AcceptedNS, Text: text}
}

// maxBodyBytes limits the part of a recorded body that is shown in evidence.
const maxBodyBytes = 300

func truncate(s string) string {
	if len(s) <= maxBodyBytes {
		return s
	}
	return s[:maxBodyBytes] + "..."
}

// Checker finds the violations of one promise.
type Checker struct {
	Promise Promise
	Check   func(*Recording) []Violation
}

// Checkers returns the checkers of all promises.
func Checkers() []Checker {
	return []Checker{
		{P1, ConflictingOrders},
		{P2, PlannedInterruptions},
		{P3, OrdersWithoutAuthority},
		{P4, KeyIsolation},
		{P5, ConcurrentFleetLeaders},
		{P6, ConflictingUsageReports},
		{P7, RateExcess},
		{P8, WrongResponses},
		{P9, FalseNotRun},
		{P10, RepeatedExecutions},
		{P11, WorkForLeaving},
		{P12, InterruptedByStop},
		{P13, ConfigurationReverts},
	}
}

// All runs the checkers of the given promises, or all checkers if none is given,
// and returns the violations that they found.
func All(r *Recording, only ...Promise) []Violation {
	wanted := map[Promise]bool{}
	for _, p := range only {
		wanted[p] = true
	}
	var found []Violation
	for _, c := range Checkers() {
		if len(wanted) == 0 || wanted[c.Promise] {
			found = append(found, c.Check(r)...)
		}
	}
	return found
}
