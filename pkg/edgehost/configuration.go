package edgehost

import (
	"time"

	"go.uber.org/zap"

	"github.com/redwingpath/redwingpath/pkg/catalog"
	"github.com/redwingpath/redwingpath/pkg/mirror"
	"github.com/redwingpath/redwingpath/pkg/model"
)

// Timing of the reads of the store.
const (
	// configurationWait is how long a read waits for a new configuration. Its return
	// without one tells the peers that this host reads for that the store still
	// responds.
	configurationWait = 600 * time.Millisecond
	// backendsInterval is the pause between reads of the registrations. It is a quarter
	// of the time after which a leaving server must get no more work.
	backendsInterval = 500 * time.Millisecond
)

// addFollower creates the table of a topic and the follower that keeps it up to date.
func (h *Host) addFollower(topic string, wait, interval time.Duration) {
	var equal func(id string, old, new []byte) bool
	if topic == TopicBackends {
		equal = h.sameRegistration
	}
	table := mirror.NewTable(equal)
	if topic == TopicBackends {
		table.KeepOutranking(h.outranksRegistration)
	} else {
		table.KeepOutranking(h.outranksConfiguration)
	}
	h.tables[topic] = table
	f := &mirror.Follower{
		Topic: topic, Table: table, Store: h.platform, Wait: wait, Interval: interval, Log: h.log,
		Idle: func() bool { return h.peersKeepUpToDate(topic) },
		Rank: func() int {
			rank, _ := h.mesh.RankInDataCentre()
			return rank
		},
		Changed: func(records []mirror.Record) {
			h.applyRecords(topic, records)
			if topic == TopicConfiguration {
				h.mesh.Wake()
			}
		},
		Lost: func(err error) {
			h.log.Warn("store lost", zap.String("topic", topic), zap.Error(err))
			h.metrics.storeUp.WithLabelValues(topic).Set(0)
		},
		Back: func() {
			h.log.Info("store answers", zap.String("topic", topic))
			h.metrics.storeUp.WithLabelValues(topic).Set(1)
		},
	}
	h.followers[topic] = f
}

// sameRegistration reports whether two registrations of a backend server are equal apart
// from their heartbeats, each of which states a shorter cold time; a longer one means that
// the server has become cold again. Two unusable ones are equal, since both name no server.
func (h *Host) sameRegistration(id string, old, new []byte) bool {
	a, errA := h.platform.Backend(id, old)
	b, errB := h.platform.Backend(id, new)
	if errA != nil || errB != nil {
		return errA != nil && errB != nil
	}
	if b.ColdFor > 0 && b.ColdFor <= a.ColdFor {
		a.ColdFor = b.ColdFor
	}
	return a == b
}

// outranksRegistration reports whether a registration stays in force although a restored store
// has another one: a leaving server does not return in the same life, nor does an earlier
// life.
func (h *Host) outranksRegistration(id string, known, other []byte) bool {
	a, errA := h.platform.Backend(id, known)
	b, errB := h.platform.Backend(id, other)
	if errA != nil || errB != nil {
		return false
	}
	return a.Born > b.Born || a.Born == b.Born && a.Service == b.Service && a.Leaving && !b.Leaving
}

// outranksConfiguration reports whether a record of the configuration's topic stays in force
// although a restored store has another one, or none: versions do not go back.
func (h *Host) outranksConfiguration(key string, known, other []byte) bool {
	if key != configurationKey {
		return false
	}
	a, errA := h.platform.DecodeConfiguration(known)
	b, errB := h.platform.DecodeConfiguration(other)
	return errA == nil && (errB != nil || a.Version > b.Version)
}

// maxPeerTableAge is the age at which a table that peers keep up to date counts as stale,
// not counting the intervals of two exchanges with peers. It is the time between two reads
// of the store by a peer.
const maxPeerTableAge = 600 * time.Millisecond

// peersKeepUpToDate reports whether peers keep the table up to date, so that this host
// need not read the store.
func (h *Host) peersKeepUpToDate(topic string) bool {
	bound := h.settings.DrainTime
	if topic == TopicConfiguration {
		bound = h.settings.ConfigurationBound
	}
	return !h.mesh.IsStoreReader() && time.Since(h.tables[topic].UpToDateAt()) < peerTableAge(h.mesh.Interval(), bound)
}

// readMargin is the time that a host needs to notice that it must read the store, and to
// read it.
const readMargin = 300 * time.Millisecond

// peerTableAge returns the age at which a table that peers keep up to date counts as stale,
// where updates arrive at an interval and changes must be in force within a bound.
func peerTableAge(interval, bound time.Duration) time.Duration {
	return min(maxPeerTableAge+2*interval, bound-readMargin)
}

// applyRecords applies changed records from the store or from a peer.
func (h *Host) applyRecords(topic string, records []mirror.Record) {
	h.noteEra()
	switch topic {
	case TopicConfiguration:
		h.applyEvacuations(time.Now())
		h.reconsiderConfiguration(records)
		h.applyConfiguration()
	case TopicBackends:
		h.registry.noteUpToDate(h.tables[topic].UpToDateAt())
		h.registry.apply(records, time.Now())
	}
}

// configurationKey is the key of the configuration in its topic.
const configurationKey = "config"

// reconsiderConfiguration makes applyConfiguration handle the record of the configuration
// again if it changed at a position that was handled: a peer's copy may have had a higher
// version at the position of the one that a restored store returned.
func (h *Host) reconsiderConfiguration(changed []mirror.Record) {
	h.configurationMu.Lock()
	defer h.configurationMu.Unlock()
	for _, r := range changed {
		if r.Key == configurationKey && r.Offset < h.appliedOffset.Load() {
			h.appliedOffset.Store(r.Offset)
		}
	}
}

// applyConfiguration puts the newest configuration in force. Configurations whose
// version is not higher than the current one are ignored.
func (h *Host) applyConfiguration() {
	h.configurationMu.Lock()
	defer h.configurationMu.Unlock()
	record, ok := h.tables[TopicConfiguration].Get(configurationKey)
	if !ok || record.Offset < h.appliedOffset.Load() {
		return
	}
	defer h.appliedOffset.Store(record.Offset + 1)
	config, err := h.platform.DecodeConfiguration(record.Value)
	if err != nil {
		h.metrics.unreadableRecords.Inc()
		h.log.Error("the configuration cannot be decoded; the previous one stays in force", zap.Error(err))
		return
	}
	current := h.catalog.Load()
	if current != nil && config.Version <= current.Version {
		return
	}
	next := catalog.New(config)
	h.catalog.Store(next)
	h.metrics.configurationVersion.Set(float64(config.Version))
	keys := 0
	for _, o := range config.Organisations {
		keys += len(o.Keys)
		if previous := organisation(current, o.ID); previous == nil || previous.Rate != o.Rate || previous.Burst != o.Burst {
			h.log.Info("quota in force", zap.String("organisation", string(o.ID)), zap.Float64("rate", o.Rate), zap.Float64("burst", o.Burst))
		}
	}
	h.log.Info("configuration in force", zap.Uint64("version", config.Version), zap.Uint64("offset", record.Offset),
		zap.Int("routes", len(config.Routes)), zap.Int("organisations", len(config.Organisations)), zap.Int("keys", keys))
	h.registry.refreshTraits()
}

// denialMargin is the part of the bound on configurations that is left for the time between
// the decision on a request and its response, and for clocks of different rates.
const denialMargin = 100 * time.Millisecond

// maxDenialAge returns the age of the configuration up to which requests are denied, by the
// bound on configurations: what a newer one allows for longer than the bound is not denied.
func maxDenialAge(bound time.Duration) time.Duration {
	return max(bound-denialMargin, bound/2)
}

// configurationAge returns the time since the configuration in force was last known to be
// the newest. It puts a newer one in force that the table already has.
func (h *Host) configurationAge() time.Duration {
	table := h.tables[TopicConfiguration]
	upToDateAt := table.UpToDateAt()
	if record, ok := table.Get(configurationKey); ok && record.Offset >= h.appliedOffset.Load() {
		h.applyConfiguration()
	}
	return time.Since(upToDateAt)
}

// organisation returns an organisation of a configuration, nil if there is none.
func organisation(c *catalog.Catalog, id model.OrganisationID) *catalog.Organisation {
	if c == nil {
		return nil
	}
	return c.Organisation(id)
}
