package platformsoak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"
)

// completeStream is the body of a streamed response that no fault has cut short.
const completeStream = "id: 1\ndata: token\n\nid: 2\ndata: token\n\nid: 3\ndata: token\n\n"

// sendRequests sends requests over persistent connections until ctx is done.
func (r *run) sendRequests(ctx context.Context, caller int) {
	random := rand.New(rand.NewPCG(r.config.Seed, uint64(caller)))
	transport := &http.Transport{MaxIdleConnsPerHost: 2}
	defer transport.CloseIdleConnections()
	for ctx.Err() == nil {
		p := r.hosts[random.IntN(len(r.hosts))]
		paths := []string{"/pay/x", "/look/x", "/say/x"}
		r.sendOne(ctx, transport, p, paths[random.IntN(len(paths))])
		time.Sleep(time.Duration(5+random.IntN(20)) * time.Millisecond)
	}
}

func (r *run) sendOne(ctx context.Context, transport *http.Transport, p *process, path string) {
	r.mu.Lock()
	r.attempts++
	id := fmt.Sprintf("%08x", r.attempts)
	key := r.keys[len(r.keys)-1]
	for old := range r.revoked {
		if r.attempts%5 == 0 {
			key = old
		}
	}
	revokedAt, old := r.revoked[key]
	r.mu.Unlock()
	sent := time.Now()
	barred := r.barredServers(p, sent)
	status, header, body, err := request(ctx, transport, p, id, path, key)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Requests++
	r.noteLeaving(p, header, time.Now())
	want := "answer"
	if strings.HasPrefix(path, "/say") {
		want = completeStream
	}
	complete := err == nil && body == want
	if status == http.StatusOK {
		r.result.Served++
		if err == nil && header.Get(headerUnframed) != "" {
			r.result.Violations = append(r.result.Violations, fmt.Sprintf("%s got a response without a length or chunks, which the end of the host would complete", id))
		}
		if err == nil && !complete {
			r.result.Violations = append(r.result.Violations, fmt.Sprintf("%s got a wrong or truncated body as a complete response: %q", id, body))
		}
		if old && sent.Sub(revokedAt) > revocationLimit && sent.After(p.settledAt) {
			r.result.Violations = append(r.result.Violations, fmt.Sprintf("%s was served for a key revoked %v before", id, sent.Sub(revokedAt)))
		}
	}
	r.responses[id] = response{path: path, status: status, complete: complete, host: p, sentAt: sent, barred: barred}
}

// headerUnframed marks a response without a length or chunks for the checks.
const headerUnframed = "Soak-Unframed"

func request(ctx context.Context, transport *http.Transport, p *process, id, path, key string) (int, http.Header, string, error) {
	ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.callers+path, strings.NewReader("body"))
	if err != nil {
		return 0, nil, "", err
	}
	// Without GetBody the transport cannot resend the request on its own.
	req.GetBody = nil
	req.Host = "h"
	req.Header.Set("Attempt-Id", id)
	req.Header.Set("Authorization", "Token "+key)
	req.Header.Set("Deadline-Ms", "2000")
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return 0, nil, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		resp.Header.Set(headerUnframed, "1")
	}
	return resp.StatusCode, resp.Header, string(body), err
}

// notRunStatuses are the response statuses that promise that a request has not run.
var notRunStatuses = map[int]bool{
	http.StatusServiceUnavailable: true, http.StatusTooManyRequests: true, http.StatusRequestTimeout: true,
	http.StatusMisdirectedRequest: true,
}

// maxServers is the number of servers at which the routes let one attempt run.
const maxServers = 2

// checkRuns compares the responses that callers got with the requests that backend
// servers ran.
func (r *run) checkRuns() {
	runs := map[string]int{}
	servers := map[string]map[string]bool{}
	for _, b := range r.backendServers {
		for _, run := range b.Runs() {
			runs[run.Attempt]++
			if servers[run.Attempt] == nil {
				servers[run.Attempt] = map[string]bool{}
			}
			servers[run.Attempt][b.ID] = true
			if run.Tenant != "org" {
				r.addViolation("%s ran for %q", run.Attempt, run.Tenant)
			}
		}
	}
	for id, a := range r.responses {
		payment := strings.HasPrefix(a.path, "/pay")
		switch {
		case payment && runs[id] > 1:
			r.addViolation("payment %s ran %d times", id, runs[id])
		case payment && notRunStatuses[a.status] && runs[id] > 0:
			r.addViolation("payment %s ran although its status %d promises that it did not", id, a.status)
		case a.status == http.StatusOK && runs[id] == 0:
			r.addViolation("%s got status 200 and never ran", id)
		case len(servers[id]) > maxServers:
			r.addViolation("%s ran at %d servers, but its route allows %d", id, len(servers[id]), maxServers)
		case runs[id] > maxServers+1:
			r.addViolation("%s ran %d times: once at each server and once more after a silence are allowed", id, runs[id])
		}
	}
}

// checkSettled checks that all hosts serve requests again under the latest
// configuration.
func (r *run) checkSettled() {
	for _, p := range r.hosts {
		if !waitReady(p, 3*time.Second) {
			r.addViolation("%s is not ready after the faults", p.name)
			continue
		}
		transport := &http.Transport{DisableKeepAlives: true}
		ok := 0
		for i := range 10 {
			status, _, _, _ := request(context.Background(), transport, p, fmt.Sprintf("%s-%d", p.name, i), "/look/x", r.keys[0])
			if status == http.StatusOK {
				ok++
			}
		}
		if ok < 9 {
			r.addViolation("%s served %d of 10 requests after the faults", p.name, ok)
		}
		for key := range r.revoked {
			if status, _, _, _ := request(context.Background(), transport, p, "revoked", "/look/x", key); status != http.StatusUnauthorized {
				r.addViolation("%s responds with status %d to a revoked key", p.name, status)
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
			r.addViolation("usage window %d was reported as %s and %s", report.Window, old, text)
		}
		countsByWindow[report.Window] = text
		if old, ok := holderByToken[report.Fence]; ok && old != report.Holder {
			r.addViolation("fencing token %d was used by %s and %s", report.Fence, old, report.Holder)
		}
		holderByToken[report.Fence] = report.Holder
	}
	if len(countsByWindow) == 0 {
		r.addViolation("no usage window was reported")
	}
	for _, late := range r.api.LateCalls() {
		thawed := slices.ContainsFunc(r.hosts, func(p *process) bool {
			return p.name == late.Holder && anyBetween(p.faultsAt, late.At.Add(-thawTime), late.At)
		})
		if !thawed {
			r.addViolation("%s acted with the fencing token %d beside its successor", late.Holder, late.Fence)
		}
	}
}
