package platformsoak

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"github.com/redwingpath/redwingpath/platform/platformtest"
)

// injectFaults starts one fault after another, which may overlap, until the duration
// of the run has passed.
func (r *run) injectFaults(ctx context.Context) {
	until := time.Now().Add(r.config.Duration)
	for time.Now().Before(until) && ctx.Err() == nil {
		r.injectFault()
		r.result.Faults++
		time.Sleep(time.Duration(100+r.random.IntN(700)) * time.Millisecond)
	}
}

// host returns a random host.
func (r *run) host() *process { return r.hosts[r.random.IntN(len(r.hosts))] }

// backendServer returns a random backend server.
func (r *run) backendServer() *backendServer {
	b := r.backendServers[r.random.IntN(len(r.backendServers))]
	b.disturbedAt = append(b.disturbedAt, time.Now())
	return b
}

// randomDuration returns a random duration from least up to, but not including, most.
func (r *run) randomDuration(least, most time.Duration) time.Duration {
	return least + time.Duration(r.random.Int64N(int64(most-least)))
}

// afterDelay calls end after a delay, while further faults are injected.
func (r *run) afterDelay(d time.Duration, end func()) {
	time.AfterFunc(d, end)
}

// injectFault injects a random fault.
func (r *run) injectFault() {
	p := r.host()
	r.mu.Lock()
	p.settledAt = time.Now().Add(settleTime)
	r.mu.Unlock()
	switch r.random.IntN(18) {
	case 0:
		r.restart(p, syscall.SIGKILL)
	case 15, 16, 17:
		r.injectNotice(p)
	case 1:
		r.restart(p, syscall.SIGTERM)
	case 2:
		r.freeze(p, r.randomDuration(300*time.Millisecond, 4*time.Second))
	case 3, 4:
		faults := []platformtest.Fault{
			platformtest.FaultBusy, platformtest.FaultSilent, platformtest.FaultReset, platformtest.FaultLost, platformtest.FaultLate,
		}
		p.endpoint.SetFault(faults[r.random.IntN(len(faults))])
		r.afterDelay(r.randomDuration(500*time.Millisecond, 4*time.Second), func() { p.endpoint.SetFault(platformtest.FaultNone) })
	case 5:
		r.store.DropHistory()
	case 6:
		b := r.backendServer()
		b.SetAborts(true)
		r.afterDelay(r.randomDuration(200*time.Millisecond, 2*time.Second), func() { b.SetAborts(false) })
	case 7:
		b := r.backendServer()
		r.register(b, "draining")
		r.afterDelay(r.randomDuration(3*time.Second, 4*time.Second), func() { r.store.PutRaw("keyed.servers", b.ID, nil) })
		if err := r.addBackendServer(fmt.Sprint("i-", len(r.backendServers)), b.Service, b.Stage); err != nil {
			r.addViolation("no backend server could be added: %v", err)
		}
	case 8:
		r.backendServer().proxy.silence()
	case 9:
		b := r.backendServer()
		b.proxy.dropResponses()
		r.afterDelay(r.randomDuration(500*time.Millisecond, 2*time.Second), b.proxy.reset)
	case 10:
		b := r.backendServer()
		b.proxy.setDelay(r.randomDuration(50*time.Millisecond, 500*time.Millisecond))
		r.afterDelay(r.randomDuration(500*time.Millisecond, 2*time.Second), func() { b.proxy.setDelay(0) })
	case 11:
		r.rotateKey()
	case 12, 13:
		b := r.backendServer()
		b.SetResponseFault(platformtest.ResponseFault(1 + r.random.IntN(int(platformtest.ResponseFaults)-1)))
		r.afterDelay(r.randomDuration(500*time.Millisecond, 2*time.Second), func() { b.SetResponseFault(platformtest.ResponseFaultNone) })
	case 14:
		r.backendServer().proxy.pause(r.randomDuration(500*time.Millisecond, 1500*time.Millisecond))
	}
}

// restart ends a host with a signal and starts it again after a random delay.
func (r *run) restart(p *process, signal syscall.Signal) {
	r.forgetNotices(p)
	defer r.forgetNotices(p)
	p.signalAndWait(signal)
	time.Sleep(r.randomDuration(0, time.Second))
	if err := r.launch(p); err != nil {
		r.addViolation("%s did not start: %v", p.name, err)
	}
}

// freeze suspends a host for a while.
func (r *run) freeze(p *process, d time.Duration) {
	if p.cmd == nil {
		return
	}
	r.forgetNotices(p)
	defer r.forgetNotices(p)
	_ = p.cmd.Process.Signal(syscall.SIGSTOP)
	time.Sleep(d)
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
}

// rotateKey revokes the oldest key and adds a new one.
func (r *run) rotateKey() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.revoked[r.keys[0]] = time.Now()
	r.keys = append(r.keys[1:], fmt.Sprint("k", r.version+1))
	r.putConfig()
}

// clearFaults clears all faults and waits until the hosts must have recovered.
func (r *run) clearFaults() {
	for _, p := range r.hosts {
		p.endpoint.SetFault(platformtest.FaultNone)
	}
	for _, b := range r.backendServers {
		b.SetAborts(false)
		b.SetResponseFault(platformtest.ResponseFaultNone)
		b.proxy.setDelay(0)
		b.proxy.reset()
	}
	time.Sleep(settleTime)
}
