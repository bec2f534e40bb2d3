package main

import (
	"context"
	"io"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/redwingpath/redwingpath/pkg/edgehost"
	"github.com/redwingpath/redwingpath/pkg/telemetry"
	"github.com/redwingpath/redwingpath/platform"
)

const gatewayHelp = `Runs one entry host on the users' platform until SIGTERM or SIGINT. The settings
file is the platform's; the variable REDWINGPATH_BOOT holds its path.

  redwingpath gateway`

func gatewayCommand(stderr io.Writer) *ffcli.Command {
	flags := newFlagSet("redwingpath gateway", stderr)
	file := flags.String("settings", os.Getenv(platform.SettingsVariable), "the platform's settings file")
	level := flags.String("log-level", "info", "debug, info, warn or error")
	metrics := flags.String("metrics-port", "7601", "port of the metrics, empty for none")
	return &ffcli.Command{
		Name:       "gateway",
		ShortUsage: "redwingpath gateway [flags]",
		ShortHelp:  "Run one entry host on the users' platform",
		LongHelp:   gatewayHelp,
		FlagSet:    flags,
		Exec: func(ctx context.Context, _ []string) error {
			if *file == "" {
				return eris.Wrapf(errUsage, "no settings file is given, and %s is not set", platform.SettingsVariable)
			}
			s, err := platform.Load(*file)
			if err != nil {
				return err
			}
			s.LogLevel = *level
			if host, _, err := net.SplitHostPort(s.CallersAddress); err == nil && *metrics != "" {
				s.MetricsAddress = net.JoinHostPort(host, *metrics)
			}
			return runGateway(ctx, s, *file)
		},
	}
}

func runGateway(ctx context.Context, s *edgehost.Settings, file string) error {
	log, flush, err := telemetry.NewAsyncLogger(os.Stdout, s.LogLevel, s.MaxLogLinesPerSecond)
	if err != nil {
		return err
	}
	defer flush()
	client := platform.NewClient(s.PlatformStore, s.PlatformAPI)
	host, err := edgehost.New(s, client, platform.Dialect{}, log)
	if err != nil {
		return err
	}
	go watchSettings(ctx, file, log)
	return host.Run(ctx)
}

// settingsPollInterval is the time between two checks of the settings file, which
// may change without a signal.
const settingsPollInterval = 2 * time.Second

// watchSettings reads the settings file again on SIGHUP and when it changes, and
// logs the result. No changed setting takes effect on a running host.
func watchSettings(ctx context.Context, file string, log *zap.Logger) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	last, _ := os.ReadFile(file)
	for {
		cause := "the file has changed"
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			cause = "SIGHUP"
		case <-ticker.C:
		}
		raw, err := os.ReadFile(file)
		if err != nil {
			log.Warn("cannot read the settings file again", zap.Error(err))
			continue
		}
		if string(raw) == string(last) && cause != "SIGHUP" {
			continue
		}
		last = raw
		if _, err := platform.Parse(file, raw); err != nil {
			log.Error("the changed settings file has findings and is ignored", zap.Error(err))
			continue
		}
		log.Info("settings read again", zap.String("cause", cause))
	}
}
