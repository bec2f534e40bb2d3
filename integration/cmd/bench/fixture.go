package main

import (
	"context"
	"os"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/redwingpath/redwingpath/integration/example"
	"github.com/redwingpath/redwingpath/pkg/operator"
	"github.com/redwingpath/redwingpath/standin/enginesim"
)

const (
	engineCount  = 12
	serviceCount = 2
	// The engines have more prefill throughput and request slots than the load needs,
	// so that they limit neither requests nor streams.
	maxRunning             = 1024
	prefillTokensPerSecond = 1e8
	stopTimeout            = 30 * time.Second
)

// configScript gives one organisation a rate that no run reaches. Its pools have no
// bounds on their size, so that the planner does not change engines during a
// measurement.
const configScript = `
create pool tasador kind engine checks-fencing yes
create pool pedidos kind service
create route chat path /v1/chat/completions kind model
create org bench rate 1000000 burst 1000000
create shop yard org bench
create offer yard-tasador shop yard model tasador
`

// fixture is a running deployment with its configuration in force.
type fixture struct {
	*example.Deployment
	key        string
	engineURLs []string
}

func (env *environment) deploy(ctx context.Context, hosts int, engine enginesim.Config) (*fixture, error) {
	engine.MaxRunning, engine.MaxQueued = maxRunning, maxRunning
	engine.PrefillTokensPerS = prefillTokensPerSecond
	dir, err := os.MkdirTemp(env.dir, "run-")
	if err != nil {
		return nil, eris.Wrap(err, "directory")
	}
	d, err := example.Start(example.Config{
		Example: example.Duelas, Binaries: env.binaries, Root: env.root, Dir: dir,
		Hosts: hosts, Engines: engineCount, Services: serviceCount, Engine: engine, NoRecording: true,
	})
	if err != nil {
		return nil, err
	}
	f := &fixture{Deployment: d}
	if err := f.configure(ctx); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *fixture) configure(ctx context.Context) error {
	if err := f.StartHosts(ctx); err != nil {
		return err
	}
	secret, digest, err := operator.NewKey()
	if err != nil {
		return err
	}
	f.key = secret
	script := configScript + "grant key bench-1 org bench digest " + digest + "\n"
	if _, err := f.Hosts[0].ControlUntilAccepted(ctx, "run", script); err != nil {
		return err
	}
	for id, url := range f.Addresses.Backends {
		if strings.HasPrefix(string(id), "tasador") {
			f.engineURLs = append(f.engineURLs, url)
		}
	}
	for _, h := range f.Hosts {
		if _, err := f.AwaitChat(ctx, h, f.key, f.ChatBody(false, 1, "warm up")); err != nil {
			return err
		}
	}
	return nil
}

// shutdown stops the hosts gracefully, so that a profiled host writes its profile, and
// then the other processes.
func (f *fixture) shutdown() error {
	defer f.Close()
	return f.StopHosts(stopTimeout)
}
