package opslang

import (
	"fmt"
	"sort"
	"strings"
)

// Position is a position in a script. Lines and columns count from 1; columns
// count characters.
type Position struct {
	Line   int `json:"line"`
	Column int `json:"column"`
}

// Finding is one error in a script.
type Finding struct {
	Position
	Message string `json:"message"`
	// Expected describes what is allowed at this position.
	Expected string `json:"expected,omitempty"`
}

// String formats the finding as line:column: message, expected ...
func (f Finding) String() string {
	text := fmt.Sprintf("%d:%d: %s", f.Line, f.Column, f.Message)
	if f.Expected != "" {
		text += ", expected " + f.Expected
	}
	return text
}

// Findings are the errors in a script, sorted by position.
type Findings []Finding

// Error returns one line for each finding.
func (f Findings) Error() string {
	lines := make([]string, len(f))
	for i, finding := range f {
		lines[i] = finding.String()
	}
	return strings.Join(lines, "\n")
}

// err returns the sorted findings as an error, or nil if there are none.
func (f Findings) err() error {
	if len(f) == 0 {
		return nil
	}
	sort.SliceStable(f, func(i, j int) bool {
		if f[i].Line != f[j].Line {
			return f[i].Line < f[j].Line
		}
		return f[i].Column < f[j].Column
	})
	return f
}

func (f *Findings) add(at Position, expected, format string, args ...any) {
	*f = append(*f, Finding{Position: at, Message: fmt.Sprintf(format, args...), Expected: expected})
}
