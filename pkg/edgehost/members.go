package edgehost

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/redwingpath/redwingpath/pkg/mesh"
	"github.com/redwingpath/redwingpath/pkg/pause"
)

// Timing of the calls that concern the list of hosts in the store.
const (
	memberCallTimeout = time.Second
	memberRetryDelay  = 700 * time.Millisecond
	// membersInterval is the pause between reads of the list of hosts. Hosts also learn of
	// new ones from their peers.
	membersInterval = 30 * time.Second
	// maxRewriteDelay spreads the writes of all hosts after the store was restored.
	maxRewriteDelay = time.Second
)

// maintainMembers writes the host's address to the store and regularly reads those of
// the others. It writes the address again after the store was restored from a copy, which may
// lack it.
func (h *Host) maintainMembers(ctx context.Context) {
	written := false
	for ctx.Err() == nil {
		delay := membersInterval
		if !written {
			written = h.writeEntry(ctx, h.self)
		}
		if !h.readEntries(ctx) || !written {
			delay = memberRetryDelay + rand.N(memberRetryDelay)
		}
		written = h.waitForRewrite(ctx, delay) && written
	}
}

// waitForRewrite waits for a time. It returns false, earlier, if the host's entry is to be
// written again.
func (h *Host) waitForRewrite(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	case <-h.rewriteEntry:
		_ = pause.For(ctx, rand.N(maxRewriteDelay))
		return false
	}
	return true
}

func (h *Host) writeEntry(ctx context.Context, m mesh.Member) bool {
	ctx, cancel := context.WithTimeout(ctx, memberCallTimeout)
	defer cancel()
	raw, err := json.Marshal(m)
	if err == nil {
		err = h.platform.Put(ctx, TopicHosts, m.Host, raw)
	}
	if err != nil {
		h.log.Info("the host's entry could not be written to the store", zap.Error(err))
	}
	return err == nil
}

// readEntries passes the hosts in the store to the mesh. It reports whether it found more
// than one.
func (h *Host) readEntries(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, memberCallTimeout)
	defer cancel()
	records, _, err := h.platform.Newest(ctx, TopicHosts)
	if err != nil {
		h.log.Info("the list of hosts could not be read", zap.Error(err))
		return false
	}
	var members []mesh.Member
	for _, r := range records {
		m, err := decodeMember(r.Key, r.Value)
		if err != nil {
			h.metrics.unreadableRecords.Inc()
			h.log.Warn("a host's entry is not usable", zap.String("key", r.Key), zap.Error(err))
			continue
		}
		members = append(members, m)
	}
	h.mesh.AddMembers(members)
	return len(members) > 1
}

// decodeMember decodes a host's entry. It refuses entries that no host would have written.
func decodeMember(key string, raw []byte) (mesh.Member, error) {
	var m mesh.Member
	if err := json.Unmarshal(raw, &m); err != nil {
		// The error may quote a value as long as a record.
		return m, eris.Errorf("decode a host's entry: %.100s", err.Error())
	}
	if m.Host == "" || m.Host != key {
		return m, eris.New("the name is not the key")
	}
	address, err := netip.ParseAddrPort(m.Address)
	if err != nil || address.Port() == 0 {
		return m, eris.Errorf("no address of a host: %.100q", m.Address)
	}
	return m, nil
}
