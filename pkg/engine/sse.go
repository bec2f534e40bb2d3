package engine

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"sync"

	"github.com/rotisserie/eris"
)

// Errors of responses.
var (
	// ErrMalformed means that the backend server violated the protocol.
	ErrMalformed = errors.New("backend server sent a malformed response")
	// ErrTruncated means that a response ended before it was complete.
	ErrTruncated = errors.New("response of the backend server ended early")
	// ErrCancelled means that the engine ended the response because the request was
	// cancelled.
	ErrCancelled = errors.New("request was cancelled on the engine")
	// ErrForeign means that the response carries the ID of another request.
	ErrForeign = errors.New("response belongs to another request")
)

// MaxEventBytes is the size limit of one event from an engine. A token event
// with usage takes a few hundred bytes.
const MaxEventBytes = 64 * 1024

const readerBufferBytes = 4 * 1024

var readerPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readerBufferBytes) }}

// EventReader reads server-sent events line by line.
type EventReader struct {
	in *bufio.Reader
	// longLineBuffer holds a line that does not fit into the buffer of in.
	longLineBuffer []byte
	// eventBuffer holds the data of an event whose end is not buffered yet or
	// that has several data lines.
	eventBuffer []byte
}

// NewEventReader returns a reader of the events in r. Release returns its buffer
// to the pool.
func NewEventReader(r io.Reader) *EventReader {
	in := readerPool.Get().(*bufio.Reader)
	in.Reset(r)
	return &EventReader{in: in}
}

// Release returns the buffer to the pool. The reader must not be used afterwards.
func (r *EventReader) Release() {
	if r.in == nil {
		return
	}
	r.in.Reset(nil)
	readerPool.Put(r.in)
	r.in = nil
}

// Buffered reports whether a whole line can be read without waiting for the network.
func (r *EventReader) Buffered() bool {
	n := r.in.Buffered()
	if n == 0 {
		return false
	}
	waiting, _ := r.in.Peek(n)
	waiting = bytes.TrimLeft(waiting, "\r\n")
	return bytes.IndexByte(waiting, '\n') >= 0
}

// Next returns the data of the next event, valid until the next call. At the end
// of the input it returns io.EOF between events and ErrTruncated within one.
func (r *EventReader) Next() ([]byte, error) {
	var data []byte
	lines := 0
	for {
		line, err := r.line()
		if err == io.EOF && (lines > 0 || len(line) > 0) {
			return nil, ErrTruncated
		}
		if err != nil {
			return nil, err
		}
		if len(line) == 0 {
			if lines > 0 {
				return data, nil
			}
			continue
		}
		value, ok := dataField(line)
		if !ok {
			continue
		}
		lines++
		if lines == 1 && r.blankLineFollows() {
			return value, nil
		}
		if lines == 1 {
			// Reading further overwrites the buffer that value points into.
			r.eventBuffer = append(r.eventBuffer[:0], value...)
		} else {
			r.eventBuffer = append(append(r.eventBuffer, '\n'), value...)
		}
		if len(r.eventBuffer) > MaxEventBytes {
			return nil, eris.Wrap(ErrMalformed, "event is too long")
		}
		data = r.eventBuffer
	}
}

// blankLineFollows reports whether the end of the event is already buffered, so
// that the data of its only line need not be copied. The next call of Next skips
// the blank line.
func (r *EventReader) blankLineFollows() bool {
	if r.in.Buffered() == 0 {
		return false
	}
	next, err := r.in.Peek(1)
	return err == nil && next[0] == '\n'
}

// line returns the next line without its line ending.
func (r *EventReader) line() ([]byte, error) {
	line, err := r.in.ReadSlice('\n')
	if err == bufio.ErrBufferFull {
		return r.readLongLine(line)
	}
	if err != nil {
		return line, err
	}
	return trimLineEnd(line), nil
}

// readLongLine reads the rest of a line that begins with start.
func (r *EventReader) readLongLine(start []byte) ([]byte, error) {
	r.longLineBuffer = append(r.longLineBuffer[:0], start...)
	for {
		part, err := r.in.ReadSlice('\n')
		r.longLineBuffer = append(r.longLineBuffer, part...)
		if len(r.longLineBuffer) > MaxEventBytes {
			return nil, eris.Wrap(ErrMalformed, "line is too long")
		}
		if err == bufio.ErrBufferFull {
			continue
		}
		if err != nil {
			return r.longLineBuffer, err
		}
		return trimLineEnd(r.longLineBuffer), nil
	}
}

func trimLineEnd(line []byte) []byte {
	line = bytes.TrimSuffix(line, []byte{'\n'})
	return bytes.TrimSuffix(line, []byte{'\r'})
}

var dataPrefix = []byte("data:")

// dataField returns the value of a data line. Comments and other fields are
// ignored, since engines send nothing of use in them.
func dataField(line []byte) ([]byte, bool) {
	if !bytes.HasPrefix(line, dataPrefix) {
		return nil, false
	}
	value := line[len(dataPrefix):]
	return bytes.TrimPrefix(value, []byte{' '}), true
}
