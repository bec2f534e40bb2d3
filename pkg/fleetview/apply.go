package fleetview

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/redwingpath/redwingpath/pkg/engine"
	"github.com/redwingpath/redwingpath/pkg/journal"
	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/platform"
	"github.com/redwingpath/redwingpath/pkg/routing"
	"github.com/redwingpath/redwingpath/pkg/state"
)

// applyList replaces the list of backend servers: it starts and stops pollers and
// updates the routing table. A list that is older than the current one is ignored.
func (v *View) applyList(ctx context.Context, list platform.BackendList, pollers *sync.WaitGroup) {
	wanted := v.subset(list.Backends)
	v.mu.Lock()
	// An older list could make a backend server available again that is leaving.
	if list.AsOfMS < v.backendList.AsOfMS {
		v.mu.Unlock()
		v.updateTable()
		return
	}
	v.backendList = list
	v.listReceivedAt = time.Now()
	var gone []model.BackendID
	for id, t := range v.backends {
		if _, ok := wanted[id]; !ok {
			t.stop()
			delete(v.backends, id)
			gone = append(gone, id)
		}
	}
	for id, b := range wanted {
		v.track(ctx, id, b, pollers)
	}
	v.mu.Unlock()
	for _, id := range gone {
		v.onLeaving(id, time.Now())
		v.table.RemoveBackend(id)
		v.addJournalEntry(id, "removed", "no longer listed by the platform")
	}
	v.updateTable()
}

func (t *trackedBackend) stop() {
	if t.cancel != nil {
		t.cancel()
	}
}

// track adds or updates one backend server. The caller holds the lock.
func (v *View) track(ctx context.Context, id model.BackendID, b platform.Backend, pollers *sync.WaitGroup) {
	t, ok := v.backends[id]
	if !ok {
		t = &trackedBackend{}
		v.backends[id] = t
	}
	t.listed = b
	if ok || b.PoolKind != model.PoolEngine {
		return
	}
	pollCtx, cancel := context.WithCancel(ctx)
	t.cancel = cancel
	pollers.Go(func() { v.pollEngine(pollCtx, id, b.URL) })
}

// subset returns the backend servers that this host tracks: those of its region
// that have an address and are not gone, at most SubsetSize per pool.
func (v *View) subset(all []platform.Backend) map[model.BackendID]platform.Backend {
	byID := make(map[model.BackendID]platform.Backend, len(all))
	byPool := make(map[model.PoolName][]model.BackendID)
	for _, b := range all {
		if b.Region != v.settings.Region || b.State == platform.BackendGone || b.URL == "" {
			continue
		}
		byID[b.ID] = b
		byPool[b.Pool] = append(byPool[b.Pool], b.ID)
	}
	picked := make(map[model.BackendID]platform.Backend)
	for _, ids := range byPool {
		if len(ids) > v.settings.SubsetSize {
			ids = routing.Subset(v.settings.Host, ids, v.settings.SubsetSize)
		}
		for _, id := range ids {
			picked[id] = byID[id]
		}
	}
	return picked
}

// updateTable writes every tracked backend server to the routing table, with the
// availability that follows from the list, its engine state, drains and open
// orders.
func (v *View) updateTable() {
	// Readiness must be read before the snapshot: only a snapshot that is taken
	// after the host became ready is sure to hold all drains.
	isReady := v.isReady()
	view := v.snapshot()
	openOrders := make(map[model.BackendID]string)
	for _, intent := range view.OpenIntents() {
		if intent.Backend != "" {
			openOrders[intent.Backend] = intent.OrderID
		}
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.ready = v.ready || isReady
	for id, t := range v.backends {
		if !v.ready {
			v.table.UpdateBackend(t.routingBackend("configuration not read yet"))
			continue
		}
		reason := unavailableReason(view, t, openOrders[id], v.backendList.AsOfMS)
		v.recordAvailability(id, t, reason)
		v.table.UpdateBackend(t.routingBackend(reason))
	}
}

// unavailableReason returns why a backend server takes no new work, empty if it
// takes work.
func unavailableReason(view state.View, t *trackedBackend, orderID string, asOfMS int64) string {
	b := &t.listed
	switch {
	case b.State == platform.BackendLeaving || b.LeavesAtMS > 0 && b.LeavesAtMS <= asOfMS:
		return "leaving"
	case b.State != platform.BackendLive:
		return string(b.State)
	case orderID != "":
		return "carries out order " + orderID
	}
	if drain, _, ok := view.Drain(b.ID); ok {
		return drainedReasonPrefix + drain.Reason
	}
	if b.PoolKind == model.PoolEngine && !t.stateKnown {
		return "state not known yet"
	}
	if t.state.Changing {
		return "changing"
	}
	return ""
}

func (t *trackedBackend) routingBackend(reason string) routing.Backend {
	b := &t.listed
	return routing.Backend{
		ID: b.ID, Pool: b.Pool, PoolKind: b.PoolKind, DataCentre: b.DataCentre, Kind: b.Kind, URL: b.URL,
		Available: reason == "", Reason: reason,
		Adapters: t.state.Adapters, Version: t.state.Version,
		Load: engine.LoadReport{Backend: b.ID, Role: t.state.Role},
	}
}

// recordAvailability writes a change of the unavailability reason to the journal
// and notifies the observer. The caller holds the lock.
func (v *View) recordAvailability(id model.BackendID, t *trackedBackend, reason string) {
	if reason == t.lastReason {
		return
	}
	t.lastReason = reason
	if reason == "" {
		v.onStaying(id)
		v.addJournalEntry(id, "available", "listed as live")
		return
	}
	v.addJournalEntry(id, "unavailable", reason)
	switch {
	case t.listed.State == platform.BackendLeaving:
		v.onLeaving(id, v.leaveDeadline(&t.listed))
	case strings.HasPrefix(reason, drainedReasonPrefix):
		v.onLeaving(id, time.Now().Add(drainGrace))
	}
}

// drainGrace is the time within which streams are moved off a drained backend
// server. A move with its KV cache takes well under a second; the rest is for
// streams that wait for a free engine.
const drainGrace = 10 * time.Second

// drainedReasonPrefix is the prefix of the unavailability reason of a drained server.
const drainedReasonPrefix = "drained: "

// leaveDeadline converts the platform's leave time to the local clock: the time
// left at the list's own timestamp is counted from the list's arrival.
func (v *View) leaveDeadline(b *platform.Backend) time.Time {
	if b.LeavesAtMS == 0 {
		return time.Time{}
	}
	left := time.Duration(b.LeavesAtMS-v.backendList.AsOfMS) * time.Millisecond
	return v.listReceivedAt.Add(left)
}

func (v *View) addJournalEntry(id model.BackendID, decision, reason string) {
	v.journal.Add(journal.Entry{Kind: journal.KindBackend, Subject: string(id), Decision: decision, Reason: reason})
}
