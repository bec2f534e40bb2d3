package edgehost

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/redwingpath/redwingpath/pkg/mesh"
)

// Timing of the host's own entry in the store.
const (
	introduceTimeout = time.Second
	introduceRetry   = 700 * time.Millisecond
	// membersInterval is the pause between reads of the list of hosts. Peers
	// introduce new hosts besides.
	membersInterval = 30 * time.Second
)

// introduce writes the host's address to the store and reads those of others.
func (h *Host) introduce(ctx context.Context) {
	written := false
	for ctx.Err() == nil {
		pause := membersInterval
		if !written {
			written = h.writeEntry(ctx, h.self)
		}
		if !h.readEntries(ctx) || !written {
			pause = introduceRetry + rand.N(introduceRetry)
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

func (h *Host) writeEntry(ctx context.Context, m mesh.Member) bool {
	ctx, cancel := context.WithTimeout(ctx, introduceTimeout)
	defer cancel()
	raw, err := json.Marshal(m)
	if err == nil {
		err = h.platform.Put(ctx, TopicHosts, m.Host, raw)
	}
	if err != nil {
		h.log.Info("the host's entry was not written", zap.Error(err))
	}
	return err == nil
}

func (h *Host) readEntries(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, introduceTimeout)
	defer cancel()
	records, _, err := h.platform.Newest(ctx, TopicHosts)
	if err != nil {
		h.log.Info("the list of hosts was not read", zap.Error(err))
		return false
	}
	var members []mesh.Member
	for _, r := range records {
		var m mesh.Member
		if err := json.Unmarshal(r.Value, &m); err != nil {
			h.metrics.badRecords.Inc()
			h.log.Warn("a host's entry is not readable", zap.String("key", r.Key), zap.Error(err))
			continue
		}
		members = append(members, m)
	}
	h.mesh.Introduce(members)
	return len(members) > 1
}
