// Command capacity measures what the control plane costs a host without traffic, with real
// processes: processor time, memory, and bytes read and written, as functions of the
// number of hosts, of engines and of configuration changes per second. It prints one
// line per point and a linear fit for each series.
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
)

// point holds the parameters of one run.
type point struct {
	hosts   int
	engines int
	// changesPerSecond is the rate of configuration changes.
	changesPerSecond float64
}

// series holds the runs behind the capacity page. The first point of each is the
// same deployment, so that the series can be compared.
var series = map[string][]point{
	"hosts":   {{2, 6, 0}, {4, 6, 0}, {8, 6, 0}, {16, 6, 0}, {32, 6, 0}},
	"engines": {{2, 6, 0}, {2, 12, 0}, {2, 24, 0}, {2, 48, 0}},
	"changes": {{2, 6, 0}, {2, 6, 2}, {2, 6, 5}, {2, 6, 10}},
}

// seriesOrder is the order in which the series run.
var seriesOrder = []string{"hosts", "engines", "changes"}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, args []string) error {
	flags := flag.NewFlagSet("capacity", flag.ContinueOnError)
	settle := flags.Duration("settle", 6*time.Second, "time between the start of a deployment and its measurement")
	duration := flags.Duration("length", 10*time.Second, "duration of a measurement")
	only := flags.String("series", "", "series to run: hosts, engines or changes; empty means all")
	if err := ff.Parse(flags, args, ff.WithEnvVarPrefix("CAPACITY")); err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "capacity-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binaries, err := harness.Build(ctx, dir)
	if err != nil {
		return err
	}
	m := &measurement{dir: dir, binaries: binaries, settle: *settle, duration: *duration}
	for _, name := range seriesOrder {
		if *only != "" && *only != name {
			continue
		}
		if err := m.series(ctx, name, series[name]); err != nil {
			return err
		}
	}
	return nil
}
