package upstream

import (
	"errors"
	"io"
	"net"

	"github.com/redwingpath/redwingpath/pkg/membudget"
)

// ErrHeaderTooLong means that the header of a response, including the interim responses
// before it, exceeds Settings.MaxHeaderBytes.
var ErrHeaderTooLong = errors.New("the header of the response exceeds the size limit")

// headerReader bounds the bytes read from a connection while the header of a response is
// read, since http.ReadResponse reads a header of any length.
type headerReader struct {
	raw net.Conn
	// limited is set while a header is read, of which remaining bytes may still come.
	limited   bool
	remaining int
	// free is the part of the header that the lease does not pay for.
	free   int
	memory *membudget.Lease
	// err is the error of a read of the header, nil if all reads succeeded.
	err error
}

const (
	// freeHeaderBytes is the part of a header that fits the buffer of its connection.
	freeHeaderBytes = readBufferBytes
	// headerCopies is the memory that http.ReadResponse uses for a byte of a header.
	headerCopies = 3
)

// begin starts a header.
func (r *headerReader) begin(s Settings) {
	r.limited, r.remaining, r.free, r.err = true, s.MaxHeaderBytes, freeHeaderBytes, nil
	r.memory = s.Memory.NewLease()
}

// end ends the header.
func (r *headerReader) end() {
	r.limited = false
	r.memory.Free()
}

// Read implements io.Reader.
func (r *headerReader) Read(p []byte) (int, error) {
	if !r.limited {
		return r.raw.Read(p)
	}
	n, err := r.readLimited(p)
	if err != nil {
		r.err = err
	}
	return n, err
}

func (r *headerReader) readLimited(p []byte) (int, error) {
	if r.remaining <= 0 {
		return 0, ErrHeaderTooLong
	}
	n, err := r.raw.Read(p[:min(len(p), r.remaining)])
	r.remaining -= n
	paid := max(0, n-r.free)
	r.free -= n - paid
	if growErr := r.memory.Grow(int64(headerCopies * paid)); growErr != nil {
		return 0, growErr
	}
	return n, err
}

var _ io.Reader = (*headerReader)(nil)
