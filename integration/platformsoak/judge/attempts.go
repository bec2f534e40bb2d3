package judge

import "time"

// serversPerAttempt checks that no request ran at more servers than its route allows. The
// platform's rule bears three such requests; none is allowed here.
func serversPerAttempt(r *Record) Verdict {
	v := Verdict{Rule: "BUDGET servers per attempt"}
	arrivals := r.arrivals()
	for _, a := range r.Attempts {
		servers := map[string]bool{}
		for _, arrival := range ranOf(arrivals[a.ID]) {
			servers[arrival.Server] = true
		}
		if len(servers) == 0 {
			continue
		}
		v.Cases++
		v.approach(float64(len(servers)) / float64(r.Routes[a.Route].MaxServers))
		if len(servers) > r.Routes[a.Route].MaxServers {
			v.add("%s on %s through %s ran at %d servers, %d allowed", a.ID, a.Route, a.Host, len(servers), r.Routes[a.Route].MaxServers)
		}
	}
	return v
}

// lateRepeat is the time after the first arrival from which on a repeat must state what is
// left.
const lateRepeat = 500 * time.Millisecond

// deadlines checks that servers are not given more time than is left. The platform's rule
// bears 20 cases; none is allowed here. A request that the connections to its server may have
// held up was not necessarily sent late.
func deadlines(r *Record) Verdict {
	v := Verdict{Rule: "BUDGET deadlines"}
	attempts := r.attempts()
	first := map[string]Arrival{}
	for _, arrival := range r.sortedArrivals() {
		a := attempts[arrival.Attempt]
		if a == nil {
			continue
		}
		if _, known := first[a.ID]; !known {
			first[a.ID] = arrival
		}
		if !r.inTouch(a.Host, a.Sent, arrival.At) {
			continue
		}
		v.Cases++
		if arrival.Deadline < 0 {
			v.add("%s reached %s through %s without a deadline", a.ID, arrival.Server, a.Host)
			continue
		}
		excess := arrival.Deadline - a.Deadline
		if arrival.At.Sub(first[a.ID].At) > lateRepeat && !r.heldUp(arrival.Server, arrival.At) {
			end := arrival.At.Add(arrival.Deadline)
			pastCaller := end.Sub(a.Sent.Add(a.Deadline))
			pastFirst := end.Sub(first[a.ID].At.Add(first[a.ID].Deadline))
			excess = max(excess, min(pastCaller, pastFirst))
		}
		v.approach(shareOf(max(excess, 0), r.Bounds.DeadlineSlack))
		if excess > r.Bounds.DeadlineSlack {
			v.add("%s reached %s through %s with %v, %v over what the caller had left", a.ID, arrival.Server, a.Host, arrival.Deadline, excess)
		}
	}
	return v
}
