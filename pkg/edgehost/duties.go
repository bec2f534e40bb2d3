package edgehost

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/redwingpath/redwingpath/pkg/duty"
	"github.com/redwingpath/redwingpath/pkg/truetime"
)

// Timing of the duties.
const (
	dutyInterval = 200 * time.Millisecond
	// dutyTimeout bounds the calls of one round. A slow platform responds within it.
	dutyTimeout = 1200 * time.Millisecond
	// earliestReportDelay is the time after the end of a usage window at which the
	// window is reported if all peers have sent their counts.
	earliestReportDelay = time.Second
	// latestReportShare is the share of the allowed delay after which a window is
	// reported without the counts of peers that have not sent them.
	latestReportShare = 0.45
	// extraWindows is the number of windows with overdue reports that a holder still
	// checks, besides those whose reports are not overdue. depositCounts also goes back
	// at most this many windows.
	extraWindows = 2
	// completeCountsMargin is how long after the end of a window a peer's counts are
	// complete: requests sent in the window have begun by then.
	completeCountsMargin = 250 * time.Millisecond
)

// runDuties takes part in the election of the duty holder and carries out the duties
// while this host holds them.
func (h *Host) runDuties(ctx context.Context) {
	h.duties.Start(time.Now())
	pauses := truetime.NewPauseDetector(truetime.System(), dutyInterval+2*dutyTimeout)
	ticker := time.NewTicker(dutyInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		if paused := pauses.Check(); paused > 0 {
			h.log.Warn("the process stood still", zap.Duration("for", paused))
			h.duties.Resign("the process stood still", now)
		}
		if h.stopping.Load() {
			h.duties.Resign("the host stops", now)
			continue
		}
		if !h.settings.UsageDuty && !h.settings.ScaleDuty {
			continue
		}
		h.stepDuties(ctx, now)
	}
}

// stepDuties runs one round of the election and, as the holder, of the duties.
func (h *Host) stepDuties(ctx context.Context, now time.Time) {
	h.observeDemand(now)
	ctx, cancel := context.WithTimeout(ctx, dutyTimeout)
	defer cancel()
	_, _, claimed := h.duties.Claimed()
	if err := h.duties.Step(ctx, now); err != nil {
		h.log.Info("the log of the duties could not be reached", zap.Error(err))
	}
	_, lapsed, mine := h.duties.Claimed()
	if mine && !claimed {
		// Tell the peers at once, so that none of them claims the duties.
		h.mesh.Wake()
	}
	if !mine {
		h.metrics.dutyHolder.Set(0)
		clear(h.reportedWindows)
		h.orderState = newOrderState()
		return
	}
	term, mayAct := h.duties.Term()
	h.noteLease(mayAct, lapsed)
	if !mayAct {
		return
	}
	if h.settings.UsageDuty {
		h.usage.Restore(h.self.Host, h.self.Incarnation, h.duties.Deposits())
		h.reportUsage(ctx, term)
		h.depositCounts(ctx, now)
	}
	h.planFleet(ctx, term, now)
	list := h.switchingEngines()
	h.switching.Store(&list)
	h.fleet.SetSwitching(list)
}

// noteLease logs when the lease of the duties ends because the log cannot be written, and
// when it is renewed.
func (h *Host) noteLease(mayAct bool, lapsed time.Duration) {
	if mayAct {
		h.metrics.dutyHolder.Set(1)
		if h.leaseLapsed {
			h.log.Info("the lease of the duties is renewed")
		}
	} else {
		h.metrics.dutyHolder.Set(0)
		if !h.leaseLapsed {
			h.log.Warn("the lease of the duties has ended; they rest until the log can be written", zap.Duration("since", lapsed))
		}
	}
	h.leaseLapsed = !mayAct
}

// announcesDuties reports whether this host announces itself as the holder of the duties.
// While its lease has ended, it does so only if no peer reaches the store either: such a
// peer could claim the duties.
func (h *Host) announcesDuties() (fence uint64, ok bool) {
	fence, lapsed, mine := h.duties.Claimed()
	if !mine {
		return fence, false
	}
	leaseEnd := time.Now().Add(-lapsed)
	return fence, lapsed == 0 || !h.tables[TopicBackends].UpToDateAt().After(leaseEnd)
}

// fixableWindow returns the newest usage window whose figures a holder may have fixed by now.
func (h *Host) fixableWindow() int64 {
	return h.usage.Window(h.clock.Now().Add(-earliestReportDelay)) - 1
}

// reportUsage reports the ended windows that are due, oldest first, until a report
// fails.
func (h *Host) reportUsage(ctx context.Context, term duty.Term) {
	now := h.clock.Now()
	current := h.usage.Window(now)
	past := int64(h.settings.UsageDelay/h.settings.UsageWindow) + extraWindows
	for window := current - past; window < current; window++ {
		if h.reportedWindows[window] || !h.readyToReport(window, now) {
			continue
		}
		if !h.reportWindow(ctx, window, term) {
			return
		}
	}
}

// depositInterval is the pause between deposits of counts in the log of the duties. If
// all hosts fail, the counts since the last deposit are lost: at most three tenths of a
// window of the default length.
const depositInterval = 1500 * time.Millisecond

// depositCounts writes the counts of unreported windows to the log of the duties.
func (h *Host) depositCounts(ctx context.Context, now time.Time) {
	if now.Sub(h.lastDeposit) < depositInterval {
		return
	}
	h.lastDeposit = now
	window := h.usage.Window(h.clock.Now())
	for !h.reportedWindows[window-1] && window > h.usage.Window(h.clock.Now())-extraWindows {
		window--
	}
	list := h.usage.Deposits(h.self.Host, h.self.Incarnation, window)
	if len(list) == 0 {
		return
	}
	if err := h.duties.Deposit(ctx, list); err != nil {
		h.log.Info("the counts of usage windows could not be deposited", zap.Error(err))
	}
}

// readyToReport reports whether all counts of a window have arrived or its report can wait
// no longer.
func (h *Host) readyToReport(window int64, now time.Time) bool {
	end := h.usage.End(window)
	if now.Before(end.Add(earliestReportDelay)) {
		return false
	}
	if now.After(end.Add(time.Duration(latestReportShare * float64(h.settings.UsageDelay)))) {
		return true
	}
	for _, m := range h.mesh.Live() {
		if !h.usage.ReportedAfter(m.Host, m.Incarnation, end.Add(completeCountsMargin)) {
			return false
		}
	}
	return true
}

// reportWindow fixes the counts of a window in the log of the duties, so that every
// holder reports the same ones, and sends the report. It reports whether it succeeded.
func (h *Host) reportWindow(ctx context.Context, window int64, term duty.Term) bool {
	counts, err := h.duties.FixUsage(ctx, window, h.usage.Sum(window))
	if errors.Is(err, duty.ErrAbandoned) {
		h.reportedWindows[window] = true
		h.log.Warn("usage is not reported: other figures may have been before the store was restored", zap.Int64("window", window))
		h.metrics.usageReports.WithLabelValues("abandoned").Inc()
		return true
	}
	if err != nil {
		h.log.Warn("the counts of a usage window could not be fixed in the log of the duties", zap.Int64("window", window), zap.Error(err))
		h.metrics.usageReports.WithLabelValues("not_fixed").Inc()
		return false
	}
	err = h.platform.ReportUsage(ctx, term, window, counts)
	switch {
	case err == nil:
		h.reportedWindows[window] = true
		h.log.Info("usage reported", zap.Int64("window", window), zap.Uint64("fence", term.Fence), zap.Any("counts", counts))
		h.metrics.usageReports.WithLabelValues("reported").Inc()
		return true
	case errors.Is(err, ErrConflict):
		h.metrics.usageReports.WithLabelValues("fenced").Inc()
		h.duties.Resign("the platform has seen a higher fencing token", time.Now())
	default:
		h.log.Warn("usage was not reported", zap.Int64("window", window), zap.Error(err))
		h.metrics.usageReports.WithLabelValues("failed").Inc()
	}
	return false
}
