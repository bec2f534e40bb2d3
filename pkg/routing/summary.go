package routing

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/redwingpath/redwingpath/pkg/engine"
	"github.com/redwingpath/redwingpath/pkg/model"
)

// LoadSummary is the mean load of a pool's engines in one data centre.
type LoadSummary struct {
	DataCentre model.DataCentreID `json:"data_centre"`
	Pool       model.PoolName     `json:"pool"`
	Engines    int                `json:"engines"`
	// Mean is the mean load per engine.
	Mean engine.LoadReport `json:"mean"`
	// At is the local time of the oldest report in the summary.
	At time.Time `json:"at"`
}

type summaryKey struct {
	dataCentre model.DataCentreID
	pool       model.PoolName
}

// UpdateLoadSummary stores the summary of another data centre. It is used for
// those of its engines whose own load report is stale.
func (t *Table) UpdateLoadSummary(d LoadSummary) {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := summaryKey{d.DataCentre, d.Pool}
	if d.At.Before(t.summaries[key].At) {
		return
	}
	t.summaries[key] = d
}

// LoadSummaries summarises the load of a data centre's engines per pool, from
// the load reports that are not stale at the given time.
func (t *Table) LoadSummaries(dataCentre model.DataCentreID, now time.Time) []LoadSummary {
	t.mu.Lock()
	defer t.mu.Unlock()
	sums := map[model.PoolName]*LoadSummary{}
	for _, e := range t.entries {
		b := &e.backend
		fresh := !b.LoadAt.IsZero() && now.Sub(b.LoadAt) <= t.settings.StaleAfter
		if b.DataCentre != dataCentre || b.PoolKind == model.PoolService || !fresh || !selectable(b) {
			continue
		}
		d := sums[b.Pool]
		if d == nil {
			d = &LoadSummary{DataCentre: dataCentre, Pool: b.Pool, At: now}
			sums[b.Pool] = d
		}
		d.add(&b.Load)
		if b.LoadAt.Before(d.At) {
			d.At = b.LoadAt
		}
	}
	summaries := make([]LoadSummary, 0, len(sums))
	for _, d := range sums {
		d.divide()
		summaries = append(summaries, *d)
	}
	slices.SortFunc(summaries, func(a, b LoadSummary) int { return cmp.Compare(a.Pool, b.Pool) })
	return summaries
}

func (d *LoadSummary) add(l *engine.LoadReport) {
	d.Engines++
	d.Mean.Running += l.Running
	d.Mean.Queued += l.Queued
	d.Mean.QueuedPrefillTokens += l.QueuedPrefillTokens
	d.Mean.RunningTokens += l.RunningTokens
	d.Mean.PrefillTokensPerS += l.PrefillTokensPerS
	d.Mean.DecodeStepMS += l.DecodeStepMS
	d.Mean.MaxRunning += l.MaxRunning
}

func (d *LoadSummary) divide() {
	n := d.Engines
	d.Mean.Running /= n
	d.Mean.Queued /= n
	d.Mean.QueuedPrefillTokens /= n
	d.Mean.RunningTokens /= n
	d.Mean.PrefillTokensPerS /= float64(n)
	d.Mean.DecodeStepMS /= float64(n)
	d.Mean.MaxRunning /= n
}

// Subset picks the backend servers that a host keeps in its table. It uses
// rendezvous hashing, so that adding or removing a backend server changes few
// subsets.
func Subset(host model.HostID, backends []model.BackendID, size int) []model.BackendID {
	type ranked struct {
		id   model.BackendID
		rank uint64
	}
	all := make([]ranked, len(backends))
	for i, id := range backends {
		all[i] = ranked{id, xxhash.Sum64String(string(host) + "\x00" + string(id))}
	}
	slices.SortFunc(all, func(a, b ranked) int {
		if c := cmp.Compare(b.rank, a.rank); c != 0 {
			return c
		}
		return cmp.Compare(a.id, b.id)
	})
	size = min(size, len(all))
	picked := make([]model.BackendID, size)
	for i := range picked {
		picked[i] = all[i].id
	}
	return picked
}
