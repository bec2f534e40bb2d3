package main

import (
	"context"

	"github.com/peterbourgon/ff/v3/ffcli"
)

const runHelp = `Runs statements as one script: its changes are applied atomically, then its
queries are run. The statements come from the arguments, from a file, or from
standard input.

  redwingctl run 'change org casa-toledo rate 40 if version 812'
  redwingctl run -f config.ops
  echo 'show hosts' | redwingctl run -o json`

func runCommand(std *streams) *ffcli.Command {
	var c connection
	flags := newFlagSet("redwingctl run", std)
	c.registerFlags(flags)
	file := flags.String("f", "", "file with statements, - for standard input")
	return &ffcli.Command{
		Name:       "run",
		ShortUsage: "redwingctl run [flags] [statement ...]",
		ShortHelp:  "Run statements as one change",
		LongHelp:   runHelp,
		FlagSet:    flags,
		Options:    environmentOptions(),
		Exec: func(ctx context.Context, args []string) error {
			source, err := readScript(std, *file, args)
			if err != nil {
				return err
			}
			return c.runScript(ctx, std, source)
		},
	}
}
