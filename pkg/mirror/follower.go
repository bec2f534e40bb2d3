package mirror

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/redwingpath/redwingpath/pkg/pause"
)

// ErrForgotten means that the store no longer holds the records from an offset on.
var ErrForgotten = errors.New("the records have been dropped from the log")

// Store reads keyed topics.
type Store interface {
	// Newest returns the newest record of each key and the end of the topic.
	Newest(ctx context.Context, topic string) (records []Record, end uint64, err error)
	// Read returns the records from an offset on, waiting for the first one up
	// to the given time. It fails with ErrForgotten.
	Read(ctx context.Context, topic string, from uint64, wait time.Duration) (records []Record, end uint64, err error)
}

// Follow settings.
const (
	// retryDelay is the pause after a failed read; with 8 hosts it stays at 40
	// calls a second, a fiftieth of what the store takes.
	retryDelay = 200 * time.Millisecond
	// retryDelayMost bounds the pause that grows with repeated failures.
	retryDelayMost = 800 * time.Millisecond
	// turnDelay lengthens the pause by each host that goes before. A host whose first
	// four are turned away finds the store back after two seconds.
	turnDelay = 400 * time.Millisecond
	// turnDelayMost bounds the pause of hosts that many go before, to half of the
	// time after which a host counts as in touch with the store again.
	turnDelayMost = 2 * time.Second
	// readTimeout bounds a read beyond the time that it waits. A slow store takes
	// a quarter of a second.
	readTimeout = 900 * time.Millisecond
	// idleInterval is the pause between looks whether the host must read.
	idleInterval = 150 * time.Millisecond
)

// Follower keeps a table up to date from the store.
type Follower struct {
	Topic string
	Table *Table
	Store Store
	// Wait is how long a read waits for records; 0 reads at intervals instead.
	Wait time.Duration
	// Interval is the pause between reads that do not wait.
	Interval time.Duration
	// Idle tells whether peers keep the table up to date, so that this host need
	// not read. It may be nil.
	Idle func() bool
	// Rank is the number of hosts that try to reach a lost store before this one
	// does. It may be nil.
	Rank func() int
	// Changed takes the records that changed the table, in the goroutine of Run.
	Changed func(records []Record)
	// Lost and Back report the loss and return of the store.
	Lost func(err error)
	Back func()
	Log  *zap.Logger

	reachable atomic.Bool
}

// Reachable tells whether the last read of the store succeeded.
func (f *Follower) Reachable() bool { return f.reachable.Load() }

// Run follows the topic until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	delay := retryDelay
	for ctx.Err() == nil {
		if f.Idle != nil && f.Table.Complete() && f.Idle() {
			_ = pause.For(ctx, idleInterval)
			continue
		}
		err := f.step(ctx)
		if err == nil {
			f.found()
			delay = retryDelay
			_ = pause.For(ctx, f.Interval)
			continue
		}
		if ctx.Err() != nil {
			return
		}
		f.failed(err)
		_ = pause.For(ctx, f.turn(delay))
		delay = min(2*delay, retryDelayMost)
	}
}

// turn lengthens a pause for a host that others go before. They pass on what
// they read, and each call to a store that is down is priced.
func (f *Follower) turn(delay time.Duration) time.Duration {
	if f.Rank == nil {
		return delay
	}
	return min(delay+time.Duration(f.Rank())*turnDelay, max(delay, turnDelayMost))
}

func (f *Follower) found() {
	if !f.reachable.Swap(true) && f.Back != nil {
		f.Back()
	}
}

func (f *Follower) failed(err error) {
	if f.reachable.Swap(false) && f.Lost != nil {
		f.Lost(err)
	}
	f.Log.Debug("reading the store failed", zap.String("topic", f.Topic), zap.Error(err))
}

func (f *Follower) step(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, f.Wait+readTimeout)
	defer cancel()
	if !f.Table.Complete() {
		return f.snapshot(ctx)
	}
	records, end, err := f.Store.Read(ctx, f.Topic, f.Table.End(), f.Wait)
	if errors.Is(err, ErrForgotten) {
		f.Log.Info("the store has dropped its history, reading all keys again", zap.String("topic", f.Topic))
		return f.snapshot(ctx)
	}
	if err != nil {
		return err
	}
	f.Table.markRead(time.Now())
	f.apply(f.Table.Apply(records, end, time.Now()))
	return nil
}

func (f *Follower) snapshot(ctx context.Context) error {
	records, end, err := f.Store.Newest(ctx, f.Topic)
	if err != nil {
		return err
	}
	f.Table.markRead(time.Now())
	f.apply(f.Table.Snapshot(records, end, time.Now()))
	return nil
}

func (f *Follower) apply(changed []Record) {
	if len(changed) > 0 && f.Changed != nil {
		f.Changed(changed)
	}
}
