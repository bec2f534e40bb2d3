package gateway

import "time"

// Settings are the limits of a Gateway.
type Settings struct {
	// RetryRatio and RetrySlack bound this host's retries for each service: within
	// RetryWindow, at most RetryRatio times the requests plus RetrySlack.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// RetryStartup is the time after the start of the process in which it takes no part of
	// RetrySlack, and StartupRetryRatio times the requests instead of RetryRatio, since an
	// earlier process of the host may have used its retries of the window. 0 for a host that
	// replaces none. Unit: duration. Default: 0.
	RetryStartup      time.Duration
	StartupRetryRatio float64
	// CrashLimit is the number of backend server crashes after which a request is
	// rejected. Default: 3.
	CrashLimit int
	// MaxDenialAge is the age of the configuration up to which a request with an unknown
	// route or key is rejected with 404 or 401. Above it, a newer configuration may allow
	// the request. Unit: duration. Default: 1.9s.
	MaxDenialAge time.Duration
	// TimeoutMargin is subtracted from the request's timeout, so that the final
	// response reaches the caller in time. Unit: duration. Default: 15ms.
	TimeoutMargin time.Duration
	// MinStallTimeout is the shortest time without a first event after which a
	// repeatable request may be moved to another backend server, and the shortest
	// timeout of a prefill call. Unit: duration. Default: 1.5s.
	MinStallTimeout time.Duration
	// StallTimeoutFactor is the multiple of the expected time after which a
	// repeatable request may be moved to another backend server. Default: 4.
	StallTimeoutFactor float64
	// EventGapTimeout is the time without a further event after which a resumable
	// stream may be moved to another backend server, for routes whose callers have the
	// least patience; it grows with the patience up to MaxEventGapFactor times. Sound
	// servers pause for about a second. Unit: duration. Default: 1.2s.
	EventGapTimeout   time.Duration
	MaxEventGapFactor float64
	// MinCallerPatience, PatienceTargets and PatienceGaps state how long a pause callers
	// bear before they disconnect: the longest of MinCallerPatience, PatienceTargets times
	// the route's target latency and PatienceGaps times its target gap. Defaults: 2s, 4
	// and 8, as the users' platform documents.
	MinCallerPatience             time.Duration
	PatienceTargets, PatienceGaps float64
	// MaxPredictedShare is the fraction of the remaining time that the predicted time
	// to the first event may take. Default: 0.8.
	MaxPredictedShare float64
	// MinRetryAfter and MaxRetryAfter bound the delay in the Retry-After header of a
	// rejection, before jitter. Unit: duration. Defaults: 100ms and 2s.
	MinRetryAfter, MaxRetryAfter time.Duration
	// WriteTimeout bounds a write to a caller. Unit: duration. Default: 5s.
	WriteTimeout time.Duration
	// ResponseBytes bounds a response body that is read to its end before it is
	// forwarded. Unit: bytes. Default: 1 MiB.
	ResponseBytes int64
	// EventBytes bounds an event of a stream. Unit: bytes. Default: 256 KiB.
	EventBytes int
	// HeaderBytes bounds the header of a caller's request. BodyBytes bounds its
	// body where the configuration sets no limit. Unit: bytes. Defaults: 16 KiB and
	// 4 MiB.
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout bounds the reading of a caller's header, IdleTimeout the idle time
	// of a keep-alive connection. Unit: duration. Defaults: 3s and 75s.
	HeaderTimeout, IdleTimeout time.Duration
}

// DefaultSettings returns the defaults.
func DefaultSettings() Settings {
	return Settings{
		RetryRatio:         0.15,
		RetrySlack:         4,
		RetryWindow:        10 * time.Second,
		CrashLimit:         3,
		MaxDenialAge:       1900 * time.Millisecond,
		TimeoutMargin:      15 * time.Millisecond,
		MinStallTimeout:    1500 * time.Millisecond,
		StallTimeoutFactor: 4,
		EventGapTimeout:    1200 * time.Millisecond,
		MaxEventGapFactor:  5.0 / 3,
		MinCallerPatience:  2 * time.Second,
		PatienceTargets:    4,
		PatienceGaps:       8,
		MaxPredictedShare:  0.8,
		MinRetryAfter:      100 * time.Millisecond,
		MaxRetryAfter:      2 * time.Second,
		WriteTimeout:       5 * time.Second,
		ResponseBytes:      1 << 20,
		EventBytes:         256 << 10,
		HeaderBytes:        16 << 10,
		BodyBytes:          4 << 20,
		HeaderTimeout:      3 * time.Second,
		IdleTimeout:        75 * time.Second,
	}
}
