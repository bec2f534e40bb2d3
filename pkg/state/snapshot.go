package state

import (
	"time"

	iradix "github.com/hashicorp/go-immutable-radix/v2"

	"github.com/redwingpath/redwingpath/pkg/logrec"
	"github.com/redwingpath/redwingpath/pkg/model"
)

// Snapshot is an immutable copy of the tables. It shares unchanged nodes with
// the tables and with other snapshots.
type Snapshot struct {
	options Options
	offset  model.Offset
	timeMS  int64

	*configTrees
	members         *iradix.Tree[Member]
	failed          *iradix.Tree[FailedMember]
	incarnations    *iradix.Tree[incarnationRow]
	shards          *iradix.Tree[Shard]
	intents         *iradix.Tree[OpenIntent]
	intentByBackend *iradix.Tree[string]
	idempotency     *iradix.Tree[IdempotencyEntry]
	crashes         *iradix.Tree[crashRow]
	openUsage       *iradix.Tree[logrec.UsageLine]
	sequences       *iradix.Tree[sequenceRow]
	windows         *iradix.Tree[windowRow]
	sealed          *iradix.Tree[SealedWindow]
	checkpoint      Checkpoint
	seen            []seenBucket
}

var _ View = (*Snapshot)(nil)

// Snapshot returns the current content of the tables. Its cost does not depend
// on the size of the tables.
func (t *Tables) Snapshot() *Snapshot {
	return &Snapshot{
		options:         t.options,
		offset:          t.offset,
		timeMS:          t.timeMS,
		configTrees:     t.config.freeze(),
		members:         t.members.freeze(),
		failed:          t.failed.freeze(),
		incarnations:    t.incarnations.freeze(),
		shards:          t.shards.freeze(),
		intents:         t.intents.freeze(),
		intentByBackend: t.intentByBackend.freeze(),
		idempotency:     t.idempotency.freeze(),
		crashes:         t.crashes.freeze(),
		openUsage:       t.usage.open.freeze(),
		sequences:       t.usage.sequences.freeze(),
		windows:         t.usage.windows.freeze(),
		sealed:          t.usage.sealed.freeze(),
		checkpoint:      t.checkpoint,
		seen:            t.seen.freeze(),
	}
}

// Offset implements View.
func (s *Snapshot) Offset() model.Offset { return s.offset }

// TimeMS is the log time, the highest platform time of the applied entries.
func (s *Snapshot) TimeMS() int64 { return s.timeMS }

func lookupVersioned[T any](tree *iradix.Tree[row[T]], id string) (T, model.Offset, bool) {
	r, ok := lookup(tree, id)
	return r.Value, r.Version, ok
}

func allValues[T any](tree *iradix.Tree[row[T]]) []T {
	all := make([]T, 0, tree.Len())
	tree.Root().Walk(func(_ []byte, r row[T]) bool {
		all = append(all, r.Value)
		return false
	})
	return all
}

// LastCheckpoint is the newest completed checkpoint, or the zero value if there
// is none.
func (s *Snapshot) LastCheckpoint() Checkpoint { return s.checkpoint }

// Organisation implements View.
func (s *Snapshot) Organisation(id model.OrganisationID) (model.Organisation, model.Offset, bool) {
	return lookupVersioned(s.organisations, string(id))
}

// Key implements View.
func (s *Snapshot) Key(id model.KeyID) (model.Key, model.Offset, bool) {
	return lookupVersioned(s.keys, string(id))
}

// KeyByDigest implements View.
func (s *Snapshot) KeyByDigest(digest string) (model.Key, bool) {
	id, ok := lookup(s.keyByDigest, digest)
	if !ok {
		return model.Key{}, false
	}
	k, _, ok := s.Key(id)
	return k, ok
}

// Shop implements View.
func (s *Snapshot) Shop(id model.ShopID) (model.Shop, model.Offset, bool) {
	return lookupVersioned(s.shops, string(id))
}

// Offer implements View.
func (s *Snapshot) Offer(id string) (model.Offer, model.Offset, bool) {
	return lookupVersioned(s.offers, id)
}

// Offers implements View.
func (s *Snapshot) Offers(shop model.ShopID) []model.Offer {
	ids := values(s.offersOf, string(shop)+"\x00")
	found := make([]model.Offer, 0, len(ids))
	for _, id := range ids {
		if o, _, ok := s.Offer(id); ok {
			found = append(found, o)
		}
	}
	return found
}

// ShopsOf implements View.
func (s *Snapshot) ShopsOf(org model.OrganisationID) []model.ShopID {
	ids := values(s.shopsOf, string(org)+"\x00")
	found := make([]model.ShopID, 0, len(ids))
	for _, id := range ids {
		found = append(found, model.ShopID(id))
	}
	return found
}

// Route implements View.
func (s *Snapshot) Route(id model.RouteID) (model.Route, model.Offset, bool) {
	return lookupVersioned(s.routes, string(id))
}

// MatchRoute implements View.
func (s *Snapshot) MatchRoute(path string) (model.Route, bool) {
	var best model.RouteID
	s.routeByPrefix.Root().WalkPath([]byte(path), func(prefix []byte, id model.RouteID) bool {
		n := len(prefix)
		if n == len(path) || path[n] == '/' || prefix[n-1] == '/' {
			best = id
		}
		return false
	})
	if best == "" {
		return model.Route{}, false
	}
	r, _, ok := s.Route(best)
	return r, ok
}

// Pool implements View.
func (s *Snapshot) Pool(name model.PoolName) (model.Pool, model.Offset, bool) {
	return lookupVersioned(s.pools, string(name))
}

// Drain implements View.
func (s *Snapshot) Drain(b model.BackendID) (model.Drain, model.Offset, bool) {
	return lookupVersioned(s.drains, string(b))
}

// Organisations implements View.
func (s *Snapshot) Organisations() []model.Organisation { return allValues(s.organisations) }

// Keys implements View.
func (s *Snapshot) Keys() []model.Key { return allValues(s.keys) }

// Shops implements View.
func (s *Snapshot) Shops() []model.Shop { return allValues(s.shops) }

// AllOffers implements View.
func (s *Snapshot) AllOffers() []model.Offer { return allValues(s.offers) }

// Routes implements View.
func (s *Snapshot) Routes() []model.Route { return allValues(s.routes) }

// Pools implements View.
func (s *Snapshot) Pools() []model.Pool { return allValues(s.pools) }

// Drains implements View.
func (s *Snapshot) Drains() []model.Drain { return allValues(s.drains) }

// Members implements View.
func (s *Snapshot) Members() []Member { return values(s.members, "") }

// Member returns the member with a host id.
func (s *Snapshot) Member(host model.HostID) (Member, bool) { return lookup(s.members, string(host)) }

// FailedMembers lists members that were declared failed and still count towards
// the majority.
func (s *Snapshot) FailedMembers() []FailedMember { return values(s.failed, "") }

// Departed reports whether an incarnation of a host has ended: it left, was
// declared failed, or a later incarnation has joined. An incarnation that is
// not in the tables has ended too.
func (s *Snapshot) Departed(host model.HostID, incarnation model.Incarnation) bool {
	m, ok := s.Member(host)
	return !ok || m.Incarnation != incarnation
}

// Shard implements View.
func (s *Snapshot) Shard(name model.ShardName) (Shard, bool) { return lookup(s.shards, string(name)) }

// Shards implements View.
func (s *Snapshot) Shards() []Shard { return values(s.shards, "") }

// OpenIntents implements View.
func (s *Snapshot) OpenIntents() []OpenIntent { return values(s.intents, "") }

// OpenIntent returns the open intent of a backend server.
func (s *Snapshot) OpenIntent(b model.BackendID) (OpenIntent, bool) {
	id, ok := lookup(s.intentByBackend, string(b))
	if !ok {
		return OpenIntent{}, false
	}
	return lookup(s.intents, id)
}

// Idempotency implements View.
func (s *Snapshot) Idempotency(org model.OrganisationID, key string) (IdempotencyEntry, bool) {
	return lookup(s.idempotency, idempotencyKey(org, key))
}

// Crashes implements View.
func (s *Snapshot) Crashes(digest string, now time.Time) int {
	r, _ := lookup(s.crashes, digest)
	oldest := now.Add(-s.options.CrashTTL).UnixMilli()
	count := 0
	for _, c := range r.Crashes {
		if c.TimeMS > oldest {
			count++
		}
	}
	return count
}

// Unreported implements View.
func (s *Snapshot) Unreported() []SealedWindow { return values(s.sealed, "") }

// OpenUsage lists the usage in the open window of a usage shard.
func (s *Snapshot) OpenUsage(shard model.ShardName) []logrec.UsageLine {
	return values(s.openUsage, string(shard)+"\x00")
}

// LastWindow returns the start of the last sealed window of a usage shard.
func (s *Snapshot) LastWindow(shard model.ShardName) (startMS int64, ok bool) {
	w, ok := lookup(s.windows, string(shard))
	return w.StartMS, ok
}
