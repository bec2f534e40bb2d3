package platformsoak

import (
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/redwingpath/redwingpath/integration/harness"
)

// seeds are seeds that once failed, each with the cause.
var seeds = []uint64{
	// The log of the duties dropped its history and with it the fixed counts of a usage
	// window, and the next holder reported different counts.
	1,
	// Servers that had stated that they leave were sent requests.
	9202,
}

func TestPromisesHoldUnderRandomFaults(t *testing.T) {
	dir := t.TempDir()
	programs, err := harness.Build(t.Context(), dir)
	require.NoError(t, err)
	for _, seed := range seeds {
		result, err := Run(t.Context(), Config{
			Seed: seed, Hosts: 3, Duration: 12 * time.Second, Binary: programs.Host, Dir: filepath.Dir(programs.Host),
		})
		require.NoError(t, err)
		assert.Empty(t, result.Violations, "seed %d", seed)
		assert.Greater(t, result.Served, result.Requests/4, "seed %d: %+v", seed, result)
		t.Logf("seed %d: %d requests, %d served, %d faults", seed, result.Requests, result.Served, result.Faults)
	}
}
