package routing

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/redwingpath/redwingpath/pkg/engine"
	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/platform"
)

// listKey identifies a list of available backend servers that can serve the same
// requests. An empty adapter or version matches any.
type listKey struct {
	pool    model.PoolName
	kind    platform.BackendKind
	role    engine.Role
	adapter string
	version string
}

// list is a set of entries with constant-time insertion, removal and random
// choice.
type list struct {
	members []*entry
	// ring is a consistent-hashing ring of the members, sorted by the hash of
	// their identifiers, so that hosts choose the same home engine for a prompt
	// that is not cached yet. It is only kept in Table.lists.
	ring []ringPoint
}

// ringPoint is the position of a member on the ring.
type ringPoint struct {
	hash  uint64
	entry *entry
}

func (l *list) add(e *entry) {
	if _, ok := e.positions[l]; ok {
		return
	}
	e.positions[l] = len(l.members)
	l.members = append(l.members, e)
}

func (l *list) searchRing(hash uint64) int {
	i, _ := slices.BinarySearchFunc(l.ring, hash, func(p ringPoint, h uint64) int { return cmp.Compare(p.hash, h) })
	return i
}

func (l *list) addToRing(e *entry) {
	hash := xxhash.Sum64String(string(e.backend.ID))
	l.ring = slices.Insert(l.ring, l.searchRing(hash), ringPoint{hash, e})
}

func (l *list) removeFromRing(e *entry) {
	hash := xxhash.Sum64String(string(e.backend.ID))
	for i := l.searchRing(hash); i < len(l.ring) && l.ring[i].hash == hash; i++ {
		if l.ring[i].entry == e {
			l.ring = slices.Delete(l.ring, i, i+1)
			return
		}
	}
}

func (l *list) remove(e *entry) {
	i, ok := e.positions[l]
	if !ok {
		return
	}
	last := len(l.members) - 1
	l.members[i] = l.members[last]
	l.members[i].positions[l] = i
	l.members[last] = nil
	l.members = l.members[:last]
	delete(e.positions, l)
}

func roleOrMixed(role engine.Role) engine.Role {
	if role == "" {
		return engine.RoleMixed
	}
	return role
}

func roleOf(b *Backend) engine.Role {
	return roleOrMixed(b.Load.Role)
}

func kindOf(b *Backend) platform.BackendKind {
	if b.Kind == platform.Preemptible {
		return platform.Preemptible
	}
	return platform.Ordinary
}

func selectable(b *Backend) bool {
	return b.Available && !b.Load.RoleChangeInProgress
}

func sameLists(a, b *Backend) bool {
	return selectable(a) == selectable(b) &&
		a.Pool == b.Pool &&
		kindOf(a) == kindOf(b) &&
		roleOf(a) == roleOf(b) &&
		a.Version == b.Version &&
		slices.Equal(a.Adapters, b.Adapters)
}

// listKeys lists the keys of all lists that a backend server belongs to.
func listKeys(b *Backend) []listKey {
	if !selectable(b) {
		return nil
	}
	versions := []string{""}
	if b.Version != "" {
		versions = append(versions, b.Version)
	}
	adapters := append([]string{""}, b.Adapters...)
	var keys []listKey
	for _, version := range versions {
		for _, adapter := range adapters {
			keys = append(keys, listKey{b.Pool, kindOf(b), roleOf(b), adapter, version})
		}
	}
	return keys
}

func (t *Table) addToLists(e *entry) {
	for _, key := range listKeys(&e.backend) {
		l := t.lists[key]
		if l == nil {
			l = &list{}
			t.lists[key] = l
		}
		l.add(e)
		l.addToRing(e)
	}
}

func (t *Table) removeFromLists(e *entry) {
	for _, key := range listKeys(&e.backend) {
		l := t.lists[key]
		if l == nil {
			continue
		}
		l.remove(e)
		l.removeFromRing(e)
		if len(l.members) == 0 {
			delete(t.lists, key)
		}
	}
}

// canServe reports whether a backend server may take a request at all.
func canServe(b *Backend, r *Request) bool {
	if !selectable(b) || b.Pool != r.Pool {
		return false
	}
	if kindOf(b) == platform.Preemptible && !r.Resumable {
		return false
	}
	if r.Version != "" && r.Version != b.Version {
		return false
	}
	if r.Adapter != "" && !slices.Contains(b.Adapters, r.Adapter) {
		return false
	}
	return !slices.Contains(r.Exclude, b.ID)
}
