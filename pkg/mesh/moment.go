package mesh

import "time"

// A message may be on its way for long, or lie unread in a host that is frozen, and the
// clocks of hosts differ. So a host states in a message by the receiver's own clock when it
// has described its copies: the moment in the receiver's last reply, and the time since that
// reply arrived.

// moment returns this host's moment at a time.
func (m *Mesh) moment(at time.Time) Moment {
	return Moment{Incarnation: incarnationHash(m.deps.Self.Incarnation), Elapsed: at.Sub(m.started)}
}

// timeOf returns the time of a moment of this host, the zero time for the moment of another
// incarnation.
func (m *Mesh) timeOf(moment Moment) time.Time {
	if moment.Incarnation != incarnationHash(m.deps.Self.Incarnation) {
		return time.Time{}
	}
	// Clocks of different rates can lead to a moment that has not come yet.
	return m.started.Add(min(moment.Elapsed, time.Since(m.started)))
}

// momentOf returns a moment of the member that is not after a time of this host. The caller
// holds Mesh.mu.
func (s *memberState) momentOf(at time.Time) Moment {
	if s.lastMoment == (Moment{}) {
		return Moment{}
	}
	return Moment{Incarnation: s.lastMoment.Incarnation, Elapsed: s.lastMoment.Elapsed + at.Sub(s.lastMomentAt)}
}

// recordMoment records the moment in a member's reply that arrived at a time.
func (m *Mesh) recordMoment(host string, moment Moment, at time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s := m.members[host]; s != nil {
		s.lastMoment, s.lastMomentAt = moment, at
	}
}
