package entry

import (
	"sync"
	"sync/atomic"
	"time"
)

// maxCheckDelay is how late a check may run before the host itself counts as
// paused or short of processor time. Its streams then get the full limit again:
// the missing tokens may already be waiting in the socket, and resuming all
// streams at once would only add load.
const maxCheckDelay = 200 * time.Millisecond

// progressWatchdog calls onTimeout if no progress is made for the limit.
// Recording a token costs one atomic store; the timer runs about once per
// limit.
type progressWatchdog struct {
	lastProgress atomic.Int64
	limit        atomic.Int64
	// paused is set while the host waits for the caller instead of the backend
	// server.
	paused    atomic.Bool
	onTimeout func()

	mu    sync.Mutex
	timer *time.Timer
	// nextCheck is when the timer should run, as the time since monotonicBase.
	nextCheck time.Duration
	stopped   bool
}

// monotonicBase is the reference of all watchdog times, which makes them
// monotonic.
var monotonicBase = time.Now()

func newProgressWatchdog(limit time.Duration, onTimeout func()) *progressWatchdog {
	w := &progressWatchdog{onTimeout: onTimeout}
	w.limit.Store(int64(limit))
	w.recordProgress()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nextCheck = time.Since(monotonicBase) + limit
	w.timer = time.AfterFunc(limit, w.check)
	return w
}

func (w *progressWatchdog) recordProgress() { w.lastProgress.Store(int64(time.Since(monotonicBase))) }

func (w *progressWatchdog) setLimit(limit time.Duration) {
	if w.limit.Swap(int64(limit)) == int64(limit) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rearm(limit)
}

// rearm schedules the next check. w.mu must be held.
func (w *progressWatchdog) rearm(after time.Duration) {
	if w.stopped {
		return
	}
	w.nextCheck = time.Since(monotonicBase) + after
	w.timer.Reset(after)
}

func (w *progressWatchdog) check() {
	if w.checkAt(time.Since(monotonicBase)) {
		w.onTimeout()
	}
}

// checkAt reports whether the limit has passed; if not, it schedules the next
// check.
func (w *progressWatchdog) checkAt(now time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	limit := time.Duration(w.limit.Load())
	remaining := limit - (now - time.Duration(w.lastProgress.Load()))
	if w.paused.Load() || remaining <= 0 && now-w.nextCheck > maxCheckDelay {
		remaining = limit
	}
	if remaining <= 0 {
		return !w.stopped
	}
	w.rearm(remaining)
	return false
}

func (w *progressWatchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}

// tokenGapLimit returns the limit on the time between two tokens, given how
// long the tokens so far took.
func (s *Settings) tokenGapLimit(tokens int64, elapsed time.Duration) time.Duration {
	expected := s.ExpectedTokenGap
	if tokens > 0 {
		expected = max(expected, elapsed/time.Duration(tokens))
	}
	return max(s.MinTokenGapLimit, time.Duration(s.TokenGapLimitFactor*float64(expected)))
}

// firstTokenLimit returns the limit on the time to the first token of an
// attempt.
func (s *Settings) firstTokenLimit(predicted time.Duration) time.Duration {
	return max(s.MinFirstTokenLimit, time.Duration(s.FirstTokenLimitFactor*float64(predicted)))
}
