// Command profiledhost runs redwingpath serve with a CPU profile, for measurements. It
// writes the profile to the file that REDWINGPATH_PROFILE names.
//
//	go build -o /tmp/profiledhost ./cmd/profiledhost
//	REDWINGPATH_PROFILE=/tmp/host.prof go run ./cmd/bench -only throughput -host /tmp/profiledhost
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/pprof"
	"syscall"

	"github.com/rotisserie/eris"

	"github.com/redwingpath/redwingpath/pkg/node"
	"github.com/redwingpath/redwingpath/pkg/settings"
	"github.com/redwingpath/redwingpath/pkg/telemetry"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "profiledhost:", err)
		os.Exit(1)
	}
}

// run takes the arguments of redwingpath serve.
func run(ctx context.Context, args []string) error {
	if len(args) != 3 || args[0] != "serve" || args[1] != "-settings" {
		return eris.New("usage: profiledhost serve -settings FILE")
	}
	s, err := settings.Load(args[2])
	if err != nil {
		return err
	}
	logger, err := telemetry.NewLogger(s.Logging)
	if err != nil {
		return err
	}
	profile, err := os.Create(os.Getenv("REDWINGPATH_PROFILE"))
	if err != nil {
		return eris.Wrap(err, "profile")
	}
	defer func() { _ = profile.Close() }()
	if err := pprof.StartCPUProfile(profile); err != nil {
		return eris.Wrap(err, "profile")
	}
	defer pprof.StopCPUProfile()
	return node.Run(ctx, s, logger)
}
