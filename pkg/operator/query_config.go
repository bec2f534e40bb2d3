package operator

import (
	"github.com/redwingpath/redwingpath/pkg/opslang"
	"github.com/redwingpath/redwingpath/pkg/state"
)

func organisationTable(view state.View) Table {
	table := newTable("org", "name", "rate", "burst", "weight", "max-streams", "version")
	for _, o := range view.Organisations() {
		_, version, _ := view.Organisation(o.ID)
		table.add(o.ID, o.Name, o.Rate, o.Burst, o.Weight, o.MaxStreams, version)
	}
	return table
}

func keyTable(view state.View, q *opslang.Query) Table {
	table := newTable("key", "org", "revoked", "version")
	for _, k := range view.Keys() {
		if matches(q, opslang.NounOrganisation, k.Organisation) {
			_, version, _ := view.Key(k.ID)
			table.add(k.ID, k.Organisation, k.Revoked, version)
		}
	}
	return table
}

func shopTable(view state.View, q *opslang.Query) Table {
	table := newTable("shop", "org", "zone", "hours", "version")
	for _, s := range view.Shops() {
		if matches(q, opslang.NounOrganisation, s.Organisation) {
			_, version, _ := view.Shop(s.ID)
			table.add(s.ID, s.Organisation, s.TimeZone, opslang.FormatHours(s.Hours), version)
		}
	}
	return table
}

func offerTable(view state.View, q *opslang.Query) Table {
	table := newTable("offer", "shop", "org", "model", "adapter", "model-version", "version")
	for _, o := range view.AllOffers() {
		shop, _, _ := view.Shop(o.Shop)
		if matches(q, opslang.NounOrganisation, shop.Organisation) &&
			matches(q, opslang.NounShop, o.Shop) &&
			matches(q, opslang.NounModel, o.Model) {
			_, version, _ := view.Offer(o.ID)
			table.add(o.ID, o.Shop, shop.Organisation, o.Model, o.Adapter, o.Version, version)
		}
	}
	return table
}

func routeTable(view state.View, q *opslang.Query) Table {
	table := newTable("route", "path", "kind", "pool", "public", "idempotent", "version")
	for _, r := range view.Routes() {
		if matches(q, opslang.NounPool, r.Pool) {
			_, version, _ := view.Route(r.ID)
			table.add(r.ID, r.PathPrefix, r.Kind, r.Pool, r.Public, r.Idempotent, version)
		}
	}
	return table
}

func poolTable(view state.View) Table {
	table := newTable("pool", "kind", "checks-fencing", "min", "max", "preemptible", "version")
	for _, p := range view.Pools() {
		_, version, _ := view.Pool(p.Name)
		table.add(p.Name, p.Kind, p.ChecksFencing, p.Minimum, p.Maximum, p.PreemptibleShare, version)
	}
	return table
}

func drainTable(view state.View) Table {
	table := newTable("backend", "reason", "version")
	for _, d := range view.Drains() {
		_, version, _ := view.Drain(d.Backend)
		table.add(d.Backend, d.Reason, version)
	}
	return table
}
