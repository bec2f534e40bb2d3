// Package platformsoak runs hosts of the platform's edge as separate processes, injects
// faults from outside them, and checks that the promises hold for what callers and
// backend servers observe. A seed determines the faults and the load.
package platformsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/redwingpath/redwingpath/integration/platformsoak/judge"
	"github.com/redwingpath/redwingpath/pkg/loopback"
	"github.com/redwingpath/redwingpath/platform/platformtest"
)

// Config describes a run.
type Config struct {
	Seed     uint64
	Hosts    int
	Duration time.Duration
	// Restores makes the store return to older copies of itself.
	Restores bool
	// Binary is the path of the redwingpath program.
	Binary string
	// Dir receives settings and logs.
	Dir string
}

// Result holds the counts and violations of a run.
type Result struct {
	Requests, Served, Faults, Restores int
	// Violations are those of all rules and checks.
	Violations []string
	// Verdicts state for each judged rule how closely it was kept.
	Verdicts []judge.Verdict
}

const (
	// settleTime is the time without faults before the final checks. It is longer than
	// the time within which a change must be in force and a killed host is ready again.
	settleTime = 5 * time.Second
	// revocationLimit is the time within which a revoked key must stop working on a host
	// without a recent fault.
	revocationLimit = 5 * time.Second
)

// graceSeconds is the time that hosts have to end after SIGTERM.
const graceSeconds = 3

type run struct {
	config         Config
	random         *rand.Rand
	store          *platformtest.Store
	api            *platformtest.API
	hosts          []*process
	backendServers []*backendServer
	closers        []func()

	// quiet is set while callers send fewer requests.
	quiet atomic.Bool
	// lasting are the faults of hosts that have not ended.
	lasting sync.WaitGroup

	mu            sync.Mutex
	result        Result
	responses     map[string]response
	configuration configuration
	routes        map[string]judge.Route
	records       []judge.Attempt
	disturbances  []judge.Disturbance
	departures    []judge.Departure
	notices       []judge.LeavingNotice
	limits        []*judge.StatedLimit
	limitNotices  []judge.LimitNotice
	revoked       map[string]time.Time
	attempts      int
	// saidLeaving is when a host first passed on a response in which a server stated that it
	// is leaving, removedAt when a server's entry was removed.
	saidLeaving map[hostServer]time.Time
	removedAt   map[string]time.Time
}

// response is the response that a caller got to one attempt.
type response struct {
	status int
	host   *process
	// barred are the servers at which the host must not have the attempt run.
	barred []string
}

type process struct {
	name, callers, ready, peers string
	endpoint                    *platformtest.Endpoint
	settings                    string
	// control is held while a fault of this host lasts. It guards cmd and ended.
	control sync.Mutex
	cmd     *exec.Cmd
	// ended is closed when the process has ended, ending set when it is expected to.
	ended  chan struct{}
	ending *atomic.Bool
	// life numbers the processes of the host; the run's mu guards it.
	life int
	// settledAt is settleTime after the start of the last fault of this host.
	settledAt time.Time
	// faultsAt are the starts of this host's faults.
	faultsAt []time.Time
}

type backendServer struct {
	*platformtest.BackendServer
	proxy *proxy
	// limit is what the server states, nil for nothing. The run's mu guards it.
	limit *judge.StatedLimit
}

// Run injects faults until the duration has passed or ctx is done, and then checks.
func Run(ctx context.Context, c Config) (Result, error) {
	r := &run{
		config: c, random: rand.New(rand.NewPCG(c.Seed, 77)), store: platformtest.NewStore(),
		responses: map[string]response{}, revoked: map[string]time.Time{},
		configuration: configuration{keys: []string{"first-key", "second-key"}}, routes: map[string]judge.Route{},
		saidLeaving: map[hostServer]time.Time{}, removedAt: map[string]time.Time{},
	}
	defer r.stop()
	if err := r.start(); err != nil {
		return r.result, err
	}
	load, stopLoad := context.WithCancel(ctx)
	var callers sync.WaitGroup
	for i := range 4 * c.Hosts {
		callers.Go(func() { r.sendRequests(load, i) })
	}
	for i := range r.hosts {
		callers.Go(func() { r.probe(load, i) })
	}
	callers.Go(func() { r.sendCrashingPrompts(load) })
	if c.Restores {
		r.store.KeepCopies()
	}
	disorder, endDisorder := context.WithTimeout(ctx, c.Duration)
	defer endDisorder()
	var others sync.WaitGroup
	others.Go(func() { r.operate(disorder) })
	others.Go(func() { r.storm(disorder) })
	others.Go(func() { r.limitServers(disorder) })
	if c.Restores {
		others.Go(func() { r.restoreStore(disorder) })
	}
	r.injectFaults(disorder)
	others.Wait()
	r.clearFaults()
	r.checkSettled()
	r.checkHeldPart()
	stopLoad()
	callers.Wait()
	r.checkRuns()
	r.checkNotices()
	r.checkReports()
	r.checkClaims()
	r.judgeRecord()
	return r.result, nil
}

func (r *run) addViolation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Violations = append(r.result.Violations, fmt.Sprintf(format, args...))
}

func (r *run) start() error {
	var closeAPI func()
	r.api, closeAPI = platformtest.OpenAPI()
	r.closers = append(r.closers, closeAPI)
	for _, service := range []string{"plain", "plain", "plain", "model", "model", "model", "ledger", "ledger", "east", "east", "west", "west"} {
		stage := ""
		if service == "model" {
			stage = "decode"
		}
		if err := r.addBackendServer(fmt.Sprint("i-", len(r.backendServers)), service, stage); err != nil {
			return err
		}
	}
	for name, route := range firstRoutes {
		r.routes[name] = route.judged(true)
	}
	r.routes[movingRoute] = routeConfig{attempts: 2, kind: "idempotent"}.judged(false)
	r.putConfig()
	var seeds []string
	for i := range r.config.Hosts {
		p := &process{name: fmt.Sprint("host-", i)}
		for _, address := range []*string{&p.callers, &p.ready, &p.peers} {
			free, err := loopback.Address()
			if err != nil {
				return err
			}
			*address = free
		}
		seeds = append(seeds, p.peers)
		r.hosts = append(r.hosts, p)
	}
	for _, p := range r.hosts {
		endpoint, closeEndpoint := r.store.OpenEndpoint()
		p.endpoint = endpoint
		r.closers = append(r.closers, closeEndpoint)
		if err := r.writeSettings(p, seeds); err != nil {
			return err
		}
		if err := r.launch(p); err != nil {
			return err
		}
	}
	for _, p := range r.hosts {
		if !waitReady(p, 10*time.Second) {
			return eris.Errorf("%s is not ready", p.name)
		}
	}
	return nil
}

func (r *run) addBackendServer(id, service, stage string) error {
	server, closeBackendServer := platformtest.OpenBackendServer(id, service, "z", stage, 15*time.Millisecond)
	r.closers = append(r.closers, closeBackendServer)
	p, err := newProxy(server.Address)
	if err != nil {
		return err
	}
	server.SetOnCrash(func() { p.crash(crashDownTime) })
	server.SetCrashingParts(crashDownTime, crashingPart)
	b := &backendServer{BackendServer: server, proxy: p}
	r.mu.Lock()
	r.backendServers = append(r.backendServers, b)
	r.mu.Unlock()
	r.register(b, "ready")
	return nil
}

// servers returns the servers that were added so far.
func (r *run) servers() []*backendServer {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.backendServers)
}

func (r *run) register(b *backendServer, state string) {
	entry := b.Entry(state)
	entry["address"] = b.proxy.address()
	r.store.Put("keyed.servers", b.ID, entry)
}

func (r *run) writeSettings(p *process, seeds []string) error {
	p.settings = filepath.Join(r.config.Dir, p.name+".conf")
	lines := []string{
		"node=" + p.name, "zone=z", "listen.front=" + p.callers, "listen.ready=" + p.ready, "listen.control=" + p.peers,
		"seeds=" + strings.Join(seeds, ","), "platform.address=" + p.endpoint.Address, "cloud.address=" + r.api.Address,
		"cloud.duties=usage_report", "bounds.usage_window_s=1", "bounds.usage_delay_s=4", fmt.Sprintf("bounds.grace_s=%d", graceSeconds), "limits.memory_mb=128",
	}
	lines = append(lines, boundSettings()...)
	return eris.Wrap(os.WriteFile(p.settings, []byte(strings.Join(lines, "\n")+"\n"), 0o600), "write settings")
}

func (r *run) stop() {
	for _, p := range r.hosts {
		p.control.Lock()
		if err := p.signalAndWait(syscall.SIGKILL); err != nil {
			r.addViolation("%s did not end: %v", p.name, err)
		}
		p.control.Unlock()
	}
	for _, c := range r.closers {
		c()
	}
}
