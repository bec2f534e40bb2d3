package node

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/redwingpath/redwingpath/pkg/control"
	"github.com/redwingpath/redwingpath/pkg/entry"
	"github.com/redwingpath/redwingpath/pkg/logrec"
	"github.com/redwingpath/redwingpath/pkg/operator"
	"github.com/redwingpath/redwingpath/pkg/platform"
	"github.com/redwingpath/redwingpath/pkg/routing"
	"github.com/redwingpath/redwingpath/pkg/state"
)

// View implements operator.Viewer.
func (n *node) View() state.View { return n.control.Snapshot() }

// Ready implements operator.Health.
func (n *node) Ready() (bool, string) {
	if n.stopping.Load() {
		return false, "shutting down"
	}
	if ready, reason := n.control.Health(); !ready {
		return false, reason
	}
	if !n.hadAllCoordinators() {
		return false, "some rates have no coordinator yet"
	}
	return true, ""
}

// hadAllCoordinators reports whether an earlier call or this one found a holder for
// every rate shard. Before that, requests would be refused for lack of a rate grant.
// The loss of a coordinator later does not make the host unready, since hosts admit
// requests from their leases of the rate until a new coordinator takes over.
func (n *node) hadAllCoordinators() bool {
	if n.coordinatorsSeen.Load() {
		return true
	}
	for _, name := range state.OrgShardNames() {
		if _, ok := n.shardHolder(name); !ok {
			return false
		}
	}
	n.coordinatorsSeen.Store(true)
	return true
}

// dumpTimeout bounds the wait for the control plane's part of a dump.
const dumpTimeout = 2 * time.Second

// dump is the process state that operators can read.
type dump struct {
	Control  control.Dump      `json:"control"`
	Entry    entry.Dump        `json:"entry"`
	Backends []routing.Backend `json:"backends"`
	// Error says why the control plane's part is missing.
	Error string `json:"error,omitempty"`
}

// Dump implements operator.Dumper.
func (n *node) Dump() any {
	ctx, cancel := context.WithTimeout(context.Background(), dumpTimeout)
	defer cancel()
	d := dump{Entry: n.handler.Dump(), Backends: n.table.Backends()}
	var err error
	if d.Control, err = n.control.Dump(ctx); err != nil {
		d.Error = err.Error()
	}
	return d
}

// recordHistory publishes the offset of an applied log entry and records the
// entry's accepted configuration changes in the history.
func (n *node) recordHistory(e platform.LogEntry, results []state.Result) {
	n.metrics.LogOffset.Set(float64(e.Offset))
	applied := make(map[string]bool, len(results))
	for _, r := range results {
		if r.Applied && r.Kind == logrec.KindConfig {
			applied[r.RecordID] = true
		}
	}
	if len(applied) == 0 {
		return
	}
	records, _ := logrec.Decode(e.Data)
	for i := range records {
		if !applied[records[i].ID] {
			continue
		}
		if change, err := logrec.DecodeBody[logrec.ConfigChange](&records[i]); err == nil {
			n.history.Record(e.Offset, time.UnixMilli(e.TimeMS), &change)
		}
	}
}

// configurer implements operator.Configurer with the control plane and maps its
// errors to those of the operator interface.
type configurer struct {
	node *node
}

// ApplyConfig implements operator.Configurer.
func (c configurer) ApplyConfig(ctx context.Context, name string, changes []logrec.Change) (operator.ApplyResult, error) {
	ctx, cancel := context.WithTimeout(ctx, c.node.settings.Timings.ConfigTimeout)
	defer cancel()
	result, err := c.node.control.ApplyConfig(ctx, name, changes)
	return operator.ApplyResult{Offset: result.Offset}, configError(err, changes)
}

func configError(err error, changes []logrec.Change) error {
	var conflict *control.ConflictError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &conflict) && conflict.Reason == state.ReasonConflict:
		return operatorConflict(conflict, changes)
	case eris.Is(err, control.ErrNotAccepted):
		return eris.Wrap(operator.ErrNotAccepted, err.Error())
	case eris.Is(err, control.ErrOutcomeUnknown):
		return eris.Wrap(platform.ErrUnavailable, err.Error())
	default:
		return err
	}
}

// operatorConflict describes the entity whose version is not the expected one,
// and the change that was applied first. If that change is not known, it names the
// first of changes.
func operatorConflict(c *control.ConflictError, changes []logrec.Change) error {
	conflict := &operator.ConflictError{}
	if len(changes) > 0 {
		conflict.Entity, conflict.ID, conflict.Expect = changes[0].Entity, changes[0].ID, changes[0].Expect
	}
	if w := c.Winner; w != nil {
		conflict.Entity, conflict.ID, conflict.Current = w.Change.Entity, w.Change.ID, w.Offset
		conflict.Winner = &operator.HistoryEntry{
			Version: w.Offset, Time: time.UnixMilli(w.TimeMS), Operator: w.Operator,
			Delete: w.Change.Delete, Value: w.Change.Value,
		}
	}
	for _, change := range changes {
		if change.Entity == conflict.Entity && change.ID == conflict.ID {
			conflict.Expect = change.Expect
		}
	}
	return conflict
}
