package main

import (
	"context"
	"errors"
	"net/http"
	"net/url"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"github.com/redwingpath/redwingpath/pkg/placequery"
)

// metricsAddress is the default base URL of a host's metrics port.
const metricsAddress = "http://127.0.0.1:7601"

const placeHelp = `Asks a host of the gateway where a request would go now, and why, without sending it:
the plans that the host compares with their cost and predicted time, and for each
server of the service its work, memory, limits and what excludes it; for a refusal the
reason and the time to come back. Times are in milliseconds, sizes in tokens.

The address is that of the host's metrics port. Keys, quotas and earlier crashes of the
same request are not considered.

  redwingctl place -metrics-address http://10.0.0.1:7601 -host api -path /say/ \
    -prompt-tokens 17000 -parts 1f:13300,9c41:3700`

// placeFields are the flags that are fields of the query.
var placeFields = []struct{ flag, field, usage string }{
	{"host", placequery.FieldHost, "host name of the request"},
	{"path", placequery.FieldPath, "path of the request"},
	{"service", placequery.FieldService, "service, if the route has several"},
	{"prompt-tokens", placequery.FieldPromptTokens, "tokens of the prompt"},
	{"output-tokens", placequery.FieldOutputTokens, "largest number of output tokens"},
	{"parts", placequery.FieldParts, "parts of the prompt in order, as hexadecimal ID:TOKENS,..."},
	{"deadline-ms", placequery.FieldDeadline, "how long the caller waits, in milliseconds (default: the limit of the route)"},
	{"exclude", placequery.FieldExclude, "IDs of servers that have failed the request, separated by commas"},
}

func placeCommand(std *streams) *ffcli.Command {
	c := connection{output: outputTable}
	flags := newFlagSet("redwingctl place", std)
	flags.StringVar(&c.address, "metrics-address", metricsAddress, "base URL of the host's metrics port")
	flags.DurationVar(&c.timeout, "timeout", defaultTimeout, "timeout of the call")
	flags.StringVar(&c.output, "o", outputTable, "output format: table or json")
	given := make([]*string, len(placeFields))
	for i, f := range placeFields {
		given[i] = flags.String(f.flag, "", f.usage)
	}
	return &ffcli.Command{
		Name:       "place",
		ShortUsage: "redwingctl place -host NAME -path PATH [flags]",
		ShortHelp:  "Show where a request would go now, and why",
		LongHelp:   placeHelp,
		FlagSet:    flags,
		Options:    environmentOptions(),
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 0 {
				return eris.Wrap(errUsage, "place takes no arguments, only flags")
			}
			values := url.Values{}
			for i, f := range placeFields {
				if *given[i] != "" {
					values.Set(f.field, *given[i])
				}
			}
			return c.place(ctx, std, values)
		},
	}
}

// place asks the host and prints the answer.
func (c *connection) place(ctx context.Context, std *streams, values url.Values) error {
	if err := c.checkOutput(); err != nil {
		return err
	}
	if _, err := placequery.Parse(values); err != nil {
		return eris.Wrap(errUsage, err.Error())
	}
	answer, err := placequery.Ask(ctx, &http.Client{Timeout: c.timeout}, c.address, values)
	var field *placequery.FieldError
	switch {
	case errors.As(err, &field) && field.Field != "":
		return eris.Wrap(errUsage, field.Error())
	case err != nil:
		return err
	}
	return c.print(std, answer)
}
