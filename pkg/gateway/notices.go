package gateway

import (
	"time"

	"go.uber.org/zap"

	"github.com/redwingpath/redwingpath/pkg/placement"
)

// heedNotices applies what a backend server states about itself in a response: that it is
// leaving, or that it wants no requests for a while. A response of another server at the
// address states nothing about this one.
func (g *Gateway) heedNotices(b *placement.Backend, m ResponseMetadata) {
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
