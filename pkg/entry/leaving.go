package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/redwingpath/redwingpath/pkg/engine"
	"github.com/redwingpath/redwingpath/pkg/model"
)

const (
	// leavingRetention is how long a backend server counts as leaving after its
	// deadline. Connections that break during this time are not crashes.
	leavingRetention = time.Minute
	// moveRetryInterval is the delay between searches for a backend server that
	// can take a stream.
	moveRetryInterval = 100 * time.Millisecond
	// handOverTimeout bounds the transfer of a KV cache from prefill to decode.
	// A longer transfer is no faster than decoding on the prefill engine.
	handOverTimeout = 2 * time.Second
)

// leavingSet holds the deadlines of the backend servers that are leaving.
type leavingSet struct {
	mu        sync.Mutex
	deadlines map[model.BackendID]time.Time
}

func (l *leavingSet) add(b model.BackendID, deadline time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for id, at := range l.deadlines {
		if now.After(at.Add(leavingRetention)) {
			delete(l.deadlines, id)
		}
	}
	l.deadlines[b] = deadline
}

func (l *leavingSet) remove(b model.BackendID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.deadlines, b)
}

// deadline returns the deadline of a backend server that is leaving.
func (l *leavingSet) deadline(b model.BackendID) (time.Time, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	at, ok := l.deadlines[b]
	return at, ok && time.Now().Before(at)
}

// contains reports whether a backend server is leaving or left recently.
func (l *leavingSet) contains(b model.BackendID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	at, ok := l.deadlines[b]
	return ok && time.Now().Before(at.Add(leavingRetention))
}

// BackendLeaving moves the streams of a backend server elsewhere before the deadline,
// including those that are routed to it but have not started. It does not wait
// for the moves.
func (h *Handler) BackendLeaving(backend model.BackendID, deadline time.Time) {
	h.leaving.add(backend, deadline)
	for _, c := range h.calls.list() {
		h.moveFrom(c, backend, deadline)
	}
}

// BackendStaying lets later requests stay on a backend server that no longer leaves,
// for example after an operator has lifted a drain. Moves in progress continue.
func (h *Handler) BackendStaying(backend model.BackendID) {
	h.leaving.remove(backend)
}

// moveFrom starts to move a stream if it runs on the backend server.
func (h *Handler) moveFrom(c *call, backend model.BackendID, deadline time.Time) {
	attempt, ok := c.startMove(backend)
	if !ok {
		return
	}
	h.background.Go(func() { h.moveByDeadline(c, attempt, deadline) })
}

// moveByDeadline moves a stream, without its KV cache if there is not enough
// time to transfer it.
func (h *Handler) moveByDeadline(c *call, attempt runningAttempt, deadline time.Time) {
	latest := deadline.Add(-h.settings.MoveMargin)
	select {
	case h.moveSlots <- struct{}{}:
		defer func() { <-h.moveSlots }()
	case <-time.After(time.Until(latest)):
		// Resuming without the KV cache needs no slot.
	case <-attempt.done:
		return
	}
	blob, exported := h.exportKV(c.id, attempt.URL, latest)
	if exported {
		attempt.request.KVFrom = attempt.Backend
	}
	target, ok := h.findMoveTarget(attempt, deadline)
	if !ok {
		return
	}
	if exported && h.importKV(target.URL, blob, latest) {
		h.deps.Metrics.Count(CountStreamsMovedWithKV, 1)
	}
	if !c.interruptWith(attempt, &moveCause{target: target}) {
		h.releaseSelection(target)
	}
}

// findMoveTarget searches for a backend server until the deadline or the end of
// the attempt.
func (h *Handler) findMoveTarget(attempt runningAttempt, deadline time.Time) (selection, bool) {
	for {
		target, err := h.deps.Router.Select(&attempt.request, time.Now())
		if err == nil {
			return selection{target, attempt.request}, true
		}
		if time.Now().After(deadline) {
			return selection{}, false
		}
		select {
		case <-time.After(moveRetryInterval):
		case <-attempt.done:
			return selection{}, false
		}
	}
}

// handOver moves a stream from the engine that did its prefill to one for
// decode. The stream stays if its KV cache cannot be transferred.
func (h *Handler) handOver(c *call, backend model.BackendID) {
	attempt, ok := c.attemptOn(backend)
	if !ok {
		return
	}
	h.background.Go(func() {
		deadline := time.Now().Add(handOverTimeout)
		blob, exported := h.exportKV(c.id, attempt.URL, deadline)
		if !exported {
			return
		}
		attempt.request.KVFrom = attempt.Backend
		decision, err := h.deps.Router.Select(&attempt.request, time.Now())
		if err != nil {
			return
		}
		target := selection{decision, attempt.request}
		if !h.importKV(target.URL, blob, deadline) || !c.interruptWith(attempt, &moveCause{target: target}) {
			h.releaseSelection(target)
			return
		}
		h.deps.Metrics.Count(CountStreamsHandedOver, 1)
	})
}

func (h *Handler) exportKV(id model.RequestID, from string, latest time.Time) (engine.KVBlob, bool) {
	ctx, stop := context.WithDeadline(context.Background(), latest)
	defer stop()
	blob, err := h.engines.ExportKV(ctx, from, id)
	return blob, err == nil
}

func (h *Handler) importKV(to string, blob engine.KVBlob, latest time.Time) bool {
	ctx, stop := context.WithDeadline(context.Background(), latest)
	defer stop()
	return h.engines.ImportKV(ctx, to, blob) == nil
}

// runningAttempt describes an attempt to the goroutine that moves it.
type runningAttempt struct {
	number int32
	selection
	// done is closed at the end of the attempt.
	done chan struct{}
}

// startMove marks the attempt as being moved. It returns false if the attempt is
// already being moved or does not run on the backend server.
func (t *sharedCallState) startMove(backend model.BackendID) (runningAttempt, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.moveStarted {
		return runningAttempt{}, false
	}
	attempt, ok := t.latestAttempt.movableFrom(backend)
	t.moveStarted = ok && t.interrupt != nil
	return attempt, t.moveStarted
}

// attemptOn returns the running attempt if it is on the backend server.
func (t *sharedCallState) attemptOn(backend model.BackendID) (runningAttempt, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	attempt, ok := t.latestAttempt.movableFrom(backend)
	return attempt, ok && t.interrupt != nil
}

// movableFrom returns a copy of the attempt that excludes the backend server
// from the next selection, and whether the attempt runs on that server.
func (a runningAttempt) movableFrom(backend model.BackendID) (runningAttempt, bool) {
	a.request.Exclude = append(slices.Clone(a.request.Exclude), backend)
	return a, a.Backend == backend
}

// interruptWith ends the attempt if it still runs and no other move came first.
// The goroutine of the request then uses or releases the target of the move.
func (t *sharedCallState) interruptWith(attempt runningAttempt, cause *moveCause) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.interrupt == nil || t.latestAttempt.number != attempt.number || t.move != nil {
		return false
	}
	t.move = cause
	t.interrupt(cause)
	return true
}
