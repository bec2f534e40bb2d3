// Command standin runs a simulated deployment on loopback: platform, engines
// and services. It prints the addresses as one line of JSON and runs until it
// is interrupted.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3"
	"github.com/rotisserie/eris"

	"github.com/redwingpath/redwingpath/standin"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, args []string) error {
	flags := flag.NewFlagSet("standin", flag.ContinueOnError)
	settings := flags.String("settings", "", "settings file, JSON form of standin.Config")
	if err := ff.Parse(flags, args, ff.WithEnvVarPrefix("STANDIN")); err != nil {
		return err
	}
	config, err := load(*settings)
	if err != nil {
		return err
	}
	d, err := standin.Start(ctx, config)
	if err != nil {
		return err
	}
	if err := json.NewEncoder(os.Stdout).Encode(d.Addresses()); err != nil {
		return err
	}
	<-ctx.Done()
	return d.Close()
}

func load(path string) (standin.Config, error) {
	var config standin.Config
	data, err := os.ReadFile(path)
	if err != nil {
		return config, eris.Wrap(err, "read settings")
	}
	return config, eris.Wrapf(json.Unmarshal(data, &config), "settings %s", path)
}
