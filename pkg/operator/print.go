package operator

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// columnPadding is the number of spaces between the columns of a table.
const columnPadding = 2

// Write writes the table as text with aligned columns.
func (t *Table) Write(w io.Writer) error {
	aligned := tabwriter.NewWriter(w, 0, 0, columnPadding, ' ', 0)
	writeRow(aligned, t.Columns)
	for _, row := range t.Rows {
		writeRow(aligned, row)
	}
	return aligned.Flush()
}

// cellReplacer keeps a cell on one line and in its column.
var cellReplacer = strings.NewReplacer("\t", " ", "\n", " ", "\r", " ")

func writeRow(w io.Writer, cells []string) {
	shown := make([]string, len(cells))
	for i, cell := range cells {
		shown[i] = cellReplacer.Replace(cell)
		if cell == "" {
			shown[i] = "-"
		}
	}
	_, _ = fmt.Fprintln(w, strings.Join(shown, "\t"))
}

// Write writes the response as text for a terminal.
func (r *RunResponse) Write(w io.Writer) error {
	if r.Change != nil {
		_, _ = fmt.Fprintf(w, "changed %d entities, version %d\n", r.Change.Entities, r.Change.Offset)
		for _, key := range r.Change.Granted {
			_, _ = fmt.Fprintf(w, "key %s of %s, shown only now: %s\n", key.ID, key.Organisation, key.Secret)
		}
	}
	for i := range r.Tables {
		if i > 0 || r.Change != nil {
			_, _ = fmt.Fprintln(w)
		}
		if err := r.Tables[i].Write(w); err != nil {
			return err
		}
	}
	return nil
}
