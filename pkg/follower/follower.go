// Package follower follows the platform's log for one host: it reads entries in
// order, delivers them to a Sink, which owns the tables, and appends this host's
// records in batches.
package follower

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sync/semaphore"
	"golang.org/x/time/rate"

	"github.com/redwingpath/redwingpath/pkg/logrec"
	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/platform"
	"github.com/redwingpath/redwingpath/pkg/state"
)

// Defaults of Config.
const (
	// DefaultReadWait keeps the age of a read well below the freshness limit of
	// 3 s.
	DefaultReadWait = 500 * time.Millisecond
	// DefaultAppendsPerSecond is this host's share of the log's append rate.
	DefaultAppendsPerSecond = 20
	// DefaultResendAfter is the shortest time between two appends of one
	// record.
	DefaultResendAfter = 250 * time.Millisecond

	// maxReadEntries limits the entries returned by one read.
	maxReadEntries = 512
	// Delays between reads after errors.
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
	// maxInFlight limits concurrent appends.
	maxInFlight = 4
	// maxReplayEntries is the length of the longest log that is replayed from its
	// first entry. On a longer log, a host starts from a checkpoint.
	maxReplayEntries = 4096
)

// Sink owns the tables. Its methods are called by one goroutine at a time.
type Sink interface {
	// Deliver applies entries in order, publishes the new state to readers and
	// returns the result of each record.
	Deliver(ctx context.Context, entries []platform.LogEntry) ([]state.Result, error)
	// Restore replaces the tables after a start or after a gap in the log.
	Restore(ctx context.Context, tables *state.Tables) error
	// RecordLogRead reports that all entries up to the end of the log have been
	// delivered, as of a read that was sent at the given time.
	RecordLogRead(sent time.Time)
}

// Config configures a Follower.
type Config struct {
	Log         platform.Log
	Sink        Sink
	Host        model.HostID
	Incarnation model.Incarnation
	Tables      state.Options
	// ReadWait is how long a read waits for new entries. 0 means
	// DefaultReadWait.
	ReadWait time.Duration
	// AppendsPerSecond is the append rate of this host. 0 means
	// DefaultAppendsPerSecond.
	AppendsPerSecond float64
	// ResendAfter is the shortest time between two appends of one record. 0
	// means DefaultResendAfter.
	ResendAfter time.Duration
	// Bootstrap fetches tables from a peer if the log cannot be read at start.
	// It may be nil.
	Bootstrap func(ctx context.Context) (*state.Tables, error)
	Logger    *zap.Logger
}

func (c Config) withDefaults() Config {
	if c.ReadWait <= 0 {
		c.ReadWait = DefaultReadWait
	}
	if c.AppendsPerSecond <= 0 {
		c.AppendsPerSecond = DefaultAppendsPerSecond
	}
	if c.ResendAfter <= 0 {
		c.ResendAfter = DefaultResendAfter
	}
	if c.Logger == nil {
		c.Logger = zap.NewNop()
	}
	return c
}

// Batch holds all entries with offsets in [From, Next).
type Batch struct {
	From, Next model.Offset
	Entries    []platform.LogEntry
}

// Follower reads the log and implements logrec.Writer.
type Follower struct {
	config  Config
	limiter *rate.Limiter

	// deliverySem serialises deliveries from the log and from peers. A mutex would
	// not do, since the sink may take long and the wait must end with the context.
	deliverySem *semaphore.Weighted
	next        model.Offset
	started     bool
	// atEnd is set if the last read reached the end of the log.
	atEnd bool

	position     atomic.Uint64
	lastResponse atomic.Pointer[time.Time]
	clockSkew    atomic.Int64 // platform clock minus local clock, in milliseconds

	mu          sync.Mutex
	queue       []*pendingAppend
	pendingByID map[string]*pendingAppend
	// endReadAt is when the latest read that reached the end of the log was sent.
	endReadAt time.Time
	wake      chan struct{}
}

// Appender appends records and returns the result of each. Follower implements
// it.
type Appender interface {
	AppendResults(ctx context.Context, records ...logrec.Record) ([]state.Result, error)
}

var (
	_ logrec.Writer = (*Follower)(nil)
	_ Appender      = (*Follower)(nil)
)

// New returns a follower. It does nothing until Run is called.
func New(c Config) *Follower {
	c = c.withDefaults()
	return &Follower{
		config:      c,
		limiter:     rate.NewLimiter(rate.Limit(c.AppendsPerSecond), 1),
		deliverySem: semaphore.NewWeighted(1),
		next:        1,
		pendingByID: map[string]*pendingAppend{},
		wake:        make(chan struct{}, 1),
	}
}

// Run follows the log until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return f.readLoop(ctx) })
	group.Go(func() error { return f.appendLoop(ctx) })
	return group.Wait()
}

// Next is the offset after the last delivered one.
func (f *Follower) Next() model.Offset { return model.Offset(f.position.Load()) }

// LastResponse is when the log last responded to a read of this host, or the zero
// time.
func (f *Follower) LastResponse() time.Time {
	if t := f.lastResponse.Load(); t != nil {
		return *t
	}
	return time.Time{}
}

// DeliverFromPeer delivers entries received from a peer. It reports whether the batch
// connects to the entries delivered so far; a batch that starts after them is
// dropped, as is every batch before the follower has its initial tables.
func (f *Follower) DeliverFromPeer(ctx context.Context, b Batch) (bool, error) {
	if err := f.deliverySem.Acquire(ctx, 1); err != nil {
		return false, eris.Wrap(err, "wait for another delivery")
	}
	defer f.deliverySem.Release(1)
	if !f.started || b.From > f.next {
		return false, nil
	}
	return true, f.apply(ctx, b)
}

// apply delivers the entries of a batch that were not delivered before. The
// caller holds f.deliverySem.
func (f *Follower) apply(ctx context.Context, b Batch) error {
	entries := b.Entries
	for len(entries) > 0 && entries[0].Offset < f.next {
		entries = entries[1:]
	}
	if len(entries) > 0 {
		results, err := f.config.Sink.Deliver(ctx, entries)
		if err != nil {
			return err
		}
		// The position is updated before appends are resolved, so that a resolved
		// record lies before Next.
		f.setNext(max(f.next, entries[len(entries)-1].Offset+1, b.Next))
		f.resolve(results)
		return nil
	}
	f.setNext(max(f.next, b.Next))
	return nil
}

func (f *Follower) setNext(next model.Offset) {
	f.next = next
	f.position.Store(uint64(next))
}

// newID returns a record id with the platform's time, so that a host with a
// wrong clock can append valid records.
func (f *Follower) newID() string {
	return ulid.MustNew(uint64(max(f.PlatformTime().UnixMilli(), 0)), ulid.DefaultEntropy()).String()
}

// PlatformTime is the local time corrected by the last observed difference to
// the platform's clock.
func (f *Follower) PlatformTime() time.Time {
	return time.Now().Add(time.Duration(f.clockSkew.Load()) * time.Millisecond)
}

func (f *Follower) wakeAppender() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}
