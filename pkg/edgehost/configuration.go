package edgehost

import (
	"time"

	"go.uber.org/zap"

	"github.com/redwingpath/redwingpath/pkg/catalog"
	"github.com/redwingpath/redwingpath/pkg/mirror"
)

// Timing of the reads of the store.
const (
	// configurationWait is how long a read waits for a new configuration. Peers of
	// a host that reads for them know from its end that the store still answers.
	configurationWait = 600 * time.Millisecond
	// backendsInterval is the pause between reads of the registrations, a quarter
	// of the time in which a leaving server must get no more work.
	backendsInterval = 500 * time.Millisecond
)

func (h *Host) follow(topic string, wait, interval time.Duration) {
	var same func(old, new []byte) bool
	if topic == TopicBackends {
		same = h.sameRegistration
	}
	table := mirror.NewTable(same)
	h.tables[topic] = table
	f := &mirror.Follower{
		Topic: topic, Table: table, Store: h.platform, Wait: wait, Interval: interval, Log: h.log,
		Idle: func() bool { return h.keptUpToDate(table) },
		Rank: func() int {
			rank, _ := h.mesh.Turn()
			return rank
		},
		Changed: func(records []mirror.Record) {
			h.changed(topic, records)
			if topic == TopicConfiguration {
				h.mesh.Kick()
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
	h.follower[topic] = f
}

// sameRegistration tells whether two entries of a backend server differ in nothing
// but their heartbeat.
func (h *Host) sameRegistration(old, new []byte) bool {
	a, errA := h.platform.Backend("", old)
	b, errB := h.platform.Backend("", new)
	return errA == nil && errB == nil && a == b
}

// keptAge is the age beyond two exchanges from which a table that peers keep up to
// date counts as out of date: the time between two reads of theirs.
const keptAge = 600 * time.Millisecond

// keptUpToDate tells whether another host reads the store for this one.
func (h *Host) keptUpToDate(table *mirror.Table) bool {
	return !h.mesh.Reader() && time.Since(table.Heard()) < keptAge+2*h.mesh.Interval()
}

// changed applies records that came from the store or from a peer.
func (h *Host) changed(topic string, records []mirror.Record) {
	switch topic {
	case TopicConfiguration:
		h.configure()
	case TopicBackends:
		h.registry.hear(h.tables[topic].Heard())
		h.registry.apply(records, time.Now())
	}
}

// configurationKey is the key of the configuration in its topic.
const configurationKey = "config"

// configure puts the newest configuration in force. Versions only go up.
func (h *Host) configure() {
	h.configMu.Lock()
	defer h.configMu.Unlock()
	record, ok := h.tables[TopicConfiguration].Get(configurationKey)
	if !ok {
		return
	}
	config, err := h.platform.Configuration(record.Value)
	if err != nil {
		h.metrics.badRecords.Inc()
		h.log.Error("the configuration is not readable; the last one stays in force", zap.Error(err))
		return
	}
	current := h.catalog.Load()
	if current != nil && config.Version <= current.Version {
		return
	}
	next := catalog.New(config)
	h.catalog.Store(next)
	h.metrics.version.Set(float64(config.Version))
	keys := 0
	for _, o := range config.Organisations {
		keys += len(o.Keys)
	}
	h.log.Info("configuration in force", zap.Uint64("version", config.Version), zap.Uint64("offset", record.Offset),
		zap.Int("routes", len(config.Routes)), zap.Int("organisations", len(config.Organisations)), zap.Int("keys", keys))
	h.registry.refresh()
}
