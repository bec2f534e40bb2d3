package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// lab is a small deployment on loopback addresses: the platform's stand-ins in this process,
// and hosts and runners as processes of their own.
type lab struct {
	dir      string
	network  string
	trouble  bool
	store    *store
	api      string
	hosts    []*process
	runners  []*runnerProcess
	started  time.Time
	mu       sync.Mutex
	record   *os.File
	violated bool
}

// process is a process that the lab started.
type process struct {
	name, ip, front, ready, control string
	cmd                             *exec.Cmd
}

// runnerProcess is a process of a runner.
type runnerProcess struct {
	process
	service, zone, stage, address string
	args                          []string
	stop                          chan struct{}
}

var errLab = errors.New("the case could not run")

func newLab() (*lab, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(os.Getenv("RECORD"))
	if err != nil {
		return nil, err
	}
	l := &lab{dir: dir, trouble: os.Getenv("TROUBLE") != "0", record: record, started: time.Now()}
	// The ports are those of a deployment, on addresses of their own for each run.
	for range 100 {
		l.network = fmt.Sprintf("127.%d.%d", 64+rand.Intn(128), rand.Intn(256))
		if l.store, err = openStore(l.network + ".1:8225"); err == nil {
			break
		}
	}
	if err != nil {
		return nil, err
	}
	if l.api, err = openAPI(l.network + ".2:8225"); err != nil {
		return nil, err
	}
	l.note("trouble %v, logs of the hosts in a temporary folder", l.trouble)
	return l, nil
}

// note writes a line to the record.
func (l *lab) note(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, _ = fmt.Fprintf(l.record, "%8.3f "+format+"\n", append([]any{time.Since(l.started).Seconds()}, args...)...)
}

// broken records that the rule was broken.
func (l *lab) broken(format string, args ...any) {
	l.note("BROKEN "+format, args...)
	l.mu.Lock()
	l.violated = true
	l.mu.Unlock()
}

// close ends all processes.
func (l *lab) close() {
	for _, p := range l.hosts {
		p.end()
	}
	for _, r := range l.runners {
		close(r.stop)
		r.end()
	}
	_ = l.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(l.dir)
	} else {
		fmt.Println("logs:", l.dir)
	}
}

func (p *process) end() {
	if p.cmd == nil || p.cmd.Process == nil {
		return
	}
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
	_ = p.cmd.Process.Kill()
	_ = p.cmd.Wait()
	p.cmd = nil
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// zones are the zones of the small deployment.
var zones = []string{"armenia", "pereira", "manizales"}

// startHosts starts the hosts as the deploy file does. extra are further settings.
func (l *lab) startHosts(n int, extra ...string) error {
	var seeds []string
	for i := range n {
		p := &process{name: fmt.Sprintf("edge-%s-%d", zones[i%len(zones)], i/len(zones)+1), ip: fmt.Sprintf("%s.%d", l.network, 10+i)}
		p.front, p.ready, p.control = p.ip+":8221", p.ip+":8224", p.ip+":8229"
		l.hosts = append(l.hosts, p)
		if len(seeds) < 3 {
			seeds = append(seeds, p.control)
		}
	}
	for i, p := range l.hosts {
		text := fmt.Sprintf(`node=%s
role=redwingpath
machine_class=edge
serves=edge,control_plane
ip=%s
zone=%s
region=andina
zones.armenia=andina
zones.pereira=andina
zones.manizales=andina
listen.front=%s
listen.ready=%s
listen.control=%s
port_range=7600,7615
seeds=%s
bootstrap=true
limits.cpu_share=0.4
limits.cores=1
limits.memory_mb=284
limits.max_fds=4100
limits.link_mbps=1000.0
discovery=platform
entry=vip
heartbeat_ms=1200
bounds.reuse_after_s=2
bounds.contact_ms=3000
bounds.drain_ms=2000
bounds.grace_s=8
bounds.loss_slack_ms=200
bounds.config_ms=2000
bounds.retry_ratio=0.2
bounds.retry_window_s=10
bounds.retry_slack=56
bounds.quota_window_s=8
bounds.quota_overshoot=0.1
bounds.quota_slack=190000
bounds.require_fence=true
bounds.lease_ms=3000
bounds.thaw_ms=300
bounds.usage_window_s=5
bounds.usage_off=0.05
bounds.usage_delay_s=10
bounds.recovery_s=12
platform.address=%s
platform.form=log
platform.writes_per_s=400
platform.reads_per_s=2000
platform.keep_s=300
cloud.address=%s
cloud.duties=usage_report,autoscale
cloud.duty_per_s=50.0
%s
`, p.name, p.ip, zones[i%len(zones)], p.front, p.ready, p.control, strings.Join(seeds, ","), l.store.address, l.api, strings.Join(extra, "\n"))
		if err := os.WriteFile(filepath.Join(l.dir, p.name+".conf"), []byte(text), 0o600); err != nil {
			return err
		}
		if err := l.launch(p); err != nil {
			return err
		}
	}
	for _, p := range l.hosts {
		if err := l.awaitReady(p); err != nil {
			return err
		}
	}
	l.note("%d hosts are ready", n)
	return nil
}

func (l *lab) launch(p *process) error {
	log, err := os.OpenFile(filepath.Join(l.dir, p.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	// The command of the deploy file.
	p.cmd = exec.Command("target/redwingpath", "gateway")
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + l.dir, "REDWINGPATH_BOOT=" + filepath.Join(l.dir, p.name+".conf")}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	return p.cmd.Start()
}

func (l *lab) awaitReady(p *process) error {
	for range 200 {
		resp, err := http.Get("http://" + p.ready + "/ready")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("%w: %s is not ready", errLab, p.name)
}

// addRunner starts a runner as a process of its own and keeps its entry in the store.
func (l *lab) addRunner(id, service, zone, stage string, args ...string) (*runnerProcess, error) {
	r := &runnerProcess{process: process{name: id, ip: fmt.Sprintf("%s.%d", l.network, 100+len(l.runners))}, service: service, zone: zone, stage: stage, args: args, stop: make(chan struct{})}
	r.address = r.ip + ":8080"
	l.runners = append(l.runners, r)
	return r, l.startRunner(r)
}

// startRunner starts a new life of a runner and writes its entry.
func (l *lab) startRunner(r *runnerProcess) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(l.dir, r.name+".runs"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	r.cmd = exec.Command(self, append([]string{"runner", "-id", r.name, "-address", r.address, "-stage", r.stage}, r.args...)...)
	r.cmd.Stdout, r.cmd.Stderr = log, os.Stderr
	if err := r.cmd.Start(); err != nil {
		return err
	}
	for range 100 {
		conn, err := net.Dial("tcp", r.address)
		if err == nil {
			_ = conn.Close()
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	l.register(r, time.Now().UnixMilli())
	return nil
}

func (l *lab) register(r *runnerProcess, born int64) {
	entry := map[string]any{"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": 16, "state": "ready", "cold_remaining_ms": 0, "seq": 1, "born": born}
	if r.stage != "" {
		entry["stage"] = r.stage
	}
	l.store.put("keyed.servers", r.name, entry)
}

// runs returns the lines that the lives of a runner have written.
func (l *lab) runs(r *runnerProcess) []string {
	raw, err := os.ReadFile(filepath.Join(l.dir, r.name+".runs"))
	if err != nil {
		return nil
	}
	return strings.Split(strings.TrimSpace(string(raw)), "\n")
}

// answer is what a client got.
type answer struct {
	id       string
	status   int
	header   http.Header
	body     string
	complete bool
	err      error
	took     time.Duration
}

// send sends one request over a connection of its own and reads the answer to its end.
func send(host *process, method, path, id, body string, wait time.Duration, header map[string]string) (a answer) {
	a.id = id
	began := time.Now()
	defer func() { a.took = time.Since(began) }()
	conn, err := net.DialTimeout("tcp", host.front, time.Second)
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(began.Add(wait))
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Token k1\r\nContent-Length: %d\r\n", method, path, id, wait.Milliseconds(), len(body))
	for name, value := range header {
		text += name + ": " + value + "\r\n"
	}
	if _, err := io.WriteString(conn, text+"\r\n"+body); err != nil {
		a.err = err
		return a
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		a.err = err
		return a
	}
	a.status, a.header = resp.StatusCode, resp.Header
	raw, err := io.ReadAll(resp.Body)
	a.body, a.err = string(raw), err
	// Without a length or chunks the end of the connection would pass for the end of the body.
	a.complete = err == nil
	return a
}
