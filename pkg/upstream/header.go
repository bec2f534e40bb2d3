package upstream

import (
	"errors"
	"io"
	"net"
)

// ErrHeaderTooLong means that the header of a response, including the interim responses
// before it, exceeds Settings.MaxHeaderBytes.
var ErrHeaderTooLong = errors.New("the header of the response exceeds the size limit")

// headerReader bounds the bytes read from a connection while the header of a response is
// read, since http.ReadResponse reads a header of any length.
type headerReader struct {
	raw net.Conn
	// remaining is the number of bytes that may still be read while limited is set.
	remaining int
	limited   bool
}

// Read implements io.Reader.
func (r *headerReader) Read(p []byte) (int, error) {
	if !r.limited {
		return r.raw.Read(p)
	}
	if r.remaining <= 0 {
		return 0, ErrHeaderTooLong
	}
	n, err := r.raw.Read(p[:min(len(p), r.remaining)])
	r.remaining -= n
	return n, err
}

var _ io.Reader = (*headerReader)(nil)
