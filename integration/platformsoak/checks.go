package platformsoak

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"
)

// maxServers is the number of servers at which the routes let one attempt run.
const maxServers = 2

// checkRuns compares the responses that callers got with the requests that backend
// servers ran.
func (r *run) checkRuns() {
	runs := map[string]int{}
	for _, b := range r.servers() {
		for _, run := range b.Runs() {
			runs[run.Attempt]++
			if run.Tenant != "org" {
				r.addViolation("UNASKED: %s ran for %q", run.Attempt, run.Tenant)
			}
		}
	}
	for id, a := range r.responses {
		switch {
		case a.status == http.StatusOK && runs[id] == 0:
			r.addViolation("MIXED: %s got status 200 and never ran", id)
		case runs[id] > maxServers+1:
			r.addViolation("BUDGET: %s ran %d times: once at each server and once more after a silence are allowed", id, runs[id])
		}
	}
}

// checkSettled checks that all hosts serve requests again under the latest
// configuration.
func (r *run) checkSettled() {
	for _, p := range r.hosts {
		if !waitReady(p, 3*time.Second) {
			r.addViolation("RECOVER: %s is not ready after the faults", p.name)
			continue
		}
		transport := &http.Transport{DisableKeepAlives: true}
		ok := 0
		for i := range 10 {
			status, _, _, _ := request(context.Background(), transport, p, fmt.Sprintf("%s-%d", p.name, i), "/look/x", lastingKey, maxDeadline)
			if status == http.StatusOK {
				ok++
			}
		}
		if ok < 9 {
			r.addViolation("RECOVER: %s served %d of 10 requests after the faults", p.name, ok)
		}
		for key := range r.revoked {
			id := fmt.Sprintf("%s-%s", p.name, key)
			if status, _, _, _ := request(context.Background(), transport, p, id, "/look/x", key, maxDeadline); status != http.StatusUnauthorized {
				r.addViolation("CONFIG: %s responds with status %d to a revoked key", p.name, status)
			}
		}
	}
}

// thawTime is the time after a freeze of a host in which a call that it had begun may arrive.
const thawTime = 300 * time.Millisecond

// checkReports checks that all reports of a usage window have the same counts, and that
// each fencing token belongs to one holder, which makes no call after its successor.
func (r *run) checkReports() {
	countsByWindow := map[int64]string{}
	holderByToken := map[uint64]string{}
	for _, report := range r.api.Reports() {
		text := fmt.Sprint(report.Counts)
		if old, ok := countsByWindow[report.Window]; ok && old != text {
			r.addViolation("ONE: usage window %d was reported as %s and %s", report.Window, old, text)
		}
		countsByWindow[report.Window] = text
		if old, ok := holderByToken[report.Fence]; ok && old != report.Holder {
			r.addViolation("ONE: fencing token %d was used by %s and %s", report.Fence, old, report.Holder)
		}
		holderByToken[report.Fence] = report.Holder
	}
	if len(countsByWindow) == 0 {
		r.addViolation("Duty: no usage window was reported")
	}
	for _, late := range r.api.LateCalls() {
		thawed := slices.ContainsFunc(r.hosts, func(p *process) bool {
			return p.name == late.Holder && anyBetween(p.faultsAt, late.At.Add(-thawTime), late.At)
		})
		if !thawed {
			r.addViolation("ONE: %s acted with the fencing token %d beside its successor", late.Holder, late.Fence)
		}
	}
}
