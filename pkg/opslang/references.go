package opslang

import (
	"github.com/redwingpath/redwingpath/pkg/logrec"
	"github.com/redwingpath/redwingpath/pkg/model"
)

// checkReferences checks that the changed entities are consistent with each other
// and with those in force, in the state after the script.
func (p *planner) checkReferences() {
	for _, item := range p.order {
		if item.deleted {
			p.checkUnused(item)
			continue
		}
		switch value := item.value.(type) {
		case *model.Key:
			p.checkKey(item, value)
		case *model.Shop:
			p.requireEntity(item, logrec.EntityOrganisation, string(value.Organisation))
		case *model.Offer:
			p.checkOffer(item, value)
		case *model.Route:
			p.checkRoute(item, value)
		case *model.Pool:
			p.checkPool(item, value)
		}
	}
}

// at returns the position of an attribute, or of the statement if the attribute is
// not given.
func (item *planned) at(attribute string) Position {
	for _, a := range item.change.Assignments {
		if a.Name == attribute {
			return a.Position
		}
	}
	return item.change.Position
}

// requireEntity returns the entity to which item refers, and adds a finding if it
// does not exist.
func (p *planner) requireEntity(item *planned, kind logrec.EntityKind, id string) (any, bool) {
	value, ok := p.find(kind, id)
	if !ok {
		noun := string(nounOf(kind))
		p.findings.add(item.at(noun), "an existing name", "there is no %s %s", noun, id)
	}
	return value, ok
}

func (p *planner) checkKey(item *planned, key *model.Key) {
	if key.Revoked {
		return
	}
	p.requireEntity(item, logrec.EntityOrganisation, string(key.Organisation))
	p.checkDigest(item, key)
}

// checkDigest reports a digest that another key already has.
func (p *planner) checkDigest(item *planned, key *model.Key) {
	other, taken := p.digests[key.Digest]
	if inForce, ok := p.view.KeyByDigest(key.Digest); ok && inForce.ID != key.ID {
		other, taken = inForce.ID, true
	}
	if taken {
		p.findings.add(item.at("digest"), "the digest of a new key", "key %s has the same digest", other)
	}
	p.digests[key.Digest] = key.ID
}

func (p *planner) checkOffer(item *planned, offer *model.Offer) {
	p.requireEntity(item, logrec.EntityShop, string(offer.Shop))
	pool, ok := p.find(logrec.EntityPool, string(offer.Model))
	switch {
	case !ok:
		p.findings.add(item.at("model"), "the name of an engine pool", "there is no pool %s", offer.Model)
	case pool.(*model.Pool).Kind != model.PoolEngine:
		p.findings.add(item.at("model"), "the name of an engine pool", "pool %s is a service", offer.Model)
	}
}

func (p *planner) checkRoute(item *planned, route *model.Route) {
	switch route.Kind {
	case model.RouteModel:
		if route.Pool != "" {
			p.findings.add(item.at("pool"), "no pool", "a model route takes the model from the request")
		}
		if route.Public {
			p.findings.add(item.at("public"), "no", "a model route needs an organisation")
		}
	case model.RouteService:
		p.checkServicePool(item, route)
	}
	for _, other := range p.routes() {
		if other.ID != route.ID && other.PathPrefix == route.PathPrefix {
			p.findings.add(item.at("path"), "a path of its own", "route %s has the same path", other.ID)
		}
	}
}

func (p *planner) checkServicePool(item *planned, route *model.Route) {
	pool, ok := p.find(logrec.EntityPool, string(route.Pool))
	switch {
	case route.Pool == "":
		p.findings.add(item.at("kind"), "a pool", "service route %s has no pool", route.ID)
	case !ok:
		p.findings.add(item.at("pool"), "the name of a service pool", "there is no pool %s", route.Pool)
	case pool.(*model.Pool).Kind != model.PoolService:
		p.findings.add(item.at("pool"), "the name of a service pool", "pool %s is an engine pool", route.Pool)
	}
}

func (p *planner) checkPool(item *planned, pool *model.Pool) {
	if pool.Maximum > 0 && pool.Minimum > pool.Maximum {
		p.findings.add(item.at("max"), "at least min", "max %d is less than min %d", pool.Maximum, pool.Minimum)
	}
	before, _, exists := p.view.Pool(pool.Name)
	if exists && before.Kind != pool.Kind {
		p.reportUse(item, "kind", p.usersOfPool(pool.Name))
	}
}

// checkUnused reports a deleted entity to which others still refer, and a deleted
// key that is not revoked.
func (p *planner) checkUnused(item *planned) {
	switch value := item.value.(type) {
	case *model.Organisation:
		p.reportUse(item, "", p.usersOfOrganisation(value.ID))
	case *model.Key:
		if !value.Revoked {
			p.findings.add(item.change.Position, "a revoked key", "key %s is not revoked", value.ID)
		}
	case *model.Shop:
		p.reportUse(item, "", p.usersOfShop(value.ID))
	case *model.Pool:
		p.reportUse(item, "", p.usersOfPool(value.Name))
	}
}

func (p *planner) reportUse(item *planned, attribute string, users []string) {
	for _, user := range users {
		p.findings.add(item.at(attribute), "", "%s %s is used by %s", nounOf(item.change.Entity), item.change.ID, user)
	}
}

func (p *planner) usersOfOrganisation(org model.OrganisationID) []string {
	var users []string
	for _, shop := range collect(p, logrec.EntityShop, p.view.Shops(), func(s *model.Shop) string { return string(s.ID) }) {
		if shop.Organisation == org {
			users = append(users, "shop "+string(shop.ID))
		}
	}
	for _, key := range collect(p, logrec.EntityKey, p.view.Keys(), func(k *model.Key) string { return string(k.ID) }) {
		if key.Organisation == org && !key.Revoked {
			users = append(users, "key "+string(key.ID))
		}
	}
	return users
}

func (p *planner) usersOfShop(shop model.ShopID) []string {
	var users []string
	for _, offer := range p.offers() {
		if offer.Shop == shop {
			users = append(users, "offer "+offer.ID)
		}
	}
	return users
}

func (p *planner) usersOfPool(pool model.PoolName) []string {
	var users []string
	for _, offer := range p.offers() {
		if offer.Model == pool {
			users = append(users, "offer "+offer.ID)
		}
	}
	for _, route := range p.routes() {
		if route.Pool == pool {
			users = append(users, "route "+string(route.ID))
		}
	}
	return users
}

func (p *planner) offers() []*model.Offer {
	return collect(p, logrec.EntityOffer, p.view.AllOffers(), func(o *model.Offer) string { return o.ID })
}

func (p *planner) routes() []*model.Route {
	return collect(p, logrec.EntityRoute, p.view.Routes(), func(r *model.Route) string { return string(r.ID) })
}

// collect lists the entities of one kind in their state after the script.
func collect[T any](p *planner, kind logrec.EntityKind, inForce []T, id func(*T) string) []*T {
	var all []*T
	for i := range inForce {
		if _, changed := p.planned[entityKey{kind, id(&inForce[i])}]; !changed {
			all = append(all, &inForce[i])
		}
	}
	for _, item := range p.order {
		if value, ok := item.value.(*T); ok && !item.deleted {
			all = append(all, value)
		}
	}
	return all
}
