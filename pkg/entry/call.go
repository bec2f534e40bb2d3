package entry

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/redwingpath/redwingpath/pkg/atmostonce"
	"github.com/redwingpath/redwingpath/pkg/engine"
	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/routing"
)

// call is one request of a caller on its way through the handler. The goroutine
// of the request owns it; other goroutines use only sharedCallState, the outcome
// and fields that never change, such as id.
type call struct {
	id      model.RequestID
	w       http.ResponseWriter
	control *http.ResponseController
	r       *http.Request
	arrived time.Time

	route model.Route
	// org and key are empty on public routes.
	org model.OrganisationID
	key model.KeyID
	// keyDigest identifies the API key when it is checked again; the key itself
	// is not kept.
	keyDigest string
	body      []byte

	// chat and wantsStream are set on model routes.
	chat        engine.ChatRequest
	wantsStream bool
	// cachedTokens is the number of prompt tokens found in the engine's cache.
	cachedTokens int
	// deliveredText is the output delivered so far, from which a resumed stream
	// continues.
	deliveredText []byte

	request routing.Request
	// initialSelection is the selection for the first attempt.
	initialSelection selection
	priority         int
	// cost is what the request takes from the organisation's rate limit, in
	// work units.
	cost float64
	// requestDigest identifies the request in crash reports.
	requestDigest string

	outcome atmostonce.Outcome
	sharedCallState
}

// selection is a routing decision with the request that it was made for.
type selection struct {
	routing.Decision
	request routing.Request
}

// sharedCallState is the part of a call that the state dump and the moves of
// streams use from other goroutines.
type sharedCallState struct {
	deliveredTokens atomic.Int64
	attempts        atomic.Int32

	mu sync.Mutex
	// publishedOrg, publishedKey and publishedRoute are set once the key has
	// been checked.
	publishedOrg   model.OrganisationID
	publishedKey   model.KeyID
	publishedRoute model.RouteID
	latestAttempt  runningAttempt
	// interrupt ends the running attempt with a cause. It is nil between
	// attempts and for plain services.
	interrupt func(error)
	// moveStarted is set while the attempt is being moved, move once a target
	// is selected.
	moveStarted bool
	move        *moveCause
}

// beginAttempt records a new attempt.
func (t *sharedCallState) beginAttempt(s selection, interrupt func(error)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.latestAttempt = runningAttempt{
		number:    t.attempts.Add(1),
		selection: s,
		done:      make(chan struct{}),
	}
	t.interrupt = interrupt
	t.moveStarted = false
	t.move = nil
}

// endAttempt ends the attempt and returns the move that interrupted it, if any.
func (t *sharedCallState) endAttempt() *moveCause {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.interrupt = nil
	close(t.latestAttempt.done)
	return t.move
}

// publishIdentity makes the organisation, key and route visible in the state
// dump.
func (c *call) publishIdentity() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.publishedOrg, c.publishedKey, c.publishedRoute = c.org, c.key, c.route.ID
}

func (c *call) requestState() RequestState {
	c.mu.Lock()
	defer c.mu.Unlock()
	return RequestState{
		ID:           c.id,
		Organisation: c.publishedOrg,
		Key:          c.publishedKey,
		Route:        c.publishedRoute,
		Backend:      c.latestAttempt.Backend,
		State:        c.outcome.State().String(),
		Tokens:       c.deliveredTokens.Load(),
		Attempts:     c.attempts.Load(),
		AgeMS:        time.Since(c.arrived).Milliseconds(),
	}
}
