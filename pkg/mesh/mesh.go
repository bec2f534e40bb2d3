package mesh

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/redwingpath/redwingpath/pkg/mirror"
	"github.com/redwingpath/redwingpath/pkg/peer"
	"github.com/redwingpath/redwingpath/pkg/usagewindow"
)

// RPC method names and the call timeout.
const (
	serviceName     = "Mesh"
	methodExchange  = serviceName + ".Exchange"
	methodRecords   = serviceName + ".Records"
	exchangeTimeout = 700 * time.Millisecond
)

const (
	// membersInterval is the interval, in updates, at which a host sends its member list
	// and a relay passes on all Member fields of a sender.
	membersInterval = 16
	// silenceTimeout is how long a peer may be silent before it counts as lost.
	silenceTimeout = 1500 * time.Millisecond
	// lostRetryInterval is the delay between attempts to reach a lost peer.
	lostRetryInterval = time.Second
	// forgetTimeout is the silence after which a peer is removed and no longer tried.
	forgetTimeout = 2 * time.Minute
)

// Deps are the settings and callbacks that the mesh needs from its host.
type Deps struct {
	Self Member
	// Seeds are host addresses to start from. They may be out of date.
	Seeds []string
	// Topics are the copies of topics that the mesh synchronises, by topic name.
	Topics map[string]*mirror.Table
	// News returns this host's update. It is called once for each update that is
	// sent. Unless full is set, it may leave out the speeds of engines and quota sums
	// that have not changed since the last call.
	News func(full bool) News
	// Counts returns the request counts of this host's usage windows.
	Counts func() []usagewindow.WindowCount
	// NeedsCounts reports whether a peer needs the usage counts. Other peers get them
	// only in the final message, since they make up most of the bytes of a message.
	NeedsCounts func(peer string) bool
	// OnUpdate handles an update of a host. An update that arrives after a later one of
	// the same host is dropped.
	OnUpdate func(from Member, n *News)
	// OnCounts handles a host's usage counts. at is the host's time of day when it sent
	// them.
	OnCounts func(from Member, counts []usagewindow.WindowCount, at time.Time)
	// OnClockSample handles a clock sample: the peer's time of day, and this host's time of
	// day at the same moment.
	OnClockSample func(peer string, theirs, ours time.Time)
	// Now returns this host's time of day.
	Now func() time.Time
	// OnRecords handles records that changed a copy after a pull from a peer.
	OnRecords func(topic string, records []mirror.Record)
	// OnPeerLost is called when a peer is lost, OnPeerBack when a peer is heard from
	// for the first time or after it was lost.
	OnPeerLost func(host string)
	OnPeerBack func(host string)
	Log        *zap.Logger
}

// Mesh exchanges messages with the other hosts. It is safe for concurrent use.
type Mesh struct {
	deps      Deps
	transport transport
	// started is the start of the clock of this host's moments.
	started       time.Time
	server        *peer.Server
	packedReplies packedReplyCache

	mu      sync.Mutex
	members map[string]*memberState
	// live is the cached result of Live at liveAt. It is nil after a change.
	live   []Member
	liveAt time.Time
	// stopped maps each host that announced its stop to its incarnation, so that
	// replies still in flight don't add it again.
	stopped map[string]string
	pulls   pulls
	wake    chan struct{}
	// updateNumber is the number of the last update sent. Only Run uses it.
	updateNumber uint64
	// countsSentAt is when usage counts were last sent in a round with relays. Only
	// Run uses it.
	countsSentAt time.Time
	// relaying is set while the host acts as a relay.
	relaying atomic.Bool
	// lastRelay is the name of the relay that the host used last. Only Run uses it.
	lastRelay string
	// relayBuffer holds the updates that the host passes on as a relay.
	relayBuffer relayBuffer
	// relayRequested is when a host last used this one as its relay.
	relayRequested time.Time
	// relayHeardAt is when a message or reply of a relay last arrived.
	relayHeardAt time.Time
	// messagesReceived counts the messages received from other hosts.
	messagesReceived atomic.Int64
}

type memberState struct {
	Member
	// lastHeard is when the member last was alive, by its own message or reply or
	// by an update that a relay passed on.
	lastHeard time.Time
	// lastTried is when the last exchange with the member began.
	lastTried time.Time
	// lastStoreRead is when the member last read the store.
	lastStoreRead time.Time
	// exchanging is set while an exchange with the member is in progress.
	exchanging bool
	lost       bool
	// updateNumber is the number of the member's latest update.
	updateNumber uint64
	// lastBundle is the number of the latest bundle that the member sent as a relay,
	// and bundleDecoder decodes the following ones. Only the exchange in progress uses
	// both.
	lastBundle    uint64
	bundleDecoder *bundleDecoder
	// lastMoment is the moment in the member's latest reply, which arrived at
	// lastMomentAt.
	lastMoment   Moment
	lastMomentAt time.Time
	// relayClaim is when the member last reported that it is a relay.
	relayClaim time.Time
	// avoidUntil is the time before which the member is not used as a relay, since
	// an exchange with it failed.
	avoidUntil time.Time
	// everHeard is set once the member was heard from. unresponsive is set when it
	// failed to respond as a relay, until it is heard from again.
	everHeard, unresponsive bool
}

// beginExchange marks the member as being in an exchange. It returns false if one
// is in progress already.
func (s *memberState) beginExchange(now time.Time) bool {
	if s.exchanging {
		return false
	}
	s.exchanging = true
	s.lastTried = now
	return true
}

// New returns a mesh that listens on an address.
func New(d Deps, listen string) (*Mesh, error) {
	m := &Mesh{
		deps:      d,
		transport: newPeerTransport(),
		started:   time.Now(),
		members:   map[string]*memberState{},
		stopped:   map[string]string{},
		wake:      make(chan struct{}, 1),
	}
	server, err := peer.NewServer(nil, nil)
	if err != nil {
		return nil, err
	}
	if err := server.Register(serviceName, &service{m}); err != nil {
		return nil, err
	}
	if _, err := server.Listen(listen); err != nil {
		return nil, err
	}
	m.server = server
	return m, nil
}

// Run exchanges messages until ctx ends, and then announces the stop to all peers.
func (m *Mesh) Run(ctx context.Context) {
	go func() {
		if err := m.server.Serve(); err != nil {
			m.deps.Log.Error("peer listener failed", zap.Error(err))
		}
	}()
	for ctx.Err() == nil {
		if m.usesRelays(time.Now()) {
			m.runRelayedRound(ctx)
		} else {
			m.stopRelaying()
			m.runDirectRound(ctx)
		}
	}
	m.announceStop()
	m.transport.close()
	if err := m.server.Close(); err != nil {
		m.deps.Log.Debug("closing the peer listener failed", zap.Error(err))
	}
}

// runDirectRound starts an exchange with each peer whose last exchange has ended.
// The exchanges are spread over the interval, since a small host that sends all its
// messages at once delays requests. After a wake-up the rest start at once.
func (m *Mesh) runDirectRound(ctx context.Context) {
	// A peer whose last exchange is still in progress misses this update, so every
	// update is full.
	message := m.updateMessage(true)
	targets := m.targets(time.Now())
	pause := directInterval(len(targets)) / time.Duration(max(1, len(targets)))
	woken := false
	for i, t := range targets {
		go m.exchange(ctx, t, m.withCountsFor(message, m.hostOf(t)))
		if !woken || i == len(targets)-1 {
			woken = m.pause(ctx, pause) || woken
		}
	}
	if len(targets) == 0 {
		m.pause(ctx, pause)
	}
}

// pause waits for a duration or until ctx ends. It reports whether a wake-up ended the
// wait early.
func (m *Mesh) pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-m.wake:
		return true
	case <-timer.C:
	}
	return false
}

// baseMessage returns a message without an update.
func (m *Mesh) baseMessage() *Message {
	builtAt := time.Now()
	return &Message{From: m.deps.Self, Now: m.deps.Now(), Copies: m.copyStatuses(), builtAt: builtAt}
}

// updateMessage returns a message with the next update.
func (m *Mesh) updateMessage(full bool) *Message {
	message := m.baseMessage()
	m.updateNumber++
	message.Number = m.updateNumber
	if m.updateNumber%membersInterval == 1 {
		message.Members = m.Live()
	}
	message.News = m.deps.News(full)
	return message
}

// withCountsFor returns the message, with the usage counts added if the peer needs
// them.
func (m *Mesh) withCountsFor(message *Message, host string) *Message {
	if !m.deps.NeedsCounts(host) {
		return message
	}
	counted := *message
	counted.Counted, counted.Counts = true, m.deps.Counts()
	return &counted
}

func (m *Mesh) hostOf(s *memberState) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return s.Host
}

// targets returns the peers of a direct round: the members, or the seeds while no
// member is known. It marks them with beginExchange.
func (m *Mesh) targets(now time.Time) []*memberState {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.detectLost(now)
	var targets []*memberState
	for _, s := range m.members {
		if now.Sub(s.lastHeard) > silenceTimeout && now.Sub(s.lastTried) < lostRetryInterval {
			continue
		}
		if s.beginExchange(now) {
			targets = append(targets, s)
		}
	}
	if len(m.members) == 0 {
		for _, address := range m.deps.Seeds {
			if address == m.deps.Self.Address {
				continue
			}
			s := &memberState{Member: Member{Host: address, Address: address}, exchanging: true, lost: true, lastTried: now, lastHeard: now}
			m.members[address] = s
			targets = append(targets, s)
		}
	}
	return targets
}

// detectLost reports members that have become silent as lost, and removes those
// that have been silent for forgetTimeout. Seeds whose host names are not known stay.
// The caller holds m.mu.
func (m *Mesh) detectLost(now time.Time) {
	for host, s := range m.members {
		silence := now.Sub(s.lastHeard)
		if silence > forgetTimeout && host != s.Address {
			delete(m.members, host)
			m.live = nil
			continue
		}
		if silence > silenceTimeout && !s.lost {
			s.lost = true
			m.live = nil
			go m.deps.OnPeerLost(host)
		}
	}
}

// exchange sends a message to a member after beginExchange, and handles the reply.
// It reports whether one arrived.
func (m *Mesh) exchange(ctx context.Context, s *memberState, message *Message) bool {
	m.mu.Lock()
	target := s.Member
	request := *message
	request.StatedAt = s.momentOf(message.builtAt)
	m.mu.Unlock()
	before, sentAt := m.deps.Now(), time.Now()
	reply, err := m.transport.exchange(ctx, target.Address, &request)
	after := m.deps.Now()
	receivedAt := time.Now()
	defer m.endExchange(s)
	if err != nil {
		m.deps.Log.Debug("exchange with a peer failed", zap.String("peer", target.Host), zap.Error(err))
		return false
	}
	m.markAlive(reply.From)
	m.recordMoment(reply.From.Host, reply.At, receivedAt)
	m.recordRelayClaim(reply.From.Host, reply.Relaying)
	m.deps.OnClockSample(reply.From.Host, reply.Now, before.Add(after.Sub(before)/2))
	// The records are pulled by a separate call, which must not be cancelled when this
	// one ends.
	m.syncCopies(context.WithoutCancel(ctx), reply.From, reply.Copies, sentAt)
	if message.Want.Scope != ScopeNone && reply.From.Incarnation == target.Incarnation {
		m.receiveBundles(s, &reply, receivedAt)
	}
	return true
}

func (m *Mesh) endExchange(s *memberState) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s.exchanging = false
}

// recordRelayClaim records that a member reports to be a relay.
func (m *Mesh) recordRelayClaim(host string, relayClaim bool) {
	if !relayClaim {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.relayHeardAt = time.Now()
	if s := m.members[host]; s != nil {
		s.relayClaim = m.relayHeardAt
	}
}

// Interval returns the time in which a host receives most updates of the others.
func (m *Mesh) Interval() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.updateIntervalLocked(time.Now())
}

// updateIntervalLocked is Interval for callers that hold m.mu.
func (m *Mesh) updateIntervalLocked(now time.Time) time.Duration {
	if m.usesRelaysLocked(now) {
		return relayedUpdateInterval(len(m.members) + 1)
	}
	return directInterval(len(m.members))
}

// Relaying reports whether the host acts as a relay, which passes on the updates of
// others.
func (m *Mesh) Relaying() bool { return m.relaying.Load() }

// MessagesReceived returns the number of messages received from other hosts.
func (m *Mesh) MessagesReceived() int64 { return m.messagesReceived.Load() }

// Wake starts the next exchanges at once, so that a change reaches the peers early.
func (m *Mesh) Wake() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// announceStop sends the final message, with an update and the usage counts, to all live
// peers.
func (m *Mesh) announceStop() {
	message := m.updateMessage(true)
	message.From.Stopped = true
	message.Members = nil
	message.Counted, message.Counts = true, m.deps.Counts()
	ctx, cancel := context.WithTimeout(context.Background(), exchangeTimeout)
	defer cancel()
	var group sync.WaitGroup
	for _, member := range m.Live() {
		group.Go(func() {
			_, err := m.transport.exchange(ctx, member.Address, message)
			if err != nil {
				m.deps.Log.Debug("announcing the stop to a peer failed", zap.String("peer", member.Host), zap.Error(err))
			}
		})
	}
	group.Wait()
}

// service holds the RPC methods.
type service struct {
	mesh *Mesh
}

// Exchange is the RPC method that receives a peer's message.
func (s *service) Exchange(message *Message, reply *Reply) error {
	m := s.mesh
	m.messagesReceived.Add(1)
	reply.From = m.deps.Self
	reply.Now = m.deps.Now()
	reply.At = m.moment(time.Now())
	reply.Copies = m.copyStatuses()
	reply.Relaying = m.relaying.Load()
	now := time.Now()
	if message.From.Stopped {
		m.mu.Lock()
		delete(m.members, message.From.Host)
		m.live = nil
		m.stopped[message.From.Host] = message.From.Incarnation
		m.mu.Unlock()
	} else {
		m.markAlive(message.From)
		m.recordRelayClaim(message.From.Host, message.Relaying)
	}
	m.AddMembers(message.Members)
	if message.Counted {
		m.deps.OnCounts(message.From, message.Counts, message.Now)
	}
	if message.From.Stopped || m.acceptNumber(message.From.Host, message.Number) {
		if m.relaying.Load() && !message.From.Stopped {
			m.addUpdate(message, now)
		}
		m.deps.OnUpdate(message.From, &message.News)
	}
	m.syncCopies(context.Background(), message.From, message.Copies, m.timeOf(message.StatedAt))
	return m.addRequestedBundles(message.Want, reply, now)
}

// addRequestedBundles adds the bundles that the sender of a message requests to the
// reply. A request for all updates shows that the sender uses this host as its relay.
func (m *Mesh) addRequestedBundles(request Want, reply *Reply, now time.Time) error {
	if request.Scope == ScopeNone {
		return nil
	}
	if request.Scope == ScopeAll {
		m.mu.Lock()
		m.relayRequested = now
		m.mu.Unlock()
	}
	return m.relayBuffer.addBundles(request, reply, now)
}

// Records is the RPC method that returns records of this host's copy of a topic from an
// offset on.
func (s *service) Records(args RecordsArgs, reply *RecordsReply) error {
	table := s.mesh.deps.Topics[args.Topic]
	if table == nil {
		return eris.Errorf("unknown topic: %s", args.Topic)
	}
	changes, complete := table.Since(args.From)
	reply.End, reply.Whole, reply.Complete = changes.End, changes.Whole, complete
	var err error
	reply.Packed, err = s.mesh.packedReplies.get(args, changes)
	return err
}
