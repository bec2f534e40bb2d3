package check

import (
	"fmt"

	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/standin/record"
)

// RuleRepeatedExecution is the rule of P10.
const RuleRepeatedExecution Rule = "non-idempotent call executed more often than allowed"

type idempotencyID struct {
	organisation model.OrganisationID
	key          string
}

// RepeatedExecutions checks P10 on the calls that plain services executed.
func RepeatedExecutions(r *Recording) []Violation {
	byKey := map[idempotencyID][]*record.Event{}
	byRequest := map[model.RequestID][]*record.Event{}
	byTag := map[string][]*record.Event{}
	for _, e := range r.eventsOfKind(record.Executed) {
		if e.IdempotencyKey != "" {
			id := idempotencyID{e.Organisation, e.IdempotencyKey}
			byKey[id] = append(byKey[id], e)
			continue
		}
		byRequest[e.RequestID] = append(byRequest[e.RequestID], e)
		if e.CallTag != "" {
			byTag[e.CallTag] = append(byTag[e.CallTag], e)
		}
	}
	var found []Violation
	add := func(message string, events []*record.Event, allowed int) {
		if len(events) > allowed {
			text := fmt.Sprintf("%s: executed %d times, allowed %d", message, len(events), allowed)
			found = append(found, Violation{P10, RuleRepeatedExecution, text, eventEvidence(events...)})
		}
	}
	for id, events := range byKey {
		add(fmt.Sprintf("idempotency key %s of %s", id.key, id.organisation), events, 1)
	}
	for id, events := range byRequest {
		add(fmt.Sprintf("request %s", id), events, 1)
	}
	calls := r.callsByTag()
	for tag, events := range byTag {
		// A call that was executed has arrived at least once.
		add("call "+tag, events, max(possibleArrivals(calls[tag]), 1))
	}
	return found
}

// possibleArrivals returns the number of attempts that may have reached a host.
func possibleArrivals(calls []*Call) int {
	n := 0
	for _, c := range calls {
		if c.Outcome != NotConnected {
			n++
		}
	}
	return n
}
