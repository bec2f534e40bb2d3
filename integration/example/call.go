package example

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"path/filepath"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/redwingpath/redwingpath/pkg/engine"
	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/operator"
)

// Configure applies the example's configuration through a host and returns the
// secrets of the granted keys by key ID.
func (d *Deployment) Configure(ctx context.Context, h *Host) (map[model.KeyID]string, error) {
	path := filepath.Join(d.Root, "examples", d.config.Example, "config.ops")
	out, err := h.ControlUntilAccepted(ctx, "run", "-o", "json", "-f", path)
	if err != nil {
		return nil, err
	}
	var response operator.RunResponse
	if err := json.Unmarshal([]byte(out), &response); err != nil {
		return nil, eris.Wrap(err, "decode output of redwingctl")
	}
	if response.Change == nil {
		return nil, eris.New("the configuration changed nothing")
	}
	keys := map[model.KeyID]string{}
	for _, k := range response.Change.Granted {
		keys[k.ID] = k.Secret
	}
	return keys, nil
}

// Response is the response to a call.
type Response struct {
	Status    int
	Header    http.Header
	Body      string
	RequestID string
}

// Call sends one call and reads its response.
func (d *Deployment) Call(ctx context.Context, url, body string, header http.Header) (Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return Response{}, eris.Wrap(err, "build call")
	}
	request.Header = header.Clone()
	response, err := d.HTTP.Do(request)
	if err != nil {
		return Response{}, eris.Wrap(err, "call")
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return Response{
		Status: response.StatusCode, Header: response.Header, Body: string(data),
		RequestID: response.Header.Get(engine.HeaderRequestID),
	}, eris.Wrap(err, "read response")
}

// Header returns the request header of a call with a key.
func Header(key string) http.Header {
	return http.Header{"Content-Type": {"application/json"}, "Authorization": {"Bearer " + key}}
}

// ChatBody returns the body of a model request.
func (d *Deployment) ChatBody(stream bool, tokens int, prompt string) string {
	return fmt.Sprintf(`{"model":%q,"stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`,
		d.Model, stream, tokens, prompt)
}

const retryDelay = 200 * time.Millisecond

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// AwaitChat repeats a model request until its response has status 200. A new
// deployment rejects requests until its engines have loaded the adapters of the
// offers and its rate coordinators issue grants.
func (d *Deployment) AwaitChat(ctx context.Context, h *Host, key, body string) (Response, error) {
	for {
		response, err := d.Call(ctx, h.Callers+"/v1/chat/completions", body, Header(key))
		if err != nil || response.Status == http.StatusOK {
			return response, err
		}
		if !sleep(ctx, retryDelay) {
			return response, eris.Errorf("last response: status %d: %s", response.Status, response.Body)
		}
	}
}
