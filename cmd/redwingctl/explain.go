package main

import (
	"context"
	"strconv"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"
)

const explainHelp = `Shows the recorded decisions of the host about a request, backend server or
order, with their reasons, and the current state of a backend server or order.
Each host records only its own decisions; call the host that received the request.

  redwingctl explain request 01J9ZK6Y3QXV8T3M4N5P6R7S8T
  redwingctl explain backend runner-4`

func explainCommand(std *streams) *ffcli.Command {
	var c connection
	flags := newFlagSet("redwingctl explain", std)
	c.registerFlags(flags)
	return &ffcli.Command{
		Name:       "explain",
		ShortUsage: "redwingctl explain [flags] request|backend|order ID",
		ShortHelp:  "Show why something was decided",
		LongHelp:   explainHelp,
		FlagSet:    flags,
		Options:    environmentOptions(),
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 2 {
				return eris.Wrap(errUsage, "explain takes request, backend or order and an ID")
			}
			return c.runScript(ctx, std, "explain "+strconv.Quote(args[0])+" "+strconv.Quote(args[1]))
		},
	}
}
