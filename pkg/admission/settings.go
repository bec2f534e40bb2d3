// Package admission rejects requests early that would miss their deadline, and
// shares an overloaded fleet fairly between organisations. It does no I/O and
// reads no clock: the caller passes the time.
package admission

import "time"

// Settings of a Controller. Zero fields take their defaults.
type Settings struct {
	// FirstTokenLimit is the target for the time to first token. Default 740 ms.
	FirstTokenLimit time.Duration
	// LimitFactor times FirstTokenLimit is the longest predicted time that is
	// admitted. With a factor above 1, fewer requests are rejected that would
	// have met the target. Default 1.1.
	LimitFactor float64
	// TokenGapLimit is the target for the time between tokens. An engine that is
	// predicted to exceed it gets no more requests. Default 28 ms.
	TokenGapLimit time.Duration
	// PromptCost and OutputCost are the costs of a prompt token and an output
	// token in the usage counters. An output token takes more engine time.
	// Defaults 1 and 6.
	PromptCost float64
	OutputCost float64
	// UsageTimeConstant is the time constant with which usage decays.
	// Default 30 s.
	UsageTimeConstant time.Duration
	// ContentionStart is the share of the admission limit from which requests of
	// organisations over their fair share are rejected; the limit falls towards
	// it in proportion to the excess. Below it, no request is rejected for
	// fairness, so that capacity does not idle. Default 0.5.
	ContentionStart float64
	// LatePromptWait is the longest queueing time, as a share of the admission
	// limit, for which a prompt that is late because of its own length is still
	// admitted. Default 0.3.
	LatePromptWait float64
	// MinRetryAfter and MaxRetryAfter bound the Retry-After of a rejection.
	// Defaults 200 ms and 30 s.
	MinRetryAfter time.Duration
	MaxRetryAfter time.Duration
}

func orDefault[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}

func (s Settings) withDefaults() Settings {
	orDefault(&s.FirstTokenLimit, 740*time.Millisecond)
	orDefault(&s.LimitFactor, 1.1)
	orDefault(&s.TokenGapLimit, 28*time.Millisecond)
	orDefault(&s.PromptCost, 1)
	orDefault(&s.OutputCost, 6)
	orDefault(&s.UsageTimeConstant, 30*time.Second)
	orDefault(&s.ContentionStart, 0.5)
	orDefault(&s.LatePromptWait, 0.3)
	orDefault(&s.MinRetryAfter, 200*time.Millisecond)
	orDefault(&s.MaxRetryAfter, 30*time.Second)
	return s
}
