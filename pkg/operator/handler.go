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

// HTTP paths of the operator API.
const (
	PathRun        = "/v1/run"     // POST RunRequest -> RunResponse
	PathExplain    = "/v1/explain" // GET ?subject= -> []journal.Entry
	PathDump       = "/v1/dump"    // GET -> state of the process
	PathMetrics    = "/v1/metrics" // GET -> metrics of this host
	PathPrometheus = "/metrics"    // GET -> the same in the Prometheus text format
	PathExpvar     = "/debug/vars" // GET -> all expvar variables of the process
	PathLive       = "/livez"      // GET -> 200 while the process responds; needs no token
	PathReady      = "/readyz"     // GET -> ReadyResponse, 200 or 503; needs no token
)

const contentJSON = "application/json"

// ReadyResponse reports whether the host is ready to receive requests, and the
// reason if it is not.
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

// NewHandler returns the HTTP handler of the operator API.
func NewHandler(d Dependencies) http.Handler {
	s := &service{d}
	auth := newAuthenticator(d.Operators, d.Logger).middleware
	mux := http.NewServeMux()
	run := auth(s.audit(func(ctx context.Context, r any) (any, error) { return s.run(ctx, r.(RunRequest)) }))
	mux.Handle("POST "+PathRun, newServer(run, decodeRun))
	mux.Handle("GET "+PathExplain, newServer(auth(s.explain), decodeSubject))
	mux.Handle("GET "+PathDump, newServer(auth(s.dump), decodeNothing))
	mux.Handle("GET "+PathMetrics, newServer(auth(s.metrics), decodeNothing))
	if d.PrometheusHandler != nil {
		mux.Handle("GET "+PathPrometheus, newPrometheusServer(auth(liveness), d.PrometheusHandler))
	}
	mux.Handle("GET "+PathExpvar, newServer(auth(processVariables), decodeNothing))
	mux.Handle("GET "+PathLive, newServer(liveness, decodeNothing))
	mux.Handle("GET "+PathReady, newServer(s.ready, decodeNothing))
	return mux
}

func newServer(e endpoint.Endpoint, decode kithttp.DecodeRequestFunc) http.Handler {
	return kithttp.NewServer(e, decode, kithttp.EncodeJSONResponse,
		kithttp.ServerBefore(kithttp.PopulateRequestContext, tokenToContext),
		kithttp.ServerErrorEncoder(encodeError),
	)
}

// newPrometheusServer serves the metrics to requests for which authorize returns no
// error.
func newPrometheusServer(authorize endpoint.Endpoint, metrics http.Handler) http.Handler {
	return kithttp.NewServer(authorize, decodeNothing,
		func(ctx context.Context, w http.ResponseWriter, _ any) error {
			r, err := http.NewRequestWithContext(ctx, http.MethodGet, PathPrometheus, nil)
			if err != nil {
				return eris.Wrap(err, "serve the metrics")
			}
			metrics.ServeHTTP(w, r)
			return nil
		},
		kithttp.ServerBefore(kithttp.PopulateRequestContext, tokenToContext),
		kithttp.ServerErrorEncoder(encodeError),
	)
}

// jsonEscapeFactor allows for the growth of a script when it is encoded as JSON.
const jsonEscapeFactor = 2

func decodeRun(_ context.Context, r *http.Request) (any, error) {
	var request RunRequest
	body := http.MaxBytesReader(nil, r.Body, jsonEscapeFactor*opslang.MaxScriptBytes)
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

// processVariables returns all expvar variables. It is used instead of expvar's
// own handler because that handler checks no token.
func processVariables(context.Context, any) (any, error) {
	variables := make(map[string]json.RawMessage)
	expvar.Do(func(v expvar.KeyValue) {
		variables[v.Key] = json.RawMessage(v.Value.String())
	})
	return variables, nil
}

func liveness(context.Context, any) (any, error) {
	return struct{}{}, nil
}

func (s *service) ready(context.Context, any) (any, error) {
	ready, reason := s.Health.Ready()
	return ReadyResponse{Ready: ready, Reason: reason}, nil
}
