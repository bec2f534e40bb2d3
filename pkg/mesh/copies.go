package mesh

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/redwingpath/redwingpath/pkg/mirror"
)

// copyStatuses describes this host's complete copies, by topic.
func (m *Mesh) copyStatuses() map[string]CopyStatus {
	now := time.Now()
	copyStatuses := make(map[string]CopyStatus, len(m.deps.Topics))
	for topic, table := range m.deps.Topics {
		if s := table.Status(); s.Complete {
			copyStatuses[topic] = CopyStatus{End: s.SignificantEnd, Age: now.Sub(s.UpToDateAt), ReadAge: now.Sub(s.LastRead)}
		}
	}
	return copyStatuses
}

// syncCopies compares a peer's copies with those of this host, and pulls the records of
// topics in which the peer is ahead. It also records the peer's last read of the store,
// for the topic that it read longest ago. statedAt is a time before which the peer cannot
// have described its copies, or the zero time if none is known.
func (m *Mesh) syncCopies(ctx context.Context, from Member, copies map[string]CopyStatus, statedAt time.Time) {
	now := time.Now()
	m.mu.Lock()
	if s := m.members[from.Host]; s != nil {
		s.lastStoreRead = time.Time{}
		for _, c := range copies {
			if at := now.Add(-c.ReadAge); s.lastStoreRead.IsZero() || at.Before(s.lastStoreRead) {
				s.lastStoreRead = at
			}
		}
	}
	m.mu.Unlock()
	for topic, c := range copies {
		table := m.deps.Topics[topic]
		if table == nil {
			continue
		}
		// The table keeps its time if the peer's is not known.
		var upToDateAt time.Time
		if !statedAt.IsZero() {
			upToDateAt = statedAt.Add(-c.Age)
		}
		merge := table.WantsMerge(from.Host)
		if table.ConfirmUpToDate(c.End, upToDateAt) && !merge {
			continue
		}
		if !m.pulls.begin(topic, from.Host, now) {
			continue
		}
		go func() {
			defer m.pulls.end(topic, from.Host)
			if err := m.pullRecords(ctx, from.Address, topic, table, c.End, upToDateAt, merge); err != nil {
				m.deps.Log.Debug("pulling records from a peer failed", zap.String("topic", topic), zap.Error(err))
			} else if merge {
				table.Merged(from.Host)
			}
		}()
	}
}

// pullRecords fetches from a peer the records that this host's copy lacks. The peer's copy
// had all changes before end, and was up to date at a time. whole fetches all its records.
func (m *Mesh) pullRecords(ctx context.Context, address, topic string, table *mirror.Table, end uint64, upToDateAt time.Time, whole bool) error {
	args := RecordsArgs{Topic: topic, From: table.End()}
	if whole || !table.Complete() {
		args.From = 0
	}
	reply, err := m.transport.records(ctx, address, args)
	if err != nil {
		return err
	}
	if !reply.Complete {
		return eris.New("peer has no complete copy of the topic")
	}
	records, err := unpack(reply.Packed)
	if err != nil {
		return err
	}
	changed := table.Take(mirror.Changes{Records: records, End: reply.End, Whole: reply.Whole}, time.Now())
	table.ConfirmUpToDate(end, upToDateAt)
	if len(changed) > 0 {
		m.deps.OnRecords(topic, changed)
	}
	return nil
}
