package settings

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"net/url"
	"strings"
	"time"
)

// maxTick limits the tick, so that the control loop detects a pause of the process
// within the lease margin.
const maxTick = time.Second

// findingCollector collects the findings of the value checks.
type findingCollector interface {
	addAtField(field, message string)
}

func (s *Settings) validate(c findingCollector) {
	s.Host.validate(c)
	s.Listen.validate(c)
	s.Platform.validate(c)
	s.Limits.validate(c)
	s.Timings.validate(c)
	s.Scheduling.validate(c)
	s.Logging.validate(c)
	s.TLS.validate(c)
	validateOperators(c, s.Operators)
}

func (h *Host) validate(c findingCollector) {
	checkName(c, "host.id", string(h.ID))
	checkName(c, "host.region", string(h.Region))
	checkName(c, "host.data_centre", string(h.DataCentre))
}

func (l *Listen) validate(c findingCollector) {
	checkAddress(c, "listen.callers", l.Callers)
	checkAddress(c, "listen.operators", l.Operators)
	checkAddress(c, "listen.peers", l.Peers)
	l.validateAdvertised(c)
	duplicate := l.Callers == l.Operators || l.Callers == l.Peers || l.Operators == l.Peers
	if duplicate && l.Callers != "" && !strings.HasSuffix(l.Callers, ":0") {
		c.addAtField("listen", "two listeners have the same address")
	}
}

func (l *Listen) validateAdvertised(c findingCollector) {
	field := "listen.peers"
	if l.PeerAdvertised != l.Peers {
		field = "listen.peer_advertised"
		checkAddress(c, field, l.PeerAdvertised)
	}
	advertised, err := netip.ParseAddrPort(l.PeerAdvertised)
	if err == nil && advertised.Addr().IsUnspecified() {
		c.addAtField(field, fmt.Sprintf("other hosts cannot dial %s, set listen.peer_advertised", l.PeerAdvertised))
	}
}

func (p *Platform) validate(c findingCollector) {
	switch {
	case p.Address != "":
		checkBaseURL(c, "platform.address", p.Address)
	case p.Log == "" && p.Fleet == "" && p.Usage == "" && p.Weights == "":
		c.addAtField("platform.address", "required")
		return
	}
	checkPositive(c, "platform.request_timeout", p.RequestTimeout)
	endpoints := []struct{ field, value string }{
		{"platform.log", p.Log}, {"platform.fleet", p.Fleet},
		{"platform.usage", p.Usage}, {"platform.weights", p.Weights},
	}
	for _, e := range endpoints {
		switch {
		case e.value == "":
			c.addAtField(e.field, "required, or platform.address")
		case e.value != p.Address:
			checkBaseURL(c, e.field, e.value)
		}
	}
}

func (l *Limits) validate(c findingCollector) {
	checkPositive(c, "limits.header_bytes", l.HeaderBytes)
	checkPositive(c, "limits.body_bytes", l.BodyBytes)
	checkPositive(c, "limits.streams", l.Streams)
	checkPositive(c, "limits.connections", l.Connections)
	checkPositive(c, "limits.requests_in_progress", l.RequestsInProgress)
	checkPositive(c, "limits.header_time", l.HeaderTime)
	checkPositive(c, "limits.body_time", l.BodyTime)
	checkPositive(c, "limits.write_stall", l.WriteStall)
	checkPositive(c, "limits.idle_time", l.IdleTime)
	checkPositive(c, "limits.request_time", l.RequestTime)
	checkPositive(c, "limits.service_time", l.ServiceTime)
	checkPositive(c, "limits.max_tokens", l.MaxTokens)
}

func (t *Timings) validate(c findingCollector) {
	checkPositive(c, "timings.tick", t.Tick)
	checkPositive(c, "timings.lease", t.Lease)
	checkPositive(c, "timings.lease_margin", t.LeaseMargin)
	checkPositive(c, "timings.grant_term", t.GrantTerm)
	checkNotNegative(c, "timings.shutdown_delay", t.ShutdownDelay)
	checkPositive(c, "timings.shutdown_time", t.ShutdownTime)
	checkPositive(c, "timings.usage_window", t.UsageWindow)
	checkPositive(c, "timings.usage_flush", t.UsageFlush)
	checkPositive(c, "timings.checkpoint_interval", t.CheckpointInterval)
	checkPositive(c, "timings.log_retention", t.LogRetention)
	checkPositive(c, "timings.peer_timeout", t.PeerTimeout)
	checkPositive(c, "timings.log_poll", t.LogPoll)
	checkLess(c, "timings.log_poll", t.LogPoll, "the time after which a silent log counts as unreachable", time.Second)
	checkPositive(c, "timings.log_batch", t.LogBatch)
	checkPositive(c, "timings.config_timeout", t.ConfigTimeout)
	checkLess(c, "timings.tick", t.Tick, "timings.lease_margin", t.LeaseMargin)
	checkLess(c, "timings.lease_margin", t.LeaseMargin, "timings.lease", t.Lease)
	checkLess(c, "timings.usage_flush", t.UsageFlush, "timings.usage_window", t.UsageWindow)
	checkLess(c, "timings.shutdown_delay", t.ShutdownDelay, "timings.shutdown_time", t.ShutdownTime)
	if t.Tick > maxTick {
		c.addAtField("timings.tick", fmt.Sprintf("must be at most %v", maxTick))
	}
}

func (s *Scheduling) validate(c findingCollector) {
	checkPositive(c, "scheduling.first_token_target", s.FirstTokenTarget)
	checkPositive(c, "scheduling.token_gap_target", s.TokenGapTarget)
	checkNotNegative(c, "scheduling.default_distance", s.DefaultDistance)
	checkPositive(c, "scheduling.load_poll", s.LoadPoll)
	checkPositive(c, "scheduling.cache_poll", s.CachePoll)
	checkPositive(c, "scheduling.fleet_poll", s.FleetPoll)
	checkPositive(c, "scheduling.plan_interval", s.PlanInterval)
	checkPositive(c, "scheduling.plan_horizon", s.PlanHorizon)
	checkNotNegative(c, "scheduling.role_changes_per_horizon", s.RoleChangesPerHorizon)
	checkPositive(c, "scheduling.order_lead_time", s.OrderLeadTime)
	checkPositive(c, "scheduling.release_hold", s.ReleaseHold)
	checkPositive(c, "scheduling.stream_gap_factor", s.StreamGapFactor)
	checkPositive(c, "scheduling.stream_gap_minimum", s.StreamGapMinimum)
	s.Weights.validate(c)
	s.Work.validate(c)
	for i, d := range s.Distances {
		field := fmt.Sprintf("scheduling.distances[%d]", i)
		checkName(c, field+".from", string(d.From))
		checkName(c, field+".to", string(d.To))
		checkNotNegative(c, field+".ms", d.Milliseconds)
	}
}

func (w *Weights) validate(c findingCollector) {
	checkNotNegative(c, "scheduling.weights.goodput", w.Goodput)
	checkNotNegative(c, "scheduling.weights.role_changes", w.RoleChanges)
	checkNotNegative(c, "scheduling.weights.worst_served", w.WorstServed)
	checkNotNegative(c, "scheduling.weights.cost", w.Cost)
	checkNotNegative(c, "scheduling.weights.usage_reports", w.UsageReports)
	checkNotNegative(c, "scheduling.weights.preemptible_share", w.PreemptibleShare)
	checkNotNegative(c, "scheduling.weights.wrong_rejections", w.WrongRejections)
}

func (w *Work) validate(c findingCollector) {
	checkNotNegative(c, "scheduling.work.per_request", w.PerRequest)
	checkNotNegative(c, "scheduling.work.per_prompt_token", w.PerPromptToken)
	checkNotNegative(c, "scheduling.work.per_output_token", w.PerOutputToken)
	checkPositive(c, "scheduling.work.output_weight", w.OutputWeight)
}

func (l *Logging) validate(c findingCollector) {
	checkOneOf(c, "logging.level", l.Level, "debug", "info", "warn", "error")
	checkOneOf(c, "logging.format", string(l.Format), string(LogJSON), string(LogConsole))
	if l.Output == "" {
		c.addAtField("logging.output", `must be "stderr", "stdout" or a file name`)
	}
	checkNotNegative(c, "logging.sample_per_second", l.SamplePerSecond)
	checkPositive(c, "logging.journal_entries", l.JournalEntries)
}

func (t *TLS) validate(c findingCollector) {
	t.Callers.validate(c, "tls.callers")
	t.Operators.validate(c, "tls.operators")
	t.Peers.validate(c, "tls.peers")
	if t.Peers != nil && t.Peers.CAFile == "" {
		c.addAtField("tls.peers.ca_file", "required, hosts authenticate each other")
	}
}

func (f *Certificate) validate(c findingCollector, field string) {
	if f == nil {
		return
	}
	if f.CertFile == "" {
		c.addAtField(field+".cert_file", "required")
	}
	if f.KeyFile == "" {
		c.addAtField(field+".key_file", "required")
	}
}

func validateOperators(c findingCollector, operators []Operator) {
	seen := make(map[string]bool)
	for i, o := range operators {
		field := fmt.Sprintf("operators[%d]", i)
		checkName(c, field+".name", o.Name)
		if seen[o.Name] {
			c.addAtField(field+".name", fmt.Sprintf("operator %q is given twice", o.Name))
		}
		seen[o.Name] = true
		digest, err := hex.DecodeString(o.TokenSHA256)
		if err != nil || len(digest) != 32 {
			c.addAtField(field+".token_sha256", "must be a SHA-256 digest of 64 hexadecimal digits")
		}
	}
}

func checkBaseURL(c findingCollector, field, value string) {
	u, err := url.Parse(value)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		c.addAtField(field, fmt.Sprintf(`must be a URL such as "http://127.0.0.1:7000", found %q`, value))
	}
}
