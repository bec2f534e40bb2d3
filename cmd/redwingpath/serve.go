package main

import (
	"context"
	"io"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/redwingpath/redwingpath/pkg/settings"
	"github.com/redwingpath/redwingpath/pkg/telemetry"
)

const serveHelp = `Runs one entry host until SIGTERM or SIGINT. The host then fails its readiness
check, accepts requests for timings.shutdown_delay while the load balancer stops
sending them, completes the running requests, reports its usage and leaves the
deployment.

  redwingpath serve -settings /etc/redwingpath/host.jsonc

The file may also be named by REDWINGPATH_SETTINGS.`

func serveCommand(stderr io.Writer, parts components) *ffcli.Command {
	flags := newFlagSet("redwingpath serve", stderr)
	file := flags.String("settings", "", "settings file")
	return &ffcli.Command{
		Name:       "serve",
		ShortUsage: "redwingpath serve -settings FILE",
		ShortHelp:  "Run one entry host",
		LongHelp:   serveHelp,
		FlagSet:    flags,
		Options:    []ff.Option{ff.WithEnvVarPrefix("REDWINGPATH")},
		Exec: func(ctx context.Context, _ []string) error {
			s, err := loadSettings(*file)
			if err != nil {
				return err
			}
			return serve(ctx, s, parts.run)
		},
	}
}

func loadSettings(file string) (*settings.Settings, error) {
	if file == "" {
		return nil, eris.Wrap(errUsage, "no settings file is given, use -settings")
	}
	return settings.Load(file)
}

// serve runs a host with the logger that its settings describe.
func serve(ctx context.Context, s *settings.Settings, run runHost) error {
	logger, err := telemetry.NewLogger(s.Logging)
	if err != nil {
		return err
	}
	// Sync fails on terminals, which do not need it.
	defer func() { _ = logger.Sync() }()
	logger = logger.With(zap.String("host", string(s.Host.ID)))
	logger.Info("host starts", zap.String("data_centre", string(s.Host.DataCentre)))
	if err := run(ctx, s, logger); err != nil {
		logger.Error("host failed", zap.Error(err))
		return err
	}
	logger.Info("host ended")
	return nil
}
