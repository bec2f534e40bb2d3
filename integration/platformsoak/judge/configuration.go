package judge

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

// outcome is how a request was handled, as far as this depends on the configuration.
type outcome struct {
	attempt *Attempt
	// at is when the outcome was seen.
	at time.Time
	// service is the service that ran the request, "" for a refusal with status.
	service string
	status  int
}

// allowedBy reports whether a configuration allows the outcome.
func (o outcome) allowedBy(v Version) bool {
	switch {
	case o.service != "":
		return v.Services[o.attempt.Route] == o.service && v.Keys[o.attempt.Key]
	case o.status == http.StatusNotFound:
		return v.Services[o.attempt.Route] == ""
	default:
		return !v.Keys[o.attempt.Key]
	}
}

func (o outcome) String() string {
	a := o.attempt
	handled := fmt.Sprintf("status %d", o.status)
	if o.service != "" {
		handled = "run by " + o.service
	}
	return fmt.Sprintf("%s on %s with %s through %s, sent %s: %s", a.ID, a.Route, a.Key, a.Host, a.Sent.Format(timeFormat), handled)
}

// refusals are the statuses of hosts that refuse what the configuration does not allow.
var refusals = map[int]bool{http.StatusUnauthorized: true, http.StatusForbidden: true, http.StatusNotFound: true}

// outcomes returns the outcomes of all requests in the order in which they were seen.
func (r *Record) outcomes() []outcome {
	attempts := r.attempts()
	var all []outcome
	for _, a := range r.Arrivals {
		if attempt := attempts[a.Attempt]; attempt != nil && a.Ran {
			all = append(all, outcome{attempt: attempt, at: a.At, service: a.Service})
		}
	}
	for i := range r.Attempts {
		if a := &r.Attempts[i]; refusals[a.Status] {
			all = append(all, outcome{attempt: a, at: a.Ended, status: a.Status})
		}
	}
	slices.SortStableFunc(all, func(a, b outcome) int { return a.at.Compare(b.at) })
	return all
}

// noVersion is the index of a version that does not exist.
const noVersion = -1

// newestAllowing returns the index of the newest version that was written before the outcome
// was seen and allows it.
func (r *Record) newestAllowing(o outcome) int {
	for i := len(r.Versions) - 1; i >= 0; i-- {
		if v := r.Versions[i]; !v.Sent.After(o.at) && o.allowedBy(v) {
			return i
		}
	}
	return noVersion
}

// oldestAllowing returns the index of the oldest version from one on that allows the outcome.
func (r *Record) oldestAllowing(o outcome, from int) int {
	for i := from; i < len(r.Versions); i++ {
		if v := r.Versions[i]; !v.Sent.After(o.at) && o.allowedBy(v) {
			return i
		}
	}
	return noVersion
}

// configurations checks that requests are not handled as only an older configuration allows.
// late is about the time since a version was acknowledged, at hosts in touch; regress about
// the time since its effect was seen at the same process. Cases of late are the requests
// through such hosts that not every version allows; those of regress the effects.
// Violations beside an invalid configuration go to invalid, whose cases
// are the invalid configurations.
func configurations(r *Record) (late, regress, invalid Verdict) {
	late.Rule, regress.Rule, invalid.Rule = "CONFIG late", "CONFIG regress", "CONFIG beside invalid configurations"
	invalid.Cases = len(r.Invalid)
	for _, i := range r.Invalid {
		invalid.note("%s written at %s", i.Kind, i.At.Format(timeFormat))
	}
	floors := map[process][]effect{}
	for _, o := range r.outcomes() {
		newest := r.newestAllowing(o)
		if newest == noVersion {
			// Judged by denials.
			continue
		}
		r.judgeLate(o, newest, &late, &invalid)
		r.judgeRegress(o, newest, floors, &regress, &invalid)
	}
	return late, regress, invalid
}

func (r *Record) judgeLate(o outcome, newest int, late, invalid *Verdict) {
	a := o.attempt
	bound, judged := r.configBound(a.Host, a.Sent, o.at)
	if !judged {
		return
	}
	if !r.alwaysAllowed(a) {
		late.Cases++
	}
	if newest == len(r.Versions)-1 {
		return
	}
	superseded := r.Versions[newest+1].Acked
	if !a.Sent.After(superseded) {
		return
	}
	age := a.Sent.Sub(superseded)
	verdict := r.unlessInvalid(late, invalid, superseded, o.at)
	if verdict == late {
		late.approach(shareOf(age, bound))
	}
	if age > bound {
		verdict.add("%s, allowed until version %d was superseded %v before, %v allowed", o, r.Versions[newest].Number, age, bound)
	}
}

// unlessInvalid returns the verdict for invalid configurations if one was written in a span,
// or shortly before.
func (r *Record) unlessInvalid(v, invalid *Verdict, from, to time.Time) *Verdict {
	for _, i := range r.Invalid {
		if i.At.After(from.Add(-r.Bounds.Config)) && i.At.Before(to) {
			return invalid
		}
	}
	return v
}

// process is one life of a host.
type process struct {
	host string
	life int
}

// effect is a time at which a process was seen to have at least the version with an index.
type effect struct {
	at      time.Time
	version int
}

func (r *Record) judgeRegress(o outcome, newest int, floors map[process][]effect, regress, invalid *Verdict) {
	a := o.attempt
	if a.Life != a.EndLife {
		return
	}
	p := process{a.Host, a.Life}
	floor := 0
	for _, seen := range floors[p] {
		if !seen.at.Before(a.Sent) {
			break
		}
		if seen.version <= newest {
			floor = max(floor, seen.version)
			continue
		}
		after := a.Sent.Sub(seen.at)
		verdict := r.unlessInvalid(regress, invalid, seen.at, o.at)
		if verdict == regress {
			regress.approach(shareOf(after, r.Bounds.RollbackSlack))
		}
		if after > r.Bounds.RollbackSlack {
			verdict.add("%s, which version %d allowed last, %v after an effect of version %d was seen at this process",
				o, r.Versions[newest].Number, after, r.Versions[seen.version].Number)
		}
		return
	}
	oldest := r.oldestAllowing(o, floor)
	if seen := floors[p]; oldest != noVersion && (len(seen) == 0 || oldest > seen[len(seen)-1].version) {
		regress.Cases++
		regress.approach(0)
		floors[p] = append(seen, effect{o.at, oldest})
	}
}
