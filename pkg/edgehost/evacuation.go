package edgehost

import (
	"slices"

	"go.uber.org/zap"

	"github.com/redwingpath/redwingpath/pkg/catalog"
	"github.com/redwingpath/redwingpath/pkg/model"
)

// An operator evacuates a data centre with a key in the topic of the configuration, and ends
// the evacuation by removing it. Hosts copy that topic from the store and from each other
// within the bound on configurations, which is below the one on evacuations.

// applyEvacuations puts the evacuations in force that the copy of the topic has.
func (h *Host) applyEvacuations() {
	h.configurationMu.Lock()
	defer h.configurationMu.Unlock()
	centres := []model.DataCentreID{}
	for _, key := range h.tables[TopicConfiguration].Keys() {
		if dc, ok := h.platform.EvacuatedDataCentre(key); ok {
			centres = append(centres, dc)
		}
	}
	slices.Sort(centres)
	former := *h.evacuated.Swap(&centres)
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
