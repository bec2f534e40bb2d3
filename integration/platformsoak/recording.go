package platformsoak

import (
	"fmt"
	"slices"
	"time"

	"github.com/redwingpath/redwingpath/integration/platformsoak/judge"
)

// bounds are the bounds of the rules, in part through the settings of the hosts.
var bounds = judge.Bounds{
	Contact: 3 * time.Second, Config: 2 * time.Second, MaxSkew: 5 * time.Second, RollbackSlack: 250 * time.Millisecond,
	Drain: leavingLimit, PauseDelay: pauseLimit, MaxPaused: maxPausedArrivals, RetryWindow: 10 * time.Second, RetryRatio: 0.1, RetrySlack: 56, DeadlineSlack: 500 * time.Millisecond,
	LimitWindow: 4 * time.Second, LimitDelay: 500 * time.Millisecond, LimitFactor: 1.5, LimitSlack: 5,
}

// boundSettings returns the settings that state the bounds to a host.
func boundSettings() []string {
	return []string{
		fmt.Sprintf("bounds.drain_ms=%d", bounds.Drain.Milliseconds()),
		fmt.Sprintf("bounds.retry_window_s=%g", bounds.RetryWindow.Seconds()),
		fmt.Sprintf("bounds.retry_ratio=%g", bounds.RetryRatio),
		fmt.Sprintf("bounds.retry_slack=%g", bounds.RetrySlack),
	}
}

// disturb records the beginning of a disturbance. The returned function records its end.
func (r *run) disturb(kind judge.Kind, target string) (end func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	index := len(r.disturbances)
	r.disturbances = append(r.disturbances, judge.Disturbance{Kind: kind, Target: target, From: time.Now()})
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.disturbances[index].To = time.Now()
	}
}

// depart records that the store has acknowledged that a server is draining or gone.
func (r *run) depart(server string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.departures = append(r.departures, judge.Departure{Server: server, Acked: time.Now()})
}

// judgeRecord adds the verdicts on what was recorded.
func (r *run) judgeRecord() {
	r.mu.Lock()
	defer r.mu.Unlock()
	record := &judge.Record{
		Bounds: bounds, Routes: r.routes, Attempts: r.records, Versions: r.configuration.versions,
		Departures: r.departures, Disturbances: r.disturbances, Invalid: r.configuration.invalid,
		Notices: r.notices, LimitNotices: r.limitNotices,
	}
	for _, b := range r.backendServers {
		for _, received := range b.Received() {
			record.Arrivals = append(record.Arrivals, judge.Arrival{
				Attempt: received.Attempt, Server: b.ID, Service: b.Service, At: received.At, Ran: received.Ran,
				Misdirected: received.Misdirected, Prefill: received.Prefill, Deadline: received.Deadline,
			})
		}
	}
	for _, limit := range r.limits {
		record.Limits = append(record.Limits, *limit)
	}
	for _, b := range r.backendServers {
		for _, refusal := range b.Refusals() {
			record.Refusals = append(record.Refusals, judge.Refusal{Attempt: refusal.Attempt, Server: b.ID, At: refusal.At, Until: refusal.Until})
		}
	}
	r.result.Verdicts = judge.All(record)
	for _, v := range r.result.Verdicts {
		for _, violation := range v.Violations {
			r.result.Violations = append(r.result.Violations, v.Rule+": "+violation)
		}
	}
	slices.Sort(r.result.Violations)
}
