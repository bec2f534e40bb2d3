package check

import (
	"iter"
	"slices"

	"github.com/redwingpath/redwingpath/pkg/logrec"
	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/standin/record"
)

// loggedChange is a configuration change in the log. If no operator received a
// confirmation, the response may have been lost or the change may have lost a
// conflict, so that it is unknown whether the change came into force.
type loggedChange struct {
	Change
	confirmed bool
}

// changesOf returns the changes of one entity in log order.
func (r *Recording) changesOf(entity logrec.EntityKind, id string) []loggedChange {
	var list []loggedChange
	for i := range r.Changes {
		if c := &r.Changes[i]; c.Entity == entity && c.ID == id {
			list = append(list, loggedChange{*c, true})
		}
	}
	for _, c := range r.appendedChangesOf(entity, id) {
		known := slices.ContainsFunc(list, func(l loggedChange) bool { return l.Version == c.Version })
		if !known {
			list = append(list, loggedChange{c, false})
		}
	}
	slices.SortStableFunc(list, func(a, b loggedChange) int { return int(int64(a.Version) - int64(b.Version)) })
	return list
}

// bootstrapOffset is the offset of the entry with the initial entities, which is
// in force before the first call.
const bootstrapOffset model.Offset = 1

func (r *Recording) appendedChangesOf(entity logrec.EntityKind, id string) []Change {
	var list []Change
	for e, c := range r.appendedChanges() {
		if e.Offset != bootstrapOffset && c.Entity == entity && c.ID == id {
			list = append(list, Change{AcceptedNS: e.TimeNS, Entity: entity, ID: id, Version: e.Offset, Deleted: c.Delete})
		}
	}
	return list
}

// appendedChanges yields all configuration changes in the log in order, whether or
// not they came into force.
func (r *Recording) appendedChanges() iter.Seq2[*record.Event, logrec.Change] {
	return func(yield func(*record.Event, logrec.Change) bool) {
		for _, e := range r.eventsOfKind(record.Appended) {
			for _, c := range changesIn(e) {
				if !yield(e, c) {
					return
				}
			}
		}
	}
}

func changesIn(e *record.Event) []logrec.Change {
	var changes []logrec.Change
	records, _ := logrec.Decode(e.Body)
	for i := range records {
		if records[i].Kind != logrec.KindConfig {
			continue
		}
		if body, err := logrec.DecodeBody[logrec.ConfigChange](&records[i]); err == nil {
			changes = append(changes, body.Changes...)
		}
	}
	return changes
}

// mayBeDeleted reports whether a change after the given version deletes the
// entity, or would if it came into force.
func (r *Recording) mayBeDeleted(entity logrec.EntityKind, id string, after model.Offset) bool {
	return slices.ContainsFunc(r.changesOf(entity, id), func(c loggedChange) bool {
		return c.Deleted && c.Version > after
	})
}

// keyChanges holds the changes of each key in log order.
type keyChanges map[model.KeyID]changeList

type changeList []loggedChange

func (r *Recording) changesOfKeys() keyChanges {
	changes := keyChanges{}
	for i := range r.Keys {
		id := r.Keys[i].ID
		if list := r.changesOf(logrec.EntityKey, string(id)); len(list) > 0 {
			changes[id] = list
		}
	}
	return changes
}

func (c *loggedChange) keyValid() bool { return !c.Revoked && !c.Deleted }

// revokedBefore returns the revocation that holds from before the given time to
// the end of the run, so that no later grant can explain a use of the key, or nil.
func (l changeList) revokedBefore(atNS int64) *Change {
	var last *Change
	for i := range l {
		c := &l[i]
		switch {
		case !c.confirmed || c.keyValid():
			last = nil
		case last == nil:
			last = &c.Change
		}
	}
	if last == nil || last.AcceptedNS >= atNS {
		return nil
	}
	return last
}

// inForce returns the change that must be in force for a call: the last one
// before it. It returns nil if that change is unconfirmed, or if another change was
// accepted within the limit before the call, during it or within the limit after it.
func (l changeList) inForce(c *Call, limit int64) *loggedChange {
	var last *loggedChange
	for i := range l {
		change := &l[i]
		if change.AcceptedNS+limit < c.SentNS {
			last = change
			continue
		}
		if change.AcceptedNS-limit <= c.EndNS {
			return nil
		}
	}
	if last == nil || !last.confirmed {
		return nil
	}
	return last
}
