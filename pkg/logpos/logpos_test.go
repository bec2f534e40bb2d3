package logpos

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against positions that go back with the offsets after a restore, or that differ from
// the offsets of a store that was never restored.
func TestPositionsRiseAcrossEras(t *testing.T) {
	last := uint64(0)
	for _, p := range []struct{ era, offset uint64 }{{0, 0}, {0, 7}, {0, maxOffset}, {1, 0}, {1, 3}, {2, 1}, {maxEra, maxOffset}} {
		position, err := New(p.era, p.offset)
		require.NoError(t, err)
		assert.True(t, position > last || position == 0)
		assert.Equal(t, p.era, Era(position))
		assert.Equal(t, p.offset, Offset(position))
		if p.era == 0 {
			assert.Equal(t, p.offset, position)
		}
		last = position
	}
	assert.Less(t, last, uint64(1)<<53)
}

// Guards against positions of two eras that coincide.
func TestPositionsOutOfRangeAreRefused(t *testing.T) {
	_, err := New(maxEra+1, 0)
	assert.Error(t, err)
	_, err = New(0, maxOffset+1)
	assert.Error(t, err)
}
