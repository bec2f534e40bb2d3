package main

import (
	"context"
	"fmt"
	"io"
	"runtime/debug"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/redwingpath/redwingpath/pkg/logrec"
)

func versionCommand(stdout, stderr io.Writer) *ffcli.Command {
	return &ffcli.Command{
		Name:       "version",
		ShortUsage: "redwingpath version",
		ShortHelp:  "Print the version of the program and of its log records",
		LongHelp:   "Prints the version and commit of the program and the newest version of log\nrecords that it reads and writes.",
		FlagSet:    newFlagSet("redwingpath version", stderr),
		Exec: func(context.Context, []string) error {
			printVersion(stdout)
			return nil
		},
	}
}

func printVersion(w io.Writer) {
	version, commit := "unknown", "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version
		for _, setting := range info.Settings {
			if setting.Key == "vcs.revision" {
				commit = setting.Value
			}
		}
	}
	_, _ = fmt.Fprintf(w, "redwingpath %s commit %s log records v%d\n", version, commit, logrec.SchemaVersion)
}
