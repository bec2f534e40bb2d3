package mesh

import (
	"slices"
	"time"
)

// markAlive records that a member is alive now.
func (m *Mesh) markAlive(from Member) { m.markAliveAt(from, time.Now()) }

// markAliveAt records that a member was alive at a time. It returns false for this
// host itself and for a host that has stopped.
func (m *Mesh) markAliveAt(from Member, at time.Time) bool {
	if from.Host == m.deps.Self.Host || from.Host == "" {
		return false
	}
	m.mu.Lock()
	if m.hasStopped(from) {
		m.mu.Unlock()
		return false
	}
	delete(m.stopped, from.Host)
	s := m.members[from.Host]
	if s == nil || s.Incarnation != from.Incarnation || s.Address != from.Address {
		s = &memberState{lost: true}
		m.members[from.Host] = s
		m.live = nil
	}
	// A seed is listed under its address until its host name is known.
	if p := m.members[from.Address]; p != nil && from.Host != from.Address {
		delete(m.members, from.Address)
	}
	s.Member = from
	if at.After(s.lastHeard) {
		s.lastHeard = at
	}
	back := s.lost
	s.lost, s.everHeard, s.unresponsive = false, true, false
	if back {
		m.live = nil
	}
	m.mu.Unlock()
	if back {
		go m.deps.OnPeerBack(from.Host)
	}
	return true
}

// acceptNumber reports whether an update is newer than all earlier ones of its
// sender, and records its number if so.
func (m *Mesh) acceptNumber(host string, updateNumber uint64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.members[host]
	if s == nil || updateNumber <= s.updateNumber {
		return false
	}
	s.updateNumber = updateNumber
	return true
}

// hasStopped reports whether this incarnation of a host has announced its stop. The
// caller holds m.mu.
func (m *Mesh) hasStopped(member Member) bool {
	incarnation, known := m.stopped[member.Host]
	return known && incarnation == member.Incarnation
}

// AddMembers adds hosts that are known from other sources, such as a peer's member
// list. They count as lost until they are heard from.
func (m *Mesh) AddMembers(members []Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, member := range members {
		if member.Host == m.deps.Self.Host || m.members[member.Host] != nil || member.Address == "" || m.hasStopped(member) {
			continue
		}
		m.members[member.Host] = &memberState{Member: member, lastHeard: time.Now().Add(-silenceTimeout), lost: true}
	}
}

// liveCacheTTL is how long a result of Live is reused. Many parts of a host call it in
// each round.
const liveCacheTTL = 50 * time.Millisecond

// Live returns the members that were heard from within silenceTimeout, sorted by
// name. Callers must not modify the list.
func (m *Mesh) Live() []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if m.live != nil && now.Sub(m.liveAt) < liveCacheTTL {
		return m.live
	}
	live := []Member{}
	for host, s := range m.members {
		if now.Sub(s.lastHeard) <= silenceTimeout && host != s.Address {
			live = append(live, s.Member)
		}
	}
	slices.SortFunc(live, func(a, b Member) int {
		if a.Host < b.Host {
			return -1
		}
		return 1
	})
	m.live, m.liveAt = live, now
	return live
}

// HeardWithin returns the names of the hosts that were heard from within a time, and this
// host's.
func (m *Mesh) HeardWithin(limit time.Duration) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	names := []string{m.deps.Self.Host}
	for host, s := range m.members {
		if now.Sub(s.lastHeard) <= limit && host != s.Address {
			names = append(names, host)
		}
	}
	return names
}

// Known returns the names of all members, including silent ones that are not removed yet, and
// this host's.
func (m *Mesh) Known() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	names := []string{m.deps.Self.Host}
	for host, s := range m.members {
		if host != s.Address {
			names = append(names, host)
		}
	}
	return names
}

// MemberCount returns the number of members, including silent ones that are not removed
// yet.
func (m *Mesh) MemberCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.members)
}

// maxReadAge is how old a host's last read may be for the host to count as reading
// the store. The time until an update arrives is added to it.
const maxReadAge = 1200 * time.Millisecond

// IsStoreReader reports whether this host must read the store for its data centre: no
// live host of the data centre with an earlier name reads it successfully.
func (m *Mesh) IsStoreReader() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	for _, s := range m.members {
		if s.DataCentre == m.deps.Self.DataCentre && s.Host < m.deps.Self.Host &&
			now.Sub(s.lastHeard) <= silenceTimeout && now.Sub(s.lastStoreRead) <= maxReadAge+m.updateIntervalLocked(now) {
			return false
		}
	}
	return true
}

// Rank returns the number of live members whose names sort before this host's. Hosts
// that could all do the same work use it to take turns.
func (m *Mesh) Rank() int {
	before, _ := m.rankAmong(func(Member) bool { return true })
	return before
}

// RankInDataCentre returns this host's rank among the live hosts of its data centre, and
// their number.
func (m *Mesh) RankInDataCentre() (rank, hosts int) {
	return m.rankAmong(func(l Member) bool { return l.DataCentre == m.deps.Self.DataCentre })
}

// rankAmong returns the number of live members of a group whose names sort before
// this host's, and the size of the group with this host.
func (m *Mesh) rankAmong(in func(Member) bool) (before, all int) {
	all = 1
	for _, l := range m.Live() {
		if !in(l) {
			continue
		}
		all++
		if l.Host < m.deps.Self.Host {
			before++
		}
	}
	return before, all
}
