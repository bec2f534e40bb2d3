package edgehost

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/redwingpath/redwingpath/pkg/truetime"
)

// Timing of the duties.
const (
	dutyTick = 200 * time.Millisecond
	// dutyTimeout bounds a call for a duty; a slow platform answers within it.
	dutyTimeout = 1200 * time.Millisecond
	// reportEarly is the time after the end of a usage window at which it is
	// reported if all peers have told their counts.
	reportEarly = time.Second
	// reportShare is the part of the delay allowed at which a window is reported
	// without those who have not.
	reportShare = 0.45
	// extraWindows is the number of past windows that a holder looks at beyond those
	// whose reports are not overdue.
	extraWindows = 2
	// toldMargin is how long after the end of a window a peer's message counts as
	// complete: requests sent in the window have begun by then.
	toldMargin = 250 * time.Millisecond
)

// runDuties claims the duties and carries them out.
func (h *Host) runDuties(ctx context.Context) {
	h.duties.Start(time.Now())
	pauses := truetime.NewPauseDetector(truetime.System(), dutyTick+2*dutyTimeout)
	ticker := time.NewTicker(dutyTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		if stood := pauses.Look(); stood > 0 {
			h.log.Warn("the process stood still", zap.Duration("for", stood))
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

func (h *Host) stepDuties(ctx context.Context, now time.Time) {
	h.observeDemand(now)
	ctx, cancel := context.WithTimeout(ctx, dutyTimeout)
	defer cancel()
	isolated := 2*(len(h.mesh.Live())+1) <= h.mesh.Known()+1
	_, held := h.duties.Mine()
	if err := h.duties.Step(ctx, isolated, now); err != nil {
		h.log.Info("the log of the duties was not reached", zap.Error(err))
	}
	fence, mine := h.duties.Mine()
	if mine && !held {
		// The others need not claim.
		h.mesh.Kick()
	}
	h.metrics.holder.Set(boolNumber(mine))
	if !mine {
		clear(h.reported)
		h.orders = newOrders()
		return
	}
	if h.settings.UsageDuty {
		h.usage.Restore(h.self.Host, h.self.Incarnation, h.duties.Deposits())
		h.reportUsage(ctx, fence)
		h.depositCounts(ctx, now)
	}
	h.planFleet(ctx, fence, now)
	list := h.switchingNow()
	h.switching.Store(&list)
	h.fleet.SetSwitching(list)
}

func boolNumber(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// reportUsage reports the windows that have ended.
func (h *Host) reportUsage(ctx context.Context, fence uint64) {
	now := h.clock.Now()
	current := h.usage.Window(now)
	past := int64(h.settings.UsageDelay/h.settings.UsageWindow) + extraWindows
	for window := current - past; window < current; window++ {
		if h.reported[window] || !h.ripe(window, now) {
			continue
		}
		if !h.reportWindow(ctx, window, fence) {
			return
		}
	}
}

// depositInterval is the pause between deposits of counts. What was counted since
// the last one is lost with all hosts: three in ten of a window.
const depositInterval = 1500 * time.Millisecond

// depositCounts keeps the counts of the windows that were not reported in the log
// of the duties.
func (h *Host) depositCounts(ctx context.Context, now time.Time) {
	if now.Sub(h.deposited) < depositInterval {
		return
	}
	h.deposited = now
	window := h.usage.Window(h.clock.Now())
	for !h.reported[window-1] && window > h.usage.Window(h.clock.Now())-extraWindows {
		window--
	}
	list := h.usage.Deposits(h.self.Host, h.self.Incarnation, window)
	if len(list) == 0 {
		return
	}
	if err := h.duties.Deposit(ctx, list); err != nil {
		h.log.Info("the counts of usage windows were not deposited", zap.Error(err))
	}
}

// ripe tells whether a window can be reported.
func (h *Host) ripe(window int64, now time.Time) bool {
	end := h.usage.End(window)
	if now.Before(end.Add(reportEarly)) {
		return false
	}
	if now.After(end.Add(time.Duration(reportShare * float64(h.settings.UsageDelay)))) {
		return true
	}
	for _, m := range h.mesh.Live() {
		if !h.usage.Told(m.Host, m.Incarnation, end.Add(toldMargin)) {
			return false
		}
	}
	return true
}

// reportWindow reports a window under the figures that the log of the duties
// fixes, and tells whether the next one may follow.
func (h *Host) reportWindow(ctx context.Context, window int64, fence uint64) bool {
	counts, err := h.duties.Usage(ctx, window, h.usage.Sum(window))
	if err != nil {
		h.log.Warn("the figures of a usage window were not fixed", zap.Int64("window", window), zap.Error(err))
		h.metrics.reports.WithLabelValues("not_fixed").Inc()
		return false
	}
	err = h.platform.ReportUsage(ctx, h.self.Host, fence, window, counts)
	switch {
	case err == nil:
		h.reported[window] = true
		h.log.Info("usage reported", zap.Int64("window", window), zap.Uint64("fence", fence), zap.Any("counts", counts))
		h.metrics.reports.WithLabelValues("reported").Inc()
		return true
	case errors.Is(err, ErrConflict):
		h.metrics.reports.WithLabelValues("fenced").Inc()
		h.duties.Resign("the platform has seen a higher fencing token", time.Now())
	default:
		h.log.Warn("usage was not reported", zap.Int64("window", window), zap.Error(err))
		h.metrics.reports.WithLabelValues("failed").Inc()
	}
	return false
}
