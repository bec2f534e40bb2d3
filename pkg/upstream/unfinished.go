package upstream

import (
	"errors"
	"fmt"
	"io"
)

// ErrRequestNotWritten means that the end of a connection does not mark the end of a body,
// since the request could not be written completely.
var ErrRequestNotWritten = errors.New("the connection ended before the request was written")

// unfinished returns an ErrRequestNotWritten with the error of a failed write.
func unfinished(writeErr error) error { return fmt.Errorf("%w: %w", ErrRequestNotWritten, writeErr) }

// unfinishedBody is a body without a framing of a response whose request could not be
// written completely. A failed write takes the pending error of the socket, so that a reset
// is then read as the end of the stream.
type unfinishedBody struct {
	io.ReadCloser
	cause error
}

// Read implements io.Reader.
func (b *unfinishedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		err = unfinished(b.cause)
	}
	return n, err
}
