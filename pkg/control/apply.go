package control

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/redwingpath/redwingpath/pkg/freshness"
	"github.com/redwingpath/redwingpath/pkg/journal"
	"github.com/redwingpath/redwingpath/pkg/logrec"
	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/platform"
	"github.com/redwingpath/redwingpath/pkg/state"
)

// Errors returned by ApplyConfig.
var (
	// ErrNotAccepted means that the change was rejected and cannot take effect
	// later.
	ErrNotAccepted = errors.New("not accepted")
	// ErrOutcomeUnknown means that the change may have been accepted or may
	// still be. The operator has to check.
	ErrOutcomeUnknown = errors.New("outcome unknown")
)

const (
	// confirmInterval is the delay between two checks whether a majority has
	// applied a change.
	confirmInterval = 100 * time.Millisecond
)

// ConflictError reports why an appended change is void.
type ConflictError struct {
	Reason state.Reason
	Detail string
	// Winner is the conflicting change that was applied first. It is nil if the
	// change is invalid by itself.
	Winner *state.Winner
}

// Error implements error.
func (e *ConflictError) Error() string {
	if e.Winner == nil {
		return fmt.Sprintf("%s: %s", e.Reason, e.Detail)
	}
	return fmt.Sprintf("%s: %s; changed by %q at offset %d", e.Reason, e.Detail, e.Winner.Operator, e.Winner.Offset)
}

// ApplyResult locates an accepted change in the log.
type ApplyResult struct {
	RecordID string
	// Offset is the new version of all changed entities.
	Offset model.Offset
}

// ApplyConfig submits the changes of an operator, of which either all or none
// are accepted. Conflicts are decided by the order of the log. The host first
// checks that it reaches a majority of the members that can reach the log. After
// the append it waits until a majority has applied the change: members that vouch
// for each other during an outage of the log then always include one that has it.
func (c *Control) ApplyConfig(ctx context.Context, operator string, changes []logrec.Change) (ApplyResult, error) {
	if err := checkTimeZones(changes); err != nil {
		return ApplyResult{}, err
	}
	if err := c.checkCanAcceptChange(ctx); err != nil {
		return ApplyResult{}, err
	}
	record, err := logrec.New(logrec.KindConfig, logrec.ConfigChange{Operator: operator, Changes: changes})
	if err != nil {
		return ApplyResult{}, err
	}
	results, err := c.follower.AppendResults(ctx, record)
	if err != nil {
		return ApplyResult{}, appendError(err)
	}
	r := results[0]
	if !r.Applied {
		c.recordDecision(journal.KindConfig, r.RecordID, "refused", string(r.Reason)+": "+r.Detail)
		return ApplyResult{}, &ConflictError{Reason: r.Reason, Detail: r.Detail, Winner: r.Winner}
	}
	result := ApplyResult{RecordID: r.RecordID, Offset: r.Offset}
	if err := c.awaitMajority(ctx, r.Offset); err != nil {
		return result, err
	}
	c.recordDecision(journal.KindConfig, r.RecordID, "accepted", "operator "+operator)
	return result, nil
}

func appendError(err error) error {
	if eris.Is(err, platform.ErrUnavailable) {
		return eris.Wrapf(ErrOutcomeUnknown, "append: %v", err)
	}
	return eris.Wrapf(ErrNotAccepted, "append: %v", err)
}

// checkCanAcceptChange checks the freshness rules for accepting the change of an
// operator.
func (c *Control) checkCanAcceptChange(ctx context.Context) error {
	s := c.Tables()
	switch {
	case c.leaving.Load():
		return eris.Wrap(ErrNotAccepted, "this host is leaving")
	case !c.Fresh():
		return eris.Wrap(ErrNotAccepted, "this host's view of the log is out of date")
	case !c.countsTowardsMajority.Load():
		return eris.Wrap(ErrNotAccepted, "this host has not been answered by a majority since it joined")
	case !c.LogReachable():
		return eris.Wrap(ErrNotAccepted, "this host cannot reach the log")
	}
	if !c.majoritySatisfies(ctx, s, func(a freshness.Response) bool { return !a.CannotReachLog }) {
		return eris.Wrap(ErrNotAccepted, "no majority of the members can reach the log and this host")
	}
	return nil
}

// awaitMajority waits until a majority has applied the log up to an offset.
func (c *Control) awaitMajority(ctx context.Context, offset model.Offset) error {
	for {
		if c.majoritySatisfies(ctx, c.Tables(), func(a freshness.Response) bool { return a.Offset >= offset }) {
			return nil
		}
		select {
		case <-ctx.Done():
			return eris.Wrapf(ErrOutcomeUnknown, "the change is in the log at offset %d, but no majority has confirmed it", offset)
		case <-c.runCtx.Done():
			return eris.Wrap(ErrOutcomeUnknown, "this host is stopping")
		case <-time.After(confirmInterval):
		}
	}
}

// majoritySatisfies requests a vouch from all members and reports whether the
// responses of a majority satisfy a condition. It returns as soon as they do.
func (c *Control) majoritySatisfies(ctx context.Context, s *state.Snapshot, condition func(freshness.Response) bool) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	members := s.Members()
	received := make(chan freshness.Response, len(members))
	var group sync.WaitGroup
	for _, m := range members {
		if m.Host == c.config.Host || c.config.Peers == nil {
			continue
		}
		group.Go(func() {
			if response, err := c.requestVouch(ctx, m); err == nil {
				received <- response
			}
		})
	}
	go func() {
		group.Wait()
		close(received)
	}()
	responses := []freshness.Response{{Host: c.config.Host, Incarnation: c.config.Incarnation, Sent: time.Now(),
		CannotReachLog: !c.LogReachable(), Offset: s.Offset(), Counts: c.countsTowardsMajority.Load()}}
	for {
		if freshness.MajoritySatisfies(s, responses, condition) {
			return true
		}
		response, ok := <-received
		if !ok {
			return false
		}
		responses = append(responses, response)
	}
}

// checkTimeZones rejects unknown time zones. The tables cannot validate them,
// since hosts may have different time zone data.
func checkTimeZones(changes []logrec.Change) error {
	for _, ch := range changes {
		if ch.Entity != logrec.EntityShop || ch.Delete {
			continue
		}
		var shop model.Shop
		if json.Unmarshal(ch.Value, &shop) != nil {
			continue
		}
		if _, err := time.LoadLocation(shop.TimeZone); err != nil {
			return &ConflictError{Reason: state.ReasonInvalid, Detail: fmt.Sprintf("shop %s: %v", ch.ID, err)}
		}
	}
	return nil
}
