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

// lapseGrace is how long entries that lapsed while the store was away may take
// to come back once it has returned.
const lapseGrace = 2200 * time.Millisecond

// registry applies the registrations of backend servers to the fleet. It is safe
// for concurrent use.
type registry struct {
	platform Platform
	fleet    *placement.Fleet
	forget   func(address string)
	catalog  func() *catalog.Catalog
	log      *zap.Logger
	bad      func()
	// kick tells the peers at once of a server that begins to leave.
	kick func()

	mu      sync.Mutex
	entries map[string]*registered
	// heard is when the store's state was last known, by this host's own reads or by
	// a peer's message.
	heard time.Time
	// storeBack is when that began again after an outage.
	storeBack time.Time
}

type registered struct {
	Registration
	// lapsed is when the entry was removed, while the server is still used.
	lapsed time.Time
}

// outage is the time without any update from the store after which entries may have lapsed
// for want of heartbeats. It is below three heartbeats, after which they do.
const outage = 2500 * time.Millisecond

// hear notes that the store's state is known as of a time.
func (r *registry) hear(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !at.After(r.heard) {
		return
	}
	if !r.heard.IsZero() && at.Sub(r.heard) > outage {
		r.storeBack = at
	}
	r.heard = at
}

// apply takes changed records.
func (r *registry) apply(records []mirror.Record, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, record := range records {
		if record.Removed() {
			r.removed(record.Key, now)
			continue
		}
		registration, err := r.platform.Backend(record.Key, record.Value)
		if err != nil {
			r.bad()
			r.log.Warn("a backend server's entry is not usable", zap.String("backend", record.Key), zap.Error(err))
			r.remove(record.Key, "its entry is not usable")
			continue
		}
		r.update(record.Key, registration)
	}
}

func (r *registry) update(key string, n Registration) {
	old := r.entries[key]
	if old != nil && old.Born == n.Born && old.Leaving && old.Service == n.Service {
		// A server that leaves does not come back in the same incarnation.
		n.Leaving = true
	}
	if old != nil && n.Born < old.Born {
		// A delayed entry of an earlier incarnation.
		return
	}
	if old != nil && old.Born != n.Born {
		r.fleet.Remove(old.ID)
	}
	r.entries[key] = &registered{Registration: n}
	switch {
	case old == nil || old.Born != n.Born:
		r.log.Info("backend server seen", zap.String("backend", key), zap.String("service", string(n.Service)),
			zap.String("address", n.Address), zap.String("data_centre", string(n.DataCentre)),
			zap.Stringer("stage", n.Stage), zap.Bool("leaving", n.Leaving), zap.Bool("spot", n.Spot), zap.Int64("born", n.Born))
	case old.Leaving != n.Leaving:
		r.kick()
		r.log.Info("backend server leaving", zap.String("backend", key), zap.Duration("leaves", n.Leaves))
	case old.Stage != n.Stage:
		r.log.Info("backend server changed its stage", zap.String("backend", key), zap.Stringer("stage", n.Stage))
	}
	r.fleet.Update(r.traits(n.Backend))
}

// traits adds what the configuration says of the service.
func (r *registry) traits(b placement.Backend) placement.Backend {
	c := r.catalog()
	if c == nil {
		return b
	}
	service := c.Service(b.Service)
	if service == nil || service.Engine == nil {
		return b
	}
	e := service.Engine
	b.Engine = &placement.EngineTraits{CacheTokens: e.CacheTokens}
	if e.BytesPerToken > 0 {
		const bitsPerByte = 8
		bytesPerMS := e.LinkMbps * 1e6 / bitsPerByte / 1000
		b.Engine.TransferTokensPerMS = bytesPerMS / e.BytesPerToken
	}
	return b
}

// refresh applies a new configuration to the known servers.
func (r *registry) refresh() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.entries {
		r.fleet.Update(r.traits(e.Backend))
	}
}

func (r *registry) removed(key string, now time.Time) {
	e := r.entries[key]
	if e == nil {
		return
	}
	if !e.Leaving && now.Sub(r.storeBack) < lapseGrace {
		e.lapsed = now
		r.log.Info("backend server's entry lapsed beside an outage of the store", zap.String("backend", key))
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
	r.kick()
	r.fleet.Remove(e.ID)
	r.forget(e.Address)
	r.log.Info("backend server gone", zap.String("backend", key), zap.String("reason", reason))
}

// sweep removes the servers whose entries have not come back.
func (r *registry) sweep(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for key, e := range r.entries {
		if !e.lapsed.IsZero() && now.Sub(r.storeBack) >= lapseGrace {
			r.remove(key, "its entry has not come back after the outage of the store")
		}
	}
}

// count counts the known servers.
func (r *registry) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.entries)
}

// registration finds a server.
func (r *registry) registration(id model.BackendID) (Registration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[string(id)]
	if e == nil {
		return Registration{}, false
	}
	return e.Registration, true
}
