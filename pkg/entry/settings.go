// Package entry serves callers: it checks keys, limits and offers, selects a
// backend server and relays its response. When a backend server fails or leaves,
// its streams are resumed on another one.
package entry

import (
	"time"

	"github.com/rotisserie/eris"
)

// Settings are the limits of the caller-facing side.
type Settings struct {
	// MaxHeaderBytes bounds the request line and header. Unit: bytes. Default: 32768.
	MaxHeaderBytes int
	// HeaderTimeout bounds the reading of the header. Unit: duration. Default: 5s.
	HeaderTimeout time.Duration
	// MaxBodyBytes bounds a request body. Unit: bytes. Default: 8 MiB.
	MaxBodyBytes int64
	// BodyTimeout bounds the reading of the body. Unit: duration. Default: 20s.
	BodyTimeout time.Duration
	// IdleTimeout closes caller connections without requests. Unit: duration.
	// Default: 90s.
	IdleTimeout time.Duration
	// WriteTimeout bounds each write to a caller; a caller that reads more
	// slowly is disconnected. Unit: duration. Default: 5s.
	WriteTimeout time.Duration
	// ModelTimeout bounds a model request from arrival to the last byte.
	// Unit: duration. Default: 5m.
	ModelTimeout time.Duration
	// ServiceTimeout bounds a plain service call from arrival to the last byte.
	// Unit: duration. Default: 30s.
	ServiceTimeout time.Duration

	// MinTokenGapLimit is the lower bound of the limit on the time between two
	// tokens. Unit: duration. Default: 2s.
	MinTokenGapLimit time.Duration
	// TokenGapLimitFactor times the expected time between tokens is the limit on it,
	// if that is above the lower bound. Unit: factor. Default: 20.
	TokenGapLimitFactor float64
	// ExpectedTokenGap is the expected time between tokens until the stream's own rate
	// is known, and its lower bound afterwards. Unit: duration. Default: 28ms.
	ExpectedTokenGap time.Duration
	// MinFirstTokenLimit is the lower bound of the limit on the time to the
	// first token of an attempt. It leaves room for prompts whose prefill time
	// was underestimated. Unit: duration. Default: 5s.
	MinFirstTokenLimit time.Duration
	// FirstTokenLimitFactor times the predicted time to first token is the
	// limit on it, if that is above the lower bound. Unit: factor. Default: 4.
	FirstTokenLimitFactor float64

	// MaxAttempts bounds the attempts of one request that deliver no token.
	// Unit: attempts. Default: 4.
	MaxAttempts int
	// MaxResumes bounds the failed attempts of one stream, with or without
	// tokens. Moves from leaving backend servers do not count. Unit: attempts.
	// Default: 16.
	MaxResumes int
	// RetryRatio is the share of the host's requests that may be retried. It
	// keeps retries from multiplying the load. Unit: retries per request.
	// Default: 0.2.
	RetryRatio float64
	// RetryBurst bounds the unused retries that accumulate. Unit: retries.
	// Default: 100.
	RetryBurst float64
	// RetryAfter is the Retry-After delay of errors for which no delay can be
	// predicted. Unit: duration. Default: 1s.
	RetryAfter time.Duration

	// MaxStreams bounds the open streams of this host, MaxRequests its requests
	// in progress. 0 means no limit. Unit: streams, requests. Default: 0.
	MaxStreams  int
	MaxRequests int

	// DefaultMaxTokens applies to chat requests without max_tokens. Unit: tokens.
	// Default: 512.
	DefaultMaxTokens int
	// MaxTokensLimit is the largest max_tokens. Unit: tokens. Default: 32768.
	MaxTokensLimit int
	// UnitsPerPromptToken and UnitsPerOutputToken are the cost of a token
	// against the organisation's rate limit; a request costs at least 1. Unit:
	// work units per token. Default: 0, each request costs 1.
	UnitsPerPromptToken float64
	UnitsPerOutputToken float64

	// BufferedResponseBytes is the size up to which a response of a plain
	// service is read in full before it is relayed, so that a failed read can
	// be retried. Unit: bytes. Default: 64 KiB.
	BufferedResponseBytes int64
	// MaxResponseBytes bounds a response of a plain service. Unit: bytes.
	// Default: 64 MiB.
	MaxResponseBytes int64

	// IdempotencyRetention is how long idempotency keys are kept. The log's
	// retention less an hour applies if that is shorter. Unit: duration.
	// Default: 24h.
	IdempotencyRetention time.Duration
	// LogRetention is how long the platform keeps log entries; 0 means longer
	// than IdempotencyRetention. Unit: duration. Default: 0.
	LogRetention time.Duration
	// LogTimeout bounds the append of an idempotency record. Unit: duration. Default: 2s.
	LogTimeout time.Duration

	// MoveMargin is how long before the end of the notice period a stream is
	// resumed elsewhere even without its KV cache. Unit: duration. Default:
	// 500ms.
	MoveMargin time.Duration
	// MoveConcurrency bounds the streams that are moved at the same time.
	// Unit: streams. Default: 64.
	MoveConcurrency int
}

// DefaultSettings returns the defaults.
func DefaultSettings() Settings {
	return Settings{
		MaxHeaderBytes:        32 * 1024,
		HeaderTimeout:         5 * time.Second,
		MaxBodyBytes:          8 << 20,
		BodyTimeout:           20 * time.Second,
		IdleTimeout:           90 * time.Second,
		WriteTimeout:          5 * time.Second,
		ModelTimeout:          5 * time.Minute,
		ServiceTimeout:        30 * time.Second,
		MinTokenGapLimit:      2 * time.Second,
		TokenGapLimitFactor:   20,
		ExpectedTokenGap:      28 * time.Millisecond,
		MinFirstTokenLimit:    5 * time.Second,
		FirstTokenLimitFactor: 4,
		MaxAttempts:           4,
		MaxResumes:            16,
		RetryRatio:            0.2,
		RetryBurst:            100,
		RetryAfter:            time.Second,
		DefaultMaxTokens:      512,
		MaxTokensLimit:        32768,
		BufferedResponseBytes: 64 * 1024,
		MaxResponseBytes:      64 << 20,
		IdempotencyRetention:  24 * time.Hour,
		LogTimeout:            2 * time.Second,
		MoveMargin:            500 * time.Millisecond,
		MoveConcurrency:       64,
	}
}

// Validate returns an error for settings that cannot work.
func (s *Settings) Validate() error {
	switch {
	case s.MaxBodyBytes <= 0 || s.MaxHeaderBytes <= 0 || s.MaxResponseBytes <= 0:
		return eris.New("size limits must be above 0")
	case s.BodyTimeout <= 0 || s.WriteTimeout <= 0 || s.ModelTimeout <= 0 || s.ServiceTimeout <= 0:
		return eris.New("time limits must be above 0")
	case s.MinTokenGapLimit <= 0 || s.MinFirstTokenLimit <= 0:
		return eris.New("progress limits must be above 0")
	case s.MaxAttempts <= 0 || s.MaxResumes <= 0 || s.MoveConcurrency <= 0:
		return eris.New("MaxAttempts, MaxResumes and MoveConcurrency must be above 0")
	}
	return nil
}
