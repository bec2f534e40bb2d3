package platformsoak

import (
	"fmt"
	"net/http"
	"slices"
	"syscall"
	"time"

	"github.com/redwingpath/redwingpath/integration/platformsoak/judge"
)

const (
	// leavingLimit is the time after which a server that is leaving or removed must get no
	// more requests.
	leavingLimit = 2 * time.Second
	// pauseLimit is the time after a refusal with Retry-After from which on at most
	// maxPausedArrivals requests of a host may reach the server until the stated end.
	pauseLimit        = 500 * time.Millisecond
	maxPausedArrivals = 2
)

// hostServer is a host and the ID of a server.
type hostServer struct{ host, server string }

// injectNotice makes a server state that it is leaving or wants no requests, or removes its
// entry beside a restart of a host. Servers that leave are replaced.
func (r *run) injectNotice(p *process) {
	b := r.randomServer()
	switch r.random.IntN(3) {
	case 0:
		b.RefuseFor(r.randomDuration(time.Second, 3*time.Second))
	case 1:
		r.replace(b)
		b.SetLeaving(true)
	case 2:
		r.replace(b)
		pause := r.randomDuration(0, time.Second)
		r.lasting.Go(func() { r.restartAround(p, syscall.SIGKILL, pause, func() { r.remove(b) }) })
	}
}

// remove removes the entry of a server.
func (r *run) remove(b *backendServer) {
	r.store.PutRaw("keyed.servers", b.ID, nil)
	r.depart(b.ID)
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.removedAt[b.ID]; !known {
		r.removedAt[b.ID] = time.Now()
	}
}

// replace adds a server of the same kind.
func (r *run) replace(b *backendServer) {
	if err := r.addBackendServer(fmt.Sprint("i-", len(r.servers())), b.Service, b.Stage); err != nil {
		r.addViolation("no backend server could be added: %v", err)
	}
}

// noteLeaving records that a host passed on a response of a server that is leaving. life is
// the one to which the request was sent. The caller holds r.mu.
func (r *run) noteLeaving(p *process, life int, h http.Header, now time.Time) {
	if h.Get("Server-Leaving") != "1" {
		return
	}
	key := hostServer{p.name, h.Get("Instance-Id")}
	if life == p.life {
		r.notices = append(r.notices, judge.LeavingNotice{Host: p.name, Server: key.server, Life: life, At: now})
	}
	if _, known := r.saidLeaving[key]; !known {
		r.saidLeaving[key] = now
	}
}

// forgetNotices records a fault of a host, which excuses what it has passed on before.
func (r *run) forgetNotices(p *process) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p.faultsAt = append(p.faultsAt, time.Now())
	p.settledAt = time.Now().Add(settleTime)
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
	for _, b := range r.servers() {
		for _, run := range b.Runs() {
			if a, known := r.responses[run.Attempt]; known && slices.Contains(a.barred, b.ID) {
				r.addViolation("DRAIN: %s ran at %s, which was leaving, through %s", run.Attempt, b.ID, a.host.name)
			}
		}
	}
}

func anyBetween(times []time.Time, from, to time.Time) bool {
	return slices.ContainsFunc(times, func(at time.Time) bool { return at.After(from) && at.Before(to) })
}
