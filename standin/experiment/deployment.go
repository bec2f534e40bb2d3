package experiment

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/redwingpath/redwingpath/pkg/model"
)

func hashOf(s string) uint64 {
	return xxhash.Sum64String(s)
}

// Customer is an organisation of a deployment with its share of the traffic.
type Customer struct {
	model.Organisation
	share float64
	Shops []model.Shop
}

// Deployment is a model of a deployment at its current size.
type Deployment struct {
	Name          string
	Pool          model.PoolName
	DataCentres   []model.DataCentreID
	Delay         time.Duration
	Hosts         int
	Engines       int
	Organisations []Customer
	classes       []class
	// mixes are the weights of the classes; the traffic alternates between them.
	mixes [][]float64
	// coldMixes replace mixes in cold scenarios: they have more prompts with a
	// long text that occurs only once.
	coldMixes [][]float64
	// preemptible is the number of preemptible servers at the start.
	preemptible int
}

// trafficShares are the organisations' shares of the traffic; a few are large.
var trafficShares = []float64{0.42, 0.28, 0.15, 0.1, 0.05}

// Deployments returns the two modelled deployments.
func Deployments() []*Deployment {
	duelas := &Deployment{
		Name:        "duelas",
		Pool:        "tasador",
		DataCentres: []model.DataCentreID{"armenia", "pereira", "manizales"},
		Delay:       time.Millisecond,
		classes:     []class{dossier, chat, draft, fresh},
		mixes:       [][]float64{{0.6, 0.24, 0.15, 0.01}, {0.3, 0.45, 0.24, 0.01}, {0.15, 0.45, 0.39, 0.01}},
		coldMixes:   [][]float64{{0.1, 0.3, 0.2, 0.4}, {0.15, 0.4, 0.35, 0.1}, {0.1, 0.4, 0.5, 0}},
		preemptible: 9,
	}
	duelas.addOrganisations([]string{"cooper", "distiller", "workshop", "barrel", "stave"}, "America/Bogota")
	krishi := &Deployment{
		Name:        "krishi",
		Pool:        "varsha-llm",
		DataCentres: []model.DataCentreID{"bag-a", "bag-b", "bag-c"},
		Delay:       500 * time.Microsecond,
		classes:     []class{circular, appeal, chat, fresh},
		mixes:       [][]float64{{0.45, 0.34, 0.2, 0.01}, {0.4, 0.14, 0.45, 0.01}, {0.15, 0.14, 0.7, 0.01}},
		coldMixes:   [][]float64{{0.2, 0.1, 0.3, 0.4}, {0.4, 0.1, 0.4, 0.1}, {0.2, 0.1, 0.7, 0}},
		preemptible: 6,
	}
	krishi.addOrganisations([]string{"ward-north", "ward-south", "porters", "appeals", "haat"}, "Asia/Kathmandu")
	return []*Deployment{duelas, krishi}
}

func (d *Deployment) addOrganisations(names []string, zone string) {
	d.Hosts = 8
	d.Engines = 18
	for i, name := range names {
		c := Customer{Organisation: model.Organisation{ID: model.OrganisationID(name)}, share: trafficShares[i]}
		for k := range 4 {
			c.Shops = append(c.Shops, newShop(c.ID, i, k, zone))
		}
		d.Organisations = append(d.Organisations, c)
	}
}

// newShop returns a shop with opening and closing times that differ from shop to
// shop and lie within the hours that runs cover; runs start at 06:00 UTC.
func newShop(org model.OrganisationID, i, k int, zone string) model.Shop {
	location, err := time.LoadLocation(zone)
	if err != nil {
		panic(err)
	}
	local := func(minutes int) int {
		t := epoch.Add(time.Duration(minutes) * time.Minute).In(location)
		return t.Hour()*60 + t.Minute()
	}
	s := model.Shop{ID: model.ShopID(fmt.Sprintf("%s-%d", org, k)), Organisation: org, TimeZone: zone}
	opens := local((i*7 + k*13) % 25)
	closes := local(50 + (i*11+k*17)%40)
	for day := time.Sunday; day <= time.Saturday; day++ {
		s.Hours = append(s.Hours, model.Hours{Day: day, OpenMinute: opens, CloseMinute: closes})
	}
	return s
}
