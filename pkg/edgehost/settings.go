// Package edgehost assembles a host that forwards opaque requests to backend servers. The
// platform's store keeps the configuration, the registrations of backend servers, the
// list of hosts and the log of the duties.
//
// The duties are tasks that one host carries out for all: it reports usage and orders
// backend servers. The hosts elect it through the log of the duties, and its calls carry
// a fencing token.
package edgehost

import (
	"time"

	"github.com/redwingpath/redwingpath/pkg/model"
)

// Settings are the static settings of a host.
type Settings struct {
	// Host is the name of the host.
	Host model.HostID
	// DataCentre is the data centre of the host.
	DataCentre model.DataCentreID
	// CallersAddress, ReadinessAddress and PeersAddress are the listen addresses for
	// callers, for readiness checks of the load balancer, and for other hosts.
	CallersAddress, ReadinessAddress, PeersAddress string
	// MetricsAddress is the listen address of the metrics, empty for none. Default: none;
	// the command redwingpath gateway sets port 7601 of the callers' address.
	MetricsAddress string
	// Seeds are the peer addresses of other hosts. They may be stale.
	Seeds []string
	// PlatformStore and PlatformAPI are the addresses of the platform's store and
	// API.
	PlatformStore, PlatformAPI string
	// UsageDuty and ScaleDuty enable usage reports and orders for backend servers.
	UsageDuty, ScaleDuty bool
	// DrainTime is how long a leaving backend server still accepts requests. Unit:
	// duration. Default: 2s.
	DrainTime time.Duration
	// ConfigurationBound is how long after its acknowledgement by the store a configuration
	// may take to be in force at all hosts. Unit: duration. Default: 2s.
	ConfigurationBound time.Duration
	// ColdOvershoot and ColdSlack bound the requests that all hosts together send a cold
	// backend server in any second: the factor times the rate that it tolerates, plus the
	// slack. Defaults: 1, 0.
	ColdOvershoot, ColdSlack float64
	// EvacuationBound is how long after its acknowledgement by the store the evacuation of a
	// data centre may take to be in force at all hosts. Unit: duration. Default: 5s.
	EvacuationBound time.Duration
	// Lease is the platform's lease of a duty. Unit: duration. Default: 3s.
	Lease time.Duration
	// Grace is the grace period of a stop, from SIGTERM to SIGKILL. Unit: duration.
	// Default: 8s.
	Grace time.Duration
	// RetryRatio, RetrySlack and RetryWindow bound the retries of all hosts together: for
	// each service, at most the ratio of its requests in the window plus the slack.
	// Defaults: 0.2, 56, 10s.
	RetryRatio, RetrySlack float64
	RetryWindow            time.Duration
	// QuotaSlack is what an organisation may use beyond its quota in a window. Hosts
	// admit it while they do not know what was used before their start. Unit: tokens or
	// requests. Default: 0.
	QuotaSlack float64
	// UsageWindow and UsageDelay are the length of a usage window and the time
	// after its end at which its report is due. Unit: duration. Defaults: 5s, 10s.
	UsageWindow, UsageDelay time.Duration
	// MemoryBytes is the memory of the process. Unit: bytes. Default: 256 MiB.
	MemoryBytes int64
	// Bandwidth is that of the host's link. In large deployments the hosts with the most
	// bandwidth relay the messages of the others. Unit: Mbit/s. Default: 0, unknown.
	Bandwidth float64
	// LogLevel is debug, info, warn or error. Default: info.
	LogLevel string
	// MaxLogLinesPerSecond is the maximum number of log lines per second. Default: 400.
	MaxLogLinesPerSecond int
}

// DefaultSettings returns the defaults.
func DefaultSettings() *Settings {
	return &Settings{
		DrainTime:            2 * time.Second,
		ConfigurationBound:   2 * time.Second,
		ColdOvershoot:        1,
		EvacuationBound:      5 * time.Second,
		Lease:                3 * time.Second,
		Grace:                8 * time.Second,
		RetryRatio:           0.2,
		RetrySlack:           56,
		RetryWindow:          10 * time.Second,
		UsageWindow:          5 * time.Second,
		UsageDelay:           10 * time.Second,
		MemoryBytes:          256 << 20,
		LogLevel:             "info",
		MaxLogLinesPerSecond: 400,
	}
}
