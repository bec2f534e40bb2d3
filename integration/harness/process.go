package harness

import (
	"bufio"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// process is a child process whose output goes to files. Signals are sent to its
// process ID only, not to a group.
type process struct {
	name string
	cmd  *exec.Cmd
	// ended is closed when the process has ended; err is valid from then on.
	ended chan struct{}
	err   error
	// firstLine receives the first line of the standard output.
	firstLine chan string
	firstOnce sync.Once
}

// startProcess starts a program and appends its standard output and error to
// dir/name.out and dir/name.err.
func startProcess(dir, name, program string, args ...string) (*process, error) {
	out, err := appendTo(filepath.Join(dir, name+".out"))
	if err != nil {
		return nil, err
	}
	errors, err := appendTo(filepath.Join(dir, name+".err"))
	if err != nil {
		return nil, err
	}
	p := &process{name: name, cmd: exec.Command(program, args...), ended: make(chan struct{}), firstLine: make(chan string, 1)}
	p.cmd.Stderr = errors
	// A child must not outlive a test that is killed.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	stdout, err := p.cmd.StdoutPipe()
	if err != nil {
		return nil, eris.Wrapf(err, "standard output pipe of %s", name)
	}
	if err := p.cmd.Start(); err != nil {
		return nil, eris.Wrapf(err, "start %s", name)
	}
	go p.wait(bufio.NewScanner(stdout), out, errors)
	return p, nil
}

func appendTo(path string) (*os.File, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	return f, eris.Wrap(err, "open output file")
}

// wait copies the output until the process ends and then closes the files.
func (p *process) wait(lines *bufio.Scanner, files ...*os.File) {
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		p.firstOnce.Do(func() { p.firstLine <- lines.Text() })
		_, _ = files[0].WriteString(lines.Text() + "\n")
	}
	p.err = p.cmd.Wait()
	for _, f := range files {
		_ = f.Close()
	}
	close(p.ended)
}

func (p *process) pid() int { return p.cmd.Process.Pid }

func (p *process) signal(s syscall.Signal) error {
	return eris.Wrapf(p.cmd.Process.Signal(s), "signal %s to %s", s, p.name)
}

func (p *process) running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// stop sends SIGTERM, and SIGKILL if the process has not ended after the grace time.
func (p *process) stop(grace time.Duration) {
	if !p.running() {
		return
	}
	// A suspended process handles SIGTERM only after it is continued.
	_ = p.signal(syscall.SIGCONT)
	_ = p.signal(syscall.SIGTERM)
	select {
	case <-p.ended:
	case <-time.After(grace):
		_ = p.signal(syscall.SIGKILL)
		<-p.ended
	}
}
