package mesh

import (
	"context"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/redwingpath/redwingpath/pkg/pause"
	"github.com/redwingpath/redwingpath/pkg/peer"
	"github.com/redwingpath/redwingpath/pkg/placement"
)

// Hosts whose names are near to each other prefer the same engines. Where
// exchanges with all hosts take longer than a request occupies an engine, near
// hosts tell each other their load besides.
const (
	// nearFrom is the interval of exchanges from which near hosts do so: some three
	// times the reading of a prompt.
	nearFrom = 300 * time.Millisecond
	// nearInterval is the pause between messages to a near host, about the time in
	// which a prompt is read.
	nearInterval = 100 * time.Millisecond
	// nearEachSide is the number of hosts before and after that are near; the reach
	// of placement's preferences is four.
	nearEachSide = 5
)

const methodLoad = serviceName + ".Load"

// LoadMessage is what a host tells those near to it.
type LoadMessage struct {
	Host        string
	Incarnation string
	Load        placement.Load
}

// runNear tells near hosts the load until ctx ends.
func (m *Mesh) runNear(ctx context.Context) {
	for ctx.Err() == nil {
		var targets []*memberState
		if m.Interval() >= nearFrom {
			targets = m.near()
		}
		gap := nearInterval / time.Duration(max(1, len(targets)))
		for _, t := range targets {
			go m.tellLoad(ctx, t)
			if pause.For(ctx, gap) != nil {
				return
			}
		}
		if len(targets) == 0 && pause.For(ctx, nearInterval) != nil {
			return
		}
	}
}

// near picks the live hosts of the data centre that are near by name and have
// answered the last message.
func (m *Mesh) near() []*memberState {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	var circle []*memberState
	before := 0
	for host, s := range m.members {
		if host == s.Address || s.DataCentre != m.deps.Self.DataCentre || now.Sub(s.heard) > m.silent() {
			continue
		}
		circle = append(circle, s)
		if s.Host < m.deps.Self.Host {
			before++
		}
	}
	slices.SortFunc(circle, func(a, b *memberState) int { return strings.Compare(a.Host, b.Host) })
	picked := circle
	if len(circle) > 2*nearEachSide {
		picked = nil
		for i := range 2 * nearEachSide {
			picked = append(picked, circle[(before-nearEachSide+i+len(circle))%len(circle)])
		}
	}
	var targets []*memberState
	for _, s := range picked {
		if !s.telling {
			s.telling = true
			targets = append(targets, s)
		}
	}
	return targets
}

func (m *Mesh) tellLoad(ctx context.Context, s *memberState) {
	m.mu.Lock()
	target := s.Member
	m.mu.Unlock()
	message := LoadMessage{Host: m.deps.Self.Host, Incarnation: m.deps.Self.Incarnation, Load: m.deps.Load()}
	_, err := peer.Call[struct{}](ctx, m.client, target.Address, methodLoad, message)
	if err != nil {
		m.deps.Log.Debug("a near host was not told the load", zap.String("peer", target.Host), zap.Error(err))
	}
	m.mu.Lock()
	s.telling = false
	m.mu.Unlock()
}

// Load is an rpc method. What a host that is not known or has stopped sends is
// ignored, since nothing would take it back.
func (s *service) Load(message LoadMessage, _ *struct{}) error {
	m := s.mesh
	m.mu.Lock()
	known := m.members[message.Host]
	live := known != nil && known.Incarnation == message.Incarnation && !known.lost
	m.mu.Unlock()
	if live {
		m.deps.HeardLoad(message.Host, message.Load)
	}
	return nil
}
