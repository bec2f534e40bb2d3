package check

import (
	"github.com/redwingpath/redwingpath/pkg/logrec"
	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/standin/record"
)

// claim is a claim of a shard that won.
type claim struct {
	shard model.ShardName
	fence model.Offset
	host  model.HostID
	// next is the fencing token of the claim that superseded this one, or 0.
	next model.Offset
}

// intent is a log record that announces an order before it is sent.
type intent struct {
	offset model.Offset
	shard  model.ShardName
	fence  model.Offset
	host   model.HostID
}

// claimHistory is the history of the shards' holders and of the order intents. It
// is derived from the log entries alone, independently of pkg/authority, which the
// hosts use.
type claimHistory struct {
	byFence map[model.Offset][]*claim
	holders map[model.ShardName]*claim
	intents map[string][]intent
}

func (r *Recording) claimHistory() *claimHistory {
	a := &claimHistory{
		byFence: map[model.Offset][]*claim{},
		holders: map[model.ShardName]*claim{},
		intents: map[string][]intent{},
	}
	for _, e := range r.eventsOfKind(record.Appended) {
		records, _ := logrec.Decode(e.Body)
		for i := range records {
			a.apply(e.Offset, &records[i])
		}
	}
	return a
}

func (a *claimHistory) apply(offset model.Offset, rec *logrec.Record) {
	if rec.Version > logrec.SchemaVersion {
		return
	}
	switch rec.Kind {
	case logrec.KindClaim:
		if body, err := logrec.DecodeBody[logrec.Claim](rec); err == nil {
			a.claim(offset, rec, &body)
		}
	case logrec.KindIntent:
		if body, err := logrec.DecodeBody[logrec.Intent](rec); err == nil {
			a.intents[body.OrderID] = append(a.intents[body.OrderID], intent{
				offset: offset, shard: rec.Shard, fence: rec.Fence, host: rec.Host,
			})
		}
	}
}

// claim applies a claim record. A claim wins if it supersedes the current claim of
// the shard.
func (a *claimHistory) claim(offset model.Offset, rec *logrec.Record, body *logrec.Claim) {
	holder := a.holders[body.Shard]
	var current model.Offset
	if holder != nil {
		current = holder.fence
	}
	if body.Supersedes != current {
		return
	}
	won := &claim{shard: body.Shard, fence: offset, host: rec.Host}
	if holder != nil {
		holder.next = offset
	}
	a.holders[body.Shard] = won
	a.byFence[offset] = append(a.byFence[offset], won)
}

// find returns the claims that a host won with a fencing token. One log entry may
// hold claims of several shards.
func (a *claimHistory) find(fence model.Offset, host model.HostID) []*claim {
	var found []*claim
	for _, c := range a.byFence[fence] {
		if c.host == host {
			found = append(found, c)
		}
	}
	return found
}

// validIntent reports whether the host logged an order under a fencing token while
// the claim with that token was the current one of the shard.
func (a *claimHistory) validIntent(orderID string, fence model.Offset, host model.HostID) bool {
	for _, i := range a.intents[orderID] {
		if i.fence != fence || i.host != host {
			continue
		}
		for _, c := range a.find(fence, host) {
			if c.shard == i.shard && i.offset > c.fence && (c.next == 0 || i.offset < c.next) {
				return true
			}
		}
	}
	return false
}
