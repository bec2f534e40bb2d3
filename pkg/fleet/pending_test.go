package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingpath/redwingpath/pkg/logrec"
	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/orders"
	"github.com/redwingpath/redwingpath/pkg/planner"
	"github.com/redwingpath/redwingpath/pkg/platform"
)

// Guards against repeated orders and releases while the platform's list lags: a
// soak run had 110 orders in 25 s.
func TestPendingOrdersBridgeTheLag(t *testing.T) {
	now := time.Unix(1000, 0)
	var p pendingOrders
	add := platform.BackendOrder{Action: platform.ActionAdd, Pool: "tasador", DataCentre: "armenia"}
	done := orders.Result{Result: logrec.ResultDone, Backends: []model.BackendID{"new"}}
	p.record(&add, &done, now)
	p.record(&platform.BackendOrder{Action: platform.ActionRelease, Backend: "old"}, &orders.Result{Result: logrec.ResultDone}, now)
	p.record(&add, &orders.Result{Result: logrec.ResultUnknown, Backends: []model.BackendID{"lost"}}, now)

	rows := p.reconcile([]planner.Engine{{ID: "old", Live: true}}, now.Add(time.Second))
	require.Len(t, rows, 2)
	require.False(t, rows[0].Live)
	require.Equal(t, model.BackendID("new"), rows[1].ID)
	require.True(t, rows[1].Starting)

	rows = p.reconcile([]planner.Engine{{ID: "new", Live: true}}, now.Add(2*time.Second))
	require.Len(t, rows, 1, "a listed server must not be counted twice")
	require.Empty(t, p.reconcile(nil, now.Add(2*listingTimeout)))
}
