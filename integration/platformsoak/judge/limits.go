package judge

import "time"

// StatedLimit is a time in which a server states how many requests it takes from all hosts
// together.
type StatedLimit struct {
	Server    string
	PerSecond float64
	From      time.Time
	// To is the zero time if the server stated the limit until the end of the run.
	To time.Time
}

// LimitNotice is a response passed on by a host in which a server states its limit.
type LimitNotice struct {
	Host, Server string
	Life         int
	At           time.Time
}

// limits checks that a server gets no more requests than the limit that it has stated allows,
// from the contact time after its first statement on. Only requests of processes count that
// had passed a statement on some time before, and of hosts without a fault since then. Cases
// are the limits that lasted long enough for a whole window.
func limits(r *Record) Verdict {
	v := Verdict{Rule: "LIMIT"}
	attempts := r.attempts()
	sorted := r.sortedArrivals()
	for _, limit := range r.Limits {
		var arrivals []time.Time
		first := time.Time{}
		told := r.told(limit)
		for _, arrival := range sorted {
			if arrival.Server != limit.Server || !limit.lasts(arrival.At) {
				continue
			}
			if first.IsZero() {
				first = arrival.At
			}
			a := attempts[arrival.Attempt]
			if a == nil {
				continue
			}
			since, known := told[process{a.Host, a.Life}]
			if known && arrival.At.Sub(since) >= r.Bounds.LimitDelay && !r.hostFault(a.Host, since, arrival.At) {
				arrivals = append(arrivals, arrival.At)
			}
		}
		if first.IsZero() || !limit.lasts(first.Add(r.Bounds.Contact+r.Bounds.LimitWindow)) {
			continue
		}
		v.Cases++
		v.approach(0)
		r.checkLimit(&v, limit, arrivals, first.Add(r.Bounds.Contact))
	}
	return v
}

// checkLimit checks the windows that begin with an arrival after a time.
func (r *Record) checkLimit(v *Verdict, limit StatedLimit, arrivals []time.Time, from time.Time) {
	allowed := r.Bounds.LimitFactor*limit.PerSecond*r.Bounds.LimitWindow.Seconds() + r.Bounds.LimitSlack
	for i, first := range arrivals {
		if first.Before(from) {
			continue
		}
		n := 0
		for _, at := range arrivals[i:] {
			if at.Sub(first) < r.Bounds.LimitWindow {
				n++
			}
		}
		v.approach(float64(n) / allowed)
		if float64(n) > allowed {
			v.add("%s, which takes %g requests a second, got %d within %v, where %g are allowed", limit.Server, limit.PerSecond, n, r.Bounds.LimitWindow, allowed)
			return
		}
	}
}

// lasts reports whether the limit is stated at a time.
func (l StatedLimit) lasts(at time.Time) bool {
	return !at.Before(l.From) && (l.To.IsZero() || at.Before(l.To))
}

// told returns when each process first passed on that a server states a limit.
func (r *Record) told(limit StatedLimit) map[process]time.Time {
	told := map[process]time.Time{}
	for _, n := range r.LimitNotices {
		key := process{n.Host, n.Life}
		if old, known := told[key]; n.Server == limit.Server && limit.lasts(n.At) && (!known || n.At.Before(old)) {
			told[key] = n.At
		}
	}
	return told
}
