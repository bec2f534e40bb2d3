package main

import (
	"context"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"github.com/redwingpath/redwingpath/pkg/logstory"
)

const dayHelp = `Writes an HTML page with plots of a day from a directory of hosts' log files:
outcomes, times to the first byte, engines and waits, losses and their causes,
decisions and dependencies. With -text, only the losses are printed, as text.

  redwingctl day -logs DIR -out day.html
  redwingctl day -logs DIR -text`

func dayCommand(std *streams) *ffcli.Command {
	flags := newFlagSet("redwingctl day", std)
	dir := flags.String("logs", ".", "directory of log files")
	out := flags.String("out", "day.html", "output file for the HTML page")
	text := flags.Bool("text", false, "print the losses and their causes instead of writing a page")
	return &ffcli.Command{
		Name:       "day",
		ShortUsage: "redwingctl day -logs DIR -out FILE",
		ShortHelp:  "Plot a day from log files",
		LongHelp:   dayHelp,
		FlagSet:    flags,
		Exec: func(context.Context, []string) error {
			lines, _, err := logstory.ReadAll(os.DirFS(*dir))
			if err != nil {
				return err
			}
			if *text {
				return logstory.WriteLosses(std.out, lines)
			}
			file, err := os.Create(*out)
			if err != nil {
				return eris.Wrap(err, "create the page")
			}
			if err := logstory.WriteReport(file, lines); err != nil {
				_ = file.Close()
				return err
			}
			return eris.Wrap(file.Close(), "write the page")
		},
	}
}
