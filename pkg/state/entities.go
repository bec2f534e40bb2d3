package state

import (
	"encoding/hex"
	"fmt"
	"strings"

	"github.com/redwingpath/redwingpath/pkg/logrec"
	"github.com/redwingpath/redwingpath/pkg/model"
)

// digestBytes is the length of a SHA-256 digest.
const digestBytes = 32

// checkID returns an error text if a value contains another identifier than its
// change.
func checkID(id, inValue string) string {
	if id == inValue {
		return ""
	}
	return fmt.Sprintf("the value has the identifier %q", inValue)
}

func checkOrganisation(id string, o *model.Organisation) string {
	// JSON cannot represent NaN or infinities, so a sign check is enough.
	if o.Rate < 0 || o.Burst < 0 || o.Weight < 0 || o.MaxStreams < 0 {
		return "negative limit"
	}
	return checkID(id, string(o.ID))
}

func (c *config) checkKey(id string, k *model.Key) string {
	raw, err := hex.DecodeString(k.Digest)
	if err != nil || len(raw) != digestBytes || k.Digest != strings.ToLower(k.Digest) {
		return "the digest is not a lower case hexadecimal SHA-256 digest"
	}
	if other, ok := c.keyByDigest.get(k.Digest); ok && string(other) != id {
		return "another key has this digest"
	}
	return checkID(id, string(k.ID))
}

func checkShop(id string, s *model.Shop) string {
	for _, h := range s.Hours {
		if h.Day < 0 || h.Day > 6 || h.OpenMinute < 0 || h.OpenMinute >= 24*60 || h.CloseMinute < 0 || h.CloseMinute > 24*60 {
			return "opening hours out of range"
		}
	}
	return checkID(id, string(s.ID))
}

func checkOffer(id string, o *model.Offer) string { return checkID(id, o.ID) }

func checkDrain(id string, d *model.Drain) string { return checkID(id, string(d.Backend)) }

func (c *config) checkRoute(id string, r *model.Route) string {
	if !strings.HasPrefix(r.PathPrefix, "/") {
		return "the path prefix does not start with /"
	}
	if r.Kind != model.RouteModel && r.Kind != model.RouteService {
		return fmt.Sprintf("unknown kind %q", r.Kind)
	}
	if r.Kind == model.RouteService && r.Pool == "" {
		return "a service route needs a pool"
	}
	if other, ok := c.routeByPrefix.get(r.PathPrefix); ok && string(other) != id {
		return fmt.Sprintf("route %s has this path prefix", other)
	}
	return checkID(id, string(r.ID))
}

func (c *config) checkPool(id string, p *model.Pool) string {
	if p.Kind != model.PoolEngine && p.Kind != model.PoolService {
		return fmt.Sprintf("unknown kind %q", p.Kind)
	}
	if p.Minimum < 0 || p.Maximum < 0 || (p.Maximum > 0 && p.Minimum > p.Maximum) {
		return "minimum or maximum is negative, or minimum is above maximum"
	}
	if p.PreemptibleShare < 0 || p.PreemptibleShare > 1 {
		return "the preemptible share is not between 0 and 1"
	}
	if old, ok := c.pools.get(id); ok && old.Value.Kind != p.Kind && c.poolUsers.hasPrefix(id+"\x00") {
		return "the kind of a pool in use cannot change"
	}
	return checkID(id, string(p.Name))
}

// replaceIndexEntry replaces the index entry of the old value by that of the
// new one. An empty key means that there is no entry.
func replaceIndexEntry[T any](t *table[T], oldKey, newKey string, value T) {
	if oldKey != "" && oldKey != newKey {
		t.delete(oldKey)
	}
	if newKey != "" {
		t.set(newKey, value)
	}
}

// indexKeyOf returns the index key of a value, or an empty key if v is nil.
func indexKeyOf[T any](v *T, key func(*T) string) string {
	if v == nil {
		return ""
	}
	return key(v)
}

func (c *config) indexKey(id string, old, next *model.Key) {
	digest := func(k *model.Key) string { return k.Digest }
	replaceIndexEntry(&c.keyByDigest, indexKeyOf(old, digest), indexKeyOf(next, digest), model.KeyID(id))
	parent := func(k *model.Key) string { return string(k.Organisation) + "\x00" + id }
	replaceIndexEntry(&c.keysOf, indexKeyOf(old, parent), indexKeyOf(next, parent), id)
}

func (c *config) indexShop(id string, old, next *model.Shop) {
	parent := func(s *model.Shop) string { return string(s.Organisation) + "\x00" + id }
	replaceIndexEntry(&c.shopsOf, indexKeyOf(old, parent), indexKeyOf(next, parent), id)
}

func (c *config) indexOffer(id string, old, next *model.Offer) {
	parent := func(o *model.Offer) string { return string(o.Shop) + "\x00" + id }
	replaceIndexEntry(&c.offersOf, indexKeyOf(old, parent), indexKeyOf(next, parent), id)
	pool := func(o *model.Offer) string { return string(o.Model) + "\x00offer\x00" + id }
	replaceIndexEntry(&c.poolUsers, indexKeyOf(old, pool), indexKeyOf(next, pool), id)
}

func (c *config) indexRoute(id string, old, next *model.Route) {
	prefix := func(r *model.Route) string { return r.PathPrefix }
	replaceIndexEntry(&c.routeByPrefix, indexKeyOf(old, prefix), indexKeyOf(next, prefix), model.RouteID(id))
	pool := func(r *model.Route) string {
		if r.Pool == "" {
			return ""
		}
		return string(r.Pool) + "\x00route\x00" + id
	}
	replaceIndexEntry(&c.poolUsers, indexKeyOf(old, pool), indexKeyOf(next, pool), id)
}

// checkReferences checks the references to and from a changed entity, after all
// changes of its set were applied.
func (c *config) checkReferences(ch *logrec.Change) *void {
	var problem string
	switch ch.Entity {
	case logrec.EntityOrganisation:
		if ch.Delete && (c.keysOf.hasPrefix(ch.ID+"\x00") || c.shopsOf.hasPrefix(ch.ID+"\x00")) {
			problem = "it still has keys or shops"
		}
	case logrec.EntityKey:
		if k, ok := c.keys.get(ch.ID); ok {
			problem = c.missingOrganisation(k.Value.Organisation)
		}
	case logrec.EntityShop:
		if s, ok := c.shops.get(ch.ID); ok {
			problem = c.missingOrganisation(s.Value.Organisation)
		} else if c.offersOf.hasPrefix(ch.ID + "\x00") {
			problem = "it still has offers"
		}
	case logrec.EntityOffer:
		if o, ok := c.offers.get(ch.ID); ok {
			problem = c.missingForOffer(&o.Value)
		}
	case logrec.EntityRoute:
		if r, ok := c.routes.get(ch.ID); ok && r.Value.Pool != "" {
			problem = c.missingPool(r.Value.Pool)
		}
	case logrec.EntityPool:
		if ch.Delete && c.poolUsers.hasPrefix(ch.ID+"\x00") {
			problem = "offers or routes still use it"
		}
	}
	if problem == "" {
		return nil
	}
	return newVoid(ReasonReference, fmt.Sprintf("%s %s: %s", ch.Entity, ch.ID, problem))
}

func (c *config) missingOrganisation(id model.OrganisationID) string {
	if _, ok := c.organisations.get(string(id)); !ok {
		return fmt.Sprintf("organisation %s does not exist", id)
	}
	return ""
}

func (c *config) missingPool(name model.PoolName) string {
	if _, ok := c.pools.get(string(name)); !ok {
		return fmt.Sprintf("pool %s does not exist", name)
	}
	return ""
}

func (c *config) missingForOffer(o *model.Offer) string {
	if _, ok := c.shops.get(string(o.Shop)); !ok {
		return fmt.Sprintf("shop %s does not exist", o.Shop)
	}
	return c.missingPool(o.Model)
}
