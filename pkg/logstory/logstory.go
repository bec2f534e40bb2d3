// Package logstory analyses the log files of hosts: what happened to a request, and
// which decisions hosts took and which dependencies they lost in a time span.
package logstory

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"io/fs"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// Line is one log line.
type Line struct {
	// Source is the file that the line comes from.
	Source string
	// Host is the host that wrote the line, empty if the file does not name it.
	Host    string
	Time    time.Time
	Level   string
	Message string
	// Fields are the line's other fields.
	Fields map[string]any
}

// maxLineBytes is the maximum length of a log line.
const maxLineBytes = 1 << 20

// Read reads the lines of one file. Lines that are not JSON objects are counted
// and skipped.
func Read(source string, r io.Reader) (lines []Line, skipped int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	host := ""
	for scanner.Scan() {
		line, ok := parseLine(scanner.Bytes())
		if !ok {
			skipped++
			continue
		}
		if h, ok := line.Fields["host"].(string); ok && line.Message == "host starts" {
			host = h
		}
		line.Source = source
		if line.Host == "" {
			line.Host = host
		}
		lines = append(lines, line)
	}
	return lines, skipped, eris.Wrapf(scanner.Err(), "read %s", source)
}

// parseLine parses one line. If a log collector has put a prefix before the JSON
// object, the last word of the prefix is taken as the host.
func parseLine(raw []byte) (Line, bool) {
	start := bytes.IndexByte(raw, '{')
	if start < 0 {
		return Line{}, false
	}
	var fields map[string]any
	if err := json.Unmarshal(raw[start:], &fields); err != nil {
		return Line{}, false
	}
	line := Line{Fields: fields}
	line.Message, _ = fields["msg"].(string)
	line.Level, _ = fields["level"].(string)
	if text, ok := fields["time"].(string); ok {
		at, err := time.Parse(time.RFC3339Nano, text)
		if err != nil {
			return Line{}, false
		}
		line.Time = at
	}
	if prefix := strings.Fields(string(raw[:start])); len(prefix) > 0 {
		line.Host = prefix[len(prefix)-1]
	}
	for _, known := range []string{"msg", "level", "time"} {
		delete(fields, known)
	}
	return line, line.Message != ""
}

// ReadAll reads all files of a directory tree and sorts their lines by time.
func ReadAll(dir fs.FS) (lines []Line, skipped int, err error) {
	err = fs.WalkDir(dir, ".", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return err
		}
		file, err := dir.Open(path)
		if err != nil {
			return eris.Wrapf(err, "open %s", path)
		}
		defer func() { _ = file.Close() }()
		more, n, err := Read(path, file)
		lines = append(lines, more...)
		skipped += n
		return err
	})
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return lines, skipped, err
}

// RequestLines returns the lines of a request, in their order.
func RequestLines(lines []Line, id string) []Line {
	var selected []Line
	for _, l := range lines {
		if l.Fields["request"] == id {
			selected = append(selected, l)
		}
	}
	return selected
}

// backendMessages are the messages about a change in the state of a backend server.
var backendMessages = map[string]bool{
	"backend server seen": true, "backend server leaving": true, "backend server gone": true,
	"backend server changed its stage": true, "stage ordered": true,
}

// LinesBetween returns the lines between two times, without those of single requests.
func LinesBetween(lines []Line, from, to time.Time) []Line {
	var selected []Line
	for _, l := range lines {
		if _, request := l.Fields["request"]; request || l.Time.Before(from) || l.Time.After(to) {
			continue
		}
		selected = append(selected, l)
	}
	return selected
}

// BackendLines returns the lines about changes of the backend servers that the lines of
// a request name. It takes only lines of the host that wrote the request's first line,
// up to the time of the request's last line.
func BackendLines(lines, request []Line) []Line {
	if len(request) == 0 {
		return nil
	}
	named := map[any]bool{}
	for _, l := range request {
		for _, field := range []string{"backend", "prefill", "fetched_from"} {
			if id, ok := l.Fields[field].(string); ok && id != "" {
				named[id] = true
			}
		}
	}
	host, end := request[0].Host, request[len(request)-1].Time
	var selected []Line
	for _, l := range lines {
		if backendMessages[l.Message] && named[l.Fields["backend"]] && l.Host == host && !l.Time.After(end) {
			selected = append(selected, l)
		}
	}
	return selected
}

// WriteLines prints each log line as one line of text: time, host, message, and the
// fields sorted by name.
func WriteLines(w io.Writer, lines []Line) error {
	for _, l := range lines {
		names := make([]string, 0, len(l.Fields))
		for name := range l.Fields {
			if name != "request" && name != "errorVerbose" {
				names = append(names, name)
			}
		}
		slices.Sort(names)
		var fields strings.Builder
		for _, name := range names {
			fmt.Fprintf(&fields, " %s=%v", name, l.Fields[name])
		}
		if _, err := fmt.Fprintf(w, "%s %-20s %s%s\n", l.Time.Format("15:04:05.000"), l.Host, l.Message, fields.String()); err != nil {
			return eris.Wrap(err, "write log lines")
		}
	}
	return nil
}
