package planner

import (
	"fmt"
	"maps"
	"math"
	"slices"

	"github.com/redwingpath/redwingpath/pkg/engine"
)

// placeModels loads missing adapters on usable engines and drains engines that
// run another version than the wanted one, within the number of weight fetches
// that may start now.
func (p *Planner) placeModels(pool *Pool, rows []*Engine, fetches *int) []Action {
	actions := p.loadAdapters(pool, rows, fetches)
	return append(actions, p.changeVersions(pool, rows, fetches)...)
}

// changeVersions drains engines that run another model or version than the pool
// wants, for a bounded share of the pool at a time.
func (p *Planner) changeVersions(pool *Pool, rows []*Engine, fetches *int) []Action {
	if pool.Model == "" {
		return nil
	}
	allowed := max(1, int(math.Floor(p.settings.MaxModelChangeShare*float64(len(rows)))))
	for _, e := range rows {
		if e.Drain.Kind == PurposeModel {
			allowed--
		}
	}
	var actions []Action
	for _, e := range rows {
		if allowed <= 0 || *fetches <= 0 {
			break
		}
		if !e.usable() || (e.Model == pool.Model && e.Version == pool.Version) {
			continue
		}
		allowed--
		*fetches--
		e.Drain = Purpose{Kind: PurposeModel, Model: pool.Model, Version: pool.Version}
		actions = append(actions, Action{
			Kind:    ActionDrain,
			Backend: e.ID,
			Purpose: e.Drain,
			Reason:  fmt.Sprintf("runs %s version %q, pool wants %s version %q", e.Model, e.Version, pool.Model, pool.Version),
		})
	}
	return actions
}

// maxAdapterLoadShare bounds the share of a pool's engines that load adapters at
// the same time. Hosts send no requests to an engine while it executes an order,
// so a pool that loaded adapters on all engines at once would serve no requests.
const maxAdapterLoadShare = 0.25

// loadAdapters loads missing adapters on the engines that have the fewest. The
// adapter that is on the fewest engines is loaded first, so that no adapter
// waits until another is on all its engines.
func (p *Planner) loadAdapters(pool *Pool, rows []*Engine, fetches *int) []Action {
	allowed := min(*fetches, max(1, int(maxAdapterLoadShare*float64(len(rows))))-countBusy(rows))
	var actions []Action
	for range allowed {
		action, found := loadScarcestAdapter(pool, rows)
		if !found {
			break
		}
		*fetches--
		actions = append(actions, action)
	}
	return actions
}

func countBusy(rows []*Engine) int {
	busy := 0
	for _, e := range rows {
		if e.Live && e.Busy {
			busy++
		}
	}
	return busy
}

// loadScarcestAdapter returns the order to load the adapter that the fewest
// engines have, and records it in the engine's row.
func loadScarcestAdapter(pool *Pool, rows []*Engine) (Action, bool) {
	var name string
	var target *Engine
	have := 0
	for _, candidate := range slices.Sorted(maps.Keys(pool.Adapters)) {
		n := 0
		var fewest *Engine
		for _, e := range rows {
			switch {
			case slices.Contains(e.Adapters, candidate):
				n++
			case e.usable() && (fewest == nil || len(e.Adapters) < len(fewest.Adapters)):
				fewest = e
			}
		}
		if n < pool.Adapters[candidate] && fewest != nil && (target == nil || n < have) {
			name, target, have = candidate, fewest, n
		}
	}
	if target == nil {
		return Action{}, false
	}
	target.Busy = true
	target.Adapters = append(slices.Clone(target.Adapters), name)
	return Action{
		Kind:    ActionEngineOrder,
		Backend: target.ID,
		Engine:  &engine.Order{Kind: engine.OrderLoadAdapter, Model: target.Model, Adapter: name, Version: target.Version},
		Reason:  fmt.Sprintf("adapter %s is on %d engines, %d wanted", name, have, pool.Adapters[name]),
	}, true
}
