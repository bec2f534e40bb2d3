package entry

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/redwingpath/redwingpath/pkg/engine"
	"github.com/redwingpath/redwingpath/pkg/model"
)

// chatResponse is the caller-facing side of a chat request.
type chatResponse interface {
	// event writes one event. more reports whether the next event is already
	// buffered, so that the flush can wait.
	event(e *engine.Event, more bool) error
	// finish completes the response.
	finish(u engine.Usage) error
	// sendError ends the response with an error. It returns false if nothing
	// has been written yet; the error can then be sent as the whole response.
	sendError(e *model.RequestError) bool
}

// maxUnflushed bounds the events that are written before a flush.
const maxUnflushed = 32

// streamResponse forwards events to the caller as they arrive.
type streamResponse struct {
	c               *call
	timeout         time.Duration
	started         bool
	unflushedEvents int
	// resumed is set once a later attempt continues the stream. The usage counts
	// of its engine cover only the tokens of that attempt.
	resumed bool
}

var (
	eventStart = []byte("data: ")
	eventEnd   = []byte("\n\n")
	doneEvent  = []byte("data: [DONE]\n\n")
)

func (r *streamResponse) start() {
	if r.started {
		return
	}
	r.started = true
	header := r.c.w.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-store")
	r.c.w.WriteHeader(http.StatusOK)
}

func (r *streamResponse) event(e *engine.Event, more bool) error {
	raw := e.Raw
	if e.Usage != nil && r.resumed {
		raw = correctUsage(raw, int(r.c.deliveredTokens.Load()))
	}
	r.start()
	if r.unflushedEvents == 0 {
		r.extendWriteDeadline()
	}
	r.unflushedEvents++
	if err := r.write(raw); err != nil {
		return err
	}
	if more && r.unflushedEvents < maxUnflushed {
		return nil
	}
	return r.flush()
}

// extendWriteDeadline sets the deadline of the next writes. It fails only for
// writers without a connection, so the error is ignored.
func (r *streamResponse) extendWriteDeadline() {
	_ = r.c.control.SetWriteDeadline(time.Now().Add(r.timeout))
}

func (r *streamResponse) write(raw []byte) error {
	for _, part := range [...][]byte{eventStart, raw, eventEnd} {
		if _, err := r.c.w.Write(part); err != nil {
			return eris.Wrap(err, "write to caller")
		}
	}
	return nil
}

func (r *streamResponse) flush() error {
	r.unflushedEvents = 0
	if err := r.c.control.Flush(); err != nil {
		return eris.Wrap(err, "flush to caller")
	}
	return nil
}

func (r *streamResponse) finish(engine.Usage) error {
	r.start()
	r.extendWriteDeadline()
	if _, err := r.c.w.Write(doneEvent); err != nil {
		return eris.Wrap(err, "write to caller")
	}
	if err := r.flush(); err != nil {
		return err
	}
	return eris.Wrap(r.c.control.SetWriteDeadline(time.Time{}), "reset write deadline")
}

// sendError sends the error as the last event. It omits the [DONE] marker,
// since the response is incomplete.
func (r *streamResponse) sendError(e *model.RequestError) bool {
	if !r.started {
		return false
	}
	r.extendWriteDeadline()
	if r.write(encodeError(e)) == nil {
		_ = r.flush()
	}
	return true
}

// correctUsage replaces the token counts in the usage chunk of a resumed stream
// by those of the whole response.
func correctUsage(raw []byte, tokens int) []byte {
	var chunk engine.ChatChunk
	if json.Unmarshal(raw, &chunk) != nil || chunk.Usage == nil {
		return raw
	}
	chunk.Usage.CompletionTokens = tokens
	chunk.Usage.TotalTokens = chunk.Usage.PromptTokens + tokens
	corrected, err := json.Marshal(chunk)
	if err != nil {
		return raw
	}
	return corrected
}

// bufferedResponse collects the events of a request that is not streamed to the
// caller. The host still streams from the engine, so that it can observe
// progress and resume.
type bufferedResponse struct {
	c            *call
	timeout      time.Duration
	finishReason string
}

func (r *bufferedResponse) event(e *engine.Event, _ bool) error {
	if e.Finish != "" {
		r.finishReason = e.Finish
	}
	return nil
}

func (r *bufferedResponse) finish(u engine.Usage) error {
	data, err := json.Marshal(engine.ChatResponse{
		ID:      string(r.c.id),
		Object:  "chat.completion",
		Created: r.c.arrived.Unix(),
		Model:   r.c.chat.Model,
		Choices: []engine.ResponseChoice{{
			Message:      engine.Message{Role: "assistant", Content: string(r.c.deliveredText)},
			FinishReason: r.finishReason,
		}},
		Usage: u,
	})
	if err != nil {
		return eris.Wrap(err, "encode response")
	}
	r.c.w.Header().Set("Content-Type", "application/json")
	_ = r.c.control.SetWriteDeadline(time.Now().Add(r.timeout))
	_, err = r.c.w.Write(data)
	return eris.Wrap(err, "write to caller")
}

func (r *bufferedResponse) sendError(*model.RequestError) bool { return false }
