package platformsoak

import (
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/redwingpath/redwingpath/integration/platformsoak/judge"
)

// stopLimit is the time within which a host must end after SIGTERM: the grace of its
// settings and a margin.
const stopLimit = graceSeconds*time.Second + 2*time.Second

// launch starts the process of a host. The caller holds p.control or is alone.
func (r *run) launch(p *process) error {
	log, err := os.OpenFile(filepath.Join(r.config.Dir, p.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return eris.Wrap(err, "open a log file")
	}
	cmd := exec.Command(r.config.Binary, "gateway", "-settings", p.settings, "-metrics-port", "")
	cmd.Stdout, cmd.Stderr = log, log
	r.mu.Lock()
	p.life++
	r.mu.Unlock()
	if err := cmd.Start(); err != nil {
		_ = log.Close()
		return eris.Wrapf(err, "start %s", p.name)
	}
	ended, ending := make(chan struct{}), new(atomic.Bool)
	p.cmd, p.ended, p.ending = cmd, ended, ending
	go func() {
		defer close(ended)
		err := cmd.Wait()
		_ = log.Close()
		if !ending.Load() {
			r.addViolation("Fault: %s ended by itself: %v", p.name, err)
		}
	}()
	return nil
}

// signalAndWait sends a signal that ends the process and waits for its end. The caller holds
// p.control.
func (p *process) signalAndWait(signal syscall.Signal) error {
	if p.cmd == nil {
		return nil
	}
	defer func() { p.cmd = nil }()
	p.ending.Store(true)
	if err := p.cmd.Process.Signal(signal); err != nil {
		return eris.Wrap(err, "signal a host")
	}
	select {
	case <-p.ended:
		return nil
	case <-time.After(stopLimit):
	}
	if err := p.cmd.Process.Kill(); err != nil {
		return eris.Wrap(err, "kill a host")
	}
	<-p.ended
	return eris.Errorf("still ran %v after signal %v", stopLimit, signal)
}

// restart ends a host with a signal and starts it again after a pause. It does nothing if
// another fault of the host lasts.
func (r *run) restart(p *process, signal syscall.Signal, pause time.Duration) {
	r.restartAround(p, signal, pause, func() {})
}

// restartAround restarts a host and calls do between its end and its start.
func (r *run) restartAround(p *process, signal syscall.Signal, pause time.Duration, do func()) {
	if !p.control.TryLock() {
		return
	}
	defer p.control.Unlock()
	r.forgetNotices(p)
	defer r.forgetNotices(p)
	endDisturbance := r.disturb(judge.HostFault, p.name)
	defer endDisturbance()
	if err := p.signalAndWait(signal); err != nil {
		r.addViolation("%s: %v", p.name, err)
	}
	do()
	time.Sleep(pause)
	if err := r.launch(p); err != nil {
		r.addViolation("%s did not start: %v", p.name, err)
	}
}

// freeze suspends a host for a while.
func (r *run) freeze(p *process, d time.Duration) {
	if !p.control.TryLock() {
		return
	}
	defer p.control.Unlock()
	if p.cmd == nil {
		return
	}
	r.forgetNotices(p)
	defer r.forgetNotices(p)
	endDisturbance := r.disturb(judge.HostFault, p.name)
	defer endDisturbance()
	if err := p.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		r.addViolation("%s could not be suspended: %v", p.name, err)
	}
	time.Sleep(d)
	if err := p.cmd.Process.Signal(syscall.SIGCONT); err != nil {
		r.addViolation("%s could not be resumed: %v", p.name, err)
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
