package control

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/redwingpath/redwingpath/pkg/authority"
	"github.com/redwingpath/redwingpath/pkg/freshness"
	"github.com/redwingpath/redwingpath/pkg/journal"
	"github.com/redwingpath/redwingpath/pkg/state"
)

// throttle limits how often periodic work starts. It maps the name of the work to
// the time of its last start.
type throttle map[string]time.Time

// allow reports whether the interval has passed since the last start, and if so
// records a new start.
func (t throttle) allow(name string, now time.Time, interval time.Duration) bool {
	if last, ok := t[name]; ok && now.Sub(last) < interval {
		return false
	}
	t[name] = now
	return true
}

// loop runs commands and ticks until the context ends.
func (c *Control) loop(ctx context.Context) error {
	ticker := time.NewTicker(c.config.Tick)
	defer ticker.Stop()
	for {
		select {
		case command := <-c.commands:
			command()
		case <-ticker.C:
			c.tick(time.Now())
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

// runInLoop runs a function on the control goroutine and waits for its end.
func (c *Control) runInLoop(ctx context.Context, command func()) error {
	done := make(chan struct{})
	run := func() {
		defer close(done)
		command()
	}
	select {
	case c.commands <- run:
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "control command")
	case <-c.runCtx.Done():
		return eris.Wrap(context.Cause(c.runCtx), "control has ended")
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "control command")
	case <-c.runCtx.Done():
		return eris.Wrap(context.Cause(c.runCtx), "control has ended")
	}
}

// startJob runs work that may block in its own goroutine, unless work with the same
// name is still running. Only the control goroutine may call it.
func (c *Control) startJob(name string, work func(ctx context.Context)) {
	if c.jobs[name] {
		return
	}
	c.jobs[name] = true
	c.jobGroup.Go(func() {
		work(c.runCtx)
		_ = c.runInLoop(c.runCtx, func() { delete(c.jobs, name) })
	})
}

// tick renews or renounces authority and runs the periodic work.
func (c *Control) tick(now time.Time) {
	s := c.Tables()
	if c.leaseManager.Tick(now, s) {
		c.pauses++
		c.recordDecision(journal.KindAuthority, "all shards", "given up", "the tick was late, so the process counts as paused")
	}
	if c.leaving.Load() {
		c.leaseManager.RenounceAll(s)
	}
	c.lastTick.Store(&now)
	c.renewLease(now)
	c.updateMembership(now, s)
	c.disseminate(now, s)
	c.updateShards(now, s)
	c.updateUsageWindows(now, s)
	c.checkpointIfDue(s)
	for _, handler := range c.config.TickHandlers {
		handler.Tick(now, s)
	}
}

// renewLease publishes until when the view is fresh, and the lease that follows
// from it.
func (c *Control) renewLease(now time.Time) {
	s := c.Tables()
	until := c.tracker.FreshUntil(now, s, c.cannotReachLog(now))
	c.freshUntil.Store(&until)
	read := c.tracker.LogReadAt()
	c.logReadAt.Store(&read)
	c.lease.Store(c.leaseManager.Lease(s, until))
	c.countsTowardsMajority.Store(c.tracker.Counts(s) && !c.leaving.Load())
}

// publishSnapshot makes the tables visible to readers.
func (c *Control) publishSnapshot() {
	s := c.tables.Snapshot()
	c.snapshot.Store(s)
	// The lease is updated at once, so that a lost shard is not used until the
	// next tick.
	if until := c.freshUntil.Load(); until != nil {
		c.lease.Store(c.leaseManager.Lease(s, *until))
	}
}

func (c *Control) replaceTables(tables *state.Tables) {
	tables.SetOwner(c.config.Host, c.config.Incarnation)
	c.tables = tables
	if c.freshUntil.Load() == nil {
		c.freshUntil.Store(&time.Time{})
		c.logReadAt.Store(&time.Time{})
		c.lastTick.Store(&time.Time{})
	}
	c.publishSnapshot()
}

// authorityInput returns the input for the decisions of package authority.
func (c *Control) authorityInput(now time.Time, s *state.Snapshot) authority.Input {
	return authority.Input{
		Self:  authority.Host{Host: c.config.Host, Incarnation: c.config.Incarnation},
		Rules: c.config.Rules, View: s, Peers: c.peers, Now: now,
	}
}

// recordDecision adds a decision to the journal.
func (c *Control) recordDecision(kind journal.Kind, subject, decision, reason string) {
	c.config.Journal.Add(journal.Entry{Kind: kind, Subject: subject, Decision: decision, Reason: reason})
}

// member returns this host's row of the member table and reports whether this
// incarnation is a member.
func (c *Control) member(s *state.Snapshot) (state.Member, bool) {
	m, ok := s.Member(c.config.Host)
	return m, ok && m.Incarnation == c.config.Incarnation
}

var _ freshness.Members = (*state.Snapshot)(nil)
