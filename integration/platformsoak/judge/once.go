package judge

import "net/http"

// notRunStatuses promise that a request has not run and never will.
var notRunStatuses = map[int]bool{
	http.StatusServiceUnavailable: true, http.StatusTooManyRequests: true, http.StatusRequestTimeout: true,
	http.StatusMisdirectedRequest: true,
}

// atMostOnce checks that requests that must run at most once did not run twice, and did not
// run if the caller was promised so. Cases are the requests that ran, and those that were
// refused with a promise.
func atMostOnce(r *Record) (twice, refused Verdict) {
	twice.Rule, refused.Rule = "TWICE", "REFUSED"
	arrivals := r.arrivals()
	for _, a := range r.Attempts {
		if !r.Routes[a.Route].AtMostOnce {
			continue
		}
		runs := ranOf(arrivals[a.ID])
		if len(runs) > 0 {
			twice.Cases++
		}
		if len(runs) > 1 {
			twice.add("%s on %s through %s ran %d times, at %s and %s", a.ID, a.Route, a.Host, len(runs), runs[0].Server, runs[1].Server)
		}
		if !notRunStatuses[a.Status] {
			continue
		}
		refused.Cases++
		if len(runs) > 0 {
			refused.add("%s on %s through %s got status %d %v after it was sent, but ran at %s after %v",
				a.ID, a.Route, a.Host, a.Status, a.Ended.Sub(a.Sent), runs[0].Server, runs[0].At.Sub(a.Sent))
		}
	}
	return twice, refused
}

// ranOf returns the arrivals that ran.
func ranOf(arrivals []Arrival) []Arrival {
	var ran []Arrival
	for _, a := range arrivals {
		if a.Ran && !a.Prefill {
			ran = append(ran, a)
		}
	}
	return ran
}
