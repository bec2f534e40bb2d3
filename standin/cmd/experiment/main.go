// Command experiment compares the scheduling code with baselines and an offline
// bound, using simulated engines and a simulated platform in virtual time.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/redwingpath/redwingpath/standin/experiment"
)

func main() {
	if err := command().ParseAndRun(context.Background(), os.Args[1:]); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return
		}
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func command() *ffcli.Command {
	flags := flag.NewFlagSet("experiment", flag.ContinueOnError)
	seeds := flags.Int("seeds", 10, "number of seeds")
	first := flags.Uint64("first-seed", 1, "first seed")
	out := flags.String("out", "", "directory for results.json, summary.json and the report page")
	deployments := flags.String("deployments", "", "deployments to run, separated by commas; empty for all")
	scenarios := flags.String("scenarios", "", "scenarios to run, separated by commas; empty for all")
	variants := flags.String("variants", "", "variants to run, separated by commas; empty for all")
	workers := flags.Int("workers", 0, "parallel runs; 0 for half the processors")
	load := flags.Float64("load", 1, "multiple of the arrival rates")
	trace := flags.String("trace", "", "file with a recorded trace in place of generated arrivals")
	record := flags.String("record", "", "write the arrivals of the first chosen scenario as a trace to this file, and run nothing")
	return &ffcli.Command{
		ShortUsage: "experiment [flags]",
		FlagSet:    flags,
		Exec: func(context.Context, []string) error {
			o := experiment.Options{
				Seeds:       *seeds,
				FirstSeed:   *first,
				Deployments: splitList(*deployments),
				Scenarios:   splitList(*scenarios),
				Variants:    splitList(*variants),
				Workers:     *workers,
				Load:        *load,
			}
			if *record != "" {
				return writeTrace(o, *record)
			}
			return run(o, *trace, *out)
		},
	}
}

func writeTrace(o experiment.Options, path string) error {
	arrivals, err := experiment.Generate(o)
	if err != nil {
		return err
	}
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := experiment.WriteTrace(f, arrivals); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}

func splitList(names string) []string {
	if names == "" {
		return nil
	}
	return strings.Split(names, ",")
}

func run(o experiment.Options, trace, out string) error {
	if trace != "" {
		f, err := os.Open(trace)
		if err != nil {
			return err
		}
		defer f.Close()
		if o.Trace, err = experiment.ReadTrace(f); err != nil {
			return err
		}
	}
	results, err := experiment.RunSuite(o)
	if err != nil {
		return err
	}
	rows := experiment.Summarise(results)
	if err := experiment.WriteTable(os.Stdout, rows); err != nil {
		return err
	}
	if out == "" {
		return nil
	}
	return experiment.WriteReport(out, results, rows)
}
