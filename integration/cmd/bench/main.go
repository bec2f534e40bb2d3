// Command bench measures entry hosts as real processes on loopback. It prints one
// metric per line: name, value and unit. Lines that begin with # are comments.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"strings"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3"

	"github.com/redwingpath/redwingpath/integration/harness"
)

// runTimeout bounds the whole run.
const runTimeout = 10 * time.Minute

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	err := run(ctx, os.Args[1:])
	cancel()
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(1)
	}
}

// benchmark is a group of metrics that the flag -only selects.
type benchmark struct {
	name string
	run  func(context.Context, *environment) error
}

var benchmarks = []benchmark{
	{"latency", measureLatency},
	{"throughput", measureThroughput},
	{"memory", measureMemory},
	{"changes", measureChanges},
}

// environment holds what the benchmarks share.
type environment struct {
	dir      string
	root     string
	binaries harness.Binaries
}

func run(ctx context.Context, args []string) error {
	flags := flag.NewFlagSet("bench", flag.ContinueOnError)
	only := flags.String("only", "", "benchmark to run: latency, throughput, memory or changes; empty means all")
	host := flags.String("host", "", "path of a program to run as the host, such as profiledhost; empty means redwingpath")
	root := flags.String("root", "..", "root of the repository")
	if err := ff.Parse(flags, args, ff.WithEnvVarPrefix("BENCH")); err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "redwingpath-bench-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	env := &environment{dir: dir, root: *root}
	if env.binaries, err = harness.Build(ctx, dir); err != nil {
		return err
	}
	if *host != "" {
		env.binaries.Host = *host
	}
	fmt.Printf("# %d processors, %s; clients and simulated engines run on the same machine\n", runtime.NumCPU(), runtime.Version())
	for _, b := range benchmarks {
		if *only != "" && *only != b.name {
			continue
		}
		fmt.Printf("# %s: load average of the machine %s\n", b.name, loadAverage())
		if err := b.run(ctx, env); err != nil {
			return fmt.Errorf("%s: %w", b.name, err)
		}
	}
	return nil
}

// loadAverage returns the load average of the last minute. When it exceeds the number
// of processors, measured times depend more on the machine than on the host.
func loadAverage() string {
	data, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	oneMinute, _, _ := strings.Cut(string(data), " ")
	return oneMinute
}

func printMetric(name string, value float64, unit string) {
	fmt.Printf("%s %.3f %s\n", name, value, unit)
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
