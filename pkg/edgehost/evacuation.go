package edgehost

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/redwingpath/redwingpath/pkg/catalog"
	"github.com/redwingpath/redwingpath/pkg/model"
)

// An operator evacuates a data centre with a key in the topic of the configuration, and ends
// the evacuation by removing it. Hosts copy that topic from the store and from each other
// within the bound on configurations, which is below the one on evacuations.

// lostEvacuationTime is how long an evacuation stays in force that a restored store lacks. The
// operator writes lost keys again within that time.
const lostEvacuationTime = 5 * time.Second

// lostEvacuations are the evacuations that a restored store lacks. Host.configurationMu guards
// them.
type lostEvacuations struct {
	// era is that of the copy of the topic when evacuations were last applied.
	era uint64
	// until is when they end.
	until map[model.DataCentreID]time.Time
}

// update takes the evacuations that a copy of an era has and those that were in force before,
// and returns those that are in force now.
func (l *lostEvacuations) update(era uint64, stated, former []model.DataCentreID, now time.Time) []model.DataCentreID {
	if l.until == nil {
		l.until = map[model.DataCentreID]time.Time{}
	}
	if era != l.era {
		l.era = era
		for _, dc := range former {
			l.until[dc] = now.Add(lostEvacuationTime)
		}
	}
	inForce := slices.Clone(stated)
	for dc, until := range l.until {
		if slices.Contains(stated, dc) || !now.Before(until) {
			delete(l.until, dc)
			continue
		}
		inForce = append(inForce, dc)
	}
	slices.Sort(inForce)
	return inForce
}

// applyEvacuations puts the evacuations in force that the copy of the topic has, and those that
// a restored store lost shortly before.
func (h *Host) applyEvacuations(now time.Time) {
	h.configurationMu.Lock()
	defer h.configurationMu.Unlock()
	table := h.tables[TopicConfiguration]
	stated := []model.DataCentreID{}
	for _, key := range table.Keys() {
		if dc, ok := h.platform.EvacuatedDataCentre(key); ok {
			stated = append(stated, dc)
		}
	}
	former := *h.evacuated.Load()
	centres := h.lostEvacuations.update(table.Era(), stated, former, now)
	h.evacuated.Store(&centres)
	if slices.Equal(former, centres) {
		return
	}
	h.fleet.SetEvacuated(centres)
	h.metrics.evacuated.Set(float64(len(centres)))
	for _, dc := range centres {
		if !slices.Contains(former, dc) {
			h.log.Info("data centre evacuated", zap.String("data_centre", string(dc)))
		}
	}
	for _, dc := range former {
		if !slices.Contains(centres, dc) {
			h.log.Info("evacuation of the data centre ended", zap.String("data_centre", string(dc)))
		}
	}
}

// isEvacuated reports whether a data centre is evacuated.
func (h *Host) isEvacuated(dc model.DataCentreID) bool {
	return slices.Contains(*h.evacuated.Load(), dc)
}

// withoutEvacuated returns the scaling of a service without the data centres that are
// evacuated: nothing is ordered there, and the others make up for them.
func (h *Host) withoutEvacuated(s *catalog.Scaling) *catalog.Scaling {
	if len(*h.evacuated.Load()) == 0 {
		return s
	}
	remaining := *s
	remaining.Prices = map[model.DataCentreID]float64{}
	for dc, price := range s.Prices {
		if !h.isEvacuated(dc) {
			remaining.Prices[dc] = price
		}
	}
	return &remaining
}
