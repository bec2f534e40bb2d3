package mirror

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/redwingpath/redwingpath/pkg/pause"
)

// ErrDropped means that the store has dropped records at or after the requested offset.
var ErrDropped = errors.New("the records have been dropped from the log")

// Store reads keyed topics.
type Store interface {
	// Newest returns the newest record of each key, and the end of the topic.
	Newest(ctx context.Context, topic string) (records []Record, end uint64, err error)
	// Read returns the records from an offset on. If there are none, it waits for the
	// first one for the given time. It returns ErrDropped if the store no longer holds the
	// records.
	Read(ctx context.Context, topic string, from uint64, wait time.Duration) (Page, error)
}

// Page is the result of a read of the store.
type Page struct {
	Records []Record
	// Next is the offset after the records.
	Next uint64
	// End is the end of the topic at the store. It is above Next if the store has more
	// records than it returned.
	End uint64
}

// Delays and timeouts of followers.
const (
	// minRetryDelay is the delay after the first failed read. 8 hosts make at most 40
	// calls/s with it, a fiftieth of what the store can serve.
	minRetryDelay = 200 * time.Millisecond
	// maxRetryDelay bounds the delay, which doubles with each failure.
	maxRetryDelay = 800 * time.Millisecond
	// rankDelay is added to the delay for each host of a lower rank. Even if the four
	// hosts before it cannot reach the store, a host notices within two seconds that the
	// store is reachable again.
	rankDelay = 400 * time.Millisecond
	// maxRankDelay bounds the delay of hosts with a high rank. It is half of the time after
	// which a host counts as in contact with a recovered store again.
	maxRankDelay = 2 * time.Second
	// readTimeout bounds a read, not counting the time that it waits for records. A
	// slow store takes 250 ms.
	readTimeout = 900 * time.Millisecond
	// idleCheckInterval is the interval at which an idle follower checks whether it must
	// read.
	idleCheckInterval = 150 * time.Millisecond
)

// Follower keeps a table up to date from the store.
type Follower struct {
	Topic string
	Table *Table
	Store Store
	// Wait is how long a read waits for records. With 0, reads return at once.
	Wait time.Duration
	// Interval is the delay between successful reads.
	Interval time.Duration
	// Idle reports whether peers keep the table up to date, so that this host need not
	// read the store. It may be nil.
	Idle func() bool
	// Rank returns the number of hosts that retry an unreachable store before this one.
	// It may be nil.
	Rank func() int
	// Changed is called with the records that changed the table, in the goroutine of
	// Run. It may be nil.
	Changed func(records []Record)
	// Lost and Back are called when the store becomes unreachable and when it is
	// reachable again. They may be nil.
	Lost func(err error)
	Back func()
	Log  *zap.Logger

	reachable atomic.Bool
	// receiving is set after a read that returned records. The next one doesn't wait, since
	// such a read proves the table to be up to date only as of its start. Only Run uses it.
	receiving bool
}

// Reachable reports whether the last read of the store succeeded.
func (f *Follower) Reachable() bool { return f.reachable.Load() }

// Run follows the topic until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	delay := minRetryDelay
	for ctx.Err() == nil {
		if f.Idle != nil && f.Table.Complete() && f.Idle() {
			_ = pause.For(ctx, idleCheckInterval)
			continue
		}
		err := f.readOnce(ctx)
		if err == nil {
			f.readSucceeded()
			delay = minRetryDelay
			_ = pause.For(ctx, f.Interval)
			continue
		}
		if ctx.Err() != nil {
			return
		}
		f.readFailed(err)
		_ = pause.For(ctx, f.rankedDelay(delay))
		delay = min(2*delay, maxRetryDelay)
	}
}

// rankedDelay lengthens a retry delay by the rank of the host. Hosts of lower ranks pass
// on what they read, and each call to the store is billed, even while the store is down.
func (f *Follower) rankedDelay(delay time.Duration) time.Duration {
	if f.Rank == nil {
		return delay
	}
	return min(delay+time.Duration(f.Rank())*rankDelay, max(delay, maxRankDelay))
}

func (f *Follower) readSucceeded() {
	if !f.reachable.Swap(true) && f.Back != nil {
		f.Back()
	}
}

func (f *Follower) readFailed(err error) {
	if f.reachable.Swap(false) && f.Lost != nil {
		f.Lost(err)
	}
	f.Log.Debug("reading the store failed", zap.String("topic", f.Topic), zap.Error(err))
}

// readOnce reads the store once: a snapshot if the table has none, otherwise the records
// after the end of the table.
func (f *Follower) readOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, f.Wait+readTimeout)
	defer cancel()
	if !f.Table.Complete() {
		return f.snapshot(ctx)
	}
	wait, from := f.Wait, f.Table.End()
	if f.receiving {
		wait = 0
	}
	began := time.Now()
	page, err := f.Store.Read(ctx, f.Topic, from, wait)
	if errors.Is(err, ErrDropped) {
		f.Log.Info("the store has dropped records; reading the newest record of each key", zap.String("topic", f.Topic))
		return f.snapshot(ctx)
	}
	if err != nil {
		return err
	}
	if page.Next <= from && page.Next < page.End {
		return eris.New("the store returned none of the records that it has")
	}
	now := time.Now()
	asOf := began
	if f.receiving = page.Next > from; !f.receiving && now.Sub(began) >= wait {
		// There was no record while the store waited. The response may have been received
		// long after the store sent it.
		asOf = began.Add(wait)
	}
	f.notifyChanged(f.Table.applyPage(page, asOf, now))
	return nil
}

func (f *Follower) snapshot(ctx context.Context) error {
	// A listing of several pages may lack changes that were made while it was read.
	began := time.Now()
	records, end, err := f.Store.Newest(ctx, f.Topic)
	if err != nil {
		return err
	}
	f.notifyChanged(f.Table.applyListing(records, end, began, time.Now()))
	return nil
}

func (f *Follower) notifyChanged(changed []Record) {
	if len(changed) > 0 && f.Changed != nil {
		f.Changed(changed)
	}
}
