package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["cutstream"] = cutStream }

const (
	// cutEvents and cutPause are the events of a stream and the pause between them: a stream
	// lasts for 3 s.
	cutEvents = 20
	cutPause  = 150 * time.Millisecond
	// cutRounds is the number of crashes, cutStreams that of the streams at the time of each.
	cutRounds, cutStreams = 4, 240
)

// cutStream kills a runner in the middle of streams that have no length.
func cutStream(l *lab) error {
	route := map[string]any{"name": "respuesta-breve", "host": "shop.example", "path_prefix": "/respuesta-breve/", "kind": "streaming", "service": "tasador",
		"max_attempts": 2, "timeout_ms": 6000, "target_latency_ms": 800, "target_gap_ms": 250, "priority": 0, "resumable": true, "sticky": true}
	l.store.put("keyed.op", "config", map[string]any{
		"version": 3, "routes": []any{route},
		"services": []any{map[string]any{"name": "tasador", "health_path": "/healthz", "max_conns": 620, "engine": map[string]any{
			"slots": 128, "kv_tokens": 1182127, "kv_token_bytes": 18432, "link_mbps": 550000, "kv_hold_s": 5, "switch_s": 3}}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 30000},
		"tenants": []any{map[string]any{"name": "cooper", "api_keys": []string{"k1"}, "priority": 0}},
	})
	for i := range 4 {
		if _, err := l.addRunner(fmt.Sprintf("i-%d", i+1), "tasador", zones[i%3], "decode", "-unframed", "-events", fmt.Sprint(cutEvents), "-pause", cutPause.String()); err != nil {
			return err
		}
	}
	if err := l.startHosts(8); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	for round := range cutRounds {
		if err := l.cutRound(round, nil); err != nil {
			return err
		}
	}
	if l.violated {
		return nil
	}
	// A kernel that closes the listening socket of a killed process first hides the fault,
	// unless the host asks only once the runner is back.
	return l.cutRound(cutRounds, l.hosts[0])
}

// cutRound has all hosts forward streams, and kills the runner with the most of them. A host
// that is not nil stands still meanwhile.
func (l *lab) cutRound(round int, frozen *process) error {
	before := map[*runnerProcess]int{}
	for _, r := range l.runners {
		before[r] = len(l.runs(r))
	}
	answers := make([]answer, cutStreams)
	var group sync.WaitGroup
	for i := range cutStreams {
		id := fmt.Sprintf("9c41d07be2%02x%04x", round, i)
		group.Go(func() {
			answers[i] = send(l.hosts[i%len(l.hosts)], "POST", "/respuesta-breve/x", id, "prompt "+id, 6*time.Second, map[string]string{
				"Model": "m", "Token-Counts": "1460,80", "Prefix-Hash": fmt.Sprintf("%x:350,%x:1110", 0x5c1e07a2+i%20, round<<16+i)})
		})
	}
	time.Sleep(1500 * time.Millisecond)
	if l.trouble {
		victim := l.runners[0]
		for _, r := range l.runners {
			if len(l.runs(r))-before[r] > len(l.runs(victim))-before[victim] {
				victim = r
			}
		}
		if frozen != nil {
			l.note("host %s is stopped", frozen.name)
			frozen.signal(syscall.SIGSTOP)
			time.Sleep(200 * time.Millisecond)
		}
		victim.end()
		l.note("runner %s is killed", victim.name)
		time.Sleep(2 * time.Second)
		if err := l.startRunner(victim); err != nil {
			return err
		}
		l.note("runner %s is back", victim.name)
		if frozen != nil {
			time.Sleep(200 * time.Millisecond)
			frozen.signal(syscall.SIGCONT)
			l.note("host %s goes on", frozen.name)
		}
	}
	group.Wait()
	results := map[string]int{}
	for _, a := range answers {
		events := strings.Count(a.body, "\n\n")
		l.note("%s: status %d, %d events, ended as complete: %v (%v), %.1f s, seal %s", a.id, a.status, events, a.complete, a.err, a.took.Seconds(), a.header.Get("Response-Seal"))
		whole := a.body == wholeStream(a.id, cutEvents)
		results[fmt.Sprintf("status %d, complete %v, whole %v", a.status, a.complete, whole)]++
		if a.status == 200 && a.complete && !whole {
			l.broken("%s ended as complete after %d of %d events", a.id, events, cutEvents)
		}
	}
	l.note("round %d: %v", round, results)
	for _, r := range l.runners {
		for _, line := range l.runs(r)[min(before[r], len(l.runs(r))):] {
			if strings.HasPrefix(line, "run") || strings.HasPrefix(line, "done") {
				l.note("runner %s: %s", r.name, line)
			}
		}
	}
	return nil
}
