package platformsoak

import (
	"fmt"
	"net/http"
	"slices"
	"syscall"
	"time"
)

const (
	// leavingLimit is the time after which a server that is leaving or removed must get no
	// more requests.
	leavingLimit = 2 * time.Second
	// pauseLimit is the time after a refusal with Retry-After from which on at most
	// maxPausedArrivals requests of a host may reach the server until the stated end.
	pauseLimit        = 500 * time.Millisecond
	maxPausedArrivals = 2
	// disturbedTime is how long a fault of a server or its connections may hold up its
	// responses.
	disturbedTime = 3 * time.Second
)

// hostServer is a host and the ID of a server.
type hostServer struct{ host, server string }

// injectNotice makes a server state that it is leaving or wants no requests, or removes its
// entry beside a restart of a host. Servers that leave are replaced.
func (r *run) injectNotice(p *process) {
	b := r.backendServers[r.random.IntN(len(r.backendServers))]
	switch r.random.IntN(3) {
	case 0:
		b.RefuseFor(r.randomDuration(time.Second, 3*time.Second))
	case 1:
		r.replace(b)
		b.SetLeaving(true)
	case 2:
		r.replace(b)
		_ = p.cmd.Process.Signal(syscall.SIGKILL)
		r.store.PutRaw("keyed.servers", b.ID, nil)
		r.mu.Lock()
		if _, known := r.removedAt[b.ID]; !known {
			r.removedAt[b.ID] = time.Now()
		}
		r.mu.Unlock()
		r.restart(p, syscall.SIGKILL)
	}
}

// replace adds a server of the same kind.
func (r *run) replace(b *backendServer) {
	if err := r.addBackendServer(fmt.Sprint("i-", len(r.backendServers)), b.Service, b.Stage); err != nil {
		r.addViolation("no backend server could be added: %v", err)
	}
}

// noteLeaving records that a host passed on a response of a server that is leaving. The caller
// holds r.mu.
func (r *run) noteLeaving(p *process, h http.Header, now time.Time) {
	if h.Get("Server-Leaving") != "1" {
		return
	}
	key := hostServer{p.name, h.Get("Instance-Id")}
	if _, known := r.saidLeaving[key]; !known {
		r.saidLeaving[key] = now
	}
}

// forgetNotices records a fault of a host, which excuses what it has passed on before.
func (r *run) forgetNotices(p *process) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p.faultsAt = append(p.faultsAt, time.Now())
	for key := range r.saidLeaving {
		if key.host == p.name {
			delete(r.saidLeaving, key)
		}
	}
}

// barredServers returns the servers that must not get a request sent to a host now.
func (r *run) barredServers(p *process, now time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var barred []string
	for key, at := range r.saidLeaving {
		if key.host == p.name && now.Sub(at) > leavingLimit {
			barred = append(barred, key.server)
		}
	}
	for server, at := range r.removedAt {
		if now.Sub(at) > leavingLimit && now.After(p.settledAt) {
			barred = append(barred, server)
		}
	}
	return barred
}

// checkNotices checks that servers got no requests that they or the store had ruled out.
func (r *run) checkNotices() {
	for _, b := range r.backendServers {
		for _, run := range b.Runs() {
			if a, known := r.responses[run.Attempt]; known && slices.Contains(a.barred, b.ID) {
				r.addViolation("%s ran at %s, which was leaving, through %s", run.Attempt, b.ID, a.host.name)
			}
		}
		r.checkPauses(b)
	}
}

// checkPauses checks that each host left a server alone that had asked it to.
func (r *run) checkPauses(b *backendServer) {
	first := map[*process]time.Time{}
	end := map[*process]time.Time{}
	arrived := map[*process]int{}
	for _, refusal := range b.Refusals() {
		a, known := r.responses[refusal.Attempt]
		if !known {
			continue
		}
		if refusal.Until.After(end[a.host]) {
			first[a.host], end[a.host], arrived[a.host] = refusal.At, refusal.Until, 0
		}
		// Later faults than the pause do not matter.
		from := first[a.host].Add(-disturbedTime)
		if anyBetween(a.host.faultsAt, from, refusal.At) || anyBetween(b.disturbedAt, from, refusal.At) {
			continue
		}
		if refusal.At.After(first[a.host].Add(pauseLimit)) {
			arrived[a.host]++
		}
		if arrived[a.host] == maxPausedArrivals+1 {
			r.addViolation("%s reached %s through %s, %v after a refusal with Retry-After", refusal.Attempt, b.ID, a.host.name, refusal.At.Sub(first[a.host]))
		}
	}
}

func anyBetween(times []time.Time, from, to time.Time) bool {
	return slices.ContainsFunc(times, func(at time.Time) bool { return at.After(from) && at.Before(to) })
}
