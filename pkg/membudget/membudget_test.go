package membudget

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestLeasesShareTheBudget(t *testing.T) {
	b := New(10 * SmallBytes)
	large := b.NewLease()
	require.NoError(t, large.Grow(6*SmallBytes))
	assert.ErrorIs(t, large.Grow(SmallBytes), ErrExhausted, "beyond the share of large leases")
	for range 4 {
		require.NoError(t, b.NewLease().Grow(SmallBytes), "small leases may use the rest")
	}
	small := b.NewLease()
	assert.ErrorIs(t, small.Grow(1), ErrExhausted)
	assert.EqualValues(t, 10*SmallBytes, b.Used())
	large.Shrink(SmallBytes)
	require.NoError(t, small.Grow(SmallBytes))
	large.Free()
	large.Free()
	assert.EqualValues(t, 5*SmallBytes, b.Used())
}

func TestLeaseWithoutABudgetHasNoLimit(t *testing.T) {
	var b *Budget
	l := b.NewLease()
	require.NoError(t, l.Grow(1<<40))
	l.Free()
}
