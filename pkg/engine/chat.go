package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"mime"
	"net/http"
	"strconv"

	"github.com/rotisserie/eris"

	"github.com/redwingpath/redwingpath/pkg/model"
)

// Call holds the metadata of a chat request that is sent in headers.
type Call struct {
	ID           model.RequestID
	Organisation model.OrganisationID
	Priority     int
	// OnSend is called immediately before the first byte of the request may be
	// written; see Transports.Do.
	OnSend func()
}

// EventKind classifies the events of a stream.
type EventKind int

// Kinds of events.
const (
	// EventToken carries the next output token and optionally the finish reason.
	EventToken EventKind = iota
	// EventControl carries a role, the finish reason or usage, but no token.
	EventControl
)

// Event is one validated event of a stream. It is valid until the next call of Next.
type Event struct {
	Kind EventKind
	// Raw is the event's JSON as the engine sent it.
	Raw  []byte
	Text []byte
	// Finish is the finish reason, empty until the response ends.
	Finish string
	Usage  *Usage
}

// Stream is the response to a streamed chat request. Next must not be called
// concurrently.
type Stream struct {
	id         string
	body       io.ReadCloser
	events     *EventReader
	nextIndex  int
	maxForeign int
	foreign    int
	ended      bool
	chunk      streamChunk
	event      Event
	// template is learned from the first token chunk of this request.
	template      chunkTemplate
	templateTried bool
}

// streamChunk holds the fields of ChatChunk that hosts use.
type streamChunk struct {
	ID      string        `json:"id"`
	Choices []ChunkChoice `json:"choices"`
	Index   *int          `json:"token_index"`
	Usage   *Usage        `json:"usage"`
}

// finishCancelled is the finish reason of a request that was cancelled.
const finishCancelled = "cancelled"

var doneMarker = []byte("[DONE]")

// Stream sends a chat request and returns the streamed response. The first token
// must have the index ResumeFrom.
func (c *Client) Stream(ctx context.Context, base string, r ChatRequest, call Call) (*Stream, error) {
	r.Stream = true
	resp, err := c.sendChat(ctx, base, &r, call)
	if err != nil {
		return nil, err
	}
	kind, _, _ := mime.ParseMediaType(resp.Header.Get("Content-Type"))
	if kind != "text/event-stream" {
		_ = resp.Body.Close()
		return nil, eris.Wrapf(ErrMalformed, "content type %q instead of an event stream", kind)
	}
	return &Stream{
		id:         string(call.ID),
		body:       resp.Body,
		events:     NewEventReader(resp.Body),
		nextIndex:  r.ResumeFrom,
		maxForeign: c.settings.MaxForeignChunks,
	}, nil
}

// Chat sends a chat request and returns the response, which is not streamed.
func (c *Client) Chat(ctx context.Context, base string, r ChatRequest, call Call) (ChatResponse, error) {
	r.Stream = false
	resp, err := c.sendChat(ctx, base, &r, call)
	if err != nil {
		return ChatResponse{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	var completion ChatResponse
	if err := c.decodeResponse(resp.Body, &completion); err != nil {
		return ChatResponse{}, err
	}
	if completion.ID != string(call.ID) {
		return ChatResponse{}, eris.Wrapf(ErrForeign, "request %s", call.ID)
	}
	if len(completion.Choices) != 1 {
		return ChatResponse{}, eris.Wrapf(ErrMalformed, "%d choices", len(completion.Choices))
	}
	return completion, nil
}

func (c *Client) sendChat(ctx context.Context, base string, r *ChatRequest, call Call) (*http.Response, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return nil, eris.Wrap(err, "encode chat request")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, base+PathChat, bytes.NewReader(data))
	if err != nil {
		return nil, eris.Wrap(err, "build chat request")
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(HeaderRequestID, string(call.ID))
	if call.Organisation != "" {
		req.Header.Set(HeaderOrganisation, string(call.Organisation))
	}
	if call.Priority != 0 {
		req.Header.Set(HeaderPriority, strconv.Itoa(call.Priority))
	}
	resp, err := c.transports.Do(req, RetryUnsent, call.OnSend)
	if err != nil {
		return nil, eris.Wrap(err, "send chat request")
	}
	if err := checkResponse(resp, call.ID); err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

// checkResponse rejects responses that carry another request's ID, and then
// error statuses. The ID is checked first because another request's error says
// nothing about this one. An error without an ID may be a late copy of an earlier
// one on the connection, so that it does not prove that the request has not run.
func checkResponse(resp *http.Response, id model.RequestID) error {
	got := resp.Header.Get(HeaderRequestID)
	if got != "" && got != string(id) {
		return eris.Wrapf(ErrForeign, "request %s", id)
	}
	err := checkStatus(resp)
	var status *StatusError
	if got == "" && errors.As(err, &status) {
		status.Unattributed = true
	}
	return err
}

// Next returns the next event of this request. It returns io.EOF after a
// complete response; any other error means that the response is incomplete.
func (s *Stream) Next() (*Event, error) {
	for {
		data, err := s.events.Next()
		if err == io.EOF {
			return nil, s.endError()
		}
		if err != nil {
			return nil, eris.Wrap(err, "read stream")
		}
		if bytes.Equal(data, doneMarker) {
			return nil, s.endError()
		}
		if text, index, ok := s.template.match(data); ok {
			if err := s.acceptToken(index); err != nil {
				return nil, err
			}
			s.event = Event{Kind: EventToken, Raw: data, Text: text}
			return &s.event, nil
		}
		own, err := s.decode(data)
		if err != nil {
			return nil, err
		}
		if !own {
			s.foreign++
			if s.foreign > s.maxForeign {
				return nil, eris.Wrapf(ErrForeign, "%d chunks", s.foreign)
			}
			continue
		}
		if err := s.fillEvent(); err != nil {
			return nil, err
		}
		s.event.Raw = data
		s.learnFrom(data)
		return &s.event, nil
	}
}

// learnFrom builds the template from the first chunk that carries only a token.
func (s *Stream) learnFrom(data []byte) {
	if s.templateTried || s.event.Kind != EventToken || s.event.Finish != "" || s.event.Usage != nil {
		return
	}
	s.templateTried = true
	if template, ok := learnTemplate(data); ok {
		s.template = template
	}
}

// endError returns io.EOF if a finish reason was received, else ErrTruncated.
func (s *Stream) endError() error {
	if s.ended {
		return io.EOF
	}
	return ErrTruncated
}

// decode parses the chunk and reports whether it belongs to this request.
func (s *Stream) decode(data []byte) (own bool, err error) {
	choices := s.chunk.Choices[:0]
	clear(choices[:cap(choices)])
	s.chunk = streamChunk{Choices: choices}
	if err := json.Unmarshal(data, &s.chunk); err != nil {
		return false, eris.Wrapf(ErrMalformed, "decode chunk: %v", err)
	}
	return s.chunk.ID == s.id, nil
}

// fillEvent fills the event from the chunk and validates its token index.
func (s *Stream) fillEvent() error {
	if len(s.chunk.Choices) > 1 {
		return eris.Wrapf(ErrMalformed, "%d choices", len(s.chunk.Choices))
	}
	var choice ChunkChoice
	if len(s.chunk.Choices) == 1 {
		choice = s.chunk.Choices[0]
	}
	s.event = Event{Kind: EventControl, Text: []byte(choice.Delta.Content), Usage: s.chunk.Usage}
	if choice.FinishReason != nil {
		s.event.Finish = *choice.FinishReason
	}
	if s.event.Finish == finishCancelled {
		return ErrCancelled
	}
	marker := choice.Delta.Role != "" || s.event.Finish != "" || s.event.Usage != nil
	if len(s.event.Text) > 0 || !marker {
		s.event.Kind = EventToken
	}
	return s.checkPosition()
}

// checkPosition validates the chunk's token index and records the end of the response.
func (s *Stream) checkPosition() error {
	index := -1
	if s.chunk.Index != nil {
		index = *s.chunk.Index
	}
	if s.event.Kind == EventToken {
		if err := s.acceptToken(index); err != nil {
			return err
		}
	} else if index > s.nextIndex {
		return eris.Wrapf(ErrMalformed, "end at token %d instead of %d", index, s.nextIndex)
	}
	if s.event.Finish != "" {
		s.ended = true
	}
	return nil
}

// acceptToken checks that a token has the next index and advances the index.
func (s *Stream) acceptToken(index int) error {
	if s.ended {
		return eris.Wrap(ErrMalformed, "token after the end")
	}
	if index != s.nextIndex {
		return eris.Wrapf(ErrMalformed, "token %d instead of %d", index, s.nextIndex)
	}
	s.nextIndex++
	return nil
}

// Buffered reports whether more of the response can be read without waiting.
func (s *Stream) Buffered() bool { return s.events.Buffered() }

// ForeignChunks returns the number of chunks of other requests that were discarded.
func (s *Stream) ForeignChunks() int { return s.foreign }

// Close ends the stream. The connection is reused only if the stream was read to
// its end.
func (s *Stream) Close() error {
	s.events.Release()
	return s.body.Close()
}
