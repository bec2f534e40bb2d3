package judge

import (
	"fmt"
	"slices"
	"time"
)

// Verdict states how a run kept one rule.
type Verdict struct {
	Rule string
	// Cases is the number of situations to which the rule applied. The rule was not played
	// if it is 0.
	Cases      int
	Violations []string
	// Notes help to trace violations.
	Notes []string
	// Closest is the closest approach to the bound, as a share of what is allowed, and
	// HasBound is false for rules that allow nothing.
	Closest  float64
	HasBound bool
}

func (v *Verdict) add(format string, args ...any) {
	v.Violations = append(v.Violations, fmt.Sprintf(format, args...))
}

func (v *Verdict) note(format string, args ...any) {
	v.Notes = append(v.Notes, fmt.Sprintf(format, args...))
}

// approach records an approach to the bound.
func (v *Verdict) approach(share float64) {
	v.HasBound = true
	v.Closest = max(v.Closest, share)
}

// String states the verdict on one line.
func (v Verdict) String() string {
	switch {
	case v.Cases == 0:
		return v.Rule + ": not played"
	case v.HasBound:
		return fmt.Sprintf("%s: %d violations, %d cases, at most %.0f%% of what is allowed", v.Rule, len(v.Violations), v.Cases, 100*v.Closest)
	default:
		return fmt.Sprintf("%s: %d violations, %d cases", v.Rule, len(v.Violations), v.Cases)
	}
}

// All judges a record by all rules.
func All(r *Record) []Verdict {
	twice, refused := atMostOnce(r)
	late, regress, invalid := configurations(r)
	denied := denials(r, &invalid)
	verdicts := []Verdict{twice, refused}
	verdicts = append(verdicts, retries(r)...)
	return append(verdicts,
		serversPerAttempt(r), deadlines(r), late, regress, invalid, denied, addedRoutes(r), drained(r), leavingNotices(r), pauses(r), limits(r))
}

// sortedArrivals returns all arrivals in order.
func (r *Record) sortedArrivals() []Arrival {
	sorted := slices.Clone(r.Arrivals)
	slices.SortStableFunc(sorted, func(a, b Arrival) int { return a.At.Compare(b.At) })
	return sorted
}

// shareOf returns a duration as a share of a bound.
func shareOf(d, bound time.Duration) float64 { return float64(d) / float64(bound) }
