// Package platformsoak runs hosts of the platform's edge as separate processes, injects
// faults from outside them, and checks that the promises hold for what callers and
// backend servers observe. A seed determines the faults and the load.
package platformsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/redwingpath/redwingpath/pkg/loopback"
	"github.com/redwingpath/redwingpath/platform/platformtest"
)

// Config describes a run.
type Config struct {
	Seed     uint64
	Hosts    int
	Duration time.Duration
	// Binary is the path of the redwingpath program.
	Binary string
	// Dir receives settings and logs.
	Dir string
}

// Result holds the counts and violations of a run.
type Result struct {
	Requests, Served, Faults int
	Violations               []string
}

const (
	// settleTime is the time without faults before the final checks. It is longer than
	// the time within which a change must be in force and a killed host is ready again.
	settleTime = 5 * time.Second
	// revocationLimit is the time within which a revoked key must stop working on a host
	// without a recent fault.
	revocationLimit = 5 * time.Second
)

type run struct {
	config         Config
	random         *rand.Rand
	store          *platformtest.Store
	api            *platformtest.API
	hosts          []*process
	backendServers []*backendServer
	closers        []func()

	mu        sync.Mutex
	result    Result
	responses map[string]response
	version   int
	keys      []string
	revoked   map[string]time.Time
	attempts  int
	// saidLeaving is when a host first passed on a response in which a server stated that it
	// is leaving, removedAt when a server's entry was removed.
	saidLeaving map[hostServer]time.Time
	removedAt   map[string]time.Time
}

// response is the response that a caller got to one attempt.
type response struct {
	path     string
	status   int
	complete bool
	host     *process
	sentAt   time.Time
	// barred are the servers at which the host must not have the attempt run.
	barred []string
}

type process struct {
	name, callers, ready, peers string
	endpoint                    *platformtest.Endpoint
	settings                    string
	cmd                         *exec.Cmd
	log                         *os.File
	// settledAt is settleTime after the start of the last fault of this host.
	settledAt time.Time
	// faultsAt are the starts of this host's faults.
	faultsAt []time.Time
}

type backendServer struct {
	*platformtest.BackendServer
	proxy *proxy
	// disturbedAt are the starts of the faults of the server and its connections.
	disturbedAt []time.Time
}

// Run injects faults until the duration has passed or ctx is done, and then checks.
func Run(ctx context.Context, c Config) (Result, error) {
	r := &run{
		config: c, random: rand.New(rand.NewPCG(c.Seed, 77)), store: platformtest.NewStore(),
		responses: map[string]response{}, keys: []string{"k0", "k1"}, revoked: map[string]time.Time{},
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
	callers.Go(func() { r.sendCrashingPrompts(load) })
	r.injectFaults(ctx)
	r.clearFaults()
	r.checkSettled()
	r.checkHeldPart()
	stopLoad()
	callers.Wait()
	r.checkRuns()
	r.checkNotices()
	r.checkReports()
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
	for i := range 6 {
		service, stage := "plain", ""
		if i >= 3 {
			service, stage = "model", "decode"
		}
		if err := r.addBackendServer(fmt.Sprint("i-", i), service, stage); err != nil {
			return err
		}
	}
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
	r.backendServers = append(r.backendServers, b)
	r.register(b, "ready")
	return nil
}

func (r *run) register(b *backendServer, state string) {
	entry := b.Entry(state)
	entry["address"] = b.proxy.address()
	r.store.Put("keyed.servers", b.ID, entry)
}

func (r *run) putConfig() {
	r.version++
	route := func(name, kind, service string, attempts int, resumable bool) map[string]any {
		return map[string]any{
			"name": name, "host": "h", "path_prefix": "/" + name + "/", "kind": kind, "timeout_ms": 2000, "service": service,
			"max_attempts": attempts, "resumable": resumable, "sticky": service == "model",
		}
	}
	r.store.Put("keyed.op", "config", map[string]any{
		"version":  r.version,
		"routes":   []any{route("pay", "non_idempotent", "plain", 1, false), route("look", "idempotent", "plain", 2, false), route("say", "streaming", "model", 2, true)},
		"services": []any{map[string]any{"name": "plain"}, map[string]any{"name": "model", "engine": map[string]any{"slots": 8, "kv_tokens": 100000}}},
		"tenants":  []any{map[string]any{"name": "org", "api_keys": r.keys}},
	})
}

func (r *run) writeSettings(p *process, seeds []string) error {
	p.settings = filepath.Join(r.config.Dir, p.name+".conf")
	lines := []string{
		"node=" + p.name, "zone=z", "listen.front=" + p.callers, "listen.ready=" + p.ready, "listen.control=" + p.peers,
		"seeds=" + strings.Join(seeds, ","), "platform.address=" + p.endpoint.Address, "cloud.address=" + r.api.Address,
		"cloud.duties=usage_report", "bounds.usage_window_s=1", "bounds.usage_delay_s=4", "bounds.grace_s=3", "limits.memory_mb=128",
	}
	return eris.Wrap(os.WriteFile(p.settings, []byte(strings.Join(lines, "\n")+"\n"), 0o600), "write settings")
}

func (r *run) launch(p *process) error {
	log, err := os.OpenFile(filepath.Join(r.config.Dir, p.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return eris.Wrap(err, "open a log file")
	}
	p.log = log
	p.cmd = exec.Command(r.config.Binary, "gateway", "-settings", p.settings, "-metrics-port", "")
	p.cmd.Stdout, p.cmd.Stderr = log, log
	return eris.Wrapf(p.cmd.Start(), "start %s", p.name)
}

// signalAndWait sends a signal that ends the process and waits for its end.
func (p *process) signalAndWait(signal syscall.Signal) {
	if p.cmd == nil || p.cmd.Process == nil {
		return
	}
	_ = p.cmd.Process.Signal(signal)
	_ = p.cmd.Wait()
	_ = p.log.Close()
	p.cmd = nil
}

func (r *run) stop() {
	for _, p := range r.hosts {
		p.signalAndWait(syscall.SIGKILL)
	}
	for _, c := range r.closers {
		c()
	}
}

func waitReady(p *process, limit time.Duration) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		resp, err := http.Get("http://" + p.ready + "/ready")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}
