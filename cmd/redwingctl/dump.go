package main

import (
	"context"
	"encoding/json"

	"github.com/peterbourgon/ff/v3/ffcli"
)

const dumpHelp = `Writes the state of the host's process as JSON: log position, freshness, hosts,
shards, open orders, requests in progress and backend servers; with -metrics, its
metrics instead. It contains the IDs of keys, never keys.

  redwingctl dump > state.json
  redwingctl dump -metrics`

func dumpCommand(std *streams) *ffcli.Command {
	var c connection
	flags := newFlagSet("redwingctl dump", std)
	c.registerFlags(flags)
	metrics := flags.Bool("metrics", false, "write the metrics instead of the state")
	return &ffcli.Command{
		Name:       "dump",
		ShortUsage: "redwingctl dump [flags]",
		ShortHelp:  "Write the state of a host as JSON",
		LongHelp:   dumpHelp,
		FlagSet:    flags,
		Options:    environmentOptions(),
		Exec: func(ctx context.Context, _ []string) error {
			client, err := c.client()
			if err != nil {
				return err
			}
			fetch := client.Dump
			if *metrics {
				fetch = client.Metrics
			}
			var data json.RawMessage
			if data, err = fetch(ctx); err != nil {
				return err
			}
			return printJSON(std.out, data)
		},
	}
}
