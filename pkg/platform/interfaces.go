package platform

import (
	"context"
	"errors"
	"time"

	"github.com/redwingpath/redwingpath/pkg/model"
)

// Errors of the platform's interfaces.
var (
	// ErrUnavailable means that no response came or that the platform is in an
	// outage; the call may still have taken effect.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrRateLimited means that the call was refused and had no effect.
	ErrRateLimited = errors.New("platform rate limit reached")
	// ErrDropped means that the log no longer retains the requested offset.
	ErrDropped = errors.New("log offset no longer kept")
	// ErrRefused means that the platform refused an order or report.
	ErrRefused = errors.New("refused by the platform")
	// ErrUnknown means that the platform has no such order or report.
	ErrUnknown = errors.New("not known to the platform")
)

// Log is the platform's append-only log.
type Log interface {
	// Append appends one entry of at most MaxLogEntryBytes. After
	// ErrUnavailable the entry may be in the log.
	Append(ctx context.Context, data []byte) (model.Offset, error)
	// Read returns at most limit entries, starting at offset from. When there
	// is none, it waits for one for up to the duration wait. ErrDropped comes
	// with a response whose First is set.
	Read(ctx context.Context, from model.Offset, limit int, wait time.Duration) (ReadResponse, error)
}

// Fleet orders backend servers and lists backend servers and entry hosts.
type Fleet interface {
	Backends(ctx context.Context) (BackendList, error)
	Order(ctx context.Context, order BackendOrder) (BackendOrderStatus, error)
	OrderStatus(ctx context.Context, orderID string) (BackendOrderStatus, error)
	Hosts(ctx context.Context) (HostList, error)
}

// Usage accepts usage reports.
type Usage interface {
	Report(ctx context.Context, report UsageReport) error
	ReportStatus(ctx context.Context, reportID string) (UsageReport, error)
}

// WeightStore reports how many weight fetches may start.
type WeightStore interface {
	Weights(ctx context.Context) (WeightStoreStatus, error)
}
