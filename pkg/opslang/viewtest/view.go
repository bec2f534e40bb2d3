// Package viewtest provides an in-memory state.View for tests. Its contents are
// set by configuration changes.
package viewtest

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/redwingpath/redwingpath/pkg/logrec"
	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/state"
)

// View implements the configuration methods of state.View. The other methods
// return the value of an exported field, or panic if there is none for them.
type View struct {
	state.View
	At           model.Offset
	HostList     []state.Member
	ShardList    []state.Shard
	IntentList   []state.OpenIntent
	entities     map[string]map[string]any
	versions     map[string]model.Offset
	newestChange map[string]logrec.Change
}

// New returns an empty view.
func New() *View {
	return &View{
		entities:     make(map[string]map[string]any),
		versions:     make(map[string]model.Offset),
		newestChange: make(map[string]logrec.Change),
	}
}

// Conflict is the error of Apply for a change that expects a version other than
// the current one.
type Conflict struct {
	Change  logrec.Change
	Current model.Offset
	Winner  logrec.Change
}

// Error implements error.
func (c *Conflict) Error() string {
	return fmt.Sprintf("%s %s has version %d", c.Change.Entity, c.Change.ID, c.Current)
}

// Apply applies all changes at the next offset, or none if one conflicts.
func (v *View) Apply(changes ...logrec.Change) error {
	for _, c := range changes {
		current := v.versions[versionKey(c.Entity, c.ID)]
		if c.Expect != logrec.AnyVersion && c.Expect != current {
			return &Conflict{Change: c, Current: current, Winner: v.newestChange[versionKey(c.Entity, c.ID)]}
		}
	}
	v.At++
	for _, c := range changes {
		if err := v.apply(c); err != nil {
			return err
		}
	}
	return nil
}

func (v *View) apply(c logrec.Change) error {
	key := versionKey(c.Entity, c.ID)
	v.newestChange[key] = c
	if c.Delete {
		delete(v.entities[string(c.Entity)], c.ID)
		delete(v.versions, key)
		return nil
	}
	value := newValue(c.Entity)
	if err := json.Unmarshal(c.Value, value); err != nil {
		return err
	}
	if v.entities[string(c.Entity)] == nil {
		v.entities[string(c.Entity)] = make(map[string]any)
	}
	v.entities[string(c.Entity)][c.ID] = value
	v.versions[key] = v.At
	return nil
}

func newValue(kind logrec.EntityKind) any {
	switch kind {
	case logrec.EntityOrganisation:
		return &model.Organisation{}
	case logrec.EntityKey:
		return &model.Key{}
	case logrec.EntityShop:
		return &model.Shop{}
	case logrec.EntityOffer:
		return &model.Offer{}
	case logrec.EntityRoute:
		return &model.Route{}
	case logrec.EntityPool:
		return &model.Pool{}
	default:
		return &model.Drain{}
	}
}

func versionKey(kind logrec.EntityKind, id string) string {
	return string(kind) + "/" + id
}

func get[T any](v *View, kind logrec.EntityKind, id string) (T, model.Offset, bool) {
	value, ok := v.entities[string(kind)][id].(*T)
	if !ok {
		var none T
		return none, 0, false
	}
	return *value, v.versions[versionKey(kind, id)], true
}

func all[T any](v *View, kind logrec.EntityKind) []T {
	var values []T
	for _, id := range slices.Sorted(maps.Keys(v.entities[string(kind)])) {
		values = append(values, *v.entities[string(kind)][id].(*T))
	}
	return values
}

// The methods below implement state.View.

func (v *View) Offset() model.Offset { return v.At }

func (v *View) Organisation(id model.OrganisationID) (model.Organisation, model.Offset, bool) {
	return get[model.Organisation](v, logrec.EntityOrganisation, string(id))
}

func (v *View) Key(id model.KeyID) (model.Key, model.Offset, bool) {
	return get[model.Key](v, logrec.EntityKey, string(id))
}

func (v *View) KeyByDigest(digest string) (model.Key, bool) {
	for _, key := range v.Keys() {
		if key.Digest == digest {
			return key, true
		}
	}
	return model.Key{}, false
}

func (v *View) Shop(id model.ShopID) (model.Shop, model.Offset, bool) {
	return get[model.Shop](v, logrec.EntityShop, string(id))
}

func (v *View) Offer(id string) (model.Offer, model.Offset, bool) {
	return get[model.Offer](v, logrec.EntityOffer, id)
}

func (v *View) Route(id model.RouteID) (model.Route, model.Offset, bool) {
	return get[model.Route](v, logrec.EntityRoute, string(id))
}

func (v *View) Pool(name model.PoolName) (model.Pool, model.Offset, bool) {
	return get[model.Pool](v, logrec.EntityPool, string(name))
}

func (v *View) Drain(b model.BackendID) (model.Drain, model.Offset, bool) {
	return get[model.Drain](v, logrec.EntityDrain, string(b))
}

func (v *View) ShopsOf(org model.OrganisationID) []model.ShopID {
	var shops []model.ShopID
	for _, shop := range v.Shops() {
		if shop.Organisation == org {
			shops = append(shops, shop.ID)
		}
	}
	return shops
}

func (v *View) Offers(shop model.ShopID) []model.Offer {
	return slices.DeleteFunc(v.AllOffers(), func(o model.Offer) bool { return o.Shop != shop })
}

func (v *View) Organisations() []model.Organisation {
	return all[model.Organisation](v, logrec.EntityOrganisation)
}
func (v *View) Keys() []model.Key               { return all[model.Key](v, logrec.EntityKey) }
func (v *View) Shops() []model.Shop             { return all[model.Shop](v, logrec.EntityShop) }
func (v *View) AllOffers() []model.Offer        { return all[model.Offer](v, logrec.EntityOffer) }
func (v *View) Routes() []model.Route           { return all[model.Route](v, logrec.EntityRoute) }
func (v *View) Pools() []model.Pool             { return all[model.Pool](v, logrec.EntityPool) }
func (v *View) Drains() []model.Drain           { return all[model.Drain](v, logrec.EntityDrain) }
func (v *View) Members() []state.Member         { return v.HostList }
func (v *View) Shards() []state.Shard           { return v.ShardList }
func (v *View) OpenIntents() []state.OpenIntent { return v.IntentList }
