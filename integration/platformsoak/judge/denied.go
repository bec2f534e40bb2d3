package judge

import "net/http"

// denials checks that no host refuses what every configuration allows, and that no request
// runs as no configuration allows. Cases are the requests that every configuration allows.
func denials(r *Record, invalid *Verdict) Verdict {
	v := Verdict{Rule: "CONFIG denied or never allowed"}
	for i := range r.Attempts {
		if r.alwaysAllowed(&r.Attempts[i]) {
			v.Cases++
		}
	}
	for _, o := range r.outcomes() {
		if r.newestAllowing(o) != noVersion {
			continue
		}
		verdict := r.unlessInvalid(&v, invalid, o.attempt.Sent, o.at)
		verdict.add("%s, which no configuration allows (in touch: %t)", o, r.inTouch(o.attempt.Host, o.attempt.Sent, o.at))
	}
	return v
}

func (r *Record) alwaysAllowed(a *Attempt) bool {
	for _, v := range r.Versions {
		if v.Services[a.Route] == "" || !v.Keys[a.Key] {
			return false
		}
	}
	return true
}

const (
	// minAddedRequests is the number of requests on added routes from which on their share
	// is judged.
	minAddedRequests = 20
	// addedShare is the least share of served requests on added routes compared with the
	// first ones.
	addedShare = 0.25
)

// addedRoutes checks that routes that were added later are served at least a quarter as
// often as the first ones, by hosts in touch, where no server of theirs had a fault. Cases
// are the requests on added routes.
func addedRoutes(r *Record) Verdict {
	v := Verdict{Rule: "CONFIG added routes"}
	requests, served := map[bool]int{}, map[bool]int{}
	for _, a := range r.Attempts {
		if !r.steady(&a) {
			continue
		}
		first := r.Routes[a.Route].First
		requests[first]++
		if a.Status == http.StatusOK && a.Complete {
			served[first]++
		}
	}
	if requests[false] < minAddedRequests || served[true] == 0 {
		return v
	}
	v.Cases = requests[false]
	added := float64(served[false]) / float64(requests[false])
	firsts := float64(served[true]) / float64(requests[true])
	if added > 0 {
		v.approach(addedShare * firsts / added)
	}
	if added < addedShare*firsts {
		v.add("%.0f%% of %d requests on added routes were served, %.0f%% of %d on the first ones",
			100*added, requests[false], 100*firsts, requests[true])
	}
	return v
}

// steady reports whether the configurations that may be in force allow a request, its host
// is in touch, and no server had a fault.
func (r *Record) steady(a *Attempt) bool {
	if !r.inTouch(a.Host, a.Sent, a.Ended) || r.disturbed(a.Sent, a.Ended, func(d Disturbance) bool { return d.Kind == LinkFault || d.Kind == ServerFault }) {
		return false
	}
	for _, v := range r.inForce(a) {
		if v.Services[a.Route] == "" || !v.Keys[a.Key] {
			return false
		}
	}
	return len(r.Versions) > 0 && a.Sent.Sub(r.Versions[0].Acked) > r.Bounds.Config
}

// inForce returns the configurations that may be in force while an attempt lasts.
func (r *Record) inForce(a *Attempt) []Version {
	var versions []Version
	for i, v := range r.Versions {
		superseded := i+1 < len(r.Versions) && !r.Versions[i+1].Acked.After(a.Sent.Add(-r.Bounds.Config))
		if !superseded && !v.Sent.After(a.Ended) {
			versions = append(versions, v)
		}
	}
	return versions
}
