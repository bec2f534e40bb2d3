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
	// storeRecoveredAt is when updates resumed after the last outage, or when the store was
	// last restored from an older copy.
	storeRecoveredAt time.Time
	// eraKnown is set once an era was noted. era is the newest one, which began at
	// eraChangedAt or before this host knew one.
	eraKnown     bool
	era          uint64
	eraChangedAt time.Time
	// gone are the lives of servers that were removed, by key.
	gone map[string]goneLife
}

// goneLife is the life of a server that was removed.
type goneLife struct {
	born int64
	// leaving is set if the server was leaving, which is final.
	leaving bool
	// era is that of the store when the server was removed, at is the time.
	era uint64
	at  time.Time
}

const (
	// goneTTL is how long the lives of removed servers are kept. A store that is restored is
	// some seconds old.
	goneTTL = 5 * time.Minute
	// confirmTime is how long a restored store may list a server that had gone before. An entry
	// without heartbeats lapses within it.
	confirmTime = 5 * time.Second
)

// noteEra notes the era of a complete copy of the registrations. Shortly after a restore an
// entry may be missing because the store has lost it.
func (r *registry) noteEra(era uint64, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case !r.eraKnown:
		r.eraKnown, r.era = true, era
	case era > r.era:
		r.era, r.eraChangedAt, r.storeRecoveredAt = era, now, now
	}
}

// staysGone reports whether a registration is of a life that had gone before the store was
// restored. A life that was leaving does not come back at all. Another one may do so once the
// store has listed it for confirmTime: the server lives, and had gone for lack of heartbeats.
func (r *registry) staysGone(key string, born int64, now time.Time) bool {
	life, ok := r.gone[key]
	if !ok || life.born != born || r.era == 0 {
		return false
	}
	return life.leaving || life.era < r.era && now.Sub(r.eraChangedAt) < confirmTime
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
			r.remove(record.Key, "its entry is not usable", now)
			continue
		}
		r.update(record.Key, registration, now)
	}
}

// update applies a registration, which may be of a new incarnation.
func (r *registry) update(key string, n Registration, now time.Time) {
	old := r.entries[key]
	n.Incarnation = n.Born
	if old == nil && r.staysGone(key, n.Born, now) {
		r.log.Info("backend server stays out of use: it had gone before the store was restored", zap.String("backend", key))
		return
	}
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
	delete(r.gone, key)
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
	r.remove(key, "its entry was removed", now)
}

func (r *registry) remove(key, reason string, now time.Time) {
	e := r.entries[key]
	if e == nil {
		return
	}
	delete(r.entries, key)
	if r.gone == nil {
		r.gone = map[string]goneLife{}
	}
	r.gone[key] = goneLife{born: e.Born, leaving: e.Leaving, era: r.era, at: now}
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
			r.remove(key, "its entry has not reappeared after the outage of the store", now)
		}
	}
	for key, life := range r.gone {
		if now.Sub(life.at) > goneTTL {
			delete(r.gone, key)
		} else if life.era < r.era && r.entries[key] == nil {
			r.reconsider(key, life, now)
		}
	}
}

// reconsider takes the server of a life that was gone into use again if the restored store has
// listed it for long enough. The caller holds r.mu.
func (r *registry) reconsider(key string, life goneLife, now time.Time) {
	record, ok := r.newest(key)
	if !ok || record.Removed() || r.staysGone(key, life.born, now) {
		return
	}
	if n, err := r.platform.Backend(key, record.Value); err == nil {
		r.update(key, n, now)
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
