package upstream

import (
	"errors"
	"fmt"
	"net/http"
)

// Responses with these statuses are valid final responses. net/http panics when a handler
// writes a status below 100.
const (
	minFinalStatus = 200
	maxFinalStatus = 599
)

// ValidStatus reports whether a final response may have a status.
func ValidStatus(status int) bool { return status >= minFinalStatus && status <= maxFinalStatus }

// ErrInvalid means that a response is not valid. The request may have run.
var ErrInvalid = errors.New("the answer is not valid")

// StatusError is an ErrInvalid. It means that a response has a status that is not valid.
type StatusError struct {
	StatusCode int
	Header     http.Header
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("the status %d is not valid", e.StatusCode)
}

// Unwrap returns ErrInvalid.
func (e *StatusError) Unwrap() error { return ErrInvalid }

// interim reports whether a response precedes the final one. A response of that class with
// a body is not an interim response, which has none.
func interim(r *http.Response) bool {
	if r.StatusCode < 100 || r.StatusCode >= minFinalStatus || len(r.TransferEncoding) > 0 {
		return false
	}
	length := r.Header.Get("Content-Length")
	return length == "" || length == "0"
}
