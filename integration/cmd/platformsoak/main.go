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
	"strings"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/redwingpath/redwingpath/integration/harness"
	"github.com/redwingpath/redwingpath/integration/platformsoak"
)

func main() {
	first := flag.Uint64("seed", uint64(time.Now().Unix()), "first seed")
	count := flag.Uint64("count", 1, "number of seeds")
	var config platformsoak.Config
	flag.IntVar(&config.Hosts, "hosts", 8, "number of hosts")
	flag.DurationVar(&config.Duration, "duration", 20*time.Second, "duration of fault injection for each seed")
	flag.BoolVar(&config.Restores, "restores", false, "restore the store from older copies")
	out := flag.String("out", "out/platformsoak", "directory for logs")
	flag.StringVar(&config.Binary, "binary", "", "path of the redwingpath program to run, instead of one that is built")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	failed, err := run(ctx, *first, *count, config, *out)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	if failed > 0 {
		os.Exit(1)
	}
}

// run plays seeds with the other properties of a configuration.
func run(ctx context.Context, first, count uint64, config platformsoak.Config, out string) (failed int, err error) {
	if err := os.MkdirAll(out, 0o755); err != nil {
		return 0, err
	}
	if config.Binary == "" {
		binaries, err := harness.Build(ctx, out)
		if err != nil {
			return 0, err
		}
		config.Binary = binaries.Host
	}
	if config.Binary, err = filepath.Abs(config.Binary); err != nil {
		return 0, err
	}
	for seed := first; seed < first+count && ctx.Err() == nil; seed++ {
		dir := filepath.Join(out, fmt.Sprint(seed))
		if err := os.MkdirAll(dir, 0o755); err != nil {
			return failed, err
		}
		config.Seed, config.Dir = seed, dir
		result, err := platformsoak.Run(ctx, config)
		if err != nil {
			return failed, err
		}
		fmt.Printf("seed %d: %d requests, %d served, %d faults, %d restores, %d violations\n",
			seed, result.Requests, result.Served, result.Faults, result.Restores, len(result.Violations))
		for _, verdict := range result.Verdicts {
			fmt.Println("  ", verdict)
		}
		printViolations(result)
		if len(result.Violations) > 0 {
			if err := writeViolations(filepath.Join(dir, "violations"), result); err != nil {
				return failed, err
			}
			failed++
			continue
		}
		if err := os.RemoveAll(dir); err != nil {
			return failed, err
		}
	}
	return failed, nil
}

// maxPrinted is the number of violations of one rule that are printed.
const maxPrinted = 4

// printViolations prints the first violations of each rule.
func printViolations(result platformsoak.Result) {
	printed := map[string]int{}
	for _, violation := range result.Violations {
		rule, _, _ := strings.Cut(violation, ":")
		if printed[rule]++; printed[rule] <= maxPrinted {
			fmt.Println("  ", violation)
		}
	}
	for rule, n := range printed {
		if n > maxPrinted {
			fmt.Printf("   %s: %d more violations\n", rule, n-maxPrinted)
		}
	}
}

// writeViolations writes all violations and notes to a file.
func writeViolations(path string, result platformsoak.Result) error {
	var text strings.Builder
	for _, violation := range result.Violations {
		text.WriteString(violation + "\n")
	}
	for _, verdict := range result.Verdicts {
		text.WriteString(verdict.String() + "\n")
		for _, note := range verdict.Notes {
			text.WriteString(note + "\n")
		}
	}
	return eris.Wrap(os.WriteFile(path, []byte(text.String()), 0o600), "write the violations")
}
