// Command demo runs an example deployment: it starts the simulated components and
// three hosts, configures them, sends requests through them, queries what runs where,
// and stops everything. It exits with 1 when a step fails.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// runTimeout bounds the whole demo, including the build of the programs.
const runTimeout = 55 * time.Second

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	err := run(ctx)
	cancel()
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "demo failed:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context) (err error) {
	dir, err := os.MkdirTemp("", "redwingpath-demo-")
	if err != nil {
		return err
	}
	defer func() {
		if err == nil {
			err = os.RemoveAll(dir)
			return
		}
		err = errors.Join(err, fmt.Errorf("logs are in %s", dir))
	}()
	d := &demo{dir: dir, started: time.Now()}
	defer d.close()
	for _, s := range d.steps() {
		fmt.Printf("%5.1fs  %s\n", time.Since(d.started).Seconds(), s.title)
		if err := s.run(ctx); err != nil {
			return fmt.Errorf("step %q: %w", s.title, err)
		}
	}
	d.printSummary()
	return nil
}
