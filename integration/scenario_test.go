package integration

import (
	"context"
	"flag"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/stretchr/testify/require"

	"github.com/redwingpath/redwingpath/integration/harness"
	"github.com/redwingpath/redwingpath/integration/script"
	"github.com/redwingpath/redwingpath/pkg/platform"
	"github.com/redwingpath/redwingpath/standin"
	"github.com/redwingpath/redwingpath/standin/fault"
	"github.com/redwingpath/redwingpath/standin/record"
)

var seed = flag.Uint64("seed", 1, "seed of the scenarios' load")

// Runs the scenario files. The comment at the head of each file says which behaviour
// it checks.
func TestScenarios(t *testing.T) {
	binaries, err := harness.Build(t.Context(), t.TempDir())
	require.NoError(t, err)
	testscript.Run(t, script.Params("testdata/scenarios", binaries, *seed))
}

// Guards against scenarios that check nothing because the harness set up the
// deployment wrongly: entities that are missing in the log, relays that forward
// nothing, or faults that do not reach the simulated components.
func TestHarnessPreparesDeployment(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
	defer cancel()
	binaries, err := harness.Build(ctx, t.TempDir())
	require.NoError(t, err)
	d, err := harness.New(ctx, binaries, harness.Duelas.Config(t.TempDir(), harness.Sizes{Hosts: 2}, 1))
	require.NoError(t, err)
	t.Cleanup(d.Close)

	client := platform.NewClient(platform.ClientConfig{Address: d.StandIn.Addresses.Platform})
	read, err := client.Read(ctx, 1, 10, time.Second)
	require.NoError(t, err)
	require.Len(t, read.Entries, 1)
	backends, err := d.StandIn.Backends(ctx)
	require.NoError(t, err)
	require.Len(t, backends, 8)

	require.NoError(t, d.SetKey(ctx, harness.RevocableKey, true))
	require.NoError(t, d.StandIn.SetPlatformFault(ctx, fault.Injection{Interface: fault.LogAppend, Outage: true}))
	require.Error(t, d.SetKey(ctx, harness.RevocableKey, false))
	require.NoError(t, d.StandIn.ClearFaults(ctx))
	require.NoError(t, d.StandIn.ApplyAction(ctx, backends[0].ID, standin.ActionCrash))

	r, err := d.Recording(ctx)
	require.NoError(t, err)
	require.Len(t, r.Changes, 1)
	require.True(t, r.Changes[0].Revoked)
	crashed := 0
	for _, e := range r.Events {
		if e.Kind == record.Crashed {
			crashed++
		}
	}
	require.Equal(t, 1, crashed)
}
