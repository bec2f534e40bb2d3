package state

import (
	"encoding/json"
	"fmt"
	"strings"

	iradix "github.com/hashicorp/go-immutable-radix/v2"

	"github.com/redwingpath/redwingpath/pkg/logrec"
	"github.com/redwingpath/redwingpath/pkg/model"
)

// origin identifies the record that last changed an entity. Its offset is the
// entity's version.
type origin struct {
	Version  model.Offset `json:"version"`
	TimeMS   int64        `json:"time_ms"`
	RecordID string       `json:"record_id"`
	Host     model.HostID `json:"host"`
	Operator string       `json:"operator"`
}

// row is a configuration entity with the origin of its last change.
type row[T any] struct {
	origin
	Value T `json:"value"`
}

// deletedRow keeps the origin of a deletion, so that a version conflict can
// report it.
type deletedRow struct {
	origin
	Entity logrec.EntityKind `json:"entity"`
	ID     string            `json:"id"`
}

// config holds the configuration tables and their indexes. Index keys are
// identifiers separated by a zero byte.
type config struct {
	organisations table[row[model.Organisation]]
	keys          table[row[model.Key]]
	shops         table[row[model.Shop]]
	offers        table[row[model.Offer]]
	routes        table[row[model.Route]]
	pools         table[row[model.Pool]]
	drains        table[row[model.Drain]]
	deleted       table[deletedRow]

	keyByDigest   table[model.KeyID]
	routeByPrefix table[model.RouteID]
	// The indexes below map parent, zero byte, child to the child's identifier.
	keysOf    table[string]
	shopsOf   table[string]
	offersOf  table[string]
	poolUsers table[string]
}

func newConfig() config { return emptyConfigTrees().tables() }

// configTrees is an immutable copy of config.
type configTrees struct {
	organisations *iradix.Tree[row[model.Organisation]]
	keys          *iradix.Tree[row[model.Key]]
	shops         *iradix.Tree[row[model.Shop]]
	offers        *iradix.Tree[row[model.Offer]]
	routes        *iradix.Tree[row[model.Route]]
	pools         *iradix.Tree[row[model.Pool]]
	drains        *iradix.Tree[row[model.Drain]]
	deleted       *iradix.Tree[deletedRow]
	keyByDigest   *iradix.Tree[model.KeyID]
	routeByPrefix *iradix.Tree[model.RouteID]
	keysOf        *iradix.Tree[string]
	shopsOf       *iradix.Tree[string]
	offersOf      *iradix.Tree[string]
	poolUsers     *iradix.Tree[string]
}

func emptyConfigTrees() *configTrees {
	return &configTrees{
		organisations: iradix.New[row[model.Organisation]](),
		keys:          iradix.New[row[model.Key]](),
		shops:         iradix.New[row[model.Shop]](),
		offers:        iradix.New[row[model.Offer]](),
		routes:        iradix.New[row[model.Route]](),
		pools:         iradix.New[row[model.Pool]](),
		drains:        iradix.New[row[model.Drain]](),
		deleted:       iradix.New[deletedRow](),
		keyByDigest:   iradix.New[model.KeyID](),
		routeByPrefix: iradix.New[model.RouteID](),
		keysOf:        iradix.New[string](),
		shopsOf:       iradix.New[string](),
		offersOf:      iradix.New[string](),
		poolUsers:     iradix.New[string](),
	}
}

func (c *config) freeze() *configTrees {
	return &configTrees{
		organisations: c.organisations.freeze(),
		keys:          c.keys.freeze(),
		shops:         c.shops.freeze(),
		offers:        c.offers.freeze(),
		routes:        c.routes.freeze(),
		pools:         c.pools.freeze(),
		drains:        c.drains.freeze(),
		deleted:       c.deleted.freeze(),
		keyByDigest:   c.keyByDigest.freeze(),
		routeByPrefix: c.routeByPrefix.freeze(),
		keysOf:        c.keysOf.freeze(),
		shopsOf:       c.shopsOf.freeze(),
		offersOf:      c.offersOf.freeze(),
		poolUsers:     c.poolUsers.freeze(),
	}
}

// tableFrom returns a mutable table that starts with the content of a tree.
func tableFrom[T any](tree *iradix.Tree[T]) table[T] { return table[T]{txn: tree.Txn()} }

func (f *configTrees) tables() config {
	return config{
		organisations: tableFrom(f.organisations),
		keys:          tableFrom(f.keys),
		shops:         tableFrom(f.shops),
		offers:        tableFrom(f.offers),
		routes:        tableFrom(f.routes),
		pools:         tableFrom(f.pools),
		drains:        tableFrom(f.drains),
		deleted:       tableFrom(f.deleted),
		keyByDigest:   tableFrom(f.keyByDigest),
		routeByPrefix: tableFrom(f.routeByPrefix),
		keysOf:        tableFrom(f.keysOf),
		shopsOf:       tableFrom(f.shopsOf),
		offersOf:      tableFrom(f.offersOf),
		poolUsers:     tableFrom(f.poolUsers),
	}
}

// applyConfig applies all changes of a record, or none of them if any is void.
func (t *Tables) applyConfig(r *logrec.Record, body *logrec.ConfigChange, at position) *void {
	if v := checkChangeSet(body.Changes); v != nil {
		return v
	}
	by := origin{Version: at.offset, TimeMS: at.timeMS, RecordID: r.ID, Host: r.Host, Operator: body.Operator}
	before := t.config.freeze()
	for i := range body.Changes {
		if v := t.config.applyChange(&body.Changes[i], by); v != nil {
			t.config = before.tables()
			return v
		}
	}
	for i := range body.Changes {
		if v := t.config.checkReferences(&body.Changes[i]); v != nil {
			t.config = before.tables()
			return v
		}
	}
	for _, c := range body.Changes {
		if c.Delete {
			t.expiry.deletions.push(at.timeMS, entityKey(c.Entity, c.ID))
		}
	}
	return nil
}

func entityKey(kind logrec.EntityKind, id string) string { return string(kind) + "\x00" + id }

// checkChangeSet rejects empty sets, invalid identifiers, and sets that change
// an entity twice, since their result would depend on the order of the changes.
func checkChangeSet(changes []logrec.Change) *void {
	if len(changes) == 0 {
		return newVoid(ReasonInvalid, "no changes")
	}
	changed := map[string]bool{}
	for _, c := range changes {
		if c.ID == "" || strings.ContainsRune(c.ID, 0) {
			return newVoid(ReasonInvalid, fmt.Sprintf("%s: bad identifier %q", c.Entity, c.ID))
		}
		key := entityKey(c.Entity, c.ID)
		if changed[key] {
			return newVoid(ReasonInvalid, fmt.Sprintf("%s %s is changed twice", c.Entity, c.ID))
		}
		changed[key] = true
	}
	return nil
}

// applyChange applies one change without checking its references.
func (c *config) applyChange(ch *logrec.Change, by origin) *void {
	switch ch.Entity {
	case logrec.EntityOrganisation:
		return writeEntity(c, &c.organisations, ch, by, checkOrganisation, nil)
	case logrec.EntityKey:
		return writeEntity(c, &c.keys, ch, by, c.checkKey, c.indexKey)
	case logrec.EntityShop:
		return writeEntity(c, &c.shops, ch, by, checkShop, c.indexShop)
	case logrec.EntityOffer:
		return writeEntity(c, &c.offers, ch, by, checkOffer, c.indexOffer)
	case logrec.EntityRoute:
		return writeEntity(c, &c.routes, ch, by, c.checkRoute, c.indexRoute)
	case logrec.EntityPool:
		return writeEntity(c, &c.pools, ch, by, c.checkPool, nil)
	case logrec.EntityDrain:
		return writeEntity(c, &c.drains, ch, by, checkDrain, nil)
	default:
		return newVoid(ReasonInvalid, fmt.Sprintf("unknown kind of entity %q", ch.Entity))
	}
}

// writeEntity checks the version that a change expects, then writes or deletes
// the entity. check returns what is wrong with a value, empty if it is valid.
// index, if not nil, replaces the index entries of the old value by those of
// the new one.
func writeEntity[T any](c *config, t *table[row[T]], ch *logrec.Change, by origin,
	check func(id string, v *T) string, index func(id string, old, new *T),
) *void {
	current, exists := t.get(ch.ID)
	if ch.Expect != logrec.AnyVersion && ch.Expect != current.Version {
		return c.conflict(ch, exists, current.origin, current.Value)
	}
	var old, next *T
	if exists {
		old = &current.Value
	}
	if ch.Delete {
		if !exists {
			return newVoid(ReasonReference, fmt.Sprintf("%s %s does not exist", ch.Entity, ch.ID))
		}
		t.delete(ch.ID)
		c.deleted.set(entityKey(ch.Entity, ch.ID), deletedRow{origin: by, Entity: ch.Entity, ID: ch.ID})
	} else {
		next = new(T)
		if err := json.Unmarshal(ch.Value, next); err != nil {
			return newVoid(ReasonInvalid, fmt.Sprintf("%s %s: %v", ch.Entity, ch.ID, err))
		}
		if problem := check(ch.ID, next); problem != "" {
			return newVoid(ReasonInvalid, fmt.Sprintf("%s %s: %s", ch.Entity, ch.ID, problem))
		}
		t.set(ch.ID, row[T]{origin: by, Value: *next})
		c.deleted.delete(entityKey(ch.Entity, ch.ID))
	}
	if index != nil {
		index(ch.ID, old, next)
	}
	return nil
}

// conflict returns the void for a change that expects another version than the
// current one. Its winner, if known, is the change that made the current version
// and that the operator had not seen.
func (c *config) conflict(ch *logrec.Change, exists bool, last origin, value any) *void {
	v := newVoid(ReasonConflict, fmt.Sprintf("%s %s is at version %d, the change expects %d",
		ch.Entity, ch.ID, last.Version, ch.Expect))
	winning := logrec.Change{Entity: ch.Entity, ID: ch.ID}
	if exists {
		winning.Value, _ = json.Marshal(value)
	} else {
		deletion, ok := c.deleted.get(entityKey(ch.Entity, ch.ID))
		if !ok {
			return v
		}
		last = deletion.origin
		winning.Delete = true
	}
	v.winner = &Winner{Offset: last.Version, TimeMS: last.TimeMS, RecordID: last.RecordID,
		Host: last.Host, Operator: last.Operator, Change: winning}
	return v
}
