package placequery

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strings"

	"github.com/rotisserie/eris"
)

// maxAnswerBytes bounds the response to a query.
const maxAnswerBytes = 8 << 20

// Ask sends a query to a host. base is the base URL of its metrics port, values are the
// fields of the query. The error is a *FieldError if the host cannot use the query.
func Ask(ctx context.Context, client *http.Client, base string, values url.Values) (*Answer, error) {
	target := strings.TrimRight(base, "/") + Path + "?" + values.Encode()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, eris.Wrap(err, "build the query")
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, eris.Wrap(err, "ask the host")
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return nil, eris.Wrap(err, "read the answer")
	}
	if resp.StatusCode != http.StatusOK {
		var failure Failure
		if json.Unmarshal(data, &failure) != nil || failure.Error.Message == "" {
			return nil, eris.Errorf("the host answered with status %d; is the address that of its metrics port?", resp.StatusCode)
		}
		return nil, &failure.Error
	}
	var answer Answer
	if err := json.Unmarshal(data, &answer); err != nil {
		return nil, eris.Wrap(err, "decode the answer")
	}
	return &answer, nil
}
