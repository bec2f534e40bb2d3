package mesh

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"
)

// Exchanges through relays. Each host sends its updates to one relay of its data centre
// and receives the updates of all other hosts from it. Relays request from each other
// the updates that their hosts sent to them.
const (
	// maxDirectPeers is the number of peers above which hosts use relays. Up to it, all
	// hosts together send at most 3,000 messages/s.
	maxDirectPeers = 24
	// relayTimeout bounds an exchange with a relay, so that updates stay recent enough
	// for quotas when a relay fails.
	relayTimeout = 400 * time.Millisecond
	// failedRelayDelay is how long a host avoids a relay that has not responded.
	failedRelayDelay = 2 * time.Second
	// relayRoleTTL is how long a host acts as a relay after another host requested
	// bundles from it, and how long a host counts as a relay after it reported that it
	// is one.
	relayRoleTTL = 2 * time.Second
	// maxCountsReceivers bounds the members that receive usage counts in a round. While
	// the holder of the duties is not known, the first members by name are expected to
	// claim them.
	maxCountsReceivers = 4
	// probeAfter is the silence after which a member is probed directly.
	probeAfter = time.Second
	// maxProbes bounds the members that are probed directly in a round.
	maxProbes = 4
)

// usesRelays reports whether the host exchanges updates through relays.
func (m *Mesh) usesRelays(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.usesRelaysLocked(now)
}

// usesRelaysLocked is usesRelays for callers that hold m.mu. If other hosts use relays,
// this host does too, since they send it no updates directly.
func (m *Mesh) usesRelaysLocked(now time.Time) bool {
	return len(m.members) > maxDirectPeers || now.Sub(m.relayHeardAt) < relayRoleTTL
}

// roundPlan is what a host does in a round with relays.
type roundPlan struct {
	// relaying is set if the host acts as a relay, relayRequested if another host uses
	// it as one.
	relaying, relayRequested bool
	// hosts is the number of live hosts.
	hosts int
	// relays are the relays to exchange updates with.
	relays []*memberState
	// countsDue is set if usage counts are sent to the members that need them.
	countsDue bool
	// countsReceivers are the members that need usage counts and are not in relays.
	// probes are the members to which a message without an update is sent: silent ones,
	// to learn whether they are alive, and a random one if countsDue is set.
	countsReceivers, probes []*memberState
}

// roundPlan selects the members of the next round and marks each with beginExchange.
func (m *Mesh) roundPlan(now time.Time) roundPlan {
	live := m.Live()
	countsDue := now.Sub(m.countsSentAt) >= countsInterval(len(live)+1)
	if countsDue {
		m.countsSentAt = now
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.detectLost(now)
	p := roundPlan{relayRequested: now.Sub(m.relayRequested) < relayRoleTTL, hosts: len(live) + 1, countsDue: countsDue}
	byDataCentre := map[string][]Member{m.deps.Self.DataCentre: {m.deps.Self}}
	for host, s := range m.members {
		if host != s.Address && s.canRelay(now) {
			byDataCentre[s.DataCentre] = append(byDataCentre[s.DataCentre], s.Member)
		}
	}
	localRelays := selectRelays(byDataCentre[m.deps.Self.DataCentre])
	isSelf := func(r Member) bool { return r.Host == m.deps.Self.Host }
	p.relaying = p.relayRequested || slices.ContainsFunc(localRelays, isSelf)
	if p.relaying {
		for _, hosts := range byDataCentre {
			for _, r := range selectRelays(hosts) {
				p.addRelay(m.members[r.Host])
			}
		}
		for _, s := range m.members {
			if now.Sub(s.relayClaim) < relayRoleTTL && !now.Before(s.avoidUntil) {
				p.addRelay(s)
			}
		}
	} else if r, ok := chooseRelay(m.deps.Self.Host, localRelays); ok {
		p.addRelay(m.members[r.Host])
	}
	p.relays = slices.DeleteFunc(p.relays, func(s *memberState) bool { return !s.beginExchange(now) })
	for _, l := range live {
		s := m.members[l.Host]
		if countsDue && s != nil && len(p.countsReceivers) < maxCountsReceivers && m.deps.NeedsCounts(l.Host) && s.beginExchange(now) {
			p.countsReceivers = append(p.countsReceivers, s)
		}
	}
	p.probes = m.selectProbes(now)
	if countsDue && len(live) > 0 {
		// An exchange with a random host gives a clock sample, and finds hosts that the
		// relays don't know.
		if s := m.members[live[rand.IntN(len(live))].Host]; s != nil && s.beginExchange(now) {
			p.probes = append(p.probes, s)
		}
	}
	return p
}

// canRelay reports whether a member may be selected as a relay: it is live, or it is
// only known from a member list so far. Without the second case, hosts that start
// together would all act as relays until they have heard from each other.
func (s *memberState) canRelay(now time.Time) bool {
	if now.Before(s.avoidUntil) {
		return false
	}
	return now.Sub(s.lastHeard) <= silenceTimeout || !s.everHeard && !s.unresponsive
}

func (p *roundPlan) addRelay(s *memberState) {
	if s != nil && !slices.Contains(p.relays, s) {
		p.relays = append(p.relays, s)
	}
}

// selectProbes returns at most maxProbes members that have been silent for probeAfter,
// those whose last exchange began longest ago. It marks them with beginExchange. The
// caller holds m.mu.
func (m *Mesh) selectProbes(now time.Time) []*memberState {
	var list []*memberState
	for _, s := range m.members {
		if now.Sub(s.lastHeard) > probeAfter && now.Sub(s.lastTried) >= lostRetryInterval && !s.exchanging {
			list = append(list, s)
		}
	}
	slices.SortFunc(list, func(a, b *memberState) int { return a.lastTried.Compare(b.lastTried) })
	list = list[:min(len(list), maxProbes)]
	for _, s := range list {
		s.beginExchange(now)
	}
	return list
}

// runRelayedRound sends the host's update to its relay and receives the updates of the
// others. A relay adds its own update to its next bundle instead, and requests the
// updates that the other relays have received.
func (m *Mesh) runRelayedRound(ctx context.Context) {
	started := time.Now()
	p := m.roundPlan(started)
	m.logRelayRole(p)
	baseMessage := m.baseMessage()
	baseMessage.Relaying = p.relaying
	for _, s := range p.probes {
		go m.exchange(ctx, s, baseMessage)
	}
	for _, s := range p.countsReceivers {
		go m.exchange(ctx, s, m.withCountsFor(baseMessage, m.hostOf(s)))
	}
	switch {
	case p.relaying:
		m.addUpdate(m.updateMessage(m.fullUpdateDue(p.hosts)), started)
		m.relayBuffer.closeBundle(started)
		for _, s := range p.relays {
			go m.exchangeWithRelay(ctx, s, p, baseMessage, ScopeDirect)
		}
	case len(p.relays) > 0:
		m.relayBuffer.reset()
		go m.exchangeWithRelay(ctx, p.relays[0], p, m.updateMessage(m.fullUpdateDue(p.hosts)), ScopeAll)
	}
	m.pause(ctx, relayInterval(p.hosts)-time.Since(started))
}

// logRelayRole records whether the host acts as a relay and which relay it uses, and
// logs changes of both.
func (m *Mesh) logRelayRole(p roundPlan) {
	if m.relaying.Swap(p.relaying) != p.relaying {
		m.deps.Log.Info("relaying changed", zap.Bool("relaying", p.relaying), zap.Bool("asked_to", p.relayRequested), zap.Int("hosts", p.hosts))
	}
	if p.relaying || len(p.relays) == 0 {
		return
	}
	if name := m.hostOf(p.relays[0]); name != m.lastRelay {
		m.deps.Log.Info("relay chosen", zap.String("peer", name), zap.String("before", m.lastRelay), zap.Int("hosts", p.hosts))
		m.lastRelay = name
	}
}

// stopRelaying ends the relay role when the hosts exchange directly again.
func (m *Mesh) stopRelaying() {
	if !m.relaying.Load() {
		return
	}
	m.logRelayRole(roundPlan{})
	m.relayBuffer.reset()
}

// fullUpdateDue reports whether the next update must be full.
func (m *Mesh) fullUpdateDue(hosts int) bool { return m.updateNumber%fullUpdatePeriod(hosts) == 0 }

// exchangeWithRelay sends a message to a relay and requests its bundles in the scope. A
// relay that doesn't respond is avoided for failedRelayDelay.
func (m *Mesh) exchangeWithRelay(ctx context.Context, s *memberState, p roundPlan, message *Message, scope Scope) {
	if p.countsDue {
		message = m.withCountsFor(message, m.hostOf(s))
	}
	request := *message
	request.Want = Want{Scope: scope, After: s.lastBundle}
	callCtx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	if m.exchange(callCtx, s, &request) || ctx.Err() != nil {
		return
	}
	m.mu.Lock()
	s.avoidUntil = time.Now().Add(failedRelayDelay)
	s.unresponsive = true
	name := s.Host
	m.mu.Unlock()
	m.deps.Log.Info("relay does not answer", zap.String("peer", name), zap.Duration("left_out_for", failedRelayDelay))
}

// neverReadAge is the read age of a host that has no copies yet. It is above any age at
// which a host counts as reading the store.
const neverReadAge = time.Hour

// addUpdate adds the update of a message to the next bundle. The message came from its
// sender directly, or is the relay's own.
func (m *Mesh) addUpdate(message *Message, at time.Time) {
	update := Relayed{From: message.From, IncarnationHash: incarnationHash(message.From.Incarnation), Number: message.Number, News: message.News}
	if message.Number > fullSenderUpdates && message.Number%membersInterval != 0 {
		update.From = Member{Host: message.From.Host}
	}
	if len(message.Copies) == 0 {
		update.ReadAge = neverReadAge
	}
	for _, c := range message.Copies {
		update.ReadAge = max(update.ReadAge, c.ReadAge)
	}
	m.relayBuffer.addUpdate(update, at, true)
}

// receiveBundles handles the updates in the bundles of a relay's reply.
func (m *Mesh) receiveBundles(relay *memberState, reply *Reply, receivedAt time.Time) {
	if err := m.decodeBundles(relay, reply, receivedAt); err != nil {
		m.deps.Log.Warn("decoding the bundles of a relay failed", zap.String("peer", reply.From.Host), zap.Error(err))
		// The next exchange requests all bundles that the relay keeps.
		relay.lastBundle, relay.bundleDecoder = 0, nil
	}
}

func (m *Mesh) decodeBundles(relay *memberState, reply *Reply, receivedAt time.Time) error {
	if relay.bundleDecoder == nil {
		relay.bundleDecoder = newBundleDecoder()
	}
	for i := range reply.Bundles {
		bundle := &reply.Bundles[i]
		err := relay.bundleDecoder.decode(bundle, func(update *Relayed) {
			update.Age += bundle.Age
			m.receiveRelayed(update, receivedAt)
		})
		if err != nil {
			return err
		}
	}
	relay.lastBundle = reply.Newest
	return nil
}

// receiveRelayed handles a host's update that a relay passed on.
func (m *Mesh) receiveRelayed(update *Relayed, receivedAt time.Time) {
	if update.From.Host == m.deps.Self.Host || update.From.Host == "" {
		return
	}
	sentAt := receivedAt.Add(-update.Age)
	m.mu.Lock()
	s := m.members[update.From.Host]
	known := s != nil && incarnationHash(s.Incarnation) == update.IncarnationHash
	switch {
	case known && update.Number <= s.updateNumber:
		// The update or a later one has already arrived by another path.
		m.mu.Unlock()
		return
	case !known && (update.From.Incarnation == "" || s != nil && sentAt.Before(s.lastHeard)):
		// The sender isn't known yet and the update carries only its name, or the
		// update is of an earlier incarnation.
		m.mu.Unlock()
		return
	}
	from := update.From
	if known {
		from = s.Member
	}
	m.mu.Unlock()
	if !m.markAliveAt(from, sentAt) || !m.acceptNumber(from.Host, update.Number) {
		return
	}
	m.mu.Lock()
	if s := m.members[from.Host]; s != nil {
		s.lastStoreRead = sentAt.Add(-update.ReadAge)
	}
	m.mu.Unlock()
	if m.relaying.Load() {
		m.relayBuffer.addUpdate(*update, receivedAt, false)
	}
	update.News.Crashes = aged(update.News.Crashes, update.Age)
	update.News.Limits = agedLimits(update.News.Limits, update.Age)
	m.deps.OnUpdate(from, &update.News)
}
