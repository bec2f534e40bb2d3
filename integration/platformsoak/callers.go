package platformsoak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/redwingpath/redwingpath/integration/platformsoak/judge"
)

// completeStream is the body of a streamed response that no fault has cut short.
const completeStream = "id: 1\ndata: token\n\nid: 2\ndata: token\n\nid: 3\ndata: token\n\n"

const (
	// minDeadline and maxDeadline are the deadlines that callers state.
	minDeadline, maxDeadline = time.Second, 2 * time.Second
	// minPause and maxPause bound the pause of a caller between two requests.
	minPause, maxPause = 20 * time.Millisecond, 80 * time.Millisecond
)

// callerRoutes are the routes of the callers' requests, by their frequency.
var callerRoutes = []string{"pay", "refund", "look", "look", "say", "tell", movingRoute}

// sendRequests sends requests over persistent connections until ctx is done.
func (r *run) sendRequests(ctx context.Context, caller int) {
	random := rand.New(rand.NewPCG(r.config.Seed, uint64(caller)))
	transport := &http.Transport{MaxIdleConnsPerHost: 2}
	defer transport.CloseIdleConnections()
	for ctx.Err() == nil {
		p := r.hosts[random.IntN(len(r.hosts))]
		r.sendOne(ctx, transport, p, callerRoutes[random.IntN(len(callerRoutes))], r.callerKey(random))
		time.Sleep(minPause + time.Duration(random.Int64N(int64(maxPause-minPause))))
		if r.quiet.Load() {
			time.Sleep(quietPause)
		}
	}
}

// callerKey returns the lasting key, the newest one or one that was withdrawn.
func (r *run) callerKey(random *rand.Rand) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := &r.configuration
	switch random.IntN(5) {
	case 0:
		return pick(random, c.withdrawnKeys, len(c.withdrawnKeys), lastingKey)
	case 1:
		return pick(random, c.keys, 1, lastingKey)
	default:
		return lastingKey
	}
}

func (r *run) sendOne(ctx context.Context, transport *http.Transport, p *process, route, key string) {
	r.mu.Lock()
	r.attempts++
	id := fmt.Sprintf("%08x", r.attempts)
	deadline := maxDeadline
	if r.attempts%3 == 0 {
		deadline = minDeadline
	}
	revokedAt, old := r.revoked[key]
	life := p.life
	r.mu.Unlock()
	sent := time.Now()
	barred := r.barredServers(p, sent)
	status, header, body, err := request(ctx, transport, p, id, "/"+route+"/x", key, deadline)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Requests++
	r.noteLeaving(p, life, header, time.Now())
	r.noteLimit(p, life, header, time.Now())
	want := "answer"
	if firstRoutes[route].kind == "streaming" {
		want = completeStream
	}
	complete := err == nil && body == want
	if status == http.StatusOK {
		r.result.Served++
		if err == nil && header.Get(headerUnframed) != "" {
			r.result.Violations = append(r.result.Violations, fmt.Sprintf("MIXED: %s got a response without a length or chunks, which the end of the host would complete", id))
		}
		if err == nil && !complete {
			r.result.Violations = append(r.result.Violations, fmt.Sprintf("MIXED: %s got a wrong or truncated body as a complete response: %q", id, body))
		}
		if old && sent.Sub(revokedAt) > revocationLimit && sent.After(p.settledAt) {
			r.result.Violations = append(r.result.Violations, fmt.Sprintf("CONFIG: %s was served for a key revoked %v before", id, sent.Sub(revokedAt)))
		}
	}
	r.responses[id] = response{status: status, host: p, barred: barred}
	r.records = append(r.records, judge.Attempt{
		ID: id, Host: p.name, Route: route, Key: key, Life: life, EndLife: p.life, Sent: sent, Ended: time.Now(),
		Status: status, Complete: complete, Deadline: deadline,
	})
}

// headerUnframed marks a response without a length or chunks for the checks.
const headerUnframed = "Soak-Unframed"

func request(ctx context.Context, transport *http.Transport, p *process, id, path, key string, deadline time.Duration) (int, http.Header, string, error) {
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
	req.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
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
