// Package load sends calls to entry hosts as callers do and records what the client
// saw of each call. It computes the expected response of every call independently.
package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/redwingpath/redwingpath/integration/check"
	"github.com/redwingpath/redwingpath/pkg/engine"
	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/standin/answer"
	"github.com/redwingpath/redwingpath/standin/servicesim"
)

// Target is an entry host that receives calls.
type Target struct {
	ID  model.HostID
	URL string
}

// Request is one call to send.
type Request struct {
	Tag            string
	Operation      Operation
	Key            check.Key
	IdempotencyKey string
	// Text is the prompt or the item; it contains the tag.
	Text string
	// MaxTokens is the limit of output tokens of a chat.
	MaxTokens int
	// Whole requests a response that is not streamed.
	Whole bool
}

// Client sends calls and records them.
type Client struct {
	// Timeout is the time after which the client abandons a call.
	Timeout time.Duration
	Paths   Paths

	http  *http.Client
	mu    sync.Mutex
	calls []check.Call
}

// dialTimeout limits the time to open a connection; a loopback host that does not
// accept within it is suspended or has ended.
const dialTimeout = 2 * time.Second

// NewClient returns a client that opens a new connection for each call. A stopping
// host may close a reused connection just when a call is sent, and the client could
// not distinguish this from an interrupted call.
func NewClient(timeout time.Duration, paths Paths) *Client {
	return &Client{
		Timeout: timeout,
		Paths:   paths,
		http: &http.Client{Transport: &http.Transport{
			DisableKeepAlives:  true,
			DisableCompression: true,
			DialContext:        (&net.Dialer{Timeout: dialTimeout}).DialContext,
		}},
	}
}

// Calls returns the records of all calls that have ended.
func (c *Client) Calls() []check.Call {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]check.Call(nil), c.calls...)
}

// Do sends one call to a host and records how it ended.
func (c *Client) Do(ctx context.Context, t Target, r *Request) check.Call {
	call := check.Call{
		Tag: r.Tag, Host: t.ID, Operation: string(r.Operation), KeyID: r.Key.ID, Public: r.Operation.public(),
		Idempotent: !r.Operation.hasSideEffects(), IdempotencyKey: r.IdempotencyKey, Expected: r.expected(),
		SentNS: time.Now().UnixNano(),
	}
	bounded, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	c.send(bounded, t, r, &call)
	call.EndNS = time.Now().UnixNano()
	if call.Outcome != check.Complete && bounded.Err() != nil {
		call.Outcome = check.Abandoned
	}
	c.mu.Lock()
	c.calls = append(c.calls, call)
	c.mu.Unlock()
	return call
}

func (c *Client) send(ctx context.Context, t Target, r *Request, call *check.Call) {
	q, err := r.build(ctx, t.URL, c.Paths)
	if err != nil {
		call.Outcome, call.Error = check.NotConnected, err.Error()
		return
	}
	var sending sendTrace
	response, err := c.http.Do(q.WithContext(sending.attach(ctx)))
	if err != nil {
		call.Outcome, call.Error = failureOutcome(err, &sending), err.Error()
		return
	}
	defer func() { _ = response.Body.Close() }()
	call.FirstByteNS = time.Now().UnixNano()
	call.Status = response.StatusCode
	call.RequestID = model.RequestID(response.Header.Get(engine.HeaderRequestID))
	call.RetryAfter = response.Header.Get("Retry-After") != ""
	switch {
	case response.StatusCode >= http.StatusMultipleChoices:
		readRejection(response.Body, call)
	case strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream"):
		readStream(response.Body, call)
	default:
		readBody(response.Body, r, call)
	}
}

func failureOutcome(err error, sending *sendTrace) check.Outcome {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return check.NotConnected
	}
	if sending.sentLate() {
		return check.NotSent
	}
	return check.NoResponse
}

// errorBody is the body of rejections and failures.
type errorBody struct {
	Error *struct {
		Code      model.ErrorCode `json:"code"`
		Message   string          `json:"message"`
		Ran       model.Ran       `json:"ran"`
		RequestID model.RequestID `json:"request_id"`
	} `json:"error"`
}

func readRejection(body io.Reader, call *check.Call) {
	data, err := io.ReadAll(body)
	if err != nil {
		call.Outcome, call.Error = check.Interrupted, err.Error()
		return
	}
	call.Outcome = check.Rejected
	recordError(data, call)
}

// recordError copies the fields of an error body to the call; it reports false if data
// is no error body.
func recordError(data []byte, call *check.Call) bool {
	var e errorBody
	if json.Unmarshal(data, &e) != nil || e.Error == nil {
		return false
	}
	call.Code, call.Ran, call.Error = e.Error.Code, e.Error.Ran, e.Error.Message
	if call.RequestID == "" {
		call.RequestID = e.Error.RequestID
	}
	return true
}

// maxEventBytes limits the size of one event of a stream.
const maxEventBytes = 1 << 20

// readStream joins the tokens of a stream. It marks a token with an unexpected index in
// the received text, so that a repeated or missing token makes the text wrong.
func readStream(body io.Reader, call *check.Call) {
	call.Outcome = check.Interrupted
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, maxEventBytes)
	var text strings.Builder
	next := 0
	for scanner.Scan() {
		data, found := bytes.CutPrefix(scanner.Bytes(), []byte("data: "))
		if !found {
			continue
		}
		if string(data) == "[DONE]" {
			call.Outcome = check.Complete
			break
		}
		if recordError(data, call) {
			break
		}
		var chunk engine.ChatChunk
		if err := json.Unmarshal(data, &chunk); err != nil {
			call.Error = err.Error()
			break
		}
		next = appendToken(&text, &chunk, next, call)
	}
	if err := scanner.Err(); err != nil {
		call.Error = err.Error()
	}
	call.Received = text.String()
}

func appendToken(text *strings.Builder, chunk *engine.ChatChunk, next int, call *check.Call) int {
	if len(chunk.Choices) != 1 || chunk.Choices[0].Delta.Content == "" {
		return next
	}
	if chunk.ID != string(call.RequestID) {
		text.WriteString("<id " + chunk.ID + ">")
	}
	if chunk.Index != next {
		text.WriteString("<out of place>")
	}
	text.WriteString(chunk.Choices[0].Delta.Content)
	return next + 1
}

func readBody(body io.Reader, r *Request, call *check.Call) {
	data, err := io.ReadAll(body)
	if err != nil {
		call.Outcome, call.Error = check.Interrupted, err.Error()
		return
	}
	call.Outcome = check.Complete
	call.Received, err = r.decodeReceived(data)
	if err != nil {
		call.Error = err.Error()
	}
}

// expected returns the text that a complete response must give.
func (r *Request) expected() string {
	switch r.Operation {
	case Chat, PublicChat:
		return answer.Expected(r.chat())
	case Stock, PublicStock:
		return encodeStock(servicesim.Stock{Item: r.Text, Quantity: servicesim.StockQuantity(r.Text)})
	default:
		return string(r.Operation) + " " + r.Tag
	}
}

// decodeReceived returns the text of a response in the form that expected has.
func (r *Request) decodeReceived(data []byte) (string, error) {
	switch r.Operation {
	case Chat, PublicChat:
		var response engine.ChatResponse
		err := json.Unmarshal(data, &response)
		if err != nil || len(response.Choices) != 1 {
			return string(data), err
		}
		return response.Choices[0].Message.Content, nil
	case Stock, PublicStock:
		var stock servicesim.Stock
		err := json.Unmarshal(data, &stock)
		return encodeStock(stock), err
	default:
		var executed servicesim.Execution
		err := json.Unmarshal(data, &executed)
		return executed.Operation + " " + executed.CallTag, err
	}
}

func encodeStock(s servicesim.Stock) string {
	data, err := json.Marshal(s)
	if err != nil {
		return err.Error()
	}
	return string(data)
}
