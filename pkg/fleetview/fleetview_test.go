package fleetview

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/redwingpath/redwingpath/pkg/engine"
	"github.com/redwingpath/redwingpath/pkg/journal"
	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/platform"
	"github.com/redwingpath/redwingpath/pkg/routing"
	"github.com/redwingpath/redwingpath/pkg/state"
)

type fakeTable map[model.BackendID]routing.Backend

func (f fakeTable) UpdateBackend(b routing.Backend)                          { f[b.ID] = b }
func (f fakeTable) RemoveBackend(id model.BackendID)                         { delete(f, id) }
func (f fakeTable) UpdateLoad(model.BackendID, engine.LoadReport, time.Time) {}
func (f fakeTable) CacheEvents(model.BackendID, []engine.CacheEvent, bool)   {}

type fakeObserver struct{ ready bool }

func (o *fakeObserver) Ready() bool                               { return o.ready }
func (o *fakeObserver) BackendLeaving(model.BackendID, time.Time) {}
func (o *fakeObserver) BackendStaying(model.BackendID)            {}

// Guards against a restarted host that sends work to drained backend servers until
// its next poll: it may receive the list before it has read the log (soak seed
// 405).
func TestNothingIsAvailableBeforeTheConfigurationIsRead(t *testing.T) {
	table, observer := fakeTable{}, &fakeObserver{}
	snapshot := state.New(state.Options{}).Snapshot()
	v := New(Settings{Region: "andina"}, nil, nil, table, func() state.View { return snapshot },
		observer, journal.New(8), zap.NewNop())
	list := platform.BackendList{AsOfMS: 1, Backends: []platform.Backend{{
		ID: "b", Pool: "pedidos", PoolKind: model.PoolService, Region: "andina",
		State: platform.BackendLive, URL: "http://127.0.0.1:1",
	}}}
	var group sync.WaitGroup
	v.applyList(t.Context(), list, &group)
	require.False(t, table["b"].Available)
	observer.ready = true
	v.updateTable()
	require.True(t, table["b"].Available)
	// A host that is leaving is no longer ready, but its requests still need
	// backend servers.
	observer.ready = false
	v.updateTable()
	require.True(t, table["b"].Available)
}
