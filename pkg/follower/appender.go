package follower

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/redwingpath/redwingpath/pkg/logrec"
	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/platform"
	"github.com/redwingpath/redwingpath/pkg/state"
)

// maxEntryBytes limits the encoded records of an entry. It leaves room for the
// brackets of the JSON array.
const maxEntryBytes = platform.MaxLogEntryBytes - 16

// maxReissues limits how often a call may replace the ids of records that were
// void because the time in the id was too far from the log time.
const maxReissues = 3

// pendingAppend is one call of Append. Its records are sent in one entry.
type pendingAppend struct {
	records []logrec.Record
	size    int
	results []state.Result
	// unresolved is the number of records that were not read back yet.
	unresolved int
	// resolved is closed once all records were read back or the append has
	// failed.
	resolved chan struct{}
	err      error

	// The fields below are guarded by Follower.mu.
	inFlight bool
	// maybeSent is set once an append may have reached the log.
	maybeSent bool
	// lastAttempt is when the last append that may have reached the log ended.
	lastAttempt time.Time
	notBefore   time.Time
	reissues    int
}

// Append implements logrec.Writer.
func (f *Follower) Append(ctx context.Context, records ...logrec.Record) (model.Offset, error) {
	results, err := f.AppendResults(ctx, records...)
	if err != nil {
		return 0, err
	}
	return results[len(results)-1].Offset, nil
}

// AppendResults appends the records as Append does and returns the result of
// each. It retries until the context ends.
func (f *Follower) AppendResults(ctx context.Context, records ...logrec.Record) ([]state.Result, error) {
	c, err := f.newPendingAppend(records)
	if err != nil {
		return nil, err
	}
	f.enqueue(c)
	select {
	case <-c.resolved:
		return c.results, c.err
	case <-ctx.Done():
		return f.cancelAppend(ctx, c)
	}
}

func (f *Follower) newPendingAppend(records []logrec.Record) (*pendingAppend, error) {
	if len(records) == 0 {
		return nil, eris.New("append without records")
	}
	for i := range records {
		r := &records[i]
		r.Version, r.Host, r.Incarnation = logrec.SchemaVersion, f.config.Host, f.config.Incarnation
		if r.ID == "" {
			r.ID = f.newID()
		}
	}
	data, err := json.Marshal(records)
	if err != nil {
		return nil, eris.Wrap(err, "encode records")
	}
	if len(data) > maxEntryBytes {
		return nil, eris.Wrapf(platform.ErrRefused, "records of %d bytes do not fit into a log entry", len(data))
	}
	return &pendingAppend{records: slices.Clone(records), size: len(data), results: make([]state.Result, len(records)),
		unresolved: len(records), resolved: make(chan struct{})}, nil
}

func (f *Follower) enqueue(c *pendingAppend) {
	f.mu.Lock()
	for i := range c.records {
		f.pendingByID[c.records[i].ID] = c
	}
	f.queue = append(f.queue, c)
	f.mu.Unlock()
	f.wakeAppender()
}

// cancelAppend stops waiting for a call whose context has ended. Its error
// reports whether the records may still appear in the log.
func (f *Follower) cancelAppend(ctx context.Context, c *pendingAppend) ([]state.Result, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	select {
	case <-c.resolved:
		return c.results, c.err
	default:
	}
	f.remove(c)
	if c.maybeSent || c.inFlight {
		return nil, eris.Wrapf(platform.ErrUnavailable, "append was not confirmed: %v", context.Cause(ctx))
	}
	return nil, eris.Wrapf(platform.ErrRateLimited, "append was not sent: %v", context.Cause(ctx))
}

// remove takes a call out of the queue and the index by record id. The caller
// holds f.mu.
func (f *Follower) remove(c *pendingAppend) {
	for i := range c.records {
		delete(f.pendingByID, c.records[i].ID)
	}
	if i := slices.Index(f.queue, c); i >= 0 {
		f.queue = slices.Delete(f.queue, i, i+1)
	}
}

// resolve assigns results to the pending calls.
func (f *Follower) resolve(results []state.Result) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range results {
		c, ok := f.pendingByID[r.RecordID]
		if !ok {
			continue
		}
		i := slices.IndexFunc(c.records, func(x logrec.Record) bool { return x.ID == r.RecordID })
		if r.Reason == state.ReasonStaleID && c.reissues < maxReissues {
			f.reissue(c, i)
			continue
		}
		delete(f.pendingByID, r.RecordID)
		c.results[i] = r
		c.unresolved--
		if c.unresolved == 0 {
			f.remove(c)
			close(c.resolved)
		}
	}
}

// reissue gives a record a new id. The record was void because the time in its old
// id was too far from the log time. If the old id is too old, any other copy of the
// record is void too, since log time never goes back.
func (f *Follower) reissue(c *pendingAppend, i int) {
	delete(f.pendingByID, c.records[i].ID)
	c.records[i].ID = f.newID()
	f.pendingByID[c.records[i].ID] = c
	c.reissues++
	c.lastAttempt = time.Time{}
	if !slices.Contains(f.queue, c) && !c.inFlight {
		f.queue = append(f.queue, c)
	}
}

// appendLoop sends queued calls, limited to the append rate and to maxInFlight
// entries at a time.
func (f *Follower) appendLoop(ctx context.Context) error {
	inFlight := make(chan struct{}, maxInFlight)
	for {
		wait := f.untilReady()
		if wait > 0 {
			if err := f.waitForWork(ctx, wait); err != nil {
				return err
			}
			continue
		}
		if err := f.limiter.Wait(ctx); err != nil {
			return err
		}
		select {
		case inFlight <- struct{}{}:
		case <-ctx.Done():
			return ctx.Err()
		}
		batch := f.takeBatch()
		go func() {
			defer func() { <-inFlight }()
			f.send(ctx, batch)
		}()
	}
}

func (f *Follower) waitForWork(ctx context.Context, wait time.Duration) error {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-f.wake:
	case <-ctx.Done():
		return ctx.Err()
	}
	return nil
}

// idleWait is how long the append loop waits without work. New work wakes it
// earlier.
const idleWait = time.Hour

// untilReady returns the time until a queued call can be sent, 0 if one can be
// sent now.
func (f *Follower) untilReady() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	wait := idleWait
	for _, c := range f.queue {
		if f.ready(c, now) {
			return 0
		}
		if c.notBefore.After(now) {
			wait = min(wait, c.notBefore.Sub(now))
		}
	}
	return wait
}

// ready reports whether a call may be sent. After an append that may have
// reached the log, the log is first read to its end, so that records that did
// arrive are found instead of sent again.
func (f *Follower) ready(c *pendingAppend, now time.Time) bool {
	if now.Before(c.notBefore) {
		return false
	}
	return c.lastAttempt.IsZero() || f.endReadAt.After(c.lastAttempt)
}

// takeBatch removes ready calls from the queue, as many as fit into one entry.
func (f *Follower) takeBatch() []*pendingAppend {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	size := 0
	var batch, rest []*pendingAppend
	for _, c := range f.queue {
		if f.ready(c, now) && size+c.size <= maxEntryBytes {
			size += c.size
			c.inFlight = true
			batch = append(batch, c)
			continue
		}
		rest = append(rest, c)
	}
	f.queue = rest
	return batch
}

// send appends one entry and queues the calls again that are not resolved.
func (f *Follower) send(ctx context.Context, batch []*pendingAppend) {
	data, err := f.encode(batch)
	if err == nil && data != nil {
		_, err = f.config.Log.Append(ctx, data)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	for _, c := range batch {
		c.inFlight = false
		if c.unresolved == 0 || f.pendingByID[c.anyUnresolved(f)] != c {
			continue
		}
		switch {
		case errors.Is(err, platform.ErrRateLimited):
			c.notBefore = now.Add(f.config.ResendAfter)
		case errors.Is(err, platform.ErrRefused):
			f.fail(c, err)
			continue
		default:
			// After a response the records are in the log, otherwise they may be.
			// They are sent again if a later read to its end has not returned them.
			c.maybeSent = true
			c.lastAttempt = now
			c.notBefore = now.Add(f.config.ResendAfter)
		}
		f.queue = append(f.queue, c)
	}
	f.wakeAppender()
}

// anyUnresolved returns the id of a record that was not read back yet, or an
// empty string.
func (c *pendingAppend) anyUnresolved(f *Follower) string {
	for i := range c.records {
		if f.pendingByID[c.records[i].ID] == c {
			return c.records[i].ID
		}
	}
	return ""
}

func (f *Follower) fail(c *pendingAppend, err error) {
	f.remove(c)
	if c.maybeSent {
		err = eris.Wrapf(platform.ErrUnavailable, "append was refused after an attempt without a response: %v", err)
	}
	c.err = err
	close(c.resolved)
}

// encode encodes the records that were not read back yet. It returns nil if
// there are none.
func (f *Follower) encode(batch []*pendingAppend) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var records []logrec.Record
	for _, c := range batch {
		for i := range c.records {
			if f.pendingByID[c.records[i].ID] == c {
				records = append(records, c.records[i])
			}
		}
	}
	if len(records) == 0 {
		return nil, nil
	}
	return logrec.Encode(records)
}
