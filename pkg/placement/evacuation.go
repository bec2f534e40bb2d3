package placement

import (
	"slices"

	"github.com/redwingpath/redwingpath/pkg/model"
)

// SetEvacuated replaces the set of data centres whose servers get no requests. Requests that
// run there go on.
func (f *Fleet) SetEvacuated(centres []model.DataCentreID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.evacuated = slices.Clone(centres)
	for _, s := range f.servers {
		f.markEvacuated(s)
	}
}

// markEvacuated records whether the data centre of a server is evacuated. The caller holds
// f.mu.
func (f *Fleet) markEvacuated(s *server) {
	evacuated := slices.Contains(f.evacuated, s.DataCentre)
	if s.evacuated != evacuated {
		s.evacuated = evacuated
		f.service(s.Service).preferencesValid = false
	}
}
