package mesh

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/redwingpath/redwingpath/pkg/mirror"
	"github.com/redwingpath/redwingpath/pkg/peer"
	"github.com/redwingpath/redwingpath/pkg/placement"
)

// Names of the rpc service.
const (
	serviceName     = "Mesh"
	methodExchange  = serviceName + ".Exchange"
	methodRecords   = serviceName + ".Records"
	exchangeTimeout = 700 * time.Millisecond
)

const (
	// interval is the pause between exchanges of a small deployment.
	interval = 200 * time.Millisecond
	// intervalPerPeer keeps a host at no more than 140 messages a second however
	// many hosts there are.
	intervalPerPeer = 7 * time.Millisecond
	// membersEvery is the number of rounds between those that introduce members.
	membersEvery = 16
	// silentAfter is the silence from which a peer counts as lost.
	silentAfter = 1500 * time.Millisecond
	// silentRounds is the same as a number of rounds, where these take longer.
	silentRounds = 3
	// retryLost is the pause between attempts to reach a lost peer.
	retryLost = time.Second
	// forgetAfter is the silence after which a peer is no longer tried.
	forgetAfter = 2 * time.Minute
)

// Deps are the parts of the host that the mesh connects.
type Deps struct {
	Self Member
	// Seeds are addresses of hosts that may be stale.
	Seeds []string
	// Topics are the copies that hosts pass on.
	Topics map[string]*mirror.Table
	// Compose fills in the sender's part of a message.
	Compose func(m *Message)
	// CountsFor tells whether a peer needs the usage counts of a message. They are
	// most of its bytes.
	CountsFor func(peer string) bool
	// Load is the host's load at engines, HeardLoad takes a near host's.
	Load      func() placement.Load
	HeardLoad func(host string, l placement.Load)
	// Heard takes a message.
	Heard func(m *Message)
	// Clock takes a peer's time, measured at ours.
	Clock func(peer string, theirs, ours time.Time)
	Now   func() time.Time
	// Changed takes records that a peer's copy brought.
	Changed func(topic string, records []mirror.Record)
	// Lost and Back report the loss and return of peers.
	Lost func(host string)
	Back func(host string)
	Log  *zap.Logger
}

// Mesh is one host's part in the exchange. It is safe for concurrent use.
type Mesh struct {
	deps   Deps
	client *peer.Client
	server *peer.Server

	mu      sync.Mutex
	members map[string]*memberState
	// stopped are the incarnations of hosts that have announced their stop; replies
	// of theirs may still be under way.
	stopped map[string]string
	pulling sync.Map
	kick    chan struct{}
	// rounds counts the rounds; only Run uses it.
	rounds int
}

type memberState struct {
	Member
	// heard is when a message or reply last came.
	heard time.Time
	tried time.Time
	// readAt is when the member last read the store.
	readAt time.Time
	busy   bool
	lost   bool
	// telling is set while a message with the load is under way.
	telling bool
}

// New returns a mesh that listens at an address.
func New(d Deps, listen string) (*Mesh, error) {
	m := &Mesh{
		deps:    d,
		client:  peer.NewClient(peer.ClientConfig{CallTimeout: exchangeTimeout, DialTimeout: exchangeTimeout}),
		members: map[string]*memberState{},
		stopped: map[string]string{},
		kick:    make(chan struct{}, 1),
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

// Run exchanges messages until ctx ends, and then announces the stop.
func (m *Mesh) Run(ctx context.Context) {
	go func() {
		if err := m.server.Serve(); err != nil {
			m.deps.Log.Error("the listener for peers failed", zap.Error(err))
		}
	}()
	go m.runNear(ctx)
	for ctx.Err() == nil {
		m.round(ctx)
	}
	m.rounds = 0
	m.announceStop()
	m.client.Close()
	if err := m.server.Close(); err != nil {
		m.deps.Log.Debug("closing the listener for peers failed", zap.Error(err))
	}
}

// round starts an exchange with each peer that has ended the last one. Exchanges
// are spread over the interval, since a small host that sends all its messages at
// once delays requests. A kick sends the rest at once.
func (m *Mesh) round(ctx context.Context) {
	message := m.compose()
	targets := m.targets(time.Now())
	pause := m.Interval() / time.Duration(max(1, len(targets)))
	kicked := false
	for i, t := range targets {
		go m.exchange(ctx, t, message)
		if !kicked || i == len(targets)-1 {
			kicked = m.pause(ctx, pause) || kicked
		}
	}
	if len(targets) == 0 {
		m.pause(ctx, pause)
	}
}

// pause waits for a time and tells whether it was cut short by a kick.
func (m *Mesh) pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-m.kick:
		return true
	case <-timer.C:
	}
	return false
}

func (m *Mesh) compose() *Message {
	message := &Message{From: m.deps.Self, Now: m.deps.Now(), Copies: m.copies()}
	if m.rounds%membersEvery == 0 {
		message.Members = m.Live()
	}
	m.rounds++
	m.deps.Compose(message)
	return message
}

// addressed returns a message as a peer gets it.
func (m *Mesh) addressed(message *Message, host string) *Message {
	if message.From.Stopped || m.deps.CountsFor(host) {
		return message
	}
	short := *message
	short.Counted, short.Counts = false, nil
	return &short
}

// targets picks the addresses for a round: members, and seeds while no member
// is known.
func (m *Mesh) targets(now time.Time) []*memberState {
	m.mu.Lock()
	defer m.mu.Unlock()
	var targets []*memberState
	for host, s := range m.members {
		silence := now.Sub(s.heard)
		if silence > forgetAfter && host != s.Address {
			delete(m.members, host)
			continue
		}
		if silence > m.silent() {
			if !s.lost {
				s.lost = true
				go m.deps.Lost(host)
			}
			if now.Sub(s.tried) < retryLost {
				continue
			}
		}
		if s.busy {
			continue
		}
		s.busy = true
		s.tried = now
		targets = append(targets, s)
	}
	if len(m.members) == 0 {
		for _, address := range m.deps.Seeds {
			if address == m.deps.Self.Address {
				continue
			}
			s := &memberState{Member: Member{Host: address, Address: address}, busy: true, lost: true, tried: now, heard: now}
			m.members[address] = s
			targets = append(targets, s)
		}
	}
	return targets
}

func (m *Mesh) exchange(ctx context.Context, s *memberState, message *Message) {
	m.mu.Lock()
	target := s.Member
	m.mu.Unlock()
	before := m.deps.Now()
	reply, err := peer.Call[Reply](ctx, m.client, target.Address, methodExchange, m.addressed(message, target.Host))
	after := m.deps.Now()
	m.mu.Lock()
	s.busy = false
	m.mu.Unlock()
	if err != nil {
		m.deps.Log.Debug("exchange with a peer failed", zap.String("peer", target.Host), zap.Error(err))
		return
	}
	m.hear(reply.From)
	m.deps.Clock(reply.From.Host, reply.Now, before.Add(after.Sub(before)/2))
	m.compare(ctx, reply.From, reply.Copies)
}

// Interval is the pause between exchanges.
func (m *Mesh) Interval() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.interval()
}

func (m *Mesh) interval() time.Duration {
	return max(interval, time.Duration(len(m.members))*intervalPerPeer)
}

// Kick starts an exchange at once, so that a change reaches the peers.
func (m *Mesh) Kick() {
	select {
	case m.kick <- struct{}{}:
	default:
	}
}

// announceStop tells the peers that the host has stopped.
func (m *Mesh) announceStop() {
	message := m.compose()
	message.From.Stopped = true
	ctx, cancel := context.WithTimeout(context.Background(), exchangeTimeout)
	defer cancel()
	var group sync.WaitGroup
	for _, member := range m.Live() {
		group.Go(func() {
			_, err := peer.Call[Reply](ctx, m.client, member.Address, methodExchange, message)
			if err != nil {
				m.deps.Log.Debug("a peer was not told of the stop", zap.String("peer", member.Host), zap.Error(err))
			}
		})
	}
	group.Wait()
}

// service is the rpc side.
type service struct {
	mesh *Mesh
}

// Exchange is an rpc method.
func (s *service) Exchange(message *Message, reply *Reply) error {
	m := s.mesh
	reply.From = m.deps.Self
	reply.Now = m.deps.Now()
	reply.Copies = m.copies()
	if message.From.Stopped {
		m.mu.Lock()
		delete(m.members, message.From.Host)
		m.stopped[message.From.Host] = message.From.Incarnation
		m.mu.Unlock()
	} else {
		m.hear(message.From)
	}
	m.Introduce(message.Members)
	m.deps.Heard(message)
	m.compare(context.Background(), message.From, message.Copies)
	return nil
}

// Records is an rpc method.
func (s *service) Records(args RecordsArgs, reply *RecordsReply) error {
	table := s.mesh.deps.Topics[args.Topic]
	if table == nil {
		return eris.Errorf("no such topic: %s", args.Topic)
	}
	reply.Records, reply.End, reply.Complete = table.Since(args.From)
	return nil
}
