package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/redwingpath/redwingpath/pkg/model"
)

// suspicion is a crash with the parts that may have caused it.
type suspicion struct {
	*crash
	suspects []PartID
}

// evaluate determines the holds. It repeatedly holds the most suspect part and then leaves
// out the crashes that it explains.
func (t *Tracker) evaluate() []Hold {
	var open []suspicion
	for _, c := range t.crashes {
		if suspects := t.suspects(c); len(suspects) > 0 {
			open = append(open, suspicion{c, suspects})
		}
	}
	slices.SortFunc(open, func(a, b suspicion) int { return compareTimes(a.crash, b.crash) })
	var holds []Hold
	for {
		part, occasions := t.mostSuspect(open)
		if occasions == 0 {
			return holds
		}
		hold := Hold{Parts: commonParts(open, part), Occasions: occasions}
		var explained []*crash
		for _, s := range open {
			if slices.Contains(s.suspects, part) {
				explained = append(explained, s.crash)
			}
		}
		hold.Servers, hold.FirstCrash, hold.LastCrash = crashedServers(explained), explained[0].at, explained[len(explained)-1].at
		holds = append(holds, hold)
		open = slices.DeleteFunc(open, func(s suspicion) bool { return t.anySame(explained, s.crash) })
	}
}

// mostSuspect returns the part to hold next: of those under which servers crashed on
// enough occasions, one that was never answered, or else the one answered longest ago, and
// of several of these the one that explains the most crashes. It returns 0 occasions if
// there is none.
func (t *Tracker) mostSuspect(open []suspicion) (PartID, int) {
	times := map[PartID][]time.Time{}
	servers := map[PartID]map[model.BackendID]bool{}
	for _, s := range open {
		for _, id := range s.suspects {
			times[id] = append(times[id], s.at)
			if servers[id] == nil {
				servers[id] = map[model.BackendID]bool{}
			}
			servers[id][s.key.server] = true
		}
	}
	best, bestOccasions := PartID(0), 0
	for _, id := range slices.Sorted(maps.Keys(times)) {
		occasions := t.occasions(times[id])
		if occasions < t.settings.Limit {
			continue
		}
		if bestOccasions == 0 || cmp.Or(t.compareAnswers(id, best), cmp.Compare(len(servers[best]), len(servers[id]))) < 0 {
			best, bestOccasions = id, occasions
		}
	}
	return best, bestOccasions
}

// compareAnswers orders parts by their latest answer; those never answered come first.
func (t *Tracker) compareAnswers(a, b PartID) int {
	aAt, aKnown := t.answered.at(a)
	bAt, bKnown := t.answered.at(b)
	switch {
	case aKnown && bKnown:
		return aAt.Compare(bAt)
	case aKnown:
		return 1
	case bKnown:
		return -1
	}
	return 0
}

// occasions counts groups of crashes that begin at least OccasionGap apart. The times are
// in order.
func (t *Tracker) occasions(times []time.Time) int {
	n := 0
	var began time.Time
	for _, at := range times {
		if n == 0 || at.Sub(began) >= t.settings.OccasionGap {
			n++
			began = at
		}
	}
	return n
}

// commonParts returns the suspect parts that all requests with a part had in common. Only
// their combination is known to crash servers.
func commonParts(open []suspicion, part PartID) []PartID {
	var common []PartID
	first := true
	for _, s := range open {
		if !slices.Contains(s.suspects, part) {
			continue
		}
		if first {
			common, first = slices.Clone(s.suspects), false
			continue
		}
		common = slices.DeleteFunc(common, func(id PartID) bool { return !slices.Contains(s.suspects, id) })
	}
	return common
}

// anySame reports whether one of the crashes is that of another request on the same
// server.
func (t *Tracker) anySame(crashes []*crash, c *crash) bool {
	return slices.ContainsFunc(crashes, func(o *crash) bool {
		return o.key.server == c.key.server && o.at.Sub(c.at).Abs() < t.settings.SameCrash
	})
}

// crashedServers returns the servers of crashes in order, each once in a row.
func crashedServers(crashes []*crash) []model.BackendID {
	var servers []model.BackendID
	for _, c := range crashes {
		servers = append(servers, c.key.server)
	}
	return slices.CompactFunc(servers, func(a, b model.BackendID) bool { return cmp.Compare(a, b) == 0 })
}
