package check

import (
	"fmt"
	"slices"

	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/standin/record"
)

// RuleRateExceeded is the rule of P7.
const RuleRateExceeded Rule = "more work than rate and burst allow"

// admission is one admitted call. The host admitted it between the time when the
// client sent it, earliest, and the time when a backend server received it, latest.
type admission struct {
	earliest, latest int64
	call             *Call
	event            *record.Event
}

// RateExcess checks P7. Only calls that were certainly admitted within an interval
// count for it, so that delays between clients, hosts and backend servers do not
// appear as an excess.
func RateExcess(r *Recording) []Violation {
	units := r.Limits.withDefaults().UnitsPerCall
	admitted := r.admissions()
	var found []Violation
	for i := range r.Organisations {
		org := &r.Organisations[i]
		if v, violated := largestExcess(org, admitted[org.ID], units); violated {
			found = append(found, v)
		}
	}
	return found
}

func (r *Recording) admissions() map[model.OrganisationID][]admission {
	keys := r.keysByID()
	work := r.eventsByTag(isWork)
	admitted := map[model.OrganisationID][]admission{}
	for tag, calls := range r.callsByTag() {
		for _, c := range calls {
			key := keys[c.KeyID]
			events := eventsOfCall(c, len(calls), work[tag])
			if key == nil || c.Public || len(events) == 0 {
				continue
			}
			// A request is admitted once, also if it is resumed on another backend
			// server, so that its first arrival counts.
			first := slices.MinFunc(events, func(a, b *record.Event) int { return int(a.TimeNS - b.TimeNS) })
			admitted[key.Organisation] = append(admitted[key.Organisation], admission{c.SentNS, first.TimeNS, c, first})
		}
	}
	return admitted
}

// largestExcess finds the interval in which the organisation's work exceeds its
// rate and burst the most. It returns a violation, and whether there is one.
func largestExcess(org *model.Organisation, admitted []admission, units float64) (Violation, bool) {
	slices.SortFunc(admitted, func(a, b admission) int { return int(a.latest - b.latest) })
	var worst float64
	var from, to int64
	count := 0
	for _, start := range admitted {
		inside := 0
		for _, a := range admitted {
			if a.earliest < start.earliest {
				continue
			}
			inside++
			seconds := float64(a.latest-start.earliest) / 1e9
			excess := float64(inside)*units - org.Rate*seconds - org.Burst
			if excess > worst {
				worst, from, to, count = excess, start.earliest, a.latest, inside
			}
		}
	}
	// An excess of less than one unit is attributed to rounding.
	if worst < 1 {
		return Violation{}, false
	}
	message := fmt.Sprintf("organisation %s: %d calls of %.2f units in %.3f s, rate %.2f, burst %.2f, excess %.2f",
		org.ID, count, units, float64(to-from)/1e9, org.Rate, org.Burst, worst)
	return Violation{P7, RuleRateExceeded, message, intervalEvidence(admitted, from, to)}, true
}

// maxShownAdmissions limits the calls that are shown as evidence for an interval.
const maxShownAdmissions = 10

func intervalEvidence(admitted []admission, from, to int64) []Evidence {
	var list []Evidence
	for _, a := range admitted {
		if a.earliest < from || a.latest > to {
			continue
		}
		if len(list) == 2*maxShownAdmissions {
			break
		}
		list = append(list, callEvidence(a.call)...)
		list = append(list, eventEvidence(a.event)...)
	}
	return list
}
