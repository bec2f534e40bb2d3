package placement

import "github.com/redwingpath/redwingpath/pkg/model"

// SetEvacuated replaces the set of data centres whose servers get no requests.
func (f *Fleet) SetEvacuated(centres []model.DataCentreID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.evacuated = centres
}
