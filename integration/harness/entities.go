package harness

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/rotisserie/eris"

	"github.com/redwingpath/redwingpath/integration/check"
	"github.com/redwingpath/redwingpath/integration/load"
	"github.com/redwingpath/redwingpath/pkg/logrec"
	"github.com/redwingpath/redwingpath/pkg/model"
)

// Entities is the configuration that a deployment starts with.
type Entities struct {
	Organisations []model.Organisation
	// Keys are the keys granted at the start, and unknown ones that clients try.
	Keys []check.Key
	// Model and Service are the names of the pools behind the routes.
	Model   model.PoolName
	Service model.PoolName
	// ModelPool and ServicePool hold further properties of the pools, such as the
	// planner's bounds; their names and kinds are set from Model and Service.
	ModelPool   model.Pool
	ServicePool model.Pool
}

// Path prefixes of the routes.
const (
	chatPath            = "/v1/chat/completions"
	publicServicePrefix = "/public"
)

// Paths returns the paths under which clients reach the entities' routes.
func (e *Entities) Paths() load.Paths {
	return load.Paths{
		Chat: chatPath, Model: e.Model,
		Service: "/" + string(e.Service), PublicService: publicServicePrefix,
	}
}

func (e *Entities) allKeys() []check.Key { return append([]check.Key(nil), e.Keys...) }

func change(kind logrec.EntityKind, id string, value any) (logrec.Change, error) {
	data, err := json.Marshal(value)
	return logrec.Change{Entity: kind, ID: id, Expect: logrec.AnyVersion, Value: data}, eris.Wrap(err, "encode entity")
}

// changes returns configuration changes that create the entities.
func (e *Entities) changes() ([]logrec.Change, error) {
	modelPool, servicePool := e.ModelPool, e.ServicePool
	modelPool.Name, modelPool.Kind = e.Model, model.PoolEngine
	servicePool.Name, servicePool.Kind = e.Service, model.PoolService
	entities := []entity{
		{logrec.EntityPool, string(e.Model), modelPool},
		{logrec.EntityPool, string(e.Service), servicePool},
		{logrec.EntityRoute, "chat", model.Route{ID: "chat", PathPrefix: chatPath, Kind: model.RouteModel, Idempotent: true}},
		{logrec.EntityRoute, "service", model.Route{
			ID: "service", PathPrefix: "/" + string(e.Service), Kind: model.RouteService, Pool: e.Service,
		}},
		{logrec.EntityRoute, "public", model.Route{
			ID: "public", PathPrefix: publicServicePrefix, Kind: model.RouteService, Pool: e.Service, Public: true,
		}},
	}
	for _, org := range e.Organisations {
		shop := model.ShopID("shop-" + org.ID)
		offer := "offer-" + string(org.ID)
		entities = append(entities,
			entity{logrec.EntityOrganisation, string(org.ID), org},
			entity{logrec.EntityShop, string(shop), model.Shop{ID: shop, Organisation: org.ID}},
			entity{logrec.EntityOffer, offer, model.Offer{ID: offer, Shop: shop, Model: e.Model}})
	}
	for _, k := range e.Keys {
		if !k.Unknown {
			entities = append(entities, entity{logrec.EntityKey, string(k.ID), keyEntity(k, false)})
		}
	}
	return encodeAll(entities)
}

type entity struct {
	kind  logrec.EntityKind
	id    string
	value any
}

func encodeAll(entities []entity) ([]logrec.Change, error) {
	var changes []logrec.Change
	for _, e := range entities {
		c, err := change(e.kind, e.id, e.value)
		if err != nil {
			return nil, err
		}
		changes = append(changes, c)
	}
	return changes, nil
}

func keyEntity(k check.Key, revoked bool) model.Key {
	return model.Key{ID: k.ID, Organisation: k.Organisation, Digest: digest(k.Secret), Revoked: revoked}
}

func (d *Deployment) bootstrap(ctx context.Context) error {
	changes, err := d.config.Entities.changes()
	if err != nil {
		return err
	}
	_, err = d.appendChanges(ctx, changes)
	return err
}

// appendChanges appends a configuration change to the log directly, without a host.
func (d *Deployment) appendChanges(ctx context.Context, changes []logrec.Change) (model.Offset, error) {
	rec, err := logrec.New(logrec.KindConfig, logrec.ConfigChange{Operator: OperatorName, Changes: changes})
	if err != nil {
		return 0, err
	}
	rec.ID = ulid.Make().String()
	rec.Host = OperatorName
	rec.Incarnation = model.Incarnation(ulid.Make().String())
	data, err := logrec.Encode([]logrec.Record{rec})
	if err != nil {
		return 0, err
	}
	offset, err := d.platform.Append(ctx, data)
	return offset, eris.Wrap(err, "append configuration")
}

// SetKey grants or revokes a key by a log record.
func (d *Deployment) SetKey(ctx context.Context, id model.KeyID, revoked bool) error {
	for _, k := range d.config.Entities.Keys {
		if k.ID == id {
			return d.apply(ctx, entity{logrec.EntityKey, string(id), keyEntity(k, revoked)}, revoked)
		}
	}
	return eris.Errorf("no key %q", id)
}

// Drain excludes a backend server from new work by a log record.
func (d *Deployment) Drain(ctx context.Context, id model.BackendID) error {
	return d.apply(ctx, entity{logrec.EntityDrain, string(id), model.Drain{Backend: id, Reason: "scenario"}}, false)
}

func (d *Deployment) apply(ctx context.Context, e entity, revoked bool) error {
	c, err := change(e.kind, e.id, e.value)
	if err != nil {
		return err
	}
	offset, err := d.appendChanges(ctx, []logrec.Change{c})
	if err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.changes = append(d.changes, check.Change{
		AcceptedNS: time.Now().UnixNano(), Entity: e.kind, ID: e.id, Version: offset, Revoked: revoked,
	})
	return nil
}

// Key returns the key with the given ID.
func (d *Deployment) Key(id model.KeyID) (check.Key, error) {
	for _, k := range d.config.Entities.Keys {
		if k.ID == id {
			return k, nil
		}
	}
	return check.Key{}, fmt.Errorf("no key %q", id)
}
