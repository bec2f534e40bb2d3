package entry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/redwingpath/redwingpath/pkg/logrec"
)

// Delays and attempts of appends in the background. Together they cover a log
// outage of about a minute. A record that is still not logged then is dropped
// and counted, which leaves an outcome unknown but never wrong.
const (
	initialAppendBackoff = 100 * time.Millisecond
	maxAppendBackoff     = 10 * time.Second
	maxAppendAttempts    = 12
)

// appendInBackground logs a record without making the caller wait. Duplicates
// of a record are harmless, since its body names the request.
func (h *Handler) appendInBackground(kind logrec.Kind, body any) {
	record, err := logrec.New(kind, body)
	if err != nil {
		h.countLostRecord(kind, err)
		return
	}
	h.background.Go(func() {
		if err := h.appendWithRetry(record); err != nil {
			h.countLostRecord(kind, err)
		}
	})
}

func (h *Handler) appendWithRetry(record logrec.Record) error {
	pause := initialAppendBackoff
	for attempt := 1; ; attempt++ {
		err := h.appendOnce(context.Background(), record)
		if err == nil || attempt == maxAppendAttempts {
			return err
		}
		select {
		case <-time.After(pause):
		case <-h.closing:
			return err
		}
		pause = min(2*pause, maxAppendBackoff)
	}
}

func (h *Handler) appendOnce(ctx context.Context, record logrec.Record) error {
	ctx, stop := context.WithTimeout(ctx, h.settings.LogTimeout)
	defer stop()
	_, err := h.deps.Writer.Append(ctx, record)
	return err
}

func (h *Handler) countLostRecord(kind logrec.Kind, err error) {
	h.deps.Metrics.Count(CountRecordsNotLogged, 1)
	h.deps.Log.Warn("record not logged", zap.String("kind", string(kind)), zap.Error(err))
}
