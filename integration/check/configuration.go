package check

import (
	"fmt"

	"github.com/redwingpath/redwingpath/pkg/logrec"
	"github.com/redwingpath/redwingpath/pkg/model"
)

// Rules of P13.
const (
	RuleNotInForce         Rule = "accepted change is not in force"
	RuleVersionRegressed   Rule = "host went back to an earlier version"
	RuleGrantedKeyRejected Rule = "granted key was refused"
	RuleRevokedKeyAccepted Rule = "revoked key was accepted"
)

// ConfigurationReverts checks P13 on what clients observed: the versions that
// hosts returned and whether keys were accepted.
func ConfigurationReverts(r *Recording) []Violation {
	return append(probeViolations(r), keyViolations(r)...)
}

type entityID struct {
	entity logrec.EntityKind
	id     string
}

type hostEntity struct {
	host   model.HostID
	entity entityID
}

func probeViolations(r *Recording) []Violation {
	limit := r.Limits.withDefaults().Configuration.Nanoseconds()
	var found []Violation
	last := map[hostEntity]*Probe{}
	failures := r.failures()
	for i := range r.Probes {
		p := &r.Probes[i]
		id := hostEntity{p.Host, entityID{p.Entity, p.ID}}
		previous := last[id]
		// Responses to overlapping probes may be recorded out of order.
		if previous != nil && r.versionRegressed(previous, p) {
			found = append(found, Violation{P13, RuleVersionRegressed,
				fmt.Sprintf("host %s returned %s %s version %d after %d", p.Host, p.Entity, p.ID, p.Version, previous.Version),
				[]Evidence{probeEvidence(previous), probeEvidence(p)}})
		}
		last[id] = p
		if c := r.missingChange(p, limit); c != nil && !failures.hostFailed(p.Host, p.SentNS-limit, p.ResponseNS) {
			found = append(found, Violation{P13, RuleNotInForce,
				fmt.Sprintf("host %s returned %s %s version %d", p.Host, p.Entity, p.ID, p.Version),
				[]Evidence{changeEvidence(c), probeEvidence(p)}})
		}
	}
	return found
}

// versionRegressed reports whether a host returned an older version than in the
// previous probe.
func (r *Recording) versionRegressed(previous, p *Probe) bool {
	older := previous.ResponseNS < p.SentNS && p.Version < previous.Version
	if !older || r.restartedBetween(previous, p) {
		return false
	}
	return p.Version != 0 || !r.mayBeDeleted(p.Entity, p.ID, previous.Version)
}

// restartedBetween reports whether the host's process was restarted between two
// probes. Until it is ready, a host may return older versions to operators.
func (r *Recording) restartedBetween(before, after *Probe) bool {
	for i := range r.Actions {
		a := &r.Actions[i]
		if a.Kind == ActionStart && a.Host == after.Host && before.SentNS < a.TimeNS && a.TimeNS < after.ResponseNS {
			return true
		}
	}
	return false
}

// missingChange returns a change that the probed host should have returned, or nil.
func (r *Recording) missingChange(p *Probe, limit int64) *Change {
	for i := range r.Changes {
		c := &r.Changes[i]
		same := c.Entity == p.Entity && c.ID == p.ID && !c.Deleted
		if !same || c.AcceptedNS+limit >= p.SentNS || p.Version >= c.Version {
			continue
		}
		if p.Version != 0 || !r.mayBeDeleted(c.Entity, c.ID, c.Version) {
			return c
		}
	}
	return nil
}

func probeEvidence(p *Probe) Evidence {
	return Evidence{TimeNS: p.SentNS, Text: fmt.Sprintf("probe of host %s: %s %s version %d", p.Host, p.Entity, p.ID, p.Version)}
}

func keyViolations(r *Recording) []Violation {
	limit := r.Limits.withDefaults().Configuration.Nanoseconds()
	changes := r.changesOfKeys()
	var found []Violation
	for i := range r.Calls {
		c := &r.Calls[i]
		change := changes[c.KeyID].inForce(c, limit)
		if change == nil || c.Public {
			continue
		}
		evidence := append([]Evidence{changeEvidence(&change.Change)}, callEvidence(c)...)
		if change.keyValid() && keyRejected(c) {
			found = append(found, Violation{P13, RuleGrantedKeyRejected, "key " + string(c.KeyID), evidence})
		}
		if !change.keyValid() && succeeded(c) {
			found = append(found, Violation{P13, RuleRevokedKeyAccepted, "key " + string(c.KeyID), evidence})
		}
	}
	return found
}

func keyRejected(c *Call) bool {
	return c.Code == model.CodeInvalidKey || c.Code == model.CodeRevokedKey || c.Code == model.CodeMissingKey
}
