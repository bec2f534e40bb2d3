package entry

import (
	"time"

	"go.uber.org/zap"

	"github.com/redwingpath/redwingpath/pkg/engine"
	"github.com/redwingpath/redwingpath/pkg/journal"
	"github.com/redwingpath/redwingpath/pkg/logrec"
	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/rate"
	"github.com/redwingpath/redwingpath/pkg/routing"
	"github.com/redwingpath/redwingpath/pkg/state"
)

// Verdict is an admission decision.
type Verdict struct {
	OK       bool
	Priority int
	// RetryAfter and Reason are set on a rejection.
	RetryAfter time.Duration
	Reason     string
}

// Admission rejects requests that would miss their deadline and shares engines
// fairly between organisations.
type Admission interface {
	Admit(r *routing.Request, d routing.Decision, now time.Time) Verdict
	// Done records the end of an admitted request and the tokens that it used.
	Done(org model.OrganisationID, promptTokens, outputTokens int, now time.Time)
}

// UsageSink collects the usage of finished requests. It never drops any.
type UsageSink interface {
	Add(line logrec.UsageLine)
}

// Counter names a counter in the metrics.
type Counter string

// Counters.
const (
	CountRequests       Counter = "requests"
	CountRejected       Counter = "refused"
	CountFailed         Counter = "failed"
	CountRetries        Counter = "retries"
	CountRetriesRefused Counter = "retries_refused"
	CountStreamsResumed Counter = "streams_resumed"
	// CountStreamsMoved counts moves from leaving backend servers, with or
	// without the KV cache, and hand-overs from prefill to decode.
	CountStreamsMoved       Counter = "streams_moved"
	CountStreamsMovedWithKV Counter = "streams_moved_with_kv"
	CountStreamsHandedOver  Counter = "streams_handed_over"
	// CountForeignResponses counts responses and chunks with the ID of another
	// request.
	CountForeignResponses       Counter = "foreign_answers"
	CountStreamsWithoutProgress Counter = "streams_without_progress"
	CountConnectionsDiscarded   Counter = "connections_discarded"
	CountCallersGone            Counter = "callers_gone"
	CountCallersTooSlow         Counter = "callers_too_slow"
	CountBackendCrashes         Counter = "backend_crashes"
	CountTokensDelivered        Counter = "tokens_delivered"
	CountRecordsNotLogged       Counter = "records_not_logged"
)

// Timing names a duration distribution in the metrics.
type Timing string

// Timings.
const (
	TimeFirstToken Timing = "time_to_first_token"
	TimeRequest    Timing = "request_time"
)

// Metrics records measurements. Implementations are safe for concurrent use.
type Metrics interface {
	Count(c Counter, n int64)
	// CountError counts a rejection or failure by its error code.
	CountError(code model.ErrorCode)
	Observe(t Timing, d time.Duration)
}

// Crash reports that a backend server crashed during a request. Hosts exchange
// it by net/rpc, so the field names are part of the protocol.
type Crash struct {
	Digest    string
	RequestID model.RequestID
	Backend   model.BackendID
}

// Deps are the dependencies of the handler. They are required unless marked as
// optional.
type Deps struct {
	// View returns the current snapshot of the tables.
	View func() state.View
	// Fresh reports whether the view is recent enough to serve routes that
	// require a key.
	Fresh     func() bool
	Router    routing.Router
	Limiter   rate.Limiter
	Admission Admission
	Writer    logrec.Writer
	Usage     UsageSink
	Engines   *engine.Client
	// BroadcastCrash sends a crash report to the other hosts. It must not block.
	// Optional.
	BroadcastCrash func(Crash)
	// Journal, Metrics and Log are optional.
	Journal *journal.Journal
	Metrics Metrics
	Log     *zap.Logger
}

type noMetrics struct{}

func (noMetrics) Count(Counter, int64)          {}
func (noMetrics) CountError(model.ErrorCode)    {}
func (noMetrics) Observe(Timing, time.Duration) {}

func (d *Deps) setDefaults() {
	if d.BroadcastCrash == nil {
		d.BroadcastCrash = func(Crash) {}
	}
	if d.Journal == nil {
		d.Journal = journal.New(1024)
	}
	if d.Metrics == nil {
		d.Metrics = noMetrics{}
	}
	if d.Log == nil {
		d.Log = zap.NewNop()
	}
}
