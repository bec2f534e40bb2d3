package example

import (
	"bufio"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// Process is a child process. Its standard error goes to a file.
type Process struct {
	name  string
	cmd   *exec.Cmd
	ended chan struct{}
	err   error
	// firstLine receives the first line of the standard output.
	firstLine chan string
}

func startProcess(dir, name, program string, args ...string) (*Process, error) {
	log, err := os.Create(filepath.Join(dir, name+".log"))
	if err != nil {
		return nil, eris.Wrap(err, "create log file")
	}
	defer func() { _ = log.Close() }()
	p := &Process{name: name, cmd: exec.Command(program, args...), ended: make(chan struct{}), firstLine: make(chan string, 1)}
	p.cmd.Stderr = log
	// A child must not outlive a parent that is killed.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		return nil, eris.Wrapf(err, "standard output pipe of %s", name)
	}
	if err := p.cmd.Start(); err != nil {
		return nil, eris.Wrapf(err, "start %s", name)
	}
	go p.wait(bufio.NewScanner(out))
	return p, nil
}

func (p *Process) wait(lines *bufio.Scanner) {
	lines.Buffer(nil, 1<<20)
	for n := 0; lines.Scan(); n++ {
		if n == 0 {
			p.firstLine <- lines.Text()
		}
	}
	p.err = p.cmd.Wait()
	close(p.ended)
}

// PID returns the process ID.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Running reports whether the process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// Terminate sends SIGTERM and does not wait.
func (p *Process) Terminate() error {
	return eris.Wrapf(p.cmd.Process.Signal(syscall.SIGTERM), "stop %s", p.name)
}

// Wait waits for the process and returns an error unless it exits with 0 within the
// limit.
func (p *Process) Wait(limit time.Duration) error {
	select {
	case <-p.ended:
		return eris.Wrapf(p.err, "%s", p.name)
	case <-time.After(limit):
		return eris.Errorf("%s has not ended within %s", p.name, limit)
	}
}

// kill sends SIGKILL if the process is running and waits until it has ended.
func (p *Process) kill() {
	if p.Running() {
		_ = p.cmd.Process.Kill()
	}
	<-p.ended
}
