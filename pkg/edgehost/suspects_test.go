package edgehost

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestSuspectsAreTheSumOfThePeersCounts(t *testing.T) {
	var p peerSuspects
	assert.Empty(t, p.update("a", nil))
	assert.Equal(t, map[string]int{"x": 1}, p.update("a", map[string]int{"x": 1}))
	assert.Empty(t, p.update("a", map[string]int{"x": 1}), "unchanged counts are not returned")
	assert.Equal(t, map[string]int{"x": 3, "y": 1}, p.update("b", map[string]int{"x": 2, "y": 1}))
	assert.Equal(t, map[string]int{"x": 4}, p.update("a", map[string]int{"x": 2}))
	assert.Equal(t, map[string]int{"x": 2, "y": 0}, p.update("b", nil), "counts that a peer no longer sends are subtracted")
	assert.Equal(t, map[string]int{"x": 0}, p.update("a", nil))
	assert.Empty(t, p.peers)
	assert.Empty(t, p.sums)
}
