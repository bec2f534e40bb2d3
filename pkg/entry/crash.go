package entry

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/redwingpath/redwingpath/pkg/atmostonce"
	"github.com/redwingpath/redwingpath/pkg/engine"
	"github.com/redwingpath/redwingpath/pkg/logrec"
	"github.com/redwingpath/redwingpath/pkg/model"
)

// probeTimeout bounds the check whether an engine still runs after its
// connection broke. The stream is resumed only after this check.
const probeTimeout = 250 * time.Millisecond

// crashSuspects makes atmostonce.Suspects safe for concurrent use.
type crashSuspects struct {
	mu    sync.Mutex
	table *atmostonce.Suspects
}

func (s *crashSuspects) add(c Crash, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Add(atmostonce.CrashReport(c), now)
}

func (s *crashSuspects) count(digest string, now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Count(digest, now)
}

func (s *crashSuspects) clearsIn(digest string, now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.ClearsIn(digest, now)
}

// RecordPeerCrash records a crash that another host reported.
func (h *Handler) RecordPeerCrash(c Crash) {
	h.crashSuspects.add(c, time.Now())
}

// isSuspect reports whether the request was running during so many engine
// crashes that it must be rejected.
func (h *Handler) isSuspect(c *call, now time.Time) bool {
	return h.crashCount(c, now) >= atmostonce.SuspectThreshold
}

// crashCount returns how many crashes the request was involved in. The log and
// the messages between hosts carry the same crashes, so the larger of the two
// counts applies, not their sum.
func (h *Handler) crashCount(c *call, now time.Time) int {
	return max(h.crashSuspects.count(c.requestDigest, now), h.deps.View().Crashes(c.requestDigest, now))
}

// markSuspect marks a request that was running when an engine crashed. The
// router spreads the requests that shared a crashed engine over different
// engines, since one of them may crash the next engine, too.
func (h *Handler) markSuspect(c *call, now time.Time) {
	if c.requestDigest != "" && h.crashCount(c, now) > 0 {
		c.request.SuspectDigest = c.requestDigest
	}
}

func (h *Handler) suspectError(c *call) error {
	after := h.crashSuspects.clearsIn(c.requestDigest, time.Now())
	if after <= 0 {
		after = atmostonce.SuspectExpiry
	}
	return &model.RequestError{
		Status:     http.StatusUnprocessableEntity,
		Code:       model.CodeCrashSuspect,
		Message:    "engines crashed while they ran this request",
		Ran:        c.outcome.Ran(),
		RetryAfter: after,
	}
}

// countCrash records a crash of the engine during the attempt, reports it to
// the other hosts and the log, and returns whether the request must be
// rejected.
func (h *Handler) countCrash(ctx context.Context, c *call, failed selection, err error) bool {
	refused := errors.Is(err, syscall.ECONNREFUSED)
	if !connectionLost(err) && !refused || c.outcome.State() == atmostonce.NotSent || h.leaving.contains(failed.Backend) {
		return false
	}
	if !h.engineDown(ctx, failed.URL) {
		return false
	}
	now := time.Now()
	crash := Crash{Digest: c.requestDigest, RequestID: c.id, Backend: failed.Backend}
	if h.crashSuspects.add(crash, now) {
		h.deps.Metrics.Count(CountBackendCrashes, 1)
		h.deps.BroadcastCrash(crash)
		h.appendInBackground(logrec.KindCrash, logrec.Crash(crash))
	}
	return h.isSuspect(c, now)
}

// engineDown reports whether a probe shows that the engine has stopped: it
// refuses or drops the connection, or responds with a server error. A connection
// can break while the engine keeps running, which must not make the request a
// suspect; a probe that times out proves nothing.
func (h *Handler) engineDown(ctx context.Context, url string) bool {
	ctx, stop := context.WithTimeout(ctx, probeTimeout)
	defer stop()
	_, err := h.engines.Load(ctx, url)
	if err == nil || isTimeout(err) {
		return false
	}
	var status *engine.StatusError
	return errors.Is(err, syscall.ECONNREFUSED) || connectionLost(err) ||
		errors.As(err, &status) && status.Status >= http.StatusInternalServerError
}

// connectionLost reports whether a connection broke, as it does when the
// process at the other end stops.
func connectionLost(err error) bool {
	if err == nil || errors.Is(err, errNoProgress) || isTimeout(err) {
		return false
	}
	return errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) ||
		errors.Is(err, engine.ErrTruncated)
}

func isTimeout(err error) bool {
	var network net.Error
	return errors.Is(err, context.DeadlineExceeded) || errors.As(err, &network) && network.Timeout()
}
