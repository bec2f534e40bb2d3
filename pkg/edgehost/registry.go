package edgehost

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/redwingpath/redwingpath/pkg/catalog"
	"github.com/redwingpath/redwingpath/pkg/mirror"
	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/placement"
)

// lapseGrace is how long after the store's recovery an entry that lapsed in its outage
// may take to reappear.
const lapseGrace = 2200 * time.Millisecond

// registry applies the registrations of backend servers to the fleet. It is safe
// for concurrent use.
type registry struct {
	platform              Platform
	fleet                 *placement.Fleet
	invalidateConnections func(address string)
	catalog               func() *catalog.Catalog
	// newest returns the newest record of a key in the table of registrations.
	newest          func(key string) (mirror.Record, bool)
	log             *zap.Logger
	countUnreadable func()
	// wakeMesh tells the peers at once that a server is leaving or gone.
	wakeMesh func()

	mu      sync.Mutex
	entries map[string]*registryEntry
	// upToDateAt is the latest time as of which the store's state is known, from this
	// host's own reads or a peer's message.
	upToDateAt time.Time
	// storeRecoveredAt is when updates resumed after the last outage.
	storeRecoveredAt time.Time
}

// registryEntry is a known backend server.
type registryEntry struct {
	Registration
	// lapsedAt is when the store removed the entry of a server that stays in use until
	// lapseGrace has passed.
	lapsedAt time.Time
}

// minOutage is the time without updates from the store after which entries may have
// lapsed for lack of heartbeats. It is below three heartbeats, after which they lapse.
const minOutage = 2500 * time.Millisecond

// noteUpToDate records that the store's state is known as of a time.
func (r *registry) noteUpToDate(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !at.After(r.upToDateAt) {
		return
	}
	if !r.upToDateAt.IsZero() && at.Sub(r.upToDateAt) > minOutage {
		r.storeRecoveredAt = at
	}
	r.upToDateAt = at
}

// apply applies changed records. Records from the store and from peers arrive in several
// goroutines, so that a later one of the same key may have been applied already: the newest
// one counts.
func (r *registry) apply(records []mirror.Record, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, record := range records {
		if newest, ok := r.newest(record.Key); ok {
			record = newest
		}
		if record.Removed() {
			r.handleRemovedEntry(record.Key, now)
			continue
		}
		registration, err := r.platform.Backend(record.Key, record.Value)
		if err != nil {
			r.countUnreadable()
			r.log.Warn("a backend server's entry is not usable", zap.String("backend", record.Key), zap.Error(err))
			r.remove(record.Key, "its entry is not usable")
			continue
		}
		r.update(record.Key, registration, now)
	}
}

// update applies a registration, which may be of a new incarnation.
func (r *registry) update(key string, n Registration, now time.Time) {
	old := r.entries[key]
	n.Incarnation = n.Born
	if old != nil && old.Born == n.Born && old.Leaving && old.Service == n.Service {
		// A leaving server does not return in the same incarnation.
		n.Leaving = true
	}
	if old != nil && n.Born < old.Born {
		// This is a delayed entry of an earlier incarnation.
		return
	}
	if old != nil && old.Born != n.Born {
		r.fleet.Remove(old.ID)
	}
	r.entries[key] = &registryEntry{Registration: n}
	switch {
	case old == nil || old.Born != n.Born:
		r.log.Info("backend server seen", zap.String("backend", key), zap.String("service", string(n.Service)),
			zap.String("address", n.Address), zap.String("data_centre", string(n.DataCentre)),
			zap.Stringer("stage", n.Stage), zap.Bool("leaving", n.Leaving), zap.Bool("spot", n.Spot), zap.Int64("born", n.Born))
	case old.Leaving != n.Leaving:
		r.wakeMesh()
		r.log.Info("backend server leaving", zap.String("backend", key), zap.Duration("leaves", n.LeavesIn))
	case old.Stage != n.Stage:
		r.log.Info("backend server changed its stage", zap.String("backend", key), zap.Stringer("stage", n.Stage))
	}
	r.fleet.Update(r.withTraits(n.Backend))
	r.fleet.NoteCold(n.ID, n.Incarnation, now.Add(n.ColdFor), now)
}

// withTraits adds the traits that the configuration has for servers of the service.
func (r *registry) withTraits(b placement.Backend) placement.Backend {
	c := r.catalog()
	if c == nil {
		return b
	}
	service := c.Service(b.Service)
	if service == nil {
		return b
	}
	if findPace := service.ColdTime > 0 || c.Unmetered(); findPace || service.ColdPerSecond > 0 {
		b.Start = &placement.StartTraits{ColdPerSecond: service.ColdPerSecond, FindPace: findPace}
	}
	if service.Engine == nil {
		return b
	}
	e := service.Engine
	b.Engine = &placement.EngineTraits{CacheTokens: e.CacheTokens, LimitMemory: c.Unmetered()}
	if e.BytesPerToken > 0 {
		const bitsPerByte = 8
		bytesPerMS := e.LinkMbps * 1e6 / bitsPerByte / 1000
		b.Engine.TransferTokensPerMS = bytesPerMS / e.BytesPerToken
	}
	return b
}

// refreshTraits applies the configuration in force to the known servers.
func (r *registry) refreshTraits() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.entries {
		r.fleet.Update(r.withTraits(e.Backend))
	}
}

// handleRemovedEntry removes a server whose entry was removed. Shortly after an outage of
// the store the entry may only have lapsed, so that the server stays in use for a while.
func (r *registry) handleRemovedEntry(key string, now time.Time) {
	e := r.entries[key]
	if e == nil {
		return
	}
	if !e.Leaving && now.Sub(r.storeRecoveredAt) < lapseGrace {
		e.lapsedAt = now
		r.log.Info("backend server's entry lapsed around an outage of the store", zap.String("backend", key))
		return
	}
	r.remove(key, "its entry was removed")
}

func (r *registry) remove(key, reason string) {
	e := r.entries[key]
	if e == nil {
		return
	}
	delete(r.entries, key)
	r.wakeMesh()
	r.fleet.Remove(e.ID)
	r.invalidateConnections(e.Address)
	r.log.Info("backend server gone", zap.String("backend", key), zap.String("reason", reason))
}

// sweep removes the servers whose entries lapsed in an outage and have not
// reappeared in time.
func (r *registry) sweep(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for key, e := range r.entries {
		if !e.lapsedAt.IsZero() && now.Sub(r.storeRecoveredAt) >= lapseGrace {
			r.remove(key, "its entry has not reappeared after the outage of the store")
		}
	}
}

// count returns the number of known servers.
func (r *registry) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.entries)
}

// registration returns the registration of a server.
func (r *registry) registration(id model.BackendID) (Registration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[string(id)]
	if e == nil {
		return Registration{}, false
	}
	return e.Registration, true
}
