// Package control runs the control goroutine of a host. It owns the tables, renews
// or gives up the host's authority over its shards on each tick, starts the work
// that follows from it, and publishes immutable snapshots for the goroutines that
// serve requests.
package control

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/redwingpath/redwingpath/pkg/authority"
	"github.com/redwingpath/redwingpath/pkg/follower"
	"github.com/redwingpath/redwingpath/pkg/freshness"
	"github.com/redwingpath/redwingpath/pkg/journal"
	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/peer"
	"github.com/redwingpath/redwingpath/pkg/platform"
	"github.com/redwingpath/redwingpath/pkg/state"
)

// Defaults of Config.
const (
	// DefaultTickInterval is the interval between ticks of the control goroutine.
	DefaultTickInterval = 50 * time.Millisecond
	// DefaultUsageWindow is the length of a usage window.
	DefaultUsageWindow = time.Minute
	// DefaultCheckpointInterval is the platform time between checkpoints.
	DefaultCheckpointInterval = 10 * time.Minute
	// logSilenceLimit is the time without a response from the log after which a
	// host vouches that it cannot reach the log. It lies between the wait of
	// 0.5 s of a log read and the freshness limit of 3 s.
	logSilenceLimit = time.Second
)

// ErrSuperseded means that a later incarnation of this host has joined.
var ErrSuperseded = eris.New("a later incarnation of this host has joined")

// Peers calls other hosts; peer.Client implements it.
type Peers interface {
	Tail(ctx context.Context, address string, args peer.TailArgs) (peer.TailReply, error)
	Vouch(ctx context.Context, address string, args peer.VouchArgs) (peer.VouchReply, error)
	Status(ctx context.Context, address string, args peer.StatusArgs) (peer.StatusReply, error)
	Checkpoint(ctx context.Context, address string, args peer.CheckpointArgs) (peer.CheckpointReply, error)
}

var _ Peers = (*peer.Client)(nil)

// TickHandler is a component that runs on each tick. Tick must not block.
type TickHandler interface {
	Tick(now time.Time, tables *state.Snapshot)
}

// Config configures a Control.
type Config struct {
	Host        model.HostID
	Incarnation model.Incarnation
	Region      model.RegionID
	DataCentre  model.DataCentreID
	// PeerAddress is the address at which other hosts reach this host.
	PeerAddress string
	// Seeds are the peer addresses from which the host fetches its initial
	// tables when the log is unreachable.
	Seeds []string

	Log   platform.Log
	Fleet platform.Fleet
	Usage platform.Usage
	// Peers calls other hosts. It may be nil if there are none.
	Peers Peers

	// Tables are the options of the tables. They must be equal on all hosts.
	Tables state.Options
	Rules  authority.Rules
	// Tick is the interval between ticks. 0 means DefaultTickInterval.
	Tick time.Duration
	// UsageWindow is the length of a usage window. 0 means DefaultUsageWindow.
	UsageWindow time.Duration
	// CheckpointEvery is the platform time between checkpoints. It must be at most
	// half of the retention time of the log. 0 means DefaultCheckpointInterval.
	CheckpointEvery time.Duration
	// AppendsPerSecond, ReadWait and ResendAfter are passed to the follower.
	AppendsPerSecond float64
	ReadWait         time.Duration
	ResendAfter      time.Duration

	TickHandlers []TickHandler
	// OnEntryApplied is called on the control goroutine after each applied log entry.
	// It must not block. It may be nil.
	OnEntryApplied func(entry platform.LogEntry, results []state.Result)
	Journal        *journal.Journal
	Logger         *zap.Logger
}

func (c Config) withDefaults() Config {
	if c.Tick <= 0 {
		c.Tick = DefaultTickInterval
	}
	if c.UsageWindow <= 0 {
		c.UsageWindow = DefaultUsageWindow
	}
	if c.CheckpointEvery <= 0 {
		c.CheckpointEvery = DefaultCheckpointInterval
	}
	c.Rules = c.Rules.WithDefaults()
	if c.Journal == nil {
		c.Journal = journal.New(1024)
	}
	if c.Logger == nil {
		c.Logger = zap.NewNop()
	}
	return c
}

// Control is the control plane of one host. Its methods are safe for
// concurrent use.
type Control struct {
	config   Config
	follower *follower.Follower
	recent   recentEntries

	snapshot              atomic.Pointer[state.Snapshot]
	lease                 atomic.Pointer[authority.Lease]
	freshUntil            atomic.Pointer[time.Time]
	logReadAt             atomic.Pointer[time.Time]
	lastTick              atomic.Pointer[time.Time]
	countsTowardsMajority atomic.Bool
	ready                 atomic.Bool
	leaving               atomic.Bool

	commands chan func()
	stop     context.CancelCauseFunc
	runCtx   context.Context
	jobGroup sync.WaitGroup

	// The control goroutine owns the fields below.
	tables       *state.Tables
	tracker      *freshness.Tracker
	leaseManager *authority.LeaseManager
	jobs         map[string]bool
	peers        map[model.HostID]authority.Liveness
	throttle     throttle
	pauses       int
	// memberSince is the time at which this host last became a member. It is
	// zero while the host is not a member.
	memberSince time.Time
	// announcedNext is the next offset as last announced to other hosts.
	announcedNext model.Offset
}

// New returns a control plane. It is inactive until Run is called.
func New(c Config) *Control {
	c = c.withDefaults()
	self := authority.Host{Host: c.Host, Incarnation: c.Incarnation}
	ctl := &Control{
		config:       c,
		commands:     make(chan func(), 64),
		tracker:      freshness.NewTracker(c.Host, c.Incarnation),
		leaseManager: authority.NewLeaseManager(self, c.Rules),
		jobs:         map[string]bool{},
		peers:        map[model.HostID]authority.Liveness{},
		throttle:     throttle{},
	}
	ctl.runCtx, ctl.stop = context.WithCancelCause(context.Background())
	ctl.replaceTables(state.New(c.Tables))
	ctl.follower = follower.New(follower.Config{
		Log: c.Log, Sink: ctl, Host: c.Host, Incarnation: c.Incarnation, Tables: c.Tables,
		ReadWait: c.ReadWait, AppendsPerSecond: c.AppendsPerSecond, ResendAfter: c.ResendAfter,
		Bootstrap: ctl.bootstrap, Logger: c.Logger,
	})
	return ctl
}

// Run runs the control goroutine and the follower until the context ends. It must
// be called at most once.
func (c *Control) Run(ctx context.Context) error {
	stopAfterFunc := context.AfterFunc(ctx, func() { c.stop(context.Cause(ctx)) })
	defer stopAfterFunc()
	group, groupCtx := errgroup.WithContext(c.runCtx)
	group.Go(func() error { return c.loop(groupCtx) })
	group.Go(func() error { return c.follower.Run(groupCtx) })
	err := group.Wait()
	c.stop(err)
	c.jobGroup.Wait()
	if cause := context.Cause(c.runCtx); isSuperseded(cause) {
		return cause
	}
	return err
}

// isSuperseded reports whether the control plane stopped because a later
// incarnation of this host has joined.
func isSuperseded(err error) bool { return eris.Is(err, ErrSuperseded) }

// Snapshot returns the newest published state of the tables.
func (c *Control) Snapshot() state.View { return c.snapshot.Load() }

// Tables returns the same state as Snapshot, with the lookups that only the control
// plane needs.
func (c *Control) Tables() *state.Snapshot { return c.snapshot.Load() }

// Fresh reports whether the snapshot is recent enough to act on.
func (c *Control) Fresh() bool { return time.Now().Before(*c.freshUntil.Load()) }

// Ready reports whether the host has read the log to its end at least once, by
// itself or through a peer, and is not leaving.
func (c *Control) Ready() bool { return c.ready.Load() && !c.leaving.Load() }

// Health reports whether the host may receive requests and accept changes, and if
// not, the reason.
func (c *Control) Health() (ready bool, reason string) {
	switch {
	case !c.Ready():
		return false, "has not read the log to its end yet"
	case !c.Fresh():
		return false, "its view of the log is out of date"
	case !c.countsTowardsMajority.Load():
		return false, "has not been answered by a majority since it joined"
	}
	return true, ""
}

// Holds reports whether this host may act as the holder of a shard now, and returns
// its fencing token. Callers must check again immediately before each action.
func (c *Control) Holds(shard model.ShardName) (model.Offset, bool) {
	return c.lease.Load().May(shard, time.Now())
}

// Writer returns the follower, which appends records to the log for this host.
func (c *Control) Writer() *follower.Follower { return c.follower }

// Result returns the result of a recent record of this host. ok is false if the
// record is not known.
func (c *Control) Result(ctx context.Context, recordID string) (result state.Result, ok bool, err error) {
	err = c.runInLoop(ctx, func() { result, ok = c.tables.Result(recordID) })
	return result, ok, err
}

// Now returns the time of the platform as this host estimates it.
func (c *Control) Now() time.Time { return c.follower.PlatformTime() }

// LogReachable reports whether the log has responded to a read recently.
func (c *Control) LogReachable() bool { return !c.cannotReachLog(time.Now()) }

func (c *Control) cannotReachLog(now time.Time) bool {
	return now.Sub(c.follower.LastResponse()) > logSilenceLimit
}
