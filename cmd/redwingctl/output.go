package main

import (
	"encoding/json"
	"io"
)

// Output formats.
const (
	outputTable = "table"
	outputJSON  = "json"
)

// textWriter is a result that can be written as text for a terminal.
type textWriter interface {
	Write(w io.Writer) error
}

func (c *connection) print(std *streams, value textWriter) error {
	if c.output == outputJSON {
		return printJSON(std.out, value)
	}
	return value.Write(std.out)
}

func printJSON(w io.Writer, value any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}
