// Command redwingctl is the command-line tool for operators. It runs statements of
// the language in package opslang on one host and shows state, decisions and
// health.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3/ffcli"
)

const rootHelp = `redwingctl runs statements on a host of redwingpath and shows its state.

The address and token of the host's operator API come from flags or from the
environment: REDWINGCTL_ADDRESS, REDWINGCTL_TOKEN. Prefer the environment for
the token, because other users can see the flags of a process.

Exit codes:
  0  done
  1  failed: host not reached, or an internal error
  2  wrong usage
  3  malformed script; nothing was changed
  4  conflict with another operator's change; nothing was changed
  5  not accepted; nothing was changed
  6  outcome unknown: the change may be in force
  7  unauthorized: the token belongs to no operator
  8  the host is not ready (status)`

// streams contains the standard streams of the program.
type streams struct {
	in       io.Reader
	out, err io.Writer
	// interactive reports whether in is a terminal.
	interactive bool
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	std := &streams{in: os.Stdin, out: os.Stdout, err: os.Stderr, interactive: isTerminal(os.Stdin)}
	code := run(ctx, os.Args[1:], std)
	stop()
	os.Exit(code)
}

func isTerminal(file *os.File) bool {
	info, err := file.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

// run executes the subcommand given by the arguments and returns the exit code.
func run(ctx context.Context, args []string, std *streams) int {
	root := &ffcli.Command{
		Name:       "redwingctl",
		ShortUsage: "redwingctl COMMAND [flags] [arguments]",
		LongHelp:   rootHelp,
		FlagSet:    newFlagSet("redwingctl", std),
		Exec:       showHelp,
	}
	root.Subcommands = []*ffcli.Command{
		runCommand(std),
		queryCommand(std),
		explainCommand(std),
		dumpCommand(std),
		statusCommand(std),
		whyCommand(std),
		placeCommand(std),
		dayCommand(std),
		keygenCommand(std),
	}
	err := root.Parse(args)
	switch {
	case err == nil:
		err = root.Run(ctx)
	case !errors.Is(err, flag.ErrHelp):
		err = fmt.Errorf("%w: %w", errUsage, err)
	}
	if err != nil && !errors.Is(err, flag.ErrHelp) {
		_, _ = fmt.Fprintln(std.err, "redwingctl:", err)
	}
	return exitCode(err, args)
}

func showHelp(context.Context, []string) error {
	return flag.ErrHelp
}

func newFlagSet(name string, std *streams) *flag.FlagSet {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.SetOutput(std.err)
	return flags
}
