package enginesim

import (
	"slices"
	"time"

	"github.com/redwingpath/redwingpath/pkg/engine"
	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/standin/answer"
	"github.com/redwingpath/redwingpath/standin/record"
)

// sequence is one request in the engine, guarded by Engine.mu.
type sequence struct {
	id            model.RequestID
	organisation  model.OrganisationID
	callTag       string
	seed          answer.Seed
	hashes        []uint64
	promptTokens  int
	priority      int
	arrival       uint64
	crashesEngine bool
	// from is the position of the first output token of this run, next that of
	// the token to produce next, and end the length of the complete answer.
	from, next, end int
	cachedTokens    int
	prefillLeft     int
	running         bool
	// endReason is one of the record.End constants, or empty while the request has not
	// ended.
	endReason string
	// progress signals new tokens or the end of the run to the HTTP handler.
	progress chan struct{}
}

func (s *sequence) wake() {
	select {
	case s.progress <- struct{}{}:
	default:
	}
}

// Factors for the prefill chunk size of a mixed engine. A prefill engine
// batches more prompt tokens into a step; a decode engine keeps its steps short.
const (
	prefillRoleFactor = 4
	decodeRoleDivisor = 8
)

// prefillBudget returns the number of prompt tokens that one step may prefill.
func (e *Engine) prefillBudget() int {
	switch e.state.Role {
	case engine.RolePrefill:
		return e.config.PrefillChunkTokens * prefillRoleFactor
	case engine.RoleDecode:
		return max(e.config.PrefillChunkTokens/decodeRoleDivisor, 1)
	default:
		return e.config.PrefillChunkTokens
	}
}

// step is one iteration of continuous batching: the prompt tokens to prefill
// per sequence and the sequences that decode one token.
type step struct {
	prefill  map[*sequence]int
	decode   []*sequence
	duration time.Duration
}

// runBatch runs batch steps until the engine is closed.
func (e *Engine) runBatch() {
	defer e.workers.Done()
	due := time.Now()
	for {
		s, ok := e.nextStep()
		if !ok {
			return
		}
		// Sleeping until an absolute time keeps late wake-ups from adding to the mean step time.
		if now := time.Now(); due.Before(now.Add(-s.duration)) {
			due = now
		}
		due = due.Add(s.duration)
		time.Sleep(time.Until(due))
		e.finishStep(&s)
	}
}

// nextStep waits for work and plans a step. It reports false once the engine is closed.
func (e *Engine) nextStep() (step, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for !e.closed && len(e.running) == 0 && (len(e.queue) == 0 || e.down) {
		e.work.Wait()
	}
	if e.closed {
		return step{}, false
	}
	e.admit()
	return e.planStep(), true
}

// admit moves queued requests into the batch, by descending priority and then by arrival.
func (e *Engine) admit() {
	slices.SortStableFunc(e.queue, func(a, b *sequence) int {
		if a.priority != b.priority {
			return b.priority - a.priority
		}
		return int(int64(a.arrival) - int64(b.arrival))
	})
	for len(e.queue) > 0 && len(e.running) < e.config.MaxRunning {
		s := e.queue[0]
		e.queue = e.queue[1:]
		e.startSequence(s)
	}
}

// startSequence adds a request to the batch. Cached prefix blocks and an
// imported KV cache shorten its prefill, but at least one token is prefilled.
func (e *Engine) startSequence(s *sequence) {
	s.running = true
	total := s.promptTokens + s.from
	s.cachedTokens = min(e.cache.cachedPrefix(s.hashes)*engine.BlockTokens, s.promptTokens)
	known := max(s.cachedTokens, min(e.importedTokens[s.id], total))
	delete(e.importedTokens, s.id)
	s.prefillLeft = max(total-known, 1)
	e.running = append(e.running, s)
	e.recorder.Add(record.Event{
		Kind: record.RunStarted, Component: string(e.id.Backend), RequestID: s.id,
		Organisation: s.organisation, CallTag: s.callTag, From: s.from,
	})
	if s.crashesEngine {
		go e.Crash("request text carries the crash marker", s.id)
	}
}

func (e *Engine) planStep() step {
	s := step{prefill: map[*sequence]int{}}
	budget := e.prefillBudget()
	tokens := 0
	for _, q := range e.running {
		if q.prefillLeft == 0 {
			s.decode = append(s.decode, q)
			continue
		}
		part := min(q.prefillLeft, budget-tokens)
		if part > 0 {
			s.prefill[q] = part
			tokens += part
		}
	}
	seconds := float64(tokens) / e.config.PrefillTokensPerS
	if len(s.decode) > 0 {
		seconds += e.config.DecodeStepMS / 1000
	}
	s.duration = time.Duration(seconds * float64(time.Second))
	return s
}

// finishStep applies the results of a step to the requests that are still running.
func (e *Engine) finishStep(s *step) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for q, tokens := range s.prefill {
		if q.endReason != "" {
			continue
		}
		q.prefillLeft -= tokens
		if q.prefillLeft == 0 {
			e.cache.store(q.hashes)
			// The last prefill step yields the first output token.
			e.emitToken(q)
		}
	}
	for _, q := range s.decode {
		if q.endReason == "" {
			e.emitToken(q)
		}
	}
}

func (e *Engine) emitToken(q *sequence) {
	if q.next < q.end {
		q.next++
	}
	if q.next >= q.end {
		e.end(q, record.EndComplete)
	}
	q.wake()
}

// end removes a request from the engine. The caller holds e.mu.
func (e *Engine) end(q *sequence, reason string) {
	if q.endReason != "" {
		return
	}
	q.endReason = reason
	e.queue = slices.DeleteFunc(e.queue, func(s *sequence) bool { return s == q })
	e.running = slices.DeleteFunc(e.running, func(s *sequence) bool { return s == q })
	// A resumed run of the same request may have replaced q under its ID.
	if e.byID[q.id] == q {
		delete(e.byID, q.id)
	}
	if q.running {
		e.finished.add(q)
		e.recorder.Add(record.Event{
			Kind: record.RunEnded, Component: string(e.id.Backend), RequestID: q.id, Organisation: q.organisation,
			CallTag: q.callTag, From: q.from, To: q.next, Detail: reason,
		})
	}
	q.wake()
}

// abortAll ends all running and queued requests because of a crash, a role change,
// a model load or the stop of the engine. The caller holds e.mu.
func (e *Engine) abortAll() {
	for _, q := range slices.Concat(e.running, e.queue) {
		e.end(q, record.EndCut)
	}
}
