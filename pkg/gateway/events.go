package gateway

import (
	"bytes"
	"errors"
	"io"
	"strconv"
	"unicode"

	"github.com/redwingpath/redwingpath/pkg/membudget"
)

// event is one complete event of a stream, including the blank line that ends it.
type event struct {
	raw []byte
	id  string
}

// errEventTooLong means that a backend server sent more bytes without ending an event
// than the size limit of an event.
var errEventTooLong = errors.New("an event exceeds the size limit")

// errMalformedEvent means that a stream contains text that is not an event, such as the
// header of another response.
var errMalformedEvent = errors.New("the stream contains text that is not an event")

// malformed reports whether a line of the event is neither a comment nor a field.
func (e event) malformed() bool {
	for line := range bytes.Lines(e.raw) {
		name, _, isField := bytes.Cut(bytes.TrimRight(line, "\r\n"), []byte(":"))
		if !isField && len(name) > 0 || bytes.ContainsFunc(name, notInFieldName) {
			return true
		}
	}
	return false
}

// notInFieldName reports whether a character is not part of the names of fields.
func notInFieldName(r rune) bool {
	return r != '-' && r != '_' && !unicode.IsLetter(r) && !unicode.IsDigit(r)
}

// eventReader splits a stream into complete events. Events that one read completes are
// returned together.
type eventReader struct {
	body io.Reader
	buf  []byte
	err  error
	// searched is the length of the prefix of buf that was searched for the end of an
	// event.
	searched int
	// maxBytes bounds the size of an event, and memory pays for the buffer beyond its
	// initial size and for the copies of events.
	maxBytes int
	memory   *membudget.Lease
}

// eventBufferBytes is the initial size of the read buffer.
const eventBufferBytes = 4 << 10

func newEventReader(body io.Reader, maxBytes int, memory *membudget.Lease) *eventReader {
	return &eventReader{body: body, buf: make([]byte, 0, eventBufferBytes), maxBytes: max(maxBytes, eventBufferBytes), memory: memory}
}

// bufferCopies is the memory for each byte of the buffer: the buffer and an event in it.
const bufferCopies = 2

// free returns the memory of the buffer.
func (r *eventReader) free() { r.memory.Shrink(bufferCopies * int64(cap(r.buf)-eventBufferBytes)) }

// next reads once and returns the events that this completes.
func (r *eventReader) next() ([]event, error) {
	if r.err != nil {
		return nil, r.err
	}
	if len(r.buf) >= r.maxBytes {
		r.err = errEventTooLong
		return nil, r.err
	}
	if len(r.buf) == cap(r.buf) {
		size := min(2*cap(r.buf), r.maxBytes)
		if r.err = r.memory.Grow(bufferCopies * int64(size-cap(r.buf))); r.err != nil {
			return nil, r.err
		}
		grown := make([]byte, len(r.buf), size)
		copy(grown, r.buf)
		r.buf = grown
	}
	n, err := r.body.Read(r.buf[len(r.buf):cap(r.buf)])
	r.buf = r.buf[:len(r.buf)+n]
	r.err = err
	var events []event
	used := 0
	for {
		end := firstEventLength(r.buf[used:], r.searched-used)
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
	r.searched = len(r.buf)
	return events, err
}

// incomplete returns the bytes received after the last complete event.
func (r *eventReader) incomplete() []byte { return r.buf }

// eventTerminators are the byte sequences that end an event.
var eventTerminators = [][]byte{[]byte("\n\n"), []byte("\r\n\r\n")}

// firstEventLength returns the length of the first complete event in b, -1 if there is
// none. The first searched bytes are known to contain no complete terminator.
func firstEventLength(b []byte, searched int) int {
	length := -1
	for _, terminator := range eventTerminators {
		from := max(0, searched-len(terminator)+1)
		if i := bytes.Index(b[from:], terminator); i >= 0 && (length < 0 || from+i+len(terminator) < length) {
			length = from + i + len(terminator)
		}
	}
	return length
}

// eventID returns the value of the event's id line, empty if it has none.
func eventID(raw []byte) string {
	for line := range bytes.Lines(raw) {
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}

// newer reports whether the event with an id comes after the one with the id after.
// Ids that are not numbers count as newer if they differ.
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
