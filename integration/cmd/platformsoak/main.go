// Command platformsoak runs the platform soak test with consecutive seeds and keeps the
// logs of seeds with violations. It exits with 1 on a violation and with 2 when a run
// itself failed.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/redwingpath/redwingpath/integration/harness"
	"github.com/redwingpath/redwingpath/integration/platformsoak"
)

func main() {
	first := flag.Uint64("seed", uint64(time.Now().Unix()), "first seed")
	count := flag.Uint64("count", 1, "number of seeds")
	hosts := flag.Int("hosts", 4, "number of hosts")
	duration := flag.Duration("duration", 20*time.Second, "duration of fault injection for each seed")
	out := flag.String("out", "out/platformsoak", "directory for logs")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	failed, err := run(ctx, *first, *count, *hosts, *duration, *out)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	if failed > 0 {
		os.Exit(1)
	}
}

func run(ctx context.Context, first, count uint64, hosts int, duration time.Duration, out string) (failed int, err error) {
	if err := os.MkdirAll(out, 0o755); err != nil {
		return 0, err
	}
	binaries, err := harness.Build(ctx, out)
	if err != nil {
		return 0, err
	}
	for seed := first; seed < first+count && ctx.Err() == nil; seed++ {
		dir := filepath.Join(out, fmt.Sprint(seed))
		if err := os.MkdirAll(dir, 0o755); err != nil {
			return failed, err
		}
		binary, err := filepath.Abs(binaries.Host)
		if err != nil {
			return failed, err
		}
		result, err := platformsoak.Run(ctx, platformsoak.Config{Seed: seed, Hosts: hosts, Duration: duration, Binary: binary, Dir: dir})
		if err != nil {
			return failed, err
		}
		fmt.Printf("seed %d: %d requests, %d served, %d faults, %d violations\n",
			seed, result.Requests, result.Served, result.Faults, len(result.Violations))
		for _, violation := range result.Violations {
			fmt.Println("  ", violation)
		}
		if len(result.Violations) > 0 {
			failed++
			continue
		}
		if err := os.RemoveAll(dir); err != nil {
			return failed, err
		}
	}
	return failed, nil
}
