// Package platformsim simulates the platform: the append-only log, the fleet of
// backend servers, the host list, usage reports and the weight store.
package platformsim

import (
	"time"

	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/platform"
)

// Config holds the settings of the simulated platform. Zero values mean the defaults.
type Config struct {
	// Address to listen on. Default 127.0.0.1:0.
	Address string `json:"address,omitempty"`
	// AppendsPerS is the limit on log appends per second. Default 400.
	AppendsPerS float64 `json:"appends_per_s,omitempty"`
	// RetentionMS is the age in milliseconds above which log entries are dropped.
	// Default 24 h.
	RetentionMS int64 `json:"retention_ms,omitempty"`
	// RetentionEntries is the number of log entries kept. Default 1,000,000.
	RetentionEntries int `json:"retention_entries,omitempty"`
	// StartDelayMS is the time in milliseconds from an order until the backend
	// server is live. Default 3000.
	StartDelayMS int64 `json:"start_delay_ms,omitempty"`
	// ReleaseGraceMS is the time in milliseconds from a release until the backend
	// server stops. Default 10000.
	ReleaseGraceMS int64 `json:"release_grace_ms,omitempty"`
	// ReclaimNoticeMS is the time in milliseconds from the reclaim of preemptible
	// backend servers until they stop. Default 5000.
	ReclaimNoticeMS int64 `json:"reclaim_notice_ms,omitempty"`
	// ListLagMS is the age in milliseconds of the backend server and host lists.
	// Default 1000.
	ListLagMS int64 `json:"list_lag_ms,omitempty"`
	// CheckOrderFence makes the platform refuse backend server orders with an old
	// fencing token.
	CheckOrderFence bool `json:"check_order_fence,omitempty"`
	// FetchesPerMinute is the limit on weight fetches per minute. Default 600.
	FetchesPerMinute float64 `json:"fetches_per_minute,omitempty"`
	// Hosts are the entry hosts in the host list at the start.
	Hosts []model.HostID `json:"hosts,omitempty"`
	// Seed of the generator for random faults.
	Seed uint64 `json:"seed,omitempty"`
}

// Defaults of Config.
const (
	defaultAddress          = "127.0.0.1:0"
	defaultAppendsPerS      = 400
	defaultRetentionMS      = 24 * 60 * 60 * 1000
	defaultRetentionEntries = 1_000_000
	defaultStartDelayMS     = 3000
	defaultReleaseGraceMS   = 10_000
	defaultReclaimNoticeMS  = 5000
	defaultListLagMS        = 1000
	defaultFetchesPerMinute = 600
)

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

func (c *Config) setDefaults() {
	setDefault(&c.Address, defaultAddress)
	setDefault(&c.AppendsPerS, defaultAppendsPerS)
	setDefault(&c.RetentionMS, defaultRetentionMS)
	setDefault(&c.RetentionEntries, defaultRetentionEntries)
	setDefault(&c.StartDelayMS, defaultStartDelayMS)
	setDefault(&c.ReleaseGraceMS, defaultReleaseGraceMS)
	setDefault(&c.ReclaimNoticeMS, defaultReclaimNoticeMS)
	setDefault(&c.ListLagMS, defaultListLagMS)
	setDefault(&c.FetchesPerMinute, defaultFetchesPerMinute)
}

// Launcher starts and stops backend servers for the platform.
type Launcher interface {
	// Launch starts a backend server and returns its base URL.
	Launch(b platform.Backend) (string, error)
	// Stop stops a backend server at once.
	Stop(id model.BackendID)
}

func milliseconds(n int64) time.Duration {
	return time.Duration(n) * time.Millisecond
}
