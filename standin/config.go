package standin

import (
	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/standin/enginesim"
	"github.com/redwingpath/redwingpath/standin/platformsim"
	"github.com/redwingpath/redwingpath/standin/servicesim"
)

// Config holds the settings of a simulated deployment. cmd/standin reads it from a
// JSON file.
type Config struct {
	// Region of all backend servers.
	Region model.RegionID `json:"region"`
	// DataCentres to which the initial backend servers are assigned round-robin.
	DataCentres []model.DataCentreID `json:"data_centres"`
	Platform    platformsim.Config   `json:"platform"`
	Pools       []PoolConfig         `json:"pools"`
	// AdminAddress to listen on. Default 127.0.0.1:0.
	AdminAddress string `json:"admin_address,omitempty"`
	// NoRecording discards all events, for performance measurements.
	NoRecording bool `json:"no_recording,omitempty"`
}

// PoolConfig holds the settings of the backend servers of one pool. Backend servers
// that the platform starts after an order get the same settings.
type PoolConfig struct {
	Name model.PoolName `json:"name"`
	Kind model.PoolKind `json:"kind"`
	// Ordinary and Preemptible are the numbers of initial backend servers.
	Ordinary    int               `json:"ordinary,omitempty"`
	Preemptible int               `json:"preemptible,omitempty"`
	Engine      enginesim.Config  `json:"engine,omitzero"`
	Service     servicesim.Config `json:"service,omitzero"`
}

// Addresses holds the base URLs of a deployment's components.
type Addresses struct {
	Platform string                     `json:"platform"`
	Admin    string                     `json:"admin"`
	Backends map[model.BackendID]string `json:"backends"`
}
