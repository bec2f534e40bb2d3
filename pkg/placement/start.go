package placement

import (
	"time"

	"github.com/redwingpath/redwingpath/pkg/model"
)

// NoteCold records until when a server is cold according to its registration. A time that
// is not after now means that the server is warm.
func (f *Fleet) NoteCold(id model.BackendID, incarnation int64, until, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.servers[id]; s != nil && s.Incarnation == incarnation {
		s.coldUntil = until
	}
}
