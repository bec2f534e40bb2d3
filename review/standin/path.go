package main

import (
	"fmt"
	"time"
)

// doubleSlash sends requests whose paths begin with two slashes. It reports whether a runner
// ran one with another path.
func doubleSlash(trouble bool) bool {
	s := newStore()
	zones := []string{"amman-a", "amman-b", "amman-c"}
	const service = "wuno96b"
	putConfig(s, 7, []any{plainRoute("r-28m82th", "/", "non_idempotent", service, 1)}, []any{plainService(service)})
	var runners []*runner
	for i := range 3 {
		runners = append(runners, openRunner(s, fmt.Sprintf("i-7f3a91c%d", i), service, zones[i%3], "", 30*time.Millisecond, time.Duration(i)*beatInterval/3))
	}
	hosts := startHosts(tempDir, s.open(), openAPI(), "usage_report", zones, 1)
	sent := map[string]string{}
	for i := range 9 {
		target := fmt.Sprintf("/orders/%d", i)
		if trouble {
			target = "/" + target
		}
		c := client{address: hosts[i%3].front()}
		a := c.send("POST", target, "pay", 1500*time.Millisecond)
		c.close()
		note("client: %s %s, status %d, body %q, error %v", a.attempt, target, a.status, a.body, a.err)
		sent[a.attempt] = target
	}
	changed := 0
	for _, r := range runners {
		for _, run := range r.allRuns() {
			if run.target != sent[run.attempt] {
				changed++
				note("%s was sent as %q and run as %q", run.attempt, sent[run.attempt], run.target)
			}
		}
	}
	fmt.Printf("%d of %d requests were run with another path\n", changed, len(sent))
	return changed > 0
}
