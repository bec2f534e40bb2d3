package harness

import (
	"time"

	"github.com/redwingpath/redwingpath/integration/check"
	"github.com/redwingpath/redwingpath/integration/load"
	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/standin"
	"github.com/redwingpath/redwingpath/standin/enginesim"
	"github.com/redwingpath/redwingpath/standin/platformsim"
)

// Preset names one of the design page's deployments, scaled down for one machine.
type Preset string

// Presets.
const (
	Duelas       Preset = "duelas"
	RefundOffice Preset = "refund-office"
)

// Sizes are the sizes of a preset. Zero values mean the defaults.
type Sizes struct {
	// Hosts is the number of entry hosts. Default 3.
	Hosts int
	// Ordinary and Preemptible are the numbers of engines. Defaults 4 and 2.
	Ordinary    int
	Preemptible int
	// Services is the number of plain services. Default 2.
	Services int
	// ChecksFencing makes the engines check fencing tokens.
	ChecksFencing bool
}

// RevocableKey is a second key of the first organisation, which can be revoked while
// that organisation continues to send calls.
const RevocableKey model.KeyID = "key-1b"

// presetNames holds the names that differ between the presets.
type presetNames struct {
	region  model.RegionID
	centres []model.DataCentreID
	model   model.PoolName
	service model.PoolName
}

func (p Preset) names() presetNames {
	if p == RefundOffice {
		return presetNames{"bagmati", []model.DataCentreID{"bag-a", "bag-b", "bag-c"}, "varsha-llm", "rahat-api"}
	}
	return presetNames{"andina", []model.DataCentreID{"armenia", "pereira", "manizales"}, "tasador", "pedidos"}
}

// Parameters of the simulated components. The engines make tens of decode steps a
// second, which is fast enough for a test and uses little processor time.
const (
	presetDecodeStepMS      = 10
	presetPrefillTokensPerS = 40_000
	presetRoleChangeMS      = 2000
	presetLoadModelMS       = 1000
	presetStartDelayMS      = 2000
	presetReclaimNoticeMS   = 4000
	presetOrganisations     = 5
)

// Config returns the configuration of a deployment that keeps its files in dir.
func (p Preset) Config(dir string, s Sizes, seed uint64) Config {
	setDefault(&s.Hosts, 3)
	setDefault(&s.Ordinary, 4)
	setDefault(&s.Preemptible, 2)
	setDefault(&s.Services, 2)
	n := p.names()
	engines := standin.PoolConfig{
		Name: n.model, Kind: model.PoolEngine, Ordinary: s.Ordinary, Preemptible: s.Preemptible,
		Engine: enginesim.Config{
			DecodeStepMS: presetDecodeStepMS, PrefillTokensPerS: presetPrefillTokensPerS, RoleChangeMS: presetRoleChangeMS,
			LoadModelMS: presetLoadModelMS, ChecksFencing: s.ChecksFencing, Seed: seed,
		},
	}
	return Config{
		Dir:   dir,
		Hosts: s.Hosts,
		StandIn: standin.Config{
			Region: n.region, DataCentres: n.centres,
			Platform: platformsim.Config{StartDelayMS: presetStartDelayMS, ReclaimNoticeMS: presetReclaimNoticeMS, Seed: seed},
			Pools:    []standin.PoolConfig{engines, {Name: n.service, Kind: model.PoolService, Ordinary: s.Services}},
		},
		Entities: n.entities(s),
		// A graceful shutdown must end within a test.
		Timings: map[string]string{"shutdown_time": "60s", "usage_window": "5s"},
		// The planner must make decisions within a test.
		Scheduling: map[string]string{"plan_interval": "250ms", "release_hold": "2s", "order_lead_time": "3s"},
	}
}

func setDefault(field *int, value int) {
	if *field == 0 {
		*field = value
	}
}

// presetRates are the organisations' rates: a few are large, as in the deployments
// on the design page.
var presetRates = [presetOrganisations]float64{60, 40, 15, 10, 10}

func (n *presetNames) entities(s Sizes) Entities {
	e := Entities{
		Model: n.model, Service: n.service,
		ModelPool: model.Pool{
			ChecksFencing: s.ChecksFencing, Minimum: s.Ordinary, Maximum: 2 * (s.Ordinary + s.Preemptible), PreemptibleShare: 0.5,
		},
		ServicePool: model.Pool{Minimum: s.Services, Maximum: s.Services},
	}
	for i, rate := range presetRates {
		name := string(rune('1' + i))
		org := model.OrganisationID("org-" + name)
		e.Organisations = append(e.Organisations, model.Organisation{ID: org, Rate: rate, Burst: rate})
		e.Keys = append(e.Keys, check.Key{
			ID: model.KeyID("key-" + name), Organisation: org, Secret: "rw-secret-" + string(org),
		})
	}
	e.Keys = append(e.Keys,
		check.Key{ID: RevocableKey, Organisation: "org-1", Secret: "rw-secret-second-org-1"},
		check.Key{ID: "key-unknown", Organisation: "org-1", Secret: "rw-secret-nobody", Unknown: true})
	return e
}

// LoadConfig returns the configuration of a load at a share of the organisations' rates.
func (d *Deployment) LoadConfig(seed uint64, share float64, mix load.Mix) load.Config {
	c := load.Config{
		Seed: seed, Mix: mix, Targets: d.Targets,
		PromptBytes: 20_000, MaxTokens: 60, KeyedShare: 0.7, Attempts: 4, RetryDelay: 500 * time.Millisecond,
	}
	for _, org := range d.config.Entities.Organisations {
		caller := load.Caller{CallsPerS: share * org.Rate}
		for _, k := range d.config.Entities.Keys {
			if k.Organisation == org.ID && !k.Unknown {
				caller.Keys = append(caller.Keys, k)
			}
		}
		c.Callers = append(c.Callers, caller)
	}
	return c
}
