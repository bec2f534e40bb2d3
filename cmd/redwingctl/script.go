package main

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/redwingpath/redwingpath/pkg/operator"
	"github.com/redwingpath/redwingpath/pkg/opslang"
)

// unansweredError means that a change was sent but no response was received, so
// that the change may be in force.
type unansweredError struct {
	cause error
}

func (e *unansweredError) Error() string {
	return "no answer, the change may be in force; query history before repeating it: " + e.cause.Error()
}

func (e *unansweredError) Unwrap() error {
	return e.cause
}

// readScript reads a script from the arguments, from a file, or from standard
// input if neither is given or the file is "-".
func readScript(std *streams, file string, args []string) (string, error) {
	if len(args) > 0 && file != "" {
		return "", eris.Wrap(errUsage, "statements are given both as arguments and with -f")
	}
	if len(args) > 0 {
		return strings.Join(args, " "), nil
	}
	if file == "" || file == "-" {
		data, err := io.ReadAll(std.in)
		return string(data), eris.Wrap(err, "read standard input")
	}
	data, err := os.ReadFile(file)
	return string(data), eris.Wrap(err, "read script")
}

// runScript parses a script locally to find errors early, runs it on the host and
// prints the result.
func (c *connection) runScript(ctx context.Context, std *streams, source string) error {
	script, err := opslang.Parse(source)
	if err != nil {
		return err
	}
	client, err := c.client()
	if err != nil {
		return err
	}
	response, err := client.Run(ctx, source)
	if err != nil {
		return classifyRunError(err, len(script.Changes()) > 0)
	}
	return c.print(std, response)
}

// classifyRunError returns an unansweredError if the script has changes, may have
// reached the host and got no response. Other errors are returned unchanged.
func classifyRunError(err error, changes bool) error {
	var failure *operator.Error
	var network *net.OpError
	notSent := errors.As(err, &network) && network.Op == "dial"
	if errors.As(err, &failure) || notSent || !changes {
		return err
	}
	return &unansweredError{err}
}
