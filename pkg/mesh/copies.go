package mesh

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/redwingpath/redwingpath/pkg/mirror"
	"github.com/redwingpath/redwingpath/pkg/peer"
)

func (m *Mesh) copies() map[string]Copy {
	now := time.Now()
	copies := make(map[string]Copy, len(m.deps.Topics))
	for topic, table := range m.deps.Topics {
		if table.Complete() {
			copies[topic] = Copy{End: table.SignificantEnd(), Age: now.Sub(table.Heard()), ReadAge: now.Sub(table.LastRead())}
		}
	}
	return copies
}

// compare pulls the records of topics in which a peer is ahead.
func (m *Mesh) compare(ctx context.Context, from Member, copies map[string]Copy) {
	now := time.Now()
	m.mu.Lock()
	if s := m.members[from.Host]; s != nil {
		s.readAt = time.Time{}
		for _, c := range copies {
			if at := now.Add(-c.ReadAge); s.readAt.IsZero() || at.Before(s.readAt) {
				s.readAt = at
			}
		}
	}
	m.mu.Unlock()
	for topic, c := range copies {
		table := m.deps.Topics[topic]
		if table == nil {
			continue
		}
		if table.Complete() && table.SignificantEnd() >= c.End {
			if table.SignificantEnd() == c.End {
				table.Confirm(now.Add(-c.Age))
			}
			continue
		}
		if _, busy := m.pulling.LoadOrStore(topic, true); busy {
			continue
		}
		go func() {
			defer m.pulling.Delete(topic)
			if err := m.pull(ctx, from.Address, topic, table, c.Age); err != nil {
				m.deps.Log.Debug("reading a peer's copy failed", zap.String("topic", topic), zap.Error(err))
			}
		}()
	}
}

// pull takes over a peer's copy that was up to date some time ago.
func (m *Mesh) pull(ctx context.Context, address, topic string, table *mirror.Table, age time.Duration) error {
	args := RecordsArgs{Topic: topic, From: table.SignificantEnd()}
	if !table.Complete() {
		args.From = 0
	}
	reply, err := peer.Call[RecordsReply](ctx, m.pulls, address, methodRecords, args)
	if err != nil {
		return err
	}
	if !reply.Complete {
		return eris.New("the peer's copy is not complete")
	}
	records, err := unpack(reply.Packed)
	if err != nil {
		return err
	}
	now := time.Now()
	var changed []mirror.Record
	if args.From == 0 && !table.Complete() {
		changed = table.Snapshot(records, reply.End, now)
	} else {
		changed = table.Apply(records, reply.End, now)
	}
	table.Confirm(now.Add(-age))
	if len(changed) > 0 {
		m.deps.Changed(topic, changed)
	}
	return nil
}
