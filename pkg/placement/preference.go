package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/redwingpath/redwingpath/pkg/model"
)

// Hosts learn of each other's requests late: the more hosts there are, the more
// requests are sent meanwhile. So each host prefers engines that few others
// prefer: there it knows the queue, and it keeps its connections.

// turn is a host's place among the hosts of its data centre.
type turn struct {
	rank, hosts int
}

// SetTurn tells the host's rank among the hosts of its data centre, and their
// number.
func (f *Fleet) SetTurn(rank, hosts int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if t := (turn{rank, max(hosts, 1)}); t != f.turn {
		f.turn = t
		for _, k := range f.services {
			k.preferred = false
		}
	}
}

// prefer gives each engine of a service its cost by how many hosts are nearer to
// it. Hosts and the engines of each data centre and stage are laid out on circles.
func (f *Fleet) prefer(k *service) {
	if k.preferred {
		return
	}
	k.preferred = true
	type circle struct {
		dataCentre model.DataCentreID
		stage      Stage
	}
	circles := map[circle][]*server{}
	for _, s := range k.servers {
		s.preference = 0
		if s.Engine != nil && !s.Leaving {
			c := circle{s.DataCentre, s.Stage}
			circles[c] = append(circles[c], s)
		}
	}
	most := float64(f.settings.Preference) * min(1, float64(f.turn.hosts-1)/f.settings.PreferenceHosts)
	own := (float64(f.turn.rank) + 0.5) / float64(f.turn.hosts)
	for _, list := range circles {
		slices.SortFunc(list, func(a, b *server) int { return cmp.Compare(a.ID, b.ID) })
		for i, s := range list {
			away := math.Abs((float64(i)+0.5)/float64(len(list)) - own)
			hosts := min(away, 1-away) * float64(f.turn.hosts)
			s.preference = time.Duration(min(1, hosts/f.settings.PreferenceReach) * most)
		}
	}
}
