package main

import (
	"context"
	"fmt"
	"io"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/operator"
	"github.com/redwingpath/redwingpath/pkg/settings"
)

const devHelp = `Runs one host with a simulated platform, engines and services in the same
process, on loopback addresses and without TLS. It prints the address and a new
operator's token for redwingctl. Nothing is kept when it ends.

  redwingpath dev
  redwingpath dev -engines 6 -callers 127.0.0.1:9000`

// devOptions are the flags of dev.
type devOptions struct {
	callers   string
	operators string
	peers     string
	logLevel  string
	engines   int
	services  int
}

func devCommand(stdout, stderr io.Writer, parts components) *ffcli.Command {
	var o devOptions
	flags := newFlagSet("redwingpath dev", stderr)
	flags.StringVar(&o.callers, "callers", "127.0.0.1:8080", "address for callers")
	flags.StringVar(&o.operators, "operators", "127.0.0.1:8081", "address for operators")
	flags.StringVar(&o.peers, "peers", "127.0.0.1:8082", "address for other hosts")
	flags.StringVar(&o.logLevel, "log-level", "info", "debug, info, warn or error")
	flags.IntVar(&o.engines, "engines", 3, "number of simulated engines")
	flags.IntVar(&o.services, "services", 1, "number of simulated services")
	return &ffcli.Command{
		Name:       "dev",
		ShortUsage: "redwingpath dev [flags]",
		ShortHelp:  "Run one host with simulated components",
		LongHelp:   devHelp,
		FlagSet:    flags,
		Exec: func(ctx context.Context, _ []string) error {
			return runDev(ctx, stdout, o, parts)
		},
	}
}

// runDev runs a host against a simulation. The simulation stops after the host,
// which needs it for its graceful shutdown.
func runDev(ctx context.Context, stdout io.Writer, o devOptions, parts components) error {
	simulationCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	simulated, err := parts.simulate(simulationCtx, simulationConfig{
		Region: "dev", DataCentre: "dev-a", Model: "tasador", Service: "pedidos",
		Engines: o.engines, Services: o.services,
	})
	if err != nil {
		stop()
		return err
	}
	defer simulated.Wait()
	defer stop()
	s, token, err := o.settings(simulated.PlatformAddress())
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(stdout, "export REDWINGCTL_ADDRESS=http://%s\nexport REDWINGCTL_TOKEN=%s\n", o.operators, token)
	return serve(ctx, s, parts.run)
}

// settings returns the settings of the host and the token of its only operator.
func (o *devOptions) settings(platformAddress string) (*settings.Settings, string, error) {
	token, digest, err := operator.NewToken()
	if err != nil {
		return nil, "", err
	}
	s := settings.Default()
	s.Host = settings.Host{ID: "dev-1", Region: "dev", DataCentre: model.DataCentreID("dev-a")}
	s.Listen = settings.Listen{Callers: o.callers, Operators: o.operators, Peers: o.peers}
	s.Platform.Address = platformAddress
	s.Logging.Level = o.logLevel
	s.Logging.Format = settings.LogConsole
	s.Operators = []settings.Operator{{Name: "dev", TokenSHA256: digest}}
	return s, token, s.Check()
}
