package check

import (
	"fmt"
	"strings"

	"github.com/redwingpath/redwingpath/standin/record"
)

// Rules of P4.
const (
	RuleKeyExposed        Rule = "a component saw an API key"
	RuleWrongOrganisation Rule = "request ran for another organisation"
	RuleNoValidKey        Rule = "request without a valid key reached a backend server"
	RuleRevokedKeyUsed    Rule = "revoked key still worked"
)

// KeyIsolation checks P4 on all recorded events of the simulated components.
func KeyIsolation(r *Recording) []Violation {
	return append(exposedKeys(r), unauthorisedWork(r)...)
}

func exposedKeys(r *Recording) []Violation {
	var found []Violation
	for i := range r.Events {
		e := &r.Events[i]
		for k := range r.Keys {
			if secret := r.Keys[k].Secret; secret != "" && eventContains(e, secret) {
				message := fmt.Sprintf("%s received the secret of key %s", e.Component, r.Keys[k].ID)
				found = append(found, Violation{P4, RuleKeyExposed, message, eventEvidence(e)})
			}
		}
	}
	return found
}

func eventContains(e *record.Event, secret string) bool {
	if strings.Contains(e.Query, secret) || strings.Contains(e.Path, secret) || strings.Contains(string(e.Body), secret) {
		return true
	}
	for _, values := range e.Header {
		for _, v := range values {
			if strings.Contains(v, secret) {
				return true
			}
		}
	}
	return false
}

// unauthorisedWork compares the organisation of each request at a backend server
// with the key that was sent with the call.
func unauthorisedWork(r *Recording) []Violation {
	var found []Violation
	limits := r.Limits.withDefaults()
	keys := r.keysByID()
	changes := r.changesOfKeys()
	work := r.eventsByTag(isWork)
	for tag, calls := range r.callsByTag() {
		for _, c := range calls {
			for _, e := range eventsOfCall(c, len(calls), work[tag]) {
				if v, violated := checkWork(c, keys[c.KeyID], e); violated {
					found = append(found, v)
				}
				revocation := changes[c.KeyID].revokedBefore(c.SentNS - limits.Revocation.Nanoseconds())
				if revocation != nil && !c.Public {
					evidence := append(callEvidence(c), eventEvidence(e)...)
					message := fmt.Sprintf("key %s was revoked before the call was sent", c.KeyID)
					found = append(found, Violation{P4, RuleRevokedKeyUsed, message, append(evidence, changeEvidence(revocation))})
				}
			}
		}
	}
	return found
}

// checkWork returns a violation, and whether the event is one.
func checkWork(c *Call, key *Key, e *record.Event) (Violation, bool) {
	evidence := append(callEvidence(c), eventEvidence(e)...)
	if c.Public {
		return Violation{P4, RuleWrongOrganisation, "a public call ran for an organisation", evidence}, e.Organisation != ""
	}
	if key == nil || key.Unknown {
		return Violation{P4, RuleNoValidKey, "the call had no valid key", evidence}, true
	}
	message := fmt.Sprintf("the key belongs to %s, the request ran for %q", key.Organisation, e.Organisation)
	return Violation{P4, RuleWrongOrganisation, message, evidence}, e.Organisation != key.Organisation
}
