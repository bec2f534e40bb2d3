package authority

import (
	"maps"
	"time"

	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/state"
)

// Lease is this host's authority over shards as of one tick. It is immutable and
// expires unless a later tick renews it, so that a process that resumes after a
// pause finds it expired in whichever goroutine checks first.
type Lease struct {
	held  map[model.ShardName]model.Offset
	until time.Time
}

// May reports whether the host may act as the holder of a shard, and returns the
// fencing token to use.
func (l *Lease) May(shard model.ShardName, now time.Time) (model.Offset, bool) {
	if l == nil || !now.Before(l.until) {
		return 0, false
	}
	fence, ok := l.held[shard]
	return fence, ok
}

// Held returns the shards of the lease with their fencing tokens.
func (l *Lease) Held() map[model.ShardName]model.Offset {
	if l == nil {
		return nil
	}
	return maps.Clone(l.held)
}

// Until returns the time at which the lease expires.
func (l *Lease) Until() time.Time {
	if l == nil {
		return time.Time{}
	}
	return l.until
}

// LeaseManager issues a lease at each tick and tracks the claims that this host has
// given up. It must be used by one goroutine only.
type LeaseManager struct {
	self     Host
	rules    Rules
	lastTick time.Time
	// renounced holds the fencing tokens of the claims that were given up. The
	// host does not act under them again, even while the log still names it as
	// the holder.
	renounced map[model.ShardName]model.Offset
}

// NewLeaseManager returns a LeaseManager that has not ticked yet.
func NewLeaseManager(self Host, rules Rules) *LeaseManager {
	return &LeaseManager{self: self, rules: rules.WithDefaults(), renounced: map[model.ShardName]model.Offset{}}
}

// Tick begins a tick. It reports whether the tick is so late that the process
// counts as paused. All claims are then given up at once, before the host acts
// on them.
func (m *LeaseManager) Tick(now time.Time, view state.View) (paused bool) {
	paused = !m.lastTick.IsZero() && now.Sub(m.lastTick) > m.rules.MaxTickGap
	m.lastTick = now
	if paused {
		m.RenounceAll(view)
	}
	return paused
}

// RenounceAll gives up all shards that this host holds according to the tables.
func (m *LeaseManager) RenounceAll(view state.View) {
	for name, fence := range m.heldInTables(view) {
		m.renounced[name] = fence
	}
}

// Renounce gives up the claim to a shard under a fencing token.
func (m *LeaseManager) Renounce(shard model.ShardName, fence model.Offset) {
	m.renounced[shard] = fence
}

// heldInTables returns the shards that this host holds according to the tables,
// with their fencing tokens.
func (m *LeaseManager) heldInTables(view state.View) map[model.ShardName]model.Offset {
	held := map[model.ShardName]model.Offset{}
	for _, s := range view.Shards() {
		if s.Host == m.self.Host && s.Incarnation == m.self.Incarnation {
			held[s.Name] = s.Fence
		}
	}
	return held
}

// Lease returns the lease as of this tick. It lasts until the next tick would
// count as late or the view may be out of date.
func (m *LeaseManager) Lease(view state.View, freshUntil time.Time) *Lease {
	held := m.heldInTables(view)
	for name, fence := range held {
		if m.renounced[name] >= fence {
			delete(held, name)
		}
	}
	until := m.lastTick.Add(m.rules.MaxTickGap)
	if freshUntil.Before(until) {
		until = freshUntil
	}
	return &Lease{held: held, until: until}
}

// Renounced returns the claims that were given up but are still in the tables,
// with their fencing tokens. The caller writes release records for them.
func (m *LeaseManager) Renounced(view state.View) map[model.ShardName]model.Offset {
	claims := map[model.ShardName]model.Offset{}
	for name, fence := range m.heldInTables(view) {
		if m.renounced[name] >= fence {
			claims[name] = fence
		}
	}
	return claims
}
