package platformsoak

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/redwingpath/redwingpath/integration/platformsoak/judge"
	"github.com/redwingpath/redwingpath/platform/platformtest"
)

const (
	// abortInterval is the mean time for which servers abort requests, or not, in a storm.
	abortInterval = 400 * time.Millisecond
	// restartInterval is the mean pause of a host between two restarts in a storm.
	restartInterval = 1500 * time.Millisecond
	// refusalTime is how long the servers of a service refuse all requests.
	refusalTime = 300 * time.Millisecond
	// faultOdds is the number of servers of which one has a response fault.
	faultOdds = 5
	// quietPause is the pause of the callers between two requests while they are quiet.
	quietPause = 300 * time.Millisecond
)

// stormServices are the services whose servers refuse requests in a storm, and as many names
// without a server.
var stormServices = []string{"plain", "ledger", "model", "", "", ""}

// storm has servers fail requests while hosts are restarted in series and several at once,
// and callers send more and fewer requests, for a part of the run.
func (r *run) storm(ctx context.Context) {
	random := rand.New(rand.NewPCG(r.config.Seed, 79))
	delay := time.Duration(random.Int64N(int64(r.config.Duration / 2)))
	if !sleep(ctx, delay) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, r.config.Duration/2)
	defer cancel()
	for _, b := range r.servers() {
		defer r.disturb(judge.ServerFault, b.ID)()
	}
	var storms sync.WaitGroup
	storms.Go(func() { r.abortRequests(ctx, rand.New(rand.NewPCG(r.config.Seed, 80))) })
	// Some storms spare a part of the hosts.
	restarted := len(r.hosts)/2 + random.IntN(len(r.hosts)/2+1)
	for i, p := range r.hosts[:restarted] {
		storms.Go(func() { r.restartInSeries(ctx, p, rand.New(rand.NewPCG(r.config.Seed, 100+uint64(i)))) })
	}
	storms.Wait()
	r.quiet.Store(false)
}

// abortRequests has a part of the servers abort requests, or all, in turn, all servers of a
// service refuse them, and some servers respond faultily.
func (r *run) abortRequests(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		all := random.IntN(3) == 0
		refusing := stormServices[random.IntN(len(stormServices))]
		for _, b := range r.servers() {
			b.SetResponseFault(stormFault(random))
			b.SetAborts(all || random.IntN(2) == 0)
			if b.Service == refusing {
				b.RefuseFor(refusalTime)
			}
		}
		r.quiet.Store(random.IntN(3) == 0)
		sleep(ctx, abortInterval/2+time.Duration(random.Int64N(int64(abortInterval))))
	}
	for _, b := range r.servers() {
		b.SetAborts(false)
		b.SetResponseFault(platformtest.ResponseFaultNone)
	}
}

// stormFault returns a response fault for one of faultOdds servers, and none for the others.
// Bodies without end are left out: many at once would use up the processors.
func stormFault(random *rand.Rand) platformtest.ResponseFault {
	fault := platformtest.ResponseFault(1 + random.IntN(int(platformtest.ResponseFaults)-1))
	if random.IntN(faultOdds) > 0 || fault == platformtest.ResponseFaultEndless {
		return platformtest.ResponseFaultNone
	}
	return fault
}

func (r *run) restartInSeries(ctx context.Context, p *process, random *rand.Rand) {
	for sleep(ctx, restartInterval/2+time.Duration(random.Int64N(int64(restartInterval)))) {
		signal := syscall.SIGKILL
		if random.IntN(2) == 0 {
			signal = syscall.SIGTERM
		}
		r.restart(p, signal, time.Duration(random.Int64N(int64(200*time.Millisecond))))
	}
}

// sleep waits and reports whether ctx is not done.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
