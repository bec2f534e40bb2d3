package control

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/redwingpath/redwingpath/pkg/peer"
)

var _ peer.Handler = (*Control)(nil)

// Tail implements peer.Handler. If the caller is ahead and this host cannot reach
// the log, this host requests the missing entries from the caller.
func (c *Control) Tail(args peer.TailArgs) (peer.TailReply, error) {
	if args.Next > c.Tables().Offset()+1 && !c.LogReachable() {
		c.requestPull(args)
	}
	if args.Want == 0 {
		return peer.TailReply{}, nil
	}
	// The evidence of freshness is read before the entries, so that it covers no
	// more than they contain.
	read := *c.logReadAt.Load()
	entries, next, atEnd, ok := c.recent.since(args.Want)
	if !ok {
		return peer.TailReply{Dropped: true}, nil
	}
	return peer.TailReply{
		From: args.Want, Next: next, Entries: entries, AtEnd: atEnd,
		HasRead: !read.IsZero(), ReadAge: time.Since(read),
	}, nil
}

// requestPull makes the control goroutine pull entries from the caller.
func (c *Control) requestPull(args peer.TailArgs) {
	select {
	case c.commands <- func() {
		if m, ok := c.Tables().Member(args.Host); ok && m.Incarnation == args.Incarnation {
			c.pull(m)
		}
	}:
	default:
		// The control goroutine is busy; the periodic pull fetches the entries.
	}
}

// Vouch implements peer.Handler.
func (c *Control) Vouch(peer.VouchArgs) (peer.VouchReply, error) {
	if err := c.checkRecentTick(); err != nil {
		return peer.VouchReply{}, err
	}
	return peer.VouchReply{
		Host: c.config.Host, Incarnation: c.config.Incarnation,
		CannotReachLog: !c.LogReachable(), Offset: c.Tables().Offset(), Counts: c.countsTowardsMajority.Load(),
	}, nil
}

// Status implements peer.Handler.
func (c *Control) Status(peer.StatusArgs) (peer.StatusReply, error) {
	if err := c.checkRecentTick(); err != nil {
		return peer.StatusReply{}, err
	}
	return peer.StatusReply{
		Host: c.config.Host, Incarnation: c.config.Incarnation,
		Offset: c.Tables().Offset(), Leaving: c.leaving.Load(),
		Able: c.Fresh() && c.LogReachable(),
	}, nil
}

// checkRecentTick returns an error while the control goroutine is late. Vouch and
// Status then fail, so that other hosts take over the shards of this host.
func (c *Control) checkRecentTick() error {
	if late := time.Since(*c.lastTick.Load()); late > c.config.Rules.MaxTickGap {
		return eris.New("the control goroutine is late")
	}
	return nil
}

// Checkpoint implements peer.Handler.
func (c *Control) Checkpoint(peer.CheckpointArgs) (peer.CheckpointReply, error) {
	if !c.ready.Load() {
		return peer.CheckpointReply{}, eris.New("this host has not read the log yet")
	}
	s := c.Tables()
	data, err := s.EncodeCompressed()
	return peer.CheckpointReply{Offset: s.Offset(), Data: data}, err
}
