// Command redwingpath is the entry host: it serves callers and takes part in
// the control of the fleet.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"slices"
	"syscall"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/redwingpath/redwingpath/pkg/settings"
)

const rootHelp = `redwingpath runs one entry host, checks its settings, or runs a host with
simulated components for development.

Exit codes:
  0  done; a host ends with 0 after a graceful shutdown
  1  failed
  2  wrong usage
  3  faults in the settings file`

// Exit codes, as the help text lists them.
const (
	exitDone     = 0
	exitFailed   = 1
	exitUsage    = 2
	exitSettings = 3
)

var errUsage = errors.New("wrong usage")

func main() {
	// SIGTERM and SIGINT start the graceful shutdown.
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args[1:], os.Stdout, os.Stderr, defaultComponents())
	stop()
	os.Exit(code)
}

// run executes the command that the arguments name and returns the exit code.
func run(ctx context.Context, args []string, stdout, stderr io.Writer, parts components) int {
	root := &ffcli.Command{
		Name:       "redwingpath",
		ShortUsage: "redwingpath COMMAND [flags]",
		LongHelp:   rootHelp,
		FlagSet:    newFlagSet("redwingpath", stderr),
		Exec:       showHelp,
		Subcommands: []*ffcli.Command{
			serveCommand(stderr, parts),
			checkCommand(stdout, stderr),
			devCommand(stdout, stderr, parts),
			gatewayCommand(stderr),
			versionCommand(stdout, stderr),
		},
	}
	err := root.Parse(args)
	switch {
	case err == nil:
		err = root.Run(ctx)
	case !errors.Is(err, flag.ErrHelp):
		err = fmt.Errorf("%w: %w", errUsage, err)
	}
	if err != nil && !errors.Is(err, flag.ErrHelp) {
		_, _ = fmt.Fprintln(stderr, err)
	}
	return exitCode(err, args)
}

func showHelp(context.Context, []string) error {
	return flag.ErrHelp
}

func newFlagSet(name string, stderr io.Writer) *flag.FlagSet {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.SetOutput(stderr)
	return flags
}

func exitCode(err error, args []string) int {
	var findings settings.Findings
	switch {
	case err == nil:
		return exitDone
	case errors.Is(err, flag.ErrHelp):
		return helpExitCode(args)
	case errors.Is(err, errUsage):
		return exitUsage
	case errors.As(err, &findings):
		return exitSettings
	default:
		return exitFailed
	}
}

// helpExitCode returns exitDone if the help was requested, and exitUsage if it was
// shown because no command was given.
func helpExitCode(args []string) int {
	if slices.ContainsFunc(args, func(arg string) bool { return arg == "-h" || arg == "-help" || arg == "--help" }) {
		return exitDone
	}
	return exitUsage
}
