// Package servicesim simulates a plain order service: reservations, payouts,
// status by idempotency key and stock lookup.
package servicesim

import (
	"time"
)

// Config holds the settings of one simulated service. Zero values mean the defaults.
type Config struct {
	// Address to listen on. Default 127.0.0.1:0.
	Address string `json:"address,omitempty"`
	// WorkMS is the execution time of one call in milliseconds. Default 2.
	WorkMS int64 `json:"work_ms,omitempty"`
	// RestartMS is the time in milliseconds from a crash until the service listens again.
	// 0 means the default of 2000; a negative value means that it never restarts.
	RestartMS int64 `json:"restart_ms,omitempty"`
	// CrashMarker in a request body crashes the service before it executes the call.
	// Default "CRASH-SERVICE".
	CrashMarker string `json:"crash_marker,omitempty"`
}

// Defaults of Config.
const (
	defaultAddress     = "127.0.0.1:0"
	defaultWorkMS      = 2
	defaultRestartMS   = 2000
	defaultCrashMarker = "CRASH-SERVICE"
)

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

func (c *Config) setDefaults() {
	setDefault(&c.Address, defaultAddress)
	setDefault(&c.WorkMS, defaultWorkMS)
	setDefault(&c.RestartMS, defaultRestartMS)
	setDefault(&c.CrashMarker, defaultCrashMarker)
}

// Faults selects the faults to inject into a service. The zero value means no fault.
type Faults struct {
	// CrashBeforeExecution crashes the service on each of the next n calls, after
	// it has received the call and before it executes it.
	CrashBeforeExecution int `json:"crash_before_execution,omitempty"`
	// CrashAfterExecution crashes the service on each of the next n calls, after it
	// has executed the call and before it responds.
	CrashAfterExecution int `json:"crash_after_execution,omitempty"`
	// LoseAnswers executes the next n calls and closes their connections without a response.
	LoseAnswers int `json:"lose_answers,omitempty"`
	// DelayMS delays every call before its execution, in milliseconds.
	DelayMS int64 `json:"delay_ms,omitempty"`
	// AnswerDelayMS delays every response after the execution, in milliseconds.
	AnswerDelayMS int64 `json:"answer_delay_ms,omitempty"`
	// RefuseAll responds to every call with 503 and does not execute it.
	RefuseAll bool `json:"refuse_all,omitempty"`
}

func milliseconds(n int64) time.Duration {
	return time.Duration(n) * time.Millisecond
}
