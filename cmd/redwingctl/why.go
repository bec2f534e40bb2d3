package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"github.com/redwingpath/redwingpath/pkg/logstory"
)

const whyHelp = `Reads a directory of hosts' log files. Given the ID of a request it prints
what the host of the first event had logged about the backend servers involved,
and then the request's events on all hosts, in order. Given -from and -to it prints
the decisions of hosts and the dependencies that they lost and regained in that
time range.

  redwingctl why -logs DIR 9c41d07be2a35f68
  redwingctl why -logs DIR -from 2026-01-01T10:00:00Z -to 2026-01-01T10:00:10Z`

func whyCommand(std *streams) *ffcli.Command {
	flags := newFlagSet("redwingctl why", std)
	dir := flags.String("logs", ".", "directory of log files")
	from := flags.String("from", "", "start of the time range, as RFC 3339")
	to := flags.String("to", "", "end of the time range, as RFC 3339")
	return &ffcli.Command{
		Name:       "why",
		ShortUsage: "redwingctl why -logs DIR REQUEST | -from TIME -to TIME",
		ShortHelp:  "Explain a request or a time range from log files",
		LongHelp:   whyHelp,
		FlagSet:    flags,
		Exec: func(_ context.Context, args []string) error {
			lines, skipped, err := logstory.ReadAll(os.DirFS(*dir))
			if err != nil {
				return err
			}
			if skipped > 0 {
				_, _ = fmt.Fprintf(std.err, "%d lines are not log lines and were skipped\n", skipped)
			}
			switch {
			case len(args) == 1 && *from == "" && *to == "":
				return explainRequest(std, lines, args[0])
			case len(args) == 0 && *from != "" && *to != "":
				return explainSpan(std, lines, *from, *to)
			}
			return eris.Wrap(errUsage, "give either the ID of a request, or -from and -to")
		},
	}
}

func explainRequest(std *streams, lines []logstory.Line, id string) error {
	events := logstory.RequestLines(lines, id)
	if len(events) == 0 {
		return eris.Errorf("no log line contains request %s", id)
	}
	return logstory.WriteLines(std.out, append(logstory.BackendLines(lines, events), events...))
}

func explainSpan(std *streams, lines []logstory.Line, from, to string) error {
	start, err := time.Parse(time.RFC3339, from)
	if err != nil {
		return eris.Wrapf(errUsage, "-from: %v", err)
	}
	end, err := time.Parse(time.RFC3339, to)
	if err != nil {
		return eris.Wrapf(errUsage, "-to: %v", err)
	}
	return logstory.WriteLines(std.out, logstory.LinesBetween(lines, start, end))
}
