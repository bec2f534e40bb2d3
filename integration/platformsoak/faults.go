package platformsoak

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"github.com/redwingpath/redwingpath/platform/platformtest"
)

// disturb injects faults in series that overlap until the duration is over.
func (r *run) disturb(ctx context.Context) {
	until := time.Now().Add(r.config.Duration)
	for time.Now().Before(until) && ctx.Err() == nil {
		r.fault()
		r.result.Faults++
		time.Sleep(time.Duration(100+r.random.IntN(700)) * time.Millisecond)
	}
}

func (r *run) host() *process { return r.hosts[r.random.IntN(len(r.hosts))] }

func (r *run) backendServer() *backendServer {
	return r.backendServers[r.random.IntN(len(r.backendServers))]
}

func (r *run) span(least, most time.Duration) time.Duration {
	return least + time.Duration(r.random.Int64N(int64(most-least)))
}

// later ends a fault after a while, beside those that follow.
func (r *run) later(d time.Duration, end func()) {
	time.AfterFunc(d, end)
}

func (r *run) fault() {
	p := r.host()
	r.mu.Lock()
	p.disturbed = time.Now().Add(settle)
	r.mu.Unlock()
	switch r.random.IntN(12) {
	case 0:
		r.restart(p, syscall.SIGKILL)
	case 1:
		r.restart(p, syscall.SIGTERM)
	case 2:
		r.freeze(p, r.span(300*time.Millisecond, 4*time.Second))
	case 3, 4:
		faults := []platformtest.Fault{
			platformtest.FaultBusy, platformtest.FaultSilent, platformtest.FaultReset, platformtest.FaultLost, platformtest.FaultLate,
		}
		p.endpoint.SetFault(faults[r.random.IntN(len(faults))])
		r.later(r.span(500*time.Millisecond, 4*time.Second), func() { p.endpoint.SetFault(platformtest.FaultNone) })
	case 5:
		r.store.DropHistory()
	case 6:
		n := r.backendServer()
		n.SetAborts(true)
		r.later(r.span(200*time.Millisecond, 2*time.Second), func() { n.SetAborts(false) })
	case 7:
		n := r.backendServer()
		r.register(n, "draining")
		r.later(r.span(3*time.Second, 4*time.Second), func() { r.store.PutRaw("keyed.servers", n.ID, nil) })
		if err := r.addBackendServer(fmt.Sprint("i-", len(r.backendServers)), n.Service, n.Stage); err != nil {
			r.violate("no backend server could be added: %v", err)
		}
	case 8:
		r.backendServer().proxy.silence()
	case 9:
		n := r.backendServer()
		n.proxy.loseAnswers()
		r.later(r.span(500*time.Millisecond, 2*time.Second), n.proxy.reset)
	case 10:
		n := r.backendServer()
		n.proxy.setDelay(r.span(50*time.Millisecond, 500*time.Millisecond))
		r.later(r.span(500*time.Millisecond, 2*time.Second), func() { n.proxy.setDelay(0) })
	case 11:
		r.rotateKey()
	}
}

// restart ends a host and starts it again after a pause.
func (r *run) restart(p *process, signal syscall.Signal) {
	p.end(signal)
	time.Sleep(r.span(0, time.Second))
	if err := r.launch(p); err != nil {
		r.violate("%s did not start: %v", p.name, err)
	}
}

func (r *run) freeze(p *process, d time.Duration) {
	if p.cmd == nil {
		return
	}
	_ = p.cmd.Process.Signal(syscall.SIGSTOP)
	time.Sleep(d)
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
}

// rotateKey withdraws the oldest key and adds a new one.
func (r *run) rotateKey() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.revoked[r.keys[0]] = time.Now()
	r.keys = append(r.keys[1:], fmt.Sprint("k", r.version+1))
	r.putConfig()
}

// calm ends all faults and lets the hosts settle.
func (r *run) calm() {
	for _, p := range r.hosts {
		p.endpoint.SetFault(platformtest.FaultNone)
	}
	for _, n := range r.backendServers {
		n.SetAborts(false)
		n.proxy.setDelay(0)
		n.proxy.reset()
	}
	time.Sleep(settle)
}
