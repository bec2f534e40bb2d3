package gateway

import (
	"maps"
	"net/http"
	"strconv"

	"github.com/rotisserie/eris"

	"github.com/redwingpath/redwingpath/pkg/membudget"
)

// heldResponse collects a stream for a caller that speaks HTTP/1.0. Such a caller knows no
// chunks, so that the body needs a length: without one, the end of this host would look like
// the end of the stream.
type heldResponse struct {
	w http.ResponseWriter
	// before is the header as it was before the response.
	before http.Header
	status int
	body   []byte
	// maxBytes bounds the body, and memory pays for it.
	maxBytes int64
	memory   *membudget.Lease
}

func newHeldResponse(w http.ResponseWriter, maxBytes int64, memory *membudget.Lease) *heldResponse {
	return &heldResponse{w: w, before: w.Header().Clone(), maxBytes: maxBytes, memory: memory}
}

var errHeldTooLong = eris.New("the stream is too long to be collected for a caller without chunks")

// Header implements http.ResponseWriter.
func (h *heldResponse) Header() http.Header { return h.w.Header() }

// WriteHeader implements http.ResponseWriter.
func (h *heldResponse) WriteHeader(status int) { h.status = status }

// Write implements http.ResponseWriter.
func (h *heldResponse) Write(p []byte) (int, error) {
	if int64(len(h.body)+len(p)) > h.maxBytes {
		return 0, errHeldTooLong
	}
	if err := h.memory.Grow(int64(len(p))); err != nil {
		return 0, err
	}
	h.body = append(h.body, p...)
	return len(p), nil
}

// FlushError keeps http.ResponseController from sending the header.
func (h *heldResponse) FlushError() error { return nil }

// Unwrap gives http.ResponseController the connection.
func (h *heldResponse) Unwrap() http.ResponseWriter { return h.w }

// discard drops the response, so that another one can be written.
func (h *heldResponse) discard() {
	clear(h.w.Header())
	maps.Copy(h.w.Header(), h.before)
	h.body = nil
}

// finish sends the response.
func (h *heldResponse) finish() error {
	h.w.Header().Set("Content-Length", strconv.Itoa(len(h.body)))
	h.w.WriteHeader(h.status)
	if _, err := h.w.Write(h.body); err != nil {
		return eris.Wrap(errCallerGone, err.Error())
	}
	return nil
}
