package judge

import (
	"slices"
	"time"
)

// hostServer is a host and the ID of a server.
type hostServer struct{ host, server string }

// notified is a process that has passed on that a server is leaving.
type notified struct {
	process process
	server  string
}

// leavingNotices checks that no request that a caller sent later than the drain time after a
// host passed on that a server is leaving reaches that server from that host, unless the host
// had a fault since. Cases are the processes and servers of such notices.
func leavingNotices(r *Record) Verdict {
	v := Verdict{Rule: "DRAIN Server-Leaving"}
	first := map[notified]time.Time{}
	for _, n := range r.Notices {
		key := notified{process{n.Host, n.Life}, n.Server}
		if old, known := first[key]; !known || n.At.Before(old) {
			first[key] = n.At
		}
	}
	v.Cases = len(first)
	v.approach(0)
	attempts := r.attempts()
	for _, arrival := range r.Arrivals {
		a := attempts[arrival.Attempt]
		if a == nil || arrival.Misdirected {
			continue
		}
		at, known := first[notified{process{a.Host, a.Life}, arrival.Server}]
		if !known || !a.Sent.After(at) || r.hostFault(a.Host, at, arrival.At) {
			continue
		}
		late := a.Sent.Sub(at)
		v.approach(shareOf(late, r.Bounds.Drain))
		if late > r.Bounds.Drain {
			v.add("%s reached %s through %s, sent %v after the host had passed on that the server is leaving", a.ID, arrival.Server, a.Host, late)
		}
	}
	return v
}

// hostFault reports whether a host had a fault at some moment of a span.
func (r *Record) hostFault(host string, from, to time.Time) bool {
	return slices.ContainsFunc(r.Disturbances, func(d Disturbance) bool {
		return d.Kind == HostFault && d.Target == host && d.overlaps(from, to)
	})
}

// pause is a time for which a server wants no requests from a host.
type pause struct {
	first, end time.Time
	arrived    int
}

// pauses checks that each host leaves a server alone that has asked it to. Cases are the
// pauses that began.
func pauses(r *Record) Verdict {
	v := Verdict{Rule: "BUDGET Retry-After"}
	attempts := r.attempts()
	running := map[hostServer]*pause{}
	refusals := slices.Clone(r.Refusals)
	slices.SortStableFunc(refusals, func(a, b Refusal) int { return a.At.Compare(b.At) })
	for _, refusal := range refusals {
		a := attempts[refusal.Attempt]
		if a == nil {
			continue
		}
		key := hostServer{a.Host, refusal.Server}
		p := running[key]
		if p == nil || refusal.Until.After(p.end) {
			p = &pause{first: refusal.At, end: refusal.Until}
			running[key] = p
			v.Cases++
			v.approach(0)
		}
		from := p.first.Add(-r.Bounds.Contact)
		if r.hostFault(a.Host, from, refusal.At) || r.heldUp(refusal.Server, refusal.At) || !refusal.At.After(p.first.Add(r.Bounds.PauseDelay)) {
			continue
		}
		p.arrived++
		v.approach(float64(p.arrived) / float64(r.Bounds.MaxPaused))
		if p.arrived == r.Bounds.MaxPaused+1 {
			v.add("%s reached %s through %s, %v after a refusal with Retry-After", refusal.Attempt, refusal.Server, a.Host, refusal.At.Sub(p.first))
		}
	}
	return v
}
