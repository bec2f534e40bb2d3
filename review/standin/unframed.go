package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	// eventCount is the number of events of a stream, eventGap the time between them.
	eventCount = 10
	eventGap   = 200 * time.Millisecond
)

// unframedStream kills a host while it passes on streams that have no length and end with
// their connection. It reports whether a client got a stream that ended in good order before
// its last event.
func unframedStream(trouble bool) bool {
	s := newStore()
	zones := []string{"amman-a", "amman-b", "amman-c"}
	const service = "huvo11a"
	route := plainRoute("r-r26tta8", "/lohu930/", "streaming", service, 2)
	route["timeout_ms"], route["target_gap_ms"], route["sticky"], route["resumable"] = 6000, 250, true, true
	engine := plainService(service)
	engine["engine"] = map[string]any{"slots": 16, "kv_tokens": 422669, "kv_token_bytes": 163840, "link_mbps": 1000000.0, "kv_hold_s": 5.0, "switch_s": 3.0, "models": []any{map[string]any{"name": "m"}}}
	putConfig(s, 7, []any{route}, []any{engine})
	for i := range 6 {
		r := openRunner(s, fmt.Sprintf("i-7f3a91c%d", i), service, zones[i%3], "decode", eventGap, time.Duration(i)*beatInterval/6)
		r.serve = serveUnframed
	}
	hosts := startHosts(tempDir, s.open(), openAPI(), "usage_report", zones, 1)
	var clients sync.WaitGroup
	var mu sync.Mutex
	broken, whole, failed := 0, 0, 0
	for i := range 6 {
		clients.Go(func() {
			c := client{address: hosts[0].front()}
			a := c.send("POST", "/lohu930/2f", "prompt", 6*time.Second)
			note("client %d: %s sent at %.3f, status %d, signature %q, length or chunks %v, %d events, error %v",
				i, a.attempt, a.sentAt.Sub(started).Seconds(), a.status, a.header.Get("Response-Seal"), a.framed, a.events(), a.err)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case a.err != nil || a.status != 200:
				failed++
			case a.events() < eventCount || !strings.Contains(a.body, fmt.Sprintf("id: %d\n", eventCount)):
				broken++
			default:
				whole++
			}
		})
	}
	time.Sleep(eventGap*eventCount/2 + 50*time.Millisecond)
	if trouble {
		hosts[0].kill()
	}
	clients.Wait()
	note("%d streams whole, %d ended in good order before their last event, %d failed", whole, broken, failed)
	fmt.Printf("%d streams whole, %d ended in good order before their last event, %d failed\n", whole, broken, failed)
	if !trouble && whole != 6 {
		cannotRun("not all streams were served")
	}
	return broken > 0
}
