package platformsoak

import (
	"context"
	"syscall"
	"time"

	"github.com/redwingpath/redwingpath/integration/platformsoak/judge"
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

// randomServer returns a random backend server.
func (r *run) randomServer() *backendServer {
	servers := r.servers()
	return servers[r.random.IntN(len(servers))]
}

// disturbServer records the beginning of a fault of a random server, and returns the server
// and a function that records the end.
func (r *run) disturbServer(kind judge.Kind) (b *backendServer, endDisturbance func()) {
	b = r.randomServer()
	return b, r.disturb(kind, b.ID)
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
		pause := r.randomDuration(0, time.Second)
		r.lasting.Go(func() { r.restart(p, syscall.SIGKILL, pause) })
	case 15, 16, 17:
		r.injectNotice(p)
	case 1:
		pause := r.randomDuration(0, time.Second)
		r.lasting.Go(func() { r.restart(p, syscall.SIGTERM, pause) })
	case 2:
		d := r.randomDuration(300*time.Millisecond, 4*time.Second)
		r.lasting.Go(func() { r.freeze(p, d) })
	case 3:
		r.injectStoreFault(p)
	case 5:
		r.store.DropHistory()
	case 6:
		b, endDisturbance := r.disturbServer(judge.ServerFault)
		b.SetAborts(true)
		r.afterDelay(r.randomDuration(200*time.Millisecond, 2*time.Second), func() { b.SetAborts(false); endDisturbance() })
	case 4, 7, 11:
		r.drain()
	case 8:
		b, endDisturbance := r.disturbServer(judge.LinkFault)
		b.proxy.silence()
		endDisturbance()
	case 9:
		b, endDisturbance := r.disturbServer(judge.LinkFault)
		b.proxy.dropResponses()
		r.afterDelay(r.randomDuration(500*time.Millisecond, 2*time.Second), func() { b.proxy.reset(); endDisturbance() })
	case 10:
		b, endDisturbance := r.disturbServer(judge.LinkFault)
		b.proxy.setDelay(r.randomDuration(50*time.Millisecond, 500*time.Millisecond))
		r.afterDelay(r.randomDuration(500*time.Millisecond, 2*time.Second), func() { b.proxy.setDelay(0); endDisturbance() })
	case 12, 13:
		b, endDisturbance := r.disturbServer(judge.ServerFault)
		b.SetResponseFault(platformtest.ResponseFault(1 + r.random.IntN(int(platformtest.ResponseFaults)-1)))
		r.afterDelay(r.randomDuration(500*time.Millisecond, 2*time.Second), func() {
			b.SetResponseFault(platformtest.ResponseFaultNone)
			endDisturbance()
		})
	case 14:
		b, endDisturbance := r.disturbServer(judge.LinkFault)
		d := r.randomDuration(500*time.Millisecond, 1500*time.Millisecond)
		b.proxy.pause(d)
		r.afterDelay(d, endDisturbance)
	}
}

// outageOdds is the number of faults of the store of which one affects all hosts.
const outageOdds = 4

// injectStoreFault makes the store reject calls of a host or of all, or lose the responses to
// them, for a while.
func (r *run) injectStoreFault(p *process) {
	faults := []platformtest.Fault{
		platformtest.FaultBusy, platformtest.FaultSilent, platformtest.FaultReset, platformtest.FaultLost, platformtest.FaultLate,
	}
	fault, kind := faults[r.random.IntN(len(faults))], judge.StoreRejects
	if fault == platformtest.FaultLost || fault == platformtest.FaultLate {
		kind = judge.StoreLoses
	}
	affected := []*process{p}
	if r.random.IntN(outageOdds) == 0 {
		affected, kind = r.hosts, judge.StoreDown
	}
	endDisturbance := r.disturb(kind, p.name)
	for _, host := range affected {
		host.endpoint.SetFault(fault)
	}
	r.afterDelay(r.randomDuration(500*time.Millisecond, 4*time.Second), func() {
		for _, host := range affected {
			host.endpoint.SetFault(platformtest.FaultNone)
		}
		endDisturbance()
	})
}

// drain replaces a server, which reports that it is draining and is removed later.
func (r *run) drain() {
	b := r.randomServer()
	r.replace(b)
	r.register(b, "draining")
	r.depart(b.ID)
	r.afterDelay(r.randomDuration(3*time.Second, 4*time.Second), func() { r.store.PutRaw("keyed.servers", b.ID, nil) })
}

// clearFaults clears all faults and waits until the hosts must have recovered.
func (r *run) clearFaults() {
	r.lasting.Wait()
	for _, p := range r.hosts {
		p.endpoint.SetFault(platformtest.FaultNone)
	}
	for _, b := range r.servers() {
		b.SetAborts(false)
		b.SetResponseFault(platformtest.ResponseFaultNone)
		r.endLimit(b)
		b.proxy.setDelay(0)
		b.proxy.reset()
	}
	time.Sleep(settleTime + limitEndTime)
}
