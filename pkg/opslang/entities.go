package opslang

import (
	"github.com/redwingpath/redwingpath/pkg/engine"
	"github.com/redwingpath/redwingpath/pkg/logrec"
	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/state"
)

// entity describes a kind of configuration entity: its noun and attributes.
type entity struct {
	noun       Noun
	kind       logrec.EntityKind
	attributes []*attribute
	// create returns a pointer to a new value with the given ID.
	create func(id string) any
	// load returns a pointer to a copy of the value in force, and its version.
	load func(v state.View, id string) (any, model.Offset, bool)
}

// attribute is one settable field of an entity.
type attribute struct {
	name     string
	expects  string
	required bool
	// parse returns a function that sets the attribute of an entity to the value
	// that the text describes.
	parse func(text string) (func(entity any), error)
}

// optional describes an attribute of entities of type T with values of type V. A
// statement that creates an entity may omit the attribute.
func optional[T, V any](name, expects string, parse func(string) (V, error), set func(*T, V)) *attribute {
	return &attribute{
		name:    name,
		expects: expects,
		parse: func(text string) (func(any), error) {
			value, err := parse(text)
			return func(target any) { set(target.(*T), value) }, err
		},
	}
}

func required[T, V any](name, expects string, parse func(string) (V, error), set func(*T, V)) *attribute {
	a := optional(name, expects, parse, set)
	a.required = true
	return a
}

// loader adapts a lookup method of the view to entity.load.
func loader[T any, K ~string](lookup func(state.View, K) (T, model.Offset, bool)) func(state.View, string) (any, model.Offset, bool) {
	return func(v state.View, id string) (any, model.Offset, bool) {
		value, version, ok := lookup(v, K(id))
		return &value, version, ok
	}
}

// entities contains the kinds of configuration entity by noun.
var entities = map[Noun]*entity{
	NounOrganisation: {
		noun:   NounOrganisation,
		kind:   logrec.EntityOrganisation,
		create: func(id string) any { return &model.Organisation{ID: model.OrganisationID(id)} },
		load:   loader(state.View.Organisation),
		attributes: []*attribute{
			optional("name", expectText, parseText, func(o *model.Organisation, v string) { o.Name = v }),
			required("rate", expectNumber, parseNumber, func(o *model.Organisation, v float64) { o.Rate = v }),
			required("burst", expectNumber, parseNumber, func(o *model.Organisation, v float64) { o.Burst = v }),
			optional("weight", expectNumber, parseNumber, func(o *model.Organisation, v float64) { o.Weight = v }),
			optional("max-streams", expectCount, parseCount, func(o *model.Organisation, v int) { o.MaxStreams = v }),
		},
	},
	NounKey: {
		noun:   NounKey,
		kind:   logrec.EntityKey,
		create: func(id string) any { return &model.Key{ID: model.KeyID(id)} },
		load:   loader(state.View.Key),
		attributes: []*attribute{
			required("org", expectName, parseName, func(k *model.Key, v string) { k.Organisation = model.OrganisationID(v) }),
			optional("digest", expectDigest, parseDigest, func(k *model.Key, v string) { k.Digest = v }),
		},
	},
	NounShop: {
		noun:   NounShop,
		kind:   logrec.EntityShop,
		create: func(id string) any { return &model.Shop{ID: model.ShopID(id)} },
		load:   loader(state.View.Shop),
		attributes: []*attribute{
			required("org", expectName, parseName, func(s *model.Shop, v string) { s.Organisation = model.OrganisationID(v) }),
			optional("zone", expectZone, parseZone, func(s *model.Shop, v string) { s.TimeZone = v }),
			// Opening hours have their own grammar; see hoursNode.
			{name: "hours", expects: expectDays},
		},
	},
	NounOffer: {
		noun:   NounOffer,
		kind:   logrec.EntityOffer,
		create: func(id string) any { return &model.Offer{ID: id} },
		load:   loader(state.View.Offer),
		attributes: []*attribute{
			required("shop", expectName, parseName, func(o *model.Offer, v string) { o.Shop = model.ShopID(v) }),
			required("model", expectName, parseName, func(o *model.Offer, v string) { o.Model = model.PoolName(v) }),
			optional("adapter", expectText, parseText, func(o *model.Offer, v string) { o.Adapter = v }),
			optional("version", expectText, parseText, func(o *model.Offer, v string) { o.Version = v }),
		},
	},
	NounRoute: {
		noun:   NounRoute,
		kind:   logrec.EntityRoute,
		create: func(id string) any { return &model.Route{ID: model.RouteID(id)} },
		load:   loader(state.View.Route),
		attributes: []*attribute{
			required("path", expectPath, parsePath, func(r *model.Route, v string) { r.PathPrefix = v }),
			required("kind", "model or service", oneOf(model.RouteModel, model.RouteService), func(r *model.Route, v model.RouteKind) { r.Kind = v }),
			optional("pool", expectName, parseName, func(r *model.Route, v string) { r.Pool = model.PoolName(v) }),
			optional("public", expectYesNo, parseYesNo, func(r *model.Route, v bool) { r.Public = v }),
			optional("idempotent", expectYesNo, parseYesNo, func(r *model.Route, v bool) { r.Idempotent = v }),
		},
	},
	NounPool: {
		noun:   NounPool,
		kind:   logrec.EntityPool,
		create: func(id string) any { return &model.Pool{Name: model.PoolName(id)} },
		load:   loader(state.View.Pool),
		attributes: []*attribute{
			required("kind", "engine or service", oneOf(model.PoolEngine, model.PoolService), func(p *model.Pool, v model.PoolKind) { p.Kind = v }),
			optional("checks-fencing", expectYesNo, parseYesNo, func(p *model.Pool, v bool) { p.ChecksFencing = v }),
			optional("min", expectCount, parseCount, func(p *model.Pool, v int) { p.Minimum = v }),
			optional("max", expectCount, parseCount, func(p *model.Pool, v int) { p.Maximum = v }),
			optional("preemptible", expectShare, parseShare, func(p *model.Pool, v float64) { p.PreemptibleShare = v }),
		},
	},
	NounBackend: {
		noun:   NounBackend,
		kind:   logrec.EntityDrain,
		create: func(id string) any { return &model.Drain{Backend: model.BackendID(id)} },
		load:   loader(state.View.Drain),
		attributes: []*attribute{
			optional("reason", expectText, parseText, func(d *model.Drain, v string) { d.Reason = v }),
			optional("role", "prefill, decode or mixed", oneOf(engine.RolePrefill, engine.RoleDecode, engine.RoleMixed), drainForRole),
			optional("release", expectYesNo, parseYesNo, drainForRelease),
		},
	},
}

// drainForRole makes a change of role the purpose of a drain. The engine changes
// its role once it is idle and then returns to service.
func drainForRole(d *model.Drain, role engine.Role) {
	d.Purpose = &model.DrainPurpose{Kind: model.DrainForRole, Role: string(role)}
}

// drainForRelease makes the release of the backend server the purpose of a drain, if
// release is set. The backend server is released once it is idle.
func drainForRelease(d *model.Drain, release bool) {
	if release {
		d.Purpose = &model.DrainPurpose{Kind: model.DrainForRelease}
	}
}

// entityByKind returns the description of a kind of entity, or nil.
func entityByKind(kind logrec.EntityKind) *entity {
	for _, e := range entities {
		if e.kind == kind {
			return e
		}
	}
	return nil
}

func nounOf(kind logrec.EntityKind) Noun {
	return entityByKind(kind).noun
}

// attributesFor returns the attributes that a verb may set, by name.
func (e *entity) attributesFor(verb Verb) map[string]*attribute {
	known := make(map[string]*attribute)
	switch verb {
	case Create, Modify, Grant, Drain:
		for _, a := range e.attributes {
			known[a.name] = a
		}
	}
	return known
}

// names lists the attributes that a verb may set, in documented order.
func (e *entity) names(verb Verb) []string {
	known := e.attributesFor(verb)
	var names []string
	for _, a := range e.attributes {
		if known[a.name] != nil {
			names = append(names, a.name)
		}
	}
	return names
}
