package settings

import (
	"fmt"
	"sort"
	"strings"
)

// Finding is one error in a settings file.
type Finding struct {
	File   string `json:"file"`
	Line   int    `json:"line"`
	Column int    `json:"column"`
	// Field is the path of the field, such as "limits.body_bytes". It is empty
	// if the finding is about the file as a whole or its syntax.
	Field   string `json:"field,omitempty"`
	Message string `json:"message"`
}

// String formats the finding as file:line:column: field: message.
func (f Finding) String() string {
	position := fmt.Sprintf("%s:%d:%d", f.File, f.Line, f.Column)
	if f.Field == "" {
		return position + ": " + f.Message
	}
	return position + ": " + f.Field + ": " + f.Message
}

// Findings are the errors in a settings file, ordered by line and column.
type Findings []Finding

// Error returns one line for each finding.
func (f Findings) Error() string {
	lines := make([]string, len(f))
	for i, finding := range f {
		lines[i] = finding.String()
	}
	return strings.Join(lines, "\n")
}

func (f Findings) sort() {
	sort.SliceStable(f, func(i, j int) bool {
		if f[i].Line != f[j].Line {
			return f[i].Line < f[j].Line
		}
		return f[i].Column < f[j].Column
	})
}
