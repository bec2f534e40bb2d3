package main

import (
	"bufio"
	"context"
	"fmt"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"
)

const queryHelp = `Runs statements from the arguments, from a file or from standard input. Without
arguments and file on a terminal it prompts for statements and runs each line
separately; a line that ends with \ continues on the next one. "exit" or the end
of input ends the session. A failed statement does not.

  redwingctl query
  redwingctl query 'show backends of model tasador in armenia'
  redwingctl query -f morning.ops`

const (
	prompt         = "redwing> "
	continuePrompt = "       > "
)

func queryCommand(std *streams) *ffcli.Command {
	var c connection
	flags := newFlagSet("redwingctl query", std)
	c.registerFlags(flags)
	file := flags.String("f", "", "file with statements, - for standard input")
	return &ffcli.Command{
		Name:       "query",
		ShortUsage: "redwingctl query [flags] [statement ...]",
		ShortHelp:  "Query state, also interactively",
		LongHelp:   queryHelp,
		FlagSet:    flags,
		Options:    environmentOptions(),
		Exec: func(ctx context.Context, args []string) error {
			if len(args) == 0 && *file == "" && std.interactive {
				return c.interact(ctx, std)
			}
			source, err := readScript(std, *file, args)
			if err != nil {
				return err
			}
			return c.runScript(ctx, std, source)
		},
	}
}

// interact runs an interactive session until the end of input, "exit" or an
// interrupt.
func (c *connection) interact(ctx context.Context, std *streams) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	lines := make(chan string)
	go readLines(ctx, std, lines)
	var pending strings.Builder
	for {
		_, _ = fmt.Fprint(std.out, promptFor(&pending))
		select {
		case <-ctx.Done():
			return nil
		case line, open := <-lines:
			if !open || pending.Len() == 0 && strings.TrimSpace(line) == "exit" {
				return nil
			}
			pending.WriteString(line + "\n")
			if strings.HasSuffix(strings.TrimRight(line, " \t\r"), `\`) {
				continue
			}
			if err := c.runScript(ctx, std, pending.String()); err != nil {
				_, _ = fmt.Fprintln(std.err, err)
			}
			pending.Reset()
		}
	}
}

func promptFor(pending *strings.Builder) string {
	if pending.Len() > 0 {
		return continuePrompt
	}
	return prompt
}

// readLines sends the lines of the input to the channel and closes it at the end
// of the input.
func readLines(ctx context.Context, std *streams, lines chan<- string) {
	defer close(lines)
	scanner := bufio.NewScanner(std.in)
	for scanner.Scan() {
		select {
		case lines <- scanner.Text():
		case <-ctx.Done():
			return
		}
	}
}
