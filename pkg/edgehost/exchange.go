package edgehost

import (
	"time"

	"go.uber.org/zap"

	"github.com/redwingpath/redwingpath/pkg/mesh"
	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/quota"
)

func (h *Host) newMesh() error {
	var err error
	h.mesh, err = mesh.New(mesh.Deps{
		Self: h.self, Seeds: h.settings.Seeds,
		Topics:    h.tables,
		Compose:   h.compose,
		CountsFor: h.mayReport,
		Heard:     h.heard,
		Load:      h.fleet.Current,
		HeardLoad: h.fleet.HearLoad,
		Clock: func(peer string, theirs, ours time.Time) {
			if d := h.clock.Observe(peer, theirs, ours); d != 0 {
				h.log.Warn("time of day corrected by the peers", zap.Duration("by", d))
			}
		},
		Now:     h.clock.Now,
		Changed: h.changed,
		Lost: func(host string) {
			h.log.Warn("peer lost", zap.String("peer", host))
			h.fleet.Forget(host)
			h.shareSlack()
		},
		Back: func(host string) {
			h.log.Info("peer heard", zap.String("peer", host))
			h.quota.Peer(host, time.Now())
			h.shareSlack()
		},
		Log: h.log,
	}, h.settings.Peers)
	return err
}

// compose fills in what this host tells its peers.
func (h *Host) compose(m *mesh.Message) {
	h.findDeputy()
	m.Load = h.fleet.Report()
	m.Quota = h.quota.Use()
	m.Counted, m.Counts = true, h.usage.Lines()
	if fence, mine := h.duties.Mine(); mine {
		m.Holding = mesh.Holding{Holder: h.self.Host, Fence: fence}
		m.Switching = *h.switching.Load()
	}
	m.Suspects = h.gateway.Suspects()
}

// mayReport tells whether a peer may have to report usage: the holder of the
// duties, the host that is expected to follow it, or any peer while the holder is
// not known.
func (h *Host) mayReport(peer string) bool {
	holder, _ := h.duties.Holding()
	return holder == "" || holder == peer || *h.deputy.Load() == peer
}

// findDeputy notes which peer is expected to claim the duties after the holder:
// the first by name.
func (h *Host) findDeputy() {
	holder, _ := h.duties.Holding()
	deputy := ""
	for _, m := range h.mesh.Live() {
		if m.Host != holder {
			deputy = m.Host
			break
		}
	}
	h.deputy.Store(&deputy)
}

// heard takes a peer's message.
func (h *Host) heard(m *mesh.Message) {
	now := time.Now()
	host := m.From.Host
	h.fleet.Hear(host, m.Load, now)
	if m.Counted {
		h.usage.Hear(host, m.From.Incarnation, m.Counts, m.Now)
	}
	if m.Holding.Holder == host && !m.From.Stopped {
		h.duties.Hear(host, m.Holding.Fence, now)
		h.fleet.SetSwitching(m.Switching)
	}
	h.gateway.HearSuspects(h.suspects.take(host, m.Suspects))
	if m.From.Stopped {
		h.quota.Leave(host)
		h.fleet.Forget(host)
		h.log.Info("peer stopped", zap.String("peer", host))
		return
	}
	h.quota.Hear(host, m.From.Incarnation, m.Quota, now)
}

// retryShare is the part of the budget of resends that hosts use: what they count
// and what arrives differ by the requests on their way.
const retryShare = 0.8

// shareSlack gives this host its part of the slack of resends. The part is for
// the largest number of hosts that may be alive.
func (h *Host) shareSlack() {
	hosts := max(h.mesh.Known()+1, slackHostsLeast)
	h.gateway.SetRetrySlack(retryShare * h.settings.RetrySlack / float64(hosts))
}

// slackHostsLeast is the number of hosts among which the slack is divided before
// all were met.
const slackHostsLeast = 8

// quotaOf is an organisation's quota in the configuration in force.
func (h *Host) quotaOf(org model.OrganisationID) quota.Limits {
	c := h.catalog.Load()
	if c == nil {
		return quota.Limits{}
	}
	o := c.Organisation(org)
	if o == nil {
		return quota.Limits{}
	}
	return quota.Limits{Rate: o.Rate, Burst: o.Burst}
}
