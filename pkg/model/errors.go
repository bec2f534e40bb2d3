package model

import (
	"fmt"
	"time"
)

// Ran states whether a backend server ran a rejected or failed request.
type Ran string

// Values of Ran.
const (
	// NotRun is only given when no backend server can have run the request.
	NotRun     Ran = "not_run"
	RanUnknown Ran = "unknown"
	WasRun     Ran = "run"
)

// ErrorCode is the reason for a rejection or failure.
type ErrorCode string

// Codes of rejections and failures, as they appear in responses, logs and metrics.
const (
	CodeBadRequest          ErrorCode = "bad_request"
	CodeTooLarge            ErrorCode = "too_large"
	CodeTimeout             ErrorCode = "timeout"
	CodeWrongContentType    ErrorCode = "wrong_content_type"
	CodeMissingKey          ErrorCode = "missing_key"
	CodeInvalidKey          ErrorCode = "invalid_key"
	CodeRevokedKey          ErrorCode = "revoked_key"
	CodeUnknownRoute        ErrorCode = "unknown_route"
	CodeUnknownModel        ErrorCode = "unknown_model"
	CodeNotOffered          ErrorCode = "not_offered"
	CodeUnknownShop         ErrorCode = "unknown_shop"
	CodeShopClosed          ErrorCode = "shop_closed"
	CodeRateExceeded        ErrorCode = "rate_exceeded"
	CodeTooManyStreams      ErrorCode = "too_many_streams"
	CodeOverloaded          ErrorCode = "overloaded"
	CodeNoBackend           ErrorCode = "no_backend"
	CodeStaleView           ErrorCode = "stale_view"
	CodeShuttingDown        ErrorCode = "shutting_down"
	CodeLogUnavailable      ErrorCode = "log_unavailable"
	CodeCrashSuspect        ErrorCode = "crash_suspect"
	CodeInProgress          ErrorCode = "in_progress"
	CodeOutcomeUnknown      ErrorCode = "outcome_unknown"
	CodeIdempotencyMismatch ErrorCode = "idempotency_mismatch"
	CodeBackendFailed       ErrorCode = "backend_failed"
	CodeInternal            ErrorCode = "internal"
)

// RequestError is a rejection or failure as it is returned to callers.
type RequestError struct {
	// Status is the HTTP status code.
	Status  int       `json:"-"`
	Code    ErrorCode `json:"code"`
	Message string    `json:"message"`
	Ran     Ran       `json:"ran"`
	// RetryAfter is the time to wait before a retry. 0 means that a retry is
	// useless or that the time is unknown. It is sent in milliseconds, and as a
	// Retry-After header in whole seconds, rounded up.
	RetryAfter time.Duration `json:"-"`
	RequestID  RequestID     `json:"request_id"`
}

// Error implements error.
func (e *RequestError) Error() string {
	return fmt.Sprintf("%s: %s (%s)", e.Code, e.Message, e.Ran)
}
