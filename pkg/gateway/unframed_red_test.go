//go:build knownred

package gateway

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against taking a whole resumed run for a broken one, since it has no framing.
func TestResumedUnframedRunIsWhole(t *testing.T) {
	for name, last := range map[string]int{"with events": 4, "with none left": 2} {
		t.Run("after a framed one/"+name, func(t *testing.T) {
			r := runStreams(t, "/say/", streamRun{last: 2, end: insideEvent}, streamRun{unframed: true, last: last})
			requireWhole(t, r, last, 2, 1)
			assert.True(t, r.chunked)
		})
		t.Run("after a framed one/"+name+" and no other engine", func(t *testing.T) {
			r := streamAt(t, "/say/", 2, streamRun{last: 2, end: insideEvent}, streamRun{unframed: true, last: last})
			requireWhole(t, r, last, 2, 1)
			assert.True(t, r.chunked)
		})
	}
	t.Run("after an unframed one/with none left", func(t *testing.T) {
		r := runStreams(t, "/say/", streamRun{unframed: true, last: 2, end: insideEvent}, streamRun{unframed: true, last: 2})
		requireWhole(t, r, 2, 2, 1)
		assert.False(t, r.chunked)
	})
	t.Run("after an unframed one/with none left and no other engine", func(t *testing.T) {
		r := streamAt(t, "/say/", 2, streamRun{unframed: true, last: 2, end: insideEvent}, streamRun{unframed: true, last: 2})
		requireWhole(t, r, 2, 2, 1)
		assert.False(t, r.chunked)
	})
}
