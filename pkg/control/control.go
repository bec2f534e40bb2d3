// Package control runs the control goroutine of a host. It owns the tables,
// decides on each tick what this host does under its authority, and publishes
// immutable snapshots for the traffic goroutines.
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
	// DefaultTick is the period of the control goroutine.
	DefaultTick = 50 * time.Millisecond
	// DefaultUsageWindow is the length of a usage window.
	DefaultUsageWindow = time.Minute
	// DefaultCheckpointEvery is the time between checkpoints in log time.
	DefaultCheckpointEvery = 10 * time.Minute
	// unreachableAfter is the silence of the log after which a host vouches
	// that it cannot reach it. Reads wait 0.5 s, and 3 s is the limit of freshness.
	unreachableAfter = time.Second
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

// System is a part of the host that runs on each tick. It must not block.
type System interface {
	Tick(now time.Time, tables *state.Snapshot)
}

// Config configures a Control.
type Config struct {
	Host        model.HostID
	Incarnation model.Incarnation
	Region      model.RegionID
	DataCentre  model.DataCentreID
	// PeerAddress is where other hosts reach this host.
	PeerAddress string
	// Seeds are peer addresses to start from when the log is down.
	Seeds []string

	Log   platform.Log
	Fleet platform.Fleet
	Usage platform.Usage
	// Peers calls other hosts. It may be nil on a host without peers.
	Peers Peers

	// Tables must be equal on all hosts.
	Tables state.Options
	Rules  authority.Rules
	// Tick is the period of the control goroutine. 0 means DefaultTick.
	Tick time.Duration
	// UsageWindow is the length of a usage window. 0 means DefaultUsageWindow.
	UsageWindow time.Duration
	// CheckpointEvery must be at most half of the log's retention time. 0
	// means DefaultCheckpointEvery.
	CheckpointEvery time.Duration
	// AppendsPerSecond, ReadWait and ResendAfter are passed to the follower.
	AppendsPerSecond float64
	ReadWait         time.Duration
	ResendAfter      time.Duration

	Systems []System
	// Applied is called on the control goroutine for each applied log entry. It
	// must not block. It may be nil.
	Applied func(entry platform.LogEntry, results []state.Result)
	Journal *journal.Journal
	Logger  *zap.Logger
}

func (c Config) withDefaults() Config {
	if c.Tick <= 0 {
		c.Tick = DefaultTick
	}
	if c.UsageWindow <= 0 {
		c.UsageWindow = DefaultUsageWindow
	}
	if c.CheckpointEvery <= 0 {
		c.CheckpointEvery = DefaultCheckpointEvery
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

	snapshot   atomic.Pointer[state.Snapshot]
	lease      atomic.Pointer[authority.Lease]
	freshUntil atomic.Pointer[time.Time]
	readAt     atomic.Pointer[time.Time]
	lastTick   atomic.Pointer[time.Time]
	counts     atomic.Bool
	ready      atomic.Bool
	leaving    atomic.Bool

	commands chan func()
	stop     context.CancelCauseFunc
	runCtx   context.Context
	jobGroup sync.WaitGroup

	// The fields below belong to the control goroutine.
	tables  *state.Tables
	tracker *freshness.Tracker
	keeper  *authority.Keeper
	jobs    map[string]bool
	peers   map[model.HostID]authority.Liveness
	timers  timers
	pauses  int
	// memberSince is when this host last became a member, zero for no member.
	memberSince time.Time
	// announced is the position of the last announcement.
	announced model.Offset
}

// New returns a control plane. It does nothing until Run.
func New(c Config) *Control {
	c = c.withDefaults()
	self := authority.Host{Host: c.Host, Incarnation: c.Incarnation}
	ctl := &Control{
		config:   c,
		commands: make(chan func(), 64),
		tracker:  freshness.NewTracker(c.Host, c.Incarnation),
		keeper:   authority.NewKeeper(self, c.Rules),
		jobs:     map[string]bool{},
		peers:    map[model.HostID]authority.Liveness{},
		timers:   timers{},
	}
	ctl.runCtx, ctl.stop = context.WithCancelCause(context.Background())
	ctl.adopt(state.New(c.Tables))
	ctl.follower = follower.New(follower.Config{
		Log: c.Log, Sink: ctl, Host: c.Host, Incarnation: c.Incarnation, Tables: c.Tables,
		ReadWait: c.ReadWait, AppendsPerSecond: c.AppendsPerSecond, ResendAfter: c.ResendAfter,
		Bootstrap: ctl.bootstrap, Logger: c.Logger,
	})
	return ctl
}

// Run runs the control goroutine and the follower until the context ends. It
// can be called once.
func (c *Control) Run(ctx context.Context) error {
	release := context.AfterFunc(ctx, func() { c.stop(context.Cause(ctx)) })
	defer release()
	group, groupCtx := errgroup.WithContext(c.runCtx)
	group.Go(func() error { return c.loop(groupCtx) })
	group.Go(func() error { return c.follower.Run(groupCtx) })
	err := group.Wait()
	c.stop(err)
	c.jobGroup.Wait()
	if cause := context.Cause(c.runCtx); errIsOwn(cause) {
		return cause
	}
	return err
}

// errIsOwn tells whether the control plane ended itself.
func errIsOwn(err error) bool { return eris.Is(err, ErrSuperseded) }

// Snapshot is the newest state of the tables.
func (c *Control) Snapshot() state.View { return c.snapshot.Load() }

// Tables is Snapshot with the lookups that only the control plane needs.
func (c *Control) Tables() *state.Snapshot { return c.snapshot.Load() }

// Fresh tells whether the snapshot is recent enough to act on.
func (c *Control) Fresh() bool { return time.Now().Before(*c.freshUntil.Load()) }

// Ready tells whether the host has read the log once and is a member that is
// not leaving.
func (c *Control) Ready() bool { return c.ready.Load() && !c.leaving.Load() }

// Health tells whether the host may get requests and take changes, and why not.
func (c *Control) Health() (ready bool, reason string) {
	switch {
	case !c.Ready():
		return false, "has not read the log to its end yet"
	case !c.Fresh():
		return false, "its view of the log is out of date"
	case !c.counts.Load():
		return false, "has not been answered by a majority since it joined"
	}
	return true, ""
}

// Holds tells whether this host may act as the holder of a shard now, and its
// fencing number. Callers ask again right before each action.
func (c *Control) Holds(shard model.ShardName) (model.Offset, bool) {
	return c.lease.Load().May(shard, time.Now())
}

// Writer appends records to the log for this host.
func (c *Control) Writer() *follower.Follower { return c.follower }

// Result tells what became of a recent record of this host.
func (c *Control) Result(ctx context.Context, recordID string) (result state.Result, ok bool, err error) {
	err = c.do(ctx, func() { result, ok = c.tables.Result(recordID) })
	return result, ok, err
}

// Now is the time by the platform's clock, as far as this host knows it.
func (c *Control) Now() time.Time { return c.follower.PlatformTime() }

// LogReachable tells whether the log has answered lately.
func (c *Control) LogReachable() bool { return !c.cannotReachLog(time.Now()) }

func (c *Control) cannotReachLog(now time.Time) bool {
	return now.Sub(c.follower.LastAnswer()) > unreachableAfter
}
