package main

import (
	"fmt"
	"math/rand"
	"sync"
	"syscall"
	"time"
)

func init() { cases["slowmove"] = slowMove }

// slowMove has one of seven model runners work five times as long for 6.5 s, three times, while
// clients send streams that may be resumed. Most runners drop a request when its connection
// closes; three of the seven go on with it.
func slowMove(l *lab) error {
	route := map[string]any{"name": "season-review", "host": "shop.example", "path_prefix": "/season-review/", "kind": "streaming", "service": "coach-assistant",
		"max_attempts": 2, "timeout_ms": 6000, "target_latency_ms": 600, "target_gap_ms": 150, "priority": 1, "resumable": true, "sticky": true}
	l.store.put("keyed.op", "config", map[string]any{
		"version": 3, "routes": []any{route},
		"services": []any{map[string]any{"name": "coach-assistant", "health_path": "/healthz", "max_conns": 180, "engine": map[string]any{
			"slots": 16, "kv_tokens": 422669, "kv_token_bytes": 163840, "link_mbps": 1000000, "kv_hold_s": 5, "switch_s": 3}}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "cooper", "api_keys": []string{"k1"}, "priority": 0}},
	})
	const runners, keeping = 7, 3
	for i := range runners {
		args := []string{"-events", "15", "-first", "360ms", "-pause", "25ms"}
		if i < keeping {
			args = append(args, "-keeps")
		}
		if _, err := l.addRunner(fmt.Sprintf("i-%d", i+1), "coach-assistant", zones[i%3], "decode", args...); err != nil {
			return err
		}
	}
	if err := l.startHosts(8); err != nil {
		return err
	}
	done := make(chan struct{})
	var group sync.WaitGroup
	var mu sync.Mutex
	var answers []answer
	for c := range 24 {
		group.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				case <-time.After(time.Duration(500+rand.Intn(1500)) * time.Millisecond):
				}
				id := fmt.Sprintf("%04x%08x", c, n)
				a := send(l.hosts[(c+n)%len(l.hosts)], "POST", "/season-review/x", id, "prompt "+id, 6*time.Second, map[string]string{
					"Model": "m", "Token-Counts": "4000,15", "Prefix-Hash": fmt.Sprintf("%x:280,%x:3720", 0x5c1e07a2+(c+n)%20, c<<16+n+1<<40)})
				mu.Lock()
				answers = append(answers, a)
				mu.Unlock()
			}
		})
	}
	// Hosts have no retries for the first 10 s.
	time.Sleep(15 * time.Second)
	for range 3 {
		if !l.trouble {
			break
		}
		// A seventh of the runners is slow: of those that go on, the one with the most streams.
		victim := l.runners[0]
		for _, r := range l.runners[:keeping] {
			if len(l.runs(r)) > len(l.runs(victim)) {
				victim = r
			}
		}
		victim.signal(syscall.SIGUSR1)
		l.note("runner %s is slow", victim.name)
		time.Sleep(6500 * time.Millisecond)
		victim.signal(syscall.SIGUSR2)
		l.note("runner %s is as usual", victim.name)
		time.Sleep(4 * time.Second)
	}
	time.Sleep(5 * time.Second)
	close(done)
	group.Wait()
	time.Sleep(4 * time.Second)
	type work struct {
		runner     string
		began, end int64
	}
	works := map[string][]*work{}
	for _, r := range l.runners {
		for _, line := range l.runs(r) {
			var kind, id string
			var at int64
			if _, err := fmt.Sscanf(line, "%s %s %d", &kind, &id, &at); err != nil {
				continue
			}
			if kind == "run" {
				works[id] = append(works[id], &work{r.name, at, at})
				continue
			}
			for _, w := range works[id] {
				if w.runner == r.name {
					w.end = at
				}
			}
		}
	}
	results := map[string]int{}
	for _, a := range answers {
		results[fmt.Sprintf("status %d, complete %v", a.status, a.complete)]++
		for _, w := range works[a.id] {
			l.note("%s: status %d after %.2f s; worked on at %s from %d to %d", a.id, a.status, a.took.Seconds(), w.runner, w.began-l.started.UnixMilli(), w.end-l.started.UnixMilli())
			for _, o := range works[a.id] {
				if o != w && o.began > w.began && w.end > o.began+400 {
					l.broken("%s went on at %s while %s worked on it for another %d ms", a.id, o.runner, w.runner, w.end-o.began)
				}
			}
		}
	}
	l.note("%v", results)
	return nil
}
