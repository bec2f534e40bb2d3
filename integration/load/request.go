package load

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"

	"github.com/rotisserie/eris"

	"github.com/redwingpath/redwingpath/pkg/engine"
	"github.com/redwingpath/redwingpath/pkg/model"
)

// Operation is the operation that a call requests.
type Operation string

// Operations. Those with side effects have the names that the plain service uses.
const (
	Chat        Operation = "chat"
	PublicChat  Operation = "public_chat"
	Reservation Operation = "reservations"
	Payout      Operation = "payouts"
	Stock       Operation = "stock"
	PublicStock Operation = "public_stock"
)

func (o Operation) public() bool { return o == PublicStock || o == PublicChat }

// hasSideEffects reports whether a repeated execution of the call would do harm.
func (o Operation) hasSideEffects() bool { return o == Reservation || o == Payout }

// Paths are the paths of a deployment's routes.
type Paths struct {
	Chat string
	// PublicChat is the path of a public model route. Empty means none.
	PublicChat string
	Model      model.PoolName
	// Service is the prefix of the plain service's route.
	Service string
	// PublicService is the prefix of a public route to the plain service. Empty means none.
	PublicService string
}

func (r *Request) chat() *engine.ChatRequest {
	return &engine.ChatRequest{
		Messages:  []engine.Message{{Role: "user", Content: r.Text}},
		MaxTokens: r.MaxTokens,
		Stream:    !r.Whole,
	}
}

// serviceBody is the body of calls with side effects.
type serviceBody struct {
	Text string `json:"text"`
}

func (r *Request) build(ctx context.Context, base string, paths Paths) (*http.Request, error) {
	method, path, value := r.httpParts(paths)
	var body io.Reader
	if value != nil {
		data, err := json.Marshal(value)
		if err != nil {
			return nil, eris.Wrap(err, "encode call")
		}
		body = bytes.NewReader(data)
	}
	q, err := http.NewRequestWithContext(ctx, method, base+path, body)
	if err != nil {
		return nil, eris.Wrap(err, "build call")
	}
	// Without GetBody the transport cannot resend the call on its own.
	q.GetBody = nil
	q.Header.Set("Content-Type", "application/json")
	if r.Key.Secret != "" {
		q.Header.Set("Authorization", "Bearer "+r.Key.Secret)
	}
	if r.IdempotencyKey != "" {
		q.Header.Set(engine.HeaderIdempotencyKey, r.IdempotencyKey)
	}
	return q, nil
}

func (r *Request) httpParts(paths Paths) (method, path string, body any) {
	switch r.Operation {
	case Chat, PublicChat:
		chat := r.chat()
		chat.Model = string(paths.Model)
		if r.Operation == PublicChat {
			return http.MethodPost, paths.PublicChat, chat
		}
		return http.MethodPost, paths.Chat, chat
	case Stock:
		return http.MethodGet, paths.Service + "/stock/" + url.PathEscape(r.Text), nil
	case PublicStock:
		return http.MethodGet, paths.PublicService + "/stock/" + url.PathEscape(r.Text), nil
	default:
		return http.MethodPost, paths.Service + "/" + string(r.Operation), serviceBody{r.Text}
	}
}
