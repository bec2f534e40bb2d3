package judge

import "time"

// drained checks that no request reaches a server later than the drain time after the store
// acknowledged that it is draining or gone, by hosts in touch. Cases are the
// acknowledgements of a stable store.
func drained(r *Record) Verdict {
	v := Verdict{Rule: "DRAIN"}
	departed := map[string]time.Time{}
	for _, d := range r.Departures {
		if at, known := departed[d.Server]; !known || d.Acked.Before(at) {
			departed[d.Server] = d.Acked
		}
	}
	for _, acked := range departed {
		if r.storeStable(acked) {
			v.Cases++
			v.approach(0)
		}
	}
	attempts := r.attempts()
	for _, arrival := range r.Arrivals {
		acked, leaves := departed[arrival.Server]
		a := attempts[arrival.Attempt]
		if !leaves || a == nil || arrival.Misdirected || !arrival.At.After(acked) {
			continue
		}
		if !r.storeStable(acked) || r.heldUp(arrival.Server, arrival.At) || !r.inTouch(a.Host, a.Sent, arrival.At) {
			continue
		}
		late := arrival.At.Sub(acked)
		v.approach(shareOf(late, r.Bounds.Drain))
		if late > r.Bounds.Drain {
			v.add("%s reached %s through %s %v after its leaving was acknowledged", a.ID, arrival.Server, a.Host, late)
		}
	}
	return v
}
