package check

import (
	"github.com/redwingpath/redwingpath/pkg/logrec"
	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/standin/record"
)

// claim is a winning claim of a shard.
type claim struct {
	shard model.ShardName
	fence model.Offset
	host  model.HostID
	// next is the fence of the claim that took over, 0 while this one holds.
	next model.Offset
}

// intent is a logged order intent.
type intent struct {
	offset model.Offset
	shard  model.ShardName
	fence  model.Offset
	host   model.HostID
}

// authorities is who held what, derived from the log entries alone and
// independently of pkg/authority, which the hosts use.
type authorities struct {
	byFence map[model.Offset][]*claim
	holders map[model.ShardName]*claim
	intents map[string][]intent
}

func (r *Recording) authorities() *authorities {
	a := &authorities{
		byFence: map[model.Offset][]*claim{},
		holders: map[model.ShardName]*claim{},
		intents: map[string][]intent{},
	}
	for _, e := range r.eventsOf(record.Appended) {
		records, _ := logrec.Decode(e.Body)
		for i := range records {
			a.apply(e.Offset, &records[i])
		}
	}
	return a
}

func (a *authorities) apply(offset model.Offset, rec *logrec.Record) {
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

// claim wins when it names the present claim of the shard as its predecessor.
func (a *authorities) claim(offset model.Offset, rec *logrec.Record, body *logrec.Claim) {
	holder := a.holders[body.Shard]
	var present model.Offset
	if holder != nil {
		present = holder.fence
	}
	if body.Supersedes != present {
		return
	}
	won := &claim{shard: body.Shard, fence: offset, host: rec.Host}
	if holder != nil {
		holder.next = offset
	}
	a.holders[body.Shard] = won
	a.byFence[offset] = append(a.byFence[offset], won)
}

// find returns the winning claim of a host with a fencing token. One entry
// may hold claims of several shards.
func (a *authorities) find(fence model.Offset, host model.HostID) []*claim {
	var found []*claim
	for _, c := range a.byFence[fence] {
		if c.host == host {
			found = append(found, c)
		}
	}
	return found
}

// validIntent tells whether an order was logged under a fence before another
// claim took the shard over.
func (a *authorities) validIntent(orderID string, fence model.Offset, host model.HostID) bool {
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
