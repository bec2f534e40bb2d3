package platformsoak

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/redwingpath/redwingpath/integration/platformsoak/judge"
	"github.com/redwingpath/redwingpath/platform/platformtest"
)

const (
	// crashingPart is a part of prompts under which engines crash, and soundPart another
	// one that sound requests share with it.
	crashingPart, soundPart = "bad", "50"
	// crashDownTime is how long an engine is down after a crash.
	crashDownTime = 300 * time.Millisecond
	// crashingPromptInterval is the pause between requests with the crashing part.
	crashingPromptInterval = 700 * time.Millisecond
	// expectedCrashes is the number of crashes after which all hosts must hold the part,
	// and allowedSends the number of requests that may still reach engines.
	expectedCrashes, allowedSends = 5, 3
)

// sendCrashingPrompts sends requests with the crashing part to all hosts in turn.
func (r *run) sendCrashingPrompts(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		r.sendPrompt(ctx, r.hosts[n%len(r.hosts)], fmt.Sprint("bad-", n), crashingPart)
		time.Sleep(crashingPromptInterval)
	}
}

// sendPrompt sends a request with two shared parts and returns the status, 0 without a
// complete response.
func (r *run) sendPrompt(ctx context.Context, p *process, id, part string) int {
	ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.callers+"/say/"+id, strings.NewReader(id))
	if err != nil {
		return 0
	}
	r.mu.Lock()
	life := p.life
	r.mu.Unlock()
	sent := time.Now()
	req.Host = "h"
	req.Header.Set("Attempt-Id", id)
	req.Header.Set("Authorization", "Token "+lastingKey)
	req.Header.Set("Deadline-Ms", fmt.Sprint(maxDeadline.Milliseconds()))
	platformtest.SetPrompt(req.Header, soundPart, part, fmt.Sprintf("%x", len(id)+1000))
	status := 0
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err == nil {
		status = resp.StatusCode
		_ = resp.Body.Close()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records = append(r.records, judge.Attempt{
		ID: id, Host: p.name, Route: "say", Key: lastingKey, Life: life, EndLife: p.life, Sent: sent, Ended: time.Now(),
		Status: status, Deadline: maxDeadline,
	})
	return status
}

// crashes returns the number of requests with the crashing part that reached engines.
func (r *run) crashes() int {
	n := 0
	for _, b := range r.servers() {
		for _, run := range b.Runs() {
			if slices.Contains(run.Parts, crashingPart) {
				n++
			}
		}
	}
	return n
}

// checkHeldPart checks that all hosts hold back the crashing part after enough crashes, and
// serve the sound requests that share the other parts.
func (r *run) checkHeldPart() {
	before := r.crashes()
	ctx := context.Background()
	for i := range 4 * len(r.hosts) {
		r.sendPrompt(ctx, r.hosts[i%len(r.hosts)], fmt.Sprint("late-", i), crashingPart)
	}
	if late := r.crashes() - before; before >= expectedCrashes && late > allowedSends {
		r.addViolation("BUDGET: %d requests with the crashing part reached engines after %d had", late, before)
	}
	time.Sleep(2 * crashDownTime)
	served := 0
	const sound = 10
	for i := range sound {
		if r.sendPrompt(ctx, r.hosts[i%len(r.hosts)], fmt.Sprint("sound-", i), "51") == http.StatusOK {
			served++
		}
	}
	if served < sound-1 {
		r.addViolation("RECOVER: %d of %d sound requests beside the crashing part were served", served, sound)
	}
}
