package operator

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"

	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/opslang"
	"github.com/redwingpath/redwingpath/pkg/platform"
)

// Code identifies the reason for a failure.
type Code string

// Failure codes of the API.
const (
	CodeUnauthorized   Code = "unauthorized"
	CodeMalformed      Code = "malformed"
	CodeConflict       Code = "conflict"
	CodeNotAccepted    Code = "not_accepted"
	CodeRateLimited    Code = "rate_limited"
	CodeOutcomeUnknown Code = "outcome_unknown"
	CodeInternal       Code = "internal"
)

// Error is a failure in the form in which the API returns it.
type Error struct {
	Status  int    `json:"-"`
	Code    Code   `json:"code"`
	Message string `json:"message"`
	// Ran is NotRun if the script's change was not applied and never will be, and
	// RanUnknown if it may have been or may still be applied.
	Ran      model.Ran        `json:"ran"`
	Findings opslang.Findings `json:"findings,omitempty"`
	Conflict *ConflictError   `json:"conflict,omitempty"`
}

// Error implements error.
func (e *Error) Error() string {
	return e.Message
}

var errUnauthorized = &Error{
	Status:  http.StatusUnauthorized,
	Code:    CodeUnauthorized,
	Message: "the bearer token is missing or belongs to no operator",
	Ran:     model.NotRun,
}

// errorBody is the response body of a failed call.
type errorBody struct {
	Error *Error `json:"error"`
}

// toError converts any error to an API error.
func toError(err error) *Error {
	var apiError *Error
	var findings opslang.Findings
	var conflict *ConflictError
	var tooLarge *http.MaxBytesError
	failure := &Error{Message: err.Error(), Ran: model.NotRun}
	switch {
	case errors.As(err, &apiError):
		return apiError
	case errors.As(err, &findings):
		failure.Status, failure.Code, failure.Findings = http.StatusBadRequest, CodeMalformed, findings
	case errors.As(err, &tooLarge):
		failure.Status, failure.Code = http.StatusRequestEntityTooLarge, CodeMalformed
	case errors.As(err, &conflict):
		failure.Status, failure.Code, failure.Conflict = http.StatusConflict, CodeConflict, conflict
	case errors.Is(err, ErrNotAccepted):
		failure.Status, failure.Code = http.StatusServiceUnavailable, CodeNotAccepted
	case errors.Is(err, platform.ErrRateLimited):
		failure.Status, failure.Code = http.StatusTooManyRequests, CodeRateLimited
	case errors.Is(err, platform.ErrUnavailable), errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		failure.Status, failure.Code, failure.Ran = http.StatusGatewayTimeout, CodeOutcomeUnknown, model.RanUnknown
		failure.Message += "; the change may still come into force, query history before repeating it"
	default:
		failure.Status, failure.Code, failure.Ran = http.StatusInternalServerError, CodeInternal, model.RanUnknown
	}
	return failure
}

func encodeError(_ context.Context, err error, w http.ResponseWriter) {
	failure := toError(err)
	w.Header().Set("Content-Type", contentJSON)
	if failure.Status == http.StatusUnauthorized {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	w.WriteHeader(failure.Status)
	_ = json.NewEncoder(w).Encode(errorBody{failure})
}
