package gateway

import (
	"bytes"
	"io"
	"strconv"
)

// event is one whole event of a stream, with the blank line that ends it.
type event struct {
	raw []byte
	id  string
}

// eventReader splits a stream into whole events. Events that are ready together
// are returned together.
type eventReader struct {
	body io.Reader
	buf  []byte
	err  error
}

// eventBuffer is the initial room for the events that arrive together.
const eventBuffer = 4 << 10

func newEventReader(body io.Reader) *eventReader {
	return &eventReader{body: body, buf: make([]byte, 0, eventBuffer)}
}

// next returns the events that the next read completes. The slices are valid
// until the following call.
func (r *eventReader) next() ([]event, error) {
	if r.err != nil {
		return nil, r.err
	}
	if len(r.buf) == cap(r.buf) {
		grown := make([]byte, len(r.buf), 2*cap(r.buf))
		copy(grown, r.buf)
		r.buf = grown
	}
	n, err := r.body.Read(r.buf[len(r.buf):cap(r.buf)])
	r.buf = r.buf[:len(r.buf)+n]
	r.err = err
	var events []event
	used := 0
	for {
		end := eventEnd(r.buf[used:])
		if end < 0 {
			break
		}
		raw := r.buf[used : used+end]
		events = append(events, event{raw: bytes.Clone(raw), id: eventID(raw)})
		used += end
	}
	if used > 0 {
		r.buf = r.buf[:copy(r.buf, r.buf[used:])]
	}
	return events, err
}

// rest is what came after the last whole event.
func (r *eventReader) rest() []byte { return r.buf }

// eventEnd is the length of the first whole event, -1 if there is none.
func eventEnd(b []byte) int {
	best := -1
	for _, mark := range []string{"\n\n", "\r\n\r\n"} {
		if i := bytes.Index(b, []byte(mark)); i >= 0 && (best < 0 || i+len(mark) < best) {
			best = i + len(mark)
		}
	}
	return best
}

// eventID is the value of the event's id line.
func eventID(raw []byte) string {
	for line := range bytes.Lines(raw) {
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}

// newer tells whether an event comes after the last one passed on.
func newer(id, after string) bool {
	if after == "" {
		return true
	}
	a, errA := strconv.ParseInt(id, 10, 64)
	b, errB := strconv.ParseInt(after, 10, 64)
	if errA != nil || errB != nil {
		return id != after
	}
	return a > b
}
