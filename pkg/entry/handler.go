package entry

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/kit/endpoint"
	"github.com/oklog/ulid/v2"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/redwingpath/redwingpath/pkg/atmostonce"
	"github.com/redwingpath/redwingpath/pkg/engine"
	"github.com/redwingpath/redwingpath/pkg/journal"
	"github.com/redwingpath/redwingpath/pkg/model"
)

// Handler serves the requests of callers. It is safe for concurrent use.
type Handler struct {
	settings      Settings
	deps          Deps
	engines       *engine.Client
	calls         callRegistry
	streams       streamCounts
	budget        *retryBudget
	crashSuspects crashSuspects
	leaving       leavingSet
	// moveSlots limits how many streams are moved at the same time.
	moveSlots chan struct{}
	// background tracks work that outlives its request, such as cancels.
	background sync.WaitGroup
	// pendingLateClaims counts the claims whose append got no response and that
	// this host still expects to appear in the log.
	pendingLateClaims atomic.Int32
	// closing is closed to end the waits of background work.
	closing   chan struct{}
	closeOnce sync.Once
	// pipeline is the chain of checks that ends with execute.
	pipeline endpoint.Endpoint
}

// New returns a handler.
func New(s Settings, d Deps) (*Handler, error) {
	if err := s.Validate(); err != nil {
		return nil, eris.Wrap(err, "entry settings")
	}
	d.setDefaults()
	h := &Handler{
		settings:      s,
		deps:          d,
		engines:       d.Engines,
		budget:        newRetryBudget(s.RetryRatio, s.RetryBurst),
		crashSuspects: crashSuspects{table: atmostonce.NewSuspects()},
		leaving:       leavingSet{deadlines: make(map[model.BackendID]time.Time)},
		moveSlots:     make(chan struct{}, s.MoveConcurrency),
		closing:       make(chan struct{}),
	}
	h.calls.init()
	h.streams.init()
	h.pipeline = endpoint.Chain(
		h.requireFresh,
		h.checkKey,
		h.readBody,
		h.parseRequest,
		h.checkOffer,
		h.handleKnownIdempotencyKey,
		h.limitRate,
		h.admit,
	)(h.execute)
	return h, nil
}

// NewServer returns a server with the limits of the settings. It has no write
// timeout, since streams are long-lived; each write has its own deadline.
func NewServer(handler http.Handler, s Settings) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: s.HeaderTimeout,
		IdleTimeout:       s.IdleTimeout,
		MaxHeaderBytes:    s.MaxHeaderBytes,
	}
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{
		id:      model.RequestID(ulid.Make().String()),
		w:       w,
		control: http.NewResponseController(w),
		r:       r,
		arrived: time.Now(),
	}
	w.Header().Set(engine.HeaderRequestID, string(c.id))
	h.deps.Metrics.Count(CountRequests, 1)
	if err := h.calls.add(c, h.settings.MaxRequests, h.settings.RetryAfter); err != nil {
		w.Header().Set("Connection", "close")
		h.reject(c, err)
		return
	}
	defer h.calls.remove(c)
	if err := h.serve(c); err != nil {
		h.reject(c, asRequestError(err))
	}
}

// serve returns an error only if no part of the response was written.
func (h *Handler) serve(c *call) error {
	if err := h.findRoute(c); err != nil {
		return err
	}
	limit := h.settings.ServiceTimeout
	if c.route.Kind == model.RouteModel {
		limit = h.settings.ModelTimeout
	}
	ctx, stop := context.WithTimeoutCause(c.r.Context(), limit, errRequestTimeout)
	defer stop()
	_, err := h.pipeline(ctx, c)
	return err
}

// reject sends an error as the whole response and records it.
func (h *Handler) reject(c *call, e *model.RequestError) {
	e.RequestID = c.id
	h.recordError(c, e)
	_ = c.control.SetWriteDeadline(time.Now().Add(h.settings.WriteTimeout))
	writeError(c.w, e)
}

// recordError counts and logs a rejection or failure. It logs the ID of the API
// key, but never the key itself, the body or the query.
func (h *Handler) recordError(c *call, e *model.RequestError) {
	counter := CountRejected
	if e.Ran != model.NotRun {
		counter = CountFailed
	}
	h.deps.Metrics.Count(counter, 1)
	h.deps.Metrics.CountError(e.Code)
	h.deps.Journal.Add(journal.Entry{
		Kind:     journal.KindRequest,
		Subject:  string(c.id),
		Decision: "rejected",
		Reason:   e.Error(),
	})
	h.deps.Log.Debug("request rejected",
		zap.String("request", string(c.id)),
		zap.String("organisation", string(c.org)),
		zap.String("key", string(c.key)),
		zap.String("code", string(e.Code)),
		zap.String("ran", string(e.Ran)))
}

// execute sends an admitted request to its backend server.
func (h *Handler) execute(ctx context.Context, request any) (any, error) {
	c := request.(*call)
	h.budget.deposit()
	if c.route.Kind == model.RouteModel {
		return nil, h.runChat(ctx, c)
	}
	return nil, h.runService(ctx, c)
}
