package edgehost

import (
	"time"

	"go.uber.org/zap"

	"github.com/redwingpath/redwingpath/pkg/mesh"
	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/quota"
	"github.com/redwingpath/redwingpath/pkg/usagewindow"
)

// newMesh sets up the exchange with the other hosts.
func (h *Host) newMesh() error {
	var err error
	h.mesh, err = mesh.New(mesh.Deps{
		Self: h.self, Seeds: h.settings.Seeds,
		Topics:      h.tables,
		News:        h.ownUpdate,
		Counts:      h.usage.OwnCounts,
		NeedsCounts: h.needsCounts,
		OnUpdate:    h.handlePeerUpdate,
		OnCounts: func(from mesh.Member, counts []usagewindow.WindowCount, at time.Time) {
			h.usage.SetPeerCounts(from.Host, from.Incarnation, counts, at)
		},
		OnClockSample: func(peer string, theirs, ours time.Time) {
			if d := h.clock.Observe(peer, theirs, ours); d != 0 {
				h.log.Warn("time of day corrected by the peers", zap.Duration("by", d))
			}
		},
		Now:       h.clock.Now,
		OnRecords: h.applyRecords,
		OnPeerLost: func(host string) {
			h.log.Warn("peer lost", zap.String("peer", host))
			h.fleet.RemovePeerLoad(host)
			h.updateRetrySlack()
		},
		OnPeerBack: func(host string) {
			h.log.Info("peer heard", zap.String("peer", host))
			h.quota.AddPeer(host, time.Now())
			h.updateRetrySlack()
		},
		Log: h.log,
	}, h.settings.PeersAddress)
	return err
}

// ownUpdate returns the update that this host sends to its peers. A full one also contains
// the measured speeds and the quota usage of all organisations.
func (h *Host) ownUpdate(full bool) mesh.News {
	h.updateSuccessor()
	n := mesh.News{Load: h.fleet.Report(), Quota: h.quota.Usage(full, time.Now()), Suspects: h.gateway.Suspects(), Crashes: h.gateway.CrashEvidence(full), Limits: h.fleet.Limits(full, time.Now())}
	if full {
		n.Speeds = h.fleet.Speeds()
	}
	if fence, mine := h.announcesDuties(); mine {
		n.Holding = mesh.Holding{Holder: h.self.Host, Fence: fence, FixedWindow: h.duties.FixedWindow()}
		n.Switching = *h.switching.Load()
	} else if fence, former := h.duties.FormerFence(); former {
		n.Holding = mesh.Holding{Fence: fence, FixedWindow: h.duties.FixedWindow()}
	}
	return n
}

// needsCounts reports whether a peer may have to report usage. These are the holder of
// the duties, its expected successor, and any peer while the holder is unknown.
func (h *Host) needsCounts(peer string) bool {
	holder, _ := h.duties.Holding()
	return holder == "" || holder == peer || *h.successor.Load() == peer
}

// updateSuccessor determines which peer is expected to claim the duties after the
// holder: the first live one by name.
func (h *Host) updateSuccessor() {
	holder, _ := h.duties.Holding()
	successor := ""
	for _, m := range h.mesh.Live() {
		if m.Host != holder {
			successor = m.Host
			break
		}
	}
	h.successor.Store(&successor)
}

// handlePeerUpdate applies an update from a peer.
func (h *Host) handlePeerUpdate(from mesh.Member, n *mesh.News) {
	now := time.Now()
	host := from.Host
	h.fleet.HandleReport(host, n.Load, now)
	h.fleet.AdoptSpeeds(n.Speeds)
	if n.Holding.Holder == host && !from.Stopped {
		h.duties.HandleFixed(n.Holding.FixedWindow)
		h.duties.HandleReport(host, n.Holding.Fence, now)
		h.fleet.SetSwitching(n.Switching)
	} else if n.Holding.Holder == "" && n.Holding.Fence > 0 {
		h.duties.HandleFormer(host, n.Holding.Fence, n.Holding.FixedWindow)
	}
	h.gateway.SetPeerSuspects(h.suspects.update(host, from.Incarnation, n.Suspects, now))
	h.gateway.MergeCrashEvidence(n.Crashes)
	h.fleet.HandleLimits(n.Limits, now)
	if from.Stopped {
		h.quota.RemovePeer(host)
		h.fleet.RemovePeerLoad(host)
		h.log.Info("peer stopped", zap.String("peer", host))
		return
	}
	h.quota.HandleReport(host, from.Incarnation, n.Quota, now)
}

// limitShareExpiry is how long a silent host keeps its part of the limits of backend servers.
// A host that is cut off from the others goes on with its own part for that time.
const limitShareExpiry = 5 * time.Second

// updateLimitUsers tells the fleet which hosts divide the limits of backend servers.
func (h *Host) updateLimitUsers() {
	h.fleet.SetLiveHosts(h.self.Host, h.mesh.HeardWithin(limitShareExpiry))
	h.fleet.SetMembers(h.mesh.Known())
}

// retryShare is the share of the retry budget that hosts use. The rest covers requests
// in flight, by which the hosts' counts and the servers' counts differ, and the retries of
// hosts in the first window after their start.
const retryShare = 0.8

// startupRetryShare is the share of the ratio that a host uses in that window.
const startupRetryShare = 0.1

// updateRetrySlack divides the retry slack among the largest number of hosts that may
// be alive and applies this host's part.
func (h *Host) updateRetrySlack() {
	h.gateway.SetRetrySlack(retryShare * h.settings.RetrySlack / float64(h.maxLiveHosts()))
}

// maxLiveHosts returns the largest number of hosts that may be alive.
func (h *Host) maxLiveHosts() int { return max(h.mesh.MemberCount()+1, minAssumedHosts) }

// minAssumedHosts is the lower bound of maxLiveHosts, since a new host does not know all
// other hosts yet.
const minAssumedHosts = 8

// quotaLimits returns an organisation's quota in the configuration in force.
func (h *Host) quotaLimits(org model.OrganisationID) quota.Limits {
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
