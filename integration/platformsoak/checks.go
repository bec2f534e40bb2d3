package platformsoak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

const wholeStream = "id: 1\ndata: token\n\nid: 2\ndata: token\n\nid: 3\ndata: token\n\n"

// call sends requests over kept connections until ctx ends.
func (r *run) call(ctx context.Context, caller int) {
	random := rand.New(rand.NewPCG(r.config.Seed, uint64(caller)))
	transport := &http.Transport{MaxIdleConnsPerHost: 2}
	defer transport.CloseIdleConnections()
	for ctx.Err() == nil {
		p := r.hosts[random.IntN(len(r.hosts))]
		paths := []string{"/pay/x", "/look/x", "/say/x"}
		r.one(ctx, transport, p, paths[random.IntN(len(paths))])
		time.Sleep(time.Duration(5+random.IntN(20)) * time.Millisecond)
	}
}

func (r *run) one(ctx context.Context, transport *http.Transport, p *process, path string) {
	r.mu.Lock()
	r.attempts++
	id := fmt.Sprintf("%08x", r.attempts)
	key := r.keys[len(r.keys)-1]
	for old := range r.revoked {
		if r.attempts%5 == 0 {
			key = old
		}
	}
	withdrawn, old := r.revoked[key]
	r.mu.Unlock()
	sent := time.Now()
	status, body, err := request(ctx, transport, p, id, path, key)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Requests++
	want := "answer"
	if strings.HasPrefix(path, "/say") {
		want = wholeStream
	}
	whole := err == nil && body == want
	if status == http.StatusOK {
		r.result.Served++
		if err == nil && !whole {
			r.result.Violations = append(r.result.Violations, fmt.Sprintf("%s got a part as the whole: %q", id, body))
		}
		if old && sent.Sub(withdrawn) > keyGrace && sent.After(p.disturbed) {
			r.result.Violations = append(r.result.Violations, fmt.Sprintf("%s ran for a key withdrawn %v before", id, sent.Sub(withdrawn)))
		}
	}
	r.answers[id] = answer{path, status, whole}
}

func request(ctx context.Context, transport *http.Transport, p *process, id, path, key string) (int, string, error) {
	ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.callers+path, strings.NewReader("body"))
	if err != nil {
		return 0, "", err
	}
	// The transport must not send anything again by itself.
	req.GetBody = nil
	req.Host = "h"
	req.Header.Set("Attempt-Id", id)
	req.Header.Set("Authorization", "Token "+key)
	req.Header.Set("Deadline-Ms", "2000")
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body), err
}

// promised are the statuses that say that a request has not run.
var promised = map[int]bool{
	http.StatusServiceUnavailable: true, http.StatusTooManyRequests: true, http.StatusRequestTimeout: true,
	http.StatusMisdirectedRequest: true,
}

// checkRuns compares what callers were told with what backend servers ran.
func (r *run) checkRuns() {
	runs := map[string]int{}
	for _, n := range r.backendServers {
		for _, run := range n.Runs() {
			runs[run.Attempt]++
			if run.Tenant != "org" {
				r.violate("%s ran for %q", run.Attempt, run.Tenant)
			}
		}
	}
	for id, a := range r.answers {
		payment := strings.HasPrefix(a.path, "/pay")
		switch {
		case payment && runs[id] > 1:
			r.violate("payment %s ran %d times", id, runs[id])
		case payment && promised[a.status] && runs[id] > 0:
			r.violate("payment %s was said not to have run (%d)", id, a.status)
		case a.status == http.StatusOK && runs[id] == 0:
			r.violate("%s was answered and never ran", id)
		case runs[id] > 2:
			r.violate("%s ran %d times, its route allows 2", id, runs[id])
		}
	}
}

// checkSettled checks that all hosts serve again under the last configuration.
func (r *run) checkSettled() {
	for _, p := range r.hosts {
		if !waitReady(p, 3*time.Second) {
			r.violate("%s is not ready after the faults", p.name)
			continue
		}
		transport := &http.Transport{DisableKeepAlives: true}
		ok := 0
		for i := range 10 {
			status, _, _ := request(context.Background(), transport, p, fmt.Sprintf("%s-%d", p.name, i), "/look/x", r.keys[0])
			if status == http.StatusOK {
				ok++
			}
		}
		if ok < 9 {
			r.violate("%s serves %d of 10 requests after the faults", p.name, ok)
		}
		for key := range r.revoked {
			if status, _, _ := request(context.Background(), transport, p, "revoked", "/look/x", key); status != http.StatusUnauthorized {
				r.violate("%s answers %d to a withdrawn key", p.name, status)
			}
		}
	}
}

// checkReports checks that a window was reported under one set of figures, and
// that fencing tokens name one holder each.
func (r *run) checkReports() {
	figures := map[int64]string{}
	holders := map[uint64]string{}
	for _, report := range r.api.Reports() {
		text := fmt.Sprint(report.Counts)
		if old, ok := figures[report.Window]; ok && old != text {
			r.violate("window %d was reported as %s and %s", report.Window, old, text)
		}
		figures[report.Window] = text
		if old, ok := holders[report.Fence]; ok && old != report.Holder {
			r.violate("fencing token %d was used by %s and %s", report.Fence, old, report.Holder)
		}
		holders[report.Fence] = report.Holder
	}
	if len(figures) == 0 {
		r.violate("no usage window was reported")
	}
}
