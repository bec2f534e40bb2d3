package entry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/redwingpath/redwingpath/pkg/model"
)

// callRegistry holds the requests in progress.
type callRegistry struct {
	mu       sync.Mutex
	active   map[model.RequestID]*call
	draining bool
	// drainStarted is closed when the host begins to drain.
	drainStarted chan struct{}
	// drained is closed when the host drains and no request is in progress.
	drained chan struct{}
}

func (r *callRegistry) init() {
	r.active = make(map[model.RequestID]*call)
	r.drainStarted = make(chan struct{})
	r.drained = make(chan struct{})
}

// add registers a request. It rejects the request while the host drains, or if
// a limit above 0 is reached.
func (r *callRegistry) add(c *call, limit int, retryAfter time.Duration) *model.RequestError {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.draining {
		return newRejectionWithRetry(http.StatusServiceUnavailable, model.CodeShuttingDown, "this host is shutting down", retryAfter)
	}
	if limit > 0 && len(r.active) >= limit {
		return newRejectionWithRetry(http.StatusServiceUnavailable, model.CodeOverloaded,
			"this host has too many requests in progress", retryAfter)
	}
	r.active[c.id] = c
	return nil
}

func (r *callRegistry) remove(c *call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.active, c.id)
	if r.draining && len(r.active) == 0 {
		close(r.drained)
	}
}

func (r *callRegistry) drain() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.draining {
		r.draining = true
		close(r.drainStarted)
		if len(r.active) == 0 {
			close(r.drained)
		}
	}
	return r.drained
}

func (r *callRegistry) list() []*call {
	r.mu.Lock()
	defer r.mu.Unlock()
	calls := make([]*call, 0, len(r.active))
	for _, c := range r.active {
		calls = append(calls, c)
	}
	return calls
}

// Drain rejects new requests and waits for those in progress and for their
// records to be logged. When ctx ends first, records that are not yet logged
// are dropped.
func (h *Handler) Drain(ctx context.Context) error {
	defer h.closeOnce.Do(func() { close(h.closing) })
	select {
	case <-h.calls.drain():
	case <-ctx.Done():
		return ctx.Err()
	}
	logged := make(chan struct{})
	go func() {
		h.background.Wait()
		close(logged)
	}()
	select {
	case <-logged:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// streamCounts counts the open streams of each organisation on this host.
type streamCounts struct {
	mu     sync.Mutex
	counts map[model.OrganisationID]int
	total  int
}

func (s *streamCounts) init() { s.counts = make(map[model.OrganisationID]int) }

// open counts a stream unless that exceeds the limit of the organisation or of
// the host. A limit of 0 means none.
func (s *streamCounts) open(org model.OrganisationID, limit, hostLimit int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if limit > 0 && s.counts[org] >= limit || hostLimit > 0 && s.total >= hostLimit {
		return false
	}
	s.total++
	s.counts[org]++
	return true
}

func (s *streamCounts) close(org model.OrganisationID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[org]--
	s.total--
	if s.counts[org] <= 0 {
		delete(s.counts, org)
	}
}

func (s *streamCounts) snapshot() map[model.OrganisationID]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := make(map[model.OrganisationID]int, len(s.counts))
	for org, n := range s.counts {
		counts[org] = n
	}
	return counts
}

// RequestState describes a request in progress in the state dump.
type RequestState struct {
	ID           model.RequestID      `json:"id"`
	Organisation model.OrganisationID `json:"organisation,omitempty"`
	Key          model.KeyID          `json:"key,omitempty"`
	Route        model.RouteID        `json:"route,omitempty"`
	Backend      model.BackendID      `json:"backend,omitempty"`
	State        string               `json:"state"`
	Tokens       int64                `json:"tokens,omitempty"`
	Attempts     int32                `json:"attempts"`
	AgeMS        int64                `json:"age_ms"`
}

// Dump is the handler's part of the state dump.
type Dump struct {
	Draining    bool                         `json:"draining"`
	OpenStreams map[model.OrganisationID]int `json:"open_streams"`
	Requests    []RequestState               `json:"requests"`
}

// Dump returns the requests in progress. It contains the IDs of API keys, but no
// keys, bodies or queries.
func (h *Handler) Dump() Dump {
	dump := Dump{OpenStreams: h.streams.snapshot(), Draining: h.calls.isDraining()}
	for _, c := range h.calls.list() {
		dump.Requests = append(dump.Requests, c.requestState())
	}
	return dump
}

func (r *callRegistry) isDraining() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.draining
}
