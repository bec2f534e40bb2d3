package operator

import (
	"fmt"
	"slices"
	"time"

	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/opslang"
	"github.com/redwingpath/redwingpath/pkg/routing"
	"github.com/redwingpath/redwingpath/pkg/state"
)

func (s *service) backendTable(q *opslang.Query) Table {
	table := newTable("backend", "pool", "data-centre", "kind", "role", "state", "running", "queued", "version", "adapters")
	for _, b := range s.Backends.Backends() {
		inPool := matches(q, opslang.NounModel, b.Pool) && matches(q, opslang.NounPool, b.Pool)
		if inPool && matches(q, opslang.NounDataCentre, b.DataCentre) {
			table.add(b.ID, b.Pool, b.DataCentre, b.Kind, b.Load.Role, availability(&b), b.Load.Running, b.Load.Queued, b.Version, b.Adapters)
		}
	}
	return table
}

// availability returns "available", or the reason why the backend server is not.
func availability(b *routing.Backend) string {
	switch {
	case b.Available:
		return "available"
	case b.Reason == "":
		return "not available"
	default:
		return b.Reason
	}
}

func hostTable(view state.View, q *opslang.Query) Table {
	table := newTable("host", "region", "data-centre", "peer-address", "incarnation", "joined-at")
	for _, m := range view.Members() {
		if matches(q, opslang.NounDataCentre, m.DataCentre) {
			table.add(m.Host, m.Region, m.DataCentre, m.PeerAddress, m.Incarnation, m.JoinedAt)
		}
	}
	return table
}

func shardTable(view state.View) Table {
	table := newTable("shard", "host", "incarnation", "fence")
	for _, s := range view.Shards() {
		table.add(s.Name, s.Host, s.Incarnation, s.Fence)
	}
	return table
}

func orderTable(view state.View, q *opslang.Query) Table {
	table := newTable("order", "backend", "shard", "fence", "host", "offset", "outcome", "reason")
	for _, o := range view.OpenIntents() {
		if matches(q, opslang.NounBackend, o.Backend) {
			table.add(o.OrderID, o.Backend, o.Shard, o.Fence, o.Host, o.Offset, outcomeOf(&o), o.Reason)
		}
	}
	return table
}

func outcomeOf(o *state.OpenIntent) string {
	if o.Unknown {
		return "unknown"
	}
	return "open"
}

// whereTable lists, for each offer of an organisation's shops, the backend servers
// with the offer's model and version, including those that are not available or
// have not loaded its adapter.
func (s *service) whereTable(view state.View, q *opslang.Query) Table {
	table := newTable("shop", "offer", "model", "adapter", "backend", "data-centre", "adapter-loaded", "state")
	backends := s.Backends.Backends()
	for _, shop := range view.ShopsOf(model.OrganisationID(q.Name)) {
		for _, offer := range view.Offers(shop) {
			for _, b := range backends {
				if b.Pool == offer.Model && (offer.Version == "" || offer.Version == b.Version) {
					loaded := offer.Adapter == "" || slices.Contains(b.Adapters, offer.Adapter)
					table.add(shop, offer.ID, offer.Model, offer.Adapter, b.ID, b.DataCentre, loaded, availability(&b))
				}
			}
		}
	}
	return table
}

func (s *service) statusTable(view state.View) Table {
	table := newTable("name", "value")
	ready, reason := s.Health.Ready()
	available := 0
	for _, b := range s.Backends.Backends() {
		if b.Available {
			available++
		}
	}
	table.add("host", s.Host)
	table.add("ready", ready)
	table.add("reason", reason)
	table.add("log offset in force", view.Offset())
	table.add("hosts", len(view.Members()))
	table.add("backend servers", len(s.Backends.Backends()))
	table.add("backend servers available", available)
	table.add("organisations", len(view.Organisations()))
	table.add("open orders", len(view.OpenIntents()))
	return table
}

// explainBackend adds the current load, drain and orders of a backend server.
func (s *service) explainBackend(table *Table, id string, now time.Time) {
	view := s.Views.View()
	for _, b := range s.Backends.Backends() {
		if string(b.ID) == id {
			load := fmt.Sprintf("%s, %s in %s, running %d, queued %d", b.Load.Role, b.Kind, b.DataCentre, b.Load.Running, b.Load.Queued)
			table.add(now, availability(&b), load)
		}
	}
	if drain, version, ok := view.Drain(model.BackendID(id)); ok {
		table.add(now, "drained", fmt.Sprintf("%s (version %d)", drain.Reason, version))
	}
	for _, o := range view.OpenIntents() {
		if string(o.Backend) == id {
			s.addOrder(table, &o, now)
		}
	}
}

func (s *service) explainOrder(table *Table, id string, now time.Time) {
	for _, o := range s.Views.View().OpenIntents() {
		if o.OrderID == id {
			s.addOrder(table, &o, now)
		}
	}
}

func (s *service) addOrder(table *Table, o *state.OpenIntent, now time.Time) {
	text := fmt.Sprintf("%s, from %s with fencing number %d: %s", outcomeOf(o), o.Host, o.Fence, o.Reason)
	table.add(now, "order "+o.OrderID, text)
}
