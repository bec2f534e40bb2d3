package settings

import "time"

// Timings holds periods, terms and delays. The lease and the grant term
// must be the same on all hosts of a deployment.
type Timings struct {
	// Tick is the period of the control goroutine. Unit: duration. Default: 50ms.
	Tick time.Duration `json:"tick"`
	// Lease is how long the holder of a shard may be unresponsive before it may
	// be replaced. Unit: duration. Default: 3s.
	Lease time.Duration `json:"lease"`
	// LeaseMargin is the longest time between two ticks that does not count as a
	// pause of the process. After a pause it gives up its claims. Unit: duration.
	// Default: 500ms.
	LeaseMargin time.Duration `json:"lease_margin"`
	// GrantTerm is the longest time for which a rate grant is valid. Unit:
	// duration. Default: 1s.
	GrantTerm time.Duration `json:"grant_term"`
	// ShutdownDelay keeps the listener open after readiness has failed, so that
	// load balancers stop sending first. Unit: duration. Default: 2s.
	ShutdownDelay time.Duration `json:"shutdown_delay"`
	// ShutdownTime bounds a graceful shutdown. Unit: duration. Default: 15m,
	// longer than the longest request.
	ShutdownTime time.Duration `json:"shutdown_time"`
	// UsageWindow is the length of a usage window. Unit: duration. Default: 1m.
	UsageWindow time.Duration `json:"usage_window"`
	// UsageFlush is the period at which usage batches are appended to the log.
	// Unit: duration. Default: 1s.
	UsageFlush time.Duration `json:"usage_flush"`
	// CheckpointInterval is the longest time between checkpoints. Unit: duration. Default: 10m.
	CheckpointInterval time.Duration `json:"checkpoint_interval"`
	// LogRetention is the time for which the platform's log keeps entries. The
	// time between checkpoints is at most half of it. Unit: duration. Default: 24h.
	LogRetention time.Duration `json:"log_retention"`
	// PeerTimeout bounds one call to a peer. Unit: duration. Default: 500ms.
	PeerTimeout time.Duration `json:"peer_timeout"`
	// LogPoll is the longest wait of one log read. It must be less than 1s, the
	// time without a response after which a host counts the log as unreachable.
	// Unit: duration. Default: 500ms.
	LogPoll time.Duration `json:"log_poll"`
	// LogBatch is the shortest time between two appends by this host. Unit:
	// duration. Default: 50ms, which is 20 appends per second.
	LogBatch time.Duration `json:"log_batch"`
	// ConfigTimeout bounds the time to apply an operator's change. Unit:
	// duration. Default: 5s.
	ConfigTimeout time.Duration `json:"config_timeout"`
}

func defaultTimings() Timings {
	return Timings{
		Tick:               50 * time.Millisecond,
		Lease:              3 * time.Second,
		LeaseMargin:        500 * time.Millisecond,
		GrantTerm:          time.Second,
		ShutdownDelay:      2 * time.Second,
		ShutdownTime:       15 * time.Minute,
		UsageWindow:        time.Minute,
		UsageFlush:         time.Second,
		CheckpointInterval: 10 * time.Minute,
		LogRetention:       24 * time.Hour,
		PeerTimeout:        500 * time.Millisecond,
		LogPoll:            500 * time.Millisecond,
		LogBatch:           50 * time.Millisecond,
		ConfigTimeout:      5 * time.Second,
	}
}
