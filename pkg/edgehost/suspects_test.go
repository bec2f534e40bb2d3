package edgehost

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestSuspectsAreTheSumOfThePeersCounts(t *testing.T) {
	var b peerSuspects
	assert.Empty(t, b.update("a", nil))
	assert.Equal(t, map[string]int{"x": 1}, b.update("a", map[string]int{"x": 1}))
	assert.Empty(t, b.update("a", map[string]int{"x": 1}), "unchanged counts are not returned")
	assert.Equal(t, map[string]int{"x": 3, "y": 1}, b.update("b", map[string]int{"x": 2, "y": 1}))
	assert.Equal(t, map[string]int{"x": 4}, b.update("a", map[string]int{"x": 2}))
	assert.Equal(t, map[string]int{"x": 2, "y": 0}, b.update("b", nil), "counts that a peer no longer sends are subtracted")
	assert.Equal(t, map[string]int{"x": 0}, b.update("a", nil))
	assert.Empty(t, b.peers)
	assert.Empty(t, b.sums)
}
