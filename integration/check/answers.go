package check

import (
	"fmt"

	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/standin/record"
)

// Rules of P8 and P9.
const (
	RuleWrongResponse     Rule = "answer is not the expected one"
	RuleTruncatedResponse Rule = "model answer broke off although it could be resumed"
	RuleSharedRequestID   Rule = "two calls got the same request identity"
	RuleRanDespiteNotRun  Rule = "answered as not run, but it ran"
	RuleIdempotencyKeyRan Rule = "answered as not run, but a call with the same idempotency key had run"
	RuleNoRanField        Rule = "error answer does not tell whether the call ran"
)

// WrongResponses checks P8 on complete responses and on responses of models that
// were cut off.
func WrongResponses(r *Recording) []Violation {
	found := truncatedResponses(r)
	byID := map[model.RequestID]*Call{}
	for i := range r.Calls {
		c := &r.Calls[i]
		if c.Outcome == Complete && succeeded(c) && c.Expected != c.Received {
			found = append(found, Violation{P8, RuleWrongResponse, describeDifference(c.Expected, c.Received), callEvidence(c)})
		}
		if c.RequestID == "" || c.IdempotencyKey != "" {
			// A repeat of an idempotent call may get the recorded response.
			continue
		}
		if first, known := byID[c.RequestID]; known && first.Tag != c.Tag {
			found = append(found, Violation{P8, RuleSharedRequestID, string(c.RequestID), callEvidence(first, c)})
		}
		byID[c.RequestID] = c
	}
	return found
}

// minFailedBackends is the number of failed backend servers that justifies a
// truncated response of a model: after a single failure the host must resume the
// request on another server.
const minFailedBackends = 2

func truncatedResponses(r *Recording) []Violation {
	var found []Violation
	failures := r.failures()
	stops := r.stops()
	work := r.eventsByTag(isWork)
	for tag, calls := range r.callsByTag() {
		for _, c := range calls {
			if !isChat(c) || !wasInterrupted(c) || stops.during(c) != nil || failures.hostFailed(c.Host, c.SentNS, c.EndNS) {
				continue
			}
			events := eventsOfCall(c, len(calls), work[tag])
			if failures.failedBackends(c, events) >= minFailedBackends {
				continue
			}
			evidence := append(callEvidence(c), eventEvidence(events...)...)
			found = append(found, Violation{P8, RuleTruncatedResponse, "host " + string(c.Host), evidence})
		}
	}
	return found
}

// excerptBytes is the length of the excerpts that start at the first difference
// of two texts.
const excerptBytes = 40

func describeDifference(expected, received string) string {
	at := 0
	for at < len(expected) && at < len(received) && expected[at] == received[at] {
		at++
	}
	excerpt := func(s string) string { return s[min(at, len(s)):min(at+excerptBytes, len(s))] }
	return fmt.Sprintf("differs at byte %d: expected %q (%d bytes), received %q (%d bytes)",
		at, excerpt(expected), len(expected), excerpt(received), len(received))
}

// FalseNotRun checks P9: a call whose response says that it has not run must not
// have run, and every error response says whether the call ran.
func FalseNotRun(r *Recording) []Violation {
	found := falseNotRunOfIdempotencyKeys(r)
	ran := r.eventsByTag(isExecution)
	for tag, calls := range r.callsByTag() {
		for _, c := range calls {
			if c.Outcome == Rejected && c.Ran == "" {
				found = append(found, Violation{P9, RuleNoRanField, "the error response has no ran field", callEvidence(c)})
			}
			if c.Ran != model.NotRun {
				continue
			}
			for _, e := range eventsOfCall(c, len(calls), ran[tag]) {
				evidence := append(callEvidence(c), eventEvidence(e)...)
				found = append(found, Violation{P9, RuleRanDespiteNotRun, "ran on " + e.Component, evidence})
			}
		}
	}
	return found
}

// falseNotRunOfIdempotencyKeys checks that a response about an idempotency key is
// true for the earlier attempts with that key, too: a caller that relies on "not
// run" repeats the call with a new key. Responses for other reasons, such as the
// rate, describe only the attempt itself.
func falseNotRunOfIdempotencyKeys(r *Recording) []Violation {
	var found []Violation
	keys := r.keysByID()
	executed := map[idempotencyID][]*record.Event{}
	for _, e := range r.eventsOfKind(record.Executed) {
		id := idempotencyID{e.Organisation, e.IdempotencyKey}
		executed[id] = append(executed[id], e)
	}
	for i := range r.Calls {
		c := &r.Calls[i]
		key := keys[c.KeyID]
		aboutKey := c.Code == model.CodeOutcomeUnknown || c.Code == model.CodeInProgress
		if c.IdempotencyKey == "" || c.Ran != model.NotRun || !aboutKey || key == nil {
			continue
		}
		for _, e := range executed[idempotencyID{key.Organisation, c.IdempotencyKey}] {
			if e.TimeNS < c.SentNS {
				evidence := append(eventEvidence(e), callEvidence(c)...)
				found = append(found, Violation{P9, RuleIdempotencyKeyRan, "key " + c.IdempotencyKey, evidence})
			}
		}
	}
	return found
}
