package orders

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/redwingpath/redwingpath/pkg/engine"
	"github.com/redwingpath/redwingpath/pkg/logrec"
	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/platform"
)

func engineAction() Action {
	return Action{Region: "r", Backend: "e", Engine: &engine.Order{Kind: engine.OrderSetRole, Role: engine.RoleDecode}, Reason: "test"}
}

func platformAction() Action {
	return Action{Region: "r", Platform: &platform.BackendOrder{Action: platform.ActionAdd, Count: 1}, Reason: "test"}
}

// checkEffects checks that each order that took effect on the engine had a valid
// intent, took effect once, and not after a later one.
func (env *testEnv) checkEffects() error {
	last := model.Offset(0)
	for _, id := range env.engine.effects {
		offset, ok := env.intentOffsets[id]
		switch {
		case !ok:
			return fmt.Errorf("order %s has no valid intent", id)
		case offset <= last:
			return fmt.Errorf("the order of offset %d took effect after that of offset %d", offset, last)
		}
		last = offset
	}
	return nil
}

// runOrders makes hosts take over from each other while orders and responses are
// delayed and lost. alter changes an executor to show that the check detects faults.
func runOrders(t *rapid.T, checksFencing bool, alter func(*Executor)) (effects int, err error) {
	env := newTestEnv(checksFencing)
	ctx := t.Context()
	number := 0
	start := func(host model.HostID) *process {
		number++
		p := env.start(host, number)
		alter(p.Executor)
		return p
	}
	processes := []*process{start("h1"), start("h2")}
	processes[0].claim()
	for range 80 {
		i := rapid.IntRange(0, 1).Draw(t, "process")
		if _, ok := processes[1-i].Holds(shard); ok && rapid.IntRange(0, 3).Draw(t, "holder") > 0 {
			i = 1 - i
		}
		p := processes[i]
		switch rapid.IntRange(0, 7).Draw(t, "step") {
		case 0, 1, 2:
			env.engine.next = rapid.SampledFrom([]delivery{deliver, deliver, deliver, loseResponse, loseOrder, delayOrder}).Draw(t, "delivery")
			p.loseAppend = rapid.IntRange(0, 5).Draw(t, "lose append") == 0
			_, _ = p.Execute(ctx, engineAction())
			p.loseAppend = false
		case 3, 4:
			_, _ = p.Recover(ctx, "r")
		case 5:
			// The other host takes over; the old holder may not notice.
			old := processes[1-i]
			if fence, ok := old.Holds(shard); ok && rapid.Bool().Draw(t, "notices") {
				old.staleFence = fence
			}
			p.claim()
		case 6:
			// The process ends, and the delayed copies of its orders are lost.
			var kept []delayedOrder
			for _, d := range env.engine.delayed {
				if d.sender != p {
					kept = append(kept, d)
				}
			}
			env.engine.delayed = kept
			processes[i] = start(p.host)
		case 7:
			if n := len(env.engine.delayed); n > 0 {
				env.engine.deliverDelayed(rapid.IntRange(0, n-1).Draw(t, "arrival"))
			}
		}
		if err := env.checkEffects(); err != nil {
			return 0, err
		}
	}
	return len(env.engine.effects), nil
}

// Guards against conflicting orders, on engines that check fencing tokens and on
// those that do not.
func TestOrdersTakeEffectInOrder(t *testing.T) {
	for _, checksFencing := range []bool{true, false} {
		total := 0
		rapid.Check(t, func(t *rapid.T) {
			effects, err := runOrders(t, checksFencing, func(*Executor) {})
			require.NoError(t, err)
			total += effects
		})
		require.Greater(t, total, 100)
	}
}

// Shows that the check detects unsafe recovery rules on both kinds of engine.
func TestOrderCheckNoticesUnsafeRules(t *testing.T) {
	// closeUnknown closes an intent whose order the engine does not know, although a
	// copy may still be in transit.
	closeUnknown := func(s recoveryInput) recoveryAction {
		if s.progress == orderUnknown {
			return closeNotSent
		}
		return decideRecovery(s)
	}
	for _, checksFencing := range []bool{true, false} {
		failed := 0
		rapid.Check(t, func(t *rapid.T) {
			if _, err := runOrders(t, checksFencing, func(e *Executor) { e.decideRecovery = closeUnknown }); err != nil {
				failed++
			}
		})
		require.NotZero(t, failed, "engine checks fencing: %v", checksFencing)
	}
}

// Guards against engines that stay blocked although a new order is safe.
func TestRecoveryFreesEngines(t *testing.T) {
	env := newTestEnv(true)
	h1, h2 := env.start("h1", 1), env.start("h2", 2)
	h1.claim()
	env.engine.next = delayOrder
	r, err := h1.Execute(t.Context(), engineAction())
	require.NoError(t, err)
	require.Equal(t, logrec.ResultUnknown, r.Result)
	_, err = h1.Execute(t.Context(), engineAction())
	require.ErrorIs(t, err, ErrBusy)
	h2.claim()
	_, err = h2.Recover(t.Context(), "r")
	require.NoError(t, err)
	r, err = h2.Execute(t.Context(), engineAction())
	require.NoError(t, err)
	require.Equal(t, logrec.ResultDone, r.Result)

	env = newTestEnv(false)
	h1, h2 = env.start("h1", 1), env.start("h2", 2)
	h1.claim()
	env.engine.next = delayOrder
	_, err = h1.Execute(t.Context(), engineAction())
	require.NoError(t, err)
	h2.claim()
	found, err := h2.Recover(t.Context(), "r")
	require.NoError(t, err)
	require.Equal(t, []model.BackendID{"e"}, found.Replace, "the sender may still exist")
	h1 = env.start("h1", 3)
	found, err = h2.Recover(t.Context(), "r")
	require.NoError(t, err)
	require.Equal(t, 1, found.Closed, "the sender is gone")
	_, err = h1.Execute(t.Context(), engineAction())
	require.ErrorIs(t, err, ErrNoAuthority)
}

// Guards against orders to the platform that are lost or executed twice.
func TestPlatformOrdersTakeEffectOnce(t *testing.T) {
	for _, next := range []delivery{deliver, loseResponse, loseOrder} {
		env := newTestEnv(true)
		h1, h2 := env.start("h1", 1), env.start("h2", 2)
		h1.claim()
		env.fleet.nextDelivery = next
		_, err := h1.Execute(t.Context(), platformAction())
		require.NoError(t, err)
		h2.claim()
		_, err = h2.Recover(t.Context(), "r")
		require.NoError(t, err)
		require.Equal(t, 1, env.fleet.effects)
		require.Empty(t, env.tables.Snapshot().OpenIntents())
	}
}
