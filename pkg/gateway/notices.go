package gateway

import (
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/redwingpath/redwingpath/pkg/placement"
)

// heedNotices applies what a backend server states about itself in a response: that it is
// leaving, that it wants no requests for a while, or how many it takes in a second. A response of another server at the
// address states nothing about this one.
//
// confirmed is set if the response is surely the server's own: only such a one states by the
// absence of a limit that there is none.
func (g *Gateway) heedNotices(b *placement.Backend, m ResponseMetadata, confirmed bool) {
	if m.Misdirected {
		return
	}
	now := time.Now()
	if m.Leaving && g.deps.Fleet.NoteLeaving(b, now) {
		g.deps.Log.Info("backend server states that it is leaving", zap.String("backend", string(b.ID)))
	}
	if m.Pause > 0 && g.deps.Fleet.NotePause(b, m.Pause, now) {
		g.deps.Log.Info("backend server wants no requests", zap.String("backend", string(b.ID)), zap.Duration("for", m.Pause))
	}
	limit := placement.NoLimit
	if m.HasLimit {
		limit = m.Limit
	} else if !confirmed {
		return
	}
	if g.deps.Fleet.NoteLimit(b, limit, now) {
		g.deps.Log.Info("backend server states a limit of its requests", zap.String("backend", string(b.ID)), zap.Float64("per_second", limit))
	}
}

// noServer returns the rejection of a request that no server takes now. Where only limits or
// pauses of the servers stand against it, the caller is asked to come back when its turn is.
func (c *call) noServer() *rejection {
	now := time.Now()
	if at, ok := c.placer().ReturnTime(c.service.Name, now); ok {
		return &rejection{status: http.StatusServiceUnavailable, retryAfter: max(at.Sub(now), c.g.settings.MinRetryAfter), reason: "the backend servers take no more requests now"}
	}
	return &rejection{status: http.StatusServiceUnavailable, retryAfter: time.Second, reason: "no backend server is available"}
}

// pauseLeft returns the time until a server of the service wants requests again, 0 if one
// does now. No caller is asked to come back earlier.
func (c *call) pauseLeft() time.Duration {
	if c.service == nil {
		return 0
	}
	now := time.Now()
	end, ok := c.g.deps.Fleet.PauseEnd(c.service.Name, now)
	if !ok {
		return 0
	}
	return end.Sub(now)
}
