package main

import (
	"context"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"
)

const statusHelp = `Shows whether the host is ready, the log offset in force and how many hosts and
backend servers it knows. The exit code is 8 if the host is not ready.

  redwingctl status -o json`

func statusCommand(std *streams) *ffcli.Command {
	var c connection
	flags := newFlagSet("redwingctl status", std)
	c.registerFlags(flags)
	return &ffcli.Command{
		Name:       "status",
		ShortUsage: "redwingctl status [flags]",
		ShortHelp:  "Show the health of a host",
		LongHelp:   statusHelp,
		FlagSet:    flags,
		Options:    environmentOptions(),
		Exec: func(ctx context.Context, _ []string) error {
			if err := c.runScript(ctx, std, "show status"); err != nil {
				return err
			}
			client, err := c.client()
			if err != nil {
				return err
			}
			ready, err := client.Ready(ctx)
			if err == nil && !ready.Ready {
				return eris.Wrap(errNotReady, ready.Reason)
			}
			return err
		},
	}
}
