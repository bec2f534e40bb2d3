package main

import (
	"context"
	"fmt"
	"io"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/redwingpath/redwingpath/pkg/settings"
	"github.com/redwingpath/redwingpath/pkg/tlsconf"
	"github.com/redwingpath/redwingpath/platform"
)

const checkHelp = `Checks settings files and prints every finding with file, line and field. With
-files it also loads the certificates that the settings name. With -platform the
files are settings files of the users' platform.

  redwingpath check /etc/redwingpath/host.jsonc
  redwingpath check -platform /etc/redwingpath/local.conf`

func checkCommand(stdout, stderr io.Writer) *ffcli.Command {
	flags := newFlagSet("redwingpath check", stderr)
	files := flags.Bool("files", false, "also load the certificates that the settings name")
	onPlatform := flags.Bool("platform", false, "the files are settings files of the users' platform")
	return &ffcli.Command{
		Name:       "check",
		ShortUsage: "redwingpath check [-files] [-platform] FILE ...",
		ShortHelp:  "Check settings files",
		LongHelp:   checkHelp,
		FlagSet:    flags,
		Exec: func(_ context.Context, args []string) error {
			if len(args) == 0 {
				return eris.Wrap(errUsage, "no settings file is given")
			}
			check := func(name string) error { return checkFile(name, *files) }
			if *onPlatform {
				check = checkPlatformFile
			}
			return checkAll(stdout, stderr, args, check)
		},
	}
}

// checkAll checks all files, prints the findings of each and returns the last error.
func checkAll(stdout, stderr io.Writer, names []string, check func(name string) error) error {
	var last error
	for _, name := range names {
		err := check(name)
		if err == nil {
			_, _ = fmt.Fprintf(stdout, "%s: no findings\n", name)
			continue
		}
		if last != nil {
			_, _ = fmt.Fprintln(stderr, last)
		}
		last = err
	}
	return last
}

func checkPlatformFile(name string) error {
	_, err := platform.Load(name)
	return err
}

func checkFile(name string, certificates bool) error {
	s, err := settings.Load(name)
	if err != nil || !certificates {
		return err
	}
	for _, files := range []*settings.Certificate{s.TLS.Callers, s.TLS.Operators, s.TLS.Peers} {
		if _, err := tlsconf.New(files, zap.NewNop()); err != nil {
			return eris.Wrap(err, name)
		}
	}
	return nil
}
