// Package logstory answers questions from the log files of hosts: what happened to
// a request, and what hosts decided and lost in a span of time.
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
	// Host is the host that wrote it, empty if the file does not say.
	Host    string
	Time    time.Time
	Level   string
	Message string
	// Fields are the other fields.
	Fields map[string]any
}

// lineBytes bounds a log line.
const lineBytes = 1 << 20

// Read reads the lines of one file. Lines that are not JSON objects are counted
// and skipped.
func Read(source string, r io.Reader) (lines []Line, skipped int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, lineBytes)
	host := ""
	for scanner.Scan() {
		line, ok := parse(scanner.Bytes())
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

// parse reads one line. What a collector writes before the object is taken as the
// host's name.
func parse(raw []byte) (Line, bool) {
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

// ReadAll reads all files of a directory.
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

// Request selects the lines of a request, in order.
func Request(lines []Line, id string) []Line {
	var story []Line
	for _, l := range lines {
		if l.Fields["request"] == id {
			story = append(story, l)
		}
	}
	return story
}

// context are the messages that tell what a host believed, by the backend server
// that they name.
var aboutBackends = map[string]bool{
	"backend server seen": true, "backend server leaving": true, "backend server gone": true,
	"backend server changed its stage": true, "stage ordered": true,
}

// Span selects the lines of decisions and dependencies in a span of time; lines of
// single requests are left out.
func Span(lines []Line, from, to time.Time) []Line {
	var span []Line
	for _, l := range lines {
		if _, request := l.Fields["request"]; request || l.Time.Before(from) || l.Time.After(to) {
			continue
		}
		span = append(span, l)
	}
	return span
}

// Around selects what hosts learned about the backend servers of a request's story
// up to its end.
func Around(lines, story []Line) []Line {
	if len(story) == 0 {
		return nil
	}
	named := map[any]bool{}
	for _, l := range story {
		for _, field := range []string{"backend", "prefill", "fetched_from"} {
			if id, ok := l.Fields[field].(string); ok && id != "" {
				named[id] = true
			}
		}
	}
	host, end := story[0].Host, story[len(story)-1].Time
	var around []Line
	for _, l := range lines {
		if aboutBackends[l.Message] && named[l.Fields["backend"]] && l.Host == host && !l.Time.After(end) {
			around = append(around, l)
		}
	}
	return around
}

// Write prints lines, one each: time, host, message, and the fields in order.
func Write(w io.Writer, lines []Line) error {
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
			return eris.Wrap(err, "write")
		}
	}
	return nil
}
