package entry

import (
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/redwingpath/redwingpath/pkg/model"
)

// newRejection returns the error for a request that was not sent to a backend
// server.
func newRejection(status int, code model.ErrorCode, message string) *model.RequestError {
	return &model.RequestError{Status: status, Code: code, Message: message, Ran: model.NotRun}
}

// newRejectionWithRetry is newRejection with the delay after which a retry may
// succeed.
func newRejectionWithRetry(status int, code model.ErrorCode, message string, retryAfter time.Duration) *model.RequestError {
	e := newRejection(status, code, message)
	e.RetryAfter = retryAfter
	return e
}

// errorBody is the JSON form of an error.
type errorBody struct {
	Error errorFields `json:"error"`
}

type errorFields struct {
	Code         model.ErrorCode `json:"code"`
	Message      string          `json:"message"`
	Ran          model.Ran       `json:"ran"`
	RetryAfterMS int64           `json:"retry_after_ms"`
	RequestID    model.RequestID `json:"request_id"`
}

func encodeError(e *model.RequestError) []byte {
	data, err := json.Marshal(errorBody{Error: errorFields{
		Code:         e.Code,
		Message:      e.Message,
		Ran:          e.Ran,
		RetryAfterMS: int64(math.Ceil(float64(e.RetryAfter) / float64(time.Millisecond))),
		RequestID:    e.RequestID,
	}})
	if err != nil {
		// Unreachable: strings and numbers always encode.
		return []byte(`{"error":{"code":"internal","message":"","ran":"unknown","retry_after_ms":0,"request_id":""}}`)
	}
	return data
}

// writeError sends an error as the whole response.
func writeError(w http.ResponseWriter, e *model.RequestError) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Cache-Control", "no-store")
	if e.RetryAfter > 0 {
		seconds := int64(math.Ceil(e.RetryAfter.Seconds()))
		header.Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	w.WriteHeader(e.Status)
	_, _ = w.Write(encodeError(e))
}

// asRequestError returns err in the form that callers receive. Errors of other
// types become an internal error without details.
func asRequestError(err error) *model.RequestError {
	var e *model.RequestError
	if errors.As(err, &e) {
		return e
	}
	return &model.RequestError{
		Status:  http.StatusInternalServerError,
		Code:    model.CodeInternal,
		Message: "internal error",
		Ran:     model.RanUnknown,
	}
}
