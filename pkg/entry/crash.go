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
// connection broke. The stream waits for it before it is resumed.
const probeTimeout = 250 * time.Millisecond

// suspects is atmostonce.Suspects for concurrent use.
type suspects struct {
	mu    sync.Mutex
	table *atmostonce.Suspects
}

func (s *suspects) add(c Crash, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Add(atmostonce.CrashReport(c), now)
}

func (s *suspects) count(digest string, now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Count(digest, now)
}

func (s *suspects) clears(digest string, now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Clears(digest, now)
}

// HearCrash counts a crash that another host has seen.
func (h *Handler) HearCrash(c Crash) {
	h.suspects.add(c, time.Now())
}

// isSuspect tells whether the request has crashed too many engines. The log
// and the messages between hosts carry the same crashes, so the larger of the
// two counts holds, not their sum.
func (h *Handler) isSuspect(c *call, now time.Time) bool {
	return h.crashesOf(c, now) >= atmostonce.SuspectCrashes
}

func (h *Handler) crashesOf(c *call, now time.Time) int {
	return max(h.suspects.count(c.digest, now), h.deps.View().Crashes(c.digest, now))
}

// keepApart has the router place a request that was running when an engine crashed
// apart from the others that were: one of them may crash the next engine, too.
func (h *Handler) keepApart(c *call, now time.Time) {
	if c.digest != "" && h.crashesOf(c, now) > 0 {
		c.request.Suspect = c.digest
	}
}

func (h *Handler) suspectError(c *call) error {
	after := h.suspects.clears(c.digest, time.Now())
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

// countCrash counts a crash of the engine during the run, passes it on and
// tells whether the request must be rejected.
func (h *Handler) countCrash(ctx context.Context, c *call, failed selection, err error) bool {
	refused := errors.Is(err, syscall.ECONNREFUSED)
	if !connectionLost(err) && !refused || c.outcome.State() == atmostonce.NotSent || h.leaving.has(failed.Backend) {
		return false
	}
	if !h.engineDown(ctx, failed.URL) {
		return false
	}
	now := time.Now()
	crash := Crash{Digest: c.digest, RequestID: c.id, Backend: failed.Backend}
	if h.suspects.add(crash, now) {
		h.deps.Metrics.Count(CountCrashes, 1)
		h.deps.SpreadCrash(crash)
		h.logInBackground(logrec.KindCrash, logrec.Crash(crash))
	}
	return h.isSuspect(c, now)
}

// engineDown tells whether the engine refuses connections or answers. A
// connection can break while the engine runs on, and a request must not become
// a suspect by that; a probe that gets no answer proves nothing.
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

// connectionLost tells whether a connection broke, as it does when the process
// at the other end stops.
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
