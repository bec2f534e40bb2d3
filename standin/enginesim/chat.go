package enginesim

import (
	"bytes"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/redwingpath/redwingpath/pkg/engine"
	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/standin/answer"
	"github.com/redwingpath/redwingpath/standin/record"
)

// refusal is the error in the response to a request that was not run.
type refusal struct {
	Code    string    `json:"code"`
	Message string    `json:"message"`
	Ran     model.Ran `json:"ran"`
}

func writeRefusal(w http.ResponseWriter, status int, code, message string) {
	writeJSON(w, status, map[string]refusal{"error": {Code: code, Message: message, Ran: model.NotRun}})
}

func (e *Engine) serveChat(w http.ResponseWriter, q *http.Request) {
	var request engine.ChatRequest
	if !decodeBody(w, q, &request) {
		return
	}
	s := e.newSequence(q, &request)
	w.Header().Set(engine.HeaderRequestID, string(s.id))
	if s.id == "" {
		writeRefusal(w, http.StatusBadRequest, "no_request_id", "the request ID header is missing")
		return
	}
	if request.ResumeText != "" && request.ResumeText != answer.Text(s.seed, 0, request.ResumeFrom) {
		writeRefusal(w, http.StatusBadRequest, "resume_mismatch", "resume_text is not the text of the first tokens")
		return
	}
	if !e.submit(w, s, &request) {
		return
	}
	defer e.cancel(s)
	out := e.output(w, s, &request)
	if request.Stream {
		e.stream(q, s, out)
		return
	}
	e.replyWhole(q, s, out)
}

func (e *Engine) newSequence(q *http.Request, r *engine.ChatRequest) *sequence {
	organisation := q.Header.Get(engine.HeaderOrganisation)
	prompt := engine.PromptText(r.Messages)
	seed := answer.SeedOf(r.Messages)
	priority, _ := strconv.Atoi(q.Header.Get(engine.HeaderPriority))
	length := answer.Length(seed, r.MaxTokens)
	return &sequence{
		id:            model.RequestID(q.Header.Get(engine.HeaderRequestID)),
		organisation:  model.OrganisationID(organisation),
		callTag:       record.CallTag(prompt),
		seed:          seed,
		hashes:        engine.PrefixHashes(engine.CacheScope(organisation, r), prompt),
		promptTokens:  engine.EstimateTokens(len(prompt)),
		priority:      priority,
		crashesEngine: strings.Contains(string(prompt), e.config.CrashMarker),
		from:          min(r.ResumeFrom, length),
		next:          min(r.ResumeFrom, length),
		end:           length,
		progress:      make(chan struct{}, 1),
	}
}

// submit queues a request. If the engine does not accept it, submit writes the
// refusal and reports false.
func (e *Engine) submit(w http.ResponseWriter, s *sequence, r *engine.ChatRequest) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.down || e.closed:
		panic(http.ErrAbortHandler)
	case e.outOfService || e.faults.RefuseChat:
		writeRefusal(w, http.StatusServiceUnavailable, "out_of_service", "the engine is carrying out an order")
	case r.Model != e.state.Model:
		writeRefusal(w, http.StatusNotFound, "unknown_model", "the model is not loaded")
	case r.Version != "" && r.Version != e.state.Version:
		writeRefusal(w, http.StatusNotFound, "unknown_version", "the version is not loaded")
	case r.Adapter != "" && !slices.Contains(e.state.Adapters, r.Adapter):
		writeRefusal(w, http.StatusNotFound, "unknown_adapter", "the adapter is not loaded")
	case len(e.queue) >= e.config.MaxQueued:
		writeRefusal(w, http.StatusTooManyRequests, "queue_full", "too many requests are waiting")
	default:
		e.arrivals++
		s.arrival = e.arrivals
		e.queue = append(e.queue, s)
		e.byID[s.id] = s
		e.work.Broadcast()
		return true
	}
	return false
}

func (e *Engine) cancel(s *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.end(s, record.EndCancelled)
}

func (e *Engine) serveCancel(w http.ResponseWriter, q *http.Request) {
	var request engine.CancelRequest
	if !decodeBody(w, q, &request) {
		return
	}
	e.mu.Lock()
	s := e.byID[request.RequestID]
	if s != nil {
		e.end(s, record.EndCancelled)
	}
	e.mu.Unlock()
	if s == nil {
		http.Error(w, "request not known", http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// output writes the tokens of one request to its response.
type output struct {
	w            http.ResponseWriter
	id           model.RequestID
	seed         answer.Seed
	model        string
	created      int64
	finishReason string
	delay        time.Duration
	buffer       bytes.Buffer
}

// output returns the writer of a request's response, with the faults for late
// and mismatched responses applied.
func (e *Engine) output(w http.ResponseWriter, s *sequence, r *engine.ChatRequest) *output {
	e.mu.Lock()
	defer e.mu.Unlock()
	o := &output{w: w, id: s.id, seed: s.seed, model: r.Model, created: time.Now().Unix(), finishReason: "stop"}
	if r.MaxTokens > 0 {
		o.finishReason = "length"
	}
	o.delay = milliseconds(e.faults.LateMS)
	if e.faults.MismatchProbability > 0 && e.random.Float64() < e.faults.MismatchProbability {
		o.id, o.seed = e.mismatchedAnswer(s)
	}
	return o
}

// mismatchedAnswer returns the ID and seed of another request in the engine, or
// invented ones if there is none.
func (e *Engine) mismatchedAnswer(s *sequence) (model.RequestID, answer.Seed) {
	for id, other := range e.byID {
		if other != s {
			return id, other.seed
		}
	}
	return "01MISMATCHED0000000000000", s.seed + 1
}

// wait blocks until there are tokens after position sent, the run has ended or
// the client has disconnected.
func (e *Engine) wait(q *http.Request, s *sequence, sent int) (next int, endReason string) {
	for {
		e.mu.Lock()
		next, endReason = s.next, s.endReason
		e.mu.Unlock()
		if next > sent || endReason != "" {
			return next, endReason
		}
		select {
		case <-s.progress:
		case <-q.Context().Done():
			return next, record.EndCancelled
		}
	}
}

func (e *Engine) stream(q *http.Request, s *sequence, o *output) {
	o.w.Header().Set("Content-Type", "text/event-stream")
	o.w.Header().Set(engine.HeaderRequestID, string(o.id))
	flusher, _ := o.w.(http.Flusher)
	sent := s.from
	for {
		next, endReason := e.wait(q, s, sent)
		if endReason == record.EndCut {
			panic(http.ErrAbortHandler)
		}
		e.pause(o.delay)
		e.writeTokens(s, o, sent, next, endReason)
		sent = next
		flusher.Flush()
		if endReason != "" {
			return
		}
	}
}

func (e *Engine) writeTokens(s *sequence, o *output, from, to int, endReason string) {
	o.buffer.Reset()
	for i := from; i < to; i++ {
		last := endReason == record.EndComplete && i == to-1
		o.chunk(i, answer.Token(o.seed, i), o.finishIf(last), o.usageIf(last, s))
	}
	if endReason == record.EndComplete && from == to {
		o.chunk(to, "", &o.finishReason, s.usage())
	}
	if endReason == record.EndCancelled {
		reason := "cancelled"
		o.chunk(to, "", &reason, s.usage())
	}
	if endReason != "" {
		o.buffer.WriteString("data: [DONE]\n\n")
	}
	_, _ = o.w.Write(o.buffer.Bytes())
}

func (o *output) finishIf(last bool) *string {
	if last {
		return &o.finishReason
	}
	return nil
}

func (o *output) usageIf(last bool, s *sequence) *engine.Usage {
	if last {
		return s.usage()
	}
	return nil
}

// usage counts the tokens of this run. Output tokens before the resume position are not counted.
func (s *sequence) usage() *engine.Usage {
	made := s.next - s.from
	return &engine.Usage{
		PromptTokens: s.promptTokens, CompletionTokens: made,
		TotalTokens: s.promptTokens + made, CachedTokens: s.cachedTokens,
	}
}

func (o *output) chunk(index int, text string, finishReason *string, usage *engine.Usage) {
	data, err := json.Marshal(engine.ChatChunk{
		ID: string(o.id), Object: "chat.completion.chunk", Created: o.created, Model: o.model,
		Choices: []engine.ChunkChoice{{Delta: engine.Delta{Content: text}, FinishReason: finishReason}},
		Index:   index, Usage: usage,
	})
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	o.buffer.WriteString("data: ")
	o.buffer.Write(data)
	o.buffer.WriteString("\n\n")
}

func (e *Engine) replyWhole(q *http.Request, s *sequence, o *output) {
	endReason := ""
	next := s.from
	for endReason == "" {
		next, endReason = e.wait(q, s, next)
	}
	if endReason == record.EndCut {
		panic(http.ErrAbortHandler)
	}
	e.pause(o.delay)
	o.w.Header().Set(engine.HeaderRequestID, string(o.id))
	finishReason := o.finishReason
	if endReason == record.EndCancelled {
		finishReason = "cancelled"
	}
	writeJSON(o.w, http.StatusOK, engine.ChatResponse{
		ID: string(o.id), Object: "chat.completion", Created: o.created, Model: o.model,
		Choices: []engine.ResponseChoice{{
			Message:      engine.Message{Role: "assistant", Content: answer.Text(o.seed, s.from, next)},
			FinishReason: finishReason,
		}},
		Usage: *s.usage(),
	})
}
