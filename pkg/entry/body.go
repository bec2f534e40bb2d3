package entry

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"mime"
	"net/http"
	"os"
	"time"

	"github.com/go-kit/kit/endpoint"

	"github.com/redwingpath/redwingpath/pkg/atmostonce"
	"github.com/redwingpath/redwingpath/pkg/engine"
	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/routing"
)

// readBody reads the request body within the size and time limits.
func (h *Handler) readBody(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		c := request.(*call)
		if c.r.ContentLength > h.settings.MaxBodyBytes {
			return nil, tooLargeError()
		}
		// The error is ignored: only response recorders in tests lack deadlines.
		_ = c.control.SetReadDeadline(time.Now().Add(h.settings.BodyTimeout))
		body, err := readAll(http.MaxBytesReader(c.w, c.r.Body, h.settings.MaxBodyBytes), c.r.ContentLength)
		if err != nil {
			return nil, bodyError(err)
		}
		_ = c.control.SetReadDeadline(time.Time{})
		c.body = body
		return next(ctx, request)
	}
}

// readAll is io.ReadAll with a buffer of the announced length.
func readAll(r io.Reader, length int64) ([]byte, error) {
	if length <= 0 {
		return io.ReadAll(r)
	}
	body := make([]byte, length)
	n, err := io.ReadFull(r, body)
	return body[:n], err
}

func tooLargeError() error {
	return newRejection(http.StatusRequestEntityTooLarge, model.CodeTooLarge, "the body is too large")
}

func bodyError(err error) error {
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return tooLargeError()
	case errors.Is(err, os.ErrDeadlineExceeded):
		return newRejection(http.StatusRequestTimeout, model.CodeTimeout, "the body did not come in time")
	}
	return newRejection(http.StatusBadRequest, model.CodeBadRequest, "the body could not be read")
}

// parseRequest decodes chat requests and prepares the routing of plain service
// calls. checkOffer prepares that of chat requests, once it has set adapter and
// version.
func (h *Handler) parseRequest(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		c := request.(*call)
		if c.route.Kind == model.RouteModel {
			if err := h.parseChat(c); err != nil {
				return nil, err
			}
		} else {
			h.setServiceRouting(c)
		}
		return next(ctx, request)
	}
}

func (h *Handler) setServiceRouting(c *call) {
	c.cost = 1
	c.request = routing.Request{
		ID:           c.id,
		Organisation: c.org,
		Pool:         c.route.Pool,
		Kind:         model.PoolService,
		Resumable:    c.idempotent(),
	}
}

func (h *Handler) parseChat(c *call) error {
	if c.r.Method != http.MethodPost {
		return newRejection(http.StatusMethodNotAllowed, model.CodeBadRequest, "chat completions are POST requests")
	}
	kind, _, err := mime.ParseMediaType(c.r.Header.Get("Content-Type"))
	if err != nil || kind != "application/json" {
		return newRejection(http.StatusUnsupportedMediaType, model.CodeWrongContentType, "the content type must be application/json")
	}
	chat, err := decodeChat(c.body)
	if err != nil {
		return err
	}
	if chat.MaxTokens == 0 {
		chat.MaxTokens = h.settings.DefaultMaxTokens
	}
	if chat.MaxTokens > h.settings.MaxTokensLimit {
		return newRejection(http.StatusBadRequest, model.CodeBadRequest, "max_tokens is too large")
	}
	c.chat = chat
	c.wantsStream = chat.Stream
	return nil
}

// decodeChat decodes and validates a caller's chat request.
func decodeChat(body []byte) (engine.ChatRequest, error) {
	var chat engine.ChatRequest
	if err := json.Unmarshal(body, &chat); err != nil {
		return chat, newRejection(http.StatusBadRequest, model.CodeBadRequest, "the body is not a chat request")
	}
	switch {
	case chat.Model == "":
		return chat, newRejection(http.StatusBadRequest, model.CodeBadRequest, "model is missing")
	case len(chat.Messages) == 0:
		return chat, newRejection(http.StatusBadRequest, model.CodeBadRequest, "messages are missing")
	case chat.MaxTokens < 0:
		return chat, newRejection(http.StatusBadRequest, model.CodeBadRequest, "max_tokens is negative")
	case chat.ResumeFrom != 0 || chat.ResumeText != "":
		// Only hosts may resume a stream: with resume_text a caller could forge a response.
		return chat, newRejection(http.StatusBadRequest, model.CodeBadRequest, "resume_from and resume_text are not accepted")
	}
	return chat, nil
}

// setChatRouting fills the routing request, the digest and the cost of a chat
// request. It runs after adapter and version are set from the offer.
func (h *Handler) setChatRouting(c *call) {
	prompt := engine.PromptText(c.chat.Messages)
	c.request = routing.Request{
		ID:           c.id,
		Organisation: c.org,
		Pool:         model.PoolName(c.chat.Model),
		Kind:         model.PoolEngine,
		Adapter:      c.chat.Adapter,
		Version:      c.chat.Version,
		PromptTokens: engine.EstimateTokens(len(prompt)),
		MaxTokens:    c.chat.MaxTokens,
		Prefix:       engine.PrefixHashes(engine.CacheScope(string(c.org), &c.chat), prompt),
		Resumable:    true,
	}
	c.requestDigest = atmostonce.RequestDigest(c.org, c.request.Pool, c.body)
	c.cost = max(1, h.settings.UnitsPerPromptToken*float64(c.request.PromptTokens)+
		h.settings.UnitsPerOutputToken*float64(c.request.MaxTokens))
}
