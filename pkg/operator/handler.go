package operator

import (
	"context"
	"encoding/json"
	"expvar"
	"fmt"
	"net/http"

	"github.com/go-kit/kit/endpoint"
	kithttp "github.com/go-kit/kit/transport/http"
	"github.com/rotisserie/eris"

	"github.com/redwingpath/redwingpath/pkg/journal"
	"github.com/redwingpath/redwingpath/pkg/opslang"
)

// HTTP paths of the operator interface.
const (
	PathRun     = "/v1/run"     // POST RunRequest -> RunResponse
	PathExplain = "/v1/explain" // GET ?subject= -> []journal.Entry
	PathDump    = "/v1/dump"    // GET -> state of the process
	PathMetrics = "/v1/metrics" // GET -> metrics of this host
	PathText    = "/metrics"    // GET -> the same in the text format of Prometheus
	PathExpvar  = "/debug/vars" // GET -> all expvar variables of the process
	PathLive    = "/livez"      // GET -> 200 while the process answers; no token
	PathReady   = "/readyz"     // GET -> ReadyResponse, 200 or 503; no token
)

const contentJSON = "application/json"

// ReadyResponse tells whether the host may get requests.
type ReadyResponse struct {
	Ready  bool   `json:"ready"`
	Reason string `json:"reason,omitempty"`
}

// StatusCode implements go-kit's StatusCoder.
func (r ReadyResponse) StatusCode() int {
	if r.Ready {
		return http.StatusOK
	}
	return http.StatusServiceUnavailable
}

// NewHandler returns the operator interface.
func NewHandler(d Dependencies) http.Handler {
	s := &service{d}
	auth := newAuthenticator(d.Operators, d.Logger).middleware
	mux := http.NewServeMux()
	run := auth(s.audit(func(ctx context.Context, r any) (any, error) { return s.run(ctx, r.(RunRequest)) }))
	mux.Handle("POST "+PathRun, newServer(run, decodeRun))
	mux.Handle("GET "+PathExplain, newServer(auth(s.explain), decodeSubject))
	mux.Handle("GET "+PathDump, newServer(auth(s.dump), decodeNothing))
	mux.Handle("GET "+PathMetrics, newServer(auth(s.metrics), decodeNothing))
	if d.Text != nil {
		mux.Handle("GET "+PathText, newTextServer(auth(live), d.Text))
	}
	mux.Handle("GET "+PathExpvar, newServer(auth(processVariables), decodeNothing))
	mux.Handle("GET "+PathLive, newServer(live, decodeNothing))
	mux.Handle("GET "+PathReady, newServer(s.ready, decodeNothing))
	return mux
}

func newServer(e endpoint.Endpoint, decode kithttp.DecodeRequestFunc) http.Handler {
	return kithttp.NewServer(e, decode, kithttp.EncodeJSONResponse,
		kithttp.ServerBefore(kithttp.PopulateRequestContext, tokenToContext),
		kithttp.ServerErrorEncoder(encodeError),
	)
}

// newTextServer serves metrics to those that an endpoint lets pass.
func newTextServer(allow endpoint.Endpoint, text http.Handler) http.Handler {
	return kithttp.NewServer(allow, decodeNothing,
		func(ctx context.Context, w http.ResponseWriter, _ any) error {
			r, err := http.NewRequestWithContext(ctx, http.MethodGet, PathText, nil)
			if err != nil {
				return eris.Wrap(err, "serve the metrics")
			}
			text.ServeHTTP(w, r)
			return nil
		},
		kithttp.ServerBefore(kithttp.PopulateRequestContext, tokenToContext),
		kithttp.ServerErrorEncoder(encodeError),
	)
}

// jsonOverhead is room for the escapes of a script in JSON.
const jsonOverhead = 2

func decodeRun(_ context.Context, r *http.Request) (any, error) {
	var request RunRequest
	body := http.MaxBytesReader(nil, r.Body, jsonOverhead*opslang.MaxScriptBytes)
	if err := json.NewDecoder(body).Decode(&request); err != nil {
		return nil, malformedRequest(err)
	}
	return request, nil
}

func malformedRequest(err error) error {
	return &Error{
		Status:  http.StatusBadRequest,
		Code:    CodeMalformed,
		Message: fmt.Sprintf("request body: %v", err),
		Ran:     "not_run",
	}
}

func decodeSubject(_ context.Context, r *http.Request) (any, error) {
	return r.URL.Query().Get("subject"), nil
}

func decodeNothing(context.Context, *http.Request) (any, error) {
	return struct{}{}, nil
}

func (s *service) explain(_ context.Context, request any) (any, error) {
	entries := s.Journal.Recent(request.(string))
	if entries == nil {
		entries = []journal.Entry{}
	}
	return entries, nil
}

func (s *service) dump(context.Context, any) (any, error) {
	return s.Dumper.Dump(), nil
}

func (s *service) metrics(context.Context, any) (any, error) {
	return json.RawMessage(s.Metrics.String()), nil
}

// processVariables lists all expvar variables, as expvar's own handler does
// but behind the operators' token.
func processVariables(context.Context, any) (any, error) {
	variables := make(map[string]json.RawMessage)
	expvar.Do(func(v expvar.KeyValue) {
		variables[v.Key] = json.RawMessage(v.Value.String())
	})
	return variables, nil
}

func live(context.Context, any) (any, error) {
	return struct{}{}, nil
}

func (s *service) ready(context.Context, any) (any, error) {
	ready, reason := s.Health.Ready()
	return ReadyResponse{Ready: ready, Reason: reason}, nil
}
