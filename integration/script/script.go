// Package script adds the commands of scenario files to testscript. A scenario starts
// a deployment of processes, injects faults, sends calls and checks the recording
// against the promises of the design page:
//
//	start PRESET [hosts=N] [ordinary=N] [preemptible=N] [services=N] [fencing=true]
//	start HOST                      restart a host that has ended
//	stophost HOST                   planned stop (SIGTERM); waits until the host has ended
//	killhost|freeze|resume HOST     SIGKILL, SIGSTOP, SIGCONT
//	cut HOST log|platform|peers|all [both|in|out] [silent|reset]
//	heal HOST
//	fault platform|engine|service JSON   set faults of the simulated components
//	fault crash|hang BACKEND
//	fault clear
//	reclaim DATA-CENTRE
//	[!] operate [-within DURATION] HOST SCRIPT   run a script of the operators' language
//	key grant|revoke KEY            change a key by a log record
//	drain BACKEND                   drain a backend server by a log record
//	load SHARE [OPERATION=WEIGHT]...     start a load at a share of the organisations' rates
//	load stop                       stop the load and wait for its calls
//	ask HOST OPERATION KEY [tokens=N] [idem=KEY] [text=TEXT] [whole]
//	expect [-within DURATION] FIELD=VALUE...   check the response to the last ask
//	sleep DURATION
//	check [PROMISE]...              check the named promises, or all
//
// The names stop, kill and wait are commands of testscript itself.
package script

import (
	"context"
	"os"
	"path/filepath"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/redwingpath/redwingpath/integration/check"
	"github.com/redwingpath/redwingpath/integration/harness"
	"github.com/redwingpath/redwingpath/integration/load"
)

// state is the state that the commands of one script share.
type state struct {
	binaries    harness.Binaries
	seed        uint64
	deployment  *harness.Deployment
	stopLoad    func()
	askCount    int
	lastTarget  load.Target
	lastRequest *load.Request
	lastCall    check.Call
}

type stateKey struct{}

type command func(*state, *testscript.TestScript, bool, []string)

// maxDeployments is the number of deployments that run at a time. With more, processes
// wait for a processor for longer than their leases last.
const maxDeployments = 4

// Params returns the testscript parameters for the scenario files of a directory.
func Params(dir string, b harness.Binaries, seed uint64) testscript.Params {
	commands := map[string]command{
		"start": (*state).start, "stophost": (*state).stop, "killhost": (*state).kill, "freeze": (*state).freeze,
		"resume": (*state).resume, "cut": (*state).cut, "heal": (*state).heal, "fault": (*state).fault,
		"reclaim": (*state).reclaim, "key": (*state).key, "drain": (*state).drain, "load": (*state).load,
		"operate": (*state).operate, "ask": (*state).ask, "expect": (*state).expect, "check": (*state).check, "sleep": (*state).sleep,
	}
	slots := make(chan struct{}, maxDeployments)
	p := testscript.Params{
		Dir:  dir,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){},
		Setup: func(e *testscript.Env) error {
			s := &state{binaries: b, seed: seed}
			e.Values[stateKey{}] = s
			slots <- struct{}{}
			e.Defer(func() {
				s.close()
				<-slots
			})
			return nil
		},
	}
	for name, run := range commands {
		p.Cmds[name] = func(ts *testscript.TestScript, neg bool, args []string) {
			run(ts.Value(stateKey{}).(*state), ts, neg, args)
		}
	}
	return p
}

func (s *state) close() {
	if s.stopLoad != nil {
		s.stopLoad()
	}
	if s.deployment != nil {
		s.deployment.Close()
	}
}

// commandTimeout limits a command that waits for processes.
const commandTimeout = 90 * time.Second

func commandContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), commandTimeout)
}

// running returns the deployment; it fails the script if none was started or the
// command is negated.
func (s *state) running(ts *testscript.TestScript, neg bool) *harness.Deployment {
	if neg {
		ts.Fatalf("the command cannot be negated")
	}
	if s.deployment == nil {
		ts.Fatalf("no deployment was started")
	}
	return s.deployment
}

// requireArgs fails the script unless there are between least and most arguments.
func requireArgs(ts *testscript.TestScript, args []string, least, most int) {
	if len(args) < least || len(args) > most {
		ts.Fatalf("wrong number of arguments: %q", args)
	}
}

// outputDir creates the directory for output files below the script's work directory,
// so that -testwork also keeps them.
func outputDir(ts *testscript.TestScript) string {
	dir := filepath.Join(ts.Getenv("WORK"), "deployment")
	ts.Check(os.MkdirAll(dir, 0o755))
	return dir
}
