package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/redwingpath/redwingpath/pkg/model"
)

// Hosts learn of each other's requests with a delay, and the more hosts there are, the more
// requests are sent in the meantime. Each host therefore prefers engines that few other
// hosts prefer: it knows the queues of these engines better, and it reuses its connections
// to them.

// position is a host's rank among the hosts of its data centre and their number.
type position struct {
	rank, hosts int
}

// SetHostPosition sets the host's rank among the hosts of its data centre, and their number.
func (f *Fleet) SetHostPosition(rank, hosts int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p := (position{rank, max(hosts, 1)}); p != f.position {
		f.position = p
		for _, k := range f.services {
			k.preferencesValid = false
		}
	}
}

// updatePreferences sets the preference cost of each engine of a service according to
// the number of hosts between this host and the engine. For each data centre and stage,
// hosts and engines are spaced evenly on a ring.
func (f *Fleet) updatePreferences(k *service) {
	if k.preferencesValid {
		return
	}
	k.preferencesValid = true
	type ring struct {
		dataCentre model.DataCentreID
		stage      Stage
	}
	rings := map[ring][]*server{}
	for _, s := range k.servers {
		s.preferenceCost = 0
		if s.Engine != nil && !s.Leaving {
			r := ring{s.DataCentre, s.Stage}
			rings[r] = append(rings[r], s)
		}
	}
	maxCost := float64(f.settings.Preference) * min(1, float64(f.position.hosts-1)/f.settings.PreferenceHosts)
	ownPosition := (float64(f.position.rank) + 0.5) / float64(f.position.hosts)
	for _, list := range rings {
		slices.SortFunc(list, func(a, b *server) int { return cmp.Compare(a.ID, b.ID) })
		for i, s := range list {
			distance := math.Abs((float64(i)+0.5)/float64(len(list)) - ownPosition)
			hosts := min(distance, 1-distance) * float64(f.position.hosts)
			s.preferenceCost = time.Duration(min(1, hosts/f.settings.PreferenceReach) * maxCost)
		}
	}
}
