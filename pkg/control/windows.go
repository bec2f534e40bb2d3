package control

import (
	"context"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/redwingpath/redwingpath/pkg/journal"
	"github.com/redwingpath/redwingpath/pkg/logrec"
	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/platform"
	"github.com/redwingpath/redwingpath/pkg/state"
)

const (
	// usageWindowCheckInterval is the interval between checks for usage windows to
	// seal or report.
	usageWindowCheckInterval = 250 * time.Millisecond
	// reportRetryInterval is the interval between two attempts to send one report.
	reportRetryInterval = time.Second
	sealTimeout         = 10 * time.Second
	reportCallTimeout   = 5 * time.Second
)

// updateUsageWindows seals finished windows of the held usage shards and reports
// sealed ones.
func (c *Control) updateUsageWindows(now time.Time, s *state.Snapshot) {
	if !c.throttle.allow("windows", now, usageWindowCheckInterval) {
		return
	}
	length := c.config.UsageWindow.Milliseconds()
	nowMS := c.Now().UnixMilli()
	finished := nowMS - nowMS%length - length
	for shard, fence := range c.lease.Load().Held() {
		if !state.IsUsageShard(shard) {
			continue
		}
		last, sealed := s.LastWindow(shard)
		if (!sealed || last < finished) && len(s.OpenUsage(shard)) > 0 {
			c.startJob("seal "+string(shard), func(ctx context.Context) { c.sealWindow(ctx, shard, fence, finished) })
		}
	}
	for _, w := range s.Unreported() {
		if _, ok := c.Holds(w.Shard); ok && c.config.Usage != nil && c.throttle.allow("report "+w.ReportID, now, reportRetryInterval) {
			c.startJob("report "+w.ReportID, func(ctx context.Context) { c.report(ctx, w) })
		}
	}
}

func (c *Control) sealWindow(ctx context.Context, shard model.ShardName, fence model.Offset, startMS int64) {
	ctx, cancel := context.WithTimeout(ctx, sealTimeout)
	defer cancel()
	record, err := logrec.New(logrec.KindUsageSeal, logrec.UsageSeal{WindowStartMS: startMS})
	if err != nil {
		return
	}
	record.Shard, record.Fence = shard, fence
	if _, ok := c.Holds(shard); !ok {
		return
	}
	if _, err := c.follower.Append(ctx, record); err != nil {
		c.config.Logger.Debug("seal usage window", zap.Error(err))
	}
}

// report sends the report of a sealed window. It first asks whether an earlier
// attempt arrived, since the response to it may have been lost.
func (c *Control) report(ctx context.Context, w state.SealedWindow) {
	ctx, cancel := context.WithTimeout(ctx, reportCallTimeout)
	defer cancel()
	report := newUsageReport(w)
	known, err := c.config.Usage.ReportStatus(ctx, w.ReportID)
	switch {
	case err == nil:
		if !slices.Equal(known.Lines, report.Lines) {
			c.recordDecision(journal.KindConfig, w.ReportID, "report differs", "the platform has other figures for this window")
			c.config.Logger.Error("the platform has other figures for a usage window", zap.String("report", w.ReportID))
			return
		}
	case eris.Is(err, platform.ErrUnknown):
		if err := c.sendReport(ctx, w.Shard, report); err != nil {
			c.config.Logger.Debug("usage report", zap.String("report", w.ReportID), zap.Error(err))
			return
		}
	default:
		return
	}
	record, err := logrec.New(logrec.KindUsageReported, logrec.UsageReported{ReportID: w.ReportID})
	if err != nil {
		return
	}
	_, _ = c.follower.Append(ctx, record)
	_ = c.runInLoop(c.runCtx, func() { delete(c.throttle, "report "+w.ReportID) })
}

// sendReport sends a report with the fencing token that this host holds now.
func (c *Control) sendReport(ctx context.Context, shard model.ShardName, report platform.UsageReport) error {
	fence, ok := c.Holds(shard)
	if !ok {
		return eris.New("this host does not hold the usage shard any more")
	}
	report.Host, report.Fence = c.config.Host, fence
	return c.config.Usage.Report(ctx, report)
}

func newUsageReport(w state.SealedWindow) platform.UsageReport {
	r := platform.UsageReport{ReportID: w.ReportID, Shard: w.Shard, WindowStartMS: w.WindowStartMS}
	for _, l := range w.Lines {
		r.Lines = append(r.Lines, platform.UsageLine{
			Organisation: l.Organisation, Pool: l.Pool, Requests: l.Requests,
			PromptTokens: l.PromptTokens, CachedTokens: l.CachedTokens, OutputTokens: l.OutputTokens,
		})
	}
	return r
}
