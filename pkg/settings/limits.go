package settings

import "time"

// Limits holds the limits on what callers may send to one host and keep open on it.
type Limits struct {
	// HeaderBytes bounds the header of a request. Unit: bytes. Default: 16384.
	HeaderBytes int `json:"header_bytes"`
	// BodyBytes bounds the body of a request. Unit: bytes. Default: 8388608,
	// enough for a prompt of two million tokens.
	BodyBytes int64 `json:"body_bytes"`
	// Streams bounds the open streams. Unit: streams. Default: 10000.
	Streams int `json:"streams"`
	// Connections bounds the open caller connections. Unit: connections. Default: 20000.
	Connections int `json:"connections"`
	// RequestsInProgress bounds the requests that are read or run at the same
	// time. Unit: requests. Default: 20000.
	RequestsInProgress int `json:"requests_in_progress"`
	// HeaderTime bounds the reading of a request's header. Unit: duration. Default: 5s.
	HeaderTime time.Duration `json:"header_time"`
	// BodyTime bounds the reading of a request's body. Unit: duration. Default: 30s.
	BodyTime time.Duration `json:"body_time"`
	// WriteStall is how long a caller may read nothing before its response is
	// ended. Unit: duration. Default: 20s.
	WriteStall time.Duration `json:"write_stall"`
	// IdleTime is how long a caller connection without requests stays open.
	// Unit: duration. Default: 2m.
	IdleTime time.Duration `json:"idle_time"`
	// RequestTime bounds a request from its arrival to its last byte. Unit: duration. Default: 10m.
	RequestTime time.Duration `json:"request_time"`
	// ServiceTime bounds a call to a plain service. Unit: duration. Default: 30s.
	ServiceTime time.Duration `json:"service_time"`
	// MaxTokens bounds the output of one model request. Unit: tokens. Default: 32768.
	MaxTokens int `json:"max_tokens"`
}

func defaultLimits() Limits {
	return Limits{
		HeaderBytes:        16 << 10,
		BodyBytes:          8 << 20,
		Streams:            10_000,
		Connections:        20_000,
		RequestsInProgress: 20_000,
		HeaderTime:         5 * time.Second,
		BodyTime:           30 * time.Second,
		WriteStall:         20 * time.Second,
		IdleTime:           2 * time.Minute,
		RequestTime:        10 * time.Minute,
		ServiceTime:        30 * time.Second,
		MaxTokens:          32_768,
	}
}
