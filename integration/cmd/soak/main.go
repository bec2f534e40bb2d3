// Command soak runs a deployment of processes under load and random faults and checks
// all invariants. It prints the seed first and exits with 1 on a violation and with 2
// when the run itself failed.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3"

	"github.com/redwingpath/redwingpath/integration/harness"
	"github.com/redwingpath/redwingpath/integration/soak"
)

// Exit codes.
const (
	exitViolation = 1
	exitFailed    = 2
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	violations, err := run(ctx, os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(exitFailed)
	}
	if violations > 0 {
		os.Exit(exitViolation)
	}
}

func run(ctx context.Context, args []string) (violations int, err error) {
	flags := flag.NewFlagSet("soak", flag.ContinueOnError)
	seed := flags.Uint64("seed", 0, "seed of load and faults; 0 takes one from the clock")
	duration := flags.Duration("duration", 20*time.Second, "duration of load and faults")
	preset := flags.String("preset", string(harness.Duelas), "deployment: duelas or refund-office")
	hosts := flags.Int("hosts", 4, "number of entry hosts")
	fencing := flags.Bool("fencing", false, "engines check fencing numbers")
	share := flags.Float64("share", 0.3, "share of the organisations' rates that the load uses")
	dir := flags.String("dir", "", "directory for programs, settings and output; empty means a new temporary one")
	if err := ff.Parse(flags, args, ff.WithEnvVarPrefix("SOAK")); err != nil {
		return 0, err
	}
	if *seed == 0 {
		*seed = uint64(time.Now().UnixNano())
	}
	fmt.Printf("seed %d, duration %s, preset %s\n", *seed, *duration, *preset)
	if *dir == "" {
		if *dir, err = os.MkdirTemp("", "soak-"); err != nil {
			return 0, err
		}
		fmt.Println("output in", *dir)
	}
	binaries, err := harness.Build(ctx, *dir)
	if err != nil {
		return 0, err
	}
	result, err := soak.Run(ctx, binaries, soak.Config{
		Seed: *seed, Duration: *duration, Preset: harness.Preset(*preset), Share: *share, Dir: *dir, Log: os.Stdout,
		Sizes: harness.Sizes{Hosts: *hosts, ChecksFencing: *fencing},
	})
	if err != nil {
		return 0, err
	}
	result.Report(os.Stdout)
	return len(result.Violations), nil
}
